#include "Fescuegauge/AdmissionController.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace fescuegauge {

namespace {

/// Weight of a new sample in a running mean.
constexpr double MeanGain = 0.05;
/// Step of a running quantile for each sample, as a fraction of the mean.
constexpr double QuantileGain = 0.03;
/// Half-life of an estimate while requests are refused and nothing is measured, so that a class
/// whose requests are all refused is eventually admitted again.
constexpr double EstimateHalfLifeSeconds = 2.0;
/// Time constant for the decay of the count of refusals.
constexpr double RefusalTimeConstantSeconds = 5.0;
/// The cost of a request relative to the mean of its class is limited to this ratio and its
/// inverse.
constexpr double MaxCostRatio = 8;
/// Fraction of an equal share that an entry instance may always have in flight.
constexpr double MinEqualShareRatio = 0.25;
/// Hedges are sent only while the upstreams use less than this fraction of their capacity.
constexpr double HedgeMaxOccupancy = 0.8;
/// Expected cost of a class before the first measurement.
constexpr Duration InitialCost = std::chrono::milliseconds(500);
/// Number of measured requests before which the estimates are too uncertain for hedging.
constexpr std::uint64_t MinHedgeSamples = 50;

double count(Duration Length) { return static_cast<double>(Length.count()); }
Duration fromCount(double Microseconds) {
  return Duration(static_cast<Duration::rep>(Microseconds));
}

std::string estimateKey(const RequestDescription &Request) {
  return Request.m_Service.str() + '\n' + Request.m_Class.str();
}

/// Moves `Quantile` towards the value that the fraction `Share` of the samples does not exceed.
void updateQuantile(double &Quantile, double Sample, double Mean, double Share) {
  double Step = QuantileGain * std::max(Mean, 1.0);
  if (Sample > Quantile)
    Quantile += Step * Share;
  else
    Quantile = std::max(Quantile - Step * (1 - Share), 0.0);
}

} // namespace

void AdmissionController::setTargets(std::span<const ClassTarget> Targets) {
  m_Targets.clear();
  m_Priorities.clear();
  for (const ClassTarget &Target : Targets) {
    if (m_Targets.size() >= MaxClasses)
      break;
    m_Targets[Target.m_Class] = Target;
    if (!Target.m_NeverLost)
      m_Priorities.push_back(Target.m_Priority);
  }
  std::sort(m_Priorities.begin(), m_Priorities.end(), std::greater<>());
  m_Priorities.erase(std::unique(m_Priorities.begin(), m_Priorities.end()), m_Priorities.end());
}

double AdmissionController::waitShare(const ClassTarget &Target) const {
  if (Target.m_NeverLost)
    return 1;
  auto Rank = std::find(m_Priorities.begin(), m_Priorities.end(), Target.m_Priority);
  return std::pow(LowerPriorityWaitShare, Rank - m_Priorities.begin());
}

const ClassTarget *AdmissionController::target(const WorkClassId &Class) const {
  auto Found = m_Targets.find(Class);
  return Found == m_Targets.end() ? nullptr : &Found->second;
}

AdmissionController::ServiceState &AdmissionController::service(const ServiceId &Service) {
  auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    return Found->second;
  return m_Services.size() < MaxServices ? m_Services[Service] : m_Services[ServiceId()];
}

void AdmissionController::onLoad(const ServiceId &Service, const ServiceLoad &Load,
                                 std::uint32_t EntryInstances) {
  ServiceState &State = service(Service);
  double Entries = std::max(EntryInstances, 1U);
  double Own = Load.m_OwnInFlight;
  double TargetLoad = Load.m_Capacity * TargetOccupancy;
  State.m_Capacity = Load.m_Capacity;
  if (Load.m_Upstreams == 0 && Load.m_FreeElsewhere == 0)
    return;
  double &Local = State.m_LocalLimit;
  if (Load.m_Upstreams == 0) {
    Local = 0;
  } else if (Load.m_Reporting > 0) {
    double Reported = Load.m_Reported;
    State.m_Saturated = Load.m_Reported >= Load.m_Capacity * HedgeMaxOccupancy;
    if (Reported <= TargetLoad)
      Local = Load.m_OwnAtReport + (TargetLoad - Reported) / Entries;
    else
      // An entry instance that had little in flight keeps a minimum, so that it is not starved.
      Local = std::max(Load.m_OwnAtReport * TargetLoad / Reported,
                       TargetLoad / Entries * MinEqualShareRatio);
  } else {
    // Without reports, service times well above their baseline indicate that the upstreams are
    // full. The equal share of the capacity is always allowed.
    constexpr double SaturatedSlowdown = 2.0;
    constexpr double Decrease = 0.9;
    constexpr double Increase = 0.05;
    State.m_Saturated = State.m_Slowdown > SaturatedSlowdown;
    if (State.m_Saturated)
      Local *= Decrease;
    else if (Own + 1 >= Local)
      Local += std::max(1.0, Increase * Local);
    Local = std::clamp(Local, TargetLoad / Entries, std::max(TargetLoad, 1.0));
  }
  State.m_Limit = std::max(Local + Load.m_OwnElsewhere +
                               std::min(Load.m_FreeElsewhere / Entries, Load.m_SpillHeadroom),
                           1.0);
}

