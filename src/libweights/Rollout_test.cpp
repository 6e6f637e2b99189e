#include "RolloutDriver.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace fescuegauge;
using namespace fescuegauge::driver;
using namespace std::chrono_literals;

namespace {

/// Violations that policies found themselves; the driver's own are counted there.
std::uint64_t violationsOf(std::string_view Prefix) {
  std::uint64_t Result = 0;
  for (const Invariant *Rule : Invariant::all())
    if (Rule->name().starts_with(Prefix))
      Result += Rule->violations();
  return Result;
}

std::uint64_t seedCount(std::uint64_t Default) {
  const char *Text = std::getenv("FESCUEGAUGE_SEEDS");
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

} // namespace

// Guards against any combination of faults that breaks a promise of section 7 of the design or
// leaves an instance on an old version for good.
TEST_CASE("a rollout survives random faults", "[random]") {
  Invariant::resetCounters();
  const std::uint64_t Seeds = seedCount(300);
  std::uint64_t Bad = 0;
  double WorstCopies = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds && Bad < 10; ++Seed) {
    FaultRun Run = runWithFaults({}, Seed);
    WorstCopies = std::max(WorstCopies, Run.m_WorstOriginCopies);
    if (!Run.m_Converged || Run.m_Violations != 0) {
      ++Bad;
      UNSCOPED_INFO("seed " << Seed << ": " << Run.m_FirstViolation << '\n' << Run.m_Pending);
    }
  }
  CHECK(Bad == 0);
  CHECK(violationsOf("") == 0);
  CHECK(WorstCopies <= 4.0);
  // A rule that is never evaluated is not tested by these runs.
  for (const Invariant *Rule : Invariant::all())
    if (Rule->name().starts_with("weights.") || Rule->name().starts_with("driver.")) {
      INFO(Rule->name());
      CHECK(Rule->evaluations() > 0);
    }
}
