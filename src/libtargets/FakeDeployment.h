#ifndef FESCUEGAUGE_LIBTARGETS_FAKEDEPLOYMENT_H
#define FESCUEGAUGE_LIBTARGETS_FAKEDEPLOYMENT_H

#include "FakeStore.h"
#include "Fescuegauge/ChangeWriter.h"
#include "Fescuegauge/ConfigurationReplica.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Membership.h"

#include <ctime>
#include <memory>

namespace fescuegauge {

/// Processes that run the production membership and configuration code on a simulated network and a
/// FakeStore, in virtual time. Tests and benchmarks inject faults.
class FakeDeployment {
public:
  /// Size of the TCP/IP headers and framing of one message.
  static constexpr std::uint64_t MessageOverheadBytes = 60;

  struct Process {
    std::shared_ptr<const InstanceRecord> m_Record;
    std::unique_ptr<Membership> m_Membership;
    std::unique_ptr<ConfigurationReplica> m_Replica;
    std::map<std::uint64_t, std::unique_ptr<ChangeWriter>> m_Writers;
    /// Number of starts and kills; events scheduled under an earlier number are dropped.
    std::uint64_t m_Epoch = 0;
    bool m_Alive = false;
    TimePoint m_PausedUntil{};
    TimePoint m_StartedAt{};
    TimePoint m_NextWakeAt{};
    bool m_PeersChanged = true;
    TimePoint m_PeersSetAt{};
    std::uint64_t m_SentBytes = 0;
    std::uint64_t m_ReceivedBytes = 0;
    std::uint64_t m_Messages = 0;
    /// Bytes sent, by kind of message; configuration messages count as kind 15.
    std::array<std::uint64_t, 16> m_BytesByKind{};
    std::uint64_t m_CpuNanoseconds = 0;
    ChangeNumber m_HighestInForce;
    std::size_t m_DataCentre = 0;
  };

  FakeDeployment(std::uint64_t Seed) : m_Random(Seed), m_Store(m_Events, Seed + 1) {}

  EventQueue m_Events;
  RandomGenerator m_Random;
  FakeStore m_Store;
  std::vector<Process> m_Processes;
  std::map<InstanceId, std::size_t> m_IndexById;
  double m_Loss = 0;
  double m_DuplicationProbability = 0;
  Duration m_ExtraDelay{};
  /// Probability that a message with entries loses one in transit.
  double m_CorruptionProbability = 0;
  bool m_MeasureCpu = false;
  /// Pairs of data centres that cannot reach each other, and data centres that cannot reach the
  /// store.
  std::set<std::pair<std::size_t, std::size_t>> m_Partitions;
  std::set<std::size_t> m_StorePartitions;
  ConfigurationReplica::Rules m_ReplicaRules;
  ChangeWriter::Rules m_WriterRules;
  Membership::Rules m_MembershipRules;
  std::vector<Endpoint> m_SeedEndpoints;

  /// Digest of every change number that was ever in force in any process.
  std::map<ChangeNumber, Digest> m_DigestByNumber;
  /// Accepted change numbers with the time at which the operator got the outcome.
  std::map<ChangeNumber, TimePoint> m_Accepted;
  std::vector<std::pair<ChangeId, ChangeOutcome>> m_Outcomes;
  std::vector<std::string> m_Violations;
  /// Called when a process adopts a new change number.
  std::function<void(Process &, ChangeNumber)> m_OnInForce;
  std::function<void(Process &, const InstanceRecord &)> m_OnMemberChange;

  static std::string dataCentreName(std::size_t Index) {
    static const std::vector<std::string> Names{"central-valley", "guanacaste", "caribe",
                                                "dalarna"};
    return Names[Index];
  }

  /// Adds processes without starting them.
  void add(InstanceRole Role, std::size_t Count, std::size_t DataCentres) {
    for (std::size_t Index = 0; Index < Count; ++Index) {
      InstanceRecord Record;
      Record.m_Role = Role;
      Record.m_State = InstanceState::Live;
      std::size_t DataCentre = Index % DataCentres;
      Record.m_DataCentre = DataCentreId(dataCentreName(DataCentre));
      Record.m_Region = RegionId(DataCentre < 2 ? "pacifico" : "atlantico");
      Record.m_Id =
          InstanceId(dataCentreName(DataCentre) +
                     (Role == InstanceRole::Entry ? "-entry-" : "-agent-") + std::to_string(Index));
      std::size_t Number = m_Processes.size();
      Record.m_Endpoint = {
          "10.0." + std::to_string(Number / 250) + "." + std::to_string(Number % 250 + 1), 7400};
      Record.m_Incarnation = Incarnation(1'700'000'000'000);
      if (Role == InstanceRole::Agent) {
        Record.m_Service = ServiceId("asistente");
        Record.m_Generation = GenerationId(Index % 2 ? "new" : "old");
        Record.m_ServedDigest = sha256("version");
        Record.m_Capacity = 16;
      }
      Process Added;
      Added.m_DataCentre = DataCentre;
      Added.m_Record = std::make_shared<const InstanceRecord>(Record);
      m_IndexById[Record.m_Id] = Number;
      m_Processes.push_back(std::move(Added));
      if (Role == InstanceRole::Entry && m_SeedEndpoints.size() < 8)
        m_SeedEndpoints.push_back(Record.m_Endpoint);
    }
  }

