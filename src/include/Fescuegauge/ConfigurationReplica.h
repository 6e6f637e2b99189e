#ifndef FESCUEGAUGE_CONFIGURATIONREPLICA_H
#define FESCUEGAUGE_CONFIGURATIONREPLICA_H

#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"

#include <set>

namespace fescuegauge {

/// The state of a process's configuration, attached to every heartbeat: the change number and the
/// first bytes of the digest. At most MaxBytes long when encoded.
struct ReplicaStatus {
  static constexpr std::size_t MaxBytes = 20;

  bool m_Ready = false;
  ChangeNumber m_Number;
  std::uint64_t m_DigestPrefix = 0;

  std::string encode() const;
  static std::optional<ReplicaStatus> decode(std::string_view Bytes);
};

/// A message between two replicas.
struct ConfigurationMessage {
  enum class Kind {
    /// Contains only the sender's status.
    Status,
    /// Requests a Status; sent by a starting process.
    Hello,
    /// Requests the entries after m_Since and m_AfterName.
    Request,
    /// One page of a delta or of a full copy.
    Delta,
    /// Requests a LagReply; for the operators' status command.
    LagQuery,
    /// Lists attached agents whose configuration is older than the sender's.
    LagReply,
  };
  /// Maximum total size of the entries in a message; a larger entry is sent alone.
  static constexpr std::size_t MaxEntryBytes = 16384;
  static constexpr std::size_t MaxBytes = MaxEntryBytes + MaxDeclarationBytes + 1024;
  static constexpr std::size_t MaxLaggingNames = 16;

  Kind m_Kind = Kind::Status;
  ReplicaStatus m_SenderStatus;
  /// Request, Delta: entries set after this number.
  ChangeNumber m_Since;
  /// Request, Delta: the page starts after this name.
  DeclarationName m_AfterName;
  /// Delta: all pages together are the complete configuration.
  bool m_FullCopy = false;
  /// Delta: further pages are sent on request.
  bool m_More = false;
  Digest m_Digest;
  std::vector<WireEntry> m_Entries;
  /// LagReply: lagging agents, at most MaxLaggingNames of them, and their total number.
  std::vector<InstanceId> m_Lagging;
  std::uint32_t m_LaggingCount = 0;

  std::string encode() const;
  static std::optional<ConfigurationMessage> decode(std::string_view Bytes);
};

/// The processes that a replica exchanges messages with, derived from the membership view whenever
/// that changes.
struct ReplicaPeers {
  /// Live entry instances of the local data centre, excluding this one.
  std::vector<InstanceId> m_LocalEntries;
  /// Relays of the local data centre, including this instance if it is one.
  std::vector<InstanceId> m_LocalRelays;
  /// Relays of the other data centres.
  std::vector<InstanceId> m_RemoteRelays;
  /// Agents that send heartbeats to this entry instance.
  std::vector<InstanceId> m_Agents;
};

/// The configuration of one process, replicated from the table and from other processes.
///
/// Never adopts an older change number, and adopts content only if its digest matches. If the table
/// is restored from an older copy, a poller writes the configuration in force to it again, under a
/// number above those of lost changes; until then no change is accepted. The caller
/// performs the actions in order and reports what arrives; it passes the status received on
/// heartbeats to onPeerStatus().
class ConfigurationReplica {
public:
  /// Interval at which a poller reads `config/head`.
  static constexpr Duration PollInterval = std::chrono::milliseconds(500);
  static constexpr std::size_t PollersPerDataCentre = 2;
  static constexpr std::size_t GossipFanOut = 3;
  /// Time after which an unanswered request to a peer or to the table expires and may be repeated.
  static constexpr Duration ResponseTimeout = std::chrono::milliseconds(400);
  /// Time for which a starting process collects the status of its peers before it can become ready
  /// without the table.
  static constexpr Duration StartupPeerWait = std::chrono::seconds(1);
  /// Time for which a head that the table confirmed, but whose rows cannot be read, keeps a
  /// starting process from becoming ready on the status of its peers.
  static constexpr Duration ConfirmedHeadWait = std::chrono::seconds(3);
  /// Time for which a poller learns of newer changes from its peers before it writes the head again
  /// after a restore of the table. A process that was started since may know no lost change, and
  /// waits for one that does.
  static constexpr Duration RestoreWait = std::chrono::seconds(1);
  static constexpr Duration StartedRestoreWait = std::chrono::seconds(4);
  /// Distance from the highest known change number to the first one after a restore, for each
  /// restore since the head was written. Changes that were lost, and are not known here, are to
  /// have lower numbers, so that a delta since one of them is a full copy.
  static constexpr std::uint64_t RestoreNumberGap = 2 * Configuration::TombstoneLifetimeChanges;
  /// Maximum number of local peers that a starting process queries.
  static constexpr std::size_t StartupFanOut = 16;
  /// Maximum number of change rows read concurrently; a larger gap is filled from the snapshot.
  static constexpr std::size_t MaxConcurrentRowReads = 16;
  /// Maximum size of a delta that is pushed on a change; the receiver requests a larger one.
  static constexpr std::size_t MaxPushBytes = 2048;
  /// Maximum number of attached agents whose change numbers are tracked.
  static constexpr std::size_t MaxTrackedAgents = 1024;

