#include "TargetsService.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/Metrics.h"

namespace fescuegauge {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
/// Interval at which the replica's peers are updated from the membership view.
constexpr Duration PeerUpdateInterval = std::chrono::milliseconds(250);

} // namespace

TargetsService::TargetsService(const Settings &Configured, Incarnation OwnIncarnation,
                               EventLoop &Loop)
    : Service("targets"), m_Settings(Configured), m_Loop(Loop),
      m_Replica(Configured.m_Id, Configured.m_Role,
                std::hash<std::string>{}(Configured.m_Id.str()) + OwnIncarnation.value()) {}

void TargetsService::start(Kernel &Services) {
  m_Platform = &Services.find<PlatformService>("platform");
  m_Membership = &Services.find<MembershipService>("membership");
  auto &Rpc = Services.find<RpcService>("rpc");
  m_Loop.postAndWait([this, &Rpc] {
    Rpc.setTopicHandler(
        Topic::Configuration,
        [this](const PeerIdentity &From, const std::string &Payload, const ReplyCallback &Reply) {
          Reply({});
          auto Message = ConfigurationMessage::decode(Payload);
          if (!Message)
            return logEvent(Severity::Warning, "message_malformed",
                            {{"peer", From.m_Instance}, {"topic", "configuration"}});
          if (Message->m_Kind == ConfigurationMessage::Kind::LagReply)
            for (const auto &ActiveCollection : m_LagCollections)
              ActiveCollection->m_Collector.onReply(From.m_Instance, *Message);
          perform(m_Replica.onMessage(From.m_Instance, *Message, EventLoop::now()));
        });
    m_Membership->setAttachmentCallback([this](const InstanceId &From, const std::string &Bytes) {
      if (auto PeerStatus = ReplicaStatus::decode(Bytes))
        perform(m_Replica.onPeerStatus(From, *PeerStatus, EventLoop::now()));
    });
    perform(m_Replica.start(replicaPeers(), EventLoop::now()));
    m_Membership->setAttachment(m_Replica.replicaStatus().encode());
  });
  m_Loop.every(TickInterval, [this] { tick(); });
  auto &Metrics = Services.find<MetricsService>("metrics");
  GaugeMetric &InForce =
      Metrics.gauge({"fescuegauge_change_in_force", "Change number in force.", {}});
  Metrics.beforeCollection([this, &InForce] {
    ChangeNumber Number;
    m_Loop.postAndWait([&] { Number = m_Replica.configuration().number(); });
    InForce.set({}, static_cast<double>(Number.value()));
  });
}

std::string TargetsService::notReadyReason() const {
  std::string Reason;
  m_Loop.postAndWait([&] { Reason = m_Replica.notReadyReason(); });
  return Reason;
}

ReplicaPeers TargetsService::replicaPeers() const {
  const Membership &View = m_Membership->view();
  ReplicaPeers Peers;
  bool IsEntry = m_Settings.m_Role == InstanceRole::Entry;
  // An agent exchanges configurations only with the entry instances that monitor it.
  Peers.m_LocalEntries = IsEntry ? View.entries(m_Settings.m_DataCentre) : View.watchers();
  for (const DataCentreId &DataCentre : View.dataCentres()) {
    std::vector<InstanceId> Relays = View.relays(DataCentre);
    auto &RelayGroup =
        DataCentre == m_Settings.m_DataCentre ? Peers.m_LocalRelays : Peers.m_RemoteRelays;
    RelayGroup.insert(RelayGroup.end(), Relays.begin(), Relays.end());
  }
  if (IsEntry) {
    for (const InstanceId &Watched : View.watched()) {
      const InstanceRecord *Record = View.find(Watched);
      if (Record && Record->m_Role == InstanceRole::Agent)
        Peers.m_Agents.push_back(Watched);
    }
  }
  return Peers;
}

void TargetsService::tick() {
  TimePoint Now = EventLoop::now();
  if (Now >= m_NextPeerUpdateAt) {
    m_NextPeerUpdateAt = Now + PeerUpdateInterval;
    m_Replica.setPeers(replicaPeers());
  }
  if (Now >= m_Replica.nextTimer())
    perform(m_Replica.onTimer(Now));
  m_Membership->setAttachment(m_Replica.replicaStatus().encode());
  auto Writers = m_Writers;
  for (const WriterPtr &ActiveWriter : Writers)
    if (Now >= ActiveWriter->m_ChangeWriter.nextTimer())
      perform(ActiveWriter, ActiveWriter->m_ChangeWriter.onTimer(Now));
  for (auto Next = m_LagCollections.begin(); Next != m_LagCollections.end();) {
    auto ActiveCollection = *Next;
    if (!ActiveCollection->m_Collector.isDone(Now)) {
      ++Next;
      continue;
    }
    Next = m_LagCollections.erase(Next);
    ActiveCollection->m_Done(ActiveCollection->m_Collector.report());
  }
}

void TargetsService::sendMessage(const ConfigurationReplica::Send &Message) {
  m_Membership->send(Message.m_To, Topic::Configuration, Message.m_Message.encode());
}

