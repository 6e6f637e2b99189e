#include "Fescuegauge/ClaimCoordinator.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant GrantedClaimIsNotReplaced("claims.granted_claim_is_not_replaced");
Invariant GrantIsForOwnClaim("claims.grant_is_for_own_claim");

} // namespace

std::string ClaimCoordinator::rowKey(const Claim &OpenClaim) {
  return claimRowKey(OpenClaim.m_Request.m_Account, OpenClaim.m_Request.m_Key);
}

void ClaimCoordinator::setEntries(std::vector<InstanceId> Entries) {
  m_RankedEntries = rendezvousRank("claim-batchers", Entries, Entries.size());
  std::erase_if(m_AvoidedUntil, [&](const auto &Avoided) {
    return std::find(m_RankedEntries.begin(), m_RankedEntries.end(), Avoided.first) ==
           m_RankedEntries.end();
  });
}

void ClaimCoordinator::setEpochRow(const TableRow &Row) {
  // Reads may be stale, but the position of a row never decreases.
  if (m_EpochRowPosition && Row.m_Position < *m_EpochRowPosition)
    return;
  auto Oldest = Row.isAbsent() ? std::optional(ClaimEpoch()) : decodeClaimEpoch(Row.m_Value);
  if (!Oldest)
    return;
  m_EpochRowPosition = Row.m_Position;
  m_OldestEpoch = std::max(m_OldestEpoch, *Oldest);
}

std::vector<InstanceId> ClaimCoordinator::batchersFor(const IdempotencyKey &Key,
                                                      TimePoint Now) const {
  std::vector<InstanceId> Order;
  std::vector<InstanceId> Avoided;
  for (const InstanceId &Candidate : m_RankedEntries) {
    auto Found = m_AvoidedUntil.find(Candidate);
    bool IsAvoided = Found != m_AvoidedUntil.end() && Now < Found->second;
    (IsAvoided ? Avoided : Order).push_back(Candidate);
  }
  auto ActiveCount =
      static_cast<std::ptrdiff_t>(std::min<std::size_t>(ActiveBatchers, Order.size()));
  std::sort(Order.begin(), Order.begin() + ActiveCount,
            [&](const InstanceId &Left, const InstanceId &Right) {
              return rendezvousWeight(Key.str(), Left.str()) >
                     rendezvousWeight(Key.str(), Right.str());
            });
  Order.insert(Order.end(), Avoided.begin(), Avoided.end());
  if (Order.empty())
    Order.push_back(m_Options.m_Self);
  return Order;
}

ClaimActions ClaimCoordinator::claim(const ClaimRequest &Request, TimePoint Now) {
  ClaimActions Actions;
  auto Refuse = [&](ClaimVerdict Verdict, ErrorKind Error) {
    ClaimDecision Decision;
    Decision.m_Request = Request.m_Request;
    Decision.m_Verdict = Verdict;
    Decision.m_Error = Error;
    Actions.push_back(std::move(Decision));
    return Actions;
  };
  auto Epoch = keyEpoch(Request.m_Key);
  if (Request.m_Key.empty())
    return Refuse(ClaimVerdict::Refused, ErrorKind::KeyMissing);
  if (!Epoch || !isRowKeyPart(Request.m_Account.str()) || !isRowKeyPart(Request.m_Service.str()))
    return Refuse(ClaimVerdict::Refused, ErrorKind::MalformedRequest);
  if (!m_EpochRowPosition)
    return Refuse(ClaimVerdict::NotRun, ErrorKind::TableUnreachable);
  if (*Epoch < m_OldestEpoch)
    return Refuse(ClaimVerdict::Refused, ErrorKind::KeyExpired);
  if (Request.m_Owner.m_Paused)
    return Refuse(ClaimVerdict::NotRun, ErrorKind::HandoverInProgress);
  if (m_Claims.size() >= MaxClaims)
    return Refuse(ClaimVerdict::NotRun, ErrorKind::Overloaded);
  auto [Position, Inserted] = m_Claims.try_emplace(Request.m_Request);
  if (!Inserted)
    return Actions;
  Claim &OpenClaim = Position->second;
  OpenClaim.m_Request = Request;
  if (auto Holder = m_Holders.find(rowKey(OpenClaim)); Holder != m_Holders.end())
    handleRepeat(OpenClaim, m_Claims.at(Holder->second), Now, Actions);
  else
    startClaim(OpenClaim, TablePosition(), Now, Actions);
  removeFinished();
  return Actions;
}

