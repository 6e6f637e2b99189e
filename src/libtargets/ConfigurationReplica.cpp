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

/// `Count` different members of `From`, in random order.
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
  m_NextHello = Now;
  // Starting instances spread their reads, since a whole data centre may restart at once.
  m_NextPoll = Now + Duration(static_cast<Duration::rep>(
                         uniformBelow(m_Random, static_cast<std::uint64_t>(PollInterval.count()))));
  setPeers(Peers);
  return onTime(Now);
}

void ConfigurationReplica::setPeers(const ReplicaPeers &Peers) {
  m_Peers = Peers;
  if (m_Role == InstanceRole::Entry) {
    std::vector<InstanceId> Entries = Peers.m_LocalEntries;
    Entries.push_back(m_Self);
    m_IsPoller = contains(rendezvousRank("config-poller", Entries, PollersPerDataCentre), m_Self);
  }
  std::erase_if(m_AgentNumbers,
                [&](const auto &Item) { return !contains(m_Peers.m_Agents, Item.first); });
}

ConfigurationOffer ConfigurationReplica::offer() const {
  return {m_Ready, m_Configuration.number(), m_Configuration.digest().prefix()};
}

std::string ConfigurationReplica::notReadyReason() const {
  if (m_Ready)
    return {};
  if (m_ConfirmedNumber)
    return "reading change " + std::to_string(m_ConfirmedNumber->value()) + " from the table";
  return "no peer has a configuration and the table has not confirmed the head";
}

std::optional<Duration> ConfigurationReplica::tableAge(TimePoint Now) const {
  if (!m_HeadReadAt)
    return {};
  return Now - *m_HeadReadAt;
}

