#include "AnswerQueue.h"

namespace fescuegauge {

void AnswerQueue::pushFragment(const DeliverFragment &Fragment, std::string Ticket) {
  std::lock_guard Lock(m_Mutex);
  if (m_HasOverflowed)
    return;
  // An empty queue accepts every fragment, because the whole answer of a plain service is one
  // fragment.
  const bool IsCallerSlow = m_QueuedBytes > 0;
  m_QueuedBytes += Fragment.m_Data.size();
  m_HasOverflowed = IsCallerSlow && m_QueuedBytes > MaxQueuedBytes;
  Event Added;
  Added.m_Data = m_HasOverflowed ? std::string() : Fragment.m_Data;
  Added.m_ContentType = Fragment.m_ContentType;
  Added.m_ServedDigest = Fragment.m_ServedDigest;
  Added.m_Ticket = std::move(Ticket);
  Added.m_HasOverflowed = m_HasOverflowed;
  m_Events.push_back(std::move(Added));
  m_EventAdded.notify_one();
}

void AnswerQueue::pushFinish(const FinishRequest &Final) {
  std::lock_guard Lock(m_Mutex);
  Event Added;
  Added.m_Finish = Final;
  m_Events.push_back(std::move(Added));
  m_EventAdded.notify_one();
}

std::optional<AnswerQueue::Event> AnswerQueue::pop(Duration Timeout) {
  std::unique_lock Lock(m_Mutex);
  if (!m_EventAdded.wait_for(Lock, Timeout, [this] { return !m_Events.empty(); }))
    return std::nullopt;
  Event Next = std::move(m_Events.front());
  m_Events.pop_front();
  m_QueuedBytes -= Next.m_Data.size();
  return Next;
}

} // namespace fescuegauge