void ClaimCoordinator::handleRepeat(Claim &OpenClaim, const Claim &Holder, TimePoint Now,
                                    ClaimActions &Actions) {
  ++m_Counters.m_RepeatedRequests;
  if (Holder.m_Request.m_BodyDigest != OpenClaim.m_Request.m_BodyDigest ||
      Holder.m_Request.m_Service != OpenClaim.m_Request.m_Service) {
    decide(OpenClaim, ClaimVerdict::Refused, ErrorKind::KeyReusedWithOtherBody, Actions);
    return;
  }
  if (Holder.m_Phase == Phase::Withdrawing ||
      (Holder.m_Phase == Phase::Resolving && Holder.m_Row.m_State == ClaimState::NotRun))
    decide(OpenClaim, ClaimVerdict::NotRun, ErrorKind::TableUnreachable, Actions);
  else if (Holder.m_Phase == Phase::Resolving && Holder.m_Row.m_State == ClaimState::Done)
    decide(OpenClaim, ClaimVerdict::Recorded, ErrorKind::OutcomeUnknown, Actions,
           Holder.m_Row.m_Answer);
  else if (Holder.m_Phase == Phase::Resolving)
    decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
  else
    startWaiting(OpenClaim, Now, Actions);
}

void ClaimCoordinator::startClaim(Claim &OpenClaim, TablePosition Position, TimePoint Now,
                                  ClaimActions &Actions) {
  clearTickets(OpenClaim);
  // The key's epoch must be compared with the same version of the epoch row that guards the claim.
  if (*keyEpoch(OpenClaim.m_Request.m_Key) < m_OldestEpoch) {
    decide(OpenClaim, ClaimVerdict::Refused, ErrorKind::KeyExpired, Actions);
    return;
  }
  OpenClaim.m_EpochRowPosition = *m_EpochRowPosition;
  if (OpenClaim.m_Attempts >= MaxAttempts) {
    decide(OpenClaim, ClaimVerdict::NotRun, ErrorKind::Overloaded, Actions);
    return;
  }
  ++OpenClaim.m_Attempts;
  OpenClaim.m_Phase = Phase::Claiming;
  OpenClaim.m_SubmissionCount = 0;
  OpenClaim.m_Position = Position;
  OpenClaim.m_Row.m_ClaimId = ClaimId(m_Options.m_ProcessId + ".c" + std::to_string(m_NextClaim++));
  OpenClaim.m_Row.m_Entry = m_Options.m_Self;
  OpenClaim.m_Row.m_BodyDigest = OpenClaim.m_Request.m_BodyDigest;
  OpenClaim.m_Row.m_Service = OpenClaim.m_Request.m_Service;
  OpenClaim.m_Row.m_Generation = OpenClaim.m_Request.m_Owner.m_Generation;
  OpenClaim.m_Row.m_State = ClaimState::Claimed;
  m_Holders.try_emplace(rowKey(OpenClaim), OpenClaim.m_Request.m_Request);
  submit(OpenClaim, Now, Actions);
}

void ClaimCoordinator::submit(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions) {
  ++OpenClaim.m_SubmissionCount;
  ClaimTicket Ticket(m_Options.m_ProcessId + ".t" + std::to_string(m_NextTicket++));
  ClaimWrite Write;
  Write.m_Ticket = Ticket;
  Write.m_Row = {rowKey(OpenClaim), OpenClaim.m_Position};
  Write.m_Value = OpenClaim.m_Row.encode();
  // A withdrawal must not create a row in an expired epoch, whose rows have been deleted.
  bool MayCreateRow =
      OpenClaim.m_Phase == Phase::Withdrawing && OpenClaim.m_Position.m_Version == RowVersion();
  if (OpenClaim.m_Phase == Phase::Claiming || MayCreateRow)
    Write.m_Guards.push_back({std::string(ClaimEpochRowKey), OpenClaim.m_EpochRowPosition});
  if (OpenClaim.m_Phase == Phase::Claiming)
    Write.m_Guards.push_back(
        {ownerRowKey(OpenClaim.m_Request.m_Service, OpenClaim.m_Request.m_Account),
         OpenClaim.m_Request.m_Owner.m_Position});
  OpenClaim.m_Tickets.push_back(Ticket);
  m_Tickets.emplace(Ticket, OpenClaim.m_Request.m_Request);
  OpenClaim.m_Batcher = batchersFor(OpenClaim.m_Request.m_Key, Now).front();
  setTimer(OpenClaim, Now + BatcherTimeout);
  Actions.push_back(SendClaimWrite{OpenClaim.m_Batcher, std::move(Write)});
}

