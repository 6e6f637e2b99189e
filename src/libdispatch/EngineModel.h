#ifndef FESCUEGAUGE_LIBDISPATCH_ENGINEMODEL_H
#define FESCUEGAUGE_LIBDISPATCH_ENGINEMODEL_H

#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/Units.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace fescuegauge {

/// Simulates a model engine in virtual time, from the published parameters of its service. A batch
/// advances in passes; a pass reads the prompts of new requests and produces one event of each
/// stream. Weights are loaded when the running requests have ended; queued requests start on the
/// new ones.
class EngineModel {
public:
  struct Request {
    std::uint64_t m_Number = 0;
    std::uint32_t m_PromptTokens = 0;
    std::uint32_t m_AnswerTokens = 0;
  };
  struct Event {
    std::uint64_t m_Number = 0;
    bool m_IsFirst = false;
    bool m_IsLast = false;
  };
  using Listener = std::function<void(const Event &, TimePoint)>;

  /// Refuses requests beyond a full batch and `MaxQueued` queued ones.
  explicit EngineModel(EngineParameters Parameters,
                       std::optional<std::size_t> MaxQueued = std::nullopt)
      : m_Parameters(std::move(Parameters)), m_MaxQueued(MaxQueued) {}

  /// Returns false if the request is refused.
  bool submit(const Request &New) {
    if (m_NextVersion ||
        (m_MaxQueued && m_Batch.size() + m_Queue.size() >= m_Parameters.m_BatchSize + *m_MaxQueued))
      return false;
    m_Queue.push_back({New, false});
    return true;
  }
  /// Ends the request whether queued or running; ignored if it has ended.
  void withdraw(std::uint64_t Number) {
    const auto HasNumber = [&](const Running &Each) { return Each.m_Request.m_Number == Number; };
    std::erase_if(m_Queue, HasNumber);
    std::erase_if(m_Batch, HasNumber);
  }
  /// Accepts no further requests, and loads this version once the batch is empty.
  void load(WeightsVersion Version) { m_NextVersion = Version; }
  WeightsVersion version() const { return m_Version; }

  /// Finishes the passes that end by `Now`, and starts the next one.
  void advance(TimePoint Now, const Listener &OnEvent) {
    if (m_LoadEndsAt && *m_LoadEndsAt <= Now) {
      m_Version = *m_NextVersion;
      m_NextVersion.reset();
      m_LoadEndsAt.reset();
    }
    while (m_PassEndsAt && *m_PassEndsAt <= Now) {
      const TimePoint End = *m_PassEndsAt;
      m_PassEndsAt.reset();
      finishPass(End, OnEvent);
      startPass(End);
    }
    if (!m_PassEndsAt)
      startPass(Now);
  }

private:
  struct Running {
    Request m_Request;
    bool m_IsPromptRead = false;
  };

  void startPass(TimePoint Now) {
    if (m_LoadEndsAt)
      return;
    if (m_NextVersion && m_Batch.empty()) {
      m_LoadEndsAt = Now + m_Parameters.m_LoadTime;
      return;
    }
    while (!m_NextVersion && !m_Queue.empty() && m_Batch.size() < m_Parameters.m_BatchSize) {
      m_Batch.push_back(m_Queue.front());
      m_Queue.erase(m_Queue.begin());
    }
    if (m_Batch.empty())
      return;
    double UnreadTokens = 0;
    for (const Running &Each : m_Batch)
      if (!Each.m_IsPromptRead)
        UnreadTokens += Each.m_Request.m_PromptTokens;
    const double Step =
        toSeconds(m_Parameters.m_StepTime) +
        toSeconds(m_Parameters.m_StepTimePerRequest) * static_cast<double>(m_Batch.size());
    const double Length =
        m_Parameters.m_StepsPerPass * Step + UnreadTokens / m_Parameters.m_PromptTokensPerSecond;
    m_PassEndsAt = Now + Duration(static_cast<Duration::rep>(Length * 1e6));
  }

  void finishPass(TimePoint End, const Listener &OnEvent) {
    for (Running &Each : m_Batch) {
      const std::uint32_t Written =
          std::min(Each.m_Request.m_AnswerTokens, m_Parameters.m_StepsPerPass);
      Each.m_Request.m_AnswerTokens -= Written;
      OnEvent({Each.m_Request.m_Number, !Each.m_IsPromptRead, Each.m_Request.m_AnswerTokens == 0},
              End);
      Each.m_IsPromptRead = true;
    }
    std::erase_if(m_Batch, [](const Running &Each) { return Each.m_Request.m_AnswerTokens == 0; });
  }

  EngineParameters m_Parameters;
  std::optional<std::size_t> m_MaxQueued;
  std::vector<Running> m_Batch;
  std::vector<Running> m_Queue;
  std::optional<TimePoint> m_PassEndsAt;
  WeightsVersion m_Version{1};
  /// The version to be loaded, and when loading it ends.
  std::optional<WeightsVersion> m_NextVersion;
  std::optional<TimePoint> m_LoadEndsAt;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBDISPATCH_ENGINEMODEL_H
