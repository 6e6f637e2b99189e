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

/// A variant of the system that lacks one rule. The rule is disabled outside of the classes
/// under test, by changing their inputs or the way their actions are performed.
enum class Mutant {
  None,
  /// Non-idempotent requests are dispatched without a claim.
  NoClaim,
  /// Claims are written without the condition on the claim row.
  NoClaimCondition,
  /// A claim held by another request is treated as free.
  ReplaceForeignClaim,
  /// A write whose result was lost is treated as committed.
  NoReadBack,
  /// Claims are written without the condition on the owner row.
  NoOwnerCondition,
  /// Claims are written without the condition on the oldest epoch.
  NoEpochCondition,
  /// An entry that withdraws a claim does not write `notRun`.
  NoWithdrawal,
  /// The agent runs every copy of an attempt that arrives.
  RunLateCopies,
  /// Attempts on a failed connection are treated as not sent.
  NotRunOnLoss,
  /// The offset of a fragment is ignored.
  IgnoreOffset,
  /// Every request on a crashed upstream is quarantined at the first crash.
  QuarantineAll,
  /// No request is quarantined.
  QuarantineNone,
  /// Alternative designs that keep claims in the memory of a process: the batcher of the data
  /// centre, or the agent that runs the request. When the process is killed, its claims are lost,
  /// or the outcome of each becomes unknown.
  LoseClaimsWithBatcher,
  UnknownWithBatcher,
  LoseClaimsWithAgent,
  UnknownWithAgent,
};

/// Kinds of faults that a run injects.
struct Faults {
  bool m_Kills = true;
  bool m_Pauses = true;
  bool m_Cuts = true;
  bool m_Table = true;
  /// Late, duplicate and lost messages, and answers that end prematurely.
  bool m_Messages = true;
  bool m_Poison = true;
  bool m_Handovers = true;
};

/// Counts of a run. The checks are independent of the classes under test: they compare the
/// responses to callers with the executions on the fake engines and the contents of the fake table.
struct RunResult {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Operations = 0;
  /// Repeated engine starts of non-idempotent operations.
  std::uint64_t m_Duplicates = 0;
  /// Requests with outcome "not run" that an engine started, before or after the response.
  std::uint64_t m_FalseNotRun = 0;
  /// Answers with wrong or mixed content.
  std::uint64_t m_WrongAnswers = 0;
  /// Requests with more than one outcome, or with none although their entry was not killed.
  std::uint64_t m_WrongOutcomeCount = 0;
  /// Dispatches of non-idempotent requests in a generation that did not own the account.
  std::uint64_t m_WrongGenerationDispatches = 0;
  /// Repeated engine starts of an attempt id.
  std::uint64_t m_AttemptsRunTwice = 0;
  /// Requests that crash no upstream and were refused as crashing upstreams.
  std::uint64_t m_FalseQuarantines = 0;
  /// Highest number of engines that one poison request crashed in one data centre.
  std::uint64_t m_MaxCrashesPerRequest = 0;
  /// Keys whose last outcome is "unknown" although none of their requests was dispatched.
  std::uint64_t m_UnresolvedKeys = 0;
  /// In-flight counts that were not released or were released twice.
  std::uint64_t m_UnbalancedReleases = 0;
  std::map<RequestOutcome, std::uint64_t> m_Outcomes;
  std::uint64_t m_Transactions = 0;
  std::uint64_t m_LateCopiesRefused = 0;
  std::uint64_t m_FragmentsDropped = 0;
  std::uint64_t m_ResolvedLater = 0;
  std::uint64_t m_SecondAttempts = 0;
  std::uint64_t m_Handovers = 0;
  std::uint64_t m_RepeatsAnswered = 0;
  /// Requests with outcome "not run" because the table was unreachable.
  std::uint64_t m_RefusedForTable = 0;

  /// Number of violations of rules that must hold in every run.
  std::uint64_t violations() const {
    return m_Duplicates + m_FalseNotRun + m_WrongAnswers + m_WrongOutcomeCount +
           m_WrongGenerationDispatches + m_AttemptsRunTwice + m_UnbalancedReleases;
  }
};

/// Simulates, in virtual time, six entry instances in two data centres, six upstreams in two
/// generations, the platform's table, callers that repeat requests, an operator that hands accounts
/// over to the other generation, and the network.
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

  // Virtual time, messages and processes.
  void post(Duration After, std::function<void()> Callback);
  void postToEntry(std::size_t Index, Duration After, std::function<void(Entry &)> Callback,
                   std::optional<std::uint64_t> ProcessIncarnation = std::nullopt);
  void postToAgent(std::size_t Index, Duration After, std::function<void(Agent &)> Callback);
  void sendOverLink(std::size_t EntryIndex, std::size_t AgentIndex, std::function<void()> Deliver);
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
  void startHandover(std::size_t Account);
  void finishHandover(std::size_t Account, TablePosition Paused, GenerationId FromGeneration,
                      int TriesLeft);
  void advanceEpoch();
  void dropClaims(const std::string &Holder);

  // Performing the actions of the classes under test.
  void perform(Entry &Target, RequestActions Actions);
  void perform(Entry &Target, ClaimBatcherActions Actions);
  void dispatch(Entry &Target, const DispatchAttempt &Action);
  void recordOutcome(Entry &Target, const FinishRequest &Action);

  // Agents and engines.
  void handleAttempt(Agent &Target, std::size_t EntryIndex, std::uint64_t EntryIncarnation,
                     Job Work);
  void startJob(Agent &Target, const AttemptId &Id);
  void streamAnswer(Agent &Target, const AttemptId &Id, std::uint64_t EngineIncarnation);
  void crashEngine(Agent &Target);
  SuspectRequest suspectOf(const Operation &Op) const;

  // Callers.
  void sendRequest(std::size_t OperationIndex);
  void handleResponse(const std::string &Request, const FinishRequest *Response);
  std::string answerOf(const Operation &Op, const GenerationId &Generation) const;

  RandomGenerator m_Random;
  Faults m_Faults;
  Mutant m_Mutant;
  TimePoint m_Now{};
  TimePoint m_FaultsEnd;
  RunResult m_Result;

  struct Event {
    TimePoint m_At;
    std::uint64_t m_Sequence;
    std::function<void()> m_Callback;
    bool operator<(const Event &Other) const {
      return m_At != Other.m_At ? m_At > Other.m_At : m_Sequence > Other.m_Sequence;
    }
  };
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextSequence = 0;

  std::vector<std::unique_ptr<Entry>> m_Entries;
  std::vector<std::unique_ptr<Agent>> m_Agents;
  std::map<std::pair<std::size_t, std::size_t>, TimePoint> m_CutUntil;
  std::vector<Operation> m_Operations;
  std::map<std::string, Call> m_Calls;
  std::set<AttemptId> m_StartedAttempts;

  std::map<std::string, TableRow> m_Rows;
  std::map<std::string, TableRow> m_PreviousRows;
  /// For the alternative designs: the instance whose process holds the claim in memory, by row key.
  std::map<std::string, std::string> m_ClaimHolders;
  std::map<WriteId, CommitResult> m_WriteOutcomes;
  TimePoint m_TableDownUntil{};
  TimePoint m_TableSlowUntil{};
  TimePoint m_TableLossyUntil{};
  std::uint64_t m_NextRowVersion = 1;
};

} // namespace fescuegauge::model

#endif // FESCUEGAUGE_REQUESTS_MODEL_SIMULATEDDEPLOYMENT_H
