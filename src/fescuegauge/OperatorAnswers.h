#ifndef FESCUEGAUGE_OPERATORANSWERS_H
#define FESCUEGAUGE_OPERATORANSWERS_H

#include "Fescuegauge/DeclarationFile.h"
#include "Fescuegauge/Ids.h"
#include "ToolError.h"

#include <boost/json/object.hpp>
#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// A declaration in force and the change that set it.
struct DeclarationInForce {
  DeclarationText m_Declaration;
  ChangeNumber m_Change;
};

/// Answer of `GET /operator/targets`.
struct TargetsAnswer {
  ChangeNumber m_Change;
  std::vector<DeclarationInForce> m_Declarations;

  const DeclarationInForce *find(std::string_view Name) const;
};

/// One accepted change of `GET /operator/history`.
struct HistoryChange {
  ChangeNumber m_Change;
  ChangeId m_Id;
  std::string m_Author;
  std::vector<std::string> m_Puts;
  std::vector<std::string> m_Deletes;
};

struct RolloutProgress {
  ServiceId m_Service;
  ModelVersionId m_Version;
  std::uint64_t m_Live = 0;
  std::uint64_t m_Wanted = 0;
  Bytes m_OriginBytes;
};

struct DataCentreStatus {
  DataCentreId m_DataCentre;
  ChangeNumber m_Change;
  std::uint64_t m_Instances = 0;
  std::uint64_t m_Live = 0;
  std::vector<std::pair<InstanceId, ChangeNumber>> m_Laggards;
  std::vector<std::string> m_Unreachable;
  std::vector<RolloutProgress> m_Rollouts;
};

/// Answer of `GET /operator/status`.
struct StatusAnswer {
  ChangeNumber m_Change;
  std::vector<DataCentreStatus> m_DataCentres;
};

/// Body of `POST /operator/targets`.
struct ChangeProposal {
  ChangeId m_Id;
  ChangeNumber m_Base;
  std::string m_Author;
  std::vector<DeclarationText> m_Puts;
  std::vector<std::string> m_Deletes;

  boost::json::object json() const;
};

/// A declaration that another operator has changed since the base of a refused proposal.
struct ProposalConflict {
  std::string m_Name;
  std::string m_Author;
  ChangeNumber m_Change;
  /// The spec in force; null if the declaration was deleted.
  boost::json::value m_Spec;
};

/// A definite answer of `POST /operator/targets`.
struct ProposalOutcome {
  enum class Kind { Accepted, Unchanged, Refused };

  Kind m_Kind = Kind::Unchanged;
  /// The accepted change, or the change in force if the proposal was not accepted.
  ChangeNumber m_Change;
  std::vector<ProposalConflict> m_Conflicts;

  boost::json::object json() const;
};

/// Each parses one response. A missing or mistyped member is ErrorKind::PeerUnreachable, since
/// another entry instance may send a valid response; unknown members are ignored.
boost::leaf::result<TargetsAnswer> readTargets(const boost::json::object &Answer);
boost::leaf::result<std::vector<HistoryChange>> readHistory(const boost::json::object &Answer);
boost::leaf::result<StatusAnswer> readStatus(const boost::json::object &Answer);
/// Nothing if the response does not state a definite outcome.
std::optional<ProposalOutcome> readProposalOutcome(const boost::json::object &Answer);

/// A response of the form {"error", "message", "run", "retryAfterMs"}.
struct ErrorBody {
  ErrorKind m_Kind = ErrorKind::Internal;
  std::string m_Message;
  WasRun m_WasRun = WasRun::Unknown;
};
/// Nothing if the response has another form.
std::optional<ErrorBody> readErrorBody(const boost::json::object &Answer);

} // namespace fescuegauge

#endif // FESCUEGAUGE_OPERATORANSWERS_H
