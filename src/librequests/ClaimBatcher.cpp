#include "Fescuegauge/ClaimBatcher.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <set>

namespace fescuegauge {

namespace {

/// If a transaction held two writes of one row, both would be reported as committed.
Invariant OneWritePerRow("claims.one_write_per_row_and_transaction");

} // namespace

ClaimBatcherActions ClaimBatcher::submit(const InstanceId &From, ClaimWrite Write, TimePoint Now) {
  ClaimBatcherActions Actions;
  if (!m_KnownTickets.insert(Write.m_Ticket).second)
    return Actions;
  PendingWrite Pending{From, std::move(Write), 0};
  if (m_BackoffUntil && Now < *m_BackoffUntil) {
    answer(Pending, ClaimWriteStatus::NotWritten, Actions);
    return Actions;
  }
  if (m_Queue.size() >= MaxQueued) {
    answer(Pending, ClaimWriteStatus::NotWritten, Actions, {}, ErrorKind::Overloaded);
    return Actions;
  }
  m_Queue.push_back(std::move(Pending));
  sendNextTransaction(Now, Actions);
  return Actions;
}

ClaimBatcherActions ClaimBatcher::onCommit(const WriteId &Id, const CommitResult &Result,
                                           TimePoint Now) {
  ClaimBatcherActions Actions;
  auto Found = m_InFlight.find(Id);
  if (Found == m_InFlight.end())
    return Actions;
  Batch &Completed = Found->second;
  bool WasNeverReceived = Result.m_Status == CommitStatus::Unreachable && Completed.m_Retries == 0;
  if (Result.m_Status == CommitStatus::Committed) {
    m_BackoffUntil.reset();
    m_RowsCommitted += Completed.m_Writes.size();
    for (const PendingWrite &Pending : Completed.m_Writes)
      answer(Pending, ClaimWriteStatus::Committed, Actions);
    m_InFlight.erase(Found);
  } else if (Result.m_Status == CommitStatus::Conflict) {
    m_BackoffUntil.reset();
    Batch Failed = std::move(Completed);
    m_InFlight.erase(Found);
    handleConflict(std::move(Failed), Result, Actions);
  } else if (WasNeverReceived) {
    for (const PendingWrite &Pending : Completed.m_Writes)
      answer(Pending, ClaimWriteStatus::NotWritten, Actions);
    m_InFlight.erase(Found);
  } else if (Completed.m_Retries >= MaxRetries) {
    // An earlier copy may have taken effect even if the last retry did not reach the table.
    for (const PendingWrite &Pending : Completed.m_Writes)
      answer(Pending, ClaimWriteStatus::Unknown, Actions);
    m_InFlight.erase(Found);
  } else {
    Completed.m_RetryAt = Now + InitialRetryDelay * (1 << Completed.m_Retries);
    ++Completed.m_Retries;
  }
  if (Result.m_Status == CommitStatus::Unreachable) {
    m_BackoffUntil = Now + UnreachableBackoff;
    rejectQueuedWrites(Actions);
  }
  sendNextTransaction(Now, Actions);
  return Actions;
}

ClaimBatcherActions ClaimBatcher::onTimer(TimePoint Now) {
  ClaimBatcherActions Actions;
  sendNextTransaction(Now, Actions);
  return Actions;
}

std::optional<TimePoint> ClaimBatcher::nextTimer() const {
  std::optional<TimePoint> Earliest;
  for (const auto &[Id, Sent] : m_InFlight)
    if (Sent.m_RetryAt)
      Earliest = Earliest ? std::min(*Earliest, *Sent.m_RetryAt) : *Sent.m_RetryAt;
  if (!m_Queue.empty() && m_InFlight.size() < MaxInFlight && m_LastSentAt)
    Earliest =
        Earliest ? std::min(*Earliest, *m_LastSentAt + MinInterval) : *m_LastSentAt + MinInterval;
  if (Earliest && m_LastSentAt)
    Earliest = std::max(*Earliest, *m_LastSentAt + MinInterval);
  return Earliest;
}

void ClaimBatcher::sendNextTransaction(TimePoint Now, ClaimBatcherActions &Actions) {
  if (m_LastSentAt && Now < *m_LastSentAt + MinInterval)
    return;
  for (auto &[Id, Sent] : m_InFlight) {
    if (!Sent.m_RetryAt || *Sent.m_RetryAt > Now)
      continue;
    Sent.m_RetryAt.reset();
    m_LastSentAt = Now;
    ++m_TransactionsSent;
    Actions.m_Commits.push_back(Sent.m_Transaction);
    return;
  }
  if (m_Queue.empty() || m_InFlight.size() >= MaxInFlight)
    return;
  Batch Next = composeBatch();
  m_LastSentAt = Now;
  ++m_TransactionsSent;
  Actions.m_Commits.push_back(Next.m_Transaction);
  WriteId Id = Next.m_Transaction.m_WriteId;
  m_InFlight.emplace(std::move(Id), std::move(Next));
}

ClaimBatcher::Batch ClaimBatcher::composeBatch() {
  Batch Result;
  Transaction &Combined = Result.m_Transaction;
  Combined.m_WriteId = WriteId(m_Prefix + "." + std::to_string(m_NextWriteId++));
  std::map<std::string, TablePosition> Conditions;
  std::set<std::string> Written;
  std::size_t ValueBytes = 0;
  std::deque<PendingWrite> Deferred;
  for (PendingWrite &Pending : m_Queue) {
    const ClaimWrite &Write = Pending.m_Write;
    // A row cannot have two required versions at once, so such writes go into different batches.
    std::size_t Added = 0;
    bool IsCompatible = !Conditions.contains(Write.m_Row.m_Key);
    Added += IsCompatible ? 1 : 0;
    for (const RowCondition &Guard : Write.m_Guards) {
      auto Required = Conditions.find(Guard.m_Key);
      if (Required == Conditions.end())
        ++Added;
      else if (Required->second != Guard.m_Position)
        IsCompatible = false;
    }
    IsCompatible =
        IsCompatible && Conditions.size() + Added <= Transaction::MaxRows &&
        (Result.m_Writes.empty() || ValueBytes + Write.m_Value.size() <= MaxTransactionBytes);
    if (!IsCompatible) {
      Deferred.push_back(std::move(Pending));
      continue;
    }
    if (!OneWritePerRow.check(Written.insert(Write.m_Row.m_Key).second, Write.m_Row.m_Key)) {
      Deferred.push_back(std::move(Pending));
      continue;
    }
    Conditions.emplace(Write.m_Row.m_Key, Write.m_Row.m_Position);
    for (const RowCondition &Guard : Write.m_Guards)
      Conditions.emplace(Guard.m_Key, Guard.m_Position);
    ValueBytes += Write.m_Value.size();
    Combined.m_Puts.push_back({Write.m_Row.m_Key, Write.m_Value});
    Result.m_Writes.push_back(std::move(Pending));
  }
  m_Queue = std::move(Deferred);
  for (const auto &[Key, Position] : Conditions)
    Combined.m_Conditions.push_back({Key, Position});
  return Result;
}

void ClaimBatcher::handleConflict(Batch Failed, const CommitResult &Result,
                                  ClaimBatcherActions &Actions) {
  auto ConflictOf = [&](const std::string &Key) {
    return std::find_if(Result.m_Conflicts.begin(), Result.m_Conflicts.end(),
                        [&](const TableRow &Row) { return Row.m_Key == Key; });
  };
  std::vector<PendingWrite> Rewritten;
  for (PendingWrite &Pending : Failed.m_Writes) {
    auto Row = ConflictOf(Pending.m_Write.m_Row.m_Key);
    if (Row != Result.m_Conflicts.end()) {
      answer(Pending, ClaimWriteStatus::Conflict, Actions, *Row);
      continue;
    }
    bool GuardFailed = false;
    for (const RowCondition &Guard : Pending.m_Write.m_Guards) {
      Row = ConflictOf(Guard.m_Key);
      if (Row == Result.m_Conflicts.end())
        continue;
      answer(Pending, ClaimWriteStatus::GuardFailed, Actions, *Row);
      GuardFailed = true;
      break;
    }
    if (GuardFailed)
      continue;
    if (++Pending.m_Rewrites > MaxRewrites)
      answer(Pending, ClaimWriteStatus::NotWritten, Actions, {}, ErrorKind::Overloaded);
    else
      Rewritten.push_back(std::move(Pending));
  }
  m_Queue.insert(m_Queue.begin(), std::make_move_iterator(Rewritten.begin()),
                 std::make_move_iterator(Rewritten.end()));
}

void ClaimBatcher::rejectQueuedWrites(ClaimBatcherActions &Actions) {
  for (const PendingWrite &Pending : m_Queue)
    answer(Pending, ClaimWriteStatus::NotWritten, Actions);
  m_Queue.clear();
}

void ClaimBatcher::answer(const PendingWrite &Pending, ClaimWriteStatus Status,
                          ClaimBatcherActions &Actions, TableRow Current, ErrorKind Reason) {
  const ClaimTicket &Ticket = Pending.m_Write.m_Ticket;
  if (Status == ClaimWriteStatus::NotWritten) {
    m_RefusedTickets.push_back(Ticket);
    if (m_RefusedTickets.size() > MaxRefusedTickets) {
      m_KnownTickets.erase(m_RefusedTickets.front());
      m_RefusedTickets.pop_front();
    }
  } else {
    m_KnownTickets.erase(Ticket);
  }
  Actions.m_Answers.push_back(
      {Pending.m_Submitter, {Pending.m_Write.m_Ticket, Status, std::move(Current), Reason}});
}

} // namespace fescuegauge
