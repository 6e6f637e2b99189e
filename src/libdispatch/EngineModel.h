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

/// A model engine on virtual time, by the published constants of its service: a batch advances in
/// passes, and a pass reads the prompts that wait and writes one event of each stream. Weights are
/// loaded when what runs has ended; what waits begins on the new ones.
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

  /// Requests that wait beside a full batch are refused above `MostWaiting`.
  explicit EngineModel(EngineParameters Parameters,
                       std::optional<std::size_t> MostWaiting = std::nullopt)
      : m_Parameters(std::move(Parameters)), m_MostWaiting(MostWaiting) {}

  /// False if the request is refused.
  bool submit(const Request &New) {
    if (m_Next || (m_MostWaiting &&
                   m_Batch.size() + m_Waiting.size() >= m_Parameters.m_BatchSize + *m_MostWaiting))
      return false;
    m_Waiting.push_back({New, false});
    return true;
  }
  /// The request ends wherever it is; one that has ended before is not missed.
  void withdraw(std::uint64_t Number) {
    const auto Is = [&](const Running &Each) { return Each.m_Request.m_Number == Number; };
    std::erase_if(m_Waiting, Is);
    std::erase_if(m_Batch, Is);
  }
  /// Takes no further request, and loads this version once the batch is empty.
  void load(WeightsVersion Version) { m_Next = Version; }
  WeightsVersion version() const { return m_Version; }

  /// Ends the passes that are over by `Now`, and starts the next one.
  void advance(TimePoint Now, const Listener &OnEvent) {
    if (m_LoadEnd && *m_LoadEnd <= Now) {
      m_Version = *m_Next;
      m_Next.reset();
      m_LoadEnd.reset();
    }
    while (m_PassEnd && *m_PassEnd <= Now) {
      const TimePoint End = *m_PassEnd;
      m_PassEnd.reset();
      finishPass(End, OnEvent);
      startPass(End);
    }
    if (!m_PassEnd)
      startPass(Now);
  }

private:
  struct Running {
    Request m_Request;
    bool m_IsRead = false;
  };

  void startPass(TimePoint Now) {
    if (m_LoadEnd)
      return;
    if (m_Next && m_Batch.empty()) {
      m_LoadEnd = Now + m_Parameters.m_LoadTime;
      return;
    }
    while (!m_Next && !m_Waiting.empty() && m_Batch.size() < m_Parameters.m_BatchSize) {
      m_Batch.push_back(m_Waiting.front());
      m_Waiting.erase(m_Waiting.begin());
    }
    if (m_Batch.empty())
      return;
    double Unread = 0;
    for (const Running &Each : m_Batch)
      if (!Each.m_IsRead)
        Unread += Each.m_Request.m_PromptTokens;
    const double Step =
        toSeconds(m_Parameters.m_StepTime) +
        toSeconds(m_Parameters.m_StepTimePerRequest) * static_cast<double>(m_Batch.size());
    const double Length =
        m_Parameters.m_StepsPerPass * Step + Unread / m_Parameters.m_PromptTokensPerSecond;
    m_PassEnd = Now + Duration(static_cast<Duration::rep>(Length * 1e6));
  }

  void finishPass(TimePoint End, const Listener &OnEvent) {
    for (Running &Each : m_Batch) {
      const std::uint32_t Written =
          std::min(Each.m_Request.m_AnswerTokens, m_Parameters.m_StepsPerPass);
      Each.m_Request.m_AnswerTokens -= Written;
      OnEvent({Each.m_Request.m_Number, !Each.m_IsRead, Each.m_Request.m_AnswerTokens == 0}, End);
      Each.m_IsRead = true;
    }
    std::erase_if(m_Batch, [](const Running &Each) { return Each.m_Request.m_AnswerTokens == 0; });
  }

  EngineParameters m_Parameters;
  std::optional<std::size_t> m_MostWaiting;
  std::vector<Running> m_Batch;
  std::vector<Running> m_Waiting;
  std::optional<TimePoint> m_PassEnd;
  WeightsVersion m_Version{1};
  /// The version that is to be loaded, and when its load ends.
  std::optional<WeightsVersion> m_Next;
  std::optional<TimePoint> m_LoadEnd;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBDISPATCH_ENGINEMODEL_H
