#include "Fescuegauge/LoadBalancer.h"

#include <algorithm>

namespace fescuegauge {

namespace {

/// The prefill load of an upstream that must not be given another prompt.
constexpr double FullLoad = 1;

Duration exponentialBackoff(Duration First, int Times, Duration Longest) {
  Duration Result = First;
  for (int I = 0; I < Times && Result < Longest; ++I)
    Result *= 2;
  return std::min(Result, Longest);
}

} // namespace

WeightsVersion UpstreamRecord::heldVersion(const ModelId &Model) const {
  WeightsVersion Result;
  for (const HeldWeights &Each : m_Weights)
    if (Each.m_Model == Model)
      Result = std::max(Result, Each.m_Version);
  return Result;
}

void LoadBalancer::setUpstreams(std::span<const UpstreamRecord> Listed) {
  std::map<InstanceId, State> Next;
  for (const UpstreamRecord &Record : Listed) {
    State Entry;
    auto Known = m_Upstreams.find(Record.m_Id);
    if (Known != m_Upstreams.end() && Known->second.m_Record.m_Incarnation == Record.m_Incarnation)
      Entry = Known->second;
    Entry.m_Record = Record;
    Entry.m_PeerUsage = UpstreamUsage();
    if (auto Loading = m_LoadEndByAddress.find(Record.m_Address);
        Loading != m_LoadEndByAddress.end())
      Entry.m_LoadingUntil = Loading->second;
    Next.emplace(Record.m_Id, std::move(Entry));
  }
  m_Upstreams = std::move(Next);
  m_ByService.clear();
  for (const auto &[Id, Entry] : m_Upstreams)
    m_ByService[Entry.m_Record.m_Service].push_back(&Entry);
  for (const auto &[Peer, Report] : m_PeerReports)
    addToTotals(Report.m_Usage);
}

void LoadBalancer::setPlan(const RouteTable &Plan) {
  m_Rates.cold().setPlan(Plan);
  // Requests of an earlier plan may still be under way to a service that the new plan drops.
  std::erase_if(m_Engines, [&](const auto &Each) {
    return Plan.service(Each.first) || !m_ByService.contains(Each.first);
  });
  std::map<ServiceId, Duration> MinTargetLatencies;
  for (const Route &Each : Plan.plan().m_Routes)
    for (const ServiceShare &Share : Each.m_Services) {
      const auto [MinLatency, IsNew] =
          MinTargetLatencies.try_emplace(Share.m_Service, Each.m_TargetLatency);
      MinLatency->second = std::min(MinLatency->second, Each.m_TargetLatency);
    }
  for (const ServicePlan &Service : Plan.plan().m_Services)
    if (Service.m_Engine)
      m_Engines.emplace(Service.m_Id,
                        Engine{*Service.m_Engine,
                               prefillBudget(*Service.m_Engine, MinTargetLatencies[Service.m_Id])});
}

std::optional<double> LoadBalancer::prefillBudget(const EngineParameters &Engine,
                                                  Duration MinTargetLatency) {
  if (Engine.m_PromptTokensPerSecond <= 0)
    return std::nullopt;
  const double DecodeTime = 2 * Engine.m_StepsPerPass * toSeconds(Engine.m_StepTime);
  const double PrefillTime = PrefillShare * toSeconds(MinTargetLatency) - DecodeTime;
  // Room for at least two prompts, so that a target which the engine cannot meet does not stop it.
  return std::max(PrefillTime * Engine.m_PromptTokensPerSecond, 2 * Engine.m_MeanPromptTokens);
}

bool LoadBalancer::holdsWeights(const UpstreamRecord &Record, const PlacementRequest &Request,
                                WeightsVersion MinVersion) const {
  if (Request.m_Model.empty() || !isEngine(Record.m_Service))
    return true;
  return std::any_of(Record.m_Weights.begin(), Record.m_Weights.end(), [&](const HeldWeights &W) {
    if (W.m_Model != Request.m_Model || W.m_Version == WeightsVersion() || W.m_Version < MinVersion)
      return false;
    return !Request.m_Version || W.m_Version == *Request.m_Version;
  });
}

WeightsVersion LoadBalancer::minVersionAt(const ModelId &Model, TimePoint At) const {
  WeightsVersion Result;
  if (auto Bounds = m_Bounds.find(Model); Bounds != m_Bounds.end())
    for (const WeightsBound &Each : Bounds->second)
      if (Each.m_At <= At)
        Result = std::max(Result, Each.m_Version);
  return Result;
}

WeightsVersion LoadBalancer::requiredVersion(const PlacementRequest &Request, const State &At,
                                             TimePoint Now) const {
  Duration Wait = At.m_StartWait.transitWait(Now);
  if (const auto ServiceEntry = m_StartWaits.find(Request.m_Service);
      ServiceEntry != m_StartWaits.end())
    Wait = std::max(Wait, ServiceEntry->second.queueWait(Now));
  const WeightsVersion Bounded = minVersionAt(Request.m_Model, Now + Wait);
  const auto MinVersion = m_MinVersions.find(Request.m_Model);
  return MinVersion == m_MinVersions.end() ? Bounded : std::max(Bounded, MinVersion->second);
}

void LoadBalancer::addToTotals(const UsageByUpstream &Usage) {
  for (const auto &[Upstream, Use] : Usage)
    if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end()) {
      Found->second.m_PeerUsage.m_Requests += Use.m_Requests;
      Found->second.m_PeerUsage.m_UnreadTokens += Use.m_UnreadTokens;
    }
}