ClaimActions ClaimCoordinator::writeResult(const ClaimWriteResult &Result, TimePoint Now) {
  ClaimActions Actions;
  auto Ticket = m_Tickets.find(Result.m_Ticket);
  if (Ticket == m_Tickets.end())
    return Actions;
  Claim &OpenClaim = m_Claims.at(Ticket->second);
  m_AvoidedUntil.erase(OpenClaim.m_Batcher);
  if (OpenClaim.m_Phase == Phase::Claiming)
    handleClaimResult(OpenClaim, Result, Now, Actions);
  else
    handleResolutionResult(OpenClaim, Result, Now, Actions);
  removeFinished();
  return Actions;
}

void ClaimCoordinator::handleClaimResult(Claim &OpenClaim, const ClaimWriteResult &Result,
                                         TimePoint Now, ClaimActions &Actions) {
  bool IsLast = OpenClaim.m_Tickets.back() == Result.m_Ticket;
  switch (Result.m_Status) {
  case ClaimWriteStatus::Committed:
    // The version that follows the required one is that of this claim, since no version can exist
    // between them.
    grant(OpenClaim, OpenClaim.m_Position.next(), Actions);
    return;
  case ClaimWriteStatus::Conflict:
    handleCurrentRow(OpenClaim, Result.m_Current, Now, Actions);
    return;
  case ClaimWriteStatus::GuardFailed:
    // The positions of guard rows only increase, so no copy of this claim can be committed any
    // more.
    if (Result.m_Current.m_Key == ClaimEpochRowKey) {
      setEpochRow(Result.m_Current);
      startClaim(OpenClaim, OpenClaim.m_Position, Now, Actions);
      return;
    }
    Actions.push_back(UpdateOwnerRow{Result.m_Current});
    decide(OpenClaim, ClaimVerdict::NotRun, ErrorKind::HandoverInProgress, Actions);
    return;
  case ClaimWriteStatus::NotWritten:
    if (!IsLast)
      return;
    if (OpenClaim.m_Tickets.size() == 1)
      decide(OpenClaim, ClaimVerdict::NotRun, Result.m_Reason, Actions);
    else
      withdraw(OpenClaim, Now, Actions);
    return;
  case ClaimWriteStatus::Unknown:
    if (!IsLast)
      return;
    if (OpenClaim.m_SubmissionCount < MaxSubmissions)
      submit(OpenClaim, Now, Actions);
    else
      withdraw(OpenClaim, Now, Actions);
    return;
  }
}

void ClaimCoordinator::grant(Claim &OpenClaim, TablePosition Position, ClaimActions &Actions) {
  clearTickets(OpenClaim);
  setTimer(OpenClaim, std::nullopt);
  OpenClaim.m_Phase = Phase::Granted;
  OpenClaim.m_Position = Position;
  ++m_Counters.m_Granted;
  ClaimDecision Decision;
  Decision.m_Request = OpenClaim.m_Request.m_Request;
  Decision.m_Verdict = ClaimVerdict::Granted;
  Decision.m_Claim = OpenClaim.m_Row.m_ClaimId;
  Decision.m_Generation = OpenClaim.m_Row.m_Generation;
  Actions.push_back(std::move(Decision));
}

