#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Membership.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;

namespace {

using std::chrono::milliseconds;

InstanceRecord record(const std::string &Name, InstanceRole Role, std::uint64_t Number) {
  InstanceRecord Result;
  Result.m_Id = InstanceId(Name);
  Result.m_Role = Role;
  Result.m_State = InstanceState::Live;
  Result.m_Incarnation = Incarnation(Number);
  Result.m_DataCentre = DataCentreId("caribe");
  Result.m_Endpoint = {"127.0.0.1", static_cast<std::uint16_t>(7000 + Number)};
  Result.m_Service = ServiceId("asistente");
  Result.m_ServedDigest = sha256(Name);
  return Result;
}

MembershipMessage updateMessage(const std::string &Name, std::uint64_t Number,
                                InstanceState State) {
  MembershipMessage Result;
  Result.m_Kind = MembershipMessage::Kind::Updates;
  auto Record = std::make_shared<InstanceRecord>(record(Name, InstanceRole::Agent, Number));
  Record->m_State = State;
  Result.m_Updates.push_back({Record->m_Id, Record->m_Incarnation, State, Record});
  return Result;
}

} // namespace

// Guards against messages that a peer cannot decode, and against crashes on corrupted bytes.
TEST_CASE("Membership messages can be decoded again and corrupted bytes are rejected") {
  MembershipMessage Message = updateMessage("a", 300, InstanceState::Leaving);
  Message.m_Updates.push_back({InstanceId("b"), Incarnation(4), InstanceState::Dead, nullptr});
  Message.m_Kind = MembershipMessage::Kind::HeartbeatAck;
  Message.m_LogEpoch = 1 << 24;
  Message.m_LogPosition = 77;
  Message.m_NeedsRecord = true;
  Message.m_SilenceReports.push_back({InstanceId("c"), milliseconds(1500)});
  Message.m_Buckets.assign(MembershipMessage::SyncBuckets, 0xfedcba98);
  Message.m_Attachment = "offer";
  std::string Bytes = Message.encode();
  auto Read = MembershipMessage::decode(Bytes);
  REQUIRE(Read);
  CHECK(Read->encode() == Bytes);
  CHECK(*Read->m_Updates[0].m_Record == *Message.m_Updates[0].m_Record);
  for (std::size_t Length = 0; Length < Bytes.size(); ++Length)
    CHECK_FALSE(MembershipMessage::decode(Bytes.substr(0, Length)));
  CHECK_FALSE(MembershipMessage::decode(Bytes + "x"));
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index)
    for (int Bit = 0; Bit < 8; ++Bit) {
      std::string Damaged = Bytes;
      Damaged[Index] = static_cast<char>(Damaged[Index] ^ (1 << Bit));
      MembershipMessage::decode(Damaged);
    }
}

// Guards against stale updates, such as those from a lagging list or from a peer with old state,
// that make a departed member live again.
TEST_CASE("Only a higher incarnation replaces a departure") {
  Membership View(record("self", InstanceRole::Entry, 1), {}, 1);
  TimePoint Now{};
  InstanceId Peer("peer");
  InstanceId Id("a");
  View.start(Now);
  View.onMessage(Peer, updateMessage("a", 5, InstanceState::Live), Now);
  CHECK(View.isRoutable(Id));
  View.onMessage(Peer, updateMessage("a", 5, InstanceState::Leaving), Now);
  CHECK_FALSE(View.isRoutable(Id));
  View.onMessage(Peer, updateMessage("a", 5, InstanceState::Live), Now);
  View.onMessage(Peer, updateMessage("a", 4, InstanceState::Live), Now);
  CHECK_FALSE(View.isRoutable(Id));
  View.onMessage(Peer, updateMessage("a", 6, InstanceState::Live), Now);
  CHECK(View.isRoutable(Id));
}

