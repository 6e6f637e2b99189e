#include "Fescuegauge/ConfigurationReplica.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant NumberNeverDecreases("targets.change_number_never_decreases");
Invariant SameNumberSameContent("targets.same_number_same_content");

bool contains(const std::vector<InstanceId> &Ids, const InstanceId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

/// Returns `Count` distinct elements of `From` in random order.
std::vector<InstanceId> sample(RandomGenerator &Random, std::vector<InstanceId> From,
                               std::size_t Count) {
  Count = std::min(Count, From.size());
  for (std::size_t Index = 0; Index < Count; ++Index)
    std::swap(From[Index], From[Index + uniformBelow(Random, From.size() - Index)]);
  From.resize(Count);
  return From;
}

} // namespace

ConfigurationReplica::ConfigurationReplica(InstanceId Self, InstanceRole Role, std::uint64_t Seed,
                                           Rules Enabled)
    : m_Self(std::move(Self)), m_Role(Role), m_Rules(Enabled), m_Random(Seed) {}

ConfigurationReplica::Actions ConfigurationReplica::start(const ReplicaPeers &Peers,
                                                          TimePoint Now) {
  m_Started = true;
  m_StartedAt = Now;
  m_NextHelloAt = Now;
  // Random delay: all instances of a data centre may restart at the same time.
  m_NextPollAt = Now + Duration(static_cast<Duration::rep>(uniformBelow(
                           m_Random, static_cast<std::uint64_t>(PollInterval.count()))));
  setPeers(Peers);
  return onTimer(Now);
}

void ConfigurationReplica::setPeers(const ReplicaPeers &Peers) {
  m_Peers = Peers;
  if (m_Role == InstanceRole::Entry) {
    std::vector<InstanceId> Entries = Peers.m_LocalEntries;
    Entries.push_back(m_Self);
    m_IsPoller = contains(rendezvousRank("config-poller", Entries, PollersPerDataCentre), m_Self);
  }
  std::erase_if(m_AgentChangeNumbers,
                [&](const auto &Item) { return !contains(m_Peers.m_Agents, Item.first); });
}

ReplicaStatus ConfigurationReplica::replicaStatus() const {
  return {m_Ready, m_Configuration.number(), m_Configuration.digest().prefix()};
}

std::string ConfigurationReplica::notReadyReason() const {
  if (m_Ready)
    return {};
  if (m_ConfirmedNumber)
    return "reading change " + std::to_string(m_ConfirmedNumber->value()) + " from the table";
  return "no peer has a configuration and the table has not confirmed the head";
}

std::optional<Duration> ConfigurationReplica::timeSinceHeadRead(TimePoint Now) const {
  if (!m_HeadReadAt)
    return {};
  return Now - *m_HeadReadAt;
}

bool ConfigurationReplica::adopt(Configuration Next, Actions &Out, TimePoint Now,
                                 const InstanceId &Source) {
  if (m_Rules.m_RejectOlder && Next.number() <= m_Configuration.number()) {
    if (Next.number() == m_Configuration.number())
      SameNumberSameContent.check(Next.digest() == m_Configuration.digest(),
                                  "adoption at " + m_Self.str());
    return false;
  }
  if (!NumberNeverDecreases.check(Next.number() >= m_Configuration.number(), m_Self.str()))
    return false;
  if (Next.number() == m_Configuration.number())
    return false;
  Configuration Previous = std::move(m_Configuration);
  m_Configuration = std::move(Next);
  std::erase_if(m_FetchedChanges,
                [&](const auto &Item) { return Item.first <= m_Configuration.number(); });
  if (m_Fetch && m_Fetch->m_Target <= m_Configuration.number())
    m_Fetch.reset();
  if (m_ConfirmedNumber && m_Configuration.number() >= *m_ConfirmedNumber)
    m_Ready = true;
  becomeReadyFromPeers(Now);
  Out.emplace_back(std::in_place_type<InForce>, m_Configuration.number());
  propagate(Previous, Source, Out);
  return true;
}

