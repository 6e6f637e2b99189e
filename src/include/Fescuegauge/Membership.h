#ifndef FESCUEGAUGE_MEMBERSHIP_H
#define FESCUEGAUGE_MEMBERSHIP_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"
#include "Fescuegauge/Units.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fescuegauge {

/// News of one member.
struct MemberUpdate {
  InstanceId m_Id;
  Incarnation m_Incarnation;
  InstanceState m_State = InstanceState::Joining;
  /// The whole record; null when the update states only incarnation and state.
  std::shared_ptr<const InstanceRecord> m_Record;
};

/// A message between two processes of the system.
struct MembershipMessage {
  enum class Kind {
    /// From every process to its watchers, once per HeartbeatInterval.
    Heartbeat,
    HeartbeatAck,
    /// From an entry instance to a random other one, and to a member that has been silent.
    Probe,
    ProbeAck,
    /// News that should not wait for the next probe.
    Updates,
    /// Asks another watcher how long it has not heard of the members in m_Quiet.
    QuietQuery,
    QuietAnswer,
    /// Compares m_Buckets with the receiver's view.
    SyncRequest,
    /// The receiver's members in the buckets that differ.
    SyncReply,
  };
  struct Quiet {
    InstanceId m_Id;
    Duration m_Silence{};
  };
  static constexpr std::size_t SyncBuckets = 64;
  /// Members in one SyncReply; more follow on the next request.
  static constexpr std::size_t MaxSyncUpdates = 96;
  /// Members in every other message; the rest goes with later ones.
  static constexpr std::size_t MaxUpdates = 32;
  static constexpr std::size_t MaxQuiet = 16;
  static constexpr std::size_t MaxAttachmentBytes = 64;
  static constexpr std::size_t MaxBytes = 65536;

  Kind m_Kind = Kind::Heartbeat;
  /// The sender's own incarnation.
  Incarnation m_Incarnation;
  /// Hash of the sender's view; equal views have equal hashes.
  std::uint64_t m_ViewHash = 0;
  /// Heartbeat: the part of the receiver's log that the sender has; 0 and 0 if it wants none.
  /// HeartbeatAck: the position after the updates in this message.
  std::uint64_t m_LogEpoch = 0;
  std::uint64_t m_LogPosition = 0;
  /// The receiver should send its own record.
  bool m_NeedRecord = false;
  /// SyncReply: there are more members in buckets that differ.
  bool m_More = false;
  std::vector<MemberUpdate> m_Updates;
  std::vector<std::uint32_t> m_Buckets;
  std::vector<Quiet> m_Quiet;
  /// Passed through for another part of the process, at most MaxAttachmentBytes long.
  std::string m_Attachment;

  std::string encode() const;
  static std::optional<MembershipMessage> decode(std::string_view Bytes);
};

/// One line of the platform's list of instances.
struct PlatformListEntry {
  InstanceId m_Id;
  DataCentreId m_DataCentre;
  Endpoint m_Endpoint;
  bool m_Leaving = false;
};

/// The view that one process has of all processes of the system.
///
/// Every process heartbeats to its watchers: the entry instances of its data centre that rank
/// highest for it by rendezvous hashing. A watcher that hears nothing probes the member and asks
/// the other watchers; only when none of them hears it, the member becomes Suspect everywhere, and
/// Dead if it does not refute that with a higher incarnation. Entry instances spread news among
/// each other, two relays per data centre exchange them with the other data centres, and agents get
/// them with the answers to their heartbeats. The platform's list and the seeds only name addresses
/// to contact and announce departures; they never make a member live.
///
/// The caller sends the messages, reports those that arrive and calls onTime() at nextWake().
class Membership {
public:
  static constexpr std::size_t WatchersPerProcess = 3;
  static constexpr std::size_t RelaysPerDataCentre = 2;
  static constexpr std::size_t GossipFanOut = 3;
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  static constexpr Duration CrossProbeInterval = std::chrono::seconds(2);
  /// A watcher looks for silent members this often.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(200);
  /// A member that is silent for longer is probed by its watchers, again after QuietRetry.
  static constexpr Duration ProbeAfter = std::chrono::milliseconds(1400);
  static constexpr Duration QuietRetry = std::chrono::milliseconds(400);
  /// A member that no watcher heard for longer becomes Suspect. Longer than a pause of 1 s together
  /// with a heartbeat interval, so that such a pause alone causes no suspicion.
  static constexpr Duration SuspectAfter = std::chrono::milliseconds(2200);
  /// Time in which a suspected member can refute before it is declared dead.
  static constexpr Duration SuspectTimeout = std::chrono::milliseconds(1000);
  /// A watcher that heard nobody for this long is cut off itself and suspects nobody.
  static constexpr Duration IsolatedAfter = std::chrono::milliseconds(1200);
  /// A process that heard nobody for this long contacts seeds and listed addresses, because the
  /// members that it knows may all have been replaced at other addresses.
  static constexpr Duration CutOffAfter = std::chrono::seconds(3);
  /// A gap between two calls of onTime() above this means that this process was paused.
  static constexpr Duration PausedAfter = std::chrono::milliseconds(700);
  /// Delay of news, so that one message carries several; the short one for departures.
  static constexpr Duration UrgentDelay = std::chrono::milliseconds(100);
  static constexpr Duration NewsDelay = std::chrono::milliseconds(500);
  static constexpr Duration SyncInterval = std::chrono::seconds(2);
  static constexpr Duration AgentSyncAfter = std::chrono::seconds(5);
  static constexpr std::size_t MaxSyncRepliesPerSecond = 4;
  /// Dead members are remembered for this long, so that old news does not revive them.
  static constexpr Duration TombstoneLife = std::chrono::minutes(5);
  /// Members of an unreachable data centre that the platform's list no longer has are dead then.
  static constexpr Duration ListGrace = std::chrono::seconds(60);
  /// A data centre from which no relay hears for this long is unreachable.
  static constexpr Duration UnreachableAfter = std::chrono::seconds(8);
  static constexpr std::size_t MaxMembers = 8192;
  /// Waiting news; beyond it the oldest is dropped and found again by comparison of views.
  static constexpr std::size_t MaxWaitingNews = 512;
  /// Updates that agents can still get as a difference; older ones need a comparison of views.
  static constexpr std::size_t MaxLog = 2048;
  static constexpr std::size_t MaxContacts = 64;
  /// New work goes to a member that leaves for at most this long after its notification.
  static constexpr Duration LeaveBound = std::chrono::seconds(5);

