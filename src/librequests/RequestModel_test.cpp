#include "Fescuegauge/Invariant.h"
#include "SimulatedDeployment.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace fescuegauge::model;

namespace {

constexpr std::uint64_t FirstSeed = 1;
/// Runs that broke a rule before it was corrected: an account was handed over after the row of an
/// open claim had been deleted (the first three); an answer to an earlier process of an entry was
/// taken for a grant (the last).
constexpr std::uint64_t RegressionSeeds[] = {10024, 10536, 10557, 11739};

struct MutantCase {
  const char *m_Name;
  Mutant m_Variant;
  /// The count that must not stay zero.
  std::uint64_t RunResult::*m_Caught;
};

constexpr MutantCase MutantCases[] = {
    {"no claim", Mutant::NoClaim, &RunResult::m_Duplicates},
    {"no condition on the claim row", Mutant::NoClaimCondition, &RunResult::m_Duplicates},
    {"taking a claim over", Mutant::TakeOver, &RunResult::m_Duplicates},
    {"no read-back", Mutant::NoReadBack, &RunResult::m_Duplicates},
    {"no owner condition", Mutant::NoOwnerCondition, &RunResult::m_OutsideOwner},
    {"no epoch condition", Mutant::NoEpochCondition, &RunResult::m_Duplicates},
    {"running a late copy", Mutant::RunLateCopy, &RunResult::m_AttemptsRunTwice},
    {"not run after a lost connection", Mutant::NotRunOnLoss, &RunResult::m_FalseNotRun},
    {"any offset", Mutant::AnyOffset, &RunResult::m_WrongAnswers},
    {"blaming everyone", Mutant::BlameEveryone, &RunResult::m_InnocentsBlamed},
};

} // namespace

// Guards against a second run of claimed work, a false "not run", a wrong or missing answer, work
// in a generation that does not own the account, and blame of innocent requests, under kills,
// pauses, cut connections, table outages, lost and late messages, and callers that repeat.
TEST_CASE("no rule is broken in randomised runs with faults", "[random]") {
  Invariant::resetCounters();
  std::uint64_t LateCopies = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t ResolvedLater = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t Handovers = 0;
  std::uint64_t Worst = 0;
  std::vector<std::uint64_t> Seeds(std::begin(RegressionSeeds), std::end(RegressionSeeds));
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 100; ++Seed)
    Seeds.push_back(Seed);
  for (std::uint64_t Seed : Seeds) {
    INFO("seed " << Seed);
    RunResult Result = SimulatedDeployment(Seed, {}).run();
    CHECK(Result.m_Duplicates == 0);
    CHECK(Result.m_FalseNotRun == 0);
    CHECK(Result.m_WrongAnswers == 0);
    CHECK(Result.m_WrongOutcomeCount == 0);
    CHECK(Result.m_OutsideOwner == 0);
    CHECK(Result.m_AttemptsRunTwice == 0);
    CHECK(Result.m_UnbalancedReleases == 0);
    CHECK(Result.m_InnocentsBlamed == 0);
    LateCopies += Result.m_LateCopiesRefused;
    Dropped += Result.m_FragmentsDropped;
    ResolvedLater += Result.m_ResolvedLater;
    Repeats += Result.m_RepeatsAnswered;
    Handovers += Result.m_Handovers;
    Worst = std::max(Worst, Result.m_WorstCrashes);
  }
  for (const Invariant *Rule : Invariant::all()) {
    INFO(Rule->name());
    CHECK(Rule->evaluations() > 0);
    CHECK(Rule->violations() == 0);
  }
  // A run in which these never happened would prove nothing about them.
  CHECK(LateCopies > 0);
  CHECK(Dropped > 0);
  CHECK(ResolvedLater > 0);
  CHECK(Repeats > 0);
  CHECK(Handovers > 0);
  CHECK(Worst >= CrashSuspects::CrashesToQuarantine);
}

// Guards against a key that nobody ever ran and that stays unknown after its entry gave up.
TEST_CASE("a key that was never dispatched does not stay unknown", "[random]") {
  Faults NoKills;
  NoKills.m_Kills = false;
  std::uint64_t Stuck = 0;
  std::uint64_t WithoutWithdrawal = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 20; ++Seed) {
    Stuck += SimulatedDeployment(Seed, NoKills).run().m_StuckKeys;
    WithoutWithdrawal += SimulatedDeployment(Seed, NoKills, Mutant::NoWithdrawal).run().m_StuckKeys;
  }
  CHECK(Stuck == 0);
  CHECK(WithoutWithdrawal > 0);
}

// Guards against a request that takes down one upstream after another.
TEST_CASE("a request that crashes upstreams is refused after the second in a healthy data centre",
          "[random]") {
  Faults OnlyPoison{false, false, false, false, false, true, false};
  std::uint64_t Worst = 0;
  std::uint64_t WithoutBlame = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 20; ++Seed) {
    RunResult Result = SimulatedDeployment(Seed, OnlyPoison).run();
    CHECK(Result.m_InnocentsBlamed == 0);
    Worst = std::max(Worst, Result.m_WorstCrashes);
    WithoutBlame =
        std::max(WithoutBlame,
                 SimulatedDeployment(Seed, OnlyPoison, Mutant::BlameNobody).run().m_WorstCrashes);
  }
  CHECK(Worst == CrashSuspects::CrashesToQuarantine);
  CHECK(WithoutBlame > CrashSuspects::CrashesToQuarantine);
}

// Guards against checks that would not notice the absence of a rule.
TEST_CASE("every mutant is caught", "[random]") {
  Invariant::setReporter([](std::string_view, std::string_view) {});
  for (const MutantCase &Case : MutantCases) {
    INFO(Case.m_Name);
    std::uint64_t Caught = 0;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 60 && Caught == 0; ++Seed)
      Caught += SimulatedDeployment(Seed, {}, Case.m_Variant).run().*Case.m_Caught;
    CHECK(Caught > 0);
  }
  Invariant::setReporter({});
}

// Guards against runs that differ between repetitions of one seed.
TEST_CASE("a run is reproducible", "[random]") {
  RunResult First = SimulatedDeployment(7, {}).run();
  RunResult Second = SimulatedDeployment(7, {}).run();
  CHECK(First.m_Requests == Second.m_Requests);
  CHECK(First.m_Transactions == Second.m_Transactions);
  CHECK(First.m_Outcomes == Second.m_Outcomes);
}
