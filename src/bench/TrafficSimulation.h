#ifndef FESCUEGAUGE_BENCH_TRAFFICSIMULATION_H
#define FESCUEGAUGE_BENCH_TRAFFICSIMULATION_H

#include "Fescuegauge/RequestScheduler.h"
#include "Fescuegauge/Router.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuegauge::simulation {

using namespace std::chrono_literals;

/// A class of work and the shape of its requests.
struct TrafficClass {
  ClassTarget m_Target;
  /// Share of all requests.
  double m_Share = 0;
  std::uint32_t m_PromptBlocks = 0;
  std::uint32_t m_AnswerTokens = 0;
};

/// How an upstream is selected: the product's router, or a baseline.
enum class Placement { Router, RoundRobin, LeastInFlight, Random };

/// A fault or planned event at an upstream during the run.
struct Fault {
  enum class Kind { Crash, Freeze, Leave, Reload };
  Kind m_Kind = Kind::Crash;
  Duration m_At{0};
  std::uint32_t m_Upstream = 0;
  /// Length of a freeze, or time until an upstream that crashed or left restarts with a new
  /// incarnation.
  Duration m_Duration = 5s;
};

struct Options {
  std::uint32_t m_Entries = 8;
  std::uint32_t m_Upstreams = 10;
  std::uint32_t m_Slots = 32;
  std::uint32_t m_Regions = 1;
  /// Share of requests that arrive in region 0; 0 for equal shares.
  double m_HotRegionShare = 0;
  /// Bandwidth budget of each entry instance on the link between regions.
  BytesPerSecond m_SpillRate{2.5e6 / 2 / 8};
  Placement m_Placement = Placement::Router;
  SchedulerRules m_Scheduler;
  RouterRules m_Router;
  std::uint64_t m_Seed = 1;
  Duration m_Length = 40s;
  /// Requests that arrive before this time are excluded from the results.
  Duration m_WarmUp = 10s;
  /// Total offered requests per second as a function of the time since the start.
  std::function<double(Duration)> m_Rate;
  /// Relative demand of the accounts.
  std::vector<double> m_Accounts = std::vector<double>(10, 1.0);
  /// Share of callers that retry a refused request after 100 to 300 ms instead of the retry-after
  /// time.
  double m_EarlyRetryShare = 0.3;
  /// Submissions of a caller, the first one included, after which it gives up.
  std::uint32_t m_MaxSubmissions = 4;
  /// Callers disconnect after this multiple of the target time and retry.
  double m_CallerTimeout = 2.0;
  /// True if requests go through the scheduler; false dispatches all of them at once.
  bool m_UseScheduler = true;
  bool m_Hedge = true;
  Duration m_ReportInterval = 250ms;
  Duration m_MinLag = 100ms;
  Duration m_MaxLag = 400ms;
  double m_CacheEventLoss = 0.1;
  bool m_CacheEvents = true;
  /// Number of documents per class; prompts share the text of one of them as a prefix.
  std::uint32_t m_Documents = 100;
  std::uint32_t m_CacheBlocks = 500;
  /// Share of requests that continue one of m_Conversations conversations.
  double m_ConversationShare = 0;
  std::uint32_t m_Conversations = 50;
  std::vector<Fault> m_Faults;
  /// Maximum delay of outdated records that the instance list repeats; 0 for no list.
  Duration m_ListLag{0};
  /// Share of attempts that fail for other reasons than a lost upstream.
  double m_AttemptFailure = 0;
  /// Number of outstanding requests of a closed loop, for measuring capacity; 0 for an open loop.
  std::uint32_t m_ClosedLoop = 0;
};

struct ClassResult {
  /// Requests of callers, without their retries.
  std::uint64_t m_Offered = 0;
  /// Offered requests whose first submission was answered within target.
  std::uint64_t m_OfferedWithin = 0;
  /// Requests and retries that reached an entry instance.
  std::uint64_t m_Submitted = 0;
  /// Submissions that were not refused on arrival.
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_AdmittedWithin = 0;
  std::uint64_t m_RefusedQueued = 0;
  /// Submissions that were dispatched and not answered.
  std::uint64_t m_Failed = 0;
  double admittedShare() const {
    return m_Admitted == 0
               ? 1
               : static_cast<double>(m_AdmittedWithin) / static_cast<double>(m_Admitted);
  }
  double offeredShare() const {
    return m_Offered == 0 ? 1
                          : static_cast<double>(m_OfferedWithin) / static_cast<double>(m_Offered);
  }
};

struct Result {
  std::vector<ClassResult> m_Classes;
  /// Work of answers within target and of all answers, in slot seconds per second.
  double m_Goodput = 0;
  double m_Throughput = 0;
  std::vector<double> m_AccountWork;
  std::vector<double> m_AccountDemand;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Attempts = 0;
  std::uint64_t m_Hedges = 0;
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CachedTokens = 0;
  /// Per half second of arrival: offered requests, and those whose first submission was answered
  /// within target.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_Bins;
  /// Per half second: work of answers within target, in slot seconds per second.
  std::vector<double> m_BinGoodput;
  /// Attempts sent to an upstream that the entry instance knew to be leaving or dead.
  std::uint64_t m_DispatchedAfterNotice = 0;
  std::uint64_t m_WithoutAnswer = 0;
  std::uint64_t m_AnsweredTwice = 0;
  std::uint64_t m_LeftInFlight = 0;
  RouterCounters m_Router;
  double prefixHitShare() const {
    return m_PromptTokens == 0
               ? 0
               : static_cast<double>(m_CachedTokens) / static_cast<double>(m_PromptTokens);
  }
  double attemptsPerRequest() const {
    return m_Requests == 0 ? 1 : static_cast<double>(m_Attempts) / static_cast<double>(m_Requests);
  }
};

