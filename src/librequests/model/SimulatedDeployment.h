#ifndef FESCUEGAUGE_REQUESTS_MODEL_SIMULATEDDEPLOYMENT_H
#define FESCUEGAUGE_REQUESTS_MODEL_SIMULATEDDEPLOYMENT_H

#include "Fescuegauge/RequestLifecycle.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace fescuegauge::model {

/// A variant of the system that lacks one rule. The rule is disabled at the edge of the decision
/// classes, in what they are told or in what is done with their actions.
enum class Mutant {
  None,
  /// Non-idempotent work is dispatched without a claim.
  NoClaim,
  /// Claims are written without the condition on the claim row.
  NoClaimCondition,
  /// A claim held by another request is treated as free.
  TakeOver,
  /// A write whose answer was lost is taken for committed.
  NoReadBack,
  /// Claims are written without the condition on the owner row.
  NoOwnerCondition,
  /// Claims are written without the condition on the oldest epoch.
  NoEpochCondition,
  /// An entry that gives up does not write `notRun`.
  NoWithdrawal,
  /// The agent runs every copy of an attempt that arrives.
  RunLateCopy,
  /// Attempts on a connection that failed are taken for not sent.
  NotRunOnLoss,
  /// The offset of a fragment is ignored.
  AnyOffset,
  /// Every request on a lost upstream is blamed at the first loss.
  BlameEveryone,
  /// Nobody is blamed.
  BlameNobody,
  /// Alternative designs that keep claims in the memory of a process: the batcher of the data
  /// centre, or the agent that runs the request. When it dies, its claims are forgotten, or all of
  /// them are answered as unknown.
  ForgetWithBatcher,
  UnknownWithBatcher,
  ForgetWithAgent,
  UnknownWithAgent,
};

/// Which faults a run injects.
struct Faults {
  bool m_Kills = true;
  bool m_Pauses = true;
  bool m_Cuts = true;
  bool m_Table = true;
  /// Late and duplicate messages.
  bool m_Messages = true;
  bool m_Poison = true;
  bool m_Handovers = true;
};

/// What independent checks of a run counted. The checks compare what callers were told with what
/// the fake engines and the fake table saw.
struct RunResult {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Operations = 0;
  /// Non-idempotent operations that an engine started more than once.
  std::uint64_t m_Duplicates = 0;
  /// Requests that were told "not run" and that an engine started, before or after.
  std::uint64_t m_FalseNotRun = 0;
  /// Complete answers with wrong or mixed content.
  std::uint64_t m_WrongAnswers = 0;
  /// Requests with no outcome, although their entry lived, or with more than one.
  std::uint64_t m_WrongOutcomeCount = 0;
  /// Dispatches in a generation that did not own the account.
  std::uint64_t m_OutsideOwner = 0;
  /// Engine starts of an attempt id after the first.
  std::uint64_t m_AttemptsRunTwice = 0;
  /// Requests refused as crashing upstreams that crash none.
  std::uint64_t m_InnocentsBlamed = 0;
  /// Most engines that one poisonous request crashed in one data centre.
  std::uint64_t m_WorstCrashes = 0;
  /// Keys answered "unknown" although none of their requests was ever dispatched.
  std::uint64_t m_StuckKeys = 0;
  /// In-flight counts that were not released, or released twice.
  std::uint64_t m_UnbalancedReleases = 0;
  std::map<RequestOutcome, std::uint64_t> m_Outcomes;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_LateCopiesRefused = 0;
  std::uint64_t m_FragmentsDropped = 0;
  std::uint64_t m_ResolvedLater = 0;
  std::uint64_t m_Handovers = 0;
  std::uint64_t m_RepeatsAnswered = 0;
  /// Requests that were told "not run" because the table was not reachable.
  std::uint64_t m_RefusedForTable = 0;

  /// Violations of rules that must hold in every run.
  std::uint64_t violations() const {
    return m_Duplicates + m_FalseNotRun + m_WrongAnswers + m_WrongOutcomeCount + m_OutsideOwner +
           m_AttemptsRunTwice + m_UnbalancedReleases;
  }
};