bool ConfigurationReplica::adopt(Configuration Next, Actions &Out, TimePoint Now,
                                 const InstanceId &Source) {
  if (m_Rules.m_RefuseOlder && Next.number() <= m_Configuration.number()) {
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
  announce(Previous, Source, Out);
  return true;
}

void ConfigurationReplica::announce(const Configuration &Previous, const InstanceId &Source,
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
  // A relay passes on what its own data centre learned first. What came from another data centre
  // has been sent to the others by the relay there.
  if (IsRelay && !FromRemote)
    AddAll(m_Peers.m_RemoteRelays);
  // The instance at which a change entered the data centre tells the relays, the others gossip.
  if (Source.empty())
    AddAll(m_Peers.m_LocalRelays);
  AddAll(m_Peers.m_Agents);
  ConfigurationMessage News = deltaFor(Previous.number(), {}, MaxPushBytes);
  if (News.m_More || News.encode().size() > MaxPushBytes + 256) {
    News = ConfigurationMessage();
    News.m_Offer = offer();
  }
  for (const InstanceId &Id : Targets)
    if (Id != m_Self && Id != Source)
      Out.push_back(Send{Id, News});
}

ConfigurationMessage ConfigurationReplica::deltaFor(ChangeNumber Since,
                                                    const DeclarationName &AfterName,
                                                    std::size_t MaxBytes) const {
  ConfigurationMessage Result;
  Result.m_Kind = ConfigurationMessage::Kind::Delta;
  Result.m_Offer = offer();
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
  m_Fetch = Fetch{From, Target, Since, {}, {}, Now + AnswerTimeout, false};
  ConfigurationMessage Message;
  Message.m_Kind = ConfigurationMessage::Kind::Request;
  Message.m_Offer = offer();
  Message.m_Since = Since;
  Out.push_back(Send{From, std::move(Message)});
}

ConfigurationReplica::Actions ConfigurationReplica::onOffer(const InstanceId &From,
                                                            const ConfigurationOffer &Offer,
                                                            TimePoint Now) {
  Actions Out;
  compare(From, Offer, Now, Out);
  // A peer that is behind gets what it lacks at once, if that is little; otherwise it asks. Every
  // watcher of an agent does so, which makes up for lost answers.
  if (m_Rules.m_RepairByOffers && m_Ready && m_Role == InstanceRole::Entry &&
      Offer.m_Number < m_Configuration.number()) {
    ConfigurationMessage Missing = deltaFor(Offer.m_Number, {}, MaxPushBytes);
    if (!Missing.m_More && !Missing.m_FullCopy)
      Out.push_back(Send{From, std::move(Missing)});
  }
  return Out;
}

void ConfigurationReplica::compare(const InstanceId &From, const ConfigurationOffer &Offer,
                                   TimePoint Now, Actions &Out) {
  if (contains(m_Peers.m_Agents, From) && m_AgentNumbers.size() < MaxTracked)
    m_AgentNumbers[From] = Offer.m_Number;
  if (Offer.m_Number == m_Configuration.number() && Offer.m_Number != ChangeNumber())
    SameNumberSameContent.check(Offer.m_DigestPrefix == m_Configuration.digest().prefix(),
                                m_Self.str());
  if (!m_Ready && Offer.m_Ready && m_StartOffers.size() < StartFanOut * 2) {
    m_StartOffers[From] = Offer;
    becomeReadyFromPeers(Now);
  }
  if (m_Rules.m_RepairByOffers && Offer.m_Number > m_Configuration.number())
    request(From, Offer.m_Number, m_Configuration.number(), Now, Out);
}

ConfigurationReplica::Actions ConfigurationReplica::onMessage(const InstanceId &From,
                                                              const ConfigurationMessage &Message,
                                                              TimePoint Now) {
  using Kind = ConfigurationMessage::Kind;
  Actions Out;
  ConfigurationMessage Reply;
  Reply.m_Offer = offer();
  switch (Message.m_Kind) {
  case Kind::Hello:
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Request:
    // A request for what this process does not have is answered by its offer.
    if (Message.m_Since < m_Configuration.number())
      Reply = deltaFor(Message.m_Since, Message.m_AfterName, ConfigurationMessage::MaxEntryBytes);
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Delta:
    onDelta(From, Message, Now, Out);
    break;
  case Kind::LagQuery:
    Reply.m_Kind = Kind::LagAnswer;
    for (const auto &[Id, Number] : m_AgentNumbers)
      if (Number < m_Configuration.number() && ++Reply.m_LaggingCount &&
          Reply.m_Lagging.size() < ConfigurationMessage::MaxLaggingNames)
        Reply.m_Lagging.push_back(Id);
    Out.push_back(Send{From, std::move(Reply)});
    break;
  case Kind::Offer:
  case Kind::LagAnswer:
    break;
  }
  compare(From, Message.m_Offer, Now, Out);
  return Out;
}

void ConfigurationReplica::onDelta(const InstanceId &From, const ConfigurationMessage &Message,
                                   TimePoint Now, Actions &Out) {
  ChangeNumber To = Message.m_Offer.m_Number;
  bool IsAnswer = m_Fetch && m_Fetch->m_From == From;
  if (m_Rules.m_RefuseOlder && To <= m_Configuration.number()) {
    if (IsAnswer)
      m_Fetch.reset();
    return;
  }
  std::vector<WireEntry> Entries = Message.m_Entries;
  if (IsAnswer && !Message.m_AfterName.empty()) {
    // A later page counts only if it continues the pages before it in the same configuration.
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
      ++m_Rejected;
      return;
    }
    ConfigurationMessage Next;
    Next.m_Kind = ConfigurationMessage::Kind::Request;
    Next.m_Offer = offer();
    Next.m_Since = Message.m_Since;
    Next.m_AfterName = Entries.back().m_Name;
    m_Fetch = Fetch{From,
                    To,
                    Message.m_Since,
                    Message.m_Digest,
                    std::move(Entries),
                    Now + AnswerTimeout,
                    Message.m_FullCopy};
    Out.push_back(Send{From, std::move(Next)});
    return;
  }
  if (IsAnswer)
    m_Fetch.reset();
  // A pushed delta that starts after this configuration's number has a gap before it.
  if (!Message.m_FullCopy && Message.m_Since > m_Configuration.number()) {
    request(From, To, m_Configuration.number(), Now, Out);
    return;
  }
  auto Next = m_Configuration.with(Entries, To, Message.m_FullCopy);
  if (!Next || (m_Rules.m_CheckDigest && Next->digest() != Message.m_Digest)) {
    ++m_Rejected;
    return;
  }
  adopt(std::move(*Next), Out, Now, From);
}

ConfigurationReplica::Actions ConfigurationReplica::onAccepted(const Configuration &Accepted,
                                                               TimePoint Now) {
  Actions Out;
  // The transaction was conditional on the head, which confirms the number.
  m_ConfirmedNumber = std::max(m_ConfirmedNumber.value_or(ChangeNumber()), Accepted.number());
  adopt(Accepted, Out, Now, {});
  return Out;
}

ConfigurationReplica::Actions ConfigurationReplica::catchUp(ChangeNumber Number, TimePoint Now) {
  Actions Out;
  m_TableNumber = std::max(m_TableNumber, Number);
  if (m_RowsExpire <= Now)
    readRows(Now, Out);
  return Out;
}

void ConfigurationReplica::readHead(TimePoint Now, Actions &Out) {
  m_HeadReadExpires = Now + AnswerTimeout;
  Out.push_back(ReadRow{ConfigurationHeadKey});
}

