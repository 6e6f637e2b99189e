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
  /// Baseline: the first bytes of an answer count as its beginning.
  FirstBytes,
  /// Baseline: requests of all accounts with the same body are one request.
  SharedBodies,
};

struct CrashReplayOptions {
  std::size_t m_Instances = 7;
  std::size_t m_DataCentres = 3;
  std::size_t m_Upstreams = 11;
  /// Share of the requests with the part that crashes upstreams, from FaultBegin to FaultEnd.
  double m_FaultyShare = 0.02;
  /// Number of parts that crash upstreams. Each faulty request has one of them.
  std::size_t m_FaultyParts = 1;
  /// Number of requests that crash upstreams: lookups of one account each, whose body other
  /// accounts send too. Each comes every FaultyRequestInterval.
  std::size_t m_FaultyRequests = 0;
  /// Share of the requests that are lookups with one of few bodies.
  double m_LookupShare = 0;
  /// Share of the upstreams that crash for other reasons, at the same moment, every
  /// OrdinaryCrashInterval.
  double m_OrdinaryCrashShare = 0;
  /// Number of upstreams with unstarted requests that crash for other reasons, one after the other,
  /// soon after FaultBegin.
  std::size_t m_CrashSeries = 0;
  Duration m_MinSeriesGap = std::chrono::milliseconds(50);
  Duration m_MaxSeriesGap = std::chrono::seconds(2);
  /// Requests arrive in batches of this size.
  std::size_t m_BatchSize = 1;
  /// Arrivals per upstream and second.
  double m_RequestRate = 8;
  /// Number of first parts of sound requests. All faulty requests have the first ones of them.
  std::size_t m_FirstParts = 60;
  /// Time from the arrival of a request at its upstream to the first bytes of the answer.
  Duration m_MinStartTime = std::chrono::milliseconds(100);
  Duration m_MaxStartTime = std::chrono::milliseconds(600);
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
  /// Requests with a faulty part that were sent later than BoundTime after its fifth crash, and
  /// faulty requests that were sent later than that after their third; the largest count of a
  /// fault.
  std::size_t m_SentAfterBound = 0;
  /// Sound requests with the account or the first part of faulty ones: share that began at the
  /// first attempt, from twice BoundTime after the fifth crash of each part and the last crash of
  /// the series, relative to the time before the fault.
  double m_SoundServedRatio = 0;
  /// Quarantines of sound parts.
  std::size_t m_FalseConvictions = 0;
  /// Sound requests whose repetitions are blocked, because they were in two crashes.
  std::size_t m_BlockedRequests = 0;
};

/// Simulates entry instances, each with its own CrashSuspects, and engines that crash in the first
/// event of their answer to a request that is faulty or has a faulty prompt part, in virtual time.
class CrashReplay {
public:
  static constexpr TimePoint FaultBegin{std::chrono::seconds(4)};
  static constexpr TimePoint FaultEnd{std::chrono::seconds(20)};
  static constexpr TimePoint End{std::chrono::seconds(22)};
  /// Crashes of a faulty part, and of a faulty request, from which BoundTime counts.
  static constexpr std::size_t CrashesToBound = 5;
  static constexpr std::size_t RequestCrashesToBound = 3;
  static constexpr Duration BoundTime = std::chrono::seconds(3);
  /// The bound on requests with the faulty part that are sent after BoundTime.
  static constexpr std::size_t MaxSentAfterBound = 3;
  static constexpr double MinSoundServedRatio = 0.5;
  static constexpr Duration OrdinaryCrashInterval = std::chrono::seconds(5);
  static constexpr Duration FaultyRequestInterval = std::chrono::seconds(1);

  explicit CrashReplay(const CrashReplayOptions &Given);

  CrashReplayResult run();

private:
  struct Request {
    SuspectRequest m_Suspect;
    /// Number of the fault, unless the request is sound. Faulty parts come before faulty requests.
    std::optional<std::size_t> m_Fault;
    /// A sound request with the account or the first part of faulty ones.
    bool m_IsRelated = false;
    std::size_t m_Instance = 0;
    int m_Attempts = 0;
    std::size_t m_Upstream = 0;
    bool m_HasResponded = false;
    bool m_HasBegun = false;
    TimePoint m_ArrivedAt;
  };
  /// What the requests with one faulty part, or the repetitions of one faulty request, did.
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
  void arriveFaulty(std::size_t FaultNumber);
  Request drawRequest();
  SuspectRequest suspectOf(std::size_t Account, const std::string &Body,
                           std::vector<std::string> Parts) const;
  void accept(Request New);
  void dispatch(std::size_t Number);
  /// The first bytes of an answer are sent.
  void respond(std::size_t Number, std::uint64_t StartNumber);
  /// The second event of an answer is sent.
  void begin(std::size_t Number, std::uint64_t StartNumber);
  void recordBegun(const Request &Begun);
  void crash(std::size_t Crashed);
  void crashSome();
  /// Crashes an upstream with unstarted requests that `Left` - 1 others follow.
  void crashNext(std::size_t Left);
  bool isAt(std::size_t Number, std::uint64_t StartNumber) const;
  bool isUnstarted(const Request &Running) const;
  bool isFaultyRequest(std::size_t FaultNumber) const {
    return FaultNumber >= m_Options.m_FaultyParts;
  }
  void sendUpdates(std::size_t From);
  void send(std::size_t To, std::shared_ptr<const SuspectUpdate> Update);
  /// Cancels the attempts of an instance that have not responded and must no longer begin.
  void withdrawQuarantined(std::size_t Of);
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
  TimePoint m_LastSeriesCrash;
  std::set<std::vector<SuspectKey>> m_FalseConvictions;
  std::set<std::vector<SuspectKey>> m_BlockedRequests;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBREQUESTS_MODEL_CRASHREPLAY_H
