#include "Fescuegauge/DispatchQueue.h"

#include <algorithm>
#include <cmath>

namespace fescuegauge {

bool DispatchQueue::goesBefore(const WaitingRequest &Left, const WaitingRequest &Right) {
  if (Left.m_Returned != Right.m_Returned)
    return Right.m_Returned;
  return Left.m_Priority < Right.m_Priority;
}

double DispatchQueue::rateAt(const Line &Of, TimePoint Now) {
  return Of.m_Rate * std::exp(-toSeconds(Now - Of.m_RateAt) / toSeconds(RateTime));
}

bool DispatchQueue::shouldWait(const ServiceId &Service, const WaitingRequest &Request,
                               Duration Longest, TimePoint Now) const {
  auto Found = m_Lines.find(Service);
  if (Found == m_Lines.end())
    return Longest > Duration(0);
  const Line &Queue = Found->second;
  if (Queue.m_Requests.size() >= MaxWaiting)
    return false;
  const auto Ahead =
      std::count_if(Queue.m_Requests.begin(), Queue.m_Requests.end(),
                    [&](const WaitingRequest &Each) { return !goesBefore(Request, Each); });
  if (Ahead == 0)
    return Longest > Duration(0);
  const double Rate = rateAt(Queue, Now) / toSeconds(RateTime);
  return static_cast<double>(Ahead + 1) <= Rate * toSeconds(Longest);
}

void DispatchQueue::push(const ServiceId &Service, const WaitingRequest &Request) {
  std::list<WaitingRequest> &Queue = m_Lines[Service].m_Requests;
  auto Place = std::find_if(Queue.begin(), Queue.end(),
                            [&](const WaitingRequest &Each) { return goesBefore(Request, Each); });
  Queue.insert(Place, Request);
}

std::vector<WaitingNumber> DispatchQueue::order(const ServiceId &Service) const {
  std::vector<WaitingNumber> Result;
  if (auto Found = m_Lines.find(Service); Found != m_Lines.end())
    for (const WaitingRequest &Each : Found->second.m_Requests)
      Result.push_back(Each.m_Number);
  return Result;
}

void DispatchQueue::remove(const ServiceId &Service, WaitingNumber Number) {
  if (auto Found = m_Lines.find(Service); Found != m_Lines.end())
    Found->second.m_Requests.remove_if(
        [&](const WaitingRequest &Each) { return Each.m_Number == Number; });
}

void DispatchQueue::onPlaced(const ServiceId &Service, TimePoint Now) {
  Line &Queue = m_Lines[Service];
  Queue.m_Rate = rateAt(Queue, Now) + 1;
  Queue.m_RateAt = Now;
}

std::size_t DispatchQueue::waiting(const ServiceId &Service) const {
  auto Found = m_Lines.find(Service);
  return Found == m_Lines.end() ? 0 : Found->second.m_Requests.size();
}

std::map<ServiceId, std::size_t> DispatchQueue::waitingServices() const {
  std::map<ServiceId, std::size_t> Result;
  for (const auto &[Service, Queue] : m_Lines)
    if (!Queue.m_Requests.empty())
      Result.emplace(Service, Queue.m_Requests.size());
  return Result;
}

bool ReturnDetector::hasReturned(const RouteId &Route, Duration Deadline) {
  if (m_Lately.size() >= MaxRoutes && !m_Lately.contains(Route))
    m_Lately.clear();
  std::deque<Duration> &Lately = m_Lately[Route];
  Lately.push_back(Deadline);
  if (Lately.size() > Remembered)
    Lately.pop_front();
  const Duration Longest = *std::max_element(Lately.begin(), Lately.end());
  return static_cast<double>(Deadline.count()) < FreshShare * static_cast<double>(Longest.count());
}

Duration RetryTimes::next(Duration TimeLeft) {
  const Duration Longest = std::min(Latest, TimeLeft / ObeyedPart);
  const Duration Shortest = Longest > Earliest ? Earliest : Longest / 2;
  const auto Range = static_cast<double>((Longest - Shortest).count());
  return Shortest + Duration(static_cast<Duration::rep>(Range * uniformUnit(m_Random)));
}

} // namespace fescuegauge
