#ifndef FESCUEGAUGE_CONFIGURATIONREPLICA_H
#define FESCUEGAUGE_CONFIGURATIONREPLICA_H

#include "Fescuegauge/Configuration.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Random.h"

#include <set>

namespace fescuegauge {

/// What a process says of its configuration on every heartbeat: its number and the beginning of its
/// digest. At most MaxBytes long when encoded.
struct ConfigurationOffer {
  static constexpr std::size_t MaxBytes = 20;

  bool m_Ready = false;
  ChangeNumber m_Number;
  std::uint64_t m_DigestPrefix = 0;

  std::string encode() const;
  static std::optional<ConfigurationOffer> decode(std::string_view Bytes);
};

/// A message between two replicas.
struct ConfigurationMessage {
  enum class Kind {
    /// States the sender's offer.
    Offer,
    /// Asks for an offer; sent by a process that starts.
    Hello,
    /// Asks for the entries after m_Since and m_AfterName.
    Request,
    /// Carries entries; one page of a delta or of a full copy.
    Delta,
    /// Asks for a LagAnswer; for the operators' status command.
    LagQuery,
    /// Names attached agents behind the sender.
    LagAnswer,
  };
  /// Entries of a message end at this size; a single larger entry goes alone.
  static constexpr std::size_t MaxEntryBytes = 16384;
  static constexpr std::size_t MaxBytes = MaxEntryBytes + MaxDeclarationBytes + 1024;
  static constexpr std::size_t MaxLaggingNames = 16;

  Kind m_Kind = Kind::Offer;
  ConfigurationOffer m_Offer;
  /// Request, Delta: entries set after this number.
  ChangeNumber m_Since;
  /// Request, Delta: the page starts after this name.
  DeclarationName m_AfterName;
  /// Delta: the entries with earlier and later pages are the whole configuration.
  bool m_FullCopy = false;
  /// Delta: further pages follow on request.
  bool m_More = false;
  Digest m_Digest;
  std::vector<WireEntry> m_Entries;
  /// LagAnswer: agents that are behind, at most MaxLaggingNames, and how many there are.
  std::vector<InstanceId> m_Lagging;
  std::uint32_t m_LaggingCount = 0;

  std::string encode() const;
  static std::optional<ConfigurationMessage> decode(std::string_view Bytes);
};

/// The processes that a replica talks to; taken from the membership view whenever that changes.
struct ReplicaPeers {
  /// Live entry instances of the own data centre, without the replica's own.
  std::vector<InstanceId> m_LocalEntries;
  /// Relays of the own data centre, the own instance included if it is one.
  std::vector<InstanceId> m_LocalRelays;
  /// Relays of the other data centres.
  std::vector<InstanceId> m_RemoteRelays;
  /// Agents that heartbeat to this entry instance.
  std::vector<InstanceId> m_Agents;
};

/// The configuration of one process, kept up to date from the table and from other processes.
///
/// Never adopts an older number. Content is adopted only when its digest matches. The caller
/// carries out the actions in order and reports what arrives; it passes the offer on heartbeats to
/// onOffer().
class ConfigurationReplica {
public:
  /// A poller reads `config/head` this often.
  static constexpr Duration PollInterval = std::chrono::milliseconds(500);
  static constexpr std::size_t PollersPerDataCentre = 2;
  static constexpr std::size_t GossipFanOut = 3;
  /// A request to a peer or the table without an answer is repeated elsewhere after this.
  static constexpr Duration AnswerTimeout = std::chrono::milliseconds(400);
  /// A starting process collects its peers' offers for this long before it relies on them alone.
  static constexpr Duration StartWait = std::chrono::seconds(1);
  /// A head that the table confirmed to a starting process, but whose rows cannot be read, keeps it
  /// from relying on its peers for this long.
  static constexpr Duration ConfirmedWait = std::chrono::seconds(3);
  /// Peers that a starting process asks.
  static constexpr std::size_t StartFanOut = 16;
  /// Change rows that are read at once; a larger gap is closed from the snapshot.
  static constexpr std::size_t MaxRowsAtOnce = 16;
  /// A delta up to this size is pushed with the news of a change; a larger one is fetched.
  static constexpr std::size_t MaxPushBytes = 2048;
  /// Attached agents whose numbers are remembered.
  static constexpr std::size_t MaxTracked = 1024;

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
  /// The configuration changed; read it with configuration().
  struct InForce {
    explicit InForce(ChangeNumber Number) : m_Number(Number) {}
    ChangeNumber m_Number;
  };
  using Action = std::variant<Send, ReadRow, Write, InForce>;
  using Actions = std::vector<Action>;

  /// Rules that a test switches off to show that it notices. Production code keeps the defaults.
  struct Rules {
    bool m_RefuseOlder = true;
    bool m_CheckDigest = true;
    bool m_ConfirmHead = true;
    bool m_RepairByOffers = true;
    bool m_PollTable = true;
    bool m_FullCopyAcrossTombstones = true;
  };

