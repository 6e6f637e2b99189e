#include "Fescuegauge/RequestLifecycle.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace fescuegauge {

namespace {

Invariant OneDispatchPerClaim("requests.one_dispatch_per_claim");
Invariant OneFinalOutcome("requests.one_final_outcome");
Invariant NotRunIsTrue("requests.not_run_is_true");
Invariant UnknownIsNonIdempotent("requests.unknown_is_non_idempotent");
Invariant AnswerToOwnRequest("requests.answer_to_own_request");
Invariant OneVersionPerAnswer("requests.one_version_per_answer");
Invariant DispatchInOwnerGeneration("requests.dispatch_in_owner_generation");

constexpr Duration DefaultRetryAfter = std::chrono::seconds(1);
/// Retry-after times are spread over this many times their least value, so that callers that were
/// refused together do not return together.
constexpr double RetryAfterSpread = 1.5;

/// A reason that may stand beside "not run": its row must not say that the request may have run.
ErrorKind notRunReason(ErrorKind Reason) {
  return errorAnswer(Reason).m_WasRun == WasRun::No ? Reason : ErrorKind::NoUpstream;
}

} // namespace

RequestLifecycle::RequestLifecycle(Options Settings, UpstreamSelector &Selector,
                                   RequestEnvironment &Environment, CrashSuspects &Suspects,
                                   RandomGenerator Random)
    : m_Options(std::move(Settings)), m_Selector(Selector), m_Environment(Environment),
      m_Suspects(Suspects), m_Random(Random),
      m_Claims({m_Options.m_Self, m_Options.m_Source.str(), m_Options.m_IsEntryAlive}) {}

RequestActions RequestLifecycle::arrive(const RequestDescription &Request,
                                        const RequestTerms &Terms, TimePoint Now) {
  RequestActions Actions;
  bool Full = m_Requests.size() >= MaxRequests;
  auto [Position, Inserted] = m_Requests.try_emplace(Request.m_Id);
  if (!Inserted)
    return Actions;
  Entry &Of = Position->second;
  Of.m_Request = Request;
  Of.m_Terms = Terms;
  ++m_Open;
  TimePoint Due = std::min(Terms.m_Deadline, Terms.m_StaleAt.value_or(TimePoint::max()));
  if (Full) {
    finish(Of, RequestOutcome::NotRun, ErrorKind::Overloaded, Actions);
  } else if (m_Suspects.isBlamed(suspectKey(Of), Now)) {
    finish(Of, RequestOutcome::Refused, ErrorKind::RequestCrashesUpstreams, Actions);
  } else if (Now >= Due) {
    finish(Of, RequestOutcome::NotRun, ErrorKind::TargetNotAttainable, Actions);
  } else {
    setDue(Of, Due);
    if (Request.m_NonIdempotent) {
      Of.m_Phase = Phase::Claiming;
      append(m_Claims.claim({Request.m_Id, Request.m_Account, Request.m_Key, Request.m_BodyDigest,
                             Request.m_Service, Terms.m_Owner, Due},
                            Now),
             Now, Actions);
    } else if (!dispatch(Of, Now, Actions)) {
      finish(Of, RequestOutcome::NotRun, ErrorKind::NoUpstream, Actions);
    }
  }
  return sweep(std::move(Actions));
}

void RequestLifecycle::append(ClaimActions From, TimePoint Now, RequestActions &Actions) {
  for (ClaimAction &Action : From) {
    if (auto *Decision = std::get_if<ClaimDecision>(&Action))
      claimDecided(*Decision, Now, Actions);
    else if (auto *Send = std::get_if<SendClaimWrite>(&Action))
      Actions.push_back(std::move(*Send));
    else if (auto *Read = std::get_if<ReadTableRow>(&Action))
      Actions.push_back(std::move(*Read));
    else if (auto *Seen = std::get_if<OwnerRowSeen>(&Action))
      Actions.push_back(std::move(*Seen));
  }
}