void LoadBalancer::subtractFromTotals(const UsageByUpstream &Usage) {
  for (const auto &[Upstream, Use] : Usage)
    if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end()) {
      Found->second.m_PeerUsage.m_Requests -= Use.m_Requests;
      Found->second.m_PeerUsage.m_UnreadTokens -= Use.m_UnreadTokens;
    }
}

void LoadBalancer::expirePeerReports(TimePoint Now) {
  if (Now <= m_NextPeerExpiryAt)
    return;
  m_NextPeerExpiryAt = Now + PeerReportLifetime;
  std::erase_if(m_PeerReports, [&](const auto &Each) {
    const TimePoint Until = Each.second.m_At + PeerReportLifetime;
    if (Until >= Now) {
      m_NextPeerExpiryAt = std::min(m_NextPeerExpiryAt, Until);
      return false;
    }
    subtractFromTotals(Each.second.m_Usage);
    return true;
  });
}

void LoadBalancer::WindowedMinimum::add(Duration Gap, TimePoint Now) {
  if (Now >= m_WindowEnd) {
    m_PreviousMinimum = Now < m_WindowEnd + GapWindow ? m_CurrentMinimum : std::nullopt;
    m_CurrentMinimum.reset();
    m_WindowEnd = Now + GapWindow;
  }
  m_CurrentMinimum = std::min(m_CurrentMinimum.value_or(Gap), Gap);
}

std::optional<Duration> LoadBalancer::WindowedMinimum::value() const {
  if (!m_CurrentMinimum || !m_PreviousMinimum)
    return m_CurrentMinimum ? m_CurrentMinimum : m_PreviousMinimum;
  return std::min(*m_CurrentMinimum, *m_PreviousMinimum);
}

void LoadBalancer::StartWaitEstimator::add(Duration Wait, TimePoint Now) {
  Wait = std::min(Wait, MaxStartWait);
  if (m_LastAt) {
    const Duration Difference = Wait - m_Mean;
    m_Mean += Difference / MeanSamples;
    m_Deviation += (std::chrono::abs(Difference) - m_Deviation) / DeviationSamples;
  } else {
    m_Mean = Wait;
    m_Deviation = Wait / 2;
  }
  m_LastAt = Now;
}

