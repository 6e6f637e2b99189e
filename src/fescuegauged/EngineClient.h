#ifndef FESCUEGAUGE_FESCUEGAUGED_ENGINECLIENT_H
#define FESCUEGAUGE_FESCUEGAUGED_ENGINECLIENT_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Manifest.h"
#include "Fescuegauge/RpcNode.h"

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Status reported by an engine.
struct EngineStatus {
  std::string m_Version;
  Digest m_ServedRoot;
  FencingToken m_Token;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Capacity = 0;
  /// Age of m_Running and m_Capacity at the time of the report.
  Duration m_ReportAge{};
};

enum class EngineLoadResult { Loaded, Rejected, Unknown };

/// Result of running one attempt on the engine.
struct EngineRunResult {
  enum class Status {
    Complete,
    /// No connection could be opened, so the engine did not receive the attempt.
    NotSent,
    /// The engine refused the attempt before running it.
    Refused,
    /// The answer was incomplete or an error.
    Failed,
  };
  Status m_Status = Status::Failed;
  std::uint64_t m_TotalBytes = 0;
  Digest m_ServedRoot;
  std::string m_Reason;
};

/// HTTP/1.1 client for the model engine or plain service of an agent. Streamed answers are
/// server-sent events that end with "data: [DONE]". All functions block and are thread-safe.
class EngineClient {
public:
  EngineClient(Endpoint Engine, bool IsPlain, Bytes MaxAnswer)
      : m_Address(std::move(Engine)), m_IsPlain(IsPlain), m_MaxAnswer(MaxAnswer) {}

  /// Returns nothing if the engine did not answer or the answer is malformed.
  std::optional<EngineStatus> status() const;

  bool stageChunk(const Digest &Chunk, const std::string &Content) const;
  std::optional<std::string> readStagedChunk(const Digest &Chunk) const;
  bool deleteStagedChunk(const Digest &Chunk) const;
  /// Returns digests and sizes as reported by the engine, nothing if it did not answer.
  std::optional<std::vector<ChunkRef>> listStagedChunks() const;

  EngineLoadResult load(const Manifest &Model, const std::string &Version,
                        FencingToken Token) const;

  using FragmentHandler =
      std::function<void(std::uint64_t Offset, std::string Data, const Digest &ServedRoot)>;
  /// Runs one attempt. `Cancelled` is checked between fragments of a streamed answer.
  EngineRunResult run(const AttemptRequest &Request, const FragmentHandler &OnFragment,
                      const std::atomic<bool> &Cancelled) const;
  void cancel(const AttemptId &Attempt) const;

private:
  EngineRunResult streamGeneration(const AttemptRequest &Request, const FragmentHandler &OnFragment,
                                   const std::atomic<bool> &Cancelled) const;
  EngineRunResult callPlainService(const AttemptRequest &Request,
                                   const FragmentHandler &OnFragment) const;

  Endpoint m_Address;
  bool m_IsPlain;
  Bytes m_MaxAnswer;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_ENGINECLIENT_H
