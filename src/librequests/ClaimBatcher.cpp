#include "Fescuegauge/ClaimBatcher.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <set>

namespace fescuegauge {

namespace {

/// Two writes of one row in a transaction would both be told that they committed.
Invariant OneWritePerRow("claims.one_write_per_row_and_transaction");

} // namespace

ClaimBatcherActions ClaimBatcher::submit(const InstanceId &From, ClaimWrite Write, TimePoint Now) {
  ClaimBatcherActions Actions;
  if (!m_Known.insert(Write.m_Ticket).second)
    return Actions;
  Pending Entry{From, std::move(Write), 0};
  if (m_RefuseUntil && Now < *m_RefuseUntil) {
    answer(Entry, ClaimWriteStatus::NotWritten, Actions);
    return Actions;
  }
  if (m_Queue.size() >= MaxQueued) {
    answer(Entry, ClaimWriteStatus::NotWritten, Actions, {}, ErrorKind::Overloaded);
    return Actions;
  }
  m_Queue.push_back(std::move(Entry));
  sendWhatIsDue(Now, Actions);
  return Actions;
}

ClaimBatcherActions ClaimBatcher::onCommit(const WriteId &Id, const CommitResult &Result,
                                           TimePoint Now) {
  ClaimBatcherActions Actions;
  auto Found = m_InFlight.find(Id);
  if (Found == m_InFlight.end())
    return Actions;
  Batch &Answered = Found->second;
  bool NeverReached = Result.m_Status == CommitStatus::Unreachable && Answered.m_Repeats == 0;
  if (Result.m_Status == CommitStatus::Committed) {
    m_RefuseUntil.reset();
    m_RowsCommitted += Answered.m_Writes.size();
    for (const Pending &Entry : Answered.m_Writes)
      answer(Entry, ClaimWriteStatus::Committed, Actions);
    m_InFlight.erase(Found);
  } else if (Result.m_Status == CommitStatus::Conflict) {
    m_RefuseUntil.reset();
    Batch Failed = std::move(Answered);
    m_InFlight.erase(Found);
    handleConflict(std::move(Failed), Result, Actions);
  } else if (NeverReached) {
    for (const Pending &Entry : Answered.m_Writes)
      answer(Entry, ClaimWriteStatus::NotWritten, Actions);
    m_InFlight.erase(Found);
  } else if (Answered.m_Repeats >= MaxRepeats) {
    // An earlier copy may have taken effect even if the last one did not reach the table.
    for (const Pending &Entry : Answered.m_Writes)
      answer(Entry, ClaimWriteStatus::Unknown, Actions);
    m_InFlight.erase(Found);
  } else {
    Answered.m_RepeatAt = Now + RepeatAfter * (1 << Answered.m_Repeats);
    ++Answered.m_Repeats;
  }
  if (Result.m_Status == CommitStatus::Unreachable) {
    m_RefuseUntil = Now + RefuseAfterUnreachable;
    refuseQueue(Actions);
  }
  sendWhatIsDue(Now, Actions);
  return Actions;
}

ClaimBatcherActions ClaimBatcher::onTimer(TimePoint Now) {
  ClaimBatcherActions Actions;
  sendWhatIsDue(Now, Actions);
  return Actions;
}

std::optional<TimePoint> ClaimBatcher::nextTimer() const {
  std::optional<TimePoint> Due;
  for (const auto &[Id, Sent] : m_InFlight)
    if (Sent.m_RepeatAt)
      Due = Due ? std::min(*Due, *Sent.m_RepeatAt) : *Sent.m_RepeatAt;
  if (!m_Queue.empty() && m_InFlight.size() < MaxInFlight && m_LastSend)
    Due = Due ? std::min(*Due, *m_LastSend + MinInterval) : *m_LastSend + MinInterval;
  if (Due && m_LastSend)
    Due = std::max(*Due, *m_LastSend + MinInterval);
  return Due;
}

void ClaimBatcher::sendWhatIsDue(TimePoint Now, ClaimBatcherActions &Actions) {
  if (m_LastSend && Now < *m_LastSend + MinInterval)
    return;
  for (auto &[Id, Sent] : m_InFlight) {
    if (!Sent.m_RepeatAt || *Sent.m_RepeatAt > Now)
      continue;
    Sent.m_RepeatAt.reset();
    m_LastSend = Now;
    ++m_Sent;
    Actions.m_Commits.push_back(Sent.m_Transaction);
    return;
  }
  if (m_Queue.empty() || m_InFlight.size() >= MaxInFlight)
    return;
  Batch Next = composeBatch();
  m_LastSend = Now;
  ++m_Sent;
  Actions.m_Commits.push_back(Next.m_Transaction);
  WriteId Id = Next.m_Transaction.m_WriteId;
  m_InFlight.emplace(std::move(Id), std::move(Next));
}

ClaimBatcher::Batch ClaimBatcher::composeBatch() {
  Batch Result;
  Transaction &Into = Result.m_Transaction;
  Into.m_WriteId = WriteId(m_Prefix + "." + std::to_string(m_NextWriteId++));
  std::map<std::string, RowVersion> Conditions;
  std::set<std::string> Written;
  std::size_t ValueBytes = 0;
  std::deque<Pending> Left;
  for (Pending &Entry : m_Queue) {
    const ClaimWrite &Write = Entry.m_Write;
    // Two versions demanded of one row cannot both hold, so such writes go into different batches.
    std::size_t Added = 0;
    bool Fits = !Conditions.contains(Write.m_Row.m_Key);
    Added += Fits ? 1 : 0;
    for (const RowCondition &Guard : Write.m_Guards) {
      auto Known = Conditions.find(Guard.m_Key);
      if (Known == Conditions.end())
        ++Added;
      else if (Known->second != Guard.m_Version)
        Fits = false;
    }
    Fits = Fits && Conditions.size() + Added <= Transaction::MaxRows &&
           (Result.m_Writes.empty() || ValueBytes + Write.m_Value.size() <= MaxTransactionBytes);
    if (!Fits) {
      Left.push_back(std::move(Entry));
      continue;
    }
    if (!OneWritePerRow.check(Written.insert(Write.m_Row.m_Key).second, Write.m_Row.m_Key)) {
      Left.push_back(std::move(Entry));
      continue;
    }
    Conditions.emplace(Write.m_Row.m_Key, Write.m_Row.m_Version);
    for (const RowCondition &Guard : Write.m_Guards)
      Conditions.emplace(Guard.m_Key, Guard.m_Version);
    ValueBytes += Write.m_Value.size();
    Into.m_Puts.push_back({Write.m_Row.m_Key, Write.m_Value});
    Result.m_Writes.push_back(std::move(Entry));
  }
  m_Queue = std::move(Left);
  for (const auto &[Key, Version] : Conditions)
    Into.m_Conditions.push_back({Key, Version});
  return Result;
}

void ClaimBatcher::handleConflict(Batch Failed, const CommitResult &Result,
                                  ClaimBatcherActions &Actions) {
  auto ConflictOf = [&](const std::string &Key) {
    return std::find_if(Result.m_Conflicts.begin(), Result.m_Conflicts.end(),
                        [&](const TableRow &Row) { return Row.m_Key == Key; });
  };
  std::vector<Pending> Again;
  for (Pending &Entry : Failed.m_Writes) {
    auto Row = ConflictOf(Entry.m_Write.m_Row.m_Key);
    if (Row != Result.m_Conflicts.end()) {
      answer(Entry, ClaimWriteStatus::Conflict, Actions, *Row);
      continue;
    }
    bool GuardFailed = false;
    for (const RowCondition &Guard : Entry.m_Write.m_Guards) {
      Row = ConflictOf(Guard.m_Key);
      if (Row == Result.m_Conflicts.end())
        continue;
      answer(Entry, ClaimWriteStatus::GuardFailed, Actions, *Row);
      GuardFailed = true;
      break;
    }
    if (GuardFailed)
      continue;
    if (++Entry.m_Rewrites > MaxRewrites)
      answer(Entry, ClaimWriteStatus::NotWritten, Actions, {}, ErrorKind::Overloaded);
    else
      Again.push_back(std::move(Entry));
  }
  m_Queue.insert(m_Queue.begin(), std::make_move_iterator(Again.begin()),
                 std::make_move_iterator(Again.end()));
}

void ClaimBatcher::refuseQueue(ClaimBatcherActions &Actions) {
  for (const Pending &Entry : m_Queue)
    answer(Entry, ClaimWriteStatus::NotWritten, Actions);
  m_Queue.clear();
}

void ClaimBatcher::answer(const Pending &Entry, ClaimWriteStatus Status,
                          ClaimBatcherActions &Actions, TableRow Current, ErrorKind Reason) {
  const ClaimTicket &Answered = Entry.m_Write.m_Ticket;
  if (Status == ClaimWriteStatus::NotWritten) {
    m_Refused.push_back(Answered);
    if (m_Refused.size() > MaxRefused) {
      m_Known.erase(m_Refused.front());
      m_Refused.pop_front();
    }
  } else {
    m_Known.erase(Answered);
  }
  Actions.m_Answers.push_back(
      {Entry.m_From, {Entry.m_Write.m_Ticket, Status, std::move(Current), Reason}});
}

} // namespace fescuegauge