// Guards against a list that stays stale. It may mark a member as leaving once, but not again after
// the member refuted it, and it never adds a member.
TEST_CASE("The platform's list provides only departures and contact addresses") {
  Membership View(record("self", InstanceRole::Entry, 1), {}, 1);
  TimePoint Now{};
  View.start(Now);
  std::vector<PlatformListEntry> List{
      {InstanceId("a"), DataCentreId("caribe"), {"127.0.0.1", 7005}, false}};
  View.onPlatformList(List, Now);
  CHECK(View.find(InstanceId("a")) == nullptr);
  View.onMessage(InstanceId("a"), updateMessage("a", 5, InstanceState::Live), Now);
  List[0].m_Leaving = true;
  View.onPlatformList(List, Now);
  CHECK_FALSE(View.isRoutable(InstanceId("a")));
  View.onMessage(InstanceId("a"), updateMessage("a", 6, InstanceState::Live), Now);
  View.onPlatformList(List, Now);
  CHECK(View.isRoutable(InstanceId("a")));
}

// Guards against a process that stays dead in the views of others because its previous run had a
// higher incarnation, for example after its clock was set back.
TEST_CASE("A process adopts a higher incarnation than its previous run") {
  Membership View(record("self", InstanceRole::Entry, 10), {}, 1);
  View.start(TimePoint{});
  View.onMessage(InstanceId("peer"), updateMessage("self", 50, InstanceState::Dead), TimePoint{});
  CHECK(View.self().m_Incarnation == Incarnation(51));
  View.onMessage(InstanceId("peer"), updateMessage("self", 51, InstanceState::Suspect),
                 TimePoint{});
  CHECK(View.self().m_Incarnation == Incarnation(52));
  View.leave();
  View.onMessage(InstanceId("peer"), updateMessage("self", 53, InstanceState::Leaving),
                 TimePoint{});
  CHECK(View.self().m_State == InstanceState::Leaving);
}

// Guards against messages that grow with the number of changes in a mass failure.
TEST_CASE("Updates on many members are split into bounded messages") {
  Membership View(record("self", InstanceRole::Entry, 1), {}, 1);
  TimePoint Now{};
  View.start(Now);
  View.onMessage(InstanceId("peer"), updateMessage("peer", 1, InstanceState::Live), Now);
  auto Other = std::make_shared<InstanceRecord>(record("other", InstanceRole::Entry, 2));
  std::vector<std::shared_ptr<const InstanceRecord>> Records{Other};
  View.mergeRecords(Records, Now);
  for (int Index = 0; Index < 900; ++Index)
    View.onMessage(InstanceId("peer"),
                   updateMessage("m" + std::to_string(Index), 1, InstanceState::Live), Now);
  std::size_t Messages = 0;
  for (int Step = 0; Step < 10; ++Step) {
    Now += milliseconds(100);
    for (const auto &Action : View.onTimer(Now))
      if (const auto *Sent = std::get_if<Membership::Send>(&Action)) {
        ++Messages;
        CHECK(Sent->m_Message.m_Updates.size() <= MembershipMessage::MaxUpdates);
      }
  }
  CHECK(Messages < 60);
}

namespace {

/// Returns the state of the only member after this process was paused for 4 s.
InstanceState stateAfterOwnPause(Membership::Rules Rules) {
  Membership View(record("self", InstanceRole::Entry, 1), {}, 1, Rules);
  TimePoint Now{};
  View.start(Now);
  InstanceId Id("a");
  View.onMessage(Id, updateMessage("a", 5, InstanceState::Live), Now);
  for (int Step = 0; Step < 20; ++Step) {
    Now += milliseconds(200);
    View.onMessage(Id, updateMessage("a", 5, InstanceState::Live), Now);
    View.onTimer(Now);
  }
  Now += milliseconds(4000);
  View.onTimer(Now);
  Now += milliseconds(200);
  View.onTimer(Now);
  return View.find(Id)->m_State;
}

} // namespace

// Guards against a paused process that mistakes its own pause for the silence of other members.
TEST_CASE("A watcher compensates for its own pause") {
  CHECK(stateAfterOwnPause({}) == InstanceState::Live);
  Membership::Rules WithoutCompensation;
  WithoutCompensation.m_CompensateOwnPause = false;
  CHECK(stateAfterOwnPause(WithoutCompensation) == InstanceState::Suspect);
}

