#ifndef FESCUEGAUGE_LIBREQUESTS_MODEL_CRASHREPLAY_H
#define FESCUEGAUGE_LIBREQUESTS_MODEL_CRASHREPLAY_H

#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/Random.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace fescuegauge {

/// How the instances of a replay use CrashSuspects.
enum class SuspectRule {
  Quarantine,
  /// Baseline: only whole requests are suspected, not their parts.
  WholeRequests,
  /// Baseline: crashes of a part are counted, and beginnings of answers refute nothing.
  CountOnly,
};

struct CrashReplayOptions {
  std::size_t m_Instances = 7;
  std::size_t m_DataCentres = 3;
  std::size_t m_Upstreams = 11;
  /// Share of the requests with the part that crashes upstreams, from FaultBegin to FaultEnd.
  double m_FaultyShare = 0.02;
  /// Number of parts that crash upstreams. Each faulty request has one of them.
  std::size_t m_FaultyParts = 1;
  /// Share of the upstreams that crash for other reasons, at the same moment, every
  /// OrdinaryCrashInterval.
  double m_OrdinaryCrashShare = 0;
  /// Loss rate of the datagrams between instances.
  double m_Loss = 0.02;
  /// Whether a request that had not begun at a crash is sent once more at once.
  bool m_HasRetries = true;
  SuspectRule m_Rule = SuspectRule::Quarantine;
  std::uint64_t m_Seed = 1;
};

struct CrashReplayResult {
  /// Crashes caused by faulty parts.
  std::size_t m_Crashes = 0;
  /// Requests with a faulty part that were sent later than BoundTime after its fifth crash; the
  /// largest count of a part.
  std::size_t m_SentAfterBound = 0;
  /// Sound requests with the account or the first part of faulty ones: share that began at the
  /// first attempt, from twice BoundTime after the fifth crash of each part, relative to the time
  /// before the fault.
  double m_SoundServedRatio = 0;
  /// Quarantines of sound parts.
  std::size_t m_FalseConvictions = 0;
  /// Sound requests whose repetitions are blocked, because they were in two crashes.
  std::size_t m_BlockedRequests = 0;
};

/// Simulates entry instances, each with its own CrashSuspects, and engines that crash when they
/// begin to answer a request with a faulty prompt part, in virtual time.
class CrashReplay {
public:
  static constexpr TimePoint FaultBegin{std::chrono::seconds(4)};
  static constexpr TimePoint FaultEnd{std::chrono::seconds(20)};
  static constexpr TimePoint End{std::chrono::seconds(22)};
  static constexpr std::size_t CrashesToBound = 5;
  static constexpr Duration BoundTime = std::chrono::seconds(3);
  /// The bound on requests with the faulty part that are sent after BoundTime.
  static constexpr std::size_t MaxSentAfterBound = 3;
  static constexpr double MinSoundServedRatio = 0.5;
  static constexpr Duration OrdinaryCrashInterval = std::chrono::seconds(5);

  explicit CrashReplay(const CrashReplayOptions &Given);

  CrashReplayResult run();

private:
  struct Request {
    SuspectRequest m_Suspect;
    /// The part that crashes upstreams, unless the request is sound.
    std::optional<std::size_t> m_FaultyPart;
    /// A sound request with the account or the first part of faulty ones.
    bool m_IsRelated = false;
    std::size_t m_Instance = 0;
    int m_Attempts = 0;
    std::size_t m_Upstream = 0;
    bool m_HasBegun = false;
    TimePoint m_ArrivedAt;
  };
  /// What the requests with one faulty part did.
  struct Fault {
    std::vector<TimePoint> m_Crashes;
    std::vector<TimePoint> m_Sends;
  };
  struct Upstream {
    std::uint64_t m_Incarnation = 1;
    TimePoint m_DownUntil;
    std::set<std::size_t> m_Running;
  };
  struct Instance {
    std::unique_ptr<CrashSuspects> m_Suspects;
    std::size_t m_Round = 0;
    TimePoint m_RemoteSentAt;
  };
  struct Event {
    TimePoint m_At;
    std::uint64_t m_Number = 0;
    std::function<void()> m_Run;

    bool operator<(const Event &Other) const {
      return std::pair(Other.m_At, Other.m_Number) < std::pair(m_At, m_Number);
    }
  };

  void post(TimePoint At, std::function<void()> Run);
  void arrive();
  void dispatch(std::size_t Number);
  void begin(std::size_t Number, std::uint64_t StartNumber);
  void crash(std::size_t Crashed);
  void crashSome();
  void sendUpdates(std::size_t From);
  void send(std::size_t To, std::shared_ptr<const SuspectUpdate> Update);
  void collectChanges(std::size_t Of);
  UpstreamStart startOf(std::size_t Index) const;
  std::size_t dataCentreOf(std::size_t Index) const { return Index % m_Options.m_DataCentres; }
  bool chance(double Probability) { return uniformUnit(m_Random) < Probability; }
  Duration between(Duration Least, Duration Most);
  std::size_t index(std::size_t Count) {
    return static_cast<std::size_t>(uniformUnit(m_Random) * static_cast<double>(Count));
  }

  CrashReplayOptions m_Options;
  RandomGenerator m_Random;
  TimePoint m_Now;
  std::uint64_t m_EventCount = 0;
  std::priority_queue<Event> m_Events;
  std::vector<Instance> m_Instances;
  std::vector<Upstream> m_Upstreams;
  std::vector<Request> m_Requests;
  std::vector<Fault> m_Faults;
  std::set<std::vector<SuspectKey>> m_FalseConvictions;
  std::set<std::vector<SuspectKey>> m_BlockedRequests;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBREQUESTS_MODEL_CRASHREPLAY_H
