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

/// An update on the state of one member.
struct MemberUpdate {
  InstanceId m_Id;
  Incarnation m_Incarnation;
  InstanceState m_State = InstanceState::Joining;
  /// The complete record; null if the update contains only incarnation and state.
  std::shared_ptr<const InstanceRecord> m_Record;
};

/// A message of the membership protocol between two processes of the system.
struct MembershipMessage {
  enum class Kind {
    /// Sent by every process to its watchers, once per HeartbeatInterval.
    Heartbeat,
    HeartbeatAck,
    /// Sent by an entry instance to a random other one and to members that have been silent.
    Probe,
    ProbeAck,
    /// Updates that should not wait for the next probe.
    Updates,
    /// Asks another watcher how long it has not heard from the members in m_SilenceReports.
    SilenceQuery,
    SilenceReply,
    /// Asks the receiver to compare m_Buckets with its view.
    SyncRequest,
    /// The replier's members in the buckets that differ.
    SyncReply,
  };
  /// How long the sender has not heard from a member.
  struct SilenceReport {
    InstanceId m_Id;
    Duration m_Silence{};
  };
  static constexpr std::size_t SyncBuckets = 64;
  /// Maximum number of members in one SyncReply; more follow on the next request.
  static constexpr std::size_t MaxSyncUpdates = 96;
  /// Maximum number of members in any other message; the rest is sent with later ones.
  static constexpr std::size_t MaxUpdates = 32;
  static constexpr std::size_t MaxSilenceReports = 16;
  static constexpr std::size_t MaxAttachmentBytes = 64;
  static constexpr std::size_t MaxBytes = 65536;

  Kind m_Kind = Kind::Heartbeat;
  /// The sender's own incarnation.
  Incarnation m_Incarnation;
  /// Hash of the sender's view; equal views have equal hashes.
  std::uint64_t m_ViewHash = 0;
  /// Heartbeat: the position up to which the sender has the receiver's log; 0 and 0 if it requests
  /// no updates. HeartbeatAck: the position after the updates in this message.
  std::uint64_t m_LogEpoch = 0;
  std::uint64_t m_LogPosition = 0;
  /// The receiver should send its own record.
  bool m_NeedsRecord = false;
  /// SyncReply: more members in differing buckets remain.
  bool m_HasMore = false;
  std::vector<MemberUpdate> m_Updates;
  std::vector<std::uint32_t> m_Buckets;
  std::vector<SilenceReport> m_SilenceReports;
  /// Opaque data for another part of the process, at most MaxAttachmentBytes long.
  std::string m_Attachment;

  std::string encode() const;
  static std::optional<MembershipMessage> decode(std::string_view Bytes);
};

/// One entry of the platform's list of instances.
struct PlatformListEntry {
  InstanceId m_Id;
  DataCentreId m_DataCentre;
  Endpoint m_Endpoint;
  bool m_Leaving = false;
};