void RequestLifecycle::claimDecided(const ClaimDecision &Decision, TimePoint Now,
                                    RequestActions &Actions) {
  auto Found = m_Requests.find(Decision.m_Request);
  if (Found == m_Requests.end() || Found->second.m_Finished)
    return;
  Entry &Of = Found->second;
  switch (Decision.m_Verdict) {
  case ClaimVerdict::Granted:
    Of.m_Claim = Decision.m_Claim;
    Of.m_Generation = Decision.m_Generation;
    if (m_Suspects.isBlamed(suspectKey(Of), Now)) {
      append(m_Claims.abandon(Decision.m_Request, Now), Now, Actions);
      finish(Of, RequestOutcome::Refused, ErrorKind::RequestCrashesUpstreams, Actions);
      return;
    }
    if (Of.m_Due && Now < *Of.m_Due && dispatch(Of, Now, Actions))
      return;
    append(m_Claims.abandon(Decision.m_Request, Now), Now, Actions);
    finish(Of, RequestOutcome::NotRun, ErrorKind::NoUpstream, Actions);
    return;
  case ClaimVerdict::Recorded:
    finish(Of, RequestOutcome::Complete, std::nullopt, Actions, Decision.m_Answer);
    return;
  case ClaimVerdict::NotRun:
    finish(Of, RequestOutcome::NotRun, Decision.m_Error, Actions);
    return;
  case ClaimVerdict::Refused:
    finish(Of, RequestOutcome::Refused, Decision.m_Error, Actions);
    return;
  case ClaimVerdict::Unknown:
    finish(Of, RequestOutcome::Unknown, Decision.m_Error, Actions);
    return;
  }
}

std::optional<InstanceId> RequestLifecycle::choose(Entry &Of, TimePoint Now) {
  UpstreamQuery Query;
  Query.m_Request = &Of.m_Request;
  Query.m_Generation =
      Of.m_Request.m_NonIdempotent ? std::optional(Of.m_Generation) : Of.m_Terms.m_Generation;
  Query.m_RequiredDigest = Of.m_Received > 0 ? Of.m_ServedDigest : Of.m_Terms.m_RequiredDigest;
  Query.m_Excluded = Of.m_Used;
  if (m_Suspects.isSuspect(suspectKey(Of), Now)) {
    // Two suspects on one upstream could not be told apart if it is lost.
    for (const auto &[Id, Other] : m_Requests)
      if (&Other != &Of && Other.m_Attempt && m_Suspects.isSuspect(suspectKey(Other), Now))
        Query.m_Excluded.push_back(Other.m_Attempt->m_Upstream);
    if (auto Chosen = m_Selector.select(Query, Now))
      return Chosen;
    Query.m_Excluded = Of.m_Used;
  }
  return m_Selector.select(Query, Now);
}

bool RequestLifecycle::dispatch(Entry &Of, TimePoint Now, RequestActions &Actions) {
  auto Upstream = choose(Of, Now);
  if (!Upstream)
    return false;
  if (Of.m_Request.m_NonIdempotent) {
    bool Allowed = OneDispatchPerClaim.check(!Of.m_Claim.empty() && Of.m_ClaimDispatches == 0,
                                             Of.m_Claim.str()) &&
                   DispatchInOwnerGeneration.check(
                       m_Environment.generationOf(*Upstream) == Of.m_Generation, Of.m_Claim.str());
    if (!Allowed) {
      m_Selector.release(*Upstream, Of.m_Request, false, Now);
      return false;
    }
    ++Of.m_ClaimDispatches;
  }
  Attempt Next;
  Next.m_Id = AttemptNumber{m_Options.m_Source, m_NextAttempt++}.id();
  Next.m_Upstream = *Upstream;
  Next.m_Agent = m_Environment.incarnationOf(*Upstream);
  Next.m_Start = Of.m_Received;
  m_Attempts.emplace(Next.m_Id, Of.m_Request.m_Id);
  DispatchAttempt Action{Next.m_Id,
                         Of.m_Request.m_Id,
                         *Upstream,
                         Of.m_Received,
                         Of.m_Received > 0 ? Of.m_ServedDigest : Of.m_Terms.m_RequiredDigest,
                         suspectKey(Of)};
  Of.m_Phase = Phase::Dispatched;
  Of.m_Used.push_back(*Upstream);
  Of.m_Attempt = std::move(Next);
  ++Of.m_Attempts;
  ++Of.m_PossiblyRun;
  ++m_Counters.m_Dispatches;
  Actions.push_back(std::move(Action));
  return true;
}

RequestLifecycle::Entry *RequestLifecycle::findAttempt(const AttemptId &Id) {
  auto Found = m_Attempts.find(Id);
  return Found == m_Attempts.end() ? nullptr : &m_Requests.at(Found->second);
}

