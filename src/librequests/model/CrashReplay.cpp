#include "CrashReplay.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

namespace {

using namespace std::chrono_literals;

constexpr Duration SendInterval = 50ms;
constexpr Duration RemoteInterval = 400ms;
constexpr std::size_t MaxLocalPeers = 16;
constexpr std::size_t MaxRemotePeers = 8;
constexpr Duration MaxDelay = 60ms;
/// Time until an instance has confirmed a crash.
constexpr Duration ConfirmTime = 42ms;
constexpr Duration CollectionTime = 300ms;
/// Time from the first bytes of an answer to a crash in its first event, and to its second event.
constexpr Duration TimeToCrash = 5ms;
constexpr Duration EventGap = 60ms;
constexpr Duration AnswerTime = 1s;
constexpr Duration DownTime = 3s;
constexpr std::size_t Slots = 16;
/// Start of the ids of parts that crash upstreams.
const std::string FaultyPrefix = "bad";
constexpr std::size_t AccountCount = 10;
/// Share of the requests of the largest account, which sends the faulty ones.
constexpr double LargestAccountShare = 0.4;
constexpr double SecondPartShare = 0.3;
constexpr std::size_t SecondPartCount = 200;
constexpr std::size_t LookupCount = 4;

} // namespace

CrashReplay::CrashReplay(const CrashReplayOptions &Given)
    : m_Options(Given), m_Random(Given.m_Seed), m_Instances(Given.m_Instances),
      m_Upstreams(Given.m_Upstreams), m_Faults(Given.m_FaultyParts + Given.m_FaultyRequests) {
  for (Instance &Each : m_Instances) {
    Each.m_Suspects = std::make_unique<CrashSuspects>(CollectionTime);
    Each.m_Round = index(Given.m_Instances);
  }
}

Duration CrashReplay::between(Duration Least, Duration Most) {
  return Least + Duration(static_cast<Duration::rep>(uniformUnit(m_Random) *
                                                     static_cast<double>((Most - Least).count())));
}

void CrashReplay::post(TimePoint At, std::function<void()> Run) {
  m_Events.push({At, ++m_EventCount, std::move(Run)});
}

UpstreamStart CrashReplay::startOf(std::size_t Index) const {
  return {InstanceId("u" + std::to_string(Index)), Incarnation(m_Upstreams[Index].m_Incarnation)};
}

void CrashReplay::arrive() {
  const double BatchRate = m_Options.m_RequestRate * static_cast<double>(m_Options.m_Upstreams) /
                           static_cast<double>(m_Options.m_BatchSize);
  post(m_Now + Duration(static_cast<Duration::rep>(-std::log(1 - uniformUnit(m_Random)) * 1e6 /
                                                   BatchRate)),
       [this] { arrive(); });
  for (std::size_t I = 0; I < m_Options.m_BatchSize; ++I)
    accept(drawRequest());
}

CrashReplay::Request CrashReplay::drawRequest() {
  Request New;
  std::string Body = std::to_string(m_Requests.size());
  std::vector<std::string> Parts;
  std::size_t Account = chance(LargestAccountShare) ? 0 : 1 + index(AccountCount - 1);
  if (m_Options.m_LookupShare > 0 && chance(m_Options.m_LookupShare)) {
    const std::size_t Lookup = index(LookupCount);
    // A faulty lookup is sent by arriveFaulty() only.
    if (Lookup < m_Options.m_FaultyRequests && Account == Lookup)
      ++Account;
    Body = "lookup" + std::to_string(Lookup);
  } else {
    if (m_Options.m_FaultyParts > 0 && m_Now >= FaultBegin && m_Now < FaultEnd &&
        chance(m_Options.m_FaultyShare))
      New.m_Fault = index(m_Options.m_FaultyParts);
    // Each faulty part comes from an account and with a first part of its own.
    const std::size_t First =
        New.m_Fault ? *New.m_Fault % m_Options.m_FirstParts : index(m_Options.m_FirstParts);
    if (New.m_Fault)
      Account = *New.m_Fault;
    Parts.push_back("first" + std::to_string(First));
    if (New.m_Fault)
      Parts.push_back(FaultyPrefix + std::to_string(*New.m_Fault));
    else if (chance(SecondPartShare))
      Parts.push_back("second" + std::to_string(index(SecondPartCount)));
    const std::size_t Related = std::max<std::size_t>(m_Faults.size(), 1);
    New.m_IsRelated = !New.m_Fault && (Account < Related || First < Related);
  }
  New.m_Suspect = suspectOf(Account, Body, Parts);
  return New;
}