void ClaimCoordinator::handleCurrentRow(Claim &OpenClaim, const TableRow &Row, TimePoint Now,
                                        ClaimActions &Actions) {
  if (Row.isAbsent()) {
    // The row to be replaced was deleted with its epoch. The next attempt will be refused for that.
    startClaim(OpenClaim, Row.m_Position, Now, Actions);
    return;
  }
  auto RowClaim = ClaimRow::decode(Row.m_Value);
  if (!RowClaim) {
    decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (OpenClaim.m_Phase == Phase::Claiming && RowClaim->m_ClaimId == OpenClaim.m_Row.m_ClaimId) {
    if (GrantIsForOwnClaim.check(*RowClaim == OpenClaim.m_Row, Row.m_Key))
      grant(OpenClaim, Row.m_Position, Actions);
    else
      decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (OpenClaim.m_Phase == Phase::Claiming)
    ++m_Counters.m_RepeatedRequests;
  if (RowClaim->m_State != ClaimState::NotRun &&
      (RowClaim->m_BodyDigest != OpenClaim.m_Request.m_BodyDigest ||
       RowClaim->m_Service != OpenClaim.m_Request.m_Service)) {
    decide(OpenClaim, ClaimVerdict::Refused, ErrorKind::KeyReusedWithOtherBody, Actions);
    return;
  }
  switch (RowClaim->m_State) {
  case ClaimState::Done:
    decide(OpenClaim, ClaimVerdict::Recorded, ErrorKind::OutcomeUnknown, Actions,
           RowClaim->m_Answer);
    return;
  case ClaimState::Unknown:
    decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  case ClaimState::NotRun:
    if (OpenClaim.m_Phase != Phase::Claiming && m_Holders.contains(rowKey(OpenClaim)))
      return;
    std::erase_if(m_Waiters, [&](const auto &Waiter) {
      return Waiter.second == OpenClaim.m_Request.m_Request;
    });
    startClaim(OpenClaim, Row.m_Position, Now, Actions);
    return;
  case ClaimState::Claimed: {
    // A claim of this entry without a holder in memory is left over from an earlier process or from
    // MaxResolveSubmissions failures. Neither it nor a claim of a dead entry will be resolved.
    auto Holder = m_Holders.find(rowKey(OpenClaim));
    bool IsHeldHere = Holder != m_Holders.end() && Holder->second != OpenClaim.m_Request.m_Request;
    bool IsClaimantAlive =
        RowClaim->m_Entry == m_Options.m_Self
            ? IsHeldHere
            : !m_Options.m_IsEntryAlive || m_Options.m_IsEntryAlive(RowClaim->m_Entry);
    if (!IsClaimantAlive)
      decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    else if (OpenClaim.m_Phase == Phase::Claiming)
      startWaiting(OpenClaim, Now, Actions);
    return;
  }
  }
}

void ClaimCoordinator::startWaiting(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions) {
  clearTickets(OpenClaim);
  if (isHolder(OpenClaim))
    m_Holders.erase(rowKey(OpenClaim));
  if (m_Waiters.size() >= MaxWaiters) {
    decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  OpenClaim.m_Phase = Phase::Waiting;
  m_Waiters.emplace_back(rowKey(OpenClaim), OpenClaim.m_Request.m_Request);
  if (!m_NextReadAt)
    m_NextReadAt = Now + ReadInterval;
  setTimer(OpenClaim, std::min(OpenClaim.m_Request.m_WaitUntil, Now + MaxWait));
}

ClaimActions ClaimCoordinator::rowRead(const std::string &Key, const std::optional<TableRow> &Row,
                                       TimePoint Now) {
  ClaimActions Actions;
  // An absent row means a stale read here: claim rows are deleted only with their epoch.
  if (!Row || Row->isAbsent())
    return Actions;
  std::vector<RequestId> Requests;
  for (const auto &[WaitKey, Request] : m_Waiters)
    if (WaitKey == Key)
      Requests.push_back(Request);
  for (const RequestId &Request : Requests) {
    Claim &OpenClaim = m_Claims.at(Request);
    if (OpenClaim.m_Phase == Phase::Waiting)
      handleCurrentRow(OpenClaim, *Row, Now, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::decide(Claim &OpenClaim, ClaimVerdict Verdict, ErrorKind Error,
                              ClaimActions &Actions, const std::optional<RecordedAnswer> &Answer) {
  // A body that was too large to record cannot be returned to the caller.
  if (Verdict == ClaimVerdict::Recorded && (!Answer || Answer->m_BodyOmitted)) {
    Verdict = ClaimVerdict::Unknown;
    Error = ErrorKind::OutcomeUnknown;
  }
  ClaimDecision Decision;
  Decision.m_Request = OpenClaim.m_Request.m_Request;
  Decision.m_Verdict = Verdict;
  Decision.m_Error = Error;
  Decision.m_Answer = Answer;
  Actions.push_back(std::move(Decision));
  bool WasHolder = isHolder(OpenClaim);
  finish(OpenClaim);
  if (WasHolder)
    decideWaiters(rowKey(OpenClaim), Verdict, Error, Answer, Actions);
}

void ClaimCoordinator::decideWaiters(const std::string &Key, ClaimVerdict Verdict, ErrorKind Error,
                                     const std::optional<RecordedAnswer> &Answer,
                                     ClaimActions &Actions) {
  std::vector<RequestId> Requests;
  for (const auto &[WaitKey, Request] : m_Waiters)
    if (WaitKey == Key)
      Requests.push_back(Request);
  for (const RequestId &Request : Requests)
    decide(m_Claims.at(Request), Verdict, Error, Actions, Answer);
}

bool ClaimCoordinator::isHolder(const Claim &OpenClaim) const {
  auto Holder = m_Holders.find(rowKey(OpenClaim));
  return Holder != m_Holders.end() && Holder->second == OpenClaim.m_Request.m_Request;
}

ClaimActions ClaimCoordinator::abandon(const RequestId &Request, TimePoint Now) {
  ClaimActions Actions;
  auto Found = m_Claims.find(Request);
  if (Found == m_Claims.end())
    return Actions;
  Claim &OpenClaim = Found->second;
  if (OpenClaim.m_Phase == Phase::Waiting) {
    finish(OpenClaim);
  } else if (OpenClaim.m_Phase == Phase::Claiming || OpenClaim.m_Phase == Phase::Granted) {
    decideWaiters(rowKey(OpenClaim), ClaimVerdict::NotRun, ErrorKind::Overloaded, {}, Actions);
    OpenClaim.m_Row.m_State = ClaimState::NotRun;
    startResolution(OpenClaim,
                    OpenClaim.m_Phase == Phase::Claiming ? Phase::Withdrawing : Phase::Resolving,
                    Now, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::withdraw(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions) {
  ClaimDecision Decision;
  Decision.m_Request = OpenClaim.m_Request.m_Request;
  Decision.m_Verdict = ClaimVerdict::NotRun;
  Decision.m_Error = ErrorKind::TableUnreachable;
  Actions.push_back(std::move(Decision));
  decideWaiters(rowKey(OpenClaim), ClaimVerdict::NotRun, ErrorKind::TableUnreachable, {}, Actions);
  OpenClaim.m_Row.m_State = ClaimState::NotRun;
  startResolution(OpenClaim, Phase::Withdrawing, Now, Actions);
}

ClaimActions ClaimCoordinator::resolve(const RequestId &Request, ClaimState Outcome,
                                       std::optional<RecordedAnswer> Answer, TimePoint Now) {
  ClaimActions Actions;
  auto Found = m_Claims.find(Request);
  if (Found == m_Claims.end() || Outcome == ClaimState::Claimed)
    return Actions;
  Claim &OpenClaim = Found->second;
  if (Answer && Answer->m_Body.size() > RecordedAnswer::MaxBodyBytes) {
    Answer->m_Body.clear();
    Answer->m_BodyOmitted = true;
  }
  if (Outcome != ClaimState::Done)
    Answer.reset();
  if (OpenClaim.m_Phase == Phase::Resolving) {
    if (OpenClaim.m_Row.m_State == ClaimState::Unknown)
      OpenClaim.m_NextOutcome = {Outcome, std::move(Answer)};
  } else if (OpenClaim.m_Phase == Phase::Granted || OpenClaim.m_Phase == Phase::Unresolved) {
    bool WasHolder = isHolder(OpenClaim);
    OpenClaim.m_Row.m_State = Outcome;
    OpenClaim.m_Row.m_Answer = std::move(Answer);
    startResolution(OpenClaim, Phase::Resolving, Now, Actions);
    ClaimVerdict Verdict = Outcome == ClaimState::Done     ? ClaimVerdict::Recorded
                           : Outcome == ClaimState::NotRun ? ClaimVerdict::NotRun
                                                           : ClaimVerdict::Unknown;
    if (WasHolder)
      decideWaiters(rowKey(OpenClaim), Verdict,
                    Outcome == ClaimState::NotRun ? ErrorKind::Overloaded
                                                  : ErrorKind::OutcomeUnknown,
                    OpenClaim.m_Row.m_Answer, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::startResolution(Claim &OpenClaim, Phase NewPhase, TimePoint Now,
                                       ClaimActions &Actions) {
  clearTickets(OpenClaim);
  OpenClaim.m_Phase = NewPhase;
  OpenClaim.m_SubmissionCount = 0;
  submit(OpenClaim, Now, Actions);
}

void ClaimCoordinator::handleResolutionResult(Claim &OpenClaim, const ClaimWriteResult &Result,
                                              TimePoint Now, ClaimActions &Actions) {
  if (Result.m_Status == ClaimWriteStatus::Committed) {
    OpenClaim.m_Position = OpenClaim.m_Position.next();
    completeResolution(OpenClaim, Now, Actions);
    return;
  }
  if (Result.m_Status == ClaimWriteStatus::GuardFailed) {
    // The row is still absent, and the withdrawn claim has the same guard, so it cannot be
    // committed any more.
    setEpochRow(Result.m_Current);
    finish(OpenClaim);
    return;
  }
  if (Result.m_Status != ClaimWriteStatus::Conflict) {
    if (OpenClaim.m_Tickets.back() == Result.m_Ticket)
      scheduleResubmission(OpenClaim, Now);
    return;
  }
  auto Current = ClaimRow::decode(Result.m_Current.m_Value);
  bool IsOwn = Current && Current->m_ClaimId == OpenClaim.m_Row.m_ClaimId;
  if (!IsOwn) {
    // A withdrawal has thereby succeeded: the row's version changed, so the claim cannot be
    // committed. After a `notRun` write whose result was lost, another request may have made a
    // claim. The row of any other granted claim can disappear only with its epoch.
    if (OpenClaim.m_Phase == Phase::Resolving && OpenClaim.m_Row.m_State != ClaimState::NotRun)
      GrantedClaimIsNotReplaced.check(Result.m_Current.isAbsent(), Result.m_Current.m_Key);
    finish(OpenClaim);
    return;
  }
  if (OpenClaim.m_Phase == Phase::Resolving && OpenClaim.m_Row.m_State != ClaimState::NotRun)
    GrantedClaimIsNotReplaced.check(true);
  OpenClaim.m_Position = Result.m_Current.m_Position;
  if (Current->m_State == OpenClaim.m_Row.m_State) {
    completeResolution(OpenClaim, Now, Actions);
  } else if (OpenClaim.m_SubmissionCount < MaxResolveSubmissions) {
    clearTickets(OpenClaim);
    submit(OpenClaim, Now, Actions);
  } else {
    scheduleResubmission(OpenClaim, Now);
  }
}

void ClaimCoordinator::completeResolution(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions) {
  clearTickets(OpenClaim);
  setTimer(OpenClaim, std::nullopt);
  if (OpenClaim.m_NextOutcome) {
    OpenClaim.m_Row.m_State = OpenClaim.m_NextOutcome->first;
    OpenClaim.m_Row.m_Answer = std::move(OpenClaim.m_NextOutcome->second);
    OpenClaim.m_NextOutcome.reset();
    startResolution(OpenClaim, Phase::Resolving, Now, Actions);
    return;
  }
  if (OpenClaim.m_Row.m_State != ClaimState::Unknown) {
    finish(OpenClaim);
    return;
  }
  OpenClaim.m_Phase = Phase::Unresolved;
  if (isHolder(OpenClaim))
    m_Holders.erase(rowKey(OpenClaim));
  m_Unresolved.push_back(OpenClaim.m_Request.m_Request);
  while (m_Unresolved.size() > MaxUnresolved) {
    auto Oldest = m_Claims.find(m_Unresolved.front());
    if (Oldest != m_Claims.end() && Oldest->second.m_Phase == Phase::Unresolved)
      finish(Oldest->second);
    m_Unresolved.pop_front();
  }
}

void ClaimCoordinator::scheduleResubmission(Claim &OpenClaim, TimePoint Now) {
  if (OpenClaim.m_SubmissionCount >= MaxResolveSubmissions) {
    ++m_Counters.m_LeftUnresolved;
    finish(OpenClaim);
    return;
  }
  Duration Backoff = ResolveBackoff * (1 << std::min(OpenClaim.m_SubmissionCount - 1, 10));
  setTimer(OpenClaim, Now + std::min(Backoff, MaxResolveBackoff), true);
}

void ClaimCoordinator::handleTimer(Claim &OpenClaim, TimePoint Now, ClaimActions &Actions) {
  if (OpenClaim.m_Phase == Phase::Waiting) {
    decide(OpenClaim, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (!OpenClaim.m_IsWaitingToSubmit) {
    ++m_Counters.m_BatcherTimeouts;
    m_AvoidedUntil[OpenClaim.m_Batcher] = Now + BatcherAvoidPeriod;
  }
  if (OpenClaim.m_Phase == Phase::Claiming) {
    if (OpenClaim.m_SubmissionCount < MaxSubmissions)
      submit(OpenClaim, Now, Actions);
    else
      withdraw(OpenClaim, Now, Actions);
  } else if (OpenClaim.m_IsWaitingToSubmit) {
    submit(OpenClaim, Now, Actions);
  } else {
    scheduleResubmission(OpenClaim, Now);
  }
}

ClaimActions ClaimCoordinator::onTimer(TimePoint Now) {
  ClaimActions Actions;
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    auto [TimerAt, Request] = *m_Timers.begin();
    m_Timers.erase(m_Timers.begin());
    auto Found = m_Claims.find(Request);
    if (Found == m_Claims.end() || Found->second.m_TimerAt != TimerAt)
      continue;
    Found->second.m_TimerAt.reset();
    handleTimer(Found->second, Now, Actions);
  }
  removeFinished();
  readNextRow(Now, Actions);
  return Actions;
}

void ClaimCoordinator::readNextRow(TimePoint Now, ClaimActions &Actions) {
  if (m_Waiters.empty()) {
    m_NextReadAt.reset();
    return;
  }
  if (!m_NextReadAt || Now < *m_NextReadAt)
    return;
  m_NextReadAt = Now + ReadInterval;
  // No read is needed for a request that waits for another one of this entry.
  for (std::size_t I = 0; I < m_Waiters.size(); ++I) {
    m_Waiters.push_back(std::move(m_Waiters.front()));
    m_Waiters.pop_front();
    if (!m_Holders.contains(m_Waiters.back().first)) {
      Actions.push_back(ReadTableRow{m_Waiters.back().first});
      return;
    }
  }
}

std::optional<TimePoint> ClaimCoordinator::nextTimer() const {
  std::optional<TimePoint> Earliest;
  if (!m_Timers.empty())
    Earliest = m_Timers.begin()->first;
  if (m_NextReadAt)
    Earliest = Earliest ? std::min(*Earliest, *m_NextReadAt) : *m_NextReadAt;
  return Earliest;
}

std::size_t ClaimCoordinator::unfinishedCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Claims.begin(), m_Claims.end(), [](const auto &OpenClaim) {
        return OpenClaim.second.m_Phase != Phase::Unresolved;
      }));
}

void ClaimCoordinator::finish(Claim &OpenClaim) {
  if (OpenClaim.m_Phase == Phase::Finished)
    return;
  if (OpenClaim.m_Phase == Phase::Waiting)
    std::erase_if(m_Waiters, [&](const auto &Waiter) {
      return Waiter.second == OpenClaim.m_Request.m_Request;
    });
  if (isHolder(OpenClaim))
    m_Holders.erase(rowKey(OpenClaim));
  clearTickets(OpenClaim);
  setTimer(OpenClaim, std::nullopt);
  OpenClaim.m_Phase = Phase::Finished;
  m_Finished.push_back(OpenClaim.m_Request.m_Request);
}

void ClaimCoordinator::clearTickets(Claim &OpenClaim) {
  for (const ClaimTicket &Ticket : OpenClaim.m_Tickets)
    m_Tickets.erase(Ticket);
  OpenClaim.m_Tickets.clear();
}

void ClaimCoordinator::setTimer(Claim &OpenClaim, std::optional<TimePoint> TimerAt,
                                bool IsWaitingToSubmit) {
  if (OpenClaim.m_TimerAt) {
    auto [First, Last] = m_Timers.equal_range(*OpenClaim.m_TimerAt);
    auto Found = std::find_if(First, Last, [&](const auto &Timer) {
      return Timer.second == OpenClaim.m_Request.m_Request;
    });
    if (Found != Last)
      m_Timers.erase(Found);
  }
  OpenClaim.m_TimerAt = TimerAt;
  OpenClaim.m_IsWaitingToSubmit = IsWaitingToSubmit;
  if (TimerAt)
    m_Timers.emplace(*TimerAt, OpenClaim.m_Request.m_Request);
}

void ClaimCoordinator::removeFinished() {
  for (const RequestId &Request : m_Finished)
    m_Claims.erase(Request);
  m_Finished.clear();
}

} // namespace fescuegauge
