#include "Fescuegauge/UpstreamBoard.h"

#include <algorithm>

namespace fescuegauge {

namespace {

/// Weight of a new sample in the moving average of event gaps.
constexpr double GapWeight = 0.1;

Duration doubled(Duration First, int Times, Duration Longest) {
  Duration Result = First;
  for (int I = 0; I < Times && Result < Longest; ++I)
    Result *= 2;
  return std::min(Result, Longest);
}

} // namespace

void UpstreamBoard::setUpstreams(std::span<const UpstreamRecord> Listed) {
  std::map<InstanceId, State> Next;
  for (const UpstreamRecord &Record : Listed) {
    State Entry;
    auto Known = m_Upstreams.find(Record.m_Id);
    if (Known != m_Upstreams.end() && Known->second.m_Record.m_Incarnation == Record.m_Incarnation)
      Entry = Known->second;
    Entry.m_Record = Record;
    Entry.m_Others = 0;
    if (auto Loading = m_Loading.find(Record.m_Address); Loading != m_Loading.end())
      Entry.m_LoadingUntil = Loading->second;
    Next.emplace(Record.m_Id, std::move(Entry));
  }
  m_Upstreams = std::move(Next);
  m_ByService.clear();
  for (const auto &[Id, Entry] : m_Upstreams)
    m_ByService[Entry.m_Record.m_Service].push_back(&Entry);
  for (const auto &[Peer, Report] : m_Peers)
    addToSums(Report.m_InFlight);
}

void UpstreamBoard::setPlan(const RouteTable &Plan) {
  m_Engines.clear();
  for (const ServicePlan &Service : Plan.plan().m_Services)
    if (Service.m_Engine)
      m_Engines.emplace(Service.m_Id, *Service.m_Engine);
}

bool UpstreamBoard::holdsWeights(const UpstreamRecord &Record,
                                 const PlacementRequest &Request) const {
  if (Request.m_Model.empty() || !isEngine(Record.m_Service))
    return true;
  auto Least = m_Least.find(Request.m_Model);
  return std::any_of(Record.m_Weights.begin(), Record.m_Weights.end(), [&](const HeldWeights &W) {
    if (W.m_Model != Request.m_Model || W.m_Version == WeightsVersion())
      return false;
    if (Least != m_Least.end() && W.m_Version < Least->second)
      return false;
    return !Request.m_Version || W.m_Version == *Request.m_Version;
  });
}

void UpstreamBoard::addToSums(const InFlightByUpstream &Told) {
  for (const auto &[Upstream, Count] : Told)
    if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
      Found->second.m_Others += Count;
}

void UpstreamBoard::takeFromSums(const InFlightByUpstream &Told) {
  for (const auto &[Upstream, Count] : Told)
    if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
      Found->second.m_Others -= Count;
}

void UpstreamBoard::forgetSilentPeers(TimePoint Now) {
  if (Now <= m_PeersValidUntil)
    return;
  m_PeersValidUntil = Now + PeerReportLifetime;
  std::erase_if(m_Peers, [&](const auto &Each) {
    const TimePoint Until = Each.second.m_At + PeerReportLifetime;
    if (Until >= Now) {
      m_PeersValidUntil = std::min(m_PeersValidUntil, Until);
      return false;
    }
    takeFromSums(Each.second.m_InFlight);
    return true;
  });
}

double UpstreamBoard::leastGap(const ServiceId &Service) const {
  double Least = 0;
  auto Found = m_ByService.find(Service);
  if (Found == m_ByService.end())
    return Least;
  for (const State *Entry : Found->second)
    if (Entry->m_EventGap > 0 && (Least == 0 || Entry->m_EventGap < Least))
      Least = Entry->m_EventGap;
  return Least;
}

double UpstreamBoard::limit(const State &Upstream, double LeastGap) const {
  const double Slots = Upstream.m_Record.m_Slots;
  if (!isEngine(Upstream.m_Record.m_Service))
    return Slots + m_Options.m_PlainOvercommit;
  if (LeastGap > 0 && Upstream.m_EventGap > SlowFactor * LeastGap)
    return std::max(1.0, Slots * LeastGap / Upstream.m_EventGap);
  return Slots + m_Options.m_EngineOvercommit;
}

bool UpstreamBoard::isSilent(const State &Upstream, TimePoint Now) {
  return Upstream.m_Own > 0 && Now - Upstream.m_LastByte > SilenceLimit;
}

bool UpstreamBoard::isSilent(const InstanceId &Upstream, TimePoint Now) const {
  auto Found = m_Upstreams.find(Upstream);
  return Found == m_Upstreams.end() || isSilent(Found->second, Now);
}

Placement UpstreamBoard::place(const PlacementRequest &Request, TimePoint Now) {
  forgetSilentPeers(Now);
  auto OfService = m_ByService.find(Request.m_Service);
  if (OfService == m_ByService.end())
    return {};
  const double LeastGap = leastGap(Request.m_Service);
  const State *Best = nullptr;
  const State *LastResort = nullptr;
  int BestTier = 0;
  double BestLoad = 0;
  bool AnyFull = false;
  for (const State *Each : OfService->second) {
    const State &Entry = *Each;
    const UpstreamRecord &Record = Entry.m_Record;
    if (Record.m_Leaving || m_Statements.isLeaving(Record.start(), Now) ||
        !holdsWeights(Record, Request) ||
        std::find(Request.m_Tried.begin(), Request.m_Tried.end(), Record.m_Id) !=
            Request.m_Tried.end())
      continue;
    if (m_Statements.wantsPause(Record.start(), Now)) {
      AnyFull = true;
      continue;
    }
    if (Entry.m_PausedUntil > Now || isSilent(Entry, Now)) {
      if (!LastResort || Entry.m_PausedUntil < LastResort->m_PausedUntil)
        LastResort = &Entry;
      continue;
    }
    if (isLoading(Entry, Now)) {
      AnyFull = true;
      continue;
    }
    const bool Local = Record.m_DataCentre == m_Options.m_DataCentre;
    const int Tier = Local ? 0 : Record.m_Region == m_Options.m_Region ? 1 : 2;
    const double Limit = limit(Entry, LeastGap);
    const double Taken = inFlight(Entry) + (Local ? 0 : m_Options.m_RemoteReserve);
    if (Taken + 1 > Limit) {
      AnyFull = true;
      continue;
    }
    // The random part separates upstreams that look alike, so that entry instances do not choose
    // the same one at the same time.
    const double Load = (Taken + uniformUnit(m_Random)) / Limit;
    if (!Best || Tier < BestTier || (Tier == BestTier && Load < BestLoad)) {
      Best = &Entry;
      BestTier = Tier;
      BestLoad = Load;
    }
  }
  Placement Result;
  if (!Best && !AnyFull && LastResort &&
      inFlight(*LastResort) + 1 <= limit(*LastResort, LeastGap) &&
      LastResort->m_RejectionsInRow == 0)
    Best = LastResort;
  if (Best) {
    Result.m_Verdict = PlacementVerdict::Placed;
    Result.m_Upstream = Best->m_Record;
    Result.m_InFlight = static_cast<std::uint32_t>(inFlight(*Best));
  } else if (AnyFull || LastResort) {
    Result.m_Verdict = PlacementVerdict::AllFull;
  }
  return Result;
}

void UpstreamBoard::onDispatched(const InstanceId &Upstream, TimePoint Now) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  if (Found->second.m_Own++ == 0)
    Found->second.m_LastByte = Now;
}

void UpstreamBoard::onEnded(const InstanceId &Upstream, DispatchResult Result, TimePoint Now) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  State &Entry = Found->second;
  if (Entry.m_Own > 0)
    --Entry.m_Own;
  switch (Result) {
  case DispatchResult::Answered:
    Entry.m_FailuresInRow = 0;
    Entry.m_RejectionsInRow = 0;
    Entry.m_PausedUntil = TimePoint();
    break;
  case DispatchResult::Rejected:
    Entry.m_PausedUntil =
        Now + doubled(RejectionPause, Entry.m_RejectionsInRow++, MaxRejectionPause);
    break;
  case DispatchResult::Deferred:
    break;
  case DispatchResult::Failed:
    Entry.m_PausedUntil = Now + doubled(FailurePause, Entry.m_FailuresInRow++, MaxFailurePause);
    break;
  case DispatchResult::Abandoned:
    break;
  }
}

void UpstreamBoard::onProgress(const InstanceId &Upstream, TimePoint Now) {
  if (auto Found = m_Upstreams.find(Upstream); Found != m_Upstreams.end())
    Found->second.m_LastByte = Now;
}

void UpstreamBoard::onEventGap(const InstanceId &Upstream, Duration Gap) {
  auto Found = m_Upstreams.find(Upstream);
  if (Found == m_Upstreams.end())
    return;
  double &Average = Found->second.m_EventGap;
  const auto Sample = static_cast<double>(Gap.count());
  Average = Average == 0 ? Sample : Average + GapWeight * (Sample - Average);
}

void UpstreamBoard::onPeerReport(const InstanceId &Peer, InFlightByUpstream InFlight,
                                 TimePoint Now) {
  auto [Entry, IsNew] = m_Peers.try_emplace(Peer);
  PeerReport &Report = Entry->second;
  takeFromSums(Report.m_InFlight);
  Report = {std::move(InFlight), Now};
  addToSums(Report.m_InFlight);
  forgetSilentPeers(Now);
}

void UpstreamBoard::onLoading(const Endpoint &Address, TimePoint Until) {
  m_Loading[Address] = Until;
  for (auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Record.m_Address == Address)
      Entry.m_LoadingUntil = Until;
}

bool UpstreamBoard::isLoading(const State &Upstream, TimePoint Now) {
  return Now < Upstream.m_LoadingUntil && Upstream.m_LoadingUntil - Now <= LongestLoad;
}

bool UpstreamBoard::onLeaving(const UpstreamStart &Upstream, TimePoint Now) {
  return m_Statements.onLeaving(Upstream, Now);
}

void UpstreamBoard::onPauseAsked(const UpstreamStart &Upstream, Duration Pause, TimePoint Now) {
  m_Statements.onPauseAsked(Upstream, Pause, Now);
}

InFlightByUpstream UpstreamBoard::ownInFlight() const {
  InFlightByUpstream Result;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Own > 0)
      Result.emplace(Id, Entry.m_Own);
  return Result;
}

} // namespace fescuegauge