void ConfigurationReplica::propagate(const Configuration &Previous, const InstanceId &Source,
                                     Actions &Out) {
  if (m_Role != InstanceRole::Entry)
    return;
  std::vector<InstanceId> Targets = sample(m_Random, m_Peers.m_LocalEntries, GossipFanOut);
  auto AddAll = [&](const std::vector<InstanceId> &Ids) {
    for (const InstanceId &Id : Ids)
      if (!contains(Targets, Id))
        Targets.push_back(Id);
  };
  bool FromRemote = contains(m_Peers.m_RemoteRelays, Source);
  bool IsRelay = contains(m_Peers.m_LocalRelays, m_Self);
  // A relay forwards changes that entered at its own data centre. A change from another data
  // centre has been sent to the others by the relay there.
  if (IsRelay && !FromRemote)
    AddAll(m_Peers.m_RemoteRelays);
  // The instance at which a change entered the data centre sends it to the relays; all others only
  // gossip.
  if (Source.empty())
    AddAll(m_Peers.m_LocalRelays);
  AddAll(m_Peers.m_Agents);
  ConfigurationMessage Push = deltaFor(Previous.number(), {}, MaxPushBytes);
  if (Push.m_More || Push.encode().size() > MaxPushBytes + 256) {
    Push = ConfigurationMessage();
    Push.m_SenderStatus = replicaStatus();
  }
  for (const InstanceId &Id : Targets)
    if (Id != m_Self && Id != Source)
      Out.push_back(Send{Id, Push});
}

ConfigurationMessage ConfigurationReplica::deltaFor(ChangeNumber Since,
                                                    const DeclarationName &AfterName,
                                                    std::size_t MaxBytes) const {
  ConfigurationMessage Result;
  Result.m_Kind = ConfigurationMessage::Kind::Delta;
  Result.m_SenderStatus = replicaStatus();
  Result.m_FullCopy = m_Rules.m_FullCopyAcrossTombstones && m_Configuration.needsFullCopy(Since);
  Result.m_Since = Since;
  Result.m_AfterName = AfterName;
  Result.m_Digest = m_Configuration.digest();
  Result.m_Entries = m_Configuration.entriesSince(Result.m_FullCopy ? ChangeNumber() : Since,
                                                  AfterName, MaxBytes, Result.m_More);
  return Result;
}

void ConfigurationReplica::request(const InstanceId &From, ChangeNumber Target, ChangeNumber Since,
                                   TimePoint Now, Actions &Out) {
  if (m_Fetch && m_Fetch->m_Expires > Now)
    return;
  m_Fetch = Fetch{From, Target, Since, {}, {}, Now + ResponseTimeout, false};
  ConfigurationMessage Message;
  Message.m_Kind = ConfigurationMessage::Kind::Request;
  Message.m_SenderStatus = replicaStatus();
  Message.m_Since = Since;
  Out.push_back(Send{From, std::move(Message)});
}

ConfigurationReplica::Actions ConfigurationReplica::onPeerStatus(const InstanceId &From,
                                                                 const ReplicaStatus &PeerStatus,
                                                                 TimePoint Now) {
  Actions Out;
  compareWithPeer(From, PeerStatus, Now, Out);
  // A lagging peer is sent a small delta immediately; it has to request a larger one. Every watcher
  // of an agent does so, which compensates for lost replies.
  if (m_Rules.m_RepairFromStatus && m_Ready && m_Role == InstanceRole::Entry &&
      PeerStatus.m_Number < m_Configuration.number()) {
    ConfigurationMessage Missing = deltaFor(PeerStatus.m_Number, {}, MaxPushBytes);
    if (!Missing.m_More && !Missing.m_FullCopy)
      Out.push_back(Send{From, std::move(Missing)});
  }
  return Out;
}

