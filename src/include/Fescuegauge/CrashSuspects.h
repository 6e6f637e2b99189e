#ifndef FESCUEGAUGE_CRASHSUSPECTS_H
#define FESCUEGAUGE_CRASHSUSPECTS_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescuegauge {

/// Identifies a request that may crash upstreams. Repetitions of the request have the same key.
struct SuspectKey {
  ClientAccountId m_Account;
  Digest m_BodyDigest;

  auto operator<=>(const SuspectKey &) const = default;
};

/// A change to the record of one request, exchanged between the entry instances of a data centre.
/// Deltas may be delivered out of order and more than once.
struct SuspectDelta {
  SuspectKey m_Key;
  /// The upstream that crashed while it ran the request.
  InstanceId m_Upstream;
  /// Distinguishes crashes of the same upstream.
  Incarnation m_Incarnation;
  /// The request has completed elsewhere, so it did not cause this crash.
  bool m_Cleared = false;
  /// Time since the crash was detected.
  Duration m_Age{};

  bool operator==(const SuspectDelta &) const = default;
};

/// Detects requests that crash every upstream that runs them.
///
/// Each crash of an upstream is recorded for the requests that ran on it. If some of them already
/// have a recorded crash, the new one is recorded only for these, because they explain it. A
/// request that completes is cleared of its crashes. A request is quarantined once it has two
/// crashes and no other request has all of the same ones. While another request has them, both may
/// be retried; the lifecycle dispatches suspects to different upstreams, so that the next crash or
/// completion distinguishes them.
class CrashSuspects {
public:
  /// Crashes of upstreams, or of incarnations of one, after which a request is quarantined.
  static constexpr std::size_t CrashesToQuarantine = 2;
  /// Period for which a crash counts and a quarantined request is refused.
  static constexpr Duration Lifetime = std::chrono::minutes(10);
  /// Suspects per account. Those with the fewest crashes are evicted first, then the oldest.
  static constexpr std::size_t MaxPerAccount = 32;
  /// Accounts with suspects. The one with the least recent crash is evicted first.
  static constexpr std::size_t MaxAccounts = 256;
  /// Recorded crashes per request. The oldest is evicted first.
  static constexpr std::size_t MaxCrashesPerRequest = 4;
  /// Queued outgoing deltas. The oldest is dropped first.
  static constexpr std::size_t MaxOutgoing = 1024;
  /// Deltas per message.
  static constexpr std::size_t MaxDeltasPerMessage = 64;

  /// Records a crash of `Upstream`. `Running` holds the requests that it was running.
  void recordCrash(const InstanceId &Upstream, Incarnation CrashIncarnation,
                   std::span<const SuspectKey> Running, TimePoint Now);
  /// Records that the request completed, which clears it of its crashes.
  void completed(const SuspectKey &Key, TimePoint Now);
  /// Returns true if the request must be refused.
  bool isQuarantined(const SuspectKey &Key, TimePoint Now) const;
  /// Returns true if the request has at least one crash. Two suspects should not run on the same
  /// upstream.
  bool isSuspect(const SuspectKey &Key, TimePoint Now) const;

  /// Returns up to MaxDeltasPerMessage deltas for the other entry instances of the data centre.
  /// Each delta is returned once. A starting process gets allDeltas() from a peer.
  std::vector<SuspectDelta> takeDeltas(TimePoint Now);
  std::vector<SuspectDelta> allDeltas(TimePoint Now) const;
  void merge(std::span<const SuspectDelta> Deltas, TimePoint Now);

  void onTimer(TimePoint Now);
  std::size_t size() const;
  std::size_t suspectCount(const ClientAccountId &Account) const;

private:
  struct Crash {
    TimePoint m_DetectedAt;
    bool m_Cleared = false;
  };
  using CrashId = std::pair<InstanceId, Incarnation>;
  using CrashMap = std::map<CrashId, Crash>;
  using SuspectMap = std::map<Digest, CrashMap>;

  const CrashMap *find(const SuspectKey &Key) const;
  std::vector<CrashId> activeCrashes(const CrashMap &Crashes, TimePoint Now) const;
  bool apply(const SuspectDelta &Delta, TimePoint Now);
  static TimePoint lastCrash(const CrashMap &Crashes);
  void makeRoom(const SuspectKey &NewKey);
  void queue(SuspectDelta Delta, TimePoint Now);

  std::map<ClientAccountId, SuspectMap> m_SuspectsByAccount;
  /// Queued deltas, each with the time of its crash; m_Age is set when the delta is taken.
  std::vector<std::pair<TimePoint, SuspectDelta>> m_Outgoing;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CRASHSUSPECTS_H