// Guards against a stale update that arrives after a dead member was removed.
TEST_CASE("Tombstones prevent stale updates from making a dead member live again") {
  for (bool KeepsTombstones : {true, false}) {
    Membership::Rules Rules;
    Rules.m_KeepTombstones = KeepsTombstones;
    Membership View(record("self", InstanceRole::Entry, 1), {}, 1, Rules);
    TimePoint Now{};
    View.start(Now);
    View.onMessage(InstanceId("peer"), updateMessage("a", 5, InstanceState::Live), Now);
    View.onMessage(InstanceId("peer"), updateMessage("a", 5, InstanceState::Dead), Now);
    Now += std::chrono::minutes(4);
    View.onTimer(Now);
    View.onMessage(InstanceId("peer"), updateMessage("a", 5, InstanceState::Live), Now);
    CHECK(View.isRoutable(InstanceId("a")) == !KeepsTombstones);
    Now += std::chrono::minutes(2);
    View.onTimer(Now);
    CHECK((View.find(InstanceId("a")) == nullptr) == KeepsTombstones);
  }
}

// Guards against an agent that keeps sending to the old addresses of entry instances that were all
// replaced at the same time. With real processes, such an agent was declared dead for over a
// minute.
TEST_CASE("A process without contact uses the addresses of the platform's list") {
  TimePoint Now{};
  Membership Agent(record("agent", InstanceRole::Agent, 1), {}, 7);
  Agent.start(Now);
  auto Entry = std::make_shared<InstanceRecord>(record("entry", InstanceRole::Entry, 2));
  MembershipMessage Announcement = updateMessage("entry", 2, InstanceState::Live);
  Announcement.m_Updates.front().m_Record = Entry;
  Agent.onMessage(Entry->m_Id, Announcement, Now);
  for (int Step = 0; Step < 20; ++Step) {
    Now += milliseconds(100);
    Agent.onTimer(Now);
  }
  REQUIRE(Agent.watchers() == std::vector<InstanceId>{Entry->m_Id});

  const Endpoint Replaced{"127.0.0.1", 9999};
  bool IsContacted = false;
  for (int Step = 0; Step < 100; ++Step) {
    Now += milliseconds(100);
    Agent.onPlatformList(
        std::vector<PlatformListEntry>{{Entry->m_Id, Entry->m_DataCentre, Replaced, false}}, Now);
    for (const Membership::Action &Action : Agent.onTimer(Now))
      if (const auto *Message = std::get_if<Membership::Send>(&Action))
        IsContacted = IsContacted || Message->m_Endpoint == Replaced;
  }
  CHECK(IsContacted);
}

// Guards against members that answer the probes of a restarted watcher at its old address. All of
// them were declared dead, and no upstream was available for up to 10 s.
TEST_CASE("The probe of a restarted process contains its new address") {
  TimePoint Now{};
  const InstanceId AgentId("agent");
  const InstanceId EntryId("entry");
  Membership Agent(record("agent", InstanceRole::Agent, 1), {}, 7);
  Agent.start(Now);
  MembershipMessage Before = updateMessage("entry", 2, InstanceState::Live);
  Before.m_Updates.front().m_Record =
      std::make_shared<InstanceRecord>(record("entry", InstanceRole::Entry, 2));
  Agent.onMessage(EntryId, Before, Now);

  const InstanceRecord Restarted = record("entry", InstanceRole::Entry, 3);
  Membership Entry(Restarted, {}, 8);
  Entry.start(Now);
  Entry.onMessage(InstanceId("peer"), updateMessage("agent", 1, InstanceState::Live), Now);
  bool IsAnswered = false;
  while (!IsAnswered && Now < TimePoint(Membership::SuspectAfter)) {
    Now += milliseconds(50);
    for (const Membership::Action &Sent : Entry.onTimer(Now)) {
      const auto *Probe = std::get_if<Membership::Send>(&Sent);
      if (!Probe || Probe->m_To != AgentId)
        continue;
      for (const Membership::Action &Answer : Agent.onMessage(EntryId, Probe->m_Message, Now))
        if (const auto *Back = std::get_if<Membership::Send>(&Answer))
          IsAnswered = IsAnswered || Back->m_Endpoint == Restarted.m_Endpoint;
    }
  }
  CHECK(IsAnswered);
}