void ConfigurationReplica::compareWithPeer(const InstanceId &From, const ReplicaStatus &PeerStatus,
                                           TimePoint Now, Actions &Out) {
  if (contains(m_Peers.m_Agents, From) && m_AgentChangeNumbers.size() < MaxTrackedAgents)
    m_AgentChangeNumbers[From] = PeerStatus.m_Number;
  if (PeerStatus.m_Number == m_Configuration.number() && PeerStatus.m_Number != ChangeNumber())
    SameNumberSameContent.check(PeerStatus.m_DigestPrefix == m_Configuration.digest().prefix(),
                                m_Self.str());
  if (!m_Ready && PeerStatus.m_Ready && m_StartupPeerStatuses.size() < StartupFanOut * 2) {
    m_StartupPeerStatuses[From] = PeerStatus;
    becomeReadyFromPeers(Now);
  }
  if (m_Rules.m_RepairFromStatus && PeerStatus.m_Number > m_Configuration.number())
    request(From, PeerStatus.m_Number, m_Configuration.number(), Now, Out);
}

ConfigurationReplica::Actions ConfigurationReplica::onMessage(const InstanceId &From,
                                                              const ConfigurationMessage &Message,
                                                              TimePoint Now) {
  using Kind = ConfigurationMessage::Kind;
  Actions Out;
  ConfigurationMessage Reply;
  Reply.m_SenderStatus = replicaStatus();
  switch (Message.m_Kind) {
  case Kind::Hello:
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Request:
    // If this process has nothing newer, it replies with its status.
    if (Message.m_Since < m_Configuration.number())
      Reply = deltaFor(Message.m_Since, Message.m_AfterName, ConfigurationMessage::MaxEntryBytes);
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Delta:
    onDelta(From, Message, Now, Out);
    break;
  case Kind::LagQuery:
    Reply.m_Kind = Kind::LagReply;
    for (const auto &[Id, Number] : m_AgentChangeNumbers)
      if (Number < m_Configuration.number() && ++Reply.m_LaggingCount &&
          Reply.m_Lagging.size() < ConfigurationMessage::MaxLaggingNames)
        Reply.m_Lagging.push_back(Id);
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Status:
  case Kind::LagReply:
    break;
  }
  compareWithPeer(From, Message.m_SenderStatus, Now, Out);
  return Out;
}

void ConfigurationReplica::onDelta(const InstanceId &From, const ConfigurationMessage &Message,
                                   TimePoint Now, Actions &Out) {
  ChangeNumber To = Message.m_SenderStatus.m_Number;
  bool IsAnswer = m_Fetch && m_Fetch->m_From == From;
  if (m_Rules.m_RejectOlder && To <= m_Configuration.number()) {
    if (IsAnswer)
      m_Fetch.reset();
    return;
  }
  std::vector<WireEntry> Entries = Message.m_Entries;
  if (IsAnswer && !Message.m_AfterName.empty()) {
    // A later page is valid only if it continues the previous pages of the same configuration.
    bool Continues = m_Fetch->m_Digest == Message.m_Digest && m_Fetch->m_Since == Message.m_Since &&
                     m_Fetch->m_FullCopy == Message.m_FullCopy && !m_Fetch->m_Entries.empty() &&
                     m_Fetch->m_Entries.back().m_Name == Message.m_AfterName;
    if (!Continues) {
      m_Fetch.reset();
      request(From, To, m_Configuration.number(), Now, Out);
      return;
    }
    Entries.insert(Entries.begin(), m_Fetch->m_Entries.begin(), m_Fetch->m_Entries.end());
  } else if (!Message.m_AfterName.empty()) {
    return;
  }
  if (Message.m_More) {
    if (Entries.size() > Configuration::MaxEntries || Message.m_Entries.empty()) {
      m_Fetch.reset();
      ++m_RejectedMessages;
      return;
    }
    ConfigurationMessage Next;
    Next.m_Kind = ConfigurationMessage::Kind::Request;
    Next.m_SenderStatus = replicaStatus();
    Next.m_Since = Message.m_Since;
    Next.m_AfterName = Entries.back().m_Name;
    m_Fetch = Fetch{From,
                    To,
                    Message.m_Since,
                    Message.m_Digest,
                    std::move(Entries),
                    Now + ResponseTimeout,
                    Message.m_FullCopy};
    Out.push_back(Send{From, std::move(Next)});
    return;
  }
  if (IsAnswer)
    m_Fetch.reset();
  // Changes between this configuration's number and the start of a pushed delta are missing.
  if (!Message.m_FullCopy && Message.m_Since > m_Configuration.number()) {
    request(From, To, m_Configuration.number(), Now, Out);
    return;
  }
  auto Next = m_Configuration.withEntries(Entries, To, Message.m_FullCopy);
  if (!Next || (m_Rules.m_CheckDigest && Next->digest() != Message.m_Digest)) {
    ++m_RejectedMessages;
    return;
  }
  adopt(std::move(*Next), Out, Now, From);
}