  /// Starts a process without state. With `HasFullView` its membership view contains all others
  /// from the beginning.
  void start(std::size_t Number, bool HasFullView) {
    Process &Started = m_Processes[Number];
    ++Started.m_Epoch;
    Started.m_Alive = true;
    Started.m_PausedUntil = {};
    Started.m_StartedAt = m_Events.now();
    Started.m_NextWakeAt = {};
    Started.m_Writers.clear();
    Started.m_HighestInForce = ChangeNumber();
    auto Record = std::make_shared<InstanceRecord>(*Started.m_Record);
    Record->m_Incarnation = Incarnation(Record->m_Incarnation.value() + 1000);
    Started.m_Record = Record;
    Started.m_Membership =
        std::make_unique<Membership>(*Record, m_SeedEndpoints, m_Random(), m_MembershipRules);
    Started.m_Replica = std::make_unique<ConfigurationReplica>(Record->m_Id, Record->m_Role,
                                                               m_Random(), m_ReplicaRules);
    if (HasFullView) {
      std::vector<std::shared_ptr<const InstanceRecord>> Records;
      for (const Process &Other : m_Processes)
        Records.push_back(Other.m_Record);
      Started.m_Membership->mergeRecords(Records, m_Events.now());
    }
    Started.m_PeersChanged = true;
    run(Started, [&] { return Started.m_Membership->start(m_Events.now()); });
    run(Started, [&] { return Started.m_Replica->start(peers(Started), m_Events.now()); });
    scheduleWake(Number);
  }
  void startAll() {
    // All records have the incarnation of the later start before the first process starts, so that
    // all views are complete.
    for (Process &Each : m_Processes) {
      auto Record = std::make_shared<InstanceRecord>(*Each.m_Record);
      Record->m_Incarnation = Incarnation(Record->m_Incarnation.value() + 1000);
      Each.m_Record = Record;
    }
    for (std::size_t Number = 0; Number < m_Processes.size(); ++Number) {
      auto Record = std::make_shared<InstanceRecord>(*m_Processes[Number].m_Record);
      Record->m_Incarnation = Incarnation(Record->m_Incarnation.value() - 1000);
      m_Processes[Number].m_Record = Record;
      start(Number, true);
    }
  }
  void kill(std::size_t Number) {
    Process &Killed = m_Processes[Number];
    Killed.m_Alive = false;
    ++Killed.m_Epoch;
    Killed.m_Membership.reset();
    Killed.m_Replica.reset();
    Killed.m_Writers.clear();
  }
  void pause(std::size_t Number, Duration Length) {
    m_Processes[Number].m_PausedUntil = m_Events.now() + Length;
  }
  void leave(std::size_t Number) {
    Process &Leaving = m_Processes[Number];
    run(Leaving, [&] { return Leaving.m_Membership->leave(); });
  }

  void apply(std::size_t Number, ChangeRequest Request) {
    Process &Entry = m_Processes[Number];
    if (!Entry.m_Alive || !Entry.m_Replica->isReady())
      return;
    std::uint64_t Key = m_NextWriterKey++;
    auto &Writer = Entry.m_Writers[Key];
    m_WriterIds[Key] = Request.m_Id;
    Writer = std::make_unique<ChangeWriter>(std::move(Request), m_WriterRules);
    perform(Number, Key, Writer->start(Entry.m_Replica->configuration(), m_Events.now()));
  }

  bool isReachable(std::size_t Left, std::size_t Right) const {
    return !m_Partitions.contains({std::min(Left, Right), std::max(Left, Right)});
  }
  void partition(std::size_t Left, std::size_t Right) {
    m_Partitions.insert({std::min(Left, Right), std::max(Left, Right)});
  }

  std::size_t randomEntry() {
    std::size_t Number = 0;
    do
      Number = uniformBelow(m_Random, m_Processes.size());
    while (m_Processes[Number].m_Record->m_Role != InstanceRole::Entry);
    return Number;
  }