Duration LoadBalancer::StartWaitEstimator::queueWait(TimePoint Now) const {
  return m_LastAt ? std::max(upperEstimate() - (Now - *m_LastAt), Duration(0)) : Duration(0);
}

Duration LoadBalancer::StartWaitEstimator::transitWait(TimePoint Now) const {
  return m_LastAt && Now - *m_LastAt <= StartWaitLifetime ? upperEstimate() : DefaultStartWait;
}

std::optional<Duration> LoadBalancer::minEventGap(const ServiceId &Service) const {
  std::optional<Duration> MinGap;
  if (auto Found = m_ByService.find(Service); Found != m_ByService.end())
    for (const State *Entry : Found->second)
      if (const auto Gap = Entry->m_EventGap.value(); Gap && (!MinGap || *Gap < *MinGap))
        MinGap = Gap;
  return MinGap;
}

double LoadBalancer::slowdownFactor(const State &Upstream, std::optional<Duration> ServiceMinGap) {
  const auto Gap = Upstream.m_EventGap.value();
  if (!Gap || !ServiceMinGap || *ServiceMinGap <= Duration(0))
    return 1;
  const double Factor = toSeconds(*Gap) / toSeconds(*ServiceMinGap);
  return Factor > SlowFactor ? Factor : 1;
}

double LoadBalancer::inFlightLimit(const State &Upstream, double Slowdown) const {
  const double Slots = Upstream.m_Record.m_Slots;
  if (!isEngine(Upstream.m_Record.m_Service))
    return Slots + m_Options.m_PlainOvercommit;
  if (Slowdown > 1)
    return std::max(1.0, Slots / Slowdown);
  return Slots + m_Options.m_EngineOvercommit;
}

double LoadBalancer::prefillLoad(const State &Upstream, const Engine *Of, double Slowdown,
                                 bool IsLocal) {
  if (!Of || !Of->m_PrefillBudget)
    return 0;
  // Counts a mean prompt, so that long prompts are not refused more often than short ones. Usage in
  // other data centres is reported later, so room for another prompt is left there.
  const double Mean = Of->m_Parameters.m_MeanPromptTokens;
  const double Taken = unreadTokens(Upstream) + (IsLocal ? 0 : Mean);
  const double Budget = std::max(*Of->m_PrefillBudget / Slowdown, Mean);
  return Taken + Mean > Budget ? FullLoad : Taken / Budget;
}

bool LoadBalancer::isSilent(const State &Upstream, TimePoint Now) const {
  if (m_UnreachableCentres.contains(Upstream.m_Record.m_DataCentre))
    return true;
  return Upstream.m_OwnUsage.m_Requests > 0 && Now - Upstream.m_LastByteAt > SilenceLimit;
}

bool LoadBalancer::isSilent(const InstanceId &Upstream, TimePoint Now) const {
  auto Found = m_Upstreams.find(Upstream);
  return Found == m_Upstreams.end() || isSilent(Found->second, Now);
}

bool LoadBalancer::isEligible(const State &Upstream, const PlacementRequest &Request,
                              TimePoint Now) const {
  const UpstreamRecord &Record = Upstream.m_Record;
  return !Record.m_IsLeaving && !m_Statements.isLeaving(Record.start(), Now) &&
         !m_Evacuations.contains(Record.m_DataCentre) &&
         Request.m_Regions.allows(Record.m_Region) &&
         holdsWeights(Record, Request, requiredVersion(Request, Upstream, Now));
}

bool LoadBalancer::canStillSend(const UpstreamRecord &Placed, const PlacementRequest &Request,
                                TimePoint Now) const {
  auto Found = m_Upstreams.find(Placed.m_Id);
  if (Found == m_Upstreams.end())
    return false;
  const UpstreamRecord &Record = Found->second.m_Record;
  return Record.start() == Placed.start() && Record.m_Address == Placed.m_Address &&
         Record.m_Service == Request.m_Service && isEligible(Found->second, Request, Now) &&
         !m_Statements.isPaused(Record.start(), Now);
}

