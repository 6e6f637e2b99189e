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
/// passes, and a pass reads the prompts that wait and writes one event of each stream.
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

  explicit EngineModel(EngineParameters Parameters) : m_Parameters(std::move(Parameters)) {}

  void submit(const Request &New) { m_Waiting.push_back({New, false}); }

  /// Ends the passes that are over by `Now`, and starts the next one.
  void advance(TimePoint Now, const Listener &OnEvent) {
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
    while (!m_Waiting.empty() && m_Batch.size() < m_Parameters.m_BatchSize) {
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
  std::vector<Running> m_Batch;
  std::vector<Running> m_Waiting;
  std::optional<TimePoint> m_PassEnd;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBDISPATCH_ENGINEMODEL_H
