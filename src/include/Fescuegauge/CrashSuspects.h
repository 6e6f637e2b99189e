#ifndef FESCUEGAUGE_CRASHSUSPECTS_H
#define FESCUEGAUGE_CRASHSUSPECTS_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"
#include "Fescuegauge/UpstreamStatements.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// A property of requests that may make upstreams crash.
struct SuspectKey {
  enum class Kind : std::uint8_t {
    /// One request and its repetitions. The id is a digest of the client account, the target and
    /// the body: accounts that send the same body send different requests.
    Request,
    /// A part of the prompt, which different requests share.
    PromptPart,
  };

  Kind m_Kind = Kind::Request;
  std::string m_Id;

  auto operator<=>(const SuspectKey &) const = default;
  /// For logs and dumps, for example "part:5c1e07a2".
  std::string str() const;
};

/// A request with its keys, sorted and without duplicates.
struct SuspectRequest {
  ClientAccountId m_Account;
  std::vector<SuspectKey> m_Keys;

  auto operator<=>(const SuspectRequest &) const = default;
  bool contains(const SuspectKey &Key) const;
};

/// Creates the keys of a request from its account, the digest of its target and body, and the ids
/// of its shared prompt parts. Parts beyond CrashSuspects::MaxPartsPerRequest are ignored.
SuspectRequest makeSuspectRequest(ClientAccountId Account, const Digest &Content,
                                  std::span<const std::string> PromptParts);
/// Parses a list of prompt parts, ID:TOKENS separated by commas. Returns the ids of all parts but
/// the last, which belongs to a single request or session. Entries without an id are skipped.
std::vector<std::string> parseSharedPromptParts(std::string_view Header);

/// A request that had not begun when its upstream crashed; see CrashSuspects::recordBegun().
struct CrashEvidence {
  UpstreamStart m_Crash;
  /// Time since the crash.
  Duration m_Age{};
  SuspectRequest m_Request;

  bool operator==(const CrashEvidence &) const = default;
};

/// A request with the key has begun, and its upstream did not crash.
struct BegunKey {
  SuspectKey m_Key;
  /// Time since then.
  Duration m_Age{};

  bool operator==(const BegunKey &) const = default;
};

/// Blocks requests with all of the keys. Keys that always come together cannot be distinguished
/// until one of them comes alone.
struct Quarantine {
  std::vector<SuspectKey> m_Keys;
  /// Only requests of this account; not set if requests of several accounts caused the crashes.
  std::optional<ClientAccountId> m_Account;
  /// The last crash that it explains.
  UpstreamStart m_LastCrash;
  /// Time since that crash.
  Duration m_Age{};

  bool operator==(const Quarantine &) const = default;
  bool matches(const SuspectRequest &Request) const;
  /// Whether it blocks only repetitions of one request.
  bool isOfOneRequest() const;
};

/// Knowledge exchanged between entry instances. Updates may be lost, reordered and duplicated.
struct SuspectUpdate {
  std::vector<CrashEvidence> m_Evidence;
  std::vector<BegunKey> m_Begun;
  std::vector<Quarantine> m_Quarantines;

  bool operator==(const SuspectUpdate &) const = default;
  bool empty() const { return m_Evidence.empty() && m_Begun.empty() && m_Quarantines.empty(); }
};

/// A quarantine that began or ended, for the log and for requests in progress.
struct QuarantineChange {
  enum class Kind {
    Begun,
    /// A request with one of its keys began.
    Refuted,
    Expired,
  };

  Kind m_Kind = Kind::Begun;
  Quarantine m_Quarantine;
  /// Crashes that explain it, as far as they are known here.
  std::vector<UpstreamStart> m_Crashes;
};

std::string_view quarantineChangeName(QuarantineChange::Kind Kind);
/// Keys separated by commas, for logs and dumps.
std::string joinKeys(std::span<const SuspectKey> Keys);

