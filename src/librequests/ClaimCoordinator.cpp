#include "Fescuegauge/ClaimCoordinator.h"

#include "Fescuegauge/Invariant.h"
#include "Fescuegauge/Rendezvous.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant GrantedClaimStays("claims.granted_claim_is_not_replaced");
Invariant GrantIsOwnClaim("claims.grant_is_for_own_claim");

} // namespace

std::string ClaimCoordinator::rowKey(const Claim &Entry) {
  return claimRowKey(Entry.m_Request.m_Account, Entry.m_Request.m_Key);
}

void ClaimCoordinator::setEntries(std::vector<InstanceId> Entries) {
  m_Ranked = rendezvousRank("claim-batchers", Entries, Entries.size());
  std::erase_if(m_AvoidedUntil, [&](const auto &Avoided) {
    return std::find(m_Ranked.begin(), m_Ranked.end(), Avoided.first) == m_Ranked.end();
  });
}

void ClaimCoordinator::setEpochRow(const TableRow &Row) {
  // Reads may be stale; a row version never decreases.
  if (m_EpochVersion && Row.m_Version < *m_EpochVersion)
    return;
  auto Oldest =
      Row.m_Version == RowVersion() ? std::optional(ClaimEpoch()) : decodeClaimEpoch(Row.m_Value);
  if (!Oldest)
    return;
  m_EpochVersion = Row.m_Version;
  m_OldestEpoch = std::max(m_OldestEpoch, *Oldest);
}

