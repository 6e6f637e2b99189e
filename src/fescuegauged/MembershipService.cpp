#include "MembershipService.h"

#include "Fescuegauge/Log.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <boost/json/array.hpp>

namespace fescuegauge {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
constexpr Duration SeedMessageTimeout = std::chrono::seconds(1);

std::string_view stateName(InstanceState State) {
  switch (State) {
  case InstanceState::Joining:
    return "joining";
  case InstanceState::Live:
    return "live";
  case InstanceState::Suspect:
    return "suspect";
  case InstanceState::Leaving:
    return "leaving";
  case InstanceState::Dead:
    return "dead";
  }
  return "unknown";
}

InstanceRecord ownRecord(const Settings &Configured, Incarnation OwnIncarnation) {
  InstanceRecord Record;
  Record.m_Id = Configured.m_Id;
  Record.m_Role = Configured.m_Role;
  Record.m_State = InstanceState::Live;
  Record.m_Incarnation = OwnIncarnation;
  Record.m_DataCentre = Configured.m_DataCentre;
  Record.m_Region = Configured.m_Region;
  if (Configured.m_Role == InstanceRole::Agent) {
    Record.m_Service = Configured.m_Agent.m_Service;
    Record.m_Generation = Configured.m_Agent.m_Generation;
    Record.m_Capacity = Configured.m_Agent.m_Capacity;
  }
  return Record;
}

} // namespace

MembershipService::MembershipService(const Settings &Configured, Incarnation OwnIncarnation,
                                     EventLoop &Loop)
    : Service("membership"), m_Settings(Configured), m_Loop(Loop),
      m_OwnRecord(ownRecord(Configured, OwnIncarnation)) {}

void MembershipService::start(Kernel &Services) {
  m_Platform = &Services.find<PlatformService>("platform");
  m_Rpc = &Services.find<RpcService>("rpc");
  m_OwnRecord.m_Endpoint = {m_Settings.m_Listen.m_Rpc.m_Host, m_Rpc->node().port()};
  std::vector<Endpoint> Seeds;
  for (const Seed &Known : m_Settings.m_Seeds) {
    Seeds.push_back(Known.m_Address);
    m_IdsByAddress[Known.m_Address] = Known.m_Id;
  }
  m_Membership = std::make_unique<Membership>(m_OwnRecord, std::move(Seeds),
                                              std::hash<std::string>{}(m_OwnRecord.m_Id.str()) ^
                                                  m_OwnRecord.m_Incarnation.value());
  m_Loop.postAndWait([this] {
    m_Rpc->setTopicHandler(
        Topic::Membership,
        [this](const PeerIdentity &From, const std::string &Payload, const ReplyCallback &Reply) {
          Reply({});
          if (auto Message = MembershipMessage::decode(Payload))
            perform(m_Membership->onMessage(From.m_Instance, *Message, EventLoop::now()));
          else
            logEvent(Severity::Warning, "message_malformed",
                     {{"peer", From.m_Instance}, {"topic", "membership"}});
        });
    perform(m_Membership->start(EventLoop::now()));
  });
  m_Loop.every(TickInterval, [this] {
    TimePoint Now = EventLoop::now();
    if (Now >= m_Membership->nextTimer())
      perform(m_Membership->onTimer(Now));
    if (Now >= m_NextListReadAt && !m_IsListReadPending)
      readList();
  });
}

void MembershipService::beginDrain() {
  m_Loop.postAndWait([this] { perform(m_Membership->leave()); });
}

bool MembershipService::isListReader() const {
  if (m_Membership->hasLostContact(EventLoop::now()))
    return true;
  if (m_OwnRecord.m_Role == InstanceRole::Agent)
    return m_Membership->watchers().empty();
  std::vector<InstanceId> Entries = m_Membership->entries(m_OwnRecord.m_DataCentre);
  Entries.push_back(m_OwnRecord.m_Id);
  auto Readers = rendezvousRank("instance-list", Entries, ListReaderCount);
  return std::find(Readers.begin(), Readers.end(), m_OwnRecord.m_Id) != Readers.end();
}