/// Six entry instances in two data centres, six upstreams in two generations, the platform's table,
/// callers who repeat, an operator who hands accounts over, and a network, all in virtual time.
class SimulatedDeployment {
public:
  SimulatedDeployment(std::uint64_t Seed, Faults Injected, Mutant Variant = Mutant::None);
  ~SimulatedDeployment();

  RunResult run();

private:
  struct Operation;
  struct Call;
  struct Entry;
  struct Agent;
  struct Job;
  class Selector;
  class Environment;

  // Time, messages and processes.
  void post(Duration After, std::function<void()> Event);
  void toEntry(std::size_t Index, Duration After, std::function<void(Entry &)> Event,
               std::optional<std::uint64_t> Epoch = std::nullopt);
  void toAgent(std::size_t Index, Duration After, std::function<void(Agent &)> Event);
  void overLink(std::size_t EntryIndex, std::size_t AgentIndex, std::function<void()> Deliver);
  Duration latency();
  bool isCut(std::size_t EntryIndex, std::size_t AgentIndex) const;
  void startEntry(std::size_t Index);
  void startAgent(std::size_t Index);
  void tickEntry(std::size_t Index);
  void tickAgent(std::size_t Index);
  void injectFault();

  // The table.
  void commit(std::size_t EntryIndex, Transaction Sent);
  CommitResult apply(const Transaction &Sent);
  TableRow readRow(const std::string &Key, bool Stale);
  OwnerView ownerView(const TableRow &Row) const;
  void handOver(std::size_t Account);
  void finishHandOver(std::size_t Account, RowVersion Paused, GenerationId From, int Tries);
  void advanceEpoch();
  void loseClaims(const std::string &Holder);

  // Actions of the decision classes.
  void perform(Entry &On, RequestActions Actions);
  void perform(Entry &On, ClaimBatcherActions Actions);
  void dispatch(Entry &On, const DispatchAttempt &Action);
  void finished(Entry &On, const FinishRequest &Action);

  // Agents and engines.
  void attemptArrives(Agent &On, std::size_t EntryIndex, std::uint64_t EntryEpoch, Job Work);
  void startJob(Agent &On, const AttemptId &Id);
  void stream(Agent &On, const AttemptId &Id, std::uint64_t EngineEpoch);
  void crashEngine(Agent &On);
  SuspectKey suspectKey(const Operation &Of) const;

  // Callers.
  void issue(std::size_t OperationIndex);
  void callerHears(const std::string &Request, const FinishRequest *Told);
  std::string answerOf(const Operation &Of, const GenerationId &Generation) const;

  RandomGenerator m_Random;
  Faults m_Faults;
  Mutant m_Mutant;
  TimePoint m_Now{};
  TimePoint m_FaultsEnd;
  RunResult m_Result;

  struct Event {
    TimePoint m_At;
    std::uint64_t m_Order;
    std::function<void()> m_Run;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Order > Other.m_Order;
    }
  };
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextOrder = 0;

  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::vector<std::unique_ptr<Agent>> m_Agents;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_CutUntil;
  std::vector<Operation> m_Operations;
  std::map<std::string, Call> m_Calls;
  std::set<AttemptId> m_StartedAttempts;

  std::map<std::string, TableRow> m_Rows;
  std::map<std::string, TableRow> m_OldRows;
  /// For the alternative designs: the process that would hold the claim row.
  std::map<std::string, std::string> m_ClaimHolders;
  std::map<WriteId, CommitResult> m_WriteOutcomes;
  TimePoint m_TableDownUntil{};
  TimePoint m_TableSlowUntil{};
  TimePoint m_TableLossyUntil{};
  std::uint64_t m_NextRowVersion = 1;
};

} // namespace fescuegauge::model

#endif // FESCUEGAUGE_REQUESTS_MODEL_SIMULATEDDEPLOYMENT_H
