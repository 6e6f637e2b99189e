#include "RolloutDriver.h"

#include <catch2/catch.hpp>
#include <cstdlib>

using namespace fescuegauge;
using namespace fescuegauge::driver;
using namespace std::chrono_literals;

namespace {

/// Violations of invariants with the given name prefix.
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

// Guards against combinations of faults that violate an invariant of rollouts (section 7 of the
// design) or leave an instance on an old version permanently.
TEST_CASE("a rollout survives random faults", "[random]") {
  Invariant::resetCounters();
  const std::uint64_t Seeds = seedCount(300);
  std::uint64_t Failures = 0;
  double WorstCopies = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds && Failures < 10; ++Seed) {
    FaultRun Run = runWithFaults({}, Seed);
    WorstCopies = std::max(WorstCopies, Run.m_WorstOriginCopies);
    if (!Run.m_Converged || Run.m_Violations != 0) {
      ++Failures;
      UNSCOPED_INFO("seed " << Seed << ": " << Run.m_FirstViolation << '\n' << Run.m_Pending);
    }
  }
  CHECK(Failures == 0);
  CHECK(violationsOf("") == 0);
  CHECK(WorstCopies <= 4.0);
  // An invariant that is never evaluated is not tested by these runs.
  for (const Invariant *Rule : Invariant::all())
    if (Rule->name().starts_with("weights.") || Rule->name().starts_with("driver.")) {
      INFO(Rule->name());
      CHECK(Rule->evaluations() > 0);
    }
}

namespace {

struct Mutant {
  std::string m_Name;
  std::function<void(DriverSettings &)> m_Apply;
};

/// The first seed whose run fails without the rule; 0 if none does.
std::uint64_t firstFailingSeed(const Mutant &Broken, std::uint64_t Seeds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Invariant::resetCounters();
    DriverSettings Settings;
    Broken.m_Apply(Settings);
    FaultRun Run = runWithFaults(Settings, Seed);
    if (!Run.m_Converged || Run.m_Violations != 0 || violationsOf("weights.") != 0)
      return Seed;
  }
  return 0;
}

} // namespace

// Guards against random runs that do not detect a missing rule. Rules whose absence costs bytes or
// time rather than safety are covered by other test cases.
TEST_CASE("random faults reveal each missing rule", "[random]") {
  Invariant::setReporter([](std::string_view, std::string_view) {});
  const std::vector<Mutant> Mutants = {
      {"verify chunks", [](DriverSettings &S) { S.m_TransferRules.m_VerifyChunks = false; }},
      {"spend grants", [](DriverSettings &S) { S.m_TransferRules.m_SpendGrants = false; }},
      {"ignore older order",
       [](DriverSettings &S) {
         S.m_TransferRules.m_IgnoreOlderChange = false;
         S.m_ActivationRules.m_IgnoreOlderChange = false;
       }},
      {"cancel old transfer",
       [](DriverSettings &S) { S.m_TransferRules.m_CancelOldTransfer = false; }},
      {"take over imports", [](DriverSettings &S) { S.m_TransferRules.m_TakeOver = false; }},
      {"extend slow imports",
       [](DriverSettings &S) { S.m_TransferRules.m_ExtendSlowImports = false; }},
      {"time out fetches", [](DriverSettings &S) { S.m_TransferRules.m_TimeOut = false; }},
      {"conditional grant", [](DriverSettings &S) { S.m_BudgetRules.m_ConditionalWrite = false; }},
      {"resolve lost response",
       [](DriverSettings &S) { S.m_BudgetRules.m_ResolveLostResponse = false; }},
      {"protect served chunks",
       [](DriverSettings &S) { S.m_StagingRules.m_ProtectServed = false; }},
      {"verify staging", [](DriverSettings &S) { S.m_ActivationRules.m_VerifyStaging = false; }},
      {"drain first", [](DriverSettings &S) { S.m_ActivationRules.m_DrainFirst = false; }},
      {"read back before routing",
       [](DriverSettings &S) { S.m_ActivationRules.m_ReadBackBeforeRouting = false; }},
      {"exclude unavailable upstreams",
       [](DriverSettings &S) { S.m_ReplacementRules.m_ExcludeUnavailable = false; }},
      {"rank waiting", [](DriverSettings &S) { S.m_ReplacementRules.m_RankWaiting = false; }},
  };
  for (const Mutant &Broken : Mutants) {
    INFO(Broken.m_Name);
    const std::uint64_t Seed = firstFailingSeed(Broken, 300);
    CHECK(Seed != 0);
  }
  Invariant::setReporter({});
  Invariant::resetCounters();
}