SuspectRequest CrashReplay::suspectOf(std::size_t Account, const std::string &Body,
                                      std::vector<std::string> Parts) const {
  if (m_Options.m_Rule == SuspectRule::WholeRequests)
    Parts.clear();
  const ClientAccountId Sender("account" + std::to_string(Account));
  const bool IsAccountIgnored = m_Options.m_Rule == SuspectRule::SharedBodies;
  SuspectRequest Result =
      makeSuspectRequest(IsAccountIgnored ? ClientAccountId() : Sender, sha256(Body), Parts);
  Result.m_Account = Sender;
  return Result;
}

void CrashReplay::arriveFaulty(std::size_t FaultNumber) {
  if (m_Now >= FaultEnd)
    return;
  post(m_Now + FaultyRequestInterval, [this, FaultNumber] { arriveFaulty(FaultNumber); });
  const std::size_t Account = FaultNumber - m_Options.m_FaultyParts;
  Request New;
  New.m_Fault = FaultNumber;
  New.m_Suspect = suspectOf(Account, "lookup" + std::to_string(Account), {});
  accept(std::move(New));
}

void CrashReplay::accept(Request New) {
  New.m_ArrivedAt = m_Now;
  New.m_Instance = index(m_Options.m_Instances);
  m_Requests.push_back(std::move(New));
  dispatch(m_Requests.size() - 1);
}

void CrashReplay::dispatch(std::size_t Number) {
  Request &Sent = m_Requests[Number];
  if (m_Instances[Sent.m_Instance].m_Suspects->isQuarantined(Sent.m_Suspect, m_Now))
    return;
  std::size_t Chosen = m_Options.m_Upstreams;
  std::size_t Least = Slots;
  const std::size_t Offset = index(m_Options.m_Upstreams);
  for (std::size_t I = 0; I < m_Options.m_Upstreams; ++I) {
    const std::size_t Candidate = (Offset + I) % m_Options.m_Upstreams;
    const std::size_t InFlight = m_Upstreams[Candidate].m_Running.size();
    if (m_Upstreams[Candidate].m_DownUntil <= m_Now && InFlight < Least) {
      Least = InFlight;
      Chosen = Candidate;
    }
  }
  if (Chosen == m_Options.m_Upstreams)
    return;
  ++Sent.m_Attempts;
  Sent.m_Upstream = Chosen;
  if (Sent.m_Fault)
    m_Faults[*Sent.m_Fault].m_Sends.push_back(m_Now);
  Upstream &To = m_Upstreams[Chosen];
  To.m_Running.insert(Number);
  post(m_Now + between(m_Options.m_MinStartTime, m_Options.m_MaxStartTime),
       [this, Number, Current = To.m_Incarnation] { respond(Number, Current); });
}

bool CrashReplay::isAt(std::size_t Number, std::uint64_t StartNumber) const {
  const Upstream &At = m_Upstreams[m_Requests[Number].m_Upstream];
  return At.m_Incarnation == StartNumber && At.m_Running.contains(Number);
}

bool CrashReplay::isUnstarted(const Request &Running) const {
  return m_Options.m_Rule == SuspectRule::FirstBytes ? !Running.m_HasResponded
                                                     : !Running.m_HasBegun;
}

void CrashReplay::recordBegun(const Request &Begun) {
  if (m_Options.m_Rule != SuspectRule::CountOnly)
    m_Instances[Begun.m_Instance].m_Suspects->recordBegun(Begun.m_Suspect, m_Now);
  collectChanges(Begun.m_Instance);
}

void CrashReplay::respond(std::size_t Number, std::uint64_t StartNumber) {
  if (!isAt(Number, StartNumber))
    return;
  Request &Answered = m_Requests[Number];
  Answered.m_HasResponded = true;
  if (m_Options.m_Rule == SuspectRule::FirstBytes)
    recordBegun(Answered);
  if (!Answered.m_Fault)
    return post(m_Now + EventGap, [this, Number, StartNumber] { begin(Number, StartNumber); });
  post(m_Now + TimeToCrash, [this, Number, StartNumber] {
    if (!isAt(Number, StartNumber))
      return;
    const Request &Faulty = m_Requests[Number];
    m_Faults[*Faulty.m_Fault].m_Crashes.push_back(m_Now);
    crash(Faulty.m_Upstream);
  });
}