  /// Returns the running processes whose change number is lower than `Number`.
  std::vector<InstanceId> laggingProcesses(ChangeNumber Number) const {
    std::vector<InstanceId> Result;
    for (const Process &Each : m_Processes)
      if (Each.m_Alive && Each.m_Replica->configuration().number() < Number)
        Result.push_back(Each.m_Record->m_Id);
    return Result;
  }

private:
  /// Runs protocol code of a process, measures its CPU time and performs the returned actions.
  template <typename Code> void run(Process &Self, const Code &Decide) {
    std::uint64_t CpuBefore = cpuNanoseconds();
    Self.m_Membership->setAttachment(Self.m_Replica->replicaStatus().encode());
    auto Actions = Decide();
    std::size_t Number = m_IndexById.at(Self.m_Record->m_Id);
    Self.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
    for (auto &Each : Actions)
      perform(Number, Each);
  }
  std::uint64_t cpuNanoseconds() const {
    if (!m_MeasureCpu)
      return 0;
    timespec Time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
    return static_cast<std::uint64_t>(Time.tv_sec) * 1'000'000'000 +
           static_cast<std::uint64_t>(Time.tv_nsec);
  }

  void perform(std::size_t Number, Membership::Action &Action) {
    Process &Self = m_Processes[Number];
    if (auto *Sent = std::get_if<Membership::Send>(&Action)) {
      std::size_t To = m_Processes.size();
      if (auto Found = m_IndexById.find(Sent->m_To); Found != m_IndexById.end())
        To = Found->second;
      else
        for (std::size_t Other = 0; Other < m_Processes.size(); ++Other)
          if (m_Processes[Other].m_Record->m_Endpoint == Sent->m_Endpoint)
            To = Other;
      std::uint64_t CpuBefore = cpuNanoseconds();
      std::string Bytes = Sent->m_Message.encode();
      Self.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
      transmit(Number, To, std::move(Bytes), true);
    } else if (auto *Change = std::get_if<Membership::MemberChanged>(&Action)) {
      Self.m_PeersChanged = true;
      if (m_OnMemberChange)
        m_OnMemberChange(Self, *Self.m_Membership->find(Change->m_Id));
    } else if (auto *PeerStatus = std::get_if<Membership::Attachment>(&Action)) {
      if (auto Decoded = ReplicaStatus::decode(PeerStatus->m_Bytes))
        run(Self, [&] {
          return Self.m_Replica->onPeerStatus(PeerStatus->m_From, *Decoded, m_Events.now());
        });
    }
  }
  void perform(std::size_t Number, ConfigurationReplica::Action &Action) {
    Process &Self = m_Processes[Number];
    std::uint64_t Epoch = Self.m_Epoch;
    bool Reachable = !m_StorePartitions.contains(Self.m_DataCentre);
    if (auto *Sent = std::get_if<ConfigurationReplica::Send>(&Action)) {
      std::uint64_t CpuBefore = cpuNanoseconds();
      std::string Bytes = Sent->m_Message.encode();
      Self.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
      transmit(Number, m_IndexById.at(Sent->m_To), std::move(Bytes), false);
    } else if (auto *Read = std::get_if<ConfigurationReplica::ReadRow>(&Action)) {
      std::string Key = Read->m_Key;
      m_Store.read(Key, Reachable, [this, Number, Epoch, Key](const std::optional<TableRow> &Row) {
        runWhenResumed(Number, Epoch, [this, Key, Row](Process &Target) {
          run(Target, [&] { return Target.m_Replica->onRow(Key, Row, m_Events.now()); });
        });
      });
    } else if (auto *Write = std::get_if<ConfigurationReplica::Write>(&Action)) {
      m_Store.transact(
          Write->m_Transaction, Reachable,
          [this, Number, Epoch, Id = Write->m_Transaction.m_WriteId](const CommitResult &Result) {
            runWhenResumed(Number, Epoch, [this, Id, Result](Process &Target) {
              run(Target, [&] { return Target.m_Replica->onCommit(Id, Result, m_Events.now()); });
            });
          });
    } else if (auto *New = std::get_if<ConfigurationReplica::InForce>(&Action)) {
      onInForce(Number, New->m_Number);
    }
  }
  void onInForce(std::size_t Number, ChangeNumber InForce) {
    Process &Self = m_Processes[Number];
    const Configuration &Present = Self.m_Replica->configuration();
    if (InForce < Self.m_HighestInForce)
      m_Violations.push_back("change number decreased at " + Self.m_Record->m_Id.str());
    Self.m_HighestInForce = std::max(Self.m_HighestInForce, InForce);
    auto Known = m_DigestByNumber.emplace(Present.number(), Present.digest()).first;
    if (Known->second != Present.digest())
      m_Violations.push_back("different contents of change " +
                             std::to_string(Present.number().value()));
    if (m_OnInForce)
      m_OnInForce(Self, InForce);
    std::vector<std::uint64_t> Keys;
    for (const auto &[Key, Writer] : Self.m_Writers)
      Keys.push_back(Key);
    for (std::uint64_t Key : Keys)
      if (auto Writer = Self.m_Writers.find(Key); Writer != Self.m_Writers.end())
        perform(Number, Key, Writer->second->onConfiguration(Present, m_Events.now()));
  }
  void perform(std::size_t Number, std::uint64_t Key, ChangeWriter::Actions Actions) {
    Process &Self = m_Processes[Number];
    std::uint64_t Epoch = Self.m_Epoch;
    bool Reachable = !m_StorePartitions.contains(Self.m_DataCentre);
    auto ReportLater = [this, Number, Epoch, Key](auto Report) {
      runWhenResumed(Number, Epoch, [this, Number, Key, Report](Process &Target) {
        if (auto Found = Target.m_Writers.find(Key); Found != Target.m_Writers.end())
          perform(Number, Key, Report(*Found->second));
      });
    };
    for (auto &Action : Actions) {
      if (auto *Read = std::get_if<ChangeWriter::ReadRow>(&Action)) {
        std::string RowKey = Read->m_Key;
        m_Store.read(RowKey, Reachable,
                     [this, ReportLater, RowKey](const std::optional<TableRow> &Row) {
                       ReportLater([this, RowKey, Row](ChangeWriter &Writer) {
                         return Writer.onRow(RowKey, Row, m_Events.now());
                       });
                     });
      } else if (auto *Write = std::get_if<ChangeWriter::Write>(&Action)) {
        WriteId Id = Write->m_Transaction.m_WriteId;
        m_Store.transact(Write->m_Transaction, Reachable,
                         [this, ReportLater, Id](const CommitResult &Result) {
                           ReportLater([this, Id, Result](ChangeWriter &Writer) {
                             return Writer.onCommit(Id, Result, m_Events.now());
                           });
                         });
      } else if (auto *CatchUp = std::get_if<ChangeWriter::CatchUp>(&Action)) {
        run(Self, [&] { return Self.m_Replica->catchUp(CatchUp->m_Number, m_Events.now()); });
      } else if (auto *Done = std::get_if<ChangeWriter::Finish>(&Action)) {
        m_Outcomes.emplace_back(m_WriterIds[Key], Done->m_Outcome);
        if (Done->m_Outcome.m_Status == ChangeOutcome::Status::Accepted)
          m_Accepted.emplace(Done->m_Outcome.m_Number, m_Events.now());
        auto Accepted = Done->m_Accepted;
        Self.m_Writers.erase(Key);
        if (Accepted)
          run(Self, [&] { return Self.m_Replica->onAccepted(*Accepted, m_Events.now()); });
        return;
      }
    }
    if (auto Found = Self.m_Writers.find(Key); Found != Self.m_Writers.end())
      m_Events.at(Found->second->nextTimer(), [this, ReportLater] {
        ReportLater([this](ChangeWriter &Writer) { return Writer.onTimer(m_Events.now()); });
      });
  }