/// Finds what the requests that crash upstreams have in common, and blocks requests with it.
///
/// A crash is evidence against the keys of requests that had not begun at the upstream. A request
/// with a key that begins refutes all earlier evidence against the key. A key with enough
/// crashes since is quarantined, together with the keys that came with it each time. Crashes that a
/// quarantine explains are no evidence against other keys.
///
/// Upstreams also crash for other reasons, and then whatever many requests share is in flight at
/// each of them. A key with which requests began before its crashes therefore needs more crashes
/// than a key that is new.
///
/// Crashes are identified by the start of the upstream, so reports of several instances on one
/// crash count once. Evidence, beginnings and quarantines are passed on by each instance that
/// learns of them.
class CrashSuspects {
public:
  /// Crashes after which a key is quarantined if no other key explains all of them. One more crash
  /// is needed otherwise.
  static constexpr std::size_t CrashesToQuarantine = 2;
  /// The same for a request, and for a prompt part, that began before. These are the numbers of
  /// crashes from which the bounds on further attempts count.
  static constexpr std::size_t CrashesToQuarantineKnownRequest = 3;
  static constexpr std::size_t CrashesToQuarantineKnownPart = 5;
  /// Weight of a crash as evidence against a key, and of one that may have another cause, such as a
  /// loss of power or another faulty request.
  static constexpr std::size_t CrashWeight = 2;
  static constexpr std::size_t SharedCrashWeight = 1;
  /// Crashes within this time may have one common cause. They count once against a prompt part,
  /// which may be in requests at several upstreams.
  static constexpr Duration CommonCauseTime = std::chrono::milliseconds(100);
  /// Time after a crash for which evidence counts, and for which a quarantine lasts that explains
  /// the crash.
  static constexpr Duration Lifetime = std::chrono::minutes(10);
  /// Time for which news is passed on. Any update may be lost, and not each reaches all instances.
  static constexpr Duration SpreadTime = std::chrono::seconds(2);
  /// Time for which news is to be sent at once.
  static constexpr Duration UrgentTime = std::chrono::milliseconds(120);
  /// Time for which beginnings of requests without evidence are kept. Evidence from another
  /// instance may arrive that much later. Few requests are repeated, but many share prompt parts,
  /// so beginnings of parts are kept for Lifetime.
  static constexpr Duration BegunRetention = std::chrono::seconds(3);
  /// Interval at which beginnings that are older are removed.
  static constexpr Duration PruneInterval = std::chrono::seconds(1);
  /// Events of a stream, or fragments of an answer, with which its request has begun. An upstream
  /// that crashes with the first token may have sent the first event, or a part of it; the second
  /// event takes a further pass of the engine.
  static constexpr std::size_t EventsToBegin = 2;
  /// Further prompt parts of a request are ignored.
  static constexpr std::size_t MaxPartsPerRequest = 256;
  /// Longer ids are replaced by a digest.
  static constexpr std::size_t MaxPartIdBytes = 32;
  /// Keys in the evidence on requests of one account. The oldest evidence is evicted first.
  static constexpr std::size_t MaxKeysPerAccount = 1024;
  /// Beginnings of keys of each kind without evidence, per account. The oldest is evicted first.
  static constexpr std::size_t MaxBegunPerAccount = 1024;
  /// Accounts with evidence. Evidence on requests of further accounts is dropped.
  static constexpr std::size_t MaxAccounts = 128;
  /// Quarantines of one account, and of several accounts together. One of a part evicts one of a
  /// single request; further ones are dropped.
  static constexpr std::size_t MaxQuarantinesPerAccount = 16;
  /// Keys in the evidence of one update, and beginnings and quarantines in it.
  static constexpr std::size_t MaxKeysPerUpdate = 256;
  static constexpr std::size_t MaxBegunPerUpdate = 64;
  static constexpr std::size_t MaxQuarantinesPerUpdate = 16;