  struct Send {
    /// Empty when only the address is known.
    InstanceId m_To;
    Endpoint m_Endpoint;
    MembershipMessage m_Message;
  };
  /// What find() gives for this member changed.
  struct Changed {
    InstanceId m_Id;
  };
  struct Attachment {
    InstanceId m_From;
    std::string m_Bytes;
  };
  using Action = std::variant<Send, Changed, Attachment>;
  using Actions = std::vector<Action>;

  /// Rules that a test switches off to show that it notices. Production code keeps the defaults.
  struct Rules {
    bool m_CompareIncarnations = true;
    bool m_SuspectFirst = true;
    bool m_AskOtherWatchers = true;
    bool m_Refute = true;
    bool m_AllowForOwnPause = true;
    bool m_SpreadNews = true;
    bool m_KeepTombstones = true;
  };

  /// `Self` has the start incarnation, which the process takes from its start time: should an
  /// earlier life have had a higher one, the process learns of it and goes beyond.
  Membership(InstanceRecord Self, std::vector<Endpoint> Seeds, std::uint64_t Seed, Rules Enabled);
  Membership(InstanceRecord Self, std::vector<Endpoint> Seeds, std::uint64_t Seed)
      : Membership(std::move(Self), std::move(Seeds), Seed, Rules()) {}

  Actions start(TimePoint Now);
  Actions onMessage(const InstanceId &From, const MembershipMessage &Message, TimePoint Now);
  Actions onPlatformList(std::span<const PlatformListEntry> List, TimePoint Now);
  /// Replaces what the own record says; id, role, data centre and incarnation stay. Use
  /// leave() for a planned departure.
  Actions updateSelf(const InstanceRecord &Record);
  /// Announces that this process takes no new work from now on.
  Actions leave();
  /// Goes along on heartbeats and probes from now on.
  void setAttachment(std::string Bytes) { m_Attachment = std::move(Bytes); }
  Actions onTime(TimePoint Now);
  TimePoint nextWake() const;
  /// Records known from elsewhere, as if news of them had arrived.
  void learn(std::span<const std::shared_ptr<const InstanceRecord>> Records, TimePoint Now);

  const InstanceRecord &self() const { return *m_Self; }
  /// Null if unknown. Dead members are found as long as their tombstones live.
  const InstanceRecord *find(const InstanceId &Id) const;
  /// True when new work may go to the member.
  bool isRoutable(const InstanceId &Id) const;
  /// All members except this process and the dead, in order of id.
  std::vector<std::shared_ptr<const InstanceRecord>> members() const;
  /// Entry instances of a data centre that are neither suspected, leaving nor dead, in order of id,
  /// without this process.
  std::vector<InstanceId> entries(const DataCentreId &DataCentre) const;
  /// Relays of a data centre, this process included if it is one.
  std::vector<InstanceId> relays(const DataCentreId &DataCentre) const;
  /// Data centres with members, in order of name, the own one included.
  std::vector<DataCentreId> dataCentres() const;
  bool isRelay() const;
  /// True when no message arrived for CutOffAfter.
  bool isCutOff(TimePoint Now) const { return Now - m_LastHeard > CutOffAfter; }
  /// Members that this process watches.
  std::vector<InstanceId> watched() const;
  /// The entry instances that this process heartbeats to.
  const std::vector<InstanceId> &watchers() const { return m_Watchers; }
  /// For a relay: data centres with members from which it heard nothing for UnreachableAfter.
  std::vector<DataCentreId> unreachableDataCentres(TimePoint Now) const;
  std::uint64_t viewHash() const { return m_ViewHash; }
  /// Counts of declared suspicions and deaths; for metrics.
  std::uint64_t declaredSuspect() const { return m_DeclaredSuspect; }
  std::uint64_t declaredDead() const { return m_DeclaredDead; }

private:
  struct Member {
    std::shared_ptr<const InstanceRecord> m_Record;
    TimePoint m_StateSince{};
    /// Position of the last change in the log.
    std::uint64_t m_LogPosition = 0;
    std::uint64_t m_Hash = 0;
    std::uint8_t m_Bucket = 0;
  };
  struct Watch {
    TimePoint m_Heard{};
    TimePoint m_NextProbe{};
    /// False while m_Heard is only the time at which watching began.
    bool m_WasHeard = false;
  };

