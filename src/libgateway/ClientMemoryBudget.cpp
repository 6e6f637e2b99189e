#include "Fescuegauge/ClientMemoryBudget.h"

#include <algorithm>
#include <cassert>

namespace fescuegauge {

ClientMemoryLimits ClientMemoryLimits::forProcess(std::size_t MemoryBytes,
                                                  std::size_t Descriptors) {
  if (MemoryBytes == 0)
    MemoryBytes = DefaultMemoryBytes;
  if (Descriptors == 0)
    Descriptors = DefaultDescriptors;
  ClientMemoryLimits Result;
  Result.m_Bytes = MemoryBytes / 2;
  Result.m_SmallBytes = Result.m_Bytes / 4;
  Result.m_UnreadBytes = Result.m_Bytes / 8;
  Result.m_ResponseBytes = Result.m_SmallBytes / 2;
  const std::size_t ForConnections =
      Descriptors > OtherDescriptors ? (Descriptors - OtherDescriptors) * 2 / 3 : 0;
  Result.m_Connections =
      std::clamp<std::size_t>(Result.m_SmallBytes / ClientMemoryBudget::ConnectionBytes, 1,
                              std::max<std::size_t>(ForConnections, 1));
  return Result;
}

ClientConnectionNumber ClientMemoryBudget::add(TimePoint Now) {
  m_LastNumber = m_LastNumber.next();
  Connection Added;
  Added.m_Since = Now;
  m_Connections.emplace(m_LastNumber, Added);
  m_Small += ConnectionBytes;
  return m_LastNumber;
}

void ClientMemoryBudget::remove(ClientConnectionNumber Number) {
  onClosing(Number);
  m_Excess -= m_Connections.at(Number).m_IsExcess ? 1 : 0;
  m_Connections.erase(Number);
  m_Small -= ConnectionBytes;
}

std::optional<ClientMemoryBudget::Decision> ClientMemoryBudget::takeExcess(TimePoint Now) {
  if (m_Connections.size() - m_Excess <= m_Limits.m_Connections)
    return std::nullopt;
  // Lower ranks are closed first.
  const auto Rank = [&](const Connection &Each) {
    if (Each.m_State == State::Closing)
      return 0;
    if (Each.m_State == State::Idle)
      return 1;
    return isStalled(Each, Now) ? 2 : 3;
  };
  auto Chosen = m_Connections.end();
  for (auto Each = m_Connections.begin(); Each != m_Connections.end(); ++Each) {
    if (Each->second.m_IsExcess || Rank(Each->second) == 3)
      continue;
    if (Chosen == m_Connections.end() ||
        std::pair(Rank(Each->second), Each->second.m_Since) <
            std::pair(Rank(Chosen->second), Chosen->second.m_Since))
      Chosen = Each;
  }
  if (Chosen == m_Connections.end())
    Chosen = std::prev(m_Connections.end());
  Chosen->second.m_IsExcess = true;
  ++m_Excess;
  return Decision{Chosen->first, Action::Close};
}

void ClientMemoryBudget::onIdle(ClientConnectionNumber Number, TimePoint Now) {
  Connection &Changed = m_Connections.at(Number);
  charge(Changed, 0);
  Changed.m_State = State::Idle;
  Changed.m_Since = Now;
}

void ClientMemoryBudget::onReading(ClientConnectionNumber Number, TimePoint Now) {
  Connection &Changed = m_Connections.at(Number);
  Changed.m_State = State::Reading;
  Changed.m_Since = Now;
  Changed.m_BytesSince = 0;
}

void ClientMemoryBudget::onBytes(ClientConnectionNumber Number, std::size_t Count, TimePoint Now) {
  Connection &Changed = m_Connections.at(Number);
  Changed.m_BytesSince += Count;
  if (Changed.m_BytesSince < MinProgressBytes)
    return;
  Changed.m_BytesSince = 0;
  Changed.m_Since = Now;
}

bool ClientMemoryBudget::fits(const Connection &Changed, std::size_t Bytes) const {
  std::size_t Small = m_Small;
  std::size_t Large = m_Large;
  (isLarge(Changed.m_Held) ? Large : Small) -= Changed.m_Held;
  (isLarge(Bytes) ? Large : Small) += Bytes;
  Small += std::max(withEventRoom(m_WholeResponses, m_Events, m_Limits), m_Limits.m_ResponseBytes);
  if (isLarge(Bytes))
    Small = std::max(Small, m_Limits.m_SmallBytes);
  return Small + Large + m_Limits.m_UnreadBytes <= m_Limits.m_Bytes;
}

void ClientMemoryBudget::charge(Connection &Changed, std::size_t Bytes) {
  (isLarge(Changed.m_Held) ? m_Large : m_Small) -= Changed.m_Held;
  (isLarge(Bytes) ? m_Large : m_Small) += Bytes;
  Changed.m_Held = Bytes;
}

ClientMemoryBudget::Admission ClientMemoryBudget::hold(ClientConnectionNumber Number,
                                                       std::size_t Bytes, std::size_t MaxBytes,
                                                       TimePoint Now) {
  Connection &Changed = m_Connections.at(Number);
  const bool HasReserved = isLarge(Changed.m_Held);
  if (HasReserved && Bytes <= Changed.m_Held)
    return Admission::Granted;
  const std::size_t Wanted = isLarge(Bytes) ? std::max(Bytes, MaxBytes) : Bytes;
  const bool MustQueue =
      isLarge(Wanted) && !HasReserved &&
      std::any_of(m_Waiting.begin(), m_Waiting.end(), [&](ClientConnectionNumber Each) {
        return isLarge(m_Connections.at(Each).m_Wanted);
      });
  if (!MustQueue && fits(Changed, Wanted)) {
    charge(Changed, Wanted);
    return Admission::Granted;
  }
  // A request that waits with a reservation could block others that do the same.
  if (HasReserved || (isLarge(Wanted) && Wanted > m_Limits.maxRequestBytes()) ||
      (m_Waiting.size() + 1) * UnreadBytes > m_Limits.m_UnreadBytes)
    return Admission::Refused;
  Changed.m_State = State::Waiting;
  Changed.m_Since = Now;
  Changed.m_Wanted = Wanted;
  m_Waiting.push_back(Number);
  return Admission::Wait;
}

void ClientMemoryBudget::onServing(ClientConnectionNumber Number, std::size_t Bytes) {
  Connection &Changed = m_Connections.at(Number);
  charge(Changed, Bytes);
  Changed.m_State = State::Serving;
}

void ClientMemoryBudget::onClosing(ClientConnectionNumber Number) {
  stopWaiting(Number);
  Connection &Changed = m_Connections.at(Number);
  charge(Changed, 0);
  Changed.m_State = State::Closing;
}

bool ClientMemoryBudget::resizeResponse(ResponsePart Part, std::size_t Before, std::size_t After) {
  std::size_t Events = m_Events;
  std::size_t WholeResponses = m_WholeResponses;
  std::size_t &Changed = Part == ResponsePart::Event ? Events : WholeResponses;
  assert(Before <= Changed);
  Changed = Changed - Before + After;
  const bool IsEventInReserve =
      Part == ResponsePart::Event && Events <= m_Limits.m_ResponseBytes / 2;
  const std::size_t Needed = withEventRoom(WholeResponses, Events, m_Limits);
  if (After > Before && !IsEventInReserve && Needed > m_Limits.m_ResponseBytes &&
      m_Small + m_Large + Needed + m_Limits.m_UnreadBytes > m_Limits.m_Bytes)
    return false;
  m_Events = Events;
  m_WholeResponses = WholeResponses;
  return true;
}

bool ClientMemoryBudget::isStalled(const Connection &Each, TimePoint Now) const {
  return Each.m_State == State::Reading && Now - Each.m_Since >= StallTime;
}

void ClientMemoryBudget::stopWaiting(ClientConnectionNumber Number) {
  if (m_Connections.at(Number).m_State == State::Waiting)
    std::erase(m_Waiting, Number);
}

void ClientMemoryBudget::grantWaiting(TimePoint Now, std::vector<Decision> &Result) {
  bool IsLargeBlocked = false;
  std::erase_if(m_Waiting, [&](ClientConnectionNumber Number) {
    Connection &Each = m_Connections.at(Number);
    if ((isLarge(Each.m_Wanted) && IsLargeBlocked) || !fits(Each, Each.m_Wanted)) {
      IsLargeBlocked = IsLargeBlocked || isLarge(Each.m_Wanted);
      return false;
    }
    charge(Each, Each.m_Wanted);
    onReading(Number, Now);
    Result.push_back({Number, Action::Resume});
    return true;
  });
}

std::optional<ClientConnectionNumber> ClientMemoryBudget::largestStalled(TimePoint Now) const {
  auto Largest = m_Connections.end();
  for (auto Each = m_Connections.begin(); Each != m_Connections.end(); ++Each)
    if (isStalled(Each->second, Now) && Each->second.m_Held > 0 &&
        (Largest == m_Connections.end() || Each->second.m_Held > Largest->second.m_Held))
      Largest = Each;
  if (Largest == m_Connections.end())
    return std::nullopt;
  return Largest->first;
}

std::vector<ClientMemoryBudget::Decision> ClientMemoryBudget::takeDecisions(TimePoint Now) {
  std::vector<Decision> Result;
  grantWaiting(Now, Result);
  while (!m_Waiting.empty()) {
    const auto Stalled = largestStalled(Now);
    if (!Stalled)
      break;
    onClosing(*Stalled);
    Result.push_back({*Stalled, Action::EndStalled});
    grantWaiting(Now, Result);
  }
  while (!m_Waiting.empty()) {
    const ClientConnectionNumber First = m_Waiting.front();
    if (Now - m_Connections.at(First).m_Since < MaxWait)
      break;
    onClosing(First);
    Result.push_back({First, Action::Refuse});
  }
  return Result;
}

TimePoint BodyProgress::deadline() const {
  const Duration ForBytes = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(m_Bytes) / MinBytesPerSecond));
  return std::min({m_LastBytesAt + MaxPause, m_Start + Grace + ForBytes, m_Start + MaxTime});
}

} // namespace fescuegauge