/// The four classes of work of the benchmark, with the targets of section 2 of the design page
/// where it has one.
inline std::vector<TrafficClass> standardClasses() {
  std::vector<TrafficClass> Classes(4);
  Classes[0].m_Target.m_Class = WorkClassId("quotation");
  Classes[0].m_Target.m_AnswerWithin = 2s;
  Classes[0].m_Target.m_Priority = 1;
  Classes[0].m_Share = 0.3;
  Classes[0].m_PromptBlocks = 16;
  Classes[0].m_AnswerTokens = 48;
  Classes[1].m_Target.m_Class = WorkClassId("confirmation");
  Classes[1].m_Target.m_AnswerWithin = 2s;
  Classes[1].m_Target.m_NeverLost = true;
  Classes[1].m_Target.m_NonIdempotent = true;
  Classes[1].m_Target.m_Priority = 3;
  Classes[1].m_Share = 0.1;
  Classes[1].m_PromptBlocks = 4;
  Classes[1].m_AnswerTokens = 12;
  Classes[2].m_Target.m_Class = WorkClassId("lookup");
  Classes[2].m_Target.m_AnswerWithin = 1s;
  Classes[2].m_Target.m_Priority = 2;
  Classes[2].m_Share = 0.3;
  Classes[2].m_PromptBlocks = 2;
  Classes[2].m_AnswerTokens = 4;
  Classes[3].m_Target.m_Class = WorkClassId("commentary");
  Classes[3].m_Target.m_FirstTokenWithin = 310ms;
  Classes[3].m_Target.m_StaleAfter = 3s;
  Classes[3].m_Target.m_Priority = 2;
  Classes[3].m_Share = 0.3;
  Classes[3].m_PromptBlocks = 8;
  Classes[3].m_AnswerTokens = 32;
  return Classes;
}

/// Simulates entry instances with the product's policies, upstreams with continuous batching and a
/// prefix cache, delayed load reports, lossy cache events and callers, in virtual time with a fixed
/// seed.
///
/// An upstream runs in steps. A step takes StepBase and StepPerSequence for each running request,
/// and PrefillPerToken for each computed prompt token; it yields one token of each running request
/// whose prefill is complete. Waiting requests start in order of priority.
class Simulation {
public:
  static constexpr Duration StepBase = 10ms;
  static constexpr Duration StepPerSequence{500};
  static constexpr Duration PrefillPerToken{20};
  static constexpr std::uint32_t PrefillChunk = 512;
  static constexpr std::uint32_t TokensPerBlock = 64;
  static constexpr Duration NetworkDelay = 1ms;
  /// Time without heartbeats after which an entry instance considers an upstream lost.
  static constexpr Duration HeartbeatLimit = 2s;
  static constexpr Duration Bin = 500ms;

  explicit Simulation(Options Given, std::vector<TrafficClass> Classes = standardClasses())
      : m_Options(std::move(Given)), m_Classes(std::move(Classes)), m_Random(m_Options.m_Seed) {}

  Result run() {
    setUp();
    while (!m_Events.empty() && m_Events.top().m_Time <= end() + DrainTime) {
      Event Next = std::move(const_cast<Event &>(m_Events.top()));
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Action();
    }
    return finish();
  }

  /// Work of a request: the time in seconds that it occupies a slot of a full batch.
  double workOf(std::size_t Class) const {
    const TrafficClass &Kind = m_Classes[Class];
    Duration Step = StepBase + StepPerSequence * m_Options.m_Slots;
    return toSeconds(Step * Kind.m_AnswerTokens +
                     PrefillPerToken * (Kind.m_PromptBlocks * TokensPerBlock));
  }

private:
  static constexpr Duration DrainTime = 20s;