  /// Evidence on a crash is considered after `CollectionTime`, when reports of all instances with
  /// requests at the upstream have arrived.
  explicit CrashSuspects(Duration CollectionTime = Duration(0))
      : m_CollectionTime(CollectionTime) {}

  /// Records a crash. `Unstarted` holds the requests at the upstream that had not begun.
  void recordCrash(const UpstreamStart &Upstream, std::span<const SuspectRequest> Unstarted,
                   TimePoint CrashedAt, TimePoint Now);
  /// Records that a request began: its upstream sent EventsToBegin events, or the whole answer, and
  /// so survived the start of the request.
  void recordBegun(const SuspectRequest &Request, TimePoint Now);

  /// Returns true if the request must not be sent to any upstream.
  bool isQuarantined(const SuspectRequest &Request, TimePoint Now) const;
  /// Returns true if there is evidence against one of its keys. Two suspects should not run on the
  /// same upstream.
  bool isSuspect(const SuspectRequest &Request, TimePoint Now) const;
  std::vector<Quarantine> quarantines(TimePoint Now) const;

  /// Returns news for other instances; the items that were sent the fewest times come first.
  SuspectUpdate takeUpdate(TimePoint Now);
  /// Whether the update contains news that this instance has just learned.
  bool isUrgent(TimePoint Now) const { return Now < m_UrgentUntil; }
  /// Everything that is known, for an instance that starts.
  SuspectUpdate fullUpdate(TimePoint Now) const;
  void merge(const SuspectUpdate &Update, TimePoint Now);

  void onTimer(TimePoint Now);
  /// Next time at which onTimer() may change a quarantine because evidence is complete.
  std::optional<TimePoint> nextEvaluation() const { return m_NextEvaluation; }
  /// Returns the changes since the last call.
  std::vector<QuarantineChange> takeChanges() { return std::exchange(m_Changes, {}); }

  /// Number of keys with evidence.
  std::size_t size() const { return m_CrashesByKey.size(); }
  /// Number of keys in the evidence on requests of an account.
  std::size_t suspectCount(const ClientAccountId &Account) const;

private:
  struct UnstartedRequest {
    SuspectRequest m_Request;
    TimePoint m_LearnedAt;
    std::uint32_t m_Sent = 0;
  };
  struct Crash {
    TimePoint m_At;
    TimePoint m_LearnedAt;
    std::vector<UnstartedRequest> m_Unstarted;

    /// Whether a request meets a condition.
    template <typename Condition> bool hasUnstarted(Condition Holds) const {
      return std::any_of(m_Unstarted.begin(), m_Unstarted.end(),
                         [&](const UnstartedRequest &Each) { return Holds(Each.m_Request); });
    }
  };
  struct Begun {
    TimePoint m_At = TimePoint::min();
    /// When it became news that changes the weight of evidence.
    std::optional<TimePoint> m_NewsAt;
    std::uint32_t m_Sent = 0;
  };
  struct Active {
    Quarantine m_Quarantine;
    TimePoint m_LastCrashAt;
    std::uint32_t m_Sent = 0;
  };
  using CrashSet = std::set<UpstreamStart>;

  /// Returns whether the evidence is new.
  bool addEvidence(const UpstreamStart &Upstream, const SuspectRequest &Request, TimePoint At,
                   TimePoint Now);
  /// Removes the oldest evidence of the request's account if it exceeds MaxKeysPerAccount. Returns
  /// false if there are too many accounts.
  bool makeRoom(const SuspectRequest &For);
  void removeUnstarted(std::map<UpstreamStart, Crash>::iterator Of, std::size_t Index);
  /// Returns whether this changes the weight of evidence. `Key` must have evidence.
  bool setBegun(const SuspectKey &Key, TimePoint At, TimePoint Now);
  std::optional<TimePoint> begunAt(const SuspectKey &Key) const;
  /// The last beginning of a key without evidence, whichever account sent the request.
  std::optional<TimePoint> recentlyBegunAt(const SuspectKey &Key) const;
  void pruneRecentlyBegun(TimePoint Now);
  /// Includes the last beginning of a key in the next updates.
  void announceBegun(const SuspectKey &Key, TimePoint At, TimePoint Now);
  /// Removes the key from quarantines that its beginning refutes.
  void refute(const SuspectKey &Key, TimePoint BegunAt);
  /// Removes the key from all quarantines that meet a condition.
  template <typename Condition> void removeFromQuarantines(const SuspectKey &Key, Condition Holds);

