#include "Fescuegauge/DispatchQueue.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

bool DispatchQueue::hasPrecedence(const WaitingRequest &Left, const WaitingRequest &Right) {
  if (Left.m_IsRetry != Right.m_IsRetry)
    return Right.m_IsRetry;
  return Left.m_Priority < Right.m_Priority;
}

double DispatchQueue::decayedRate(const ServiceQueue &Of, TimePoint Now) {
  return Of.m_Rate * std::exp(-toSeconds(Now - Of.m_RateUpdatedAt) / toSeconds(RateTimeConstant));
}

bool DispatchQueue::shouldQueue(const ServiceId &Service, const WaitingRequest &Request,
                                Duration Longest, TimePoint Now) const {
  auto Found = m_Queues.find(Service);
  if (Found == m_Queues.end())
    return Longest > Duration(0);
  const ServiceQueue &Queue = Found->second;
  if (Queue.m_Requests.size() >= MaxWaiting)
    return false;
  const auto Ahead =
      std::count_if(Queue.m_Requests.begin(), Queue.m_Requests.end(),
                    [&](const WaitingRequest &Each) { return !hasPrecedence(Request, Each); });
  if (Ahead == 0)
    return Longest > Duration(0);
  const double Rate = decayedRate(Queue, Now) / toSeconds(RateTimeConstant);
  return static_cast<double>(Ahead + 1) <= Rate * toSeconds(Longest);
}

void DispatchQueue::push(const ServiceId &Service, const WaitingRequest &Request) {
  std::list<WaitingRequest> &Queue = m_Queues[Service].m_Requests;
  auto Position = std::find_if(Queue.begin(), Queue.end(), [&](const WaitingRequest &Each) {
    return hasPrecedence(Request, Each);
  });
  Queue.insert(Position, Request);
}

std::vector<WaitingNumber> DispatchQueue::order(const ServiceId &Service) const {
  std::vector<WaitingNumber> Result;
  if (auto Found = m_Queues.find(Service); Found != m_Queues.end())
    for (const WaitingRequest &Each : Found->second.m_Requests)
      Result.push_back(Each.m_Number);
  return Result;
}

void DispatchQueue::remove(const ServiceId &Service, WaitingNumber Number) {
  if (auto Found = m_Queues.find(Service); Found != m_Queues.end())
    Found->second.m_Requests.remove_if(
        [&](const WaitingRequest &Each) { return Each.m_Number == Number; });
}

void DispatchQueue::onPlaced(const ServiceId &Service, TimePoint Now) {
  ServiceQueue &Queue = m_Queues[Service];
  Queue.m_Rate = decayedRate(Queue, Now) + 1;
  Queue.m_RateUpdatedAt = Now;
}

std::size_t DispatchQueue::waiting(const ServiceId &Service) const {
  auto Found = m_Queues.find(Service);
  return Found == m_Queues.end() ? 0 : Found->second.m_Requests.size();
}

std::map<ServiceId, std::size_t> DispatchQueue::waitingServices() const {
  std::map<ServiceId, std::size_t> Result;
  for (const auto &[Service, Queue] : m_Queues)
    if (!Queue.m_Requests.empty())
      Result.emplace(Service, Queue.m_Requests.size());
  return Result;
}

bool RetryDetector::isRetry(const RouteId &Route, Duration Deadline) {
  if (m_RecentDeadlines.size() >= MaxRoutes && !m_RecentDeadlines.contains(Route))
    m_RecentDeadlines.clear();
  std::deque<Duration> &RecentDeadlines = m_RecentDeadlines[Route];
  RecentDeadlines.push_back(Deadline);
  if (RecentDeadlines.size() > MaxRecentDeadlines)
    RecentDeadlines.pop_front();
  const Duration Longest = *std::max_element(RecentDeadlines.begin(), RecentDeadlines.end());
  return static_cast<double>(Deadline.count()) <
         MinFirstRequestShare * static_cast<double>(Longest.count());
}

Duration RetryDelays::next(Duration TimeLeft) {
  const Duration Longest = std::min(Latest, TimeLeft / MaxDelayDivisor);
  const Duration Shortest = Longest > Earliest ? Earliest : Longest / 2;
  const auto Range = static_cast<double>((Longest - Shortest).count());
  return Shortest + Duration(static_cast<Duration::rep>(Range * uniformUnit(m_Random)));
}

} // namespace fescuegauge