  struct Send {
    InstanceId m_To;
    ConfigurationMessage m_Message;
  };
  struct ReadRow {
    std::string m_Key;
  };
  struct Write {
    Transaction m_Transaction;
  };
  /// The configuration changed; configuration() returns the new one.
  struct InForce {
    explicit InForce(ChangeNumber Number) : m_Number(Number) {}
    ChangeNumber m_Number;
  };
  using Action = std::variant<Send, ReadRow, Write, InForce>;
  using Actions = std::vector<Action>;

  /// Rules that a test can disable to show that it detects their absence. Production code keeps the
  /// defaults.
  struct Rules {
    bool m_RejectOlder = true;
    bool m_CheckDigest = true;
    bool m_ConfirmHead = true;
    bool m_RepairFromStatus = true;
    bool m_PollTable = true;
    bool m_FullCopyAcrossTombstones = true;
    bool m_RewriteAfterRestore = true;
  };

  ConfigurationReplica(InstanceId Self, InstanceRole Role, std::uint64_t Seed, Rules Enabled);
  ConfigurationReplica(InstanceId Self, InstanceRole Role, std::uint64_t Seed)
      : ConfigurationReplica(std::move(Self), Role, Seed, Rules()) {}

  Actions start(const ReplicaPeers &Peers, TimePoint Now);
  void setPeers(const ReplicaPeers &Peers);
  Actions onMessage(const InstanceId &From, const ConfigurationMessage &Message, TimePoint Now);
  /// Handles a status received on a heartbeat.
  Actions onPeerStatus(const InstanceId &From, const ReplicaStatus &PeerStatus, TimePoint Now);
  /// `Row` is nullopt if the read failed.
  Actions onRow(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  /// Handles the result of the transaction with write id `Id`.
  Actions onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now);
  /// Adopts a change that this instance's ChangeWriter committed.
  Actions onAccepted(const Configuration &Accepted, TimePoint Now);
  /// Reads the table up to `Number`; for ChangeWriter::CatchUp.
  Actions catchUp(ChangeNumber Number, TimePoint Now);
  Actions onTimer(TimePoint Now);
  TimePoint nextTimer() const;

  const Configuration &configuration() const { return m_Configuration; }
  ReplicaStatus replicaStatus() const;
  bool isReady() const { return m_Ready; }
  /// Empty when ready.
  std::string notReadyReason() const;
  /// Returns true if this entry instance polls the table for its data centre.
  bool isPoller() const { return m_IsPoller; }
  /// Returns the time since the last successful read of the head; nullopt if there was none.
  std::optional<Duration> timeSinceHeadRead(TimePoint Now) const;
  /// Number of messages and rows dropped as malformed, because an entry was newer than their change
  /// number, or because a digest did not match.
  std::uint64_t rejectedMessages() const { return m_RejectedMessages; }

private:
  struct Fetch {
    InstanceId m_From;
    ChangeNumber m_Target;
    ChangeNumber m_Since;
    Digest m_Digest;
    std::vector<WireEntry> m_Entries;
    TimePoint m_Expires;
    bool m_FullCopy = false;
  };
  struct Rewrite {
    WriteId m_Id;
    Configuration m_Configuration;
    TimePoint m_Expires;
  };