void CrashReplay::begin(std::size_t Number, std::uint64_t StartNumber) {
  if (!isAt(Number, StartNumber))
    return;
  Request &Begun = m_Requests[Number];
  Begun.m_HasBegun = true;
  if (m_Options.m_Rule != SuspectRule::FirstBytes)
    recordBegun(Begun);
  post(m_Now + AnswerTime, [this, Number, StartNumber] {
    if (isAt(Number, StartNumber))
      m_Upstreams[m_Requests[Number].m_Upstream].m_Running.erase(Number);
  });
}

void CrashReplay::crash(std::size_t Crashed) {
  Upstream &Lost = m_Upstreams[Crashed];
  const UpstreamStart Start = startOf(Crashed);
  std::map<std::size_t, std::vector<std::size_t>> UnstartedByInstance;
  for (const std::size_t Number : Lost.m_Running)
    if (isUnstarted(m_Requests[Number]))
      UnstartedByInstance[m_Requests[Number].m_Instance].push_back(Number);
  Lost.m_Running.clear();
  ++Lost.m_Incarnation;
  Lost.m_DownUntil = m_Now + DownTime;
  for (const auto &[Observer, Unstarted] : UnstartedByInstance) {
    std::vector<SuspectRequest> Suspected;
    for (const std::size_t Number : Unstarted)
      Suspected.push_back(m_Requests[Number].m_Suspect);
    post(m_Now + ConfirmTime,
         [this, Index = Observer, Start, Suspected = std::move(Suspected), At = m_Now] {
           m_Instances[Index].m_Suspects->recordCrash(Start, Suspected, At, m_Now);
           collectChanges(Index);
         });
    if (!m_Options.m_HasRetries)
      continue;
    for (const std::size_t Number : Unstarted)
      if (m_Requests[Number].m_Attempts < 2)
        dispatch(Number);
  }
}

void CrashReplay::crashSome() {
  post(m_Now + OrdinaryCrashInterval, [this] { crashSome(); });
  std::vector<std::size_t> Crashed;
  for (std::size_t I = 0; I < m_Options.m_Upstreams; ++I)
    if (m_Upstreams[I].m_DownUntil <= m_Now && chance(m_Options.m_OrdinaryCrashShare))
      Crashed.push_back(I);
  // All are down before any request is sent once more.
  for (const std::size_t Each : Crashed)
    m_Upstreams[Each].m_DownUntil = m_Now + DownTime;
  for (const std::size_t Each : Crashed)
    crash(Each);
}

void CrashReplay::crashNext(std::size_t Left) {
  const auto Crashed = std::find_if(m_Upstreams.begin(), m_Upstreams.end(), [&](const auto &Each) {
    return std::any_of(Each.m_Running.begin(), Each.m_Running.end(),
                       [&](std::size_t Number) { return isUnstarted(m_Requests[Number]); });
  });
  if (Crashed == m_Upstreams.end())
    return post(m_Now + SendInterval, [this, Left] { crashNext(Left); });
  m_LastSeriesCrash = m_Now;
  crash(static_cast<std::size_t>(Crashed - m_Upstreams.begin()));
  if (Left > 1)
    post(m_Now + between(m_Options.m_MinSeriesGap, m_Options.m_MaxSeriesGap),
         [this, Left] { crashNext(Left - 1); });
}

void CrashReplay::send(std::size_t To, std::shared_ptr<const SuspectUpdate> Update) {
  if (chance(m_Options.m_Loss))
    return;
  post(m_Now + between(1ms, MaxDelay), [this, To, Update = std::move(Update)] {
    m_Instances[To].m_Suspects->merge(*Update, m_Now);
    collectChanges(To);
  });
}

void CrashReplay::sendUpdates(std::size_t From) {
  post(m_Now + SendInterval, [this, From] { sendUpdates(From); });
  Instance &Self = m_Instances[From];
  Self.m_Suspects->onTimer(m_Now);
  collectChanges(From);
  const auto Update = std::make_shared<const SuspectUpdate>(Self.m_Suspects->takeUpdate(m_Now));
  if (Update->empty())
    return;
  std::vector<std::size_t> Local;
  std::vector<std::size_t> Remote;
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    if (I != From)
      (dataCentreOf(I) == dataCentreOf(From) ? Local : Remote).push_back(I);
  for (std::size_t I = 0; I < std::min(MaxLocalPeers, Local.size()); ++I)
    send(Local[(Self.m_Round * MaxLocalPeers + I) % Local.size()], Update);
  if (Self.m_Suspects->isUrgent(m_Now) || m_Now - Self.m_RemoteSentAt >= RemoteInterval) {
    Self.m_RemoteSentAt = m_Now;
    for (std::size_t I = 0; I < std::min(MaxRemotePeers, Remote.size()); ++I)
      send(Remote[(Self.m_Round * MaxRemotePeers + I) % Remote.size()], Update);
  }
  ++Self.m_Round;
}

