#include "Fescuegauge/TableNews.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

constexpr Duration Bound = 2s;
constexpr auto GraceEnd = 250ms;
constexpr auto StaleEnd = 1100ms;

TimePoint at(Duration Time) { return TimePoint(100s + Time); }

Endpoint instance(int Number) { return {"10.0.0." + std::to_string(10 + Number), 80}; }

/// What an instance in touch tells.
TableState told(std::uint64_t Change, Duration Age = 0s) {
  return {"op", RowVersion(Change), Age, true, false, false};
}

/// An instance at place `Self` that knows change 5 since the time 0.
TableNews newsOf(int Self) {
  TableNews News(instance(Self), Bound, 1);
  News.onKnown(RowVersion(5), RowVersion(7), at(0s));
  return News;
}

using Kind = TableNews::Step::Kind;

} // namespace

// Guards against a second copy of each change while all is well, and against a change that never
// comes from the own source.
TEST_CASE("an instance with a newer change is asked only if the own source does not bring it",
          "[dispatch]") {
  TableNews News = newsOf(3);
  News.onTold(instance(1), true, told(8), at(10ms));
  CHECK(News.next(true, at(50ms)).m_Kind == Kind::Wait);
  SECTION("the source brings it") {
    News.onKnown(RowVersion(8), RowVersion(9), at(100ms));
    CHECK(News.next(true, at(GraceEnd)).m_Kind == Kind::Wait);
  }
  SECTION("the source does not bring it") {
    const TableNews::Step Next = News.next(true, at(GraceEnd));
    CHECK(Next.m_Kind == Kind::AskInstance);
    CHECK(Next.m_Instance == instance(1));
    // One that does not answer is not asked again at once.
    News.onFailure(instance(1), at(GraceEnd));
    CHECK(News.next(true, at(GraceEnd + 50ms)).m_Kind == Kind::Wait);
    CHECK(News.next(true, at(GraceEnd + TableNews::FailurePause)).m_Kind == Kind::AskInstance);
  }
  SECTION("the source is lost") { CHECK(News.next(false, at(50ms)).m_Kind == Kind::AskInstance); }
}

TEST_CASE("an instance of the own data centre with the newest change is asked", "[dispatch]") {
  TableNews News = newsOf(3);
  News.onTold(instance(1), true, told(8), at(0ms));
  News.onTold(instance(2), false, told(9), at(0ms));
  News.onTold(instance(4), true, told(9), at(0ms));
  CHECK(News.next(true, at(GraceEnd)).m_Instance == instance(4));
  // What was told long ago says nothing any more.
  CHECK(News.next(false, at(TableNews::Lifetime + 1ms)).m_Kind == Kind::Wait);
}

// Guards against followers of a source that is cut off in silence and confirms nothing.
TEST_CASE("the store is asked when nobody confirms the table", "[dispatch]") {
  TableNews News = newsOf(0);
  CHECK(News.next(true, at(900ms)).m_Kind == Kind::Wait);
  SECTION("nobody confirms it") {
    CHECK(News.next(true, at(StaleEnd)).m_Kind == Kind::AskStore);
    CHECK(News.next(true, at(StaleEnd + 50ms)).m_Kind == Kind::Wait);
  }
  SECTION("another instance confirms it") {
    News.onTold(instance(1), true, told(5, 100ms), at(900ms));
    CHECK(News.next(true, at(StaleEnd)).m_Kind == Kind::Wait);
  }
  SECTION("an instance that knows less confirms nothing") {
    News.onTold(instance(1), true, told(4), at(900ms));
    CHECK(News.next(true, at(StaleEnd)).m_Kind == Kind::AskStore);
  }
}

// Guards against all instances of a data centre that read a large plan over the same link at once.
TEST_CASE("instances ask the store in turn, and a few at a time", "[dispatch]") {
  TableNews News = newsOf(3);
  for (int I : {0, 1, 2, 4, 5})
    News.onTold(instance(I), true, told(5, StaleEnd), at(StaleEnd));
  CHECK(News.next(true, at(StaleEnd)).m_Kind == Kind::Wait);
  SECTION("those before it have their turns first") {
    CHECK(News.next(true, at(StaleEnd + 200ms)).m_Kind == Kind::Wait);
    CHECK(News.next(true, at(StaleEnd + 350ms)).m_Kind == Kind::AskStore);
  }
  SECTION("two others ask") {
    for (int I : {0, 2}) {
      TableState Asking = told(5, StaleEnd);
      Asking.m_AsksStore = true;
      News.onTold(instance(I), true, Asking, at(StaleEnd + 50ms));
    }
    CHECK(News.next(true, at(StaleEnd + 350ms)).m_Kind == Kind::Wait);
    // They ask for so long that they may be cut off.
    for (int I : {0, 2}) {
      TableState Asking = told(5, StaleEnd);
      Asking.m_AsksStore = true;
      News.onTold(instance(I), true, Asking, at(StaleEnd + 1200ms));
    }
    CHECK(News.next(true, at(StaleEnd + 1300ms)).m_Kind == Kind::AskStore);
  }
}

// Guards against DRAIN: two late instances that asked the store kept the first one from asking, so
// that all others had nobody in touch to follow and took turns at the store.
TEST_CASE("instances after it that ask the store keep the first one from asking", "[dispatch]") {
  TableNews News = newsOf(0);
  for (int I : {4, 5}) {
    TableState Asking = told(5);
    Asking.m_AsksStore = true;
    News.onTold(instance(I), true, Asking, at(0s));
  }
  CHECK(News.mayAskStore(at(100ms)));
  TableNews Last = newsOf(6);
  for (int I : {4, 5}) {
    TableState Asking = told(5);
    Asking.m_AsksStore = true;
    Last.onTold(instance(I), true, Asking, at(0s));
  }
  CHECK_FALSE(Last.mayAskStore(at(100ms)));
}

// Guards against waits at an instance that has lost the store, is frozen, or only seems to know it.
TEST_CASE("instances that are in touch are told from those that are not", "[dispatch]") {
  using Freshness = TableNews::Freshness;
  TableNews News = newsOf(3);
  CHECK(News.freshness(instance(1), at(0s)) == Freshness::Unknown);
  News.onTold(instance(1), true, told(5, 100ms), at(0s));
  CHECK(News.freshness(instance(1), at(0s)) == Freshness::Fresh);
  CHECK(News.freshness(instance(1), at(950ms)) == Freshness::Stale);
  News.onTold(instance(1), true, told(5), at(1s));
  CHECK(News.freshness(instance(1), at(1s)) == Freshness::Fresh);
  TableState Lost = told(5);
  Lost.m_IsInTouch = false;
  News.onTold(instance(1), true, Lost, at(1s));
  CHECK(News.freshness(instance(1), at(1s)) == Freshness::Stale);
}
