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

/// A class of work as callers send it.
struct ClassOfTraffic {
  ClassTarget m_Target;
  /// Share of requests.
  double m_Share = 0;
  std::uint32_t m_PromptBlocks = 0;
  std::uint32_t m_AnswerTokens = 0;
};

/// How requests are placed: the product's router, or a baseline.
enum class Placement { Router, RoundRobin, LeastInFlight, Random };

/// Something that happens to an upstream during the run.
struct Fault {
  enum class Kind { Die, Freeze, Leave, Reload };
  Kind m_Kind = Kind::Die;
  Duration m_At{0};
  std::uint32_t m_Upstream = 0;
  /// Length of a freeze, or time until a dead or left upstream is back with a new incarnation.
  Duration m_For = 5s;
};

struct Options {
  std::uint32_t m_Entries = 8;
  std::uint32_t m_Upstreams = 10;
  std::uint32_t m_Slots = 32;
  std::uint32_t m_Regions = 1;
  /// Share of requests that arrive in region 0; 0 for equal shares.
  double m_HotRegion = 0;
  /// Budget of each entry instance on the region link.
  BytesPerSecond m_SpillRate{2.5e6 / 2 / 8};
  Placement m_Placement = Placement::Router;
  SchedulerRules m_Scheduler;
  RouterRules m_Router;
  std::uint64_t m_Seed = 1;
  Duration m_Length = 40s;
  /// Requests that arrive before this time are not counted.
  Duration m_WarmUp = 10s;
  /// Offered requests per second at a time, in all.
  std::function<double(Duration)> m_Rate;
  /// Relative demand of the accounts.
  std::vector<double> m_Accounts = std::vector<double>(10, 1.0);
  /// Share of refused callers that ask again after 100 to 300 ms and not after the retry-after
  /// time.
  double m_Impatient = 0.3;
  std::uint32_t m_MaxAsks = 4;
  /// Callers disconnect after this multiple of the target and ask again.
  double m_CallerTimeout = 2.0;
  /// Requests are handed to the scheduler; false sends everything to upstreams at once.
  bool m_UseScheduler = true;
  bool m_Hedge = true;
  Duration m_ReportInterval = 250ms;
  Duration m_MinLag = 100ms;
  Duration m_MaxLag = 400ms;
  double m_CacheEventLoss = 0.1;
  bool m_CacheEvents = true;
  /// Prompts share the text of one of this many documents of their class.
  std::uint32_t m_Documents = 100;
  std::uint32_t m_CacheBlocks = 500;
  /// Share of requests that continue one of this many conversations.
  double m_InConversation = 0;
  std::uint32_t m_Conversations = 50;
  std::vector<Fault> m_Faults;
  /// The lagging list repeats records as they were this long ago; 0 for no list.
  Duration m_ListLag{0};
  /// Attempts that fail for other reasons than a lost upstream.
  double m_AttemptFailure = 0;
  /// Closed loop with this many requests outstanding, for measuring capacity; 0 for open arrivals.
  std::uint32_t m_ClosedLoop = 0;
};