void AdmissionController::onFinished(const RequestDescription &Request,
                                     std::optional<Duration> FirstToken, Duration Total,
                                     TimePoint Now) {
  std::string Key = estimateKey(Request);
  if (!m_Estimates.count(Key) && m_Estimates.size() >= MaxClasses)
    Key.clear();
  ClassEstimate &Estimate = m_Estimates[Key];
  double Sample = count(Total);
  double FirstSample = count(FirstToken.value_or(Total));
  double Tokens = std::max(Request.m_EstimatedTokens, 1U);
  if (Estimate.m_Count == 0) {
    Estimate.m_MeanTokens = Tokens;
    Estimate.m_MeanTotal = Sample;
    Estimate.m_QuantileTotal = Sample;
    Estimate.m_QuantileFirstToken = FirstSample;
    Estimate.m_MeanFirstToken = FirstSample;
  } else {
    // New samples continue from the values that decayed while nothing was measured.
    Estimate.m_QuantileTotal = decayedValue(Estimate.m_QuantileTotal, Estimate, Now);
    Estimate.m_QuantileFirstToken = decayedValue(Estimate.m_QuantileFirstToken, Estimate, Now);
    Estimate.m_MeanTokens += MeanGain * (Tokens - Estimate.m_MeanTokens);
    Estimate.m_MeanTotal += MeanGain * (Sample - Estimate.m_MeanTotal);
    updateQuantile(Estimate.m_QuantileTotal, Sample, Estimate.m_MeanTotal, ServiceTimeQuantile);
    Estimate.m_MeanFirstToken += MeanGain * (FirstSample - Estimate.m_MeanFirstToken);
    updateQuantile(Estimate.m_QuantileFirstToken, FirstSample, Estimate.m_MeanFirstToken,
                   ServiceTimeQuantile);
  }
  ++Estimate.m_Count;
  Estimate.m_RefusedSince.reset();

  // The baseline grows slowly, so that it follows a lasting change of the service itself.
  constexpr double BaselineGrowth = 1.0005;
  bool IsLower = Estimate.m_BaselineTotal == 0 || Estimate.m_MeanTotal < Estimate.m_BaselineTotal;
  Estimate.m_BaselineTotal =
      IsLower ? Estimate.m_MeanTotal : Estimate.m_BaselineTotal * BaselineGrowth;
  ServiceState &State = service(Request.m_Service);
  State.m_Slowdown +=
      MeanGain * (Sample / std::max(Estimate.m_BaselineTotal, 1.0) - State.m_Slowdown);
}

double AdmissionController::inFlightLimit(const ServiceId &Service) const {
  constexpr double Unlimited = 1e9;
  if (!m_Rules.m_LimitInFlight)
    return Unlimited;
  auto Found = m_Services.find(Service);
  return Found == m_Services.end() ? InitialLimit : Found->second.m_Limit;
}

bool AdmissionController::isSaturated(const ServiceId &Service) const {
  auto Found = m_Services.find(Service);
  return Found != m_Services.end() && Found->second.m_Saturated;
}

const AdmissionController::ClassEstimate *
AdmissionController::estimate(const RequestDescription &Request) const {
  auto Found = m_Estimates.find(estimateKey(Request));
  return Found == m_Estimates.end() ? nullptr : &Found->second;
}

double AdmissionController::decayedValue(double Value, const ClassEstimate &Estimate,
                                         TimePoint Now) const {
  if (!m_Rules.m_DecayEstimates)
    return Value;
  if (!Estimate.m_RefusedSince)
    return Value;
  double Idle = std::max(toSeconds(Now - *Estimate.m_RefusedSince) - EstimateHalfLifeSeconds, 0.0);
  return Value * std::exp2(-Idle / EstimateHalfLifeSeconds);
}

