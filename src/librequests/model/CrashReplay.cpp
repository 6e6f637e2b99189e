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
constexpr Duration MinStartTime = 100ms;
constexpr Duration MaxStartTime = 600ms;
constexpr Duration AnswerTime = 1s;
constexpr Duration DownTime = 3s;
constexpr double RequestsPerUpstream = 8;
constexpr std::size_t Slots = 16;
/// Start of the ids of parts that crash upstreams.
const std::string FaultyPrefix = "bad";
constexpr std::size_t AccountCount = 10;
/// Share of the requests of the largest account, which sends the faulty ones.
constexpr double LargestAccountShare = 0.4;
constexpr std::size_t FirstPartCount = 60;
constexpr double SecondPartShare = 0.3;
constexpr std::size_t SecondPartCount = 200;

} // namespace

CrashReplay::CrashReplay(const CrashReplayOptions &Given)
    : m_Options(Given), m_Random(Given.m_Seed), m_Instances(Given.m_Instances),
      m_Upstreams(Given.m_Upstreams), m_Faults(Given.m_FaultyParts) {
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
  const double Rate = RequestsPerUpstream * static_cast<double>(m_Options.m_Upstreams);
  post(m_Now +
           Duration(static_cast<Duration::rep>(-std::log(1 - uniformUnit(m_Random)) * 1e6 / Rate)),
       [this] { arrive(); });
  Request New;
  New.m_ArrivedAt = m_Now;
  New.m_Instance = index(m_Options.m_Instances);
  if (m_Now >= FaultBegin && m_Now < FaultEnd && chance(m_Options.m_FaultyShare))
    New.m_FaultyPart = index(m_Options.m_FaultyParts);
  // Each faulty part comes from an account and with a first part of its own.
  const std::size_t Account = New.m_FaultyPart              ? *New.m_FaultyPart
                              : chance(LargestAccountShare) ? 0
                                                            : 1 + index(AccountCount - 1);
  const std::size_t First = New.m_FaultyPart ? *New.m_FaultyPart : index(FirstPartCount);
  std::vector<std::string> Parts{"first" + std::to_string(First)};
  if (New.m_FaultyPart)
    Parts.push_back(FaultyPrefix + std::to_string(*New.m_FaultyPart));
  else if (chance(SecondPartShare))
    Parts.push_back("second" + std::to_string(index(SecondPartCount)));
  if (m_Options.m_Rule == SuspectRule::WholeRequests)
    Parts.clear();
  New.m_IsRelated =
      !New.m_FaultyPart && (Account < m_Options.m_FaultyParts || First < m_Options.m_FaultyParts);
  New.m_Suspect = makeSuspectRequest(ClientAccountId("account" + std::to_string(Account)),
                                     sha256(std::to_string(m_Requests.size())), Parts);
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
  if (Sent.m_FaultyPart)
    m_Faults[*Sent.m_FaultyPart].m_Sends.push_back(m_Now);
  Upstream &To = m_Upstreams[Chosen];
  To.m_Running.insert(Number);
  post(m_Now + between(MinStartTime, MaxStartTime),
       [this, Number, Current = To.m_Incarnation] { begin(Number, Current); });
}

void CrashReplay::begin(std::size_t Number, std::uint64_t StartNumber) {
  Request &Begun = m_Requests[Number];
  Upstream &At = m_Upstreams[Begun.m_Upstream];
  if (At.m_Incarnation != StartNumber || !At.m_Running.contains(Number))
    return;
  if (Begun.m_FaultyPart) {
    m_Faults[*Begun.m_FaultyPart].m_Crashes.push_back(m_Now);
    crash(Begun.m_Upstream);
    return;
  }
  Begun.m_HasBegun = true;
  CrashSuspects &Suspects = *m_Instances[Begun.m_Instance].m_Suspects;
  if (m_Options.m_Rule != SuspectRule::CountOnly)
    Suspects.recordBegun(Begun.m_Suspect, m_Now);
  collectChanges(Begun.m_Instance);
  post(m_Now + AnswerTime, [this, Number, StartNumber] {
    Upstream &Of = m_Upstreams[m_Requests[Number].m_Upstream];
    if (Of.m_Incarnation == StartNumber)
      Of.m_Running.erase(Number);
  });
}

void CrashReplay::crash(std::size_t Crashed) {
  Upstream &Lost = m_Upstreams[Crashed];
  const UpstreamStart Start = startOf(Crashed);
  std::map<std::size_t, std::vector<std::size_t>> UnstartedByInstance;
  for (const std::size_t Number : Lost.m_Running)
    if (!m_Requests[Number].m_HasBegun)
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

void CrashReplay::collectChanges(std::size_t Of) {
  const auto IsFaultyPart = [](const SuspectKey &Key) {
    return Key.m_Kind == SuspectKey::Kind::PromptPart && Key.m_Id.starts_with(FaultyPrefix);
  };
  for (const QuarantineChange &Change : m_Instances[Of].m_Suspects->takeChanges()) {
    const std::vector<SuspectKey> &Keys = Change.m_Quarantine.m_Keys;
    if (Change.m_Kind != QuarantineChange::Kind::Begun ||
        std::any_of(Keys.begin(), Keys.end(), IsFaultyPart))
      continue;
    if (!Change.m_Quarantine.isOfOneRequest())
      m_FalseConvictions.insert(Keys);
    else if (std::none_of(m_Requests.begin(), m_Requests.end(), [&](const Request &Each) {
               return Each.m_FaultyPart && Change.m_Quarantine.matches(Each.m_Suspect);
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
  while (!m_Events.empty() && m_Events.top().m_At < End) {
    const Event Next = m_Events.top();
    m_Events.pop();
    m_Now = Next.m_At;
    Next.m_Run();
  }
  CrashReplayResult Result;
  Result.m_FalseConvictions = m_FalseConvictions.size();
  Result.m_BlockedRequests = m_BlockedRequests.size();
  TimePoint LastBound = FaultBegin;
  for (const Fault &Each : m_Faults) {
    Result.m_Crashes += Each.m_Crashes.size();
    if (Each.m_Crashes.empty())
      continue;
    const bool HasFive = Each.m_Crashes.size() >= CrashesToBound;
    const TimePoint Bound =
        (HasFive ? Each.m_Crashes[CrashesToBound - 1] : Each.m_Crashes.back()) + BoundTime;
    LastBound = std::max(LastBound, Bound);
    if (HasFive)
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