ConfigurationReplica::Actions ConfigurationReplica::onAccepted(const Configuration &Accepted,
                                                               TimePoint Now) {
  Actions Out;
  // The committed transaction was conditional on the head, which confirms the number.
  m_ConfirmedNumber = std::max(m_ConfirmedNumber.value_or(ChangeNumber()), Accepted.number());
  adopt(Accepted, Out, Now, {});
  return Out;
}

ConfigurationReplica::Actions ConfigurationReplica::catchUp(ChangeNumber Number, TimePoint Now) {
  Actions Out;
  m_TableHeadNumber = std::max(m_TableHeadNumber, Number);
  if (m_RowReadsExpireAt <= Now)
    readRows(Now, Out);
  return Out;
}

void ConfigurationReplica::readHead(TimePoint Now, Actions &Out) {
  m_HeadReadExpiresAt = Now + ResponseTimeout;
  Out.push_back(ReadRow{ConfigurationHeadKey});
}

void ConfigurationReplica::readRows(TimePoint Now, Actions &Out) {
  ChangeNumber Own = m_Configuration.number();
  if (m_TableHeadNumber <= Own)
    return;
  m_RowReadsExpireAt = Now + ResponseTimeout;
  if (m_TableSnapshotNumber > Own &&
      m_TableHeadNumber.value() - Own.value() > MaxConcurrentRowReads) {
    Out.push_back(ReadRow{snapshotKey(m_TableSnapshotNumber)});
    return;
  }
  for (std::uint64_t Number = Own.value() + 1;
       Number <= m_TableHeadNumber.value() && Number <= Own.value() + MaxConcurrentRowReads;
       ++Number)
    if (!m_FetchedChanges.contains(ChangeNumber(Number)))
      Out.push_back(ReadRow{changeKey(ChangeNumber(Number))});
}

void ConfigurationReplica::applyRows(TimePoint Now, Actions &Out) {
  Configuration Next = m_Configuration;
  while (!m_FetchedChanges.empty()) {
    auto First = m_FetchedChanges.begin();
    if (First->first <= Next.number()) {
      m_FetchedChanges.erase(First);
      continue;
    }
    if (First->first != Next.number().next())
      break;
    Configuration Applied = Next.withEdits(First->second.m_Edits);
    bool Matches = Applied.digest() == First->second.m_ResultDigest;
    m_FetchedChanges.erase(First);
    if (m_Rules.m_CheckDigest && !Matches) {
      ++m_RejectedMessages;
      break;
    }
    Next = std::move(Applied);
  }
  if (Next.number() > m_Configuration.number())
    adopt(std::move(Next), Out, Now, {});
  if (m_TableHeadNumber > m_Configuration.number() && m_FetchedChanges.empty())
    readRows(Now, Out);
}