void MembershipService::readList() {
  bool HasNoMembers = m_Membership->members().empty();
  m_NextListReadAt = EventLoop::now() + (HasNoMembers ? InitialListReadInterval : ListReadInterval);
  if (!isListReader())
    return;
  m_IsListReadPending = true;
  m_Platform->listInstances([this](const PlatformService::Records &Listed) {
    m_IsListReadPending = false;
    if (!Listed)
      return;
    std::vector<PlatformListEntry> Entries;
    for (const InstanceRecord &Record : *Listed) {
      m_IdsByAddress[Record.m_Endpoint] = Record.m_Id;
      Entries.push_back({Record.m_Id, Record.m_DataCentre, Record.m_Endpoint,
                         Record.m_State == InstanceState::Leaving});
    }
    perform(m_Membership->onPlatformList(Entries, EventLoop::now()));
  });
}

void MembershipService::updateSelf(const std::function<void(InstanceRecord &)> &Change) {
  InstanceRecord Record = m_Membership->self();
  InstanceRecord Before = Record;
  Change(Record);
  if (Record != Before)
    perform(m_Membership->updateSelf(Record));
}

void MembershipService::perform(const Membership::Actions &Actions) {
  for (const Membership::Action &Action : Actions) {
    if (const auto *Message = std::get_if<Membership::Send>(&Action)) {
      sendMessage(*Message);
    } else if (const auto *Change = std::get_if<Membership::MemberChanged>(&Action)) {
      const InstanceRecord *Found = m_Membership->find(Change->m_Id);
      if (!Found)
        continue;
      InstanceRecord Record = *Found;
      logEvent(Severity::Info, "member_changed",
               {{"member", Record.m_Id},
                {"state", stateName(Record.m_State)},
                {"incarnation", Record.m_Incarnation}});
      for (const ChangeCallback &Callback : m_ChangeCallbacks)
        Callback(Record);
    } else if (const auto *Received = std::get_if<Membership::Attachment>(&Action)) {
      if (m_AttachmentCallback)
        m_AttachmentCallback(Received->m_From, Received->m_Bytes);
    }
  }
}

void MembershipService::sendMessage(const Membership::Send &Message) {
  InstanceId To = Message.m_To;
  if (To.empty()) {
    auto Known = m_IdsByAddress.find(Message.m_Endpoint);
    if (Known == m_IdsByAddress.end())
      return;
    To = Known->second;
  }
  if (To == m_OwnRecord.m_Id)
    return;
  // A message without an id carries an address that is newer than the one in the member's record.
  if (!Message.m_To.empty())
    return send(To, Topic::Membership, Message.m_Message.encode());
  m_Rpc->node().addPeer(To, Message.m_Endpoint, m_Rpc->node().isMonitored(To));
  m_Rpc->node().control(To, Topic::Membership, Message.m_Message.encode(), SeedMessageTimeout,
                        [](const std::optional<std::string> &) {});
}

void MembershipService::send(const InstanceId &To, Topic Subject, std::string Payload,
                             RpcNode::ResultCallback Done, Duration Timeout) {
  const InstanceRecord *Known = m_Membership->find(To);
  if (Known && Known->m_Endpoint.m_Port != 0 && !m_Rpc->node().isMonitored(To))
    m_Rpc->node().addPeer(To, Known->m_Endpoint, false);
  if (!Done)
    Done = [](const std::optional<std::string> &) {};
  m_Rpc->node().control(To, Subject, std::move(Payload), Timeout, std::move(Done));
}

boost::json::object MembershipService::dumpState() const {
  boost::json::array Members;
  boost::json::object State;
  m_Loop.postAndWait([&] {
    for (const auto &Member : m_Membership->members())
      Members.push_back({{"id", Member->m_Id.str()},
                         {"role", Member->m_Role == InstanceRole::Entry ? "entry" : "agent"},
                         {"state", stateName(Member->m_State)},
                         {"incarnation", Member->m_Incarnation.value()},
                         {"dataCentre", Member->m_DataCentre.str()},
                         {"service", Member->m_Service.str()},
                         {"generation", Member->m_Generation.str()},
                         {"servedDigest", Member->m_ServedDigest.hex()}});
    State["incarnation"] = m_Membership->self().m_Incarnation.value();
    State["isRelay"] = m_Membership->isRelay();
    State["declaredDead"] = m_Membership->declaredDead();
  });
  State["members"] = std::move(Members);
  return State;
}

} // namespace fescuegauge