void ConfigurationReplica::readRows(TimePoint Now, Actions &Out) {
  ChangeNumber Own = m_Configuration.number();
  if (m_TableNumber <= Own)
    return;
  m_RowsExpire = Now + AnswerTimeout;
  if (m_TableSnapshot > Own && m_TableNumber.value() - Own.value() > MaxRowsAtOnce) {
    Out.push_back(ReadRow{snapshotKey(m_TableSnapshot)});
    return;
  }
  for (std::uint64_t Number = Own.value() + 1;
       Number <= m_TableNumber.value() && Number <= Own.value() + MaxRowsAtOnce; ++Number)
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
    Configuration Applied = Next.after(First->second.m_Edits);
    bool Matches = Applied.digest() == First->second.m_ResultDigest;
    m_FetchedChanges.erase(First);
    if (m_Rules.m_CheckDigest && !Matches) {
      ++m_Rejected;
      break;
    }
    Next = std::move(Applied);
  }
  if (Next.number() > m_Configuration.number())
    adopt(std::move(Next), Out, Now, {});
  if (m_TableNumber > m_Configuration.number() && m_FetchedChanges.empty())
    readRows(Now, Out);
}

ConfigurationReplica::Actions ConfigurationReplica::onRow(const std::string &Key,
                                                          const std::optional<TableRow> &Row,
                                                          TimePoint Now) {
  Actions Out;
  if (Key == ConfigurationHeadKey) {
    m_HeadReadExpires.reset();
    auto Head = Row ? ConfigurationHead::decode(Row->m_Value) : std::nullopt;
    if (!Head)
      return Out;
    m_HeadReadAt = Now;
    if (Head->m_Number >= m_TableNumber) {
      m_TableNumber = Head->m_Number;
      m_TableSnapshot = Head->m_Snapshot;
    }
    if (!m_Ready && !m_Confirming && !m_ConfirmedNumber) {
      if (!m_Rules.m_ConfirmHead) {
        m_ConfirmedNumber = Head->m_Number;
      } else {
        // A stale read cannot satisfy a condition.
        m_Confirming = Row;
        m_ConfirmExpires = Now + AnswerTimeout;
        Transaction Confirm;
        Confirm.m_WriteId = WriteId("confirm/" + m_Self.str() + "/" + std::to_string(m_Random()) +
                                    "/" + std::to_string(++m_ConfirmCount));
        Confirm.m_Conditions.push_back({ConfigurationHeadKey, Row->m_Version});
        Out.push_back(Write{std::move(Confirm)});
      }
    }
    if (m_ConfirmedNumber && m_Configuration.number() >= *m_ConfirmedNumber)
      m_Ready = true;
    if (m_TableNumber > m_Configuration.number() && m_RowsExpire <= Now)
      readRows(Now, Out);
    return Out;
  }
  if (!Row || Row->m_Version == RowVersion())
    return Out;
  if (auto Found = Change::decode(Row->m_Value); Found && Key == changeKey(Found->m_Number)) {
    if (Found->m_Number > m_Configuration.number() && m_FetchedChanges.size() < 2 * MaxRowsAtOnce)
      m_FetchedChanges.emplace(Found->m_Number, std::move(*Found));
    applyRows(Now, Out);
  } else if (auto Snapshot = Configuration::decodeSnapshot(Row->m_Value);
             Snapshot && Key == snapshotKey(Snapshot->number())) {
    if (Snapshot->number() > m_Configuration.number())
      adopt(std::move(*Snapshot), Out, Now, {});
    applyRows(Now, Out);
  } else {
    ++m_Rejected;
  }
  return Out;
}

ConfigurationReplica::Actions ConfigurationReplica::onCommit(const CommitResult &Result,
                                                             TimePoint Now) {
  Actions Out;
  if (!m_Confirming)
    return Out;
  TableRow Confirmed = *m_Confirming;
  m_Confirming.reset();
  if (Result.m_Status == CommitStatus::Conflict) {
    for (const TableRow &Row : Result.m_Conflicts)
      if (Row.m_Key == ConfigurationHeadKey)
        Confirmed = Row;
    // The row in a conflict is not stale and confirms as well as a commit does.
  } else if (Result.m_Status != CommitStatus::Committed) {
    return Out;
  }
  auto Head = ConfigurationHead::decode(Confirmed.m_Value);
  if (!Head)
    return Out;
  m_ConfirmedNumber = Head->m_Number;
  if (Head->m_Number >= m_TableNumber) {
    m_TableNumber = Head->m_Number;
    m_TableSnapshot = Head->m_Snapshot;
  }
  if (m_Configuration.number() >= Head->m_Number)
    m_Ready = true;
  else
    readRows(Now, Out);
  return Out;
}