std::vector<InstanceId> ClaimCoordinator::batchersFor(const IdempotencyKey &Key,
                                                      TimePoint Now) const {
  std::vector<InstanceId> Order;
  std::vector<InstanceId> Avoided;
  for (const InstanceId &Entry : m_Ranked) {
    auto Found = m_AvoidedUntil.find(Entry);
    bool Avoid = Found != m_AvoidedUntil.end() && Now < Found->second;
    (Avoid ? Avoided : Order).push_back(Entry);
  }
  auto Active = static_cast<std::ptrdiff_t>(std::min<std::size_t>(ActiveBatchers, Order.size()));
  std::sort(
      Order.begin(), Order.begin() + Active, [&](const InstanceId &Left, const InstanceId &Right) {
        return rendezvousWeight(Key.str(), Left.str()) > rendezvousWeight(Key.str(), Right.str());
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
  if (!m_EpochVersion)
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
  Claim &Entry = Position->second;
  Entry.m_Request = Request;
  if (auto Holder = m_Holders.find(rowKey(Entry)); Holder != m_Holders.end())
    joinHolder(Entry, m_Claims.at(Holder->second), Now, Actions);
  else
    startClaim(Entry, RowVersion(), Now, Actions);
  removeFinished();
  return Actions;
}

void ClaimCoordinator::joinHolder(Claim &Entry, const Claim &Holder, TimePoint Now,
                                  ClaimActions &Actions) {
  ++m_Counters.m_Repeats;
  if (Holder.m_Request.m_BodyDigest != Entry.m_Request.m_BodyDigest ||
      Holder.m_Request.m_Service != Entry.m_Request.m_Service) {
    decide(Entry, ClaimVerdict::Refused, ErrorKind::KeyReusedWithOtherBody, Actions);
    return;
  }
  if (Holder.m_Phase == Phase::Withdrawing ||
      (Holder.m_Phase == Phase::Resolving && Holder.m_Row.m_State == ClaimState::NotRun))
    decide(Entry, ClaimVerdict::NotRun, ErrorKind::TableUnreachable, Actions);
  else if (Holder.m_Phase == Phase::Resolving && Holder.m_Row.m_State == ClaimState::Done)
    decide(Entry, ClaimVerdict::Recorded, ErrorKind::OutcomeUnknown, Actions,
           Holder.m_Row.m_Answer);
  else if (Holder.m_Phase == Phase::Resolving)
    decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
  else
    wait(Entry, Now, Actions);
}

void ClaimCoordinator::startClaim(Claim &Entry, RowVersion Version, TimePoint Now,
                                  ClaimActions &Actions) {
  forgetTickets(Entry);
  // The key's epoch is compared with the very version of the epoch row that guards the claim.
  if (*keyEpoch(Entry.m_Request.m_Key) < m_OldestEpoch) {
    decide(Entry, ClaimVerdict::Refused, ErrorKind::KeyExpired, Actions);
    return;
  }
  Entry.m_EpochVersion = *m_EpochVersion;
  if (Entry.m_Attempts >= MaxAttempts) {
    decide(Entry, ClaimVerdict::NotRun, ErrorKind::Overloaded, Actions);
    return;
  }
  ++Entry.m_Attempts;
  Entry.m_Phase = Phase::Claiming;
  Entry.m_Tries = 0;
  Entry.m_Version = Version;
  Entry.m_Row.m_ClaimId = ClaimId(m_Options.m_ProcessId + ".c" + std::to_string(m_NextClaim++));
  Entry.m_Row.m_Entry = m_Options.m_Self;
  Entry.m_Row.m_BodyDigest = Entry.m_Request.m_BodyDigest;
  Entry.m_Row.m_Service = Entry.m_Request.m_Service;
  Entry.m_Row.m_Generation = Entry.m_Request.m_Owner.m_Generation;
  Entry.m_Row.m_State = ClaimState::Claimed;
  m_Holders.try_emplace(rowKey(Entry), Entry.m_Request.m_Request);
  submit(Entry, Now, Actions);
}

void ClaimCoordinator::submit(Claim &Entry, TimePoint Now, ClaimActions &Actions) {
  ++Entry.m_Tries;
  ClaimTicket Ticket(m_Options.m_ProcessId + ".t" + std::to_string(m_NextTicket++));
  ClaimWrite Write;
  Write.m_Ticket = Ticket;
  Write.m_Row = {rowKey(Entry), Entry.m_Version};
  Write.m_Value = Entry.m_Row.encode();
  // A withdrawal must not create a row in an epoch whose rows were deleted.
  bool MayCreateRow = Entry.m_Phase == Phase::Withdrawing && Entry.m_Version == RowVersion();
  if (Entry.m_Phase == Phase::Claiming || MayCreateRow)
    Write.m_Guards.push_back({std::string(ClaimEpochRowKey), Entry.m_EpochVersion});
  if (Entry.m_Phase == Phase::Claiming)
    Write.m_Guards.push_back({ownerRowKey(Entry.m_Request.m_Service, Entry.m_Request.m_Account),
                              Entry.m_Request.m_Owner.m_Version});
  Entry.m_Tickets.push_back(Ticket);
  m_Tickets.emplace(Ticket, Entry.m_Request.m_Request);
  Entry.m_Batcher = batchersFor(Entry.m_Request.m_Key, Now).front();
  setDue(Entry, Now + BatcherTimeout);
  Actions.push_back(SendClaimWrite{Entry.m_Batcher, std::move(Write)});
}

ClaimActions ClaimCoordinator::writeResult(const ClaimWriteResult &Result, TimePoint Now) {
  ClaimActions Actions;
  auto Ticket = m_Tickets.find(Result.m_Ticket);
  if (Ticket == m_Tickets.end())
    return Actions;
  Claim &Entry = m_Claims.at(Ticket->second);
  m_AvoidedUntil.erase(Entry.m_Batcher);
  if (Entry.m_Phase == Phase::Claiming)
    claimAnswered(Entry, Result, Now, Actions);
  else
    resolutionAnswered(Entry, Result, Now, Actions);
  removeFinished();
  return Actions;
}

void ClaimCoordinator::claimAnswered(Claim &Entry, const ClaimWriteResult &Result, TimePoint Now,
                                     ClaimActions &Actions) {
  bool IsLast = Entry.m_Tickets.back() == Result.m_Ticket;
  switch (Result.m_Status) {
  case ClaimWriteStatus::Committed:
    // The first version after the one that was required is this claim's: no version between them
    // can exist.
    grant(Entry, Entry.m_Version.next(), Actions);
    return;
  case ClaimWriteStatus::Conflict:
    rowFound(Entry, Result.m_Current, Now, Actions);
    return;
  case ClaimWriteStatus::GuardFailed:
    // Versions of guards only grow, so no copy of this claim can commit any more.
    if (Result.m_Current.m_Key == ClaimEpochRowKey) {
      setEpochRow(Result.m_Current);
      startClaim(Entry, Entry.m_Version, Now, Actions);
      return;
    }
    Actions.push_back(OwnerRowSeen{Result.m_Current});
    decide(Entry, ClaimVerdict::NotRun, ErrorKind::HandoverInProgress, Actions);
    return;
  case ClaimWriteStatus::NotWritten:
    if (!IsLast)
      return;
    if (Entry.m_Tickets.size() == 1)
      decide(Entry, ClaimVerdict::NotRun, Result.m_Reason, Actions);
    else
      giveUp(Entry, Now, Actions);
    return;
  case ClaimWriteStatus::Unknown:
    if (!IsLast)
      return;
    if (Entry.m_Tries < MaxSubmissions)
      submit(Entry, Now, Actions);
    else
      giveUp(Entry, Now, Actions);
    return;
  }
}

void ClaimCoordinator::grant(Claim &Entry, RowVersion Version, ClaimActions &Actions) {
  forgetTickets(Entry);
  setDue(Entry, std::nullopt);
  Entry.m_Phase = Phase::Granted;
  Entry.m_Version = Version;
  ++m_Counters.m_Granted;
  ClaimDecision Decision;
  Decision.m_Request = Entry.m_Request.m_Request;
  Decision.m_Verdict = ClaimVerdict::Granted;
  Decision.m_Claim = Entry.m_Row.m_ClaimId;
  Decision.m_Generation = Entry.m_Row.m_Generation;
  Actions.push_back(std::move(Decision));
}

void ClaimCoordinator::rowFound(Claim &Entry, const TableRow &Row, TimePoint Now,
                                ClaimActions &Actions) {
  if (Row.m_Version == RowVersion()) {
    // The row that was to be replaced is gone: its epoch expired, which the next try will be told.
    startClaim(Entry, RowVersion(), Now, Actions);
    return;
  }
  auto Found = ClaimRow::decode(Row.m_Value);
  if (!Found) {
    decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (Entry.m_Phase == Phase::Claiming && Found->m_ClaimId == Entry.m_Row.m_ClaimId) {
    if (GrantIsOwnClaim.check(*Found == Entry.m_Row, Row.m_Key))
      grant(Entry, Row.m_Version, Actions);
    else
      decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (Entry.m_Phase == Phase::Claiming)
    ++m_Counters.m_Repeats;
  if (Found->m_State != ClaimState::NotRun &&
      (Found->m_BodyDigest != Entry.m_Request.m_BodyDigest ||
       Found->m_Service != Entry.m_Request.m_Service)) {
    decide(Entry, ClaimVerdict::Refused, ErrorKind::KeyReusedWithOtherBody, Actions);
    return;
  }
  switch (Found->m_State) {
  case ClaimState::Done:
    decide(Entry, ClaimVerdict::Recorded, ErrorKind::OutcomeUnknown, Actions, Found->m_Answer);
    return;
  case ClaimState::Unknown:
    decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  case ClaimState::NotRun:
    if (Entry.m_Phase != Phase::Claiming && m_Holders.contains(rowKey(Entry)))
      return;
    std::erase_if(m_Waiters,
                  [&](const auto &Waiter) { return Waiter.second == Entry.m_Request.m_Request; });
    startClaim(Entry, Row.m_Version, Now, Actions);
    return;
  case ClaimState::Claimed: {
    // A claim of this entry without a holder in memory was left behind, by an earlier process or
    // after MaxResolveTries; a claim of an entry that is gone will not be resolved either.
    auto Holder = m_Holders.find(rowKey(Entry));
    bool HeldHere = Holder != m_Holders.end() && Holder->second != Entry.m_Request.m_Request;
    bool Alive = Found->m_Entry == m_Options.m_Self
                     ? HeldHere
                     : !m_Options.m_IsEntryAlive || m_Options.m_IsEntryAlive(Found->m_Entry);
    if (!Alive)
      decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    else if (Entry.m_Phase == Phase::Claiming)
      wait(Entry, Now, Actions);
    return;
  }
  }
}

void ClaimCoordinator::wait(Claim &Entry, TimePoint Now, ClaimActions &Actions) {
  forgetTickets(Entry);
  if (isHolder(Entry))
    m_Holders.erase(rowKey(Entry));
  if (m_Waiters.size() >= MaxWaiters) {
    decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  Entry.m_Phase = Phase::Waiting;
  m_Waiters.emplace_back(rowKey(Entry), Entry.m_Request.m_Request);
  if (!m_NextRead)
    m_NextRead = Now + ReadInterval;
  setDue(Entry, std::min(Entry.m_Request.m_GiveUpAt, Now + MaxWait));
}

ClaimActions ClaimCoordinator::rowRead(const std::string &Key, const std::optional<TableRow> &Row,
                                       TimePoint Now) {
  ClaimActions Actions;
  // An absent row is a stale read here: claim rows are deleted only with their epoch.
  if (!Row || Row->m_Version == RowVersion())
    return Actions;
  std::vector<RequestId> Requests;
  for (const auto &[WaitKey, Request] : m_Waiters)
    if (WaitKey == Key)
      Requests.push_back(Request);
  for (const RequestId &Request : Requests) {
    Claim &Entry = m_Claims.at(Request);
    if (Entry.m_Phase == Phase::Waiting)
      rowFound(Entry, *Row, Now, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::decide(Claim &Entry, ClaimVerdict Verdict, ErrorKind Error,
                              ClaimActions &Actions, const std::optional<RecordedAnswer> &Answer) {
  // A body that was too large to record cannot be repeated to the caller.
  if (Verdict == ClaimVerdict::Recorded && (!Answer || Answer->m_BodyOmitted)) {
    Verdict = ClaimVerdict::Unknown;
    Error = ErrorKind::OutcomeUnknown;
  }
  ClaimDecision Decision;
  Decision.m_Request = Entry.m_Request.m_Request;
  Decision.m_Verdict = Verdict;
  Decision.m_Error = Error;
  Decision.m_Answer = Answer;
  Actions.push_back(std::move(Decision));
  bool WasHolder = isHolder(Entry);
  finish(Entry);
  if (WasHolder)
    endWaits(rowKey(Entry), Verdict, Error, Answer, Actions);
}

void ClaimCoordinator::endWaits(const std::string &Key, ClaimVerdict Verdict, ErrorKind Error,
                                const std::optional<RecordedAnswer> &Answer,
                                ClaimActions &Actions) {
  std::vector<RequestId> Requests;
  for (const auto &[WaitKey, Request] : m_Waiters)
    if (WaitKey == Key)
      Requests.push_back(Request);
  for (const RequestId &Request : Requests)
    decide(m_Claims.at(Request), Verdict, Error, Actions, Answer);
}

bool ClaimCoordinator::isHolder(const Claim &Entry) const {
  auto Holder = m_Holders.find(rowKey(Entry));
  return Holder != m_Holders.end() && Holder->second == Entry.m_Request.m_Request;
}

ClaimActions ClaimCoordinator::abandon(const RequestId &Request, TimePoint Now) {
  ClaimActions Actions;
  auto Found = m_Claims.find(Request);
  if (Found == m_Claims.end())
    return Actions;
  Claim &Entry = Found->second;
  if (Entry.m_Phase == Phase::Waiting) {
    finish(Entry);
  } else if (Entry.m_Phase == Phase::Claiming || Entry.m_Phase == Phase::Granted) {
    endWaits(rowKey(Entry), ClaimVerdict::NotRun, ErrorKind::Overloaded, {}, Actions);
    Entry.m_Row.m_State = ClaimState::NotRun;
    startResolution(Entry, Entry.m_Phase == Phase::Claiming ? Phase::Withdrawing : Phase::Resolving,
                    Now, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::giveUp(Claim &Entry, TimePoint Now, ClaimActions &Actions) {
  ClaimDecision Decision;
  Decision.m_Request = Entry.m_Request.m_Request;
  Decision.m_Verdict = ClaimVerdict::NotRun;
  Decision.m_Error = ErrorKind::TableUnreachable;
  Actions.push_back(std::move(Decision));
  endWaits(rowKey(Entry), ClaimVerdict::NotRun, ErrorKind::TableUnreachable, {}, Actions);
  Entry.m_Row.m_State = ClaimState::NotRun;
  startResolution(Entry, Phase::Withdrawing, Now, Actions);
}

ClaimActions ClaimCoordinator::resolve(const RequestId &Request, ClaimState Outcome,
                                       std::optional<RecordedAnswer> Answer, TimePoint Now) {
  ClaimActions Actions;
  auto Found = m_Claims.find(Request);
  if (Found == m_Claims.end() || Outcome == ClaimState::Claimed)
    return Actions;
  Claim &Entry = Found->second;
  if (Answer && Answer->m_Body.size() > RecordedAnswer::MaxBodyBytes) {
    Answer->m_Body.clear();
    Answer->m_BodyOmitted = true;
  }
  if (Outcome != ClaimState::Done)
    Answer.reset();
  if (Entry.m_Phase == Phase::Resolving) {
    if (Entry.m_Row.m_State == ClaimState::Unknown)
      Entry.m_Next = {Outcome, std::move(Answer)};
  } else if (Entry.m_Phase == Phase::Granted || Entry.m_Phase == Phase::Settled) {
    bool WasHolder = isHolder(Entry);
    Entry.m_Row.m_State = Outcome;
    Entry.m_Row.m_Answer = std::move(Answer);
    startResolution(Entry, Phase::Resolving, Now, Actions);
    ClaimVerdict Verdict = Outcome == ClaimState::Done     ? ClaimVerdict::Recorded
                           : Outcome == ClaimState::NotRun ? ClaimVerdict::NotRun
                                                           : ClaimVerdict::Unknown;
    if (WasHolder)
      endWaits(rowKey(Entry), Verdict,
               Outcome == ClaimState::NotRun ? ErrorKind::Overloaded : ErrorKind::OutcomeUnknown,
               Entry.m_Row.m_Answer, Actions);
  }
  removeFinished();
  return Actions;
}

void ClaimCoordinator::startResolution(Claim &Entry, Phase As, TimePoint Now,
                                       ClaimActions &Actions) {
  forgetTickets(Entry);
  Entry.m_Phase = As;
  Entry.m_Tries = 0;
  submit(Entry, Now, Actions);
}

void ClaimCoordinator::resolutionAnswered(Claim &Entry, const ClaimWriteResult &Result,
                                          TimePoint Now, ClaimActions &Actions) {
  if (Result.m_Status == ClaimWriteStatus::Committed) {
    Entry.m_Version = Entry.m_Version.next();
    resolutionWritten(Entry, Now, Actions);
    return;
  }
  if (Result.m_Status == ClaimWriteStatus::GuardFailed) {
    // The row is still absent, and the claim that is withdrawn had the same guard, so it cannot
    // commit any more.
    setEpochRow(Result.m_Current);
    finish(Entry);
    return;
  }
  if (Result.m_Status != ClaimWriteStatus::Conflict) {
    if (Entry.m_Tickets.back() == Result.m_Ticket)
      retryLater(Entry, Now);
    return;
  }
  auto Current = ClaimRow::decode(Result.m_Current.m_Value);
  bool IsOwn = Current && Current->m_ClaimId == Entry.m_Row.m_ClaimId;
  if (!IsOwn) {
    // For a withdrawal this is the goal: the row has moved on, so the claim cannot commit. After a
    // `notRun` whose answer was lost, another request may have claimed. Any other granted claim's
    // row can only be gone with its epoch.
    if (Entry.m_Phase == Phase::Resolving && Entry.m_Row.m_State != ClaimState::NotRun)
      GrantedClaimStays.check(Result.m_Current.m_Version == RowVersion(), Result.m_Current.m_Key);
    finish(Entry);
    return;
  }
  if (Entry.m_Phase == Phase::Resolving && Entry.m_Row.m_State != ClaimState::NotRun)
    GrantedClaimStays.check(true);
  Entry.m_Version = Result.m_Current.m_Version;
  if (Current->m_State == Entry.m_Row.m_State) {
    resolutionWritten(Entry, Now, Actions);
  } else if (Entry.m_Tries < MaxResolveTries) {
    forgetTickets(Entry);
    submit(Entry, Now, Actions);
  } else {
    retryLater(Entry, Now);
  }
}

void ClaimCoordinator::resolutionWritten(Claim &Entry, TimePoint Now, ClaimActions &Actions) {
  forgetTickets(Entry);
  setDue(Entry, std::nullopt);
  if (Entry.m_Next) {
    Entry.m_Row.m_State = Entry.m_Next->first;
    Entry.m_Row.m_Answer = std::move(Entry.m_Next->second);
    Entry.m_Next.reset();
    startResolution(Entry, Phase::Resolving, Now, Actions);
    return;
  }
  if (Entry.m_Row.m_State != ClaimState::Unknown) {
    finish(Entry);
    return;
  }
  Entry.m_Phase = Phase::Settled;
  if (isHolder(Entry))
    m_Holders.erase(rowKey(Entry));
  m_Settled.push_back(Entry.m_Request.m_Request);
  while (m_Settled.size() > MaxUnresolved) {
    auto Oldest = m_Claims.find(m_Settled.front());
    if (Oldest != m_Claims.end() && Oldest->second.m_Phase == Phase::Settled)
      finish(Oldest->second);
    m_Settled.pop_front();
  }
}

void ClaimCoordinator::retryLater(Claim &Entry, TimePoint Now) {
  if (Entry.m_Tries >= MaxResolveTries) {
    ++m_Counters.m_LeftUnresolved;
    finish(Entry);
    return;
  }
  Duration Backoff = ResolveBackoff * (1 << std::min(Entry.m_Tries - 1, 10));
  setDue(Entry, Now + std::min(Backoff, MaxResolveBackoff), true);
}

void ClaimCoordinator::timedOut(Claim &Entry, TimePoint Now, ClaimActions &Actions) {
  if (Entry.m_Phase == Phase::Waiting) {
    decide(Entry, ClaimVerdict::Unknown, ErrorKind::OutcomeUnknown, Actions);
    return;
  }
  if (!Entry.m_Idle) {
    ++m_Counters.m_BatcherTimeouts;
    m_AvoidedUntil[Entry.m_Batcher] = Now + BatcherAvoidance;
  }
  if (Entry.m_Phase == Phase::Claiming) {
    if (Entry.m_Tries < MaxSubmissions)
      submit(Entry, Now, Actions);
    else
      giveUp(Entry, Now, Actions);
  } else if (Entry.m_Idle) {
    submit(Entry, Now, Actions);
  } else {
    retryLater(Entry, Now);
  }
}

ClaimActions ClaimCoordinator::onTimer(TimePoint Now) {
  ClaimActions Actions;
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    auto [Due, Request] = *m_Timers.begin();
    m_Timers.erase(m_Timers.begin());
    auto Found = m_Claims.find(Request);
    if (Found == m_Claims.end() || Found->second.m_Due != Due)
      continue;
    Found->second.m_Due.reset();
    timedOut(Found->second, Now, Actions);
  }
  removeFinished();
  readNextRow(Now, Actions);
  return Actions;
}

void ClaimCoordinator::readNextRow(TimePoint Now, ClaimActions &Actions) {
  if (m_Waiters.empty()) {
    m_NextRead.reset();
    return;
  }
  if (!m_NextRead || Now < *m_NextRead)
    return;
  m_NextRead = Now + ReadInterval;
  // A request that waits for another of this entry is told by it.
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
  std::optional<TimePoint> Due;
  if (!m_Timers.empty())
    Due = m_Timers.begin()->first;
  if (m_NextRead)
    Due = Due ? std::min(*Due, *m_NextRead) : *m_NextRead;
  return Due;
}

std::size_t ClaimCoordinator::unfinishedCount() const {
  return static_cast<std::size_t>(
      std::count_if(m_Claims.begin(), m_Claims.end(),
                    [](const auto &Entry) { return Entry.second.m_Phase != Phase::Settled; }));
}

void ClaimCoordinator::finish(Claim &Entry) {
  if (Entry.m_Phase == Phase::Finished)
    return;
  if (Entry.m_Phase == Phase::Waiting)
    std::erase_if(m_Waiters,
                  [&](const auto &Waiter) { return Waiter.second == Entry.m_Request.m_Request; });
  if (isHolder(Entry))
    m_Holders.erase(rowKey(Entry));
  forgetTickets(Entry);
  setDue(Entry, std::nullopt);
  Entry.m_Phase = Phase::Finished;
  m_Finished.push_back(Entry.m_Request.m_Request);
}

void ClaimCoordinator::forgetTickets(Claim &Entry) {
  for (const ClaimTicket &Ticket : Entry.m_Tickets)
    m_Tickets.erase(Ticket);
  Entry.m_Tickets.clear();
}

void ClaimCoordinator::setDue(Claim &Entry, std::optional<TimePoint> Due, bool Idle) {
  if (Entry.m_Due) {
    auto [First, Last] = m_Timers.equal_range(*Entry.m_Due);
    auto Found = std::find_if(
        First, Last, [&](const auto &Timer) { return Timer.second == Entry.m_Request.m_Request; });
    if (Found != Last)
      m_Timers.erase(Found);
  }
  Entry.m_Due = Due;
  Entry.m_Idle = Idle;
  if (Due)
    m_Timers.emplace(*Due, Entry.m_Request.m_Request);
}

void ClaimCoordinator::removeFinished() {
  for (const RequestId &Request : m_Finished)
    m_Claims.erase(Request);
  m_Finished.clear();
}

} // namespace fescuegauge