Duration AdmissionController::expectedCost(const RequestDescription &Request) const {
  const ClassEstimate *Estimate = estimate(Request);
  if (!Estimate)
    return InitialCost;
  double Ratio = std::max(Request.m_EstimatedTokens, 1U) / std::max(Estimate->m_MeanTokens, 1.0);
  return fromCount(Estimate->m_MeanTotal * std::clamp(Ratio, 1 / MaxCostRatio, MaxCostRatio));
}

std::optional<Duration> AdmissionController::hedgeAfter(const RequestDescription &Request) const {
  const ClassEstimate *Estimate = estimate(Request);
  if (!Estimate || Estimate->m_Count < MinHedgeSamples || Request.m_NonIdempotent)
    return std::nullopt;
  return fromCount(Estimate->m_QuantileFirstToken);
}

AdmissionController::StartWindow AdmissionController::startWindow(const RequestDescription &Request,
                                                                  TimePoint Now) const {
  StartWindow Window{Now + DefaultMaxWait, Now + DefaultMaxWait};
  const ClassTarget *Target = target(Request.m_Class);
  if (!Target)
    return Window;
  const ClassEstimate *Found = estimate(Request);
  const ClassEstimate Estimate = Found ? *Found : ClassEstimate();
  auto Limit = [&](const std::optional<Duration> &Within, double High, double Mean) {
    if (!Within)
      return;
    Window.m_Latest =
        std::min(Window.m_Latest, Now + *Within - fromCount(decayedValue(High, Estimate, Now)));
    Window.m_ExpiresAt =
        std::min(Window.m_ExpiresAt, Now + *Within - fromCount(decayedValue(Mean, Estimate, Now)));
  };
  Limit(Target->m_AnswerWithin, Estimate.m_QuantileTotal, Estimate.m_MeanTotal);
  Limit(Target->m_StaleAfter, Estimate.m_QuantileTotal, Estimate.m_MeanTotal);
  Limit(Target->m_FirstTokenWithin, Estimate.m_QuantileFirstToken, Estimate.m_MeanFirstToken);
  return Window;
}

std::optional<Refusal> AdmissionController::assess(const RequestDescription &Request,
                                                   const StartWindow &Window, Duration Wait,
                                                   bool DelaysOthers, TimePoint Now) {
  if (!m_Rules.m_PredictTarget)
    return std::nullopt;
  const ClassTarget *Target = target(Request.m_Class);
  double Part = Target ? waitShare(*Target) : 1;
  Duration Allowed = fromCount(count(Window.m_Latest - Now) * Part);
  // A request that can start at once and is likely to succeed is admitted even if the probability
  // is below ServiceTimeQuantile. On a saturated service the condition is stricter, because other
  // requests could use the slot.
  TimePoint LastChance = Window.m_ExpiresAt;
  if (isSaturated(Request.m_Service))
    LastChance -= (Window.m_ExpiresAt - Window.m_Latest) / 2;
  bool CanStartAtOnce = Wait == Duration(0) && LastChance >= Now;
  if (CanStartAtOnce || (Wait <= Allowed && !DelaysOthers))
    return std::nullopt;
  auto Estimate = m_Estimates.find(estimateKey(Request));
  if (Estimate != m_Estimates.end() && !Estimate->second.m_RefusedSince)
    Estimate->second.m_RefusedSince = Now;
  return refuse(Request.m_Service, ErrorKind::TargetNotAttainable, Wait, Now);
}

Refusal AdmissionController::refuse(const ServiceId &Service, ErrorKind Kind, Duration Backlog,
                                    TimePoint Now) {
  ServiceState &State = service(Service);
  double Elapsed = toSeconds(Now - State.m_LastRefusalAt);
  State.m_RecentRefusals =
      State.m_RecentRefusals * std::exp(-Elapsed / RefusalTimeConstantSeconds) + 1;
  State.m_LastRefusalAt = Now;
  if (!m_Rules.m_JitterRetryAfter)
    return {Kind, MinRetryAfter};
  // Recently refused callers retry within this window. It is the time that this entry instance
  // needs to serve them with a fraction of its slots, so that they fit in beside new requests.
  constexpr double RetrySlotShare = 0.25;
  double RetryWork = State.m_RecentRefusals * toSeconds(InitialCost);
  double Window = toSeconds(Backlog) + RetryWork / std::max(RetrySlotShare * State.m_Limit, 0.5);
  Window = std::clamp(Window, toSeconds(MinRetryAfter), toSeconds(MaxRetryAfter) / 1.5);
  double Chosen = Window * (0.5 + uniformUnit(m_Random));
  return {Kind, std::clamp(fromCount(Chosen * 1e6), MinRetryAfter, MaxRetryAfter)};
}

} // namespace fescuegauge
