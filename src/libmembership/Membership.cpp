#include "Fescuegauge/Membership.h"
#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>

namespace fescuegauge {

namespace {

using Kind = MembershipMessage::Kind;
using RecordPtr = std::shared_ptr<const InstanceRecord>;

Invariant IncarnationNeverDecreases("membership.incarnation_never_decreases");
Invariant NoRevivalOfSameIncarnation("membership.no_revival_of_same_incarnation");

/// Age up to which departures are attached to probes; see addDepartures().
constexpr Duration RecentDeparture = std::chrono::seconds(6);
constexpr std::size_t MaxRecentDepartures = 128;
/// Time after which a watcher that hears from no member stops assuming that it is isolated itself.
constexpr Duration MaxIsolation = std::chrono::seconds(10);
/// Number of members below which isolation cannot be inferred from silence.
constexpr std::size_t MinMembersForIsolation = 3;
constexpr Duration ContactInterval = std::chrono::seconds(1);
constexpr Duration RelayContactInterval = std::chrono::seconds(5);
constexpr Duration WatcherUpdateInterval = std::chrono::milliseconds(200);
/// How many times an instance forwards a departure, each time to GossipFanOut others. One
/// transmission reaches 94% of the others and two reach 99.8%, so that few have to wait for a probe
/// or a comparison of views.
constexpr int DepartureTransmissions = 2;
/// Time after which an agent without acknowledgements from its log source switches to the next
/// watcher.
constexpr Duration SourceTimeout = std::chrono::milliseconds(2500);
/// Time after which a watcher that takes over a member from departed watchers suspects it, unless
/// the member answers a probe or another watcher hears from it. Without this, a failure of a member
/// together with all its watchers would not be detected in time.
constexpr Duration TakeOverGrace = std::chrono::milliseconds(400);
/// Number of heartbeats after a change of the own record that contain the complete record.
constexpr int AnnouncementHeartbeats = 3;

std::uint64_t memberHash(const InstanceRecord &Record) {
  if (Record.m_State == InstanceState::Dead)
    return 0;
  std::uint64_t Value = rendezvousWeight("member", Record.m_Id.str());
  Value ^= (Record.m_Incarnation.value() * 8 + static_cast<std::uint64_t>(Record.m_State)) *
           0x9e3779b97f4a7c15;
  Value ^= Value >> 29;
  Value *= 0xbf58476d1ce4e5b9;
  return Value ^ (Value >> 32);
}

std::uint8_t bucketOf(const InstanceId &Id) {
  return static_cast<std::uint8_t>(rendezvousWeight("bucket", Id.str()) %
                                   MembershipMessage::SyncBuckets);
}

bool isUrgent(InstanceState State) {
  return State == InstanceState::Suspect || State == InstanceState::Leaving ||
         State == InstanceState::Dead;
}

bool contains(const std::vector<InstanceId> &Ids, const InstanceId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

Membership::Membership(InstanceRecord Self, std::vector<Endpoint> Seeds, std::uint64_t Seed,
                       Rules Enabled)
    : m_Self(std::make_shared<const InstanceRecord>(std::move(Self))), m_Seeds(std::move(Seeds)),
      m_Random(Seed), m_Rules(Enabled) {
  // Never 0 or 1, which have special meanings in heartbeats, and small, because every heartbeat
  // contains it.
  m_LogEpoch = (m_Random() & 0xffffff) | 0x1000000;
  m_ViewHash = memberHash(*m_Self);
}

Membership::Actions Membership::start(TimePoint Now) {
  m_Started = true;
  m_StartedAt = Now;
  m_LastTimerAt = Now;
  m_LastHeardAt = Now;
  auto Within = [&](Duration Limit) {
    return Now + Duration(static_cast<Duration::rep>(
                     uniformBelow(m_Random, static_cast<std::uint64_t>(Limit.count()))));
  };
  m_NextHeartbeat = Within(HeartbeatInterval);
  m_NextProbe = Within(ProbeInterval);
  m_NextCrossProbe = Within(CrossProbeInterval);
  m_NextCheck = Within(CheckInterval);
  m_NextWatcherUpdate = Now;
  m_NextSync = Now;
  m_NextContact = Now;
  m_RemainingAnnouncements = AnnouncementHeartbeats;
  return onTimer(Now);
}

MembershipMessage Membership::message(Kind MessageKind) const {
  MembershipMessage Result;
  Result.m_Kind = MessageKind;
  Result.m_Incarnation = m_Self->m_Incarnation;
  Result.m_ViewHash = m_ViewHash;
  Result.m_Attachment = m_Attachment;
  return Result;
}

void Membership::send(const InstanceId &To, MembershipMessage Message, Actions &Out) const {
  auto Found = m_Members.find(To);
  Endpoint Address;
  if (Found != m_Members.end())
    Address = Found->second.m_Record->m_Endpoint;
  Out.push_back(Send{To, std::move(Address), std::move(Message)});
}

MemberUpdate Membership::selfUpdate() const {
  return {m_Self->m_Id, m_Self->m_Incarnation, m_Self->m_State, m_Self};
}

MemberUpdate Membership::updateFor(const MemberState &Member) const {
  const RecordPtr &Record = Member.m_Record;
  // Receivers keep the record of a suspected or dead member and need only the new state.
  bool IsStateOnly =
      Record->m_State == InstanceState::Suspect || Record->m_State == InstanceState::Dead;
  return {Record->m_Id, Record->m_Incarnation, Record->m_State, IsStateOnly ? nullptr : Record};
}

void Membership::store(const RecordPtr &Record, TimePoint Now, Actions &Out, bool ShouldGossip) {
  MemberState &Member = m_Members[Record->m_Id];
  const InstanceRecord *Previous = Member.m_Record.get();
  auto IsActive = [](const InstanceRecord &Value) { return !isUrgent(Value.m_State); };
  bool WasActive = Previous && IsActive(*Previous);
  if (Record->m_DataCentre == m_Self->m_DataCentre &&
      (!Previous ||
       (Previous->m_State == InstanceState::Dead) != (Record->m_State == InstanceState::Dead) ||
       (Record->m_Role == InstanceRole::Entry && WasActive != IsActive(*Record))))
    m_LocalChanged = true;
  if (Record->m_Role == InstanceRole::Entry) {
    if (IsActive(*Record))
      m_LiveEntries[Record->m_DataCentre].insert(Record->m_Id);
    else
      m_LiveEntries[Record->m_DataCentre].erase(Record->m_Id);
  }
  if (!Previous || Previous->m_State != Record->m_State) {
    Member.m_StateSince = Now;
    if (Record->m_State == InstanceState::Dead)
      m_Tombstones.emplace_back(Now, Record->m_Id);
  }
  if (!Previous)
    Member.m_Bucket = bucketOf(Record->m_Id);
  m_ViewHash ^= Member.m_Hash;
  Member.m_Hash = memberHash(*Record);
  m_ViewHash ^= Member.m_Hash;
  m_Log.erase(Member.m_LogPosition);
  Member.m_LogPosition = ++m_LogPosition;
  m_Log.emplace_hint(m_Log.end(), Member.m_LogPosition, Record->m_Id);
  if (m_Log.size() > MaxLogEntries)
    m_Log.erase(m_Log.begin());
  Member.m_Record = Record;
  if (ShouldGossip)
    queueUpdate(Record->m_Id, Now, isUrgent(Record->m_State));
  Out.push_back(MemberChanged{Record->m_Id});
}

bool Membership::merge(const MemberUpdate &Update, TimePoint Now, Actions &Out, bool ShouldGossip) {
  if (Update.m_Id == m_Self->m_Id) {
    bool Contradicts =
        Update.m_State == InstanceState::Suspect || Update.m_State == InstanceState::Dead ||
        (Update.m_State == InstanceState::Leaving && m_Self->m_State != InstanceState::Leaving);
    if (Update.m_Incarnation > m_Self->m_Incarnation ||
        (Update.m_Incarnation == m_Self->m_Incarnation && Contradicts))
      refute(Update.m_Incarnation, Out);
    return false;
  }
  auto Found = m_Members.find(Update.m_Id);
  if (Found == m_Members.end()) {
    if (!Update.m_Record || m_Members.size() >= MaxMembers)
      return false;
    // Unknown dead members are not added.
    if (Update.m_State == InstanceState::Dead)
      return false;
    store(Update.m_Record, Now, Out, ShouldGossip);
    return true;
  }
  const InstanceRecord &Current = *Found->second.m_Record;
  if (m_Rules.m_CompareIncarnations) {
    if (Update.m_Incarnation < Current.m_Incarnation)
      return false;
    if (Update.m_Incarnation == Current.m_Incarnation && Update.m_State <= Current.m_State)
      return false;
  } else if (Update.m_Incarnation == Current.m_Incarnation && Update.m_State == Current.m_State) {
    return false;
  }
  if (!IncarnationNeverDecreases.check(Update.m_Incarnation >= Current.m_Incarnation,
                                       Update.m_Id.str()))
    return false;
  if (Current.m_State == InstanceState::Dead &&
      !NoRevivalOfSameIncarnation.check(Update.m_Incarnation > Current.m_Incarnation,
                                        Update.m_Id.str()))
    return false;
  RecordPtr Next = Update.m_Record;
  if (!Next) {
    auto Copy = std::make_shared<InstanceRecord>(Current);
    Copy->m_Incarnation = Update.m_Incarnation;
    Copy->m_State = Update.m_State;
    Next = std::move(Copy);
  }
  store(Next, Now, Out, ShouldGossip);
  return true;
}

void Membership::mergeRecords(std::span<const RecordPtr> Records, TimePoint Now) {
  Actions Ignored;
  for (const RecordPtr &Record : Records)
    if (Record->m_Id != m_Self->m_Id)
      merge({Record->m_Id, Record->m_Incarnation, Record->m_State, Record}, Now, Ignored, false);
  m_NextWatcherUpdate = Now;
  updateWatchers(Now);
}

void Membership::refute(Incarnation Reported, Actions &Out) {
  if (!m_Rules.m_Refute)
    return;
  auto Next = std::make_shared<InstanceRecord>(*m_Self);
  Next->m_Incarnation = std::max(Reported, m_Self->m_Incarnation).next();
  m_ViewHash ^= memberHash(*m_Self) ^ memberHash(*Next);
  m_Self = std::move(Next);
  announceSelf(Out, true);
}

Membership::Actions Membership::updateSelf(const InstanceRecord &Record) {
  Actions Out;
  auto Next = std::make_shared<InstanceRecord>(Record);
  Next->m_Id = m_Self->m_Id;
  Next->m_Role = m_Self->m_Role;
  Next->m_DataCentre = m_Self->m_DataCentre;
  Next->m_Incarnation = m_Self->m_Incarnation;
  // A departure is never reverted.
  if (m_Self->m_State == InstanceState::Leaving)
    Next->m_State = InstanceState::Leaving;
  if (*Next == *m_Self)
    return Out;
  Next->m_Incarnation = m_Self->m_Incarnation.next();
  m_ViewHash ^= memberHash(*m_Self) ^ memberHash(*Next);
  m_Self = std::move(Next);
  announceSelf(Out, m_Self->m_State == InstanceState::Leaving);
  return Out;
}

Membership::Actions Membership::leave() {
  InstanceRecord Next = *m_Self;
  Next.m_State = InstanceState::Leaving;
  return updateSelf(Next);
}

void Membership::announceSelf(Actions &Out, bool Urgent) {
  m_RemainingAnnouncements = AnnouncementHeartbeats;
  if (!m_Started)
    return;
  MembershipMessage Announcement = message(Kind::Updates);
  Announcement.m_Updates.push_back(selfUpdate());
  std::vector<InstanceId> Targets = m_Watchers;
  if (m_Self->m_Role == InstanceRole::Entry && Urgent)
    for (const InstanceId &Id : sampleLocalEntries(GossipFanOut))
      if (!contains(Targets, Id))
        Targets.push_back(Id);
  for (const InstanceId &Id : relays(m_Self->m_DataCentre))
    if (m_Self->m_Role == InstanceRole::Entry && Id != m_Self->m_Id && !contains(Targets, Id))
      Targets.push_back(Id);
  if (isRelay())
    for (const DataCentreId &DataCentre : dataCentres())
      if (DataCentre != m_Self->m_DataCentre)
        for (const InstanceId &Id : relays(DataCentre))
          Targets.push_back(Id);
  for (const InstanceId &Id : Targets)
    send(Id, Announcement, Out);
}

void Membership::queueUpdate(const InstanceId &Id, TimePoint Now, bool Urgent) {
  if (!m_Rules.m_GossipUpdates || m_Self->m_Role != InstanceRole::Entry)
    return;
  int &Transmissions = m_RemainingTransmissions[Id];
  if (Transmissions == 0)
    m_PendingUpdates.push_back(Id);
  Transmissions = std::max(Transmissions, Urgent ? DepartureTransmissions : 1);
  if (m_PendingUpdates.size() > MaxPendingUpdates) {
    m_RemainingTransmissions.erase(m_PendingUpdates.front());
    m_PendingUpdates.pop_front();
  }
  m_NextFlush =
      std::min(m_NextFlush, Now + jittered(m_Random, Urgent ? UrgentUpdateDelay : UpdateDelay));
}

std::vector<InstanceId> Membership::sampleLocalEntries(std::size_t Count) {
  std::vector<InstanceId> Result;
  Count = std::min(Count, m_LocalEntries.size());
  // Few are drawn from many, so repeating a draw after a duplicate is cheaper than a shuffled copy.
  while (Result.size() < Count) {
    const InstanceId &Id = m_LocalEntries[uniformBelow(m_Random, m_LocalEntries.size())];
    if (!contains(Result, Id))
      Result.push_back(Id);
  }
  return Result;
}

void Membership::flushUpdates(TimePoint Now, Actions &Out) {
  MembershipMessage Local = message(Kind::Updates);
  MembershipMessage Remote = Local;
  std::vector<InstanceId> Again;
  while (!m_PendingUpdates.empty() && Local.m_Updates.size() < MembershipMessage::MaxUpdates) {
    InstanceId Id = std::move(m_PendingUpdates.front());
    m_PendingUpdates.pop_front();
    auto Transmissions = m_RemainingTransmissions.find(Id);
    if (--Transmissions->second > 0)
      Again.push_back(Id);
    else
      m_RemainingTransmissions.erase(Transmissions);
    auto Found = m_Members.find(Id);
    if (Found == m_Members.end())
      continue;
    Local.m_Updates.push_back(updateFor(Found->second));
    if (Found->second.m_Record->m_DataCentre == m_Self->m_DataCentre)
      Remote.m_Updates.push_back(Local.m_Updates.back());
  }
  m_NextFlush = TimePoint::max();
  if (!m_PendingUpdates.empty() || !Again.empty())
    m_NextFlush =
        Now + jittered(m_Random, m_PendingUpdates.empty() ? UpdateDelay : UrgentUpdateDelay);
  m_PendingUpdates.insert(m_PendingUpdates.end(), Again.begin(), Again.end());
  if (Local.m_Updates.empty())
    return;
  for (const InstanceId &Id : sampleLocalEntries(GossipFanOut))
    send(Id, Local, Out);
  if (Remote.m_Updates.empty() || !isRelay())
    return;
  for (const DataCentreId &DataCentre : dataCentres()) {
    std::vector<InstanceId> Relays = relays(DataCentre);
    if (DataCentre != m_Self->m_DataCentre && !Relays.empty())
      send(Relays[uniformBelow(m_Random, Relays.size())], Remote, Out);
  }
}

void Membership::declare(const InstanceId &Id, InstanceState State, TimePoint Now, Actions &Out) {
  auto Found = m_Members.find(Id);
  if (Found == m_Members.end() || Found->second.m_Record->m_State >= State)
    return;
  ++(State == InstanceState::Dead ? m_DeclaredDead : m_DeclaredSuspect);
  auto Next = std::make_shared<InstanceRecord>(*Found->second.m_Record);
  Next->m_State = State;
  store(Next, Now, Out, true);
  // The member itself can refute the declaration, and relays forward it to other data centres.
  MembershipMessage Announcement = message(Kind::Updates);
  Announcement.m_Updates.push_back(updateFor(Found->second));
  send(Id, Announcement, Out);
  for (const InstanceId &Relay : relays(m_Self->m_DataCentre))
    if (Relay != m_Self->m_Id && Relay != Id)
      send(Relay, Announcement, Out);
}

std::vector<InstanceId> Membership::watchersOf(const InstanceId &Id) const {
  std::vector<InstanceId> Candidates;
  Candidates.reserve(m_LocalEntries.size() + 1);
  for (const InstanceId &Entry : m_LocalEntries)
    if (Entry != Id)
      Candidates.push_back(Entry);
  if (m_Self->m_Role == InstanceRole::Entry && Id != m_Self->m_Id)
    Candidates.push_back(m_Self->m_Id);
  return rendezvousRank("watch/" + Id.str(), Candidates, WatchersPerProcess);
}

bool Membership::isWatcherOf(const InstanceId &Id) const {
  // Same result as a search in watchersOf(), without ranking all entry instances for each member.
  std::string Key = "watch/" + Id.str();
  std::uint64_t Own = rendezvousWeight(Key, m_Self->m_Id.str());
  std::size_t Ahead = 0;
  for (const InstanceId &Entry : m_LocalEntries) {
    if (Entry == Id)
      continue;
    std::uint64_t Weight = rendezvousWeight(Key, Entry.str());
    if (Weight > Own || (Weight == Own && Entry < m_Self->m_Id))
      if (++Ahead == WatchersPerProcess)
        return false;
  }
  return true;
}

void Membership::updateWatchers(TimePoint Now) {
  if (!m_LocalChanged || Now < m_NextWatcherUpdate)
    return;
  m_LocalChanged = false;
  m_NextWatcherUpdate = Now + WatcherUpdateInterval;
  const std::set<InstanceId> &Entries = m_LiveEntries[m_Self->m_DataCentre];
  m_LocalEntries.assign(Entries.begin(), Entries.end());
  std::vector<InstanceId> Previous = std::move(m_Watchers);
  m_Watchers = watchersOf(m_Self->m_Id);
  if (Previous != m_Watchers)
    m_RemainingAnnouncements = std::max(m_RemainingAnnouncements, 1);
  if (m_Self->m_Role != InstanceRole::Entry)
    return;
  std::map<InstanceId, Watch> Watched;
  for (const auto &[Id, Member] : m_Members) {
    if (Member.m_Record->m_DataCentre != m_Self->m_DataCentre ||
        Member.m_Record->m_State == InstanceState::Dead || !isWatcherOf(Id))
      continue;
    auto Found = m_Watched.find(Id);
    bool IsTakenOver = m_StartedAt + 2 * SuspectAfter < Now &&
                       (Member.m_Record->m_State == InstanceState::Suspect ||
                        Member.m_StateSince + 2 * SuspectAfter < Now);
    TimePoint Heard = IsTakenOver ? Now - SuspectAfter + TakeOverGrace : Now;
    Watched[Id] = Found == m_Watched.end() ? Watch{Heard, Now, false} : Found->second;
  }
  m_Watched = std::move(Watched);
}

void Membership::recordContact(const InstanceId &From, TimePoint Now) {
  auto Found = m_Members.find(From);
  if (Found == m_Members.end())
    return;
  m_DataCentreHeardAt[Found->second.m_Record->m_DataCentre] = Now;
  if (Found->second.m_Record->m_DataCentre == m_Self->m_DataCentre)
    m_LastHeardAt = Now;
  auto Watched = m_Watched.find(From);
  if (Watched != m_Watched.end()) {
    Watched->second.m_HeardAt = Now;
    Watched->second.m_WasHeard = true;
  }
}

Membership::Actions Membership::onMessage(const InstanceId &From, const MembershipMessage &Message,
                                          TimePoint Now) {
  Actions Out;
  if (From == m_Self->m_Id)
    return Out;
  bool IsAgent = m_Self->m_Role == InstanceRole::Agent;
  for (const MemberUpdate &Update : Message.m_Updates)
    merge(Update, Now, Out, Message.m_Kind != Kind::SyncReply || !Message.m_HasMore);
  recordContact(From, Now);
  if (!Message.m_Attachment.empty())
    Out.push_back(Attachment{From, Message.m_Attachment});

  MembershipMessage Reply = message(Kind::HeartbeatAck);
  auto Found = m_Members.find(From);
  const InstanceRecord *Sender = Found == m_Members.end() ? nullptr : Found->second.m_Record.get();
  Reply.m_NeedsRecord = !Sender || Sender->m_Incarnation < Message.m_Incarnation;
  bool IncludesState = Sender && !Reply.m_NeedsRecord && isUrgent(Sender->m_State);
  if (IncludesState)
    Reply.m_Updates.push_back(updateFor(Found->second));
  if (Message.m_NeedsRecord)
    Reply.m_Updates.push_back(selfUpdate());
  switch (Message.m_Kind) {
  case Kind::Heartbeat: {
    if (Message.m_LogEpoch != 0) {
      Reply.m_LogEpoch = m_LogEpoch;
      Reply.m_LogPosition = m_LogPosition;
      bool IsLogComplete =
          m_Log.size() < MaxLogEntries || Message.m_LogPosition >= m_Log.begin()->first;
      if (Message.m_LogEpoch == m_LogEpoch && IsLogComplete) {
        Reply.m_LogPosition = std::max<std::uint64_t>(Message.m_LogPosition, 1);
        for (auto Item = m_Log.upper_bound(Message.m_LogPosition);
             Item != m_Log.end() && Reply.m_Updates.size() < MembershipMessage::MaxUpdates;
             ++Item) {
          Reply.m_Updates.push_back(updateFor(m_Members.at(Item->second)));
          Reply.m_LogPosition = Item->first;
        }
      }
    }
    // Entry instances exchange all other updates by probes, and an agent has only one log source.
    if (Message.m_LogEpoch != 0 || Reply.m_NeedsRecord || IncludesState || Message.m_NeedsRecord)
      send(From, std::move(Reply), Out);
    break;
  }
  case Kind::Probe:
    Reply.m_Kind = Kind::ProbeAck;
    addDepartures(Reply, Now);
    send(From, std::move(Reply), Out);
    break;
  case Kind::SilenceQuery: {
    Reply.m_Kind = Kind::SilenceReply;
    for (const MembershipMessage::SilenceReport &Queried : Message.m_SilenceReports)
      if (auto Watched = m_Watched.find(Queried.m_Id);
          Watched != m_Watched.end() && Watched->second.m_WasHeard)
        Reply.m_SilenceReports.push_back({Queried.m_Id, Now - Watched->second.m_HeardAt});
    if (!Reply.m_SilenceReports.empty())
      send(From, std::move(Reply), Out);
    break;
  }
  case Kind::SilenceReply:
    for (const MembershipMessage::SilenceReport &Report : Message.m_SilenceReports)
      if (auto Watched = m_Watched.find(Report.m_Id); Watched != m_Watched.end())
        Watched->second.m_HeardAt = std::max(Watched->second.m_HeardAt, Now - Report.m_Silence);
    break;
  case Kind::SyncRequest:
    onSyncRequest(From, Message, Now, Out);
    break;
  case Kind::SyncReply:
    if (Message.m_HasMore)
      m_NextSync = Now;
    break;
  case Kind::HeartbeatAck:
    if (Message.m_LogEpoch != 0 && From == m_LogSource) {
      m_SourceHeardAt = Now;
      bool IsContinuous =
          m_SourceEpoch == Message.m_LogEpoch &&
          Message.m_LogPosition <= m_SourcePosition + MembershipMessage::MaxUpdates * 8;
      m_SourceEpoch = Message.m_LogEpoch;
      m_SourcePosition = Message.m_LogPosition;
      if (!IsContinuous)
        sync(From, Now, Out);
    }
    [[fallthrough]];
  case Kind::ProbeAck:
  case Kind::Updates:
    if (Message.m_NeedsRecord || IncludesState || (Reply.m_NeedsRecord && Sender == nullptr)) {
      Reply.m_Kind = Kind::Updates;
      send(From, std::move(Reply), Out);
    }
    break;
  }

  bool IsViewComparable = Message.m_Kind == Kind::Probe || Message.m_Kind == Kind::ProbeAck ||
                          Message.m_Kind == Kind::HeartbeatAck || Message.m_Kind == Kind::SyncReply;
  if (!IsViewComparable)
    return Out;
  if (Message.m_ViewHash == m_ViewHash) {
    m_ViewDiffersSince.reset();
  } else if (!IsAgent) {
    if (Now >= m_NextSync)
      sync(From, Now, Out);
  } else {
    // An agent gets updates from the log of one watcher. Comparing views repairs missed updates.
    if (!m_ViewDiffersSince)
      m_ViewDiffersSince = Now;
    if ((*m_ViewDiffersSince + AgentSyncAfter <= Now || Message.m_Kind == Kind::SyncReply) &&
        Now >= m_NextSync && From == m_LogSource)
      sync(From, Now, Out);
  }
  return Out;
}

void Membership::addDepartures(MembershipMessage &To, TimePoint Now) {
  std::vector<MemberUpdate> Recent;
  for (auto Item = m_Log.rbegin(); Item != m_Log.rend() && Recent.size() < MaxRecentDepartures;
       ++Item) {
    const MemberState &Member = m_Members.at(Item->second);
    if (Member.m_StateSince + RecentDeparture < Now)
      break;
    if (isUrgent(Member.m_Record->m_State))
      Recent.push_back(
          {Item->second, Member.m_Record->m_Incarnation, Member.m_Record->m_State, nullptr});
  }
  // After many departures, a random offset makes different messages carry different ones.
  std::size_t First = uniformBelow(m_Random, Recent.size());
  for (std::size_t Index = 0;
       Index < Recent.size() && To.m_Updates.size() < MembershipMessage::MaxUpdates; ++Index)
    To.m_Updates.push_back(std::move(Recent[(First + Index) % Recent.size()]));
}

void Membership::selectLogSource(TimePoint Now) {
  auto Present = std::find(m_Watchers.begin(), m_Watchers.end(), m_LogSource);
  if (m_Watchers.empty() || (Present != m_Watchers.end() && m_SourceHeardAt + SourceTimeout > Now))
    return;
  std::size_t Next =
      Present == m_Watchers.end() ? 0 : static_cast<std::size_t>(Present - m_Watchers.begin() + 1);
  m_LogSource = m_Watchers[Next % m_Watchers.size()];
  m_SourceHeardAt = Now;
  m_SourceEpoch = 1;
  m_SourcePosition = 0;
}

std::vector<std::uint32_t> Membership::buckets() const {
  std::vector<std::uint32_t> Result(MembershipMessage::SyncBuckets);
  for (const auto &[Id, Member] : m_Members)
    Result[Member.m_Bucket] ^= static_cast<std::uint32_t>(Member.m_Hash);
  Result[bucketOf(m_Self->m_Id)] ^= static_cast<std::uint32_t>(memberHash(*m_Self));
  return Result;
}

void Membership::sync(const InstanceId &To, TimePoint Now, Actions &Out) {
  m_NextSync = Now + jittered(m_Random, SyncInterval);
  MembershipMessage Request = message(Kind::SyncRequest);
  Request.m_Buckets = buckets();
  Request.m_Updates.push_back(selfUpdate());
  send(To, std::move(Request), Out);
}

void Membership::onSyncRequest(const InstanceId &From, const MembershipMessage &Message,
                               TimePoint Now, Actions &Out) {
  if (Now >= m_SyncWindowStart + std::chrono::seconds(1)) {
    m_SyncWindowStart = Now;
    m_SyncRepliesInWindow = 0;
  }
  // The requester repeats its request later or to another instance.
  if (++m_SyncRepliesInWindow > MaxSyncRepliesPerSecond)
    return;
  MembershipMessage Reply = message(Kind::SyncReply);
  Reply.m_Updates.push_back(selfUpdate());
  std::vector<std::uint32_t> Own = buckets();
  if (Message.m_Buckets.size() != Own.size())
    return;
  // The members of all buckets that differ, except the requester.
  std::vector<const MemberState *> Differing;
  for (const auto &[Id, Member] : m_Members)
    if (Own[Member.m_Bucket] != Message.m_Buckets[Member.m_Bucket] && Id != From)
      Differing.push_back(&Member);
  std::size_t Available = MembershipMessage::MaxSyncUpdates - 1;
  Reply.m_HasMore = Differing.size() > Available;
  if (Reply.m_HasMore) {
    // Complete buckets are sent, so that they are equal at the next request and others follow.
    std::stable_sort(Differing.begin(), Differing.end(),
                     [](const MemberState *Left, const MemberState *Right) {
                       return Left->m_Bucket < Right->m_Bucket;
                     });
    std::size_t End = Available;
    while (End > 1 && Differing[End]->m_Bucket == Differing[End - 1]->m_Bucket)
      --End;
    Differing.resize(End > 1 ? End : Available);
  }
  for (const MemberState *Member : Differing)
    Reply.m_Updates.push_back(
        {Member->m_Record->m_Id, Member->m_Record->m_Incarnation, Member->m_Record->m_State,
         Member->m_Record->m_State == InstanceState::Dead ? nullptr : Member->m_Record});
  send(From, std::move(Reply), Out);
  // Members that only the requester knows are obtained by a request in the other direction.
  if (m_Self->m_Role == InstanceRole::Entry && Now >= m_NextSync &&
      Message.m_ViewHash != m_ViewHash)
    sync(From, Now, Out);
}

Membership::Actions Membership::onPlatformList(std::span<const PlatformListEntry> List,
                                               TimePoint Now) {
  Actions Out;
  m_Contacts.clear();
  std::set<InstanceId> Listed;
  for (const PlatformListEntry &Entry : List) {
    Listed.insert(Entry.m_Id);
    auto Existing = m_Members.find(Entry.m_Id);
    bool IsNew =
        Existing == m_Members.end() || Existing->second.m_Record->m_Endpoint != Entry.m_Endpoint;
    if (m_Contacts.size() < MaxContacts && IsNew && Entry.m_Id != m_Self->m_Id && !Entry.m_Leaving)
      m_Contacts.push_back(Entry);
    if (!Entry.m_Leaving) {
      m_ListLeaving.erase(Entry.m_Id);
      continue;
    }
    auto Found = m_Members.find(Entry.m_Id);
    if (Found == m_Members.end() || m_ListLeaving.contains(Entry.m_Id))
      continue;
    // Applied only once: a member that is back under the same id refutes the mark, and a stale list
    // that still marks it as leaving is then ignored.
    m_ListLeaving[Entry.m_Id] = Found->second.m_Record->m_Incarnation;
    declare(Entry.m_Id, InstanceState::Leaving, Now, Out);
  }
  std::vector<DataCentreId> Unreachable = unreachableDataCentres(Now);
  std::vector<InstanceId> AbsentMembers;
  for (const auto &[Id, Member] : m_Members) {
    if (Listed.contains(Id) || Member.m_Record->m_State == InstanceState::Dead ||
        std::find(Unreachable.begin(), Unreachable.end(), Member.m_Record->m_DataCentre) ==
            Unreachable.end()) {
      m_ListAbsentSince.erase(Id);
      continue;
    }
    auto Since = m_ListAbsentSince.emplace(Id, Now).first->second;
    if (Since + ListAbsenceTimeout <= Now)
      AbsentMembers.push_back(Id);
  }
  for (const InstanceId &Id : AbsentMembers)
    declare(Id, InstanceState::Dead, Now, Out);
  return Out;
}

void Membership::contactSeeds(TimePoint Now, Actions &Out) {
  bool HasNoLocalContact = m_LocalEntries.empty() || hasLostContact(Now);
  m_NextContact =
      Now + jittered(m_Random, HasNoLocalContact ? ContactInterval : RelayContactInterval);
  if (!HasNoLocalContact && !isRelay())
    return;
  std::vector<Endpoint> Addresses = m_Seeds;
  for (const PlatformListEntry &Contact : m_Contacts)
    Addresses.push_back(Contact.m_Endpoint);
  for (const auto &[Id, Member] : m_Members)
    if (!HasNoLocalContact && Member.m_Record->m_State != InstanceState::Dead)
      std::erase(Addresses, Member.m_Record->m_Endpoint);
  std::erase(Addresses, m_Self->m_Endpoint);
  MembershipMessage Request = message(Kind::SyncRequest);
  Request.m_Buckets = buckets();
  Request.m_Updates.push_back(selfUpdate());
  std::size_t Count = std::min<std::size_t>(Addresses.size(), HasNoLocalContact ? GossipFanOut : 1);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::swap(Addresses[Index],
              Addresses[Index + uniformBelow(m_Random, Addresses.size() - Index)]);
    Out.push_back(Send{{}, Addresses[Index], Request});
  }
}

void Membership::checkWatched(TimePoint Now, Actions &Out) {
  bool CanSuspect = m_Members.size() < MinMembersForIsolation ||
                    m_LastHeardAt + IsolatedAfter > Now || m_LastHeardAt + MaxIsolation < Now;
  std::map<InstanceId, MembershipMessage> Queries;
  std::vector<InstanceId> Silent;
  for (auto &[Id, Watched] : m_Watched) {
    Duration Silence = Now - Watched.m_HeardAt;
    if (Silence < ProbeAfter)
      continue;
    const MemberState &Member = m_Members.at(Id);
    if (Member.m_Record->m_State == InstanceState::Dead)
      continue;
    if (Now >= Watched.m_NextProbe) {
      Watched.m_NextProbe = Now + SilenceProbeInterval;
      MembershipMessage Probe = message(Kind::Probe);
      // The member may know only the address of an earlier run of this process and would answer
      // there.
      Probe.m_Updates.push_back(selfUpdate());
      if (isUrgent(Member.m_Record->m_State))
        Probe.m_Updates.push_back(updateFor(Member));
      send(Id, std::move(Probe), Out);
      if (m_Rules.m_AskOtherWatchers)
        for (const InstanceId &Other : watchersOf(Id))
          if (Other != m_Self->m_Id) {
            MembershipMessage &Query =
                Queries.emplace(Other, message(Kind::SilenceQuery)).first->second;
            if (Query.m_SilenceReports.size() < MembershipMessage::MaxSilenceReports)
              Query.m_SilenceReports.push_back({Id, Silence});
          }
    }
    if (Silence >= SuspectAfter && CanSuspect)
      Silent.push_back(Id);
  }
  for (auto &[Other, Query] : Queries)
    send(Other, std::move(Query), Out);
  for (const InstanceId &Id : Silent) {
    const MemberState &Member = m_Members.at(Id);
    InstanceState State = Member.m_Record->m_State;
    bool TimedOut = Member.m_StateSince + SuspectTimeout <= Now;
    if (!m_Rules.m_SuspectFirst || ((State == InstanceState::Suspect) && TimedOut) ||
        (State == InstanceState::Leaving &&
         m_Watched.at(Id).m_HeardAt + SuspectAfter + SuspectTimeout <= Now))
      declare(Id, InstanceState::Dead, Now, Out);
    else if (State != InstanceState::Suspect)
      declare(Id, InstanceState::Suspect, Now, Out);
  }
}

Membership::Actions Membership::onTimer(TimePoint Now) {
  Actions Out;
  if (!m_Started)
    return Out;
  bool IsEntry = m_Self->m_Role == InstanceRole::Entry;
  Duration Gap = Now - m_LastTimerAt;
  m_LastTimerAt = Now;
  if (IsEntry && m_Rules.m_CompensateOwnPause && Gap > PauseThreshold)
    for (auto &[Id, Watched] : m_Watched)
      Watched.m_HeardAt = std::min(Now, Watched.m_HeardAt + Gap);
  updateWatchers(Now);
  if (Now >= m_NextHeartbeat) {
    m_NextHeartbeat = Now + jittered(m_Random, HeartbeatInterval, 0.1);
    MembershipMessage HeartbeatMessage = message(Kind::Heartbeat);
    if (m_RemainingAnnouncements > 0) {
      --m_RemainingAnnouncements;
      HeartbeatMessage.m_Updates.push_back(selfUpdate());
    }
    if (!IsEntry)
      selectLogSource(Now);
    for (const InstanceId &Watcher : m_Watchers) {
      MembershipMessage Copy = HeartbeatMessage;
      if (!IsEntry && Watcher == m_LogSource) {
        Copy.m_LogEpoch = m_SourceEpoch;
        Copy.m_LogPosition = m_SourcePosition;
      }
      send(Watcher, std::move(Copy), Out);
    }
  }
  if (Now >= m_NextContact)
    contactSeeds(Now, Out);
  if (!IsEntry) {
    dropTombstones(Now);
    return Out;
  }
  if (Now >= m_NextProbe) {
    m_NextProbe = Now + jittered(m_Random, ProbeInterval);
    MembershipMessage Probe = message(Kind::Probe);
    addDepartures(Probe, Now);
    for (const InstanceId &Id : sampleLocalEntries(1))
      send(Id, Probe, Out);
  }
  if (Now >= m_NextCrossProbe) {
    m_NextCrossProbe = Now + jittered(m_Random, CrossProbeInterval);
    if (isRelay())
      for (const DataCentreId &DataCentre : dataCentres()) {
        std::vector<InstanceId> Relays = relays(DataCentre);
        if (DataCentre != m_Self->m_DataCentre && !Relays.empty())
          send(Relays[uniformBelow(m_Random, Relays.size())], message(Kind::Probe), Out);
      }
  }
  if (Now >= m_NextCheck) {
    m_NextCheck = Now + CheckInterval;
    checkWatched(Now, Out);
    dropTombstones(Now);
  }
  if (Now >= m_NextFlush)
    flushUpdates(Now, Out);
  return Out;
}

void Membership::dropTombstones(TimePoint Now) {
  Duration Life = m_Rules.m_KeepTombstones ? TombstoneLifetime : Duration::zero();
  while (!m_Tombstones.empty() && m_Tombstones.front().first + Life <= Now) {
    auto Found = m_Members.find(m_Tombstones.front().second);
    m_Tombstones.pop_front();
    // The member may have rejoined, or died again and have a later tombstone.
    if (Found == m_Members.end() || Found->second.m_Record->m_State != InstanceState::Dead ||
        Found->second.m_StateSince + Life > Now)
      continue;
    m_Log.erase(Found->second.m_LogPosition);
    m_Members.erase(Found);
  }
}

TimePoint Membership::nextTimer() const {
  TimePoint Earliest = std::min(m_NextHeartbeat, m_NextContact);
  if (m_Self->m_Role == InstanceRole::Entry)
    Earliest = std::min({Earliest, m_NextProbe, m_NextCrossProbe, m_NextCheck, m_NextFlush});
  return Earliest;
}

const InstanceRecord *Membership::find(const InstanceId &Id) const {
  if (Id == m_Self->m_Id)
    return m_Self.get();
  auto Found = m_Members.find(Id);
  return Found == m_Members.end() ? nullptr : Found->second.m_Record.get();
}

bool Membership::isRoutable(const InstanceId &Id) const {
  const InstanceRecord *Found = find(Id);
  return Found && Found->m_State == InstanceState::Live;
}

std::vector<RecordPtr> Membership::members() const {
  std::vector<RecordPtr> Result;
  for (const auto &[Id, Member] : m_Members)
    if (Member.m_Record->m_State != InstanceState::Dead)
      Result.push_back(Member.m_Record);
  return Result;
}

std::vector<InstanceId> Membership::entries(const DataCentreId &DataCentre) const {
  auto Found = m_LiveEntries.find(DataCentre);
  if (Found == m_LiveEntries.end())
    return {};
  return {Found->second.begin(), Found->second.end()};
}

std::vector<InstanceId> Membership::relays(const DataCentreId &DataCentre) const {
  std::vector<InstanceId> Candidates = entries(DataCentre);
  bool IsActive =
      m_Self->m_Role == InstanceRole::Entry && m_Self->m_State != InstanceState::Leaving;
  if (DataCentre == m_Self->m_DataCentre && IsActive)
    Candidates.push_back(m_Self->m_Id);
  return rendezvousRank("relay/" + DataCentre.str(), Candidates, RelaysPerDataCentre);
}

std::vector<DataCentreId> Membership::dataCentres() const {
  std::vector<DataCentreId> Result;
  for (const auto &[DataCentre, Entries] : m_LiveEntries)
    if (!Entries.empty() || DataCentre == m_Self->m_DataCentre)
      Result.push_back(DataCentre);
  return Result;
}

bool Membership::isRelay() const {
  return m_Self->m_Role == InstanceRole::Entry &&
         contains(relays(m_Self->m_DataCentre), m_Self->m_Id);
}

std::vector<InstanceId> Membership::watched() const {
  std::vector<InstanceId> Result;
  for (const auto &[Id, Watched] : m_Watched)
    Result.push_back(Id);
  return Result;
}

std::vector<DataCentreId> Membership::unreachableDataCentres(TimePoint Now) const {
  std::vector<DataCentreId> Result;
  if (!isRelay())
    return Result;
  for (const DataCentreId &DataCentre : dataCentres()) {
    auto Heard = m_DataCentreHeardAt.find(DataCentre);
    if (DataCentre != m_Self->m_DataCentre &&
        (Heard == m_DataCentreHeardAt.end() || Heard->second + UnreachableAfter <= Now))
      Result.push_back(DataCentre);
  }
  return Result;
}

} // namespace fescuegauge