void TargetsService::perform(const ConfigurationReplica::Actions &Actions) {
  for (const ConfigurationReplica::Action &Action : Actions) {
    if (const auto *Message = std::get_if<ConfigurationReplica::Send>(&Action)) {
      sendMessage(*Message);
    } else if (const auto *Read = std::get_if<ConfigurationReplica::ReadRow>(&Action)) {
      m_Platform->read(Read->m_Key, [this, Key = Read->m_Key](const std::optional<TableRow> &Row) {
        perform(m_Replica.onRow(Key, Row, EventLoop::now()));
      });
    } else if (const auto *Write = std::get_if<ConfigurationReplica::Write>(&Action)) {
      const WriteId Id = Write->m_Transaction.m_WriteId;
      if (!Write->m_Transaction.m_Puts.empty())
        logEvent(Severity::Warning, "restored_table_rewritten", {{"writeId", Id}});
      m_Platform->transact(Write->m_Transaction, [this, Id](const CommitResult &Result) {
        perform(m_Replica.onCommit(Id, Result, EventLoop::now()));
      });
    } else if (const auto *Adopted = std::get_if<ConfigurationReplica::InForce>(&Action)) {
      logEvent(Severity::Info, "change_in_force", {{"change", Adopted->m_Number}});
      for (const ChangeCallback &Callback : m_ConfigurationCallbacks)
        Callback(m_Replica.configuration());
      auto Writers = m_Writers;
      for (const WriterPtr &ActiveWriter : Writers)
        perform(ActiveWriter, ActiveWriter->m_ChangeWriter.onConfiguration(
                                  m_Replica.configuration(), EventLoop::now()));
    }
  }
}

void TargetsService::applyChange(ChangeRequest Request, OutcomeCallback Done) {
  if (m_Writers.size() >= MaxConcurrentChanges) {
    ChangeOutcome Outcome;
    Outcome.m_Status = ChangeOutcome::Status::Refused;
    Outcome.m_Error = ErrorKind::Overloaded;
    Outcome.m_Message = "the limit on concurrent changes is reached";
    return Done(Outcome);
  }
  logEvent(Severity::Info, "change_requested",
           {{"changeId", Request.m_Id}, {"author", Request.m_Author}});
  auto ActiveWriter =
      std::make_shared<Writer>(Writer{ChangeWriter(std::move(Request)), std::move(Done)});
  m_Writers.push_back(ActiveWriter);
  perform(ActiveWriter,
          ActiveWriter->m_ChangeWriter.start(m_Replica.configuration(), EventLoop::now()));
}

void TargetsService::perform(const WriterPtr &ActiveWriter, const ChangeWriter::Actions &Actions) {
  for (const ChangeWriter::Action &Action : Actions) {
    if (const auto *Read = std::get_if<ChangeWriter::ReadRow>(&Action)) {
      m_Platform->read(
          Read->m_Key, [this, ActiveWriter, Key = Read->m_Key](const std::optional<TableRow> &Row) {
            perform(ActiveWriter, ActiveWriter->m_ChangeWriter.onRow(Key, Row, EventLoop::now()));
          });
    } else if (const auto *Write = std::get_if<ChangeWriter::Write>(&Action)) {
      WriteId Id = Write->m_Transaction.m_WriteId;
      m_Platform->transact(Write->m_Transaction, [this, ActiveWriter,
                                                  Id](const CommitResult &Result) {
        perform(ActiveWriter, ActiveWriter->m_ChangeWriter.onCommit(Id, Result, EventLoop::now()));
      });
    } else if (const auto *Behind = std::get_if<ChangeWriter::CatchUp>(&Action)) {
      perform(m_Replica.catchUp(Behind->m_Number, EventLoop::now()));
    } else if (const auto *Finished = std::get_if<ChangeWriter::Finish>(&Action)) {
      m_Writers.remove(ActiveWriter);
      if (Finished->m_Accepted)
        perform(m_Replica.onAccepted(*Finished->m_Accepted, EventLoop::now()));
      ActiveWriter->m_Done(Finished->m_Outcome);
    }
  }
}

void TargetsService::collectLag(LagCallback Done) {
  std::vector<InstanceRecord> Entries;
  for (const auto &Member : m_Membership->view().members())
    if (Member->m_Role == InstanceRole::Entry)
      Entries.push_back(*Member);
  auto ActiveCollection = std::make_shared<LagCollection>(
      LagCollection{LagCollector(std::move(Entries), EventLoop::now()), std::move(Done)});
  m_LagCollections.push_back(ActiveCollection);
  for (const ConfigurationReplica::Send &Message : ActiveCollection->m_Collector.start())
    sendMessage(Message);
}

boost::json::object TargetsService::dumpState() const {
  boost::json::object State;
  m_Loop.postAndWait([&] {
    const Configuration &InForce = m_Replica.configuration();
    State["change"] = InForce.number().value();
    State["digest"] = InForce.digest().hex();
    State["entries"] = InForce.entries().size();
    State["isReady"] = m_Replica.isReady();
    State["isPoller"] = m_Replica.isPoller();
    State["rejectedMessages"] = m_Replica.rejectedMessages();
    State["changesBeingWritten"] = m_Writers.size();
  });
  return State;
}

} // namespace fescuegauge
