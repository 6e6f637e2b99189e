#include "Fescuegauge/ClientMemoryBudget.h"
#include "Fescuegauge/SharedBody.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

using Action = ClientMemoryBudget::Action;
using Admission = ClientMemoryBudget::Admission;

constexpr std::size_t Mega = 1 << 20;

/// A budget of 32 MiB with room for 20 MiB of large requests, and a time that the test advances.
class Fixture {
public:
  ClientConnectionNumber open() {
    const ClientConnectionNumber Number = m_Budget.add(m_Now);
    m_Budget.onReading(Number, m_Now);
    return Number;
  }
  Admission hold(ClientConnectionNumber Number, std::size_t Bytes) {
    return m_Budget.hold(Number, Bytes, Bytes, m_Now);
  }
  /// The only decision that is due.
  ClientMemoryBudget::Decision decision() {
    const auto Due = m_Budget.takeDecisions(m_Now);
    REQUIRE(Due.size() == 1);
    return Due[0];
  }

  ClientMemoryBudget m_Budget{ClientMemoryLimits::forProcess(64 * Mega, 400)};
  TimePoint m_Now{1h};
};

} // namespace

TEST_CASE("limits on clients follow from the memory and the descriptors of the process",
          "[gateway]") {
  const ClientMemoryLimits Small = ClientMemoryLimits::forProcess(64 * Mega, 400);
  CHECK(Small.m_Bytes == 32 * Mega);
  CHECK(Small.maxRequestBytes() == 20 * Mega);
  CHECK(Small.m_Connections == 90);
  // The fixed costs of connections stay within the part for small requests.
  CHECK(ClientMemoryLimits::forProcess(16 * Mega, 100'000).m_Connections == 256);
  CHECK(ClientMemoryLimits::forProcess(0, 0).m_Bytes == 128 * Mega);
}

// Guards against large requests that take the room of small ones, and against requests that wait
// for each other in the middle of their bodies.
TEST_CASE("large requests wait for a reservation and leave room for small ones", "[gateway]") {
  Fixture F;
  const auto First = F.open();
  CHECK(F.hold(First, 15 * Mega) == Admission::Granted);
  const auto Second = F.open();
  CHECK(F.hold(Second, 10 * Mega) == Admission::Wait);
  // A later one that would fit does not overtake.
  const auto Third = F.open();
  CHECK(F.hold(Third, 4 * Mega) == Admission::Wait);
  for (int I = 0; I < 50; ++I)
    CHECK(F.hold(F.open(), ClientMemoryBudget::SmallRequestBytes) == Admission::Granted);
  CHECK(F.m_Budget.takeDecisions(F.m_Now).empty());
  F.m_Budget.onServing(First, 4 * Mega);
  const auto Due = F.m_Budget.takeDecisions(F.m_Now);
  REQUIRE(Due.size() == 2);
  CHECK(Due[0].m_Connection == Second);
  CHECK(Due[1].m_Connection == Third);
  CHECK(F.hold(First, 21 * Mega) == Admission::Refused);
}

// Guards against a request that waits without bound, and against room that a stopped sender keeps.
TEST_CASE("requests without progress give up their room, the largest first", "[gateway]") {
  Fixture F;
  const auto Smaller = F.open();
  const auto Larger = F.open();
  CHECK(F.hold(Smaller, 8 * Mega) == Admission::Granted);
  CHECK(F.hold(Larger, 12 * Mega) == Admission::Granted);
  const auto Waiting = F.open();
  CHECK(F.hold(Waiting, 5 * Mega) == Admission::Wait);
  F.m_Now += ClientMemoryBudget::StallTime - 1ms;
  CHECK(F.m_Budget.takeDecisions(F.m_Now).empty());
  F.m_Now += 1ms;
  const auto Due = F.m_Budget.takeDecisions(F.m_Now);
  REQUIRE(Due.size() == 2);
  CHECK(Due[0].m_Connection == Larger);
  CHECK(Due[0].m_Action == Action::EndStalled);
  CHECK(Due[1].m_Connection == Waiting);
  CHECK(Due[1].m_Action == Action::Resume);
}

// Guards against a trickle of bytes that counts as progress.
TEST_CASE("a wait ends with a refusal unless requests without progress give room", "[gateway]") {
  Fixture F;
  const auto Holder = F.open();
  CHECK(F.hold(Holder, 20 * Mega) == Admission::Granted);
  const auto Waiting = F.open();
  CHECK(F.hold(Waiting, 5 * Mega) == Admission::Wait);
  F.m_Now += ClientMemoryBudget::StallTime - 1ms;
  const bool Trickles = GENERATE(false, true);
  F.m_Budget.onBytes(Holder, Trickles ? 1 : ClientMemoryBudget::MinProgressBytes, F.m_Now);
  F.m_Now += ClientMemoryBudget::MaxWait - ClientMemoryBudget::StallTime + 1ms;
  if (Trickles) {
    CHECK(F.m_Budget.takeDecisions(F.m_Now).size() == 2);
  } else {
    const auto Due = F.decision();
    CHECK(Due.m_Connection == Waiting);
    CHECK(Due.m_Action == Action::Refuse);
  }
}

// Guards against more waiting connections, whose bytes the kernel holds, than the budget allows.
TEST_CASE("the number of waiting connections is bounded", "[gateway]") {
  Fixture F;
  CHECK(F.hold(F.open(), 20 * Mega) == Admission::Granted);
  const std::size_t Most = F.m_Budget.limits().m_UnreadBytes / ClientMemoryBudget::UnreadBytes;
  for (std::size_t I = 0; I < Most; ++I)
    CHECK(F.hold(F.open(), Mega) == Admission::Wait);
  CHECK(F.hold(F.open(), Mega) == Admission::Refused);
}

// Guards against idle connections that keep new clients out, and against closing a connection whose
// request runs.
TEST_CASE("beyond the limit the longest idle connection is closed", "[gateway]") {
  Fixture F;
  const auto Served = F.open();
  F.m_Budget.onServing(Served, 1000);
  const auto Idle = F.m_Budget.add(F.m_Now);
  while (F.m_Budget.connections() < F.m_Budget.limits().m_Connections) {
    F.m_Now += 1ms;
    F.m_Budget.add(F.m_Now);
  }
  CHECK_FALSE(F.m_Budget.takeExcess(F.m_Now));
  F.m_Budget.add(F.m_Now);
  const auto Excess = F.m_Budget.takeExcess(F.m_Now);
  REQUIRE(Excess);
  CHECK(Excess->m_Connection == Idle);
  CHECK_FALSE(F.m_Budget.takeExcess(F.m_Now));
  F.m_Budget.remove(Idle);
  CHECK_FALSE(F.m_Budget.takeExcess(F.m_Now));
}

// Guards against responses in progress that find no room because new requests have taken it.
TEST_CASE("requests leave room for the responses in progress", "[gateway]") {
  const bool HasLarge = GENERATE(false, true);
  Fixture F;
  if (HasLarge)
    CHECK(F.hold(F.open(), 20 * Mega) == Admission::Granted);
  ClientConnectionNumber Last = F.open();
  while (F.hold(Last, ClientMemoryBudget::SmallRequestBytes) == Admission::Granted)
    Last = F.open();
  // The fixed costs of further connections do not use it either.
  for (int I = 0; I < 100; ++I)
    F.m_Budget.add(F.m_Now);
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, 0, 3 * Mega));
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, 3 * Mega, 4 * Mega));
  CHECK_FALSE(F.m_Budget.resizeResponse(ResponsePart::Event, 4 * Mega, 5 * Mega));
  CHECK(F.m_Budget.responseBytes() == 4 * Mega);
  CHECK(F.m_Budget.takeDecisions(F.m_Now).empty());
}

