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

/// Client of the operators' HTTP interface with failover between several entry instances. If an
/// instance cannot be reached, sends an invalid response or reports a retryable error, the next one
/// is tried; later calls start with the instance that last answered successfully.
class EntryClient {
public:
  EntryClient(std::vector<Endpoint> Entries, ClientLimits Limits);

  /// Sends GET `Path` and returns the first successful response. An error that is not retryable is
  /// returned at once.
  boost::leaf::result<boost::json::object> get(const std::string &Path);

  /// Proposes a change. Sending it to several instances is safe, since the change id makes the
  /// request idempotent. If a response was lost, the outcome is looked up in the history; if it is
  /// not found there either, the error is ErrorKind::OutcomeUnknown.
  boost::leaf::result<ProposalOutcome> propose(const ChangeProposal &Proposal);

private:
  struct Exchange;

  Exchange exchange(const Endpoint &Entry, const std::string &Method, const std::string &Path,
                    const std::string &Body) const;
  /// Number of the accepted change with the proposal's id; nothing if there is none or the history
  /// cannot be read.
  std::optional<ChangeNumber> findInHistory(const ChangeProposal &Proposal);

  std::vector<Endpoint> m_Entries;
  ClientLimits m_Limits;
  /// Index of the instance to try first.
  std::size_t m_PreferredIndex = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ENTRYCLIENT_H
