#include "AnswerQueue.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace std::chrono_literals;

namespace {

DeliverFragment fragment(std::size_t Size) {
  DeliverFragment Result;
  Result.m_Data = std::string(Size, 'x');
  return Result;
}

} // namespace

// Guards against aborting the whole answer of a plain service, which is one fragment, because it is
// larger than the queue.
TEST_CASE("a large answer in one fragment is delivered", "[path]") {
  AnswerQueue Answers;
  Answers.pushFragment(fragment(2 * AnswerQueue::MaxQueuedBytes), {});
  auto Whole = Answers.pop(0ms);
  REQUIRE(Whole);
  CHECK_FALSE(Whole->m_HasOverflowed);
  CHECK(Whole->m_Data.size() == 2 * AnswerQueue::MaxQueuedBytes);
}

// Guards against a slow caller whose answer takes up memory without a limit.
TEST_CASE("the answer of a slow caller is aborted above the limit", "[path]") {
  AnswerQueue Answers;
  Answers.pushFragment(fragment(AnswerQueue::MaxQueuedBytes - 1), {});
  Answers.pushFragment(fragment(1), {});
  Answers.pushFragment(fragment(1), {});
  Answers.pushFragment(fragment(1), {});
  CHECK_FALSE(Answers.pop(0ms)->m_HasOverflowed);
  CHECK_FALSE(Answers.pop(0ms)->m_HasOverflowed);
  CHECK(Answers.pop(0ms)->m_HasOverflowed);
  CHECK_FALSE(Answers.pop(0ms));
}
