#ifndef FESCUEGAUGE_LIBGATEWAY_PAUSINGUPSTREAM_H
#define FESCUEGAUGE_LIBGATEWAY_PAUSINGUPSTREAM_H

#include "FakeUpstream.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fescuegauge::test {

/// What an upstream does next in a response.
enum class ResponsePhase { Header, FirstEvent, NextEvent, RestOfEvent, End };

/// Part of a response that is written at once.
struct ResponseStep {
  ResponsePhase m_Phase;
  Duration m_DelayBefore{0};
  std::string m_Bytes;
  /// Whether the step completes an event of a stream.
  bool m_EndsEvent = false;
};

/// What an upstream does with one request.
enum class RunKind {
  /// Runs the request and sends the whole response.
  Sound,
  /// States that it does not run the request.
  Rejection,
  /// Resets the connection.
  Break,
  /// Responds with a failure that does not state whether the request was run.
  Failure,
  /// Responds with a stream without events.
  NoEvents,
  /// Resumes a stream on another version of the weights.
  OtherVersion,
};

/// One request at one upstream.
///
/// If the gateway closes the connection, the run goes on without writing, so that m_EndedAt is
/// when the response would have ended.
struct UpstreamRun {
  std::string m_RequestId;
  InstanceId m_Upstream;
  RunKind m_Kind = RunKind::Sound;
  std::vector<ResponseStep> m_Steps;
  FakeUpstream::Script::End m_End = FakeUpstream::Script::End::KeepOpen;
  bool m_IsUnframed = false;
  int m_WeightsVersion = 0;
  /// The event after which the run resumes a stream, or 0.
  int m_ResumedAfter = 0;
  TimePoint m_ArrivedAt;
  std::vector<TimePoint> m_EventTimes;
  /// The gateway closed the connection before the end of the response.
  std::optional<TimePoint> m_AbandonedAt;
  std::optional<TimePoint> m_EndedAt;
  Duration m_PausedTime{0};
};

/// Upstream of which all requests can be paused together, like a process that gets SIGSTOP and
/// SIGCONT.
class PausingUpstream {
public:
  /// Creates the run of a request. The run must live as long as the event loop.
  using RunFactory = std::function<UpstreamRun &(const HttpRequest &)>;
  /// Called when a run is about to begin a step.
  using StepListener = std::function<void(const UpstreamRun &, ResponsePhase)>;
  /// Called after a pause has delayed a step.
  using PauseListener = std::function<void(const UpstreamRun &, ResponsePhase, Duration)>;

  PausingUpstream(net::io_context &Loop, RunFactory MakeRun, StepListener OnStep,
                  PauseListener OnPaused)
      : m_MakeRun(std::move(MakeRun)), m_OnStep(std::move(OnStep)), m_OnPaused(std::move(OnPaused)),
        m_Server(Loop, [this](Tcp::socket Socket) { return serve(std::move(Socket)); }) {}

  Endpoint address() const { return m_Server.address(); }
  /// Number of requests in progress whose connection is open.
  std::uint32_t inFlight() const { return m_InFlight; }
  void pause(Duration Length) { m_PausedUntil = std::max(m_PausedUntil, monotonicNow() + Length); }
  bool isPaused() const { return monotonicNow() < m_PausedUntil; }

private:
  Task<> serve(Tcp::socket Socket) {
    namespace http = boost::beast::http;
    Socket.set_option(Tcp::no_delay(true));
    boost::beast::flat_buffer Buffer;
    while (true) {
      HttpRequest Request;
      auto [Error, Size] = co_await http::async_read(Socket, Buffer, Request, AsTuple);
      if (Error)
        co_return;
      UpstreamRun &Run = m_MakeRun(Request);
      ++m_InFlight;
      for (const ResponseStep &Each : Run.m_Steps) {
        co_await wait(Socket, Run, Each.m_DelayBefore);
        if (!Run.m_AbandonedAt)
          m_OnStep(Run, Each.m_Phase);
        co_await waitForPause(Socket, Run, Each.m_Phase);
        co_await write(Socket, Run, Each);
      }
      Run.m_EndedAt = monotonicNow();
      if (Run.m_AbandonedAt)
        co_return;
      --m_InFlight;
      if (Run.m_End == FakeUpstream::Script::End::Reset)
        Socket.set_option(net::socket_base::linger(true, 0));
      if (Run.m_End != FakeUpstream::Script::End::KeepOpen) {
        // The destructor would not reset the connection.
        Socket.close();
        co_return;
      }
    }
  }

  void abandon(UpstreamRun &Run) {
    Run.m_AbandonedAt = monotonicNow();
    --m_InFlight;
  }

  Task<> wait(Tcp::socket &Socket, UpstreamRun &Run, Duration Length) {
    const TimePoint End = monotonicNow() + Length;
    if (!Run.m_AbandonedAt) {
      const bool IsOpen = co_await delayUnlessClosed(Socket, Length);
      if (!IsOpen)
        abandon(Run);
    }
    if (const TimePoint Now = monotonicNow(); Now < End)
      co_await sleepFor(End - Now);
  }

  Task<> waitForPause(Tcp::socket &Socket, UpstreamRun &Run, ResponsePhase Phase) {
    const TimePoint Begin = monotonicNow();
    while (isPaused())
      co_await wait(Socket, Run, m_PausedUntil - monotonicNow());
    const Duration Paused = monotonicNow() - Begin;
    Run.m_PausedTime += Paused;
    m_OnPaused(Run, Phase, Paused);
  }

  Task<> write(Tcp::socket &Socket, UpstreamRun &Run, const ResponseStep &Step) {
    if (!Run.m_AbandonedAt && !Step.m_Bytes.empty()) {
      auto [Error, Written] = co_await net::async_write(Socket, net::buffer(Step.m_Bytes), AsTuple);
      if (Error)
        abandon(Run);
    }
    if (!Run.m_AbandonedAt && Step.m_EndsEvent)
      Run.m_EventTimes.push_back(monotonicNow());
  }

  RunFactory m_MakeRun;
  StepListener m_OnStep;
  PauseListener m_OnPaused;
  TimePoint m_PausedUntil;
  std::uint32_t m_InFlight = 0;
  LoopbackServer m_Server;
};

} // namespace fescuegauge::test

#endif // FESCUEGAUGE_LIBGATEWAY_PAUSINGUPSTREAM_H