  void transmit(std::size_t From, std::size_t To, std::string Bytes, bool IsMembership) {
    Process &Sender = m_Processes[From];
    Sender.m_SentBytes += Bytes.size() + MessageOverheadBytes;
    ++Sender.m_Messages;
    Sender.m_BytesByKind[IsMembership ? Bytes[0] & 15 : 15] += Bytes.size() + MessageOverheadBytes;
    if (To >= m_Processes.size())
      return;
    auto Shared = std::make_shared<const std::string>(std::move(Bytes));
    int Copies = chance(m_Random, m_DuplicationProbability) ? 2 : 1;
    for (int Copy = 0; Copy < Copies; ++Copy) {
      bool Dropped = chance(m_Random, m_Loss) ||
                     !isReachable(Sender.m_DataCentre, m_Processes[To].m_DataCentre);
      Duration Delay = jittered(m_Random, std::chrono::milliseconds(1));
      if (m_ExtraDelay > Duration::zero())
        Delay += Duration(static_cast<Duration::rep>(
            uniformBelow(m_Random, static_cast<std::uint64_t>(m_ExtraDelay.count()))));
      if (Dropped)
        continue;
      m_Events.after(Delay, [this, From, To, Shared, IsMembership] {
        if (!m_Processes[To].m_Alive)
          return;
        runWhenResumed(To, m_Processes[To].m_Epoch,
                       [this, From, Shared, IsMembership](Process &Target) {
                         deliver(Target, m_Processes[From].m_Record->m_Id, *Shared, IsMembership);
                       });
      });
    }
  }
  void deliver(Process &Target, const InstanceId &From, const std::string &Bytes,
               bool IsMembership) {
    Target.m_ReceivedBytes += Bytes.size() + MessageOverheadBytes;
    std::uint64_t CpuBefore = cpuNanoseconds();
    if (IsMembership) {
      auto Message = MembershipMessage::decode(Bytes);
      Target.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
      if (!Message)
        return m_Violations.push_back("undecodable membership message");
      run(Target, [&] { return Target.m_Membership->onMessage(From, *Message, m_Events.now()); });
    } else {
      auto Message = ConfigurationMessage::decode(Bytes);
      Target.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
      if (!Message)
        return m_Violations.push_back("undecodable configuration message");
      if (!Message->m_Entries.empty() && chance(m_Random, m_CorruptionProbability))
        Message->m_Entries.pop_back();
      run(Target, [&] { return Target.m_Replica->onMessage(From, *Message, m_Events.now()); });
    }
    scheduleWake(m_IndexById.at(Target.m_Record->m_Id));
  }
  /// Runs an event of a process once the process is not paused; drops it if the process was killed
  /// or restarted in the meantime.
  void runWhenResumed(std::size_t Number, std::uint64_t Epoch,
                      const std::function<void(Process &)> &Event) {
    Process &Target = m_Processes[Number];
    if (!Target.m_Alive || Target.m_Epoch != Epoch)
      return;
    if (Target.m_PausedUntil > m_Events.now())
      return m_Events.at(Target.m_PausedUntil,
                         [this, Number, Epoch, Event] { runWhenResumed(Number, Epoch, Event); });
    Event(Target);
  }
  void scheduleWake(std::size_t Number) {
    Process &Target = m_Processes[Number];
    TimePoint Wake = std::min(Target.m_Membership->nextTimer(), Target.m_Replica->nextTimer());
    Wake = std::max(Wake, m_Events.now() + std::chrono::milliseconds(1));
    // An earlier or equal wake-up is already scheduled.
    if (Target.m_NextWakeAt > m_Events.now() && Target.m_NextWakeAt <= Wake)
      return;
    Target.m_NextWakeAt = Wake;
    std::uint64_t Epoch = Target.m_Epoch;
    m_Events.at(Wake, [this, Number, Epoch, Wake] {
      if (m_Processes[Number].m_NextWakeAt != Wake)
        return;
      runWhenResumed(Number, Epoch, [this, Number](Process &Resumed) {
        Resumed.m_NextWakeAt = {};
        if (Resumed.m_PeersChanged &&
            m_Events.now() >= Resumed.m_PeersSetAt + std::chrono::milliseconds(200)) {
          Resumed.m_PeersChanged = false;
          Resumed.m_PeersSetAt = m_Events.now();
          std::uint64_t CpuBefore = cpuNanoseconds();
          Resumed.m_Replica->setPeers(peers(Resumed));
          Resumed.m_CpuNanoseconds += cpuNanoseconds() - CpuBefore;
        }
        run(Resumed, [&] { return Resumed.m_Membership->onTimer(m_Events.now()); });
        run(Resumed, [&] { return Resumed.m_Replica->onTimer(m_Events.now()); });
        scheduleWake(Number);
      });
    });
  }
  static ReplicaPeers peers(const Process &Self) {
    ReplicaPeers Result;
    const Membership &View = *Self.m_Membership;
    const DataCentreId &Own = Self.m_Record->m_DataCentre;
    Result.m_LocalEntries =
        Self.m_Record->m_Role == InstanceRole::Entry ? View.entries(Own) : View.watchers();
    Result.m_LocalRelays = View.relays(Own);
    if (Self.m_Record->m_Role == InstanceRole::Entry)
      for (const DataCentreId &DataCentre : View.dataCentres())
        if (DataCentre != Own)
          for (InstanceId &Relay : View.relays(DataCentre))
            Result.m_RemoteRelays.push_back(std::move(Relay));
    for (InstanceId &Id : View.watched())
      if (const InstanceRecord *Found = View.find(Id);
          Found && Found->m_Role == InstanceRole::Agent)
        Result.m_Agents.push_back(std::move(Id));
    return Result;
  }

  std::uint64_t m_NextWriterKey = 1;
  std::map<std::uint64_t, ChangeId> m_WriterIds;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBTARGETS_FAKEDEPLOYMENT_H