void ConfigurationReplica::becomeReadyFromPeers(TimePoint Now) {
  if (m_Ready || !m_Started || m_StartOffers.empty())
    return;
  ChangeNumber Highest;
  for (const auto &[Id, Offer] : m_StartOffers)
    Highest = std::max(Highest, Offer.m_Number);
  // A head that the table confirmed may be newer than what any peer holds.
  if (m_ConfirmedNumber && Now < m_StartedAt + ConfirmedWait)
    Highest = std::max(Highest, *m_ConfirmedNumber);
  if (Now >= m_StartedAt + StartWait && m_Configuration.number() >= Highest)
    m_Ready = true;
}

ConfigurationReplica::Actions ConfigurationReplica::onTime(TimePoint Now) {
  Actions Out;
  if (!m_Started)
    return Out;
  becomeReadyFromPeers(Now);
  if (m_Confirming && Now >= m_ConfirmExpires)
    m_Confirming.reset();
  if (m_HeadReadExpires && Now >= *m_HeadReadExpires)
    m_HeadReadExpires.reset();
  if (!m_Ready && Now >= m_NextHello) {
    m_NextHello = Now + jittered(m_Random, AnswerTimeout);
    std::vector<InstanceId> Asked = sample(m_Random, m_Peers.m_LocalEntries, StartFanOut);
    Asked.insert(Asked.end(), m_Peers.m_RemoteRelays.begin(), m_Peers.m_RemoteRelays.end());
    ConfigurationMessage Hello;
    Hello.m_Kind = ConfigurationMessage::Kind::Hello;
    Hello.m_Offer = offer();
    for (const InstanceId &Id : Asked)
      Out.push_back(Send{Id, Hello});
  }
  bool ReadsTable = m_Role == InstanceRole::Entry && (m_IsPoller || !m_Ready);
  if (Now >= m_NextPoll) {
    m_NextPoll = Now + jittered(m_Random, PollInterval);
    if (m_Rules.m_PollTable && ReadsTable && !m_HeadReadExpires)
      readHead(Now, Out);
  }
  if (m_TableNumber > m_Configuration.number() && m_RowsExpire <= Now && ReadsTable)
    readRows(Now, Out);
  return Out;
}

TimePoint ConfigurationReplica::nextWake() const {
  TimePoint Wake = m_NextPoll;
  if (!m_Ready)
    Wake = std::min(Wake, m_NextHello);
  if (m_Role == InstanceRole::Agent && m_Ready)
    Wake = TimePoint::max();
  return Wake;
}

LagCollector::LagCollector(std::vector<InstanceRecord> Entries, TimePoint Now)
    : m_Entries(std::move(Entries)), m_Started(Now) {}

std::vector<ConfigurationReplica::Send> LagCollector::start() const {
  std::vector<ConfigurationReplica::Send> Result;
  ConfigurationMessage Query;
  Query.m_Kind = ConfigurationMessage::Kind::LagQuery;
  for (const InstanceRecord &Entry : m_Entries)
    Result.push_back({Entry.m_Id, Query});
  return Result;
}

void LagCollector::onAnswer(const InstanceId &From, const ConfigurationMessage &Answer) {
  if (Answer.m_Kind == ConfigurationMessage::Kind::LagAnswer)
    m_Answers[From] = Answer;
}

bool LagCollector::isDone(TimePoint Now) const {
  return m_Answers.size() >= m_Entries.size() || Now >= m_Started + WaitLimit;
}

std::vector<DataCentreLag> LagCollector::report() const {
  ChangeNumber Highest;
  for (const auto &[Id, Answer] : m_Answers)
    Highest = std::max(Highest, Answer.m_Offer.m_Number);
  std::map<DataCentreId, DataCentreLag> Result;
  std::map<DataCentreId, std::set<InstanceId>> Lagging;
  for (const InstanceRecord &Entry : m_Entries) {
    DataCentreLag &Lag = Result[Entry.m_DataCentre];
    Lag.m_DataCentre = Entry.m_DataCentre;
    auto Answer = m_Answers.find(Entry.m_Id);
    if (Answer == m_Answers.end()) {
      ++Lag.m_NotReachedCount;
      if (Lag.m_NotReached.size() < DataCentreLag::MaxNames)
        Lag.m_NotReached.push_back(Entry.m_Id);
      continue;
    }
    Lag.m_InForce = std::max(Lag.m_InForce, Answer->second.m_Offer.m_Number);
    if (Answer->second.m_Offer.m_Number < Highest)
      Lagging[Entry.m_DataCentre].insert(Entry.m_Id);
    for (const InstanceId &Agent : Answer->second.m_Lagging)
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
