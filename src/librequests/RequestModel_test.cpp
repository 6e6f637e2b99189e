#include "Fescuegauge/Invariant.h"
#include "SimulatedDeployment.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;
using namespace fescuegauge::model;

namespace {

constexpr std::uint64_t FirstSeed = 1;
/// Seeds of earlier failures. In the first three, an account was handed over after the row of an
/// open claim had been deleted. In the last, a result for an earlier process of an entry was
/// accepted as a grant.
constexpr std::uint64_t RegressionSeeds[] = {10024, 10536, 10557, 11739};

struct MutantCase {
  const char *m_Name;
  Mutant m_Variant;
  /// The counter that must become nonzero.
  std::uint64_t RunResult::*m_Counter;
};

constexpr MutantCase MutantCases[] = {
    {"no claim", Mutant::NoClaim, &RunResult::m_Duplicates},
    {"no condition on the claim row", Mutant::NoClaimCondition, &RunResult::m_Duplicates},
    {"replacing a foreign claim", Mutant::ReplaceForeignClaim, &RunResult::m_Duplicates},
    {"no read-back", Mutant::NoReadBack, &RunResult::m_Duplicates},
    {"no owner condition", Mutant::NoOwnerCondition, &RunResult::m_WrongGenerationDispatches},
    {"no epoch condition", Mutant::NoEpochCondition, &RunResult::m_Duplicates},
    {"running late copies", Mutant::RunLateCopies, &RunResult::m_AttemptsRunTwice},
    {"not run after a lost connection", Mutant::NotRunOnLoss, &RunResult::m_FalseNotRun},
    {"ignoring offsets", Mutant::IgnoreOffset, &RunResult::m_WrongAnswers},
    {"quarantining every request", Mutant::QuarantineAll, &RunResult::m_FalseQuarantines},
};

} // namespace

// Guards against running a claimed request twice, a false "not run", a wrong or missing answer, a
// dispatch in a generation that does not own the account, and the quarantine of harmless requests,
// under kills, pauses, cut connections, table outages, lost and late messages, and repeated
// requests.
TEST_CASE("no invariant is violated in randomised runs with faults", "[random]") {
  Invariant::resetCounters();
  std::uint64_t LateCopies = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t ResolvedLater = 0;
  std::uint64_t SecondAttempts = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t Handovers = 0;
  std::uint64_t MaxCrashes = 0;
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
    CHECK(Result.m_WrongGenerationDispatches == 0);
    CHECK(Result.m_AttemptsRunTwice == 0);
    CHECK(Result.m_UnbalancedReleases == 0);
    CHECK(Result.m_FalseQuarantines == 0);
    LateCopies += Result.m_LateCopiesRefused;
    Dropped += Result.m_FragmentsDropped;
    ResolvedLater += Result.m_ResolvedLater;
    SecondAttempts += Result.m_SecondAttempts;
    Repeats += Result.m_RepeatsAnswered;
    Handovers += Result.m_Handovers;
    MaxCrashes = std::max(MaxCrashes, Result.m_MaxCrashesPerRequest);
  }
  for (const Invariant *Checked : Invariant::all()) {
    INFO(Checked->name());
    CHECK(Checked->evaluations() > 0);
    CHECK(Checked->violations() == 0);
  }
  // The runs test these cases only if they occur.
  CHECK(LateCopies > 0);
  CHECK(Dropped > 0);
  CHECK(ResolvedLater > 0);
  CHECK(SecondAttempts > 0);
  CHECK(Repeats > 0);
  CHECK(Handovers > 0);
  CHECK(MaxCrashes >= CrashSuspects::CrashesToQuarantine);
}

// Guards against a key that stays unknown although none of its requests was dispatched, because the
// entry did not withdraw its claim.
TEST_CASE("a key that was never dispatched does not stay unknown", "[random]") {
  Faults NoKills;
  NoKills.m_Kills = false;
  std::uint64_t UnresolvedKeys = 0;
  std::uint64_t WithoutWithdrawal = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 20; ++Seed) {
    UnresolvedKeys += SimulatedDeployment(Seed, NoKills).run().m_UnresolvedKeys;
    WithoutWithdrawal +=
        SimulatedDeployment(Seed, NoKills, Mutant::NoWithdrawal).run().m_UnresolvedKeys;
  }
  CHECK(UnresolvedKeys == 0);
  CHECK(WithoutWithdrawal > 0);
}

// Guards against a request that crashes one upstream after another.
TEST_CASE("a request that crashes upstreams is refused after the second in a healthy data centre",
          "[random]") {
  Faults OnlyPoison{false, false, false, false, false, true, false};
  std::uint64_t MaxCrashes = 0;
  std::uint64_t WithoutQuarantine = 0;
  for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 20; ++Seed) {
    RunResult Result = SimulatedDeployment(Seed, OnlyPoison).run();
    CHECK(Result.m_FalseQuarantines == 0);
    MaxCrashes = std::max(MaxCrashes, Result.m_MaxCrashesPerRequest);
    WithoutQuarantine = std::max(
        WithoutQuarantine,
        SimulatedDeployment(Seed, OnlyPoison, Mutant::QuarantineNone).run().m_MaxCrashesPerRequest);
  }
  CHECK(MaxCrashes == CrashSuspects::CrashesToQuarantine);
  CHECK(WithoutQuarantine > CrashSuspects::CrashesToQuarantine);
}

// Guards against checks that do not detect the absence of a rule.
TEST_CASE("every mutant is detected", "[random]") {
  Invariant::setReporter([](std::string_view, std::string_view) {});
  for (const MutantCase &Case : MutantCases) {
    INFO(Case.m_Name);
    std::uint64_t Detected = 0;
    for (std::uint64_t Seed = FirstSeed; Seed < FirstSeed + 60 && Detected == 0; ++Seed)
      Detected += SimulatedDeployment(Seed, {}, Case.m_Variant).run().*Case.m_Counter;
    CHECK(Detected > 0);
  }
  Invariant::setReporter({});
}

// Guards against runs with the same seed that differ.
TEST_CASE("a run is reproducible", "[random]") {
  RunResult First = SimulatedDeployment(7, {}).run();
  RunResult Second = SimulatedDeployment(7, {}).run();
  CHECK(First.m_Requests == Second.m_Requests);
  CHECK(First.m_Transactions == Second.m_Transactions);
  CHECK(First.m_Outcomes == Second.m_Outcomes);
}