/// The view that one process has of all processes of the system, maintained by a SWIM-like failure
/// detector and gossip protocol.
///
/// Every process sends heartbeats to its watchers, which are the entry instances of its data centre
/// that rank highest for it by rendezvous hashing. A watcher that receives none probes the member
/// and queries the other watchers. If none of them hears from the member, it becomes Suspect, and
/// Dead unless it refutes the suspicion with a higher incarnation. Entry instances gossip updates
/// among each other, two relays per data centre exchange them with the other data centres, and
/// agents get them with the acknowledgements of their heartbeats. The platform's list and the seeds
/// only provide addresses to contact, and the list announces departures; neither makes a member
/// live.
///
/// The caller sends the messages, passes in those that arrive and calls onTimer() at nextTimer().
class Membership {
public:
  static constexpr std::size_t WatchersPerProcess = 3;
  static constexpr std::size_t RelaysPerDataCentre = 2;
  static constexpr std::size_t GossipFanOut = 3;
  static constexpr Duration HeartbeatInterval = std::chrono::seconds(1);
  static constexpr Duration ProbeInterval = std::chrono::seconds(1);
  static constexpr Duration CrossProbeInterval = std::chrono::seconds(2);
  /// Interval at which a watcher checks for silent members.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(200);
  /// Silence after which the watchers probe a member, and the interval of further probes.
  static constexpr Duration ProbeAfter = std::chrono::milliseconds(1400);
  static constexpr Duration SilenceProbeInterval = std::chrono::milliseconds(400);
  /// A member from which no watcher has heard for this long becomes Suspect. The time is longer
  /// than a pause of 1 s plus a heartbeat interval, so that such a pause alone causes no suspicion.
  static constexpr Duration SuspectAfter = std::chrono::milliseconds(2200);
  /// Time for a suspected member to refute the suspicion before it is declared dead.
  static constexpr Duration SuspectTimeout = std::chrono::milliseconds(1000);
  /// A watcher that has heard from no member for this long assumes that it is isolated itself and
  /// suspects no member.
  static constexpr Duration IsolatedAfter = std::chrono::milliseconds(1200);
  /// A process that has heard from no member of its data centre for this long contacts the seeds
  /// and the addresses of the platform's list, because all members that it knows may have been
  /// replaced at other addresses.
  static constexpr Duration ContactLossTimeout = std::chrono::seconds(3);
  /// A longer gap between two calls of onTimer() is treated as a pause of this process.
  static constexpr Duration PauseThreshold = std::chrono::milliseconds(700);
  /// Delays that batch several updates into one message; the shorter one applies to suspicions and
  /// departures.
  static constexpr Duration UrgentUpdateDelay = std::chrono::milliseconds(100);
  static constexpr Duration UpdateDelay = std::chrono::milliseconds(500);
  static constexpr Duration SyncInterval = std::chrono::seconds(2);
  static constexpr Duration AgentSyncAfter = std::chrono::seconds(5);
  static constexpr std::size_t MaxSyncRepliesPerSecond = 4;
  /// Time for which dead members are kept, so that stale updates do not make them live again.
  static constexpr Duration TombstoneLifetime = std::chrono::minutes(5);
  /// Members of an unreachable data centre are declared dead after they have been absent from the
  /// platform's list for this long.
  static constexpr Duration ListAbsenceTimeout = std::chrono::seconds(60);
  /// A relay treats a data centre from which it has heard nothing for this long as unreachable.
  static constexpr Duration UnreachableAfter = std::chrono::seconds(8);
  static constexpr std::size_t MaxMembers = 8192;
  /// Maximum number of queued updates. Beyond it the oldest is dropped; the comparison of views
  /// repairs the loss.
  static constexpr std::size_t MaxPendingUpdates = 512;
  /// Maximum number of updates that agents can get as a delta; older ones need a comparison of
  /// views.
  static constexpr std::size_t MaxLogEntries = 2048;
  static constexpr std::size_t MaxContacts = 64;
  /// Maximum time for which a leaving member still gets new requests after its announcement.
  static constexpr Duration LeavePropagationBound = std::chrono::seconds(5);

  struct Send {
    /// Empty if only the address is known.
    InstanceId m_To;
    Endpoint m_Endpoint;
    MembershipMessage m_Message;
  };
  /// The result of find() for this member changed.
  struct MemberChanged {
    InstanceId m_Id;
  };
  /// The attachment of a received message.
  struct Attachment {
    InstanceId m_From;
    std::string m_Bytes;
  };
  using Action = std::variant<Send, MemberChanged, Attachment>;
  using Actions = std::vector<Action>;

  /// Rules that a test can disable to show that it detects their absence. Production code keeps the
  /// defaults.
  struct Rules {
    bool m_CompareIncarnations = true;
    bool m_SuspectFirst = true;
    bool m_AskOtherWatchers = true;
    bool m_Refute = true;
    bool m_CompensateOwnPause = true;
    bool m_GossipUpdates = true;
    bool m_KeepTombstones = true;
  };

