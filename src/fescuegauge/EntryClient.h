#ifndef FESCUEGAUGE_ENTRYCLIENT_H
#define FESCUEGAUGE_ENTRYCLIENT_H

#include "Fescuegauge/InstanceRecord.h"
#include "OperatorAnswers.h"
#include "Tool.h"
#include "ToolError.h"

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <string>
#include <vector>

namespace fescuegauge {

/// Talks to the operators' HTTP interface of any of several entry instances. An instance that
/// cannot be reached, gives no sound answer or asks to be left alone for now is passed over for the
/// next; later calls start with the instance that answered last.
class EntryClient {
public:
  EntryClient(std::vector<Endpoint> Entries, ClientLimits Limits);

  /// Reads `Path`. The answer of the first instance that can give one.
  boost::leaf::result<boost::json::object> get(const std::string &Path);

  /// Proposes a change. Safe to send to several instances, since the change id makes a repetition
  /// harmless. When an answer was lost, the outcome is looked up in the history; if it cannot be
  /// found there either, the error is ErrorKind::OutcomeUnknown.
  boost::leaf::result<ProposalOutcome> propose(const ChangeProposal &Proposal);

private:
  struct Exchange;

  Exchange exchange(const Endpoint &Entry, const std::string &Method, const std::string &Path,
                    const std::string &Body) const;
  /// The change in the history that has the proposal's id; nothing if there is none or the history
  /// cannot be read.
  std::optional<ChangeNumber> findInHistory(const ChangeProposal &Proposal);

  std::vector<Endpoint> m_Entries;
  ClientLimits m_Limits;
  /// Index of the instance to try first.
  std::size_t m_Preferred = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ENTRYCLIENT_H