Placement LoadBalancer::place(const PlacementRequest &Request, TimePoint Now) {
  expirePeerReports(Now);
  auto ServiceEntry = m_ByService.find(Request.m_Service);
  if (ServiceEntry == m_ByService.end())
    return {};
  const std::optional<Duration> ServiceMinGap = minEventGap(Request.m_Service);
  const auto Engines = m_Engines.find(Request.m_Service);
  const Engine *RequestEngine = Engines == m_Engines.end() ? nullptr : &Engines->second;
  const State *Best = nullptr;
  const State *LastResort = nullptr;
  int BestTier = 0;
  double BestLoad = 0;
  bool IsAnyFull = false;
  bool IsAnyInRegions = false;
  std::optional<TimePoint> NextPermit;
  for (const State *Each : ServiceEntry->second) {
    const State &Entry = *Each;
    const UpstreamRecord &Record = Entry.m_Record;
    IsAnyInRegions = IsAnyInRegions || Request.m_Regions.allows(Record.m_Region);
    if (!isEligible(Entry, Request, Now) ||
        std::find(Request.m_Tried.begin(), Request.m_Tried.end(), Record.m_Id) !=
            Request.m_Tried.end())
      continue;
    if (m_Statements.isPaused(Record.start(), Now)) {
      IsAnyFull = true;
      continue;
    }
    if (const TimePoint Permit = m_Rates.nextPermit(Record.start(), Record.m_DataCentre, Now);
        Permit > Now) {
      NextPermit = std::min(NextPermit.value_or(Permit), Permit);
      continue;
    }
    if (Entry.m_SkippedUntil > Now || isSilent(Entry, Now)) {
      if (!LastResort || Entry.m_SkippedUntil < LastResort->m_SkippedUntil)
        LastResort = &Entry;
      continue;
    }
    if (isLoading(Entry, Now)) {
      IsAnyFull = true;
      continue;
    }
    const bool Local = Record.m_DataCentre == m_Options.m_DataCentre;
    const int Tier = Local ? 0 : Record.m_Region == m_Options.m_Region ? 1 : 2;
    const double Slowdown = slowdownFactor(Entry, ServiceMinGap);
    const double Limit = inFlightLimit(Entry, Slowdown);
    const double Taken = inFlight(Entry) + (Local ? 0 : m_Options.m_RemoteReserve);
    const double PrefillLoad = prefillLoad(Entry, RequestEngine, Slowdown, Local);
    if (Taken + 1 > Limit || PrefillLoad >= FullLoad) {
      IsAnyFull = true;
      continue;
    }
    // The random part separates upstreams with equal load, so that entry instances do not choose
    // the same one at the same time.
    const double Load = (Taken + uniformUnit(m_Random)) / Limit + PrefillLoad;
    if (!Best || Tier < BestTier || (Tier == BestTier && Load < BestLoad)) {
      Best = &Entry;
      BestTier = Tier;
      BestLoad = Load;
    }
  }
  Placement Result;
  if (!Best && !IsAnyFull && LastResort &&
      inFlight(*LastResort) + 1 <=
          inFlightLimit(*LastResort, slowdownFactor(*LastResort, ServiceMinGap)) &&
      LastResort->m_RejectionsInRow == 0)
    Best = LastResort;
  if (Best) {
    Result.m_Verdict = PlacementVerdict::Placed;
    Result.m_Upstream = Best->m_Record;
    Result.m_InFlight = static_cast<std::uint32_t>(inFlight(*Best));
  } else if (IsAnyFull || LastResort || NextPermit) {
    Result.m_Verdict = PlacementVerdict::AllFull;
    if (!IsAnyFull && !LastResort)
      Result.m_NextPermit = NextPermit;
  } else if (!IsAnyInRegions) {
    Result.m_Verdict = PlacementVerdict::NoneInRegions;
  }
  return Result;
}

