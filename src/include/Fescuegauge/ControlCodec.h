#ifndef FESCUEGAUGE_CONTROLCODEC_H
#define FESCUEGAUGE_CONTROLCODEC_H

#include "Fescuegauge/AttemptLedger.h"
#include "Fescuegauge/ClaimBatcher.h"
#include "Fescuegauge/ClaimRow.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/RpcNode.h"
#include "Fescuegauge/TransferPlanner.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// An agent's answer to a heartbeat: the state of its upstream.
struct AgentReport {
  Incarnation m_Incarnation;
  bool m_IsLeaving = false;
  /// Root digest of the version to which requests may be routed; zero if none.
  Digest m_ServedDigest;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Capacity = 0;
  /// How long ago the engine measured its load.
  Duration m_Age{};
  /// Number of the configuration in force.
  ChangeNumber m_Change;
  /// The latest losses of the engine, for entry instances without an attempt on it.
  std::vector<EngineLoss> m_Losses;
};

/// The state of an attempt as its agent knows it, with the answer if the agent recorded it.
struct AttemptStatementReply {
  AttemptStatement m_Statement;
  std::optional<RecordedAnswer> m_Answer;
};

/// An entry instance's reply to an agent that asks for confirmation before it commands its engine.
struct ConfirmationReply {
  ChangeNumber m_Change;
  /// Highest incarnation of the requesting agent that the entry instance has seen; 0 if none.
  Incarnation m_AgentIncarnation;
};

/// Payloads of requests with the topic Operator. The reply is a ConfirmationReply to the first and
/// the state of the process to the second.
inline constexpr std::string_view ConfirmationQuery = "change";
inline constexpr std::string_view DumpQuery = "dump";

// Encode and decode payloads of control messages as Cap'n Proto messages. Decoding a malformed
// payload returns std::nullopt.

std::string encodePayload(const AgentReport &Report);
std::string encodePayload(const ClaimWrite &Write);
std::string encodePayload(const ClaimWriteResult &Result);
std::string encodePayload(const SuspectUpdate &Update);
std::string encodePayload(const ChunkSummary &Summary);
std::string encodePayload(const AttemptStatementReply &Reply);
std::string encodePayload(const ConfirmationReply &Reply);

std::optional<AgentReport> decodeAgentReport(std::string_view Payload);
std::optional<ClaimWrite> decodeClaimWrite(std::string_view Payload);
std::optional<ClaimWriteResult> decodeClaimWriteResult(std::string_view Payload);
std::optional<SuspectUpdate> decodeSuspectUpdate(std::string_view Payload);
std::optional<ChunkSummary> decodeChunkSummary(std::string_view Payload);
std::optional<AttemptStatementReply> decodeAttemptStatement(std::string_view Payload);
std::optional<ConfirmationReply> decodeConfirmation(std::string_view Payload);

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONTROLCODEC_H