ConfigurationReplica::Actions ConfigurationReplica::onRow(const std::string &Key,
                                                          const std::optional<TableRow> &Row,
                                                          TimePoint Now) {
  Actions Out;
  if (Key == ConfigurationHeadKey) {
    m_HeadReadExpiresAt.reset();
    auto Head = Row ? ConfigurationHead::decode(Row->m_Value) : std::nullopt;
    if (!Head)
      return Out;
    // An answer that is late may be of the time before a restore.
    if (Row->m_Position.m_Epoch < m_TableEpoch)
      return Out;
    if (Row->m_Position.m_Epoch > m_TableEpoch) {
      m_TableEpoch = Row->m_Position.m_Epoch;
      m_ConfirmedNumber.reset();
      m_HeadToConfirm.reset();
      m_RewriteNotBefore = Now + (m_HeadReadAt ? RestoreWait : StartedRestoreWait);
      m_TableHeadNumber = ChangeNumber();
    }
    m_HeadReadAt = Now;
    if (Head->m_Number >= m_TableHeadNumber) {
      m_TableHeadNumber = Head->m_Number;
      m_TableSnapshotNumber = Head->m_Snapshot;
    }
    if (Head->isRestored(Row->m_Position))
      rewriteHead(*Head, *Row, Now, Out);
    if (!m_Ready && !m_HeadToConfirm && !m_ConfirmedNumber) {
      if (!m_Rules.m_ConfirmHead) {
        m_ConfirmedNumber = Head->m_Number;
      } else {
        // The row may be stale; a transaction that is conditional on its version then conflicts.
        m_HeadToConfirm = Row;
        m_ConfirmExpiresAt = Now + ResponseTimeout;
        Transaction Confirm;
        Confirm.m_WriteId = WriteId("confirm/" + m_Self.str() + "/" + std::to_string(m_Random()) +
                                    "/" + std::to_string(++m_ConfirmCount));
        m_ConfirmId = Confirm.m_WriteId;
        Confirm.m_Conditions.push_back({ConfigurationHeadKey, Row->m_Position});
        Out.push_back(Write{std::move(Confirm)});
      }
    }
    if (m_ConfirmedNumber && m_Configuration.number() >= *m_ConfirmedNumber)
      m_Ready = true;
    if (m_TableHeadNumber > m_Configuration.number() && m_RowReadsExpireAt <= Now)
      readRows(Now, Out);
    return Out;
  }
  if (!Row || Row->isAbsent())
    return Out;
  if (auto Found = Change::decode(Row->m_Value); Found && Key == changeKey(Found->m_Number)) {
    if (Found->m_Number > m_Configuration.number() &&
        m_FetchedChanges.size() < 2 * MaxConcurrentRowReads)
      m_FetchedChanges.emplace(Found->m_Number, std::move(*Found));
    applyRows(Now, Out);
  } else if (auto Snapshot = Configuration::decodeSnapshot(Row->m_Value);
             Snapshot && Key == snapshotKey(Snapshot->number())) {
    if (Snapshot->number() > m_Configuration.number())
      adopt(std::move(*Snapshot), Out, Now, {});
    applyRows(Now, Out);
  } else {
    ++m_RejectedMessages;
  }
  return Out;
}