EngineOccupancy LoadBalancer::occupancy(const PlacementRequest &Request, TimePoint Now) const {
  EngineOccupancy Result;
  auto ServiceEntry = m_ByService.find(Request.m_Service);
  if (ServiceEntry == m_ByService.end())
    return Result;
  const std::optional<Duration> ServiceMinGap = minEventGap(Request.m_Service);
  const auto Engines = m_Engines.find(Request.m_Service);
  const Engine *RequestEngine = Engines == m_Engines.end() ? nullptr : &Engines->second;
  for (const State *Each : ServiceEntry->second) {
    if (!isEligible(*Each, Request, Now) || Each->m_SkippedUntil > Now || isSilent(*Each, Now) ||
        isLoading(*Each, Now) || m_Statements.isPaused(Each->m_Record.start(), Now))
      continue;
    const double Slowdown = slowdownFactor(*Each, ServiceMinGap);
    const double Limit = inFlightLimit(*Each, Slowdown);
    const bool IsLocal = Each->m_Record.m_DataCentre == m_Options.m_DataCentre;
    const double Used =
        std::max(inFlight(*Each) / Limit, prefillLoad(*Each, RequestEngine, Slowdown, IsLocal));
    // Requests in excess of the limit of one upstream take nothing of the others.
    Result.m_Requests += Limit * std::min(Used, 1.0);
    Result.m_Slots += Limit;
    ++Result.m_Engines;
  }
  return Result;
}

void LoadBalancer::onDispatched(const InstanceId &Upstream, std::uint32_t PromptTokens,
                                TimePoint Now) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  UpstreamUsage &Own = Found->second.m_OwnUsage;
  if (Own.m_Requests++ == 0)
    Found->second.m_LastByteAt = Now;
  Own.m_UnreadTokens += PromptTokens;
}

void LoadBalancer::onPromptRead(const InstanceId &Upstream, std::uint32_t PromptTokens) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  // The count of an upstream that restarted meanwhile begins at 0.
  std::uint32_t &Unread = Found->second.m_OwnUsage.m_UnreadTokens;
  Unread -= std::min(Unread, PromptTokens);
}

void LoadBalancer::onEnded(const InstanceId &Upstream, DispatchResult Result,
                           std::uint32_t UnreadTokens, TimePoint Now) {
  onPromptRead(Upstream, UnreadTokens);
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  State &Entry = Found->second;
  if (Entry.m_OwnUsage.m_Requests > 0)
    --Entry.m_OwnUsage.m_Requests;
  switch (Result) {
  case DispatchResult::Answered:
    Entry.m_FailuresInRow = 0;
    Entry.m_RejectionsInRow = 0;
    Entry.m_SkippedUntil = TimePoint();
    break;
  case DispatchResult::Rejected:
    Entry.m_SkippedUntil =
        Now + exponentialBackoff(RejectionPause, Entry.m_RejectionsInRow++, MaxRejectionPause);
    break;
  case DispatchResult::Deferred:
    break;
  case DispatchResult::Stalled:
    if (Now < Entry.m_SkippedUntil)
      break;
    [[fallthrough]];
  case DispatchResult::Failed:
    Entry.m_SkippedUntil =
        Now + exponentialBackoff(FailurePause, Entry.m_FailuresInRow++, MaxFailurePause);
    break;
  case DispatchResult::Abandoned:
    break;
  }
}

void LoadBalancer::onStarted(const ServiceId &Service, const InstanceId &Upstream, Duration Wait,
                             TimePoint Now) {
  m_StartWaits[Service].add(Wait, Now);
  if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
    Found->second.m_StartWait.add(Wait, Now);
}

void LoadBalancer::onStartAbandoned(const ServiceId &Service, const InstanceId &Upstream,
                                    Duration Wait, TimePoint Now) {
  m_StartWaits[Service].addAbandoned(Wait, Now);
  if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
    Found->second.m_StartWait.addAbandoned(Wait, Now);
}