  /// `Self` contains the initial incarnation, which is taken from the start time of the process. If
  /// an earlier run had a higher incarnation, the process adopts the next higher one as soon as it
  /// receives an update with it.
  Membership(InstanceRecord Self, std::vector<Endpoint> Seeds, std::uint64_t Seed, Rules Enabled);
  Membership(InstanceRecord Self, std::vector<Endpoint> Seeds, std::uint64_t Seed)
      : Membership(std::move(Self), std::move(Seeds), Seed, Rules()) {}

  Actions start(TimePoint Now);
  Actions onMessage(const InstanceId &From, const MembershipMessage &Message, TimePoint Now);
  Actions onPlatformList(std::span<const PlatformListEntry> List, TimePoint Now);
  /// Replaces the own record except for id, role and data centre, and increments the incarnation if
  /// the record changed. Use leave() for a planned departure.
  Actions updateSelf(const InstanceRecord &Record);
  /// Announces that this process accepts no new requests from now on.
  Actions leave();
  /// Sets the attachment of the messages that are sent from now on.
  void setAttachment(std::string Bytes) { m_Attachment = std::move(Bytes); }
  Actions onTimer(TimePoint Now);
  TimePoint nextTimer() const;
  /// Merges records from another source into the view without gossiping them.
  void mergeRecords(std::span<const std::shared_ptr<const InstanceRecord>> Records, TimePoint Now);

  const InstanceRecord &self() const { return *m_Self; }
  /// Returns null if the member is unknown. Dead members are found while their tombstones are kept.
  const InstanceRecord *find(const InstanceId &Id) const;
  /// Returns true if new requests may be sent to the member.
  bool isRoutable(const InstanceId &Id) const;
  /// Returns all members except this process and dead ones, in order of id.
  std::vector<std::shared_ptr<const InstanceRecord>> members() const;
  /// Returns the entry instances of a data centre that are neither suspected, leaving nor dead, in
  /// order of id, without this process.
  std::vector<InstanceId> entries(const DataCentreId &DataCentre) const;
  /// Returns the relays of a data centre, including this process if it is one.
  std::vector<InstanceId> relays(const DataCentreId &DataCentre) const;
  /// Returns the data centres with live entry instances, in order of name, including the local one.
  std::vector<DataCentreId> dataCentres() const;
  bool isRelay() const;
  /// Returns true if no message from the local data centre arrived for ContactLossTimeout.
  bool hasLostContact(TimePoint Now) const { return Now - m_LastHeardAt > ContactLossTimeout; }
  /// Returns the members that this process watches.
  std::vector<InstanceId> watched() const;
  /// Returns the entry instances to which this process sends heartbeats.
  const std::vector<InstanceId> &watchers() const { return m_Watchers; }
  /// Returns the data centres from which a relay has heard nothing for UnreachableAfter; empty if
  /// this process is no relay.
  std::vector<DataCentreId> unreachableDataCentres(TimePoint Now) const;
  std::uint64_t viewHash() const { return m_ViewHash; }
  /// Numbers of declared suspicions and failures, for metrics.
  std::uint64_t declaredSuspect() const { return m_DeclaredSuspect; }
  std::uint64_t declaredDead() const { return m_DeclaredDead; }

private:
  struct MemberState {
    std::shared_ptr<const InstanceRecord> m_Record;
    TimePoint m_StateSince{};
    /// Log position of the last change.
    std::uint64_t m_LogPosition = 0;
    std::uint64_t m_Hash = 0;
    std::uint8_t m_Bucket = 0;
  };
  struct Watch {
    TimePoint m_HeardAt{};
    TimePoint m_NextProbe{};
    /// False while m_HeardAt is only the time at which this process became a watcher.
    bool m_WasHeard = false;
  };