  bool adopt(Configuration Next, Actions &Out, TimePoint Now, const InstanceId &Source);
  void compareWithPeer(const InstanceId &From, const ReplicaStatus &PeerStatus, TimePoint Now,
                       Actions &Out);
  void propagate(const Configuration &Previous, const InstanceId &Source, Actions &Out);
  void request(const InstanceId &From, ChangeNumber Target, ChangeNumber Since, TimePoint Now,
               Actions &Out);
  void onDelta(const InstanceId &From, const ConfigurationMessage &Message, TimePoint Now,
               Actions &Out);
  ConfigurationMessage deltaFor(ChangeNumber Since, const DeclarationName &AfterName,
                                std::size_t MaxBytes) const;
  void readHead(TimePoint Now, Actions &Out);
  /// Writes the configuration in force to a table that was restored from an older copy.
  void rewriteHead(const ConfigurationHead &Head, const TableRow &Row, TimePoint Now, Actions &Out);
  void readRows(TimePoint Now, Actions &Out);
  void applyRows(TimePoint Now, Actions &Out);
  void becomeReadyFromPeers(TimePoint Now);

  InstanceId m_Self;
  InstanceRole m_Role;
  Rules m_Rules;
  RandomGenerator m_Random;
  ReplicaPeers m_Peers;
  Configuration m_Configuration;
  bool m_Ready = false;
  bool m_IsPoller = false;
  bool m_Started = false;
  TimePoint m_StartedAt{};
  TimePoint m_NextPollAt{};
  TimePoint m_NextHelloAt{};
  std::optional<TimePoint> m_HeadReadAt;
  /// Set while a read of the head is outstanding; no second one is sent before it expires.
  std::optional<TimePoint> m_HeadReadExpiresAt;
  /// The row that the outstanding no-op transaction confirms, and the id of the transaction.
  std::optional<TableRow> m_HeadToConfirm;
  WriteId m_ConfirmId;
  TimePoint m_ConfirmExpiresAt{};
  std::uint64_t m_ConfirmCount = 0;
  /// The change number of the confirmed head, which must be reached before the process is ready.
  std::optional<ChangeNumber> m_ConfirmedNumber;
  /// The newest epoch of the table in which the head was read, and when the head may be written
  /// again if it is of an older one.
  StoreEpoch m_TableEpoch;
  TimePoint m_RewriteNotBefore{};
  /// The write of the configuration in force after a restore of the table.
  std::optional<Rewrite> m_Rewrite;
  /// The highest change number seen in `config/head` in this epoch.
  ChangeNumber m_TableHeadNumber;
  ChangeNumber m_TableSnapshotNumber;
  std::map<ChangeNumber, Change> m_FetchedChanges;
  TimePoint m_RowReadsExpireAt{};
  std::optional<Fetch> m_Fetch;
  /// The status of peers that replied during startup.
  std::map<InstanceId, ReplicaStatus> m_StartupPeerStatuses;
  std::map<InstanceId, ChangeNumber> m_AgentChangeNumbers;
  std::uint64_t m_RejectedMessages = 0;
};

/// Replication lag of one data centre, for the operators' status command.
struct DataCentreLag {
  DataCentreId m_DataCentre;
  /// The highest change that an instance of the data centre has in force.
  ChangeNumber m_InForce;
  /// Instances whose change number is lower than the highest known one, at most MaxNames of them.
  std::vector<InstanceId> m_Lagging;
  std::size_t m_LaggingCount = 0;
  /// Entry instances that did not reply, at most MaxNames of them.
  std::vector<InstanceId> m_Unreachable;
  std::size_t m_UnreachableCount = 0;

  static constexpr std::size_t MaxNames = 32;
};

/// Queries the change number of every entry instance once, on an operator's request.
class LagCollector {
public:
  /// Instances that have not replied within this time are reported as unreachable.
  static constexpr Duration CollectionTimeout = std::chrono::seconds(1);

  /// `Entries` are the other entry instances of all data centres.
  LagCollector(std::vector<InstanceRecord> Entries, TimePoint Now);

  /// Returns the queries to send.
  std::vector<ConfigurationReplica::Send> start() const;
  void onReply(const InstanceId &From, const ConfigurationMessage &Reply);
  bool isDone(TimePoint Now) const;
  /// Returns one element for each data centre, in order of name.
  std::vector<DataCentreLag> report() const;

private:
  std::vector<InstanceRecord> m_Entries;
  TimePoint m_QueriedAt;
  std::map<InstanceId, ConfigurationMessage> m_Replies;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONFIGURATIONREPLICA_H
