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
    Next.emplace(Record.m_Id, std::move(Entry));
  }
  m_Upstreams = std::move(Next);
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

double UpstreamBoard::inFlight(const State &Upstream, TimePoint Now) const {
  double Sum = Upstream.m_Own;
  for (const auto &[Peer, Report] : m_Peers) {
    if (Now - Report.m_At > PeerReportLifetime)
      continue;
    auto Found = Report.m_InFlight.find(Upstream.m_Record.m_Id);
    if (Found != Report.m_InFlight.end())
      Sum += Found->second;
  }
  return Sum;
}

double UpstreamBoard::leastGap(const ServiceId &Service) const {
  double Least = 0;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Record.m_Service == Service && Entry.m_EventGap > 0 &&
        (Least == 0 || Entry.m_EventGap < Least))
      Least = Entry.m_EventGap;
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
  const double LeastGap = leastGap(Request.m_Service);
  const State *Best = nullptr;
  const State *LastResort = nullptr;
  int BestTier = 0;
  double BestLoad = 0;
  bool AnyFull = false;
  for (const auto &[Id, Entry] : m_Upstreams) {
    const UpstreamRecord &Record = Entry.m_Record;
    if (Record.m_Service != Request.m_Service || Record.m_Leaving ||
        !holdsWeights(Record, Request) ||
        std::find(Request.m_Tried.begin(), Request.m_Tried.end(), Id) != Request.m_Tried.end())
      continue;
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
    const double Taken = inFlight(Entry, Now) + (Local ? 0 : m_Options.m_RemoteReserve);
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
      inFlight(*LastResort, Now) + 1 <= limit(*LastResort, LeastGap) &&
      LastResort->m_RejectionsInRow == 0)
    Best = LastResort;
  if (Best) {
    Result.m_Verdict = PlacementVerdict::Placed;
    Result.m_Upstream = Best->m_Record;
    Result.m_InFlight = static_cast<std::uint32_t>(inFlight(*Best, Now));
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
  m_Peers[Peer] = {std::move(InFlight), Now};
  std::erase_if(m_Peers,
                [&](const auto &Each) { return Now - Each.second.m_At > PeerReportLifetime; });
}

void UpstreamBoard::onLoading(const Endpoint &Address, TimePoint Until) {
  m_Loading[Address] = Until;
}

bool UpstreamBoard::isLoading(const State &Upstream, TimePoint Now) const {
  auto Found = m_Loading.find(Upstream.m_Record.m_Address);
  return Found != m_Loading.end() && Now < Found->second && Found->second - Now <= LongestLoad;
}

InFlightByUpstream UpstreamBoard::ownInFlight() const {
  InFlightByUpstream Result;
  for (const auto &[Id, Entry] : m_Upstreams)
    if (Entry.m_Own > 0)
      Result.emplace(Id, Entry.m_Own);
  return Result;
}

} // namespace fescuegauge
