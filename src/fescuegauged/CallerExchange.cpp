#include "CallerExchange.h"

namespace fescuegauge {

void CallerExchange::deliver(const DeliverFragment &Fragment, const Digest &ServedDigest,
                             std::string Ticket) {
  std::lock_guard Lock(m_Mutex);
  if (m_Overflow)
    return;
  m_WaitingBytes += Fragment.m_Data.size();
  m_Overflow = m_WaitingBytes > MaxWaitingBytes;
  Event Added;
  Added.m_Data = m_Overflow ? std::string() : Fragment.m_Data;
  Added.m_ContentType = Fragment.m_ContentType;
  Added.m_ServedDigest = ServedDigest;
  Added.m_Ticket = std::move(Ticket);
  Added.m_Overflow = m_Overflow;
  m_Events.push_back(std::move(Added));
  m_Changed.notify_one();
}

void CallerExchange::finish(const FinishRequest &Final) {
  std::lock_guard Lock(m_Mutex);
  Event Added;
  Added.m_Finish = Final;
  m_Events.push_back(std::move(Added));
  m_Changed.notify_one();
}

std::optional<CallerExchange::Event> CallerExchange::wait(Duration Limit) {
  std::unique_lock Lock(m_Mutex);
  if (!m_Changed.wait_for(Lock, Limit, [this] { return !m_Events.empty(); }))
    return std::nullopt;
  Event Next = std::move(m_Events.front());
  m_Events.pop_front();
  m_WaitingBytes -= Next.m_Data.size();
  return Next;
}

} // namespace fescuegauge
