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

/// What an engine says of itself.
struct EngineStatus {
  std::string m_Version;
  Digest m_ServedRoot;
  FencingToken m_Token;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Capacity = 0;
  /// Age of the load figures.
  Duration m_ReportAge{};
};

enum class EngineLoadResult { Loaded, Rejected, Unknown };

/// How the call that carried one attempt to the engine ended.
struct EngineRunResult {
  enum class Status {
    Complete,
    /// No connection was made: the engine saw nothing of the attempt.
    NotSent,
    /// The engine refused the attempt before it ran.
    Refused,
    /// The answer broke off or was an error.
    Broken,
  };
  Status m_Status = Status::Broken;
  std::uint64_t m_TotalBytes = 0;
  Digest m_ServedRoot;
  std::string m_Reason;
};

/// Calls to the model engine or plain service beside an agent, by HTTP/1.1. Streamed answers are
/// server-sent events that end with "data: [DONE]". Every call blocks and is safe from any thread.
class EngineClient {
public:
  EngineClient(Endpoint Engine, bool IsPlain, Bytes MaxAnswer)
      : m_Engine(std::move(Engine)), m_IsPlain(IsPlain), m_MaxAnswer(MaxAnswer) {}

  std::optional<EngineStatus> status() const;

  bool stage(const Digest &Chunk, const std::string &Content) const;
  std::optional<std::string> staged(const Digest &Chunk) const;
  bool unstage(const Digest &Chunk) const;
  /// Names and sizes as the engine lists them; nothing if it did not answer.
  std::optional<std::vector<ChunkRef>> listStaging() const;

  EngineLoadResult load(const Manifest &Model, const std::string &Version,
                        FencingToken Token) const;

  using FragmentHandler =
      std::function<void(std::uint64_t Offset, std::string Data, const Digest &ServedRoot)>;
  /// Runs one attempt. `Cancelled` is looked at between fragments.
  EngineRunResult run(const AttemptRequest &Request, const FragmentHandler &OnFragment,
                      const std::atomic<bool> &Cancelled) const;
  void cancel(const AttemptId &Attempt) const;

private:
  EngineRunResult generate(const AttemptRequest &Request, const FragmentHandler &OnFragment,
                           const std::atomic<bool> &Cancelled) const;
  EngineRunResult call(const AttemptRequest &Request, const FragmentHandler &OnFragment) const;

  Endpoint m_Engine;
  bool m_IsPlain;
  Bytes m_MaxAnswer;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_ENGINECLIENT_H