void CrashReplay::withdrawQuarantined(std::size_t Of) {
  for (Upstream &Each : m_Upstreams)
    std::erase_if(Each.m_Running, [&](std::size_t Number) {
      const Request &Running = m_Requests[Number];
      return Running.m_Instance == Of && !Running.m_HasResponded &&
             m_Instances[Of].m_Suspects->isQuarantined(Running.m_Suspect, m_Now);
    });
}

void CrashReplay::collectChanges(std::size_t Of) {
  const auto IsFaultyPart = [](const SuspectKey &Key) {
    return Key.m_Kind == SuspectKey::Kind::PromptPart && Key.m_Id.starts_with(FaultyPrefix);
  };
  for (const QuarantineChange &Change : m_Instances[Of].m_Suspects->takeChanges()) {
    const std::vector<SuspectKey> &Keys = Change.m_Quarantine.m_Keys;
    if (Change.m_Kind != QuarantineChange::Kind::Begun)
      continue;
    withdrawQuarantined(Of);
    if (std::any_of(Keys.begin(), Keys.end(), IsFaultyPart))
      continue;
    if (!Change.m_Quarantine.isOfOneRequest())
      m_FalseConvictions.insert(Keys);
    else if (std::none_of(m_Requests.begin(), m_Requests.end(), [&](const Request &Each) {
               return Each.m_Fault && Change.m_Quarantine.matches(Each.m_Suspect);
             }))
      m_BlockedRequests.insert(Keys);
  }
}

CrashReplayResult CrashReplay::run() {
  post(m_Now, [this] { arrive(); });
  for (std::size_t I = 0; I < m_Instances.size(); ++I)
    post(m_Now + between(0ms, SendInterval), [this, I] { sendUpdates(I); });
  if (m_Options.m_OrdinaryCrashShare > 0)
    post(m_Now + OrdinaryCrashInterval, [this] { crashSome(); });
  if (m_Options.m_CrashSeries > 0)
    post(FaultBegin + between(0ms, FaultyRequestInterval),
         [this] { crashNext(m_Options.m_CrashSeries); });
  for (std::size_t I = m_Options.m_FaultyParts; I < m_Faults.size(); ++I)
    post(FaultBegin + between(0ms, FaultyRequestInterval), [this, I] { arriveFaulty(I); });
  while (!m_Events.empty() && m_Events.top().m_At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  CrashReplayResult Result;
  Result.m_FalseConvictions = m_FalseConvictions.size();
  Result.m_BlockedRequests = m_BlockedRequests.size();
  TimePoint LastBound = std::max(FaultBegin, m_LastSeriesCrash + BoundTime);
  for (std::size_t I = 0; I < m_Faults.size(); ++I) {
    const Fault &Each = m_Faults[I];
    Result.m_Crashes += Each.m_Crashes.size();
    if (Each.m_Crashes.empty())
      continue;
    const std::size_t Count = isFaultyRequest(I) ? RequestCrashesToBound : CrashesToBound;
    const bool HasBound = Each.m_Crashes.size() >= Count;
    const TimePoint Bound =
        (HasBound ? Each.m_Crashes[Count - 1] : Each.m_Crashes.back()) + BoundTime;
    LastBound = std::max(LastBound, Bound);
    if (HasBound)
      Result.m_SentAfterBound = std::max(
          Result.m_SentAfterBound,
          static_cast<std::size_t>(std::count_if(Each.m_Sends.begin(), Each.m_Sends.end(),
                                                 [&](TimePoint At) { return At > Bound; })));
  }
  double Before[2] = {0, 0};
  double Beside[2] = {0, 0};
  for (const Request &Each : m_Requests) {
    if (!Each.m_IsRelated)
      continue;
    const bool WasServed = Each.m_HasBegun && Each.m_Attempts == 1;
    double *Counts = Each.m_ArrivedAt < FaultBegin - 1s ? Before
                     : Each.m_ArrivedAt > LastBound + BoundTime && Each.m_ArrivedAt < FaultEnd
                         ? Beside
                         : nullptr;
    if (!Counts)
      continue;
    ++Counts[0];
    Counts[1] += WasServed ? 1 : 0;
  }
  Result.m_SoundServedRatio =
      Beside[0] > 0 && Before[1] > 0 ? (Beside[1] / Beside[0]) / (Before[1] / Before[0]) : 1;
  return Result;
}

} // namespace fescuegauge