// Guards against streams that are cut because responses which are held back until they are whole
// have taken their room.
TEST_CASE("whole responses leave room for events", "[gateway]") {
  Fixture F;
  const auto FillWithRequests = [&] {
    ClientConnectionNumber Last = F.open();
    while (F.hold(Last, ClientMemoryBudget::SmallRequestBytes) == Admission::Granted)
      Last = F.open();
  };
  const bool AreRequestsFirst = GENERATE(false, true);
  if (AreRequestsFirst)
    FillWithRequests();
  std::size_t Held = 0;
  constexpr std::size_t Step = 64 << 10;
  while (F.m_Budget.resizeResponse(ResponsePart::Whole, Held, Held + Step))
    Held += Step;
  if (AreRequestsFirst)
    CHECK(Held == 2 * Mega);
  else
    CHECK(Held > 20 * Mega);
  if (!AreRequestsFirst)
    FillWithRequests();
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, 0, 2 * Mega));
  CHECK_FALSE(F.m_Budget.resizeResponse(ResponsePart::Event, 2 * Mega, 3 * Mega));
  CHECK(F.m_Budget.responseBytes() == Held + 2 * Mega);
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Whole, Held, 0));
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, 2 * Mega, 3 * Mega));
}

// Guards against room that is not returned.
TEST_CASE("a connection that ends returns all that it held", "[gateway]") {
  Fixture F;
  const auto First = F.open();
  CHECK(F.hold(First, 20 * Mega) == Admission::Granted);
  const auto Second = F.open();
  CHECK(F.hold(Second, Mega) == Admission::Wait);
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, 0, Mega));
  CHECK_FALSE(F.m_Budget.resizeResponse(ResponsePart::Event, Mega, 20 * Mega));
  CHECK(F.m_Budget.responseBytes() == Mega);
  CHECK(F.m_Budget.resizeResponse(ResponsePart::Event, Mega, 0));
  F.m_Budget.remove(First);
  F.m_Budget.remove(Second);
  CHECK(F.m_Budget.largeBytes() + F.m_Budget.smallBytes() == 0);
  CHECK_FALSE(F.m_Budget.hasWaiting());
}

TEST_CASE("a body has a maximum pause and a minimum rate", "[gateway]") {
  const TimePoint Start{1h};
  BodyProgress Stopped(Start);
  CHECK(Stopped.deadline() == Start + BodyProgress::MaxPause);
  Stopped.onNotRead(1s);
  CHECK(Stopped.deadline() == Start + 1s + BodyProgress::MaxPause);
  BodyProgress Trickling(Start);
  for (int I = 1; I <= 6; ++I)
    Trickling.onBytes(1, Start + I * 1s);
  CHECK(Trickling.deadline() < Start + BodyProgress::Grace + 1ms);
  BodyProgress Fast(Start);
  Fast.onBytes(4 * Mega, Start + 6s);
  CHECK(Fast.deadline() == Start + 10s);
}

// Guards against memory that is not accounted for, such as that of growth by doubling.
TEST_CASE("the bytes of a body take at most twice their size", "[gateway]") {
  for (const std::size_t Piece : {std::size_t(1), std::size_t(600), std::size_t(100'000)}) {
    BodyBytes Body;
    std::string Expected;
    for (int I = 0; I < 300; ++I) {
      const std::string Part(Piece, static_cast<char>('a' + I % 26));
      Body.append(Part);
      Expected += Part;
      CHECK(Body.capacity() <= std::max<std::size_t>(2 * Body.size(), 64));
    }
    std::string Joined;
    for (const std::string &Each : Body.segments())
      Joined += Each;
    CHECK((Joined == Expected && Body.size() == Expected.size()));
  }
}