void RequestLifecycle::endAttempt(Entry &Of, bool Lost, TimePoint Now) {
  m_Selector.release(Of.m_Attempt->m_Upstream, Of.m_Request, Lost, Now);
  m_Attempts.erase(Of.m_Attempt->m_Id);
  Of.m_Attempt.reset();
}

RequestActions RequestLifecycle::fragment(const AnswerFragment &Fragment, TimePoint Now) {
  RequestActions Actions;
  Entry *Of = findAttempt(Fragment.m_Attempt);
  if (!Of) {
    ++m_Counters.m_LateFragments;
    return Actions;
  }
  if (!AnswerToOwnRequest.check(Of->m_Request.m_Id == Fragment.m_Request, Fragment.m_Request.str()))
    return Actions;
  if (Fragment.m_Offset != Of->m_Received) {
    ++(Fragment.m_Offset < Of->m_Received ? m_Counters.m_DuplicateFragments
                                          : m_Counters.m_OutOfOrderFragments);
    return Actions;
  }
  if (Fragment.m_Data.empty())
    return Actions;
  std::optional<Digest> Required =
      Of->m_Received > 0 ? Of->m_ServedDigest : Of->m_Terms.m_RequiredDigest;
  if (Required && *Required != Fragment.m_ServedDigest) {
    Actions.push_back(CancelAttempt{Of->m_Attempt->m_Id, Of->m_Attempt->m_Upstream});
    lostAttempt(*Of, ErrorKind::UpstreamLost, false, Now, Actions);
    return sweep(std::move(Actions));
  }
  if (Of->m_Received == 0 && !Of->m_Finished && Of->m_Due && Now >= *Of->m_Due) {
    timedOut(*Of, Now, Actions);
    if (!Of->m_Attempt)
      return sweep(std::move(Actions));
  }
  if (!Of->m_ServedDigest || Of->m_Received == 0) {
    Of->m_ServedDigest = Fragment.m_ServedDigest;
    if (!Of->m_Finished)
      setDue(*Of, Of->m_Terms.m_Deadline);
  }
  if (!OneVersionPerAnswer.check(Of->m_ServedDigest == Fragment.m_ServedDigest))
    return Actions;
  if (Of->m_Request.m_NonIdempotent && Of->m_Body.size() <= RecordedAnswer::MaxBodyBytes)
    Of->m_Body.append(
        Fragment.m_Data.substr(0, RecordedAnswer::MaxBodyBytes + 1 - Of->m_Body.size()));
  if (!Of->m_Finished)
    Actions.push_back(DeliverFragment{Of->m_Request.m_Id, Fragment.m_Offset,
                                      std::string(Fragment.m_Data), Fragment.m_HttpStatus,
                                      Fragment.m_ContentType});
  Of->m_Received += Fragment.m_Data.size();
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::attemptEnded(const AnswerEnd &End, TimePoint Now) {
  RequestActions Actions;
  Entry *Of = findAttempt(End.m_Attempt);
  if (!Of) {
    ++m_Counters.m_LateFragments;
    return Actions;
  }
  if (!AnswerToOwnRequest.check(Of->m_Request.m_Id == End.m_Request, End.m_Request.str()))
    return Actions;
  // The end overtook fragments, or some were lost.
  if (End.m_TotalBytes != Of->m_Received)
    lostAttempt(*Of, ErrorKind::UpstreamLost, false, Now, Actions);
  else
    complete(*Of, End, Now, Actions);
  return sweep(std::move(Actions));
}

void RequestLifecycle::complete(Entry &Of, const AnswerEnd &End, TimePoint Now,
                                RequestActions &Actions) {
  endAttempt(Of, false, Now);
  m_Suspects.completed(suspectKey(Of), Now);
  if (Of.m_Request.m_NonIdempotent) {
    RecordedAnswer Answer{End.m_HttpStatus, End.m_ContentType, Of.m_Body, false};
    append(m_Claims.resolve(Of.m_Request.m_Id, ClaimState::Done, std::move(Answer), Now), Now,
           Actions);
  }
  if (Of.m_Finished) {
    remove(Of);
    return;
  }
  finish(Of, RequestOutcome::Complete, std::nullopt, Actions);
  auto *Told = std::get_if<FinishRequest>(&Actions.back());
  if (Told) {
    Told->m_HttpStatus = End.m_HttpStatus;
    Told->m_ContentType = End.m_ContentType;
  }
}

RequestActions RequestLifecycle::attemptRefused(const AttemptStatement &Statement, ErrorKind Reason,
                                                TimePoint Now) {
  Entry *Of = findAttempt(Statement.m_Attempt);
  if (!Of)
    return attemptStatement(Statement, std::nullopt, Now);
  RequestActions Actions;
  // A refusal by a later process of the agent says nothing about what an earlier one ran.
  if (Statement.isNotRun() && Statement.m_Agent == Of->m_Attempt->m_Agent)
    notRunAttempt(*Of, Reason, Now, Actions);
  else
    lostAttempt(*Of, ErrorKind::UpstreamLost, false, Now, Actions);
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::attemptNotSent(const AttemptId &Id, TimePoint Now) {
  RequestActions Actions;
  if (Entry *Of = findAttempt(Id))
    notRunAttempt(*Of, ErrorKind::NoUpstream, Now, Actions);
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::attemptBroken(const AttemptId &Id, TimePoint Now) {
  RequestActions Actions;
  if (Entry *Of = findAttempt(Id))
    lostAttempt(*Of, ErrorKind::UpstreamLost, false, Now, Actions);
  return sweep(std::move(Actions));
}

void RequestLifecycle::notRunAttempt(Entry &Of, ErrorKind Reason, TimePoint Now,
                                     RequestActions &Actions) {
  endAttempt(Of, false, Now);
  --Of.m_PossiblyRun;
  if (!Of.m_Request.m_NonIdempotent) {
    retryOrFinish(Of, Reason, Now, Actions);
    return;
  }
  append(m_Claims.resolve(Of.m_Request.m_Id, ClaimState::NotRun, std::nullopt, Now), Now, Actions);
  if (Of.m_Finished)
    remove(Of);
  else
    finish(Of, RequestOutcome::NotRun, notRunReason(Reason), Actions);
}

void RequestLifecycle::lostAttempt(Entry &Of, ErrorKind Reason, bool UpstreamLost, TimePoint Now,
                                   RequestActions &Actions) {
  Attempt Lost = *Of.m_Attempt;
  endAttempt(Of, UpstreamLost, Now);
  if (!Of.m_Request.m_NonIdempotent) {
    retryOrFinish(Of, Reason, Now, Actions);
    return;
  }
  append(m_Claims.resolve(Of.m_Request.m_Id, ClaimState::Unknown, std::nullopt, Now), Now, Actions);
  m_Unresolved.push_back({std::move(Lost), Of.m_Request.m_Id});
  if (m_Unresolved.size() > MaxUnresolved)
    m_Unresolved.pop_front();
  if (Of.m_Finished)
    remove(Of);
  else
    finish(Of, RequestOutcome::Unknown, ErrorKind::OutcomeUnknown, Actions);
}

void RequestLifecycle::retryOrFinish(Entry &Of, ErrorKind Reason, TimePoint Now,
                                     RequestActions &Actions) {
  if (Of.m_Finished) {
    remove(Of);
    return;
  }
  if (m_Suspects.isBlamed(suspectKey(Of), Now)) {
    finish(Of, Of.m_Received > 0 ? RequestOutcome::Broken : RequestOutcome::Refused,
           ErrorKind::RequestCrashesUpstreams, Actions);
    return;
  }
  bool CanContinue = Of.m_Received == 0 || Of.m_Terms.m_Resumable;
  if (CanContinue && Of.m_Attempts < MaxAttempts && Of.m_Due && Now < *Of.m_Due &&
      m_Environment.takeRetry(Of.m_Request, Now) && dispatch(Of, Now, Actions)) {
    ++m_Counters.m_Retries;
    if (Of.m_Received > 0)
      ++m_Counters.m_Resumes;
    return;
  }
  finishUnanswered(Of, Reason, Now, Actions);
}

void RequestLifecycle::finishUnanswered(Entry &Of, ErrorKind Reason, TimePoint Now,
                                        RequestActions &Actions) {
  if (Of.m_Attempt)
    cancelAttempt(Of, Now, Actions);
  if (Of.m_PossiblyRun == 0)
    finish(Of, RequestOutcome::NotRun, notRunReason(Reason), Actions);
  else
    finish(Of, RequestOutcome::Broken,
           errorAnswer(Reason).m_WasRun == WasRun::No ? ErrorKind::UpstreamLost : Reason, Actions);
}

void RequestLifecycle::cancelAttempt(Entry &Of, TimePoint Now, RequestActions &Actions) {
  Actions.push_back(CancelAttempt{Of.m_Attempt->m_Id, Of.m_Attempt->m_Upstream});
  endAttempt(Of, false, Now);
}

void RequestLifecycle::finish(Entry &Of, RequestOutcome Outcome, std::optional<ErrorKind> Error,
                              RequestActions &Actions, std::optional<RecordedAnswer> Recorded) {
  if (!OneFinalOutcome.check(!Of.m_Finished, Of.m_Request.m_Id.str()))
    return;
  if (Outcome == RequestOutcome::NotRun &&
      !NotRunIsTrue.check(Of.m_PossiblyRun == 0, Of.m_Request.m_Id.str())) {
    Outcome = Of.m_Request.m_NonIdempotent ? RequestOutcome::Unknown : RequestOutcome::Broken;
    Error = ErrorKind::OutcomeUnknown;
  }
  if (Outcome == RequestOutcome::Unknown &&
      !UnknownIsNonIdempotent.check(Of.m_Request.m_NonIdempotent, Of.m_Request.m_Id.str()))
    Outcome = RequestOutcome::Broken;
  FinishRequest Told;
  Told.m_Request = Of.m_Request.m_Id;
  Told.m_Outcome = Outcome;
  Told.m_Error = Error;
  Told.m_Recorded = std::move(Recorded);
  if (Error) {
    std::optional<Duration> Least = errorAnswer(*Error).m_RetryAfter;
    if (Outcome == RequestOutcome::NotRun && !Least)
      Least = DefaultRetryAfter;
    if (Least && Outcome != RequestOutcome::Refused)
      Told.m_RetryAfter =
          *Least + Duration(static_cast<Duration::rep>(uniformBelow(
                       m_Random, static_cast<std::uint64_t>(static_cast<double>(Least->count()) *
                                                            RetryAfterSpread))));
  }
  Of.m_Finished = true;
  --m_Open;
  ++m_Counters.m_Outcomes[Outcome];
  Actions.push_back(std::move(Told));
  if (!Of.m_Attempt)
    remove(Of);
}

RequestActions RequestLifecycle::engineCrashed(const InstanceId &Upstream, Incarnation Lost,
                                               std::span<const SuspectKey> Running,
                                               std::span<const AttemptStatement> Ended,
                                               TimePoint Now) {
  RequestActions Actions;
  m_Suspects.upstreamLost(Upstream, Lost, Running, Now);
  for (const AttemptStatement &Statement : Ended) {
    Entry *Of = findAttempt(Statement.m_Attempt);
    if (!Of)
      continue;
    if (Statement.isNotRun() && Statement.m_Agent == Of->m_Attempt->m_Agent)
      notRunAttempt(*Of, ErrorKind::NoUpstream, Now, Actions);
    else
      lostAttempt(*Of, ErrorKind::UpstreamLost, true, Now, Actions);
  }
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::upstreamUnreachable(const InstanceId &Upstream, TimePoint Now) {
  RequestActions Actions;
  std::vector<AttemptId> Lost;
  for (const auto &[Id, Of] : m_Requests)
    if (Of.m_Attempt && Of.m_Attempt->m_Upstream == Upstream)
      Lost.push_back(Of.m_Attempt->m_Id);
  std::sort(Lost.begin(), Lost.end());
  for (const AttemptId &Id : Lost)
    if (Entry *Of = findAttempt(Id))
      lostAttempt(*Of, ErrorKind::UpstreamLost, true, Now, Actions);
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::upstreamConnected(const InstanceId &Upstream, TimePoint) {
  RequestActions Actions;
  Incarnation Agent = m_Environment.incarnationOf(Upstream);
  std::erase_if(m_Unresolved, [&](const Unresolved &Open) {
    return Open.m_Attempt.m_Upstream == Upstream && Open.m_Attempt.m_Agent != Agent;
  });
  for (const Unresolved &Open : m_Unresolved)
    if (Open.m_Attempt.m_Upstream == Upstream)
      Actions.push_back(AskAttempt{Open.m_Attempt.m_Id, Upstream});
  return Actions;
}

RequestActions RequestLifecycle::attemptStatement(const AttemptStatement &Statement,
                                                  std::optional<RecordedAnswer> Answer,
                                                  TimePoint Now) {
  RequestActions Actions;
  auto Found = std::find_if(m_Unresolved.begin(), m_Unresolved.end(), [&](const Unresolved &Open) {
    return Open.m_Attempt.m_Id == Statement.m_Attempt &&
           Open.m_Attempt.m_Agent == Statement.m_Agent;
  });
  if (Found == m_Unresolved.end() || Statement.m_State == AttemptState::Accepted ||
      Statement.m_State == AttemptState::Started)
    return Actions;
  RequestId Request = Found->m_Request;
  m_Unresolved.erase(Found);
  if (Statement.isNotRun()) {
    ++m_Counters.m_ResolvedLater;
    append(m_Claims.resolve(Request, ClaimState::NotRun, std::nullopt, Now), Now, Actions);
  } else if (Statement.m_State == AttemptState::Completed && Answer) {
    ++m_Counters.m_ResolvedLater;
    append(m_Claims.resolve(Request, ClaimState::Done, std::move(Answer), Now), Now, Actions);
  }
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::callerLeft(const RequestId &Request, TimePoint Now) {
  RequestActions Actions;
  auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end() || Found->second.m_Finished)
    return Actions;
  Entry &Of = Found->second;
  if (Of.m_Phase == Phase::Claiming)
    append(m_Claims.abandon(Request, Now), Now, Actions);
  else if (!Of.m_Request.m_NonIdempotent)
    cancelAttempt(Of, Now, Actions);
  finish(Of, RequestOutcome::Abandoned, std::nullopt, Actions);
  if (Of.m_Attempt)
    awaitResult(Of, Now);
  return sweep(std::move(Actions));
}

void RequestLifecycle::awaitResult(Entry &Of, TimePoint Now) { setDue(Of, Now + ResultWait); }

void RequestLifecycle::timedOut(Entry &Of, TimePoint Now, RequestActions &Actions) {
  if (Of.m_Finished) {
    if (!Of.m_Attempt)
      return;
    Actions.push_back(CancelAttempt{Of.m_Attempt->m_Id, Of.m_Attempt->m_Upstream});
    lostAttempt(Of, ErrorKind::OutcomeUnknown, false, Now, Actions);
    return;
  }
  if (Of.m_Phase == Phase::Claiming) {
    append(m_Claims.abandon(Of.m_Request.m_Id, Now), Now, Actions);
    finish(Of, RequestOutcome::NotRun, ErrorKind::TargetNotAttainable, Actions);
  } else if (Of.m_Request.m_NonIdempotent) {
    finish(Of, RequestOutcome::Unknown, ErrorKind::OutcomeUnknown, Actions);
    awaitResult(Of, Now);
  } else {
    finishUnanswered(Of, ErrorKind::DeadlineExceeded, Now, Actions);
  }
}

RequestActions RequestLifecycle::claimWriteResult(const ClaimWriteResult &Result, TimePoint Now) {
  RequestActions Actions;
  append(m_Claims.writeResult(Result, Now), Now, Actions);
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::rowRead(const std::string &Key, const std::optional<TableRow> &Row,
                                         TimePoint Now) {
  RequestActions Actions;
  append(m_Claims.rowRead(Key, Row, Now), Now, Actions);
  return sweep(std::move(Actions));
}

RequestActions RequestLifecycle::onTimer(TimePoint Now) {
  RequestActions Actions;
  // Claims first: a request that waits for another with its key must end as unknown, not as not
  // run, when both times are the same.
  append(m_Claims.onTimer(Now), Now, Actions);
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    RequestId Request = m_Timers.begin()->second;
    Entry &Of = m_Requests.at(Request);
    setDue(Of, std::nullopt);
    timedOut(Of, Now, Actions);
  }
  return sweep(std::move(Actions));
}

std::optional<TimePoint> RequestLifecycle::nextTimer() const {
  std::optional<TimePoint> Due = m_Claims.nextTimer();
  if (!m_Timers.empty())
    Due = Due ? std::min(*Due, m_Timers.begin()->first) : m_Timers.begin()->first;
  return Due;
}

void RequestLifecycle::setDue(Entry &Of, std::optional<TimePoint> Due) {
  if (Of.m_Due)
    m_Timers.erase({*Of.m_Due, Of.m_Request.m_Id});
  Of.m_Due = Due;
  if (Due)
    m_Timers.emplace(*Due, Of.m_Request.m_Id);
}

void RequestLifecycle::remove(Entry &Of) {
  setDue(Of, std::nullopt);
  m_Removed.push_back(Of.m_Request.m_Id);
}

RequestActions RequestLifecycle::sweep(RequestActions Actions) {
  for (const RequestId &Request : m_Removed)
    m_Requests.erase(Request);
  m_Removed.clear();
  return Actions;
}

} // namespace fescuegauge