struct ClassResult {
  /// Requests of callers, not counting what they ask again.
  std::uint64_t m_Offered = 0;
  /// Offered requests answered within target when first asked.
  std::uint64_t m_OfferedWithin = 0;
  /// Everything that reached an entry instance.
  std::uint64_t m_Submitted = 0;
  /// Not refused on arrival.
  std::uint64_t m_Admitted = 0;
  std::uint64_t m_AdmittedWithin = 0;
  std::uint64_t m_RefusedQueued = 0;
  /// Sent to an upstream and not answered.
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
  /// Per half second of arrival: offered requests, and those answered within target when first
  /// asked.
  std::vector<std::pair<std::uint64_t, std::uint64_t>> m_Bins;
  /// Per half second: work of answers within target, in slot seconds per second.
  std::vector<double> m_BinGoodput;
  /// Dispatches to an upstream after the entry instance was told that it leaves or is dead.
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

/// The four classes of work of the benchmark, with the targets of section 2 where it has one.
inline std::vector<ClassOfTraffic> standardClasses() {
  std::vector<ClassOfTraffic> Classes(4);
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

/// Entry instances with the product's policies, upstreams with continuous batching and a prefix
/// cache, late load reports, lossy cache events and callers, on virtual time with a fixed seed.
///
/// An upstream works in steps. A step takes StepBase and StepPerSequence for each running request,
/// and PrefillPerToken for each prompt token that is computed; it yields one token of each running
/// request whose prompt is done. Waiting requests start in order of priority.
class Simulation {
public:
  static constexpr Duration StepBase = 10ms;
  static constexpr Duration StepPerSequence{500};
  static constexpr Duration PrefillPerToken{20};
  static constexpr std::uint32_t PrefillChunk = 512;
  static constexpr std::uint32_t TokensPerBlock = 64;
  static constexpr Duration NetworkDelay = 1ms;
  /// An entry instance considers an upstream lost after this time without heartbeats.
  static constexpr Duration HeartbeatLimit = 2s;
  static constexpr Duration Bin = 500ms;

  explicit Simulation(Options Given, std::vector<ClassOfTraffic> Classes = standardClasses())
      : m_Options(std::move(Given)), m_Classes(std::move(Classes)), m_Random(m_Options.m_Seed) {}

  Result run() {
    setUp();
    while (!m_Events.empty() && m_Events.top().m_Time <= end() + Grace) {
      Event Next = std::move(const_cast<Event &>(m_Events.top()));
      m_Events.pop();
      m_Now = Next.m_Time;
      Next.m_Action();
    }
    return finish();
  }

  /// Slot time of a request at a full batch, the unit of work.
  double workOf(std::size_t Class) const {
    const ClassOfTraffic &Kind = m_Classes[Class];
    Duration Step = StepBase + StepPerSequence * m_Options.m_Slots;
    return toSeconds(Step * Kind.m_AnswerTokens +
                     PrefillPerToken * (Kind.m_PromptBlocks * TokensPerBlock));
  }

private:
  static constexpr Duration Grace = 20s;

  struct Event {
    TimePoint m_Time;
    std::uint64_t m_Sequence;
    std::function<void()> m_Action;
    bool operator<(const Event &Other) const {
      return std::tie(m_Time, m_Sequence) > std::tie(Other.m_Time, Other.m_Sequence);
    }
  };

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
    std::uint64_t m_Life = 0;
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
    std::vector<std::uint32_t> m_OwnCounts;
    /// Upstreams that the instance was told to be leaving or dead, by incarnation.
    std::map<std::uint32_t, Incarnation> m_Gone;
    /// The newest incarnation that it was told of. Notices of older ones say nothing about this
    /// one.
    std::map<std::uint32_t, Incarnation> m_Newest;
  };

  struct Attempt {
    std::uint64_t m_Ask = 0;
    std::uint32_t m_Upstream = 0;
    std::uint64_t m_Life = 0;
    bool m_IsOpen = true;
  };

  /// One request as an entry instance sees it. A caller that asks again makes a new one.
  struct Ask {
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
    bool m_IsGone = false;
  };

  struct Caller {
    std::size_t m_Class = 0;
    std::size_t m_Account = 0;
    bool m_IsImpatient = false;
    bool m_IsCounted = false;
    std::uint32_t m_Asks = 0;
    TimePoint m_Arrived;
  };

  TimePoint start() const { return TimePoint(Duration(1s)); }
  TimePoint end() const { return start() + m_Options.m_Length; }
  Duration since() const { return m_Now - start(); }
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
    m_Result.m_BinGoodput.resize(m_Result.m_Bins.size() + static_cast<std::size_t>(Grace / Bin) +
                                 1);
    std::vector<ClassTarget> Targets;
    for (const ClassOfTraffic &Kind : m_Classes)
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
      Self.m_OwnCounts.resize(m_Options.m_Upstreams);
      for (const Engine &Known : m_Engines)
        Self.m_Router->onInstance(Known.m_Record, m_Now);
      after(between(0ms, 20ms), [this, I] { poll(I); });
      after(between(0ms, 100ms), [this, I] { updateLoad(I); });
    }
    for (std::uint32_t I = 0; I < m_Options.m_Upstreams; ++I)
      after(between(0ms, m_Options.m_ReportInterval), [this, I] { report(I); });
    for (const Fault &Planned : m_Options.m_Faults)
      at(start() + Planned.m_At, [this, Planned] { happen(Planned); });
    if (m_Options.m_ClosedLoop > 0)
      for (std::uint32_t I = 0; I < m_Options.m_ClosedLoop; ++I)
        after(between(0ms, 1s), [this] { arrive(); });
    else
      nextArrival();
  }

  void nextArrival() {
    double Rate = m_Options.m_Rate(since());
    double Gap = -std::log(1 - uniformUnit(m_Random)) / std::max(Rate, 0.001);
    after(Duration(static_cast<Duration::rep>(Gap * 1e6)), [this] {
      if (m_Now >= end())
        return;
      arrive();
      nextArrival();
    });
  }

  void arrive() {
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
    Added.m_IsImpatient = chance(m_Random, m_Options.m_Impatient);
    Added.m_Arrived = m_Now;
    Added.m_IsCounted = since() >= m_Options.m_WarmUp;
    m_Callers.push_back(Added);
    if (Added.m_IsCounted) {
      ++m_Result.m_Classes[Added.m_Class].m_Offered;
      m_Result.m_AccountDemand[Added.m_Account] += workOf(Added.m_Class);
    }
    ++m_Result.m_Bins[static_cast<std::size_t>(since() / Bin)].first;
    ask(m_Callers.size() - 1);
  }

  void ask(std::uint64_t CallerIndex) {
    Caller &Asking = m_Callers[CallerIndex];
    const ClassOfTraffic &Kind = m_Classes[Asking.m_Class];
    Ask Added;
    Added.m_Caller = CallerIndex;
    Added.m_Number = Asking.m_Asks++;
    Added.m_Entry = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Entries.size()));
    if (m_Options.m_HotRegion > 0) {
      bool IsHot = chance(m_Random, m_Options.m_HotRegion);
      while ((Added.m_Entry % m_Options.m_Regions == 0) != IsHot)
        Added.m_Entry = static_cast<std::uint32_t>(uniformBelow(m_Random, m_Entries.size()));
    }
    Added.m_Arrived = m_Now;
    RequestDescription &Request = Added.m_Request;
    std::uint64_t Index = m_Asks.size();
    Request.m_Id = RequestId("request-" + std::to_string(Index));
    Request.m_Account = ClientAccountId("account-" + std::to_string(Asking.m_Account));
    Request.m_Service = service();
    Request.m_Class = Kind.m_Target.m_Class;
    Request.m_NonIdempotent = Kind.m_Target.m_NonIdempotent;
    Request.m_EstimatedTokens = Kind.m_PromptBlocks * TokensPerBlock + Kind.m_AnswerTokens;
    if (m_Options.m_InConversation > 0 && chance(m_Random, m_Options.m_InConversation))
      Request.m_Conversation = ConversationId(
          "talk-" + std::to_string(uniformBelow(m_Random, m_Options.m_Conversations)));
    // The last quarter of a prompt belongs to the request alone.
    std::uint64_t Document = uniformBelow(m_Random, m_Options.m_Documents);
    std::uint64_t Block = 0;
    for (std::uint32_t I = 0; I < Kind.m_PromptBlocks; ++I) {
      bool IsOwn = I >= Kind.m_PromptBlocks - (Kind.m_PromptBlocks + 3) / 4;
      Block = mix(Block ^ mix(I + 1) ^ mix(Asking.m_Class * 1000003 + Document) ^
                  (IsOwn ? mix(Index + 7) : 0));
      Request.m_PrefixBlocks.push_back(Block);
    }
    m_Asks.push_back(std::move(Added));
    bool IsCounted = Asking.m_IsCounted;
    ClassResult &Counts = m_Result.m_Classes[Asking.m_Class];
    if (IsCounted) {
      ++Counts.m_Submitted;
      ++Counts.m_Admitted;
    }
    if (m_Options.m_ClosedLoop == 0)
      after(timeout(Asking.m_Class), [this, Index] { callerLeaves(Index); });
    Entry &Self = m_Entries[m_Asks[Index].m_Entry];
    if (!m_Options.m_UseScheduler) {
      startRequest(Index);
      return;
    }
    for (const SchedulerAction &Action : Self.m_Scheduler->submit(m_Asks[Index].m_Request, m_Now)) {
      // A refusal on arrival is no admission.
      if (IsCounted && Action.m_Kind == SchedulerAction::Kind::Refuse &&
          Action.m_Id == m_Asks[Index].m_Request.m_Id)
        --Counts.m_Admitted;
      act(Action, Index);
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

  void act(const SchedulerAction &Action, std::optional<std::uint64_t> Submitted = std::nullopt) {
    std::uint64_t Index = indexOf(Action.m_Id);
    if (Action.m_Kind == SchedulerAction::Kind::Start) {
      startRequest(Index);
      return;
    }
    Ask &Refused = m_Asks[Index];
    m_Result.m_AnsweredTwice += Refused.m_Answers++ > 0 || Refused.m_IsStarted;
    Refused.m_IsDone = true;
    Caller &Asking = m_Callers[Refused.m_Caller];
    if (Asking.m_IsCounted && Index != Submitted)
      ++m_Result.m_Classes[Asking.m_Class].m_RefusedQueued;
    askAgain(Refused.m_Caller,
             Asking.m_IsImpatient ? between(100ms, 300ms) : Action.m_Refusal.m_RetryAfter);
  }

  void askAgain(std::uint64_t CallerIndex, Duration Delay) {
    if (m_Options.m_ClosedLoop > 0) {
      after(10ms, [this] { arrive(); });
      return;
    }
    Caller &Asking = m_Callers[CallerIndex];
    if (Asking.m_Asks >= m_Options.m_MaxAsks)
      return;
    after(Delay, [this, CallerIndex] {
      if (m_Now < end())
        ask(CallerIndex);
    });
  }

  void callerLeaves(std::uint64_t Index) {
    Ask &Left = m_Asks[Index];
    if (Left.m_IsDone)
      return;
    Left.m_IsGone = true;
    if (!Left.m_IsStarted)
      m_Entries[Left.m_Entry].m_Scheduler->cancel(Left.m_Request.m_Id);
    endRequest(Index, false);
    askAgain(Left.m_Caller, between(100ms, 300ms));
  }

  void startRequest(std::uint64_t Index) {
    Ask &Started = m_Asks[Index];
    m_Result.m_AnsweredTwice += Started.m_IsStarted || Started.m_IsDone;
    Started.m_IsStarted = true;
    Started.m_Started = m_Now;
    ++m_Result.m_Requests;
    if (!sendAttempt(Index)) {
      endRequest(Index, false);
      askAgain(Started.m_Caller, 1s);
      return;
    }
    Entry &Self = m_Entries[Started.m_Entry];
    if (!m_Options.m_Hedge || !m_Options.m_UseScheduler)
      return;
    if (auto Delay = Self.m_Scheduler->hedgeAfter(Started.m_Request.m_Id))
      after(*Delay, [this, Index] { hedge(Index); });
  }

  void hedge(std::uint64_t Index) {
    Ask &Hedged = m_Asks[Index];
    if (Hedged.m_IsDone || Hedged.m_FirstToken || Hedged.m_Attempts.size() != 1)
      return;
    if (m_Entries[Hedged.m_Entry].m_Scheduler->tryHedge(Hedged.m_Request.m_Id) &&
        sendAttempt(Index))
      ++m_Result.m_Hedges;
  }

  std::optional<std::uint32_t> choose(Ask &Sent) {
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
      if (!Self.m_Gone.count(I) && !Tried.count(I))
        Usable.push_back(I);
    if (Usable.empty())
      return std::nullopt;
    std::uint32_t Pick = Usable[Self.m_NextUpstream++ % Usable.size()];
    if (m_Options.m_Placement == Placement::Random)
      Pick = Usable[uniformBelow(m_Random, Usable.size())];
    if (m_Options.m_Placement == Placement::LeastInFlight)
      for (std::uint32_t I : Usable)
        if (Self.m_OwnCounts[I] < Self.m_OwnCounts[Pick])
          Pick = I;
    return Pick;
  }

  bool sendAttempt(std::uint64_t Index) {
    Ask &Sent = m_Asks[Index];
    std::optional<std::uint32_t> Chosen = choose(Sent);
    if (!Chosen)
      return false;
    Entry &Self = m_Entries[Sent.m_Entry];
    auto Gone = Self.m_Gone.find(*Chosen);
    if (Gone != Self.m_Gone.end())
      ++m_Result.m_DispatchedAfterNotice;
    ++Self.m_OwnCounts[*Chosen];
    ++m_Result.m_Attempts;
    std::uint64_t Number = m_Attempts.size();
    m_Attempts.push_back({Index, *Chosen, m_Engines[*Chosen].m_Life, true});
    Sent.m_Attempts.push_back(Number);
    after(NetworkDelay, [this, Number] { reach(Number); });
    return true;
  }

  void reach(std::uint64_t Number) {
    Attempt &Reached = m_Attempts[Number];
    if (!Reached.m_IsOpen)
      return;
    Engine &Target = m_Engines[Reached.m_Upstream];
    if (!Target.m_IsUp || Target.m_Life != Reached.m_Life) {
      after(NetworkDelay, [this, Number] { lose(Number); });
      return;
    }
    if (chance(m_Random, m_Options.m_AttemptFailure)) {
      after(50ms, [this, Number] { lose(Number); });
      return;
    }
    const Ask &Sent = m_Asks[Reached.m_Ask];
    const ClassOfTraffic &Kind = m_Classes[m_Callers[Sent.m_Caller].m_Class];
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
      const Ask &Sent = m_Asks[m_Attempts[Next.m_Attempt].m_Ask];
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
      // Prompts are computed in order of priority.
      auto Place = std::upper_bound(
          Target.m_Running.begin(), Target.m_Running.end(), Next,
          [](const Job &Left, const Job &Right) { return Left.m_Priority > Right.m_Priority; });
      Target.m_Running.insert(Place, Next);
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

  /// Begins the next step of an idle upstream that has work.
  void step(std::uint32_t Index) {
    Engine &Target = m_Engines[Index];
    if (Target.m_IsStepping || !Target.m_IsUp)
      return;
    if (m_Now < Target.m_FrozenUntil) {
      Target.m_IsStepping = true;
      at(Target.m_FrozenUntil, [this, Index, Life = Target.m_Life] {
        if (m_Engines[Index].m_Life != Life)
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
    after(Length, [this, Index, Life = Target.m_Life, Yields = std::move(Yields)] {
      Engine &Done = m_Engines[Index];
      if (Done.m_Life != Life || !Done.m_IsUp)
        return;
      std::vector<std::uint64_t> Ended;
      std::size_t At = 0;
      for (std::uint64_t Number : Yields) {
        while (Done.m_Running[At].m_Attempt != Number)
          ++At;
        token(Number, --Done.m_Running[At].m_AnswerLeft == 0);
        if (Done.m_Running[At].m_AnswerLeft == 0)
          Ended.push_back(Number);
      }
      std::erase_if(Done.m_Running, [&](const Job &Held) { return Held.m_AnswerLeft == 0; });
      Done.m_IsStepping = false;
      step(Index);
    });
  }

  void token(std::uint64_t Number, bool IsLast) {
    Attempt &From = m_Attempts[Number];
    if (!From.m_IsOpen)
      return;
    Ask &Sent = m_Asks[From.m_Ask];
    if (!Sent.m_FirstToken)
      Sent.m_FirstToken = m_Now + NetworkDelay;
    if (IsLast)
      after(NetworkDelay, [this, Number] {
        if (!m_Attempts[Number].m_IsOpen)
          return;
        close(Number, false);
        endRequest(m_Attempts[Number].m_Ask, true);
      });
  }

  void close(std::uint64_t Number, bool Lost) {
    Attempt &Closed = m_Attempts[Number];
    Closed.m_IsOpen = false;
    const Ask &Sent = m_Asks[Closed.m_Ask];
    Entry &Self = m_Entries[Sent.m_Entry];
    --Self.m_OwnCounts[Closed.m_Upstream];
    if (m_Options.m_Placement == Placement::Router)
      Self.m_Router->release(m_Engines[Closed.m_Upstream].m_Record.m_Id, Sent.m_Request, Lost,
                             m_Now);
  }

  /// The entry instance notices that an attempt failed.
  void lose(std::uint64_t Number) {
    if (!m_Attempts[Number].m_IsOpen)
      return;
    close(Number, true);
    std::uint64_t Index = m_Attempts[Number].m_Ask;
    Ask &Sent = m_Asks[Index];
    for (std::uint64_t Other : Sent.m_Attempts)
      if (m_Attempts[Other].m_IsOpen)
        return;
    Entry &Self = m_Entries[Sent.m_Entry];
    bool MayRetry = !Sent.m_Request.m_NonIdempotent &&
                    (!m_Options.m_UseScheduler || Self.m_Scheduler->tryRetry(Sent.m_Request.m_Id));
    if (MayRetry && sendAttempt(Index))
      return;
    endRequest(Index, false);
    askAgain(Sent.m_Caller, 1s);
  }

  void endRequest(std::uint64_t Index, bool IsComplete) {
    Ask &Ended = m_Asks[Index];
    if (Ended.m_IsDone)
      return;
    Ended.m_IsDone = true;
    for (std::uint64_t Number : Ended.m_Attempts)
      if (m_Attempts[Number].m_IsOpen)
        close(Number, false);
    m_Result.m_AnsweredTwice += Ended.m_Answers++ > 0;
    const Caller &Asking = m_Callers[Ended.m_Caller];
    ClassResult &Counts = m_Result.m_Classes[Asking.m_Class];
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
        act(Action);
    }
    if (!IsComplete) {
      Counts.m_Failed += Ended.m_IsStarted && Asking.m_IsCounted;
      return;
    }
    const ClassTarget &Target = m_Classes[Asking.m_Class].m_Target;
    bool IsWithin = true;
    if (Target.m_AnswerWithin)
      IsWithin = m_Now - Ended.m_Arrived <= *Target.m_AnswerWithin;
    if (Target.m_StaleAfter)
      IsWithin = IsWithin && m_Now - Ended.m_Arrived <= *Target.m_StaleAfter;
    if (Target.m_FirstTokenWithin)
      IsWithin = IsWithin && *Ended.m_FirstToken - Ended.m_Arrived <= *Target.m_FirstTokenWithin;
    double Work = workOf(Asking.m_Class);
    if (since() >= m_Options.m_WarmUp && m_Now <= end()) {
      m_Result.m_Throughput += Work;
      m_Result.m_Goodput += IsWithin ? Work : 0;
      m_Result.m_AccountWork[Asking.m_Account] += IsWithin ? Work : 0;
    }
    if (IsWithin) {
      m_Result.m_BinGoodput[static_cast<std::size_t>(since() / Bin)] += Work / toSeconds(Bin);
      if (Asking.m_IsCounted)
        ++Counts.m_AdmittedWithin;
      if (Ended.m_Number == 0) {
        ++m_Result.m_Bins[static_cast<std::size_t>((Asking.m_Arrived - start()) / Bin)].second;
        if (Asking.m_IsCounted)
          ++Counts.m_OfferedWithin;
      }
    }
    if (m_Options.m_ClosedLoop > 0)
      arrive();
  }

  void poll(std::uint32_t Index) {
    for (const SchedulerAction &Action : m_Entries[Index].m_Scheduler->poll(m_Now))
      act(Action);
    if (m_Now < end() + Grace / 2)
      after(20ms, [this, Index] { poll(Index); });
  }

  void updateLoad(std::uint32_t Index) {
    Entry &Self = m_Entries[Index];
    Self.m_Scheduler->onLoad(service(), Self.m_Router->load(service(), m_Now),
                             (m_Options.m_Entries + m_Options.m_Regions - 1) / m_Options.m_Regions);
    if (m_Now < end() + Grace / 2)
      after(100ms, [this, Index] { updateLoad(Index); });
  }

  void report(std::uint32_t Index) {
    Engine &Self = m_Engines[Index];
    if (m_Now > end() + Grace / 2)
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

  /// Tells every entry instance of a state of an upstream, each after its own delay.
  void announce(std::uint32_t Index, Duration MinDelay, Duration MaxDelay) {
    InstanceRecord Record = m_Engines[Index].m_Record;
    for (std::uint32_t I = 0; I < m_Entries.size(); ++I)
      after(between(MinDelay, MaxDelay), [this, I, Index, Record] {
        Entry &Self = m_Entries[I];
        bool IsGone =
            Record.m_State == InstanceState::Leaving || Record.m_State == InstanceState::Dead;
        auto Known = Self.m_Gone.find(Index);
        Incarnation &Newest = Self.m_Newest[Index];
        Newest = std::max(Newest, Record.m_Incarnation);
        if (IsGone && Record.m_Incarnation == Newest)
          Self.m_Gone[Index] = Record.m_Incarnation;
        else if (Known != Self.m_Gone.end() && Record.m_Incarnation > Known->second)
          Self.m_Gone.erase(Known);
        if (Record.m_State == InstanceState::Leaving)
          Self.m_Router->onLeaving(Record.m_Id, Record.m_Incarnation, m_Now);
        else
          Self.m_Router->onInstance(Record, m_Now);
      });
  }

  /// Repeats the upstream's earlier record, as a lagging list does.
  void repeatStaleRecord(const InstanceRecord &Record) {
    if (m_Options.m_ListLag == Duration(0))
      return;
    for (std::uint32_t I = 0; I < m_Entries.size(); ++I)
      after(between(500ms, m_Options.m_ListLag),
            [this, I, Record] { m_Entries[I].m_Router->onInstance(Record, m_Now); });
  }

  void restart(std::uint32_t Index) {
    Engine &Self = m_Engines[Index];
    ++Self.m_Life;
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

  void loseAll(std::uint32_t Index, Duration MinDelay, Duration MaxDelay) {
    Engine &Self = m_Engines[Index];
    auto Lose = [&](const Job &Held) {
      after(between(MinDelay, MaxDelay), [this, Number = Held.m_Attempt] { lose(Number); });
    };
    for (const Job &Held : Self.m_Running)
      Lose(Held);
    for (const auto &[Order, Held] : Self.m_Waiting)
      Lose(Held);
  }

  void happen(const Fault &Planned) {
    std::uint32_t Index = Planned.m_Upstream;
    Engine &Self = m_Engines[Index];
    if (!Self.m_IsUp || m_Now < Self.m_FrozenUntil || Self.m_Record.m_State != InstanceState::Live)
      return;
    InstanceRecord Before = Self.m_Record;
    switch (Planned.m_Kind) {
    case Fault::Kind::Die:
      Self.m_IsUp = false;
      ++Self.m_Life;
      loseAll(Index, 1ms, 20ms);
      Self.m_Record.m_State = InstanceState::Dead;
      announce(Index, HeartbeatLimit, 5s);
      repeatStaleRecord(Before);
      after(std::max(Planned.m_For, Duration(6s)), [this, Index] { restart(Index); });
      break;
    case Fault::Kind::Freeze:
      Self.m_FrozenUntil = m_Now + Planned.m_For;
      if (Planned.m_For >= HeartbeatLimit)
        loseAll(Index, HeartbeatLimit, HeartbeatLimit + 500ms);
      break;
    case Fault::Kind::Leave:
      Self.m_Record.m_State = InstanceState::Leaving;
      announce(Index, 1ms, 50ms);
      repeatStaleRecord(Before);
      // What runs at the upstream is finished before it restarts.
      after(std::max(Planned.m_For, Duration(8s)), [this, Index] {
        loseAll(Index, 1ms, 20ms);
        restart(Index);
      });
      break;
    case Fault::Kind::Reload:
      // The digest is zero while the engine loads; requests in progress end first.
      Self.m_Record.m_ServedDigest = Digest();
      announce(Index, 1ms, 50ms);
      after(std::max(Planned.m_For, Duration(6s)), [this, Index] {
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
    for (const Ask &Known : m_Asks)
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
  std::vector<ClassOfTraffic> m_Classes;
  RandomGenerator m_Random;
  TimePoint m_Now;
  std::priority_queue<Event> m_Events;
  std::uint64_t m_NextSequence = 0;
  std::vector<Engine> m_Engines;
  std::vector<Entry> m_Entries;
  std::deque<Caller> m_Callers;
  std::deque<Ask> m_Asks;
  std::deque<Attempt> m_Attempts;
  Result m_Result;
};

} // namespace fescuegauge::simulation

#endif // FESCUEGAUGE_BENCH_TRAFFICSIMULATION_H