  /// Crashes that are evidence against a key.
  CrashSet crashesOf(const SuspectKey &Key, TimePoint Now) const;
  enum class OwnQuarantines { Ignored, Counted };
  /// Whether a quarantine explains a crash, so that the crash is no evidence against a key. `Own`
  /// says whether quarantines with this key count.
  bool isExplained(const Crash &Explained, const SuspectKey &Against, OwnQuarantines Own) const;
  /// Whether another upstream without the key crashed at about the same time, or a request was at
  /// this upstream that is blocked because of crashes which the key does not explain.
  bool mayHaveOtherCause(const Crash &Of, const SuspectKey &Key) const;
  CrashSet crashesOfRequest(const SuspectRequest &Request) const;
  /// Whether a quarantine blocks this request and its repetitions only.
  bool isBlockedAlone(const SuspectRequest &Request) const;
  /// Sum of the weights of crashes without a common cause. Only crashes with a further request
  /// count against a prompt part.
  std::size_t weight(const SuspectKey &Key, const CrashSet &Crashes) const;
  /// Weight of the crashes with which a key is quarantined.
  std::size_t requiredWeight(const SuspectKey &Key) const;
  /// Whether the evidence that is known here is enough to quarantine a key.
  bool isSupported(const SuspectKey &Key, TimePoint Now) const;
  struct Proposal {
    Active m_Active;
    /// The crashes that it explains.
    CrashSet m_Crashes;

    const std::vector<SuspectKey> &keys() const { return m_Active.m_Quarantine.m_Keys; }
  };
  /// The quarantine that follows from the evidence against a key. Not set if there is too little,
  /// or if another key explains the same crashes.
  std::optional<Proposal> evaluate(const SuspectKey &Key, TimePoint Now) const;
  /// The quarantines that explain the most crashes, with preference for keys with which no answer
  /// has begun lately. They are several if each explains the same crashes.
  std::vector<Proposal> bestProposals(TimePoint Now) const;
  /// Whether a quarantine in force blocks all requests that another one would.
  bool isCovered(const Quarantine &Other) const;
  void evaluateAll(TimePoint Now);
  /// Whether the account, or several together, have MaxQuarantinesPerAccount.
  bool isFull(const std::optional<ClientAccountId> &Account) const;
  /// The quarantine that a new one of the same account may replace.
  std::vector<Active>::const_iterator evictable(const Quarantine &For) const;
  bool canAdd(const Quarantine &New) const;
  void addQuarantine(Active Added, TimePoint Now);
  void setUrgent(TimePoint Now) { m_UrgentUntil = Now + UrgentTime; }
  void scheduleEvaluation(TimePoint At);

  Duration m_CollectionTime;
  std::map<UpstreamStart, Crash> m_Crashes;
  std::map<SuspectKey, CrashSet> m_CrashesByKey;
  std::map<ClientAccountId, std::size_t> m_KeysByAccount;
  /// Beginnings of keys with evidence.
  std::map<SuspectKey, Begun> m_Begun;
  /// Recent beginnings of other keys.
  using KeysOfAccount = std::pair<ClientAccountId, SuspectKey::Kind>;
  std::map<KeysOfAccount, std::map<SuspectKey, TimePoint>> m_RecentlyBegun;
  TimePoint m_PruneAt;
  std::vector<Active> m_Quarantines;
  std::vector<QuarantineChange> m_Changes;
  TimePoint m_UrgentUntil;
  std::optional<TimePoint> m_NextEvaluation;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CRASHSUSPECTS_H