  bool merge(const MemberUpdate &Update, TimePoint Now, Actions &Out, bool Spread = true);
  void store(const std::shared_ptr<const InstanceRecord> &Record, TimePoint Now, Actions &Out,
             bool Spread);
  void refute(Incarnation Seen, Actions &Out);
  void announceSelf(Actions &Out, bool Urgent);
  void dropTombstones(TimePoint Now);
  void queueNews(const InstanceId &Id, TimePoint Now, bool Urgent);
  void flushNews(TimePoint Now, Actions &Out);
  void refresh(TimePoint Now);
  void checkWatched(TimePoint Now, Actions &Out);
  void declare(const InstanceId &Id, InstanceState State, TimePoint Now, Actions &Out);
  void heard(const InstanceId &From, TimePoint Now);
  void addDepartures(MembershipMessage &To, TimePoint Now);
  void chooseSource(TimePoint Now);
  void contactSeeds(TimePoint Now, Actions &Out);
  void sync(const InstanceId &To, TimePoint Now, Actions &Out);
  void onSyncRequest(const InstanceId &From, const MembershipMessage &Message, TimePoint Now,
                     Actions &Out);
  void send(const InstanceId &To, MembershipMessage Message, Actions &Out) const;
  MembershipMessage message(MembershipMessage::Kind Kind) const;
  MemberUpdate updateFor(const Member &Known) const;
  MemberUpdate selfUpdate() const;
  std::vector<std::uint32_t> buckets() const;
  std::vector<InstanceId> watchersOf(const InstanceId &Id) const;
  bool isWatcherOf(const InstanceId &Id) const;
  std::vector<InstanceId> sampleLocalEntries(std::size_t Count);

  std::shared_ptr<const InstanceRecord> m_Self;
  std::vector<Endpoint> m_Seeds;
  RandomGenerator m_Random;
  Rules m_Rules;
  std::string m_Attachment;
  std::map<InstanceId, Member> m_Members;
  std::uint64_t m_ViewHash = 0;
  std::map<DataCentreId, std::set<InstanceId>> m_LiveEntries;
  std::vector<InstanceId> m_LocalEntries;
  std::vector<InstanceId> m_Watchers;
  std::map<InstanceId, Watch> m_Watched;
  /// The members or the live entry instances of the own data centre changed.
  bool m_LocalChanged = true;
  std::deque<InstanceId> m_News;
  /// Times that waiting news will still be sent.
  std::map<InstanceId, int> m_NewsRounds;
  TimePoint m_NewsAt = TimePoint::max();
  /// Deaths in order of time, each at most once in m_Members.
  std::deque<std::pair<TimePoint, InstanceId>> m_Tombstones;
  std::map<std::uint64_t, InstanceId> m_Log;
  std::uint64_t m_LogEpoch = 0;
  std::uint64_t m_LogPosition = 1;
  /// For an agent: the watcher that sends it news, and the part of that watcher's log that it has.
  InstanceId m_LogSource;
  TimePoint m_SourceHeard{};
  std::uint64_t m_SourceEpoch = 0;
  std::uint64_t m_SourcePosition = 0;
  std::optional<TimePoint> m_DiffersSince;
  std::map<DataCentreId, TimePoint> m_DataCentreHeard;
  std::vector<PlatformListEntry> m_Contacts;
  std::map<InstanceId, TimePoint> m_ListAbsentSince;
  /// Members that the list calls leaving, with the incarnation that this was applied to.
  std::map<InstanceId, Incarnation> m_ListLeaving;
  bool m_Started = false;
  TimePoint m_StartedAt{};
  TimePoint m_LastTime{};
  TimePoint m_LastHeard{};
  TimePoint m_NextHeartbeat{};
  TimePoint m_NextProbe{};
  TimePoint m_NextCrossProbe{};
  TimePoint m_NextCheck{};
  TimePoint m_NextRefresh{};
  TimePoint m_NextSync{};
  TimePoint m_NextContact{};
  TimePoint m_SyncWindow{};
  std::size_t m_SyncReplies = 0;
  int m_AnnounceLeft = 0;
  std::uint64_t m_DeclaredSuspect = 0;
  std::uint64_t m_DeclaredDead = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MEMBERSHIP_H