void ConfigurationReplica::rewriteHead(const ConfigurationHead &Head, const TableRow &Row,
                                       TimePoint Now, Actions &Out) {
  if (!m_Rules.m_RewriteAfterRestore || !m_Ready || !m_IsPoller || Now < m_RewriteNotBefore ||
      m_Configuration.number() < Head.m_Number || (m_Rewrite && Now < m_Rewrite->m_Expires))
    return;
  const std::uint64_t Restores =
      Row.m_Position.m_Epoch.value() - std::max(Head.m_Epoch, FirstStoreEpoch).value();
  const ChangeNumber Number(m_Configuration.number().value() + Restores * RestoreNumberGap);
  const Configuration Next = m_Configuration.withNumber(Number);
  const ChangeId Id("restore/" + m_Self.str() + "/" + std::to_string(m_Random()));
  m_Rewrite = Rewrite{WriteId(Id.str()), Next, Now + ResponseTimeout};
  Transaction Written;
  Written.m_WriteId = m_Rewrite->m_Id;
  Written.m_Conditions.push_back({ConfigurationHeadKey, Row.m_Position});
  Written.m_Puts.push_back(
      {changeKey(Number), Change{Number, Id, "restore", {}, Next.digest()}.encode()});
  Written.m_Puts.push_back({snapshotKey(Number), Next.encodeSnapshot()});
  Written.m_Puts.push_back(
      {ConfigurationHeadKey,
       ConfigurationHead{Number, Id, Row.m_Position.m_Epoch, Number, Head.m_Recent}.encode()});
  Out.push_back(Write{std::move(Written)});
}

ConfigurationReplica::Actions
ConfigurationReplica::onCommit(const WriteId &Id, const CommitResult &Result, TimePoint Now) {
  Actions Out;
  if (m_Rewrite && Id == m_Rewrite->m_Id) {
    // After a conflict or a lost answer the next read of the head shows what was written.
    const Configuration Written = std::move(m_Rewrite->m_Configuration);
    m_Rewrite.reset();
    if (Result.m_Status == CommitStatus::Committed)
      adopt(Written, Out, Now, {});
    return Out;
  }
  if (!m_HeadToConfirm || Id != m_ConfirmId)
    return Out;
  TableRow Confirmed = *m_HeadToConfirm;
  m_HeadToConfirm.reset();
  if (Result.m_Status == CommitStatus::Conflict) {
    for (const TableRow &Row : Result.m_Conflicts)
      if (Row.m_Key == ConfigurationHeadKey)
        Confirmed = Row;
    // The row in a conflict is not stale and therefore confirmed, too.
  } else if (Result.m_Status != CommitStatus::Committed) {
    return Out;
  }
  auto Head = ConfigurationHead::decode(Confirmed.m_Value);
  if (!Head)
    return Out;
  m_ConfirmedNumber = Head->m_Number;
  if (Head->m_Number >= m_TableHeadNumber) {
    m_TableHeadNumber = Head->m_Number;
    m_TableSnapshotNumber = Head->m_Snapshot;
  }
  if (m_Configuration.number() >= Head->m_Number)
    m_Ready = true;
  else
    readRows(Now, Out);
  return Out;
}

void ConfigurationReplica::becomeReadyFromPeers(TimePoint Now) {
  if (m_Ready || !m_Started || m_StartupPeerStatuses.empty())
    return;
  ChangeNumber Highest;
  for (const auto &[Id, PeerStatus] : m_StartupPeerStatuses)
    Highest = std::max(Highest, PeerStatus.m_Number);
  // The head confirmed by the table may be newer than the configuration of any peer.
  if (m_ConfirmedNumber && Now < m_StartedAt + ConfirmedHeadWait)
    Highest = std::max(Highest, *m_ConfirmedNumber);
  if (Now >= m_StartedAt + StartupPeerWait && m_Configuration.number() >= Highest)
    m_Ready = true;
}