  bool merge(const MemberUpdate &Update, TimePoint Now, Actions &Out, bool ShouldGossip = true);
  void store(const std::shared_ptr<const InstanceRecord> &Record, TimePoint Now, Actions &Out,
             bool ShouldGossip);
  void refute(Incarnation Reported, Actions &Out);
  void announceSelf(Actions &Out, bool Urgent);
  void dropTombstones(TimePoint Now);
  void queueUpdate(const InstanceId &Id, TimePoint Now, bool Urgent);
  void flushUpdates(TimePoint Now, Actions &Out);
  void updateWatchers(TimePoint Now);
  void checkWatched(TimePoint Now, Actions &Out);
  void declare(const InstanceId &Id, InstanceState State, TimePoint Now, Actions &Out);
  void recordContact(const InstanceId &From, TimePoint Now);
  void addDepartures(MembershipMessage &To, TimePoint Now);
  void selectLogSource(TimePoint Now);
  void contactSeeds(TimePoint Now, Actions &Out);
  void sync(const InstanceId &To, TimePoint Now, Actions &Out);
  void onSyncRequest(const InstanceId &From, const MembershipMessage &Message, TimePoint Now,
                     Actions &Out);
  void send(const InstanceId &To, MembershipMessage Message, Actions &Out) const;
  MembershipMessage message(MembershipMessage::Kind Kind) const;
  MemberUpdate updateFor(const MemberState &Member) const;
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
  std::map<InstanceId, MemberState> m_Members;
  std::uint64_t m_ViewHash = 0;
  std::map<DataCentreId, std::set<InstanceId>> m_LiveEntries;
  std::vector<InstanceId> m_LocalEntries;
  std::vector<InstanceId> m_Watchers;
  std::map<InstanceId, Watch> m_Watched;
  /// The members or the live entry instances of the own data centre changed.
  bool m_LocalChanged = true;
  std::deque<InstanceId> m_PendingUpdates;
  /// How many more times each queued update will be sent.
  std::map<InstanceId, int> m_RemainingTransmissions;
  TimePoint m_NextFlush = TimePoint::max();
  /// Deaths in order of time. A member that died more than once has several entries.
  std::deque<std::pair<TimePoint, InstanceId>> m_Tombstones;
  std::map<std::uint64_t, InstanceId> m_Log;
  std::uint64_t m_LogEpoch = 0;
  std::uint64_t m_LogPosition = 1;
  /// For an agent: the watcher that sends it updates, and the position up to which it has that
  /// watcher's log.
  InstanceId m_LogSource;
  TimePoint m_SourceHeardAt{};
  std::uint64_t m_SourceEpoch = 0;
  std::uint64_t m_SourcePosition = 0;
  std::optional<TimePoint> m_ViewDiffersSince;
  std::map<DataCentreId, TimePoint> m_DataCentreHeardAt;
  std::vector<PlatformListEntry> m_Contacts;
  std::map<InstanceId, TimePoint> m_ListAbsentSince;
  /// Members that the list marks as leaving, with the incarnation to which the mark was applied.
  std::map<InstanceId, Incarnation> m_ListLeaving;
  bool m_Started = false;
  TimePoint m_StartedAt{};
  TimePoint m_LastTimerAt{};
  TimePoint m_LastHeardAt{};
  TimePoint m_NextHeartbeat{};
  TimePoint m_NextProbe{};
  TimePoint m_NextCrossProbe{};
  TimePoint m_NextCheck{};
  TimePoint m_NextWatcherUpdate{};
  TimePoint m_NextSync{};
  TimePoint m_NextContact{};
  TimePoint m_SyncWindowStart{};
  std::size_t m_SyncRepliesInWindow = 0;
  int m_RemainingAnnouncements = 0;
  std::uint64_t m_DeclaredSuspect = 0;
  std::uint64_t m_DeclaredDead = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MEMBERSHIP_H