const UpstreamRecord *LoadBalancer::find(const InstanceId &Upstream) const {
  auto Found = m_Upstreams.find(Upstream);
  return Found == m_Upstreams.end() ? nullptr : &Found->second.m_Record;
}

void LoadBalancer::onProgress(const InstanceId &Upstream, TimePoint Now) {
  if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
    Found->second.m_LastByteAt = Now;
}

void LoadBalancer::onEventGap(const InstanceId &Upstream, Duration Gap, TimePoint Now) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  // Events that were delayed in transit arrive closer together than an engine produces them.
  Duration MinGap{1};
  if (auto Of = m_Engines.find(Found->second.m_Record.m_Service); Of != m_Engines.end())
    MinGap = std::max(MinGap,
                      Of->second.m_Parameters.m_StepTime * Of->second.m_Parameters.m_StepsPerPass);
  Found->second.m_EventGap.add(std::max(Gap, MinGap), Now);
}

void LoadBalancer::onPeerReport(const InstanceId &Peer, UsageByUpstream Usage, TimePoint Now) {
  auto [Entry, IsNew] = m_PeerReports.try_emplace(Peer);
  PeerUsageReport &Report = Entry->second;
  subtractFromTotals(Report.m_Usage);
  Report = {std::move(Usage), Now};
  addToTotals(Report.m_Usage);
  expirePeerReports(Now);
}

void LoadBalancer::setReachable(const DataCentreId &DataCentre, bool IsReachable) {
  if (IsReachable)
    m_UnreachableCentres.erase(DataCentre);
  else
    m_UnreachableCentres.insert(DataCentre);
}

std::vector<UpstreamRecord> LoadBalancer::upstreamsIn(const DataCentreId &DataCentre) const {
  std::vector<UpstreamRecord> Result;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Record.m_DataCentre == DataCentre)
      Result.push_back(Entry.m_Record);
  return Result;
}

void LoadBalancer::onLoading(const Endpoint &Address, TimePoint Until) {
  m_LoadEndByAddress[Address] = Until;
  for (auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Record.m_Address == Address)
      Entry.m_LoadingUntil = Until;
}

bool LoadBalancer::isLoading(const State &Upstream, TimePoint Now) {
  return Now < Upstream.m_LoadingUntil && Upstream.m_LoadingUntil - Now <= MaxLoadDuration;
}

bool LoadBalancer::onLeaving(const UpstreamStart &Upstream, TimePoint Now) {
  return m_Statements.onLeaving(Upstream, Now);
}

std::vector<UpstreamStart> LoadBalancer::leavingForPeers(TimePoint Now) const {
  std::vector<UpstreamStart> Result;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Result.size() < MaxLeavingPerMessage && m_Statements.isLeaving(Entry.m_Record.start(), Now))
      Result.push_back(Entry.m_Record.start());
  return Result;
}

void LoadBalancer::onPauseRequested(const UpstreamStart &Upstream, Duration Pause, TimePoint Now) {
  m_Statements.onPauseRequested(Upstream, Pause, Now);
}

bool LoadBalancer::setEvacuated(const DataCentreId &DataCentre, bool IsEvacuated, TimePoint Now) {
  if (IsEvacuated)
    return m_Evacuations.begin(DataCentre, Now);
  const bool HasEnded = m_Evacuations.end(DataCentre);
  if (HasEnded)
    m_Rates.cold().markCold(DataCentre, Now);
  return HasEnded;
}

std::uint32_t LoadBalancer::requestsInFlight(const DataCentreId &DataCentre) const {
  std::uint32_t Result = 0;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Record.m_DataCentre == DataCentre)
      Result += Entry.m_OwnUsage.m_Requests;
  return Result;
}

UsageByUpstream LoadBalancer::ownUsage() const {
  UsageByUpstream Result;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_OwnUsage.m_Requests > 0)
      Result.emplace(Id, Entry.m_OwnUsage);
  return Result;
}

} // namespace fescuegauge