ConfigurationReplica::Actions ConfigurationReplica::onTimer(TimePoint Now) {
  Actions Out;
  if (!m_Started)
    return Out;
  becomeReadyFromPeers(Now);
  if (m_HeadToConfirm && Now >= m_ConfirmExpiresAt)
    m_HeadToConfirm.reset();
  if (m_HeadReadExpiresAt && Now >= *m_HeadReadExpiresAt)
    m_HeadReadExpiresAt.reset();
  if (!m_Ready && Now >= m_NextHelloAt) {
    m_NextHelloAt = Now + jittered(m_Random, ResponseTimeout);
    std::vector<InstanceId> Recipients = sample(m_Random, m_Peers.m_LocalEntries, StartupFanOut);
    Recipients.insert(Recipients.end(), m_Peers.m_RemoteRelays.begin(),
                      m_Peers.m_RemoteRelays.end());
    ConfigurationMessage Hello;
    Hello.m_Kind = ConfigurationMessage::Kind::Hello;
    Hello.m_SenderStatus = replicaStatus();
    for (const InstanceId &Id : Recipients)
      Out.push_back(Send{Id, Hello});
  }
  bool ReadsTable = m_Role == InstanceRole::Entry && (m_IsPoller || !m_Ready);
  if (Now >= m_NextPollAt) {
    m_NextPollAt = Now + jittered(m_Random, PollInterval);
    if (m_Rules.m_PollTable && ReadsTable && !m_HeadReadExpiresAt)
      readHead(Now, Out);
  }
  if (m_TableHeadNumber > m_Configuration.number() && m_RowReadsExpireAt <= Now && ReadsTable)
    readRows(Now, Out);
  return Out;
}

TimePoint ConfigurationReplica::nextTimer() const {
  TimePoint Wake = m_NextPollAt;
  if (!m_Ready)
    Wake = std::min(Wake, m_NextHelloAt);
  if (m_Role == InstanceRole::Agent && m_Ready)
    Wake = TimePoint::max();
  return Wake;
}

LagCollector::LagCollector(std::vector<InstanceRecord> Entries, TimePoint Now)
    : m_Entries(std::move(Entries)), m_QueriedAt(Now) {}

std::vector<ConfigurationReplica::Send> LagCollector::start() const {
  std::vector<ConfigurationReplica::Send> Result;
  ConfigurationMessage Query;
  Query.m_Kind = ConfigurationMessage::Kind::LagQuery;
  for (const InstanceRecord &Entry : m_Entries)
    Result.push_back({Entry.m_Id, Query});
  return Result;
}

void LagCollector::onReply(const InstanceId &From, const ConfigurationMessage &Reply) {
  if (Reply.m_Kind == ConfigurationMessage::Kind::LagReply)
    m_Replies[From] = Reply;
}

bool LagCollector::isDone(TimePoint Now) const {
  return m_Replies.size() >= m_Entries.size() || Now >= m_QueriedAt + CollectionTimeout;
}

std::vector<DataCentreLag> LagCollector::report() const {
  ChangeNumber Highest;
  for (const auto &[Id, Reply] : m_Replies)
    Highest = std::max(Highest, Reply.m_SenderStatus.m_Number);
  std::map<DataCentreId, DataCentreLag> Result;
  std::map<DataCentreId, std::set<InstanceId>> Lagging;
  for (const InstanceRecord &Entry : m_Entries) {
    DataCentreLag &Lag = Result[Entry.m_DataCentre];
    Lag.m_DataCentre = Entry.m_DataCentre;
    auto Reply = m_Replies.find(Entry.m_Id);
    if (Reply == m_Replies.end()) {
      ++Lag.m_UnreachableCount;
      if (Lag.m_Unreachable.size() < DataCentreLag::MaxNames)
        Lag.m_Unreachable.push_back(Entry.m_Id);
      continue;
    }
    Lag.m_InForce = std::max(Lag.m_InForce, Reply->second.m_SenderStatus.m_Number);
    if (Reply->second.m_SenderStatus.m_Number < Highest)
      Lagging[Entry.m_DataCentre].insert(Entry.m_Id);
    for (const InstanceId &Agent : Reply->second.m_Lagging)
      Lagging[Entry.m_DataCentre].insert(Agent);
  }
  std::vector<DataCentreLag> Report;
  for (auto &[Id, Lag] : Result) {
    Lag.m_LaggingCount = Lagging[Id].size();
    for (const InstanceId &Name : Lagging[Id])
      if (Lag.m_Lagging.size() < DataCentreLag::MaxNames)
        Lag.m_Lagging.push_back(Name);
    Report.push_back(std::move(Lag));
  }
  return Report;
}

} // namespace fescuegauge