  ConfigurationReplica(InstanceId Self, InstanceRole Role, std::uint64_t Seed, Rules Enabled);
  ConfigurationReplica(InstanceId Self, InstanceRole Role, std::uint64_t Seed)
      : ConfigurationReplica(std::move(Self), Role, Seed, Rules()) {}

  Actions start(const ReplicaPeers &Peers, TimePoint Now);
  void setPeers(const ReplicaPeers &Peers);
  Actions onMessage(const InstanceId &From, const ConfigurationMessage &Message, TimePoint Now);
  /// An offer that came on a heartbeat.
  Actions onOffer(const InstanceId &From, const ConfigurationOffer &Offer, TimePoint Now);
  /// A row that was asked for; nothing when the read failed.
  Actions onRow(const std::string &Key, const std::optional<TableRow> &Row, TimePoint Now);
  Actions onCommit(const CommitResult &Result, TimePoint Now);
  /// A change that this instance's ChangeWriter got accepted.
  Actions onAccepted(const Configuration &Accepted, TimePoint Now);
  /// Reads the table up to this number; for ChangeWriter::CatchUp.
  Actions catchUp(ChangeNumber Number, TimePoint Now);
  Actions onTime(TimePoint Now);
  TimePoint nextWake() const;

  const Configuration &configuration() const { return m_Configuration; }
  ConfigurationOffer offer() const;
  bool isReady() const { return m_Ready; }
  /// Empty when ready.
  std::string notReadyReason() const;
  /// True when this entry instance reads the table for its data centre.
  bool isPoller() const { return m_IsPoller; }
  /// Time since a read of the head last succeeded; nothing if never or not a poller.
  std::optional<Duration> tableAge(TimePoint Now) const;
  /// Messages dropped because a digest did not match or a number was older than its content.
  std::uint64_t rejectedMessages() const { return m_Rejected; }

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

  bool adopt(Configuration Next, Actions &Out, TimePoint Now, const InstanceId &Source);
  void compare(const InstanceId &From, const ConfigurationOffer &Offer, TimePoint Now,
               Actions &Out);
  void announce(const Configuration &Previous, const InstanceId &Source, Actions &Out);
  void request(const InstanceId &From, ChangeNumber Target, ChangeNumber Since, TimePoint Now,
               Actions &Out);
  void onDelta(const InstanceId &From, const ConfigurationMessage &Message, TimePoint Now,
               Actions &Out);
  ConfigurationMessage deltaFor(ChangeNumber Since, const DeclarationName &AfterName,
                                std::size_t MaxBytes) const;
  void readHead(TimePoint Now, Actions &Out);
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
  TimePoint m_NextPoll{};
  TimePoint m_NextHello{};
  std::optional<TimePoint> m_HeadReadAt;
  /// A head read that has not been answered; no second one is sent before it expires.
  std::optional<TimePoint> m_HeadReadExpires;
  /// The row that the pending no-op write confirms.
  std::optional<TableRow> m_Confirming;
  TimePoint m_ConfirmExpires{};
  std::uint64_t m_ConfirmCount = 0;
  /// The confirmed head that must be reached before the process is ready.
  std::optional<ChangeNumber> m_ConfirmedNumber;
  /// The highest head seen in the table.
  ChangeNumber m_TableNumber;
  ChangeNumber m_TableSnapshot;
  std::map<ChangeNumber, Change> m_FetchedChanges;
  TimePoint m_RowsExpire{};
  std::optional<Fetch> m_Fetch;
  /// Peers that answered while starting, with their offers.
  std::map<InstanceId, ConfigurationOffer> m_StartOffers;
  std::map<InstanceId, ChangeNumber> m_AgentNumbers;
  std::uint64_t m_Rejected = 0;
};

/// What the operators' status command shows of one data centre.
struct DataCentreLag {
  DataCentreId m_DataCentre;
  /// The highest change that an instance of the data centre has in force.
  ChangeNumber m_InForce;
  /// Instances that are behind the highest change known anywhere, at most MaxNames of them.
  std::vector<InstanceId> m_Lagging;
  std::size_t m_LaggingCount = 0;
  /// Entry instances that did not answer, at most MaxNames of them.
  std::vector<InstanceId> m_NotReached;
  std::size_t m_NotReachedCount = 0;

  static constexpr std::size_t MaxNames = 32;
};

/// Asks every entry instance once, on an operator's request, how far its configuration is.
class LagCollector {
public:
  /// Instances that have not answered by then count as not reached.
  static constexpr Duration WaitLimit = std::chrono::seconds(1);

  /// `Entries` are the entry instances of all data centres except `Self`.
  LagCollector(std::vector<InstanceRecord> Entries, TimePoint Now);

  /// The messages to send at the beginning.
  std::vector<ConfigurationReplica::Send> start() const;
  void onAnswer(const InstanceId &From, const ConfigurationMessage &Answer);
  bool isDone(TimePoint Now) const;
  /// One element for each data centre, in order of name.
  std::vector<DataCentreLag> report() const;

private:
  std::vector<InstanceRecord> m_Entries;
  TimePoint m_Started;
  std::map<InstanceId, ConfigurationMessage> m_Answers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CONFIGURATIONREPLICA_H