  struct Event {
    TimePoint m_Time;
    std::uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_Time, m_Sequence) > std::tie(Other.m_Time, Other.m_Sequence);
    }
  };

  /// An attempt that is queued or running at an upstream.
  struct Job {
    std::uint64_t m_Attempt = 0;
    std::uint32_t m_PrefillLeft = 0;
    std::uint32_t m_AnswerLeft = 0;
    int m_Priority = 0;
  };

  struct Engine {
    InstanceRecord m_Record;
    bool m_IsUp = true;
    TimePoint m_FrozenUntil;
    bool m_IsStepping = false;
    /// Incremented at each crash and restart. Events of an earlier epoch are ignored.
    std::uint64_t m_Epoch = 0;
    std::vector<Job> m_Running;
    std::map<std::pair<int, std::uint64_t>, Job> m_Waiting;
    std::list<std::uint64_t> m_CacheOrder;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_Cache;
    CacheEvent m_NextEvent;
    std::uint64_t m_EventSequence = 0;
    std::uint64_t m_Started = 0;
  };

  struct Entry {
    std::unique_ptr<Router> m_Router;
    std::unique_ptr<RequestScheduler> m_Scheduler;
    std::uint32_t m_NextUpstream = 0;
    /// Open attempts of this entry instance by upstream.
    std::vector<std::uint32_t> m_InFlightCounts;
    /// Upstreams that the instance knows to be leaving or dead, with their incarnation.
    std::map<std::uint32_t, Incarnation> m_Unavailable;
    /// The newest known incarnation of each upstream. Notices about older incarnations do not apply
    /// to it.
    std::map<std::uint32_t, Incarnation> m_Newest;
  };

  struct Attempt {
    std::uint64_t m_Submission = 0;
    std::uint32_t m_Upstream = 0;
    std::uint64_t m_Epoch = 0;
    bool m_IsOpen = true;
  };

  /// One submission of a caller's request to an entry instance; each retry of the caller is
  /// another.
  struct Submission {
    std::uint64_t m_Caller = 0;
    std::uint32_t m_Entry = 0;
    std::uint32_t m_Number = 0;
    RequestDescription m_Request;
    TimePoint m_Arrived;
    TimePoint m_Started;
    std::optional<TimePoint> m_FirstToken;
    std::vector<std::uint64_t> m_Attempts;
    std::uint32_t m_Answers = 0;
    bool m_IsStarted = false;
    bool m_IsDone = false;
    bool m_IsAbandoned = false;
  };

  struct Caller {
    std::size_t m_Class = 0;
    std::size_t m_Account = 0;
    bool m_RetriesEarly = false;
    bool m_IsCounted = false;
    std::uint32_t m_SubmissionCount = 0;
    TimePoint m_Arrived;
  };

  TimePoint start() const { return TimePoint(Duration(1s)); }
  TimePoint end() const { return start() + m_Options.m_Length; }
  Duration elapsed() const { return m_Now - start(); }
  ServiceId service() const { return ServiceId("asistente"); }
  RegionId region(std::uint32_t Index) const {
    return RegionId("region-" + std::to_string(Index % m_Options.m_Regions));
  }
  DataCentreId dataCentre(std::uint32_t Index) const {
    return DataCentreId("dc-" + std::to_string(Index % m_Options.m_Regions));
  }

  void at(TimePoint Time, std::function<void()> Action) {
    m_Events.push({std::max(Time, m_Now), m_NextSequence++, std::move(Action)});
  }
  void after(Duration Delay, std::function<void()> Action) { at(m_Now + Delay, std::move(Action)); }
  Duration between(Duration Low, Duration High) {
    return Low + Duration(static_cast<Duration::rep>(
                     uniformBelow(m_Random, static_cast<std::uint64_t>((High - Low).count()) + 1)));
  }

  void setUp() {
    m_Now = start();
    m_Result.m_Classes.resize(m_Classes.size());
    m_Result.m_AccountWork.resize(m_Options.m_Accounts.size());
    m_Result.m_AccountDemand.resize(m_Options.m_Accounts.size());
    m_Result.m_Bins.resize(static_cast<std::size_t>(m_Options.m_Length / Bin) + 1);
    m_Result.m_BinGoodput.resize(m_Result.m_Bins.size() +
                                 static_cast<std::size_t>(DrainTime / Bin) + 1);
    std::vector<ClassTarget> Targets;
    for (const TrafficClass &Kind : m_Classes)
      Targets.push_back(Kind.m_Target);
    m_Engines.resize(m_Options.m_Upstreams);
    for (std::uint32_t I = 0; I < m_Options.m_Upstreams; ++I) {
      InstanceRecord &Record = m_Engines[I].m_Record;
      Record.m_Id = InstanceId("runner-" + std::to_string(I));
      Record.m_State = InstanceState::Live;
      Record.m_Incarnation = Incarnation(1);
      Record.m_DataCentre = dataCentre(I);
      Record.m_Region = region(I);
      Record.m_Service = service();
      Record.m_Generation = GenerationId("new");
      Record.m_ServedDigest = sha256("version-1");
      Record.m_Capacity = m_Options.m_Slots;
    }
    m_Entries.resize(m_Options.m_Entries);
    for (std::uint32_t I = 0; I < m_Options.m_Entries; ++I) {
      Entry &Self = m_Entries[I];
      RouterOptions Routing;
      Routing.m_DataCentre = dataCentre(I);
      Routing.m_Region = region(I);
      Routing.m_SpillRate = m_Options.m_SpillRate;
      Routing.m_Rules = m_Options.m_Router;
      Self.m_Router = std::make_unique<Router>(Routing, m_Random());
      ServiceRouting Service;
      Service.m_TokensPerBlock = TokensPerBlock;
      Service.m_PrefillPerToken = PrefillPerToken;
      Self.m_Router->setService(service(), Service);
      Self.m_Scheduler = std::make_unique<RequestScheduler>(m_Random(), m_Options.m_Scheduler);
      Self.m_Scheduler->setTargets(Targets);
      Self.m_InFlightCounts.resize(m_Options.m_Upstreams);
      for (const Engine &Known : m_Engines)
        Self.m_Router->onInstance(Known.m_Record, m_Now);
      after(between(0ms, 20ms), [this, I] { poll(I); });
      after(between(0ms, 100ms), [this, I] { updateLoad(I); });
    }
    for (std::uint32_t I = 0; I < m_Options.m_Upstreams; ++I)
      after(between(0ms, m_Options.m_ReportInterval), [this, I] { report(I); });
    for (const Fault &Planned : m_Options.m_Faults)
      at(start() + Planned.m_At, [this, Planned] { injectFault(Planned); });
    if (m_Options.m_ClosedLoop > 0)
      for (std::uint32_t I = 0; I < m_Options.m_ClosedLoop; ++I)
        after(between(0ms, 1s), [this] { addCaller(); });
    else
      scheduleArrival();
  }

  void scheduleArrival() {
    double Rate = m_Options.m_Rate(elapsed());
    double Gap = -std::log(1 - uniformUnit(m_Random)) / std::max(Rate, 0.001);
    after(Duration(static_cast<Duration::rep>(Gap * 1e6)), [this] {
      if (m_Now >= end())
        return;
      addCaller();
      scheduleArrival();
    });
  }

  void addCaller() {
    if (m_Now >= end())
      return;
    Caller Added;
    double Pick = uniformUnit(m_Random);
    while (Added.m_Class + 1 < m_Classes.size() && Pick >= m_Classes[Added.m_Class].m_Share)
      Pick -= m_Classes[Added.m_Class++].m_Share;
    double All = 0;
    for (double Weight : m_Options.m_Accounts)
      All += Weight;
    double Chosen = uniformUnit(m_Random) * All;
    while (Added.m_Account + 1 < m_Options.m_Accounts.size() &&
           Chosen >= m_Options.m_Accounts[Added.m_Account])
      Chosen -= m_Options.m_Accounts[Added.m_Account++];
    Added.m_RetriesEarly = chance(m_Random, m_Options.m_EarlyRetryShare);
    Added.m_Arrived = m_Now;
    Added.m_IsCounted = elapsed() >= m_Options.m_WarmUp;
    m_Callers.push_back(Added);
    if (Added.m_IsCounted) {
      ++m_Result.m_Classes[Added.m_Class].m_Offered;
      m_Result.m_AccountDemand[Added.m_Account] += workOf(Added.m_Class);
    }
    ++m_Result.m_Bins[static_cast<std::size_t>(elapsed() / Bin)].first;
    submitRequest(m_Callers.size() - 1);
  }

  void submitRequest(std::uint64_t CallerIndex) {
    Caller &Owner = m_Callers[CallerIndex];
    const TrafficClass &Kind = m_Classes[Owner.m_Class];
    Submission Added;
    Added.m_Caller = CallerIndex;
    Added.m_Number = Owner.m_SubmissionCount++;
    Added.m_Entry = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Entries.size()));
    if (m_Options.m_HotRegionShare > 0) {
      bool IsHot = chance(m_Random, m_Options.m_HotRegionShare);
      while ((Added.m_Entry % m_Options.m_Regions == 0) != IsHot)
        Added.m_Entry = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Entries.size()));
    }
    Added.m_Arrived = m_Now;
    RequestDescription &Request = Added.m_Request;
    std::uint64_t Index = m_Submissions.size();
    Request.m_Id = RequestId("request-" + std::to_string(Index));
    Request.m_Account = ClientAccountId("account-" + std::to_string(Owner.m_Account));
    Request.m_Service = service();
    Request.m_Class = Kind.m_Target.m_Class;
    Request.m_NonIdempotent = Kind.m_Target.m_NonIdempotent;
    Request.m_EstimatedTokens = Kind.m_PromptBlocks * TokensPerBlock + Kind.m_AnswerTokens;
    if (m_Options.m_ConversationShare > 0 && chance(m_Random, m_Options.m_ConversationShare))
      Request.m_Conversation = ConversationId(
          "talk-" + std::to_string(uniformBelow(m_Random, m_Options.m_Conversations)));
    // The last quarter of a prompt is unique to the request.
    std::uint64_t Document = uniformBelow(m_Random, m_Options.m_Documents);
    std::uint64_t Block = 0;
    for (std::uint32_t I = 0; I < Kind.m_PromptBlocks; ++I) {
      bool IsOwn = I >= Kind.m_PromptBlocks - (Kind.m_PromptBlocks + 3) / 4;
      Block = mix(Block ^ mix(I + 1) ^ mix(Owner.m_Class * 1000003 + Document) ^
                  (IsOwn ? mix(Index + 7) : 0));
      Request.m_PrefixBlocks.push_back(Block);
    }
    m_Submissions.push_back(std::move(Added));
    bool IsCounted = Owner.m_IsCounted;
    ClassResult &Counts = m_Result.m_Classes[Owner.m_Class];
    if (IsCounted) {
      ++Counts.m_Submitted;
      ++Counts.m_Admitted;
    }
    if (m_Options.m_ClosedLoop == 0)
      after(timeout(Owner.m_Class), [this, Index] { onCallerTimeout(Index); });
    Entry &Self = m_Entries[m_Submissions[Index].m_Entry];
    if (!m_Options.m_UseScheduler) {
      startRequest(Index);
      return;
    }
    for (const SchedulerAction &Action :
         Self.m_Scheduler->submit(m_Submissions[Index].m_Request, m_Now)) {
      // A request refused on arrival was not admitted.
      if (IsCounted && Action.m_Kind == SchedulerAction::Kind::Refuse &&
          Action.m_Id == m_Submissions[Index].m_Request.m_Id)
        --Counts.m_Admitted;
      applyAction(Action, Index);
    }
  }

  static std::uint64_t mix(std::uint64_t Value) {
    Value = (Value ^ (Value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Value = (Value ^ (Value >> 27)) * 0x94d049bb133111ebULL;
    return Value ^ (Value >> 31);
  }

  Duration targetTime(std::size_t Class) const {
    const ClassTarget &Target = m_Classes[Class].m_Target;
    return Target.m_AnswerWithin.value_or(Target.m_StaleAfter.value_or(10s));
  }
  Duration timeout(std::size_t Class) const {
    return Duration(static_cast<Duration::rep>(static_cast<double>(targetTime(Class).count()) *
                                               m_Options.m_CallerTimeout));
  }

  std::uint64_t indexOf(const RequestId &Id) const { return std::stoull(Id.str().substr(8)); }

  void applyAction(const SchedulerAction &Action,
                   std::optional<std::uint64_t> Submitted = std::nullopt) {
    std::uint64_t Index = indexOf(Action.m_Id);
    if (Action.m_Kind == SchedulerAction::Kind::Start) {
      startRequest(Index);
      return;
    }
    Submission &Refused = m_Submissions[Index];
    m_Result.m_AnsweredTwice += Refused.m_Answers++ > 0 || Refused.m_IsStarted;
    Refused.m_IsDone = true;
    Caller &Owner = m_Callers[Refused.m_Caller];
    if (Owner.m_IsCounted && Index != Submitted)
      ++m_Result.m_Classes[Owner.m_Class].m_RefusedQueued;
    scheduleRetry(Refused.m_Caller,
                  Owner.m_RetriesEarly ? between(100ms, 300ms) : Action.m_Refusal.m_RetryAfter);
  }

  void scheduleRetry(std::uint64_t CallerIndex, Duration Delay) {
    if (m_Options.m_ClosedLoop > 0) {
      after(10ms, [this] { addCaller(); });
      return;
    }
    Caller &Owner = m_Callers[CallerIndex];
    if (Owner.m_SubmissionCount >= m_Options.m_MaxSubmissions)
      return;
    after(Delay, [this, CallerIndex] {
      if (m_Now < end())
        submitRequest(CallerIndex);
    });
  }

  void onCallerTimeout(std::uint64_t Index) {
    Submission &Left = m_Submissions[Index];
    if (Left.m_IsDone)
      return;
    Left.m_IsAbandoned = true;
    if (!Left.m_IsStarted)
      m_Entries[Left.m_Entry].m_Scheduler->cancel(Left.m_Request.m_Id);
    endRequest(Index, false);
    scheduleRetry(Left.m_Caller, between(100ms, 300ms));
  }

  void startRequest(std::uint64_t Index) {
    Submission &Started = m_Submissions[Index];
    m_Result.m_AnsweredTwice += Started.m_IsStarted || Started.m_IsDone;
    Started.m_IsStarted = true;
    Started.m_Started = m_Now;
    ++m_Result.m_Requests;
    if (!sendAttempt(Index)) {
      endRequest(Index, false);
      scheduleRetry(Started.m_Caller, 1s);
      return;
    }
    Entry &Self = m_Entries[Started.m_Entry];
    if (!m_Options.m_Hedge || !m_Options.m_UseScheduler)
      return;
    if (auto Delay = Self.m_Scheduler->hedgeAfter(Started.m_Request.m_Id))
      after(*Delay, [this, Index] { hedge(Index); });
  }

  void hedge(std::uint64_t Index) {
    Submission &Hedged = m_Submissions[Index];
    if (Hedged.m_IsDone || Hedged.m_FirstToken || Hedged.m_Attempts.size() != 1)
      return;
    if (m_Entries[Hedged.m_Entry].m_Scheduler->takeHedge(Hedged.m_Request.m_Id) &&
        sendAttempt(Index))
      ++m_Result.m_Hedges;
  }

  std::optional<std::uint32_t> selectUpstream(Submission &Sent) {
    Entry &Self = m_Entries[Sent.m_Entry];
    UpstreamQuery Query;
    Query.m_Request = &Sent.m_Request;
    std::set<std::uint32_t> Tried;
    for (std::uint64_t Earlier : Sent.m_Attempts) {
      Query.m_Excluded.push_back(m_Engines[m_Attempts[Earlier].m_Upstream].m_Record.m_Id);
      Tried.insert(m_Attempts[Earlier].m_Upstream);
    }
    if (m_Options.m_Placement == Placement::Router) {
      auto Chosen = Self.m_Router->select(Query, m_Now);
      if (!Chosen)
        return std::nullopt;
      return static_cast<std::uint32_t>(std::stoul(Chosen->str().substr(7)));
    }
    std::vector<std::uint32_t> Usable;
    for (std::uint32_t I = 0; I < m_Engines.size(); ++I)
      if (!Self.m_Unavailable.count(I) && !Tried.count(I))
        Usable.push_back(I);
    if (Usable.empty())
      return std::nullopt;
    std::uint32_t Pick = Usable[Self.m_NextUpstream++ % Usable.size()];
    if (m_Options.m_Placement == Placement::Random)
      Pick = Usable[uniformBelow(m_Random, Usable.size())];
    if (m_Options.m_Placement == Placement::LeastInFlight)
      for (std::uint32_t I : Usable)
        if (Self.m_InFlightCounts[I] < Self.m_InFlightCounts[Pick])
          Pick = I;
    return Pick;
  }

  bool sendAttempt(std::uint64_t Index) {
    Submission &Sent = m_Submissions[Index];
    std::optional<std::uint32_t> Chosen = selectUpstream(Sent);
    if (!Chosen)
      return false;
    Entry &Self = m_Entries[Sent.m_Entry];
    auto Gone = Self.m_Unavailable.find(*Chosen);
    if (Gone != Self.m_Unavailable.end())
      ++m_Result.m_DispatchedAfterNotice;
    ++Self.m_InFlightCounts[*Chosen];
    ++m_Result.m_Attempts;
    std::uint64_t Number = m_Attempts.size();
    m_Attempts.push_back({Index, *Chosen, m_Engines[*Chosen].m_Epoch, true});
    Sent.m_Attempts.push_back(Number);
    after(NetworkDelay, [this, Number] { deliverAttempt(Number); });
    return true;
  }

  void deliverAttempt(std::uint64_t Number) {
    Attempt &Reached = m_Attempts[Number];
    if (!Reached.m_IsOpen)
      return;
    Engine &Target = m_Engines[Reached.m_Upstream];
    if (!Target.m_IsUp || Target.m_Epoch != Reached.m_Epoch) {
      after(NetworkDelay, [this, Number] { onAttemptFailed(Number); });
      return;
    }
    if (chance(m_Random, m_Options.m_AttemptFailure)) {
      after(50ms, [this, Number] { onAttemptFailed(Number); });
      return;
    }
    const Submission &Sent = m_Submissions[Reached.m_Submission];
    const TrafficClass &Kind = m_Classes[m_Callers[Sent.m_Caller].m_Class];
    Job Added;
    Added.m_Attempt = Number;
    Added.m_AnswerLeft = Kind.m_AnswerTokens;
    Added.m_Priority = Kind.m_Target.m_Priority;
    Target.m_Waiting.emplace(std::pair(-Kind.m_Target.m_Priority, Target.m_Started++), Added);
    step(Reached.m_Upstream);
  }

  void admitToBatch(Engine &Target) {
    while (Target.m_Running.size() < m_Options.m_Slots && !Target.m_Waiting.empty()) {
      Job Next = Target.m_Waiting.begin()->second;
      Target.m_Waiting.erase(Target.m_Waiting.begin());
      if (!m_Attempts[Next.m_Attempt].m_IsOpen)
        continue;
      const Submission &Sent = m_Submissions[m_Attempts[Next.m_Attempt].m_Submission];
      std::uint32_t Cached = 0;
      for (std::uint64_t Block : Sent.m_Request.m_PrefixBlocks) {
        if (!Target.m_Cache.count(Block))
          break;
        ++Cached;
      }
      auto Blocks = static_cast<std::uint32_t>(Sent.m_Request.m_PrefixBlocks.size());
      Next.m_PrefillLeft = (Blocks - Cached) * TokensPerBlock;
      if (m_Callers[Sent.m_Caller].m_IsCounted) {
        m_Result.m_PromptTokens += std::uint64_t(Blocks) * TokensPerBlock;
        m_Result.m_CachedTokens += std::uint64_t(Cached) * TokensPerBlock;
      }
      for (std::uint64_t Block : Sent.m_Request.m_PrefixBlocks)
        cacheBlock(Target, Block);
      // Prefill runs in order of priority.
      auto Position = std::upper_bound(
          Target.m_Running.begin(), Target.m_Running.end(), Next,
          [](const Job &Left, const Job &Right) { return Left.m_Priority > Right.m_Priority; });
      Target.m_Running.insert(Position, Next);
    }
  }

  void cacheBlock(Engine &Target, std::uint64_t Block) {
    auto Known = Target.m_Cache.find(Block);
    if (Known != Target.m_Cache.end()) {
      Target.m_CacheOrder.splice(Target.m_CacheOrder.begin(), Target.m_CacheOrder, Known->second);
      return;
    }
    if (Target.m_Cache.size() >= m_Options.m_CacheBlocks) {
      Target.m_NextEvent.m_Removed.push_back(Target.m_CacheOrder.back());
      Target.m_Cache.erase(Target.m_CacheOrder.back());
      Target.m_CacheOrder.pop_back();
    }
    Target.m_CacheOrder.push_front(Block);
    Target.m_Cache[Block] = Target.m_CacheOrder.begin();
    Target.m_NextEvent.m_Added.push_back(Block);
  }

  /// Starts the next step of an idle upstream that has work.
  void step(std::uint32_t Index) {
    Engine &Target = m_Engines[Index];
    if (Target.m_IsStepping || !Target.m_IsUp)
      return;
    if (m_Now < Target.m_FrozenUntil) {
      Target.m_IsStepping = true;
      at(Target.m_FrozenUntil, [this, Index, Epoch = Target.m_Epoch] {
        if (m_Engines[Index].m_Epoch != Epoch)
          return;
        m_Engines[Index].m_IsStepping = false;
        step(Index);
      });
      return;
    }
    std::erase_if(Target.m_Running,
                  [&](const Job &Held) { return !m_Attempts[Held.m_Attempt].m_IsOpen; });
    admitToBatch(Target);
    if (Target.m_Running.empty())
      return;
    Target.m_IsStepping = true;
    std::uint32_t Budget = PrefillChunk;
    std::uint32_t Computed = 0;
    std::vector<std::uint64_t> Yields;
    for (Job &Held : Target.m_Running) {
      std::uint32_t Part = std::min(Budget, Held.m_PrefillLeft);
      Held.m_PrefillLeft -= Part;
      Budget -= Part;
      Computed += Part;
      if (Held.m_PrefillLeft == 0)
        Yields.push_back(Held.m_Attempt);
    }
    Duration Length =
        StepBase + StepPerSequence * Target.m_Running.size() + PrefillPerToken * Computed;
    after(Length, [this, Index, Epoch = Target.m_Epoch, Yields = std::move(Yields)] {
      Engine &Done = m_Engines[Index];
      if (Done.m_Epoch != Epoch || !Done.m_IsUp)
        return;
      std::vector<std::uint64_t> Ended;
      std::size_t At = 0;
      for (std::uint64_t Number : Yields) {
        while (Done.m_Running[At].m_Attempt != Number)
          ++At;
        onToken(Number, --Done.m_Running[At].m_AnswerLeft == 0);
        if (Done.m_Running[At].m_AnswerLeft == 0)
          Ended.push_back(Number);
      }
      std::erase_if(Done.m_Running, [&](const Job &Held) { return Held.m_AnswerLeft == 0; });
      Done.m_IsStepping = false;
      step(Index);
    });
  }

  void onToken(std::uint64_t Number, bool IsLast) {
    Attempt &From = m_Attempts[Number];
    if (!From.m_IsOpen)
      return;
    Submission &Sent = m_Submissions[From.m_Submission];
    if (!Sent.m_FirstToken)
      Sent.m_FirstToken = m_Now + NetworkDelay;
    if (IsLast)
      after(NetworkDelay, [this, Number] {
        if (!m_Attempts[Number].m_IsOpen)
          return;
        closeAttempt(Number, false);
        endRequest(m_Attempts[Number].m_Submission, true);
      });
  }

  void closeAttempt(std::uint64_t Number, bool Lost) {
    Attempt &Closed = m_Attempts[Number];
    Closed.m_IsOpen = false;
    const Submission &Sent = m_Submissions[Closed.m_Submission];
    Entry &Self = m_Entries[Sent.m_Entry];
    --Self.m_InFlightCounts[Closed.m_Upstream];
    if (m_Options.m_Placement == Placement::Router)
      Self.m_Router->release(m_Engines[Closed.m_Upstream].m_Record.m_Id, Sent.m_Request, Lost,
                             m_Now);
  }

  /// Handles a failed attempt at the entry instance: retries it within the budget, or ends the
  /// request.
  void onAttemptFailed(std::uint64_t Number) {
    if (!m_Attempts[Number].m_IsOpen)
      return;
    closeAttempt(Number, true);
    std::uint64_t Index = m_Attempts[Number].m_Submission;
    Submission &Sent = m_Submissions[Index];
    for (std::uint64_t Other : Sent.m_Attempts)
      if (m_Attempts[Other].m_IsOpen)
        return;
    Entry &Self = m_Entries[Sent.m_Entry];
    bool MayRetry = !Sent.m_Request.m_NonIdempotent &&
                    (!m_Options.m_UseScheduler || Self.m_Scheduler->takeRetry(Sent.m_Request.m_Id));
    if (MayRetry && sendAttempt(Index))
      return;
    endRequest(Index, false);
    scheduleRetry(Sent.m_Caller, 1s);
  }

  void endRequest(std::uint64_t Index, bool IsComplete) {
    Submission &Ended = m_Submissions[Index];
    if (Ended.m_IsDone)
      return;
    Ended.m_IsDone = true;
    for (std::uint64_t Number : Ended.m_Attempts)
      if (m_Attempts[Number].m_IsOpen)
        closeAttempt(Number, false);
    m_Result.m_AnsweredTwice += Ended.m_Answers++ > 0;
    const Caller &Owner = m_Callers[Ended.m_Caller];
    ClassResult &Counts = m_Result.m_Classes[Owner.m_Class];
    Entry &Self = m_Entries[Ended.m_Entry];
    if (Ended.m_IsStarted && m_Options.m_UseScheduler) {
      std::optional<Duration> FirstToken;
      if (Ended.m_FirstToken)
        FirstToken = *Ended.m_FirstToken - Ended.m_Started;
      std::optional<Duration> Total;
      if (IsComplete)
        Total = m_Now - Ended.m_Started;
      Self.m_Scheduler->finished(Ended.m_Request.m_Id, FirstToken, Total, m_Now);
      for (const SchedulerAction &Action : Self.m_Scheduler->poll(m_Now))
        applyAction(Action);
    }
    if (!IsComplete) {
      Counts.m_Failed += Ended.m_IsStarted && Owner.m_IsCounted;
      return;
    }
    const ClassTarget &Target = m_Classes[Owner.m_Class].m_Target;
    bool IsWithin = true;
    if (Target.m_AnswerWithin)
      IsWithin = m_Now - Ended.m_Arrived <= *Target.m_AnswerWithin;
    if (Target.m_StaleAfter)
      IsWithin = IsWithin && m_Now - Ended.m_Arrived <= *Target.m_StaleAfter;
    if (Target.m_FirstTokenWithin)
      IsWithin = IsWithin && *Ended.m_FirstToken - Ended.m_Arrived <= *Target.m_FirstTokenWithin;
    double Work = workOf(Owner.m_Class);
    if (elapsed() >= m_Options.m_WarmUp && m_Now <= end()) {
      m_Result.m_Throughput += Work;
      m_Result.m_Goodput += IsWithin ? Work : 0;
      m_Result.m_AccountWork[Owner.m_Account] += IsWithin ? Work : 0;
    }
    if (IsWithin) {
      m_Result.m_BinGoodput[static_cast<std::size_t>(elapsed() / Bin)] += Work / toSeconds(Bin);
      if (Owner.m_IsCounted)
        ++Counts.m_AdmittedWithin;
      if (Ended.m_Number == 0) {
        ++m_Result.m_Bins[static_cast<std::size_t>((Owner.m_Arrived - start()) / Bin)].second;
        if (Owner.m_IsCounted)
          ++Counts.m_OfferedWithin;
      }
    }
    if (m_Options.m_ClosedLoop > 0)
      addCaller();
  }

  void poll(std::uint32_t Index) {
    for (const SchedulerAction &Action : m_Entries[Index].m_Scheduler->poll(m_Now))
      applyAction(Action);
    if (m_Now < end() + DrainTime / 2)
      after(20ms, [this, Index] { poll(Index); });
  }

  void updateLoad(std::uint32_t Index) {
    Entry &Self = m_Entries[Index];
    Self.m_Scheduler->onLoad(service(), Self.m_Router->load(service(), m_Now),
                             (m_Options.m_Entries + m_Options.m_Regions - 1) / m_Options.m_Regions);
    if (m_Now < end() + DrainTime / 2)
      after(100ms, [this, Index] { updateLoad(Index); });
  }

  void report(std::uint32_t Index) {
    Engine &Self = m_Engines[Index];
    if (m_Now > end() + DrainTime / 2)
      return;
    after(m_Options.m_ReportInterval, [this, Index] { report(Index); });
    if (!Self.m_IsUp || m_Now < Self.m_FrozenUntil)
      return;
    LoadReport Report;
    Report.m_Upstream = Self.m_Record.m_Id;
    Report.m_Incarnation = Self.m_Record.m_Incarnation;
    for (const Job &Held : Self.m_Running)
      Report.m_Running += m_Attempts[Held.m_Attempt].m_IsOpen;
    for (const auto &[Order, Held] : Self.m_Waiting)
      Report.m_Waiting += m_Attempts[Held.m_Attempt].m_IsOpen;
    Report.m_Capacity = m_Options.m_Slots;
    CacheEvent Changes = std::move(Self.m_NextEvent);
    Self.m_NextEvent = {};
    Changes.m_Upstream = Self.m_Record.m_Id;
    Changes.m_Incarnation = Self.m_Record.m_Incarnation;
    Changes.m_Sequence = ++Self.m_EventSequence;
    for (std::uint32_t I = 0; I < m_Entries.size(); ++I) {
      Duration Lag = between(m_Options.m_MinLag, m_Options.m_MaxLag);
      bool HasEvent = m_Options.m_CacheEvents && !chance(m_Random, m_Options.m_CacheEventLoss);
      LoadReport Sent = Report;
      Sent.m_Age = Lag;
      after(Lag, [this, I, Sent] { m_Entries[I].m_Router->onLoadReport(Sent, m_Now); });
      if (HasEvent)
        after(Lag, [this, I, Changes] { m_Entries[I].m_Router->onCacheEvent(Changes, m_Now); });
    }
  }

  /// Delivers the upstream's record to every entry instance, each after a random delay.
  void announce(std::uint32_t Index, Duration MinDelay, Duration MaxDelay) {
    InstanceRecord Record = m_Engines[Index].m_Record;
    for (std::uint32_t I = 0; I < m_Entries.size(); ++I)
      after(between(MinDelay, MaxDelay), [this, I, Index, Record] {
        Entry &Self = m_Entries[I];
        bool IsGone =
            Record.m_State == InstanceState::Leaving || Record.m_State == InstanceState::Dead;
        auto Known = Self.m_Unavailable.find(Index);
        Incarnation &Newest = Self.m_Newest[Index];
        Newest = std::max(Newest, Record.m_Incarnation);
        if (IsGone && Record.m_Incarnation == Newest)
          Self.m_Unavailable[Index] = Record.m_Incarnation;
        else if (Known != Self.m_Unavailable.end() && Record.m_Incarnation > Known->second)
          Self.m_Unavailable.erase(Known);
        if (Record.m_State == InstanceState::Leaving)
          Self.m_Router->onLeaving(Record.m_Id, Record.m_Incarnation, m_Now);
        else
          Self.m_Router->onInstance(Record, m_Now);
      });
  }

  /// Delivers an outdated record of the upstream, as a lagging instance list does.
  void repeatStaleRecord(const InstanceRecord &Record) {
    if (m_Options.m_ListLag == Duration(0))
      return;
    for (std::uint32_t I = 0; I < m_Entries.size(); ++I)
      after(between(500ms, m_Options.m_ListLag),
            [this, I, Record] { m_Entries[I].m_Router->onInstance(Record, m_Now); });
  }

  void restart(std::uint32_t Index) {
    Engine &Self = m_Engines[Index];
    ++Self.m_Epoch;
    Self.m_IsUp = true;
    Self.m_IsStepping = false;
    Self.m_Running.clear();
    Self.m_Waiting.clear();
    Self.m_Cache.clear();
    Self.m_CacheOrder.clear();
    Self.m_NextEvent = {};
    Self.m_EventSequence = 0;
    Self.m_Record.m_Incarnation = Self.m_Record.m_Incarnation.next();
    Self.m_Record.m_State = InstanceState::Live;
    announce(Index, 50ms, 500ms);
  }

  void failAllAttempts(std::uint32_t Index, Duration MinDelay, Duration MaxDelay) {
    Engine &Self = m_Engines[Index];
    auto Fail = [&](const Job &Held) {
      after(between(MinDelay, MaxDelay),
            [this, Number = Held.m_Attempt] { onAttemptFailed(Number); });
    };
    for (const Job &Held : Self.m_Running)
      Fail(Held);
    for (const auto &[Order, Held] : Self.m_Waiting)
      Fail(Held);
  }

  void injectFault(const Fault &Planned) {
    std::uint32_t Index = Planned.m_Upstream;
    Engine &Self = m_Engines[Index];
    if (!Self.m_IsUp || m_Now < Self.m_FrozenUntil || Self.m_Record.m_State != InstanceState::Live)
      return;
    InstanceRecord Before = Self.m_Record;
    switch (Planned.m_Kind) {
    case Fault::Kind::Crash:
      Self.m_IsUp = false;
      ++Self.m_Epoch;
      failAllAttempts(Index, 1ms, 20ms);
      Self.m_Record.m_State = InstanceState::Dead;
      announce(Index, HeartbeatLimit, 5s);
      repeatStaleRecord(Before);
      after(std::max(Planned.m_Duration, Duration(6s)), [this, Index] { restart(Index); });
      break;
    case Fault::Kind::Freeze:
      Self.m_FrozenUntil = m_Now + Planned.m_Duration;
      if (Planned.m_Duration >= HeartbeatLimit)
        failAllAttempts(Index, HeartbeatLimit, HeartbeatLimit + 500ms);
      break;
    case Fault::Kind::Leave:
      Self.m_Record.m_State = InstanceState::Leaving;
      announce(Index, 1ms, 50ms);
      repeatStaleRecord(Before);
      // The delay lets running requests finish before the upstream restarts.
      after(std::max(Planned.m_Duration, Duration(8s)), [this, Index] {
        failAllAttempts(Index, 1ms, 20ms);
        restart(Index);
      });
      break;
    case Fault::Kind::Reload:
      // The digest is zero while the engine loads; requests in progress complete.
      Self.m_Record.m_ServedDigest = Digest();
      announce(Index, 1ms, 50ms);
      after(std::max(Planned.m_Duration, Duration(6s)), [this, Index] {
        m_Engines[Index].m_Record.m_ServedDigest = sha256("version-2");
        announce(Index, 50ms, 500ms);
      });
      break;
    }
  }

  Result finish() {
    double Measured = toSeconds(m_Options.m_Length - m_Options.m_WarmUp);
    m_Result.m_Goodput /= Measured;
    m_Result.m_Throughput /= Measured;
    for (const Submission &Known : m_Submissions)
      m_Result.m_WithoutAnswer += !Known.m_IsDone;
    for (const Entry &Self : m_Entries) {
      const RouterCounters &Counters = Self.m_Router->counters();
      m_Result.m_Router.m_Selections += Counters.m_Selections;
      m_Result.m_Router.m_NoUpstream += Counters.m_NoUpstream;
      m_Result.m_Router.m_SpilledToRegion += Counters.m_SpilledToRegion;
      m_Result.m_Router.m_SpillRefused += Counters.m_SpillRefused;
      m_Result.m_Router.m_StaleRecords += Counters.m_StaleRecords;
      m_Result.m_Router.m_CacheEventGaps += Counters.m_CacheEventGaps;
      m_Result.m_Router.m_UnknownReleases += Counters.m_UnknownReleases;
      m_Result.m_Router.m_LastResortSelections += Counters.m_LastResortSelections;
      for (const Engine &Known : m_Engines)
        m_Result.m_LeftInFlight += Self.m_Router->inFlight(Known.m_Record.m_Id);
      m_Result.m_LeftInFlight += Self.m_Scheduler->inFlight(service());
    }
    return m_Result;
  }

  Options m_Options;
  std::vector<TrafficClass> m_Classes;
  RandomGenerator m_Random;
  TimePoint m_Now;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextSequence = 0;
  std::vector<Engine> m_Engines;
  std::vector<Entry> m_Entries;
  std::deque<Caller> m_Callers;
  std::deque<Submission> m_Submissions;
  std::deque<Attempt> m_Attempts;
  Result m_Result;
};

} // namespace fescuegauge::simulation

#endif // FESCUEGAUGE_BENCH_TRAFFICSIMULATION_H
