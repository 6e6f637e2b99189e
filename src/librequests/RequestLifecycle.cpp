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
/// Retry-after delays are extended by a random part of up to this multiple of their minimum, so
/// that callers that were refused at the same time do not retry at the same time.
constexpr double RetryAfterSpread = 1.5;

/// Returns a reason that is consistent with the outcome "not run": the error's description must not
/// say that the request may have run.
ErrorKind notRunReason(ErrorKind Reason) {
  return errorAnswer(Reason).m_WasRun == WasRun::No ? Reason : ErrorKind::NoUpstream;
}

/// The last prefix block contains the end of the prompt, which is seldom shared.
SuspectRequest suspectRequest(const RequestDescription &Request) {
  std::vector<std::string> Parts;
  for (const std::uint64_t Block : Request.m_PrefixBlocks)
    Parts.push_back(std::to_string(Block));
  if (!Parts.empty())
    Parts.pop_back();
  return makeSuspectRequest(Request.m_Account, Request.m_BodyDigest, Parts);
}

} // namespace

RequestLifecycle::RequestLifecycle(Options Settings, UpstreamSelector &Selector,
                                   RequestEnvironment &Environment, CrashSuspects &Suspects,
                                   RandomGenerator Random)
    : m_Options(std::move(Settings)), m_Selector(Selector), m_Environment(Environment),
      m_Suspects(Suspects), m_Random(Random),
      m_Claims({m_Options.m_Self, m_Options.m_Source.str(), m_Options.m_IsEntryAlive}) {}

RequestActions RequestLifecycle::arrive(const RequestDescription &Request,
                                        const RequestConstraints &Constraints, TimePoint Now) {
  RequestActions Actions;
  bool IsFull = m_Requests.size() >= MaxRequests;
  auto [Position, Inserted] = m_Requests.try_emplace(Request.m_Id);
  if (!Inserted)
    return Actions;
  ActiveRequest &Active = Position->second;
  Active.m_Request = Request;
  Active.m_Constraints = Constraints;
  Active.m_Suspect = suspectRequest(Request);
  ++m_OpenCount;
  TimePoint ExpiresAt =
      std::min(Constraints.m_Deadline, Constraints.m_StaleAt.value_or(TimePoint::max()));
  if (IsFull) {
    finish(Active, RequestOutcome::NotRun, ErrorKind::Overloaded, Actions);
  } else if (m_Suspects.isQuarantined(Active.m_Suspect, Now)) {
    finish(Active, RequestOutcome::Refused, ErrorKind::RequestCrashesUpstreams, Actions);
  } else if (Now >= ExpiresAt) {
    finish(Active, RequestOutcome::NotRun, ErrorKind::TargetNotAttainable, Actions);
  } else {
    setTimer(Active, ExpiresAt);
    if (Request.m_NonIdempotent) {
      Active.m_Phase = Phase::Claiming;
      appendClaimActions(
          m_Claims.claim({Request.m_Id, Request.m_Account, Request.m_Key, Request.m_BodyDigest,
                          Request.m_Service, Constraints.m_Owner, ExpiresAt},
                         Now),
          Now, Actions);
    } else if (!dispatch(Active, Now, Actions)) {
      finish(Active, RequestOutcome::NotRun, ErrorKind::NoUpstream, Actions);
    }
  }
  return flushRemovals(std::move(Actions));
}

void RequestLifecycle::appendClaimActions(ClaimActions FromClaims, TimePoint Now,
                                          RequestActions &Actions) {
  for (ClaimAction &Action : FromClaims) {
    if (auto *Decision = std::get_if<ClaimDecision>(&Action))
      handleClaimDecision(*Decision, Now, Actions);
    else if (auto *Send = std::get_if<SendClaimWrite>(&Action))
      Actions.push_back(std::move(*Send));
    else if (auto *Read = std::get_if<ReadTableRow>(&Action))
      Actions.push_back(std::move(*Read));
    else if (auto *Update = std::get_if<UpdateOwnerRow>(&Action))
      Actions.push_back(std::move(*Update));
  }
}

void RequestLifecycle::handleClaimDecision(const ClaimDecision &Decision, TimePoint Now,
                                           RequestActions &Actions) {
  auto Found = m_Requests.find(Decision.m_Request);
  if (Found == m_Requests.end() || Found->second.m_IsFinished)
    return;
  ActiveRequest &Active = Found->second;
  switch (Decision.m_Verdict) {
  case ClaimVerdict::Granted:
    Active.m_Claim = Decision.m_Claim;
    Active.m_Generation = Decision.m_Generation;
    if (m_Suspects.isQuarantined(Active.m_Suspect, Now)) {
      appendClaimActions(m_Claims.abandon(Decision.m_Request, Now), Now, Actions);
      finish(Active, RequestOutcome::Refused, ErrorKind::RequestCrashesUpstreams, Actions);
      return;
    }
    if (hasTime(Active, Now) && dispatch(Active, Now, Actions))
      return;
    appendClaimActions(m_Claims.abandon(Decision.m_Request, Now), Now, Actions);
    finish(Active, RequestOutcome::NotRun, ErrorKind::NoUpstream, Actions);
    return;
  case ClaimVerdict::Recorded:
    finish(Active, RequestOutcome::Complete, std::nullopt, Actions, Decision.m_Answer);
    return;
  case ClaimVerdict::NotRun:
    finish(Active, RequestOutcome::NotRun, Decision.m_Error, Actions);
    return;
  case ClaimVerdict::Refused:
    finish(Active, RequestOutcome::Refused, Decision.m_Error, Actions);
    return;
  case ClaimVerdict::Unknown:
    finish(Active, RequestOutcome::Unknown, Decision.m_Error, Actions);
    return;
  }
}

std::optional<InstanceId> RequestLifecycle::selectUpstream(ActiveRequest &Active, TimePoint Now) {
  UpstreamQuery Query;
  Query.m_Request = &Active.m_Request;
  Query.m_Generation = Active.m_Request.m_NonIdempotent ? std::optional(Active.m_Generation)
                                                        : Active.m_Constraints.m_Generation;
  Query.m_RequiredDigest =
      Active.m_ReceivedBytes > 0 ? Active.m_ServedDigest : Active.m_Constraints.m_RequiredDigest;
  Query.m_Excluded = Active.m_UsedUpstreams;
  if (m_Suspects.isSuspect(Active.m_Suspect, Now)) {
    // If an upstream with two suspects crashed, it would be unknown which of them caused the crash.
    for (const auto &[Id, Other] : m_Requests) {
      if (&Other == &Active || !m_Suspects.isSuspect(Other.m_Suspect, Now))
        continue;
      for (const std::optional<Attempt> &Running : {Other.m_Attempt, Other.m_SecondAttempt})
        if (Running)
          Query.m_Excluded.push_back(Running->m_Upstream);
    }
    if (auto Chosen = m_Selector.select(Query, Now))
      return Chosen;
    Query.m_Excluded = Active.m_UsedUpstreams;
  }
  return m_Selector.select(Query, Now);
}

bool RequestLifecycle::dispatch(ActiveRequest &Active, TimePoint Now, RequestActions &Actions) {
  auto Upstream = selectUpstream(Active, Now);
  if (!Upstream)
    return false;
  if (Active.m_Request.m_NonIdempotent) {
    bool IsAllowed =
        OneDispatchPerClaim.check(!Active.m_Claim.empty() && Active.m_ClaimDispatches == 0,
                                  Active.m_Claim.str()) &&
        DispatchInOwnerGeneration.check(
            m_Environment.generationOf(*Upstream) == Active.m_Generation, Active.m_Claim.str());
    if (!IsAllowed) {
      m_Selector.release(*Upstream, Active.m_Request, false, Now);
      return false;
    }
    ++Active.m_ClaimDispatches;
  }
  Active.m_Phase = Phase::Dispatched;
  Active.m_Attempt = startAttempt(Active, *Upstream, Actions);
  return true;
}

RequestLifecycle::Attempt RequestLifecycle::startAttempt(ActiveRequest &Active,
                                                         const InstanceId &Upstream,
                                                         RequestActions &Actions) {
  Attempt Next;
  Next.m_Id = AttemptNumber{m_Options.m_Source, m_NextAttempt++}.id();
  Next.m_Upstream = Upstream;
  Next.m_Agent = m_Environment.incarnationOf(Upstream);
  Next.m_StartOffset = Active.m_ReceivedBytes;
  m_Attempts.emplace(Next.m_Id, Active.m_Request.m_Id);
  DispatchAttempt Action{Next.m_Id,
                         Active.m_Request.m_Id,
                         Upstream,
                         Active.m_ReceivedBytes,
                         Active.m_ReceivedBytes > 0 ? Active.m_ServedDigest
                                                    : Active.m_Constraints.m_RequiredDigest,
                         Active.m_Suspect};
  Active.m_UsedUpstreams.push_back(Upstream);
  ++Active.m_Attempts;
  ++Active.m_PossiblyRunAttempts;
  ++m_Counters.m_Dispatches;
  Actions.push_back(std::move(Action));
  return Next;
}

void RequestLifecycle::dispatchSecond(ActiveRequest &Active, TimePoint Now,
                                      RequestActions &Actions) {
  // A copy of a request that may have crashed an upstream could crash another one.
  bool IsExcluded = Active.m_Request.m_NonIdempotent || Active.m_IsFinished ||
                    Active.m_SecondAttempt || m_Suspects.isSuspect(Active.m_Suspect, Now);
  bool CanContinue = Active.m_ReceivedBytes == 0 || Active.m_Constraints.m_Resumable;
  if (IsExcluded || !CanContinue || Active.m_Attempts >= MaxAttempts || !hasTime(Active, Now))
    return;
  auto Upstream = selectUpstream(Active, Now);
  if (!Upstream)
    return;
  if (!m_Environment.takeHedge(Active.m_Request, Now)) {
    m_Selector.release(*Upstream, Active.m_Request, false, Now);
    return;
  }
  Active.m_SecondAttempt = startAttempt(Active, *Upstream, Actions);
  ++m_Counters.m_SecondAttempts;
}

RequestLifecycle::ActiveRequest *RequestLifecycle::findAttempt(const AttemptId &Id) {
  auto Found = m_Attempts.find(Id);
  return Found == m_Attempts.end() ? nullptr : &m_Requests.at(Found->second);
}

const RequestLifecycle::Attempt &RequestLifecycle::runningAttempt(const ActiveRequest &Active,
                                                                  const AttemptId &Id) {
  return Active.m_SecondAttempt && Active.m_SecondAttempt->m_Id == Id ? *Active.m_SecondAttempt
                                                                      : *Active.m_Attempt;
}

bool RequestLifecycle::releaseOneOfTwo(ActiveRequest &Active, const AttemptId &Id,
                                       bool IsUpstreamLost, TimePoint Now) {
  if (!Active.m_SecondAttempt)
    return false;
  if (Active.m_Attempt->m_Id == Id)
    std::swap(Active.m_Attempt, Active.m_SecondAttempt);
  m_Selector.release(Active.m_SecondAttempt->m_Upstream, Active.m_Request, IsUpstreamLost, Now);
  m_Attempts.erase(Active.m_SecondAttempt->m_Id);
  Active.m_SecondAttempt.reset();
  return true;
}

void RequestLifecycle::keepOnly(ActiveRequest &Active, const AttemptId &Id, TimePoint Now,
                                RequestActions &Actions) {
  if (!Active.m_SecondAttempt)
    return;
  const Attempt Other = Active.m_Attempt->m_Id == Id ? *Active.m_SecondAttempt : *Active.m_Attempt;
  Actions.push_back(CancelAttempt{Other.m_Id, Other.m_Upstream});
  releaseOneOfTwo(Active, Other.m_Id, false, Now);
}

void RequestLifecycle::releaseAttempt(ActiveRequest &Active, bool IsUpstreamLost, TimePoint Now) {
  m_Selector.release(Active.m_Attempt->m_Upstream, Active.m_Request, IsUpstreamLost, Now);
  m_Attempts.erase(Active.m_Attempt->m_Id);
  Active.m_Attempt.reset();
}

RequestActions RequestLifecycle::fragment(const AnswerFragment &Fragment, TimePoint Now) {
  RequestActions Actions;
  ActiveRequest *Active = findAttempt(Fragment.m_Attempt);
  if (!Active) {
    ++m_Counters.m_LateFragments;
    return Actions;
  }
  if (!AnswerToOwnRequest.check(Active->m_Request.m_Id == Fragment.m_Request,
                                Fragment.m_Request.str()))
    return Actions;
  if (Fragment.m_Offset != Active->m_ReceivedBytes) {
    ++(Fragment.m_Offset < Active->m_ReceivedBytes ? m_Counters.m_DuplicateFragments
                                                   : m_Counters.m_OutOfOrderFragments);
    return Actions;
  }
  if (Fragment.m_Data.empty())
    return Actions;
  std::optional<Digest> Required =
      Active->m_ReceivedBytes > 0 ? Active->m_ServedDigest : Active->m_Constraints.m_RequiredDigest;
  if (Required && *Required != Fragment.m_ServedDigest) {
    Actions.push_back(
        CancelAttempt{Fragment.m_Attempt, runningAttempt(*Active, Fragment.m_Attempt).m_Upstream});
    handleLoss(*Active, Fragment.m_Attempt, ErrorKind::UpstreamLost, false, Now, Actions);
    return flushRemovals(std::move(Actions));
  }
  if (Active->m_ReceivedBytes == 0 && !Active->m_IsFinished && Active->m_TimerAt &&
      Now >= *Active->m_TimerAt) {
    handleTimeout(*Active, true, Now, Actions);
    if (!Active->m_Attempt)
      return flushRemovals(std::move(Actions));
  }
  if (!Active->m_ServedDigest || Active->m_ReceivedBytes == 0) {
    Active->m_ServedDigest = Fragment.m_ServedDigest;
    if (!Active->m_IsFinished && !Active->m_Expiry.hasBegun())
      setTimer(*Active, Active->m_Constraints.m_Deadline);
  }
  if (!OneVersionPerAnswer.check(Active->m_ServedDigest == Fragment.m_ServedDigest))
    return Actions;
  keepOnly(*Active, Fragment.m_Attempt, Now, Actions);
  if (Active->m_Request.m_NonIdempotent && Active->m_Body.size() <= RecordedAnswer::MaxBodyBytes)
    Active->m_Body.append(
        Fragment.m_Data.substr(0, RecordedAnswer::MaxBodyBytes + 1 - Active->m_Body.size()));
  if (!Active->m_IsFinished)
    Actions.push_back(DeliverFragment{Active->m_Request.m_Id, Fragment.m_Offset,
                                      std::string(Fragment.m_Data), Fragment.m_HttpStatus,
                                      Fragment.m_ContentType, Active->m_Attempt->m_Upstream,
                                      Fragment.m_ServedDigest});
  if (++Active->m_Attempt->m_FragmentCount == CrashSuspects::EventsToBegin)
    m_Suspects.recordBegun(Active->m_Suspect, Now);
  Active->m_ReceivedBytes += Fragment.m_Data.size();
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::attemptEnded(const AnswerEnd &End, TimePoint Now) {
  RequestActions Actions;
  ActiveRequest *Active = findAttempt(End.m_Attempt);
  if (!Active) {
    ++m_Counters.m_LateFragments;
    return Actions;
  }
  if (!AnswerToOwnRequest.check(Active->m_Request.m_Id == End.m_Request, End.m_Request.str()))
    return Actions;
  // Fragments were lost, or the end was received before them.
  if (End.m_TotalBytes != Active->m_ReceivedBytes) {
    handleLoss(*Active, End.m_Attempt, ErrorKind::UpstreamLost, false, Now, Actions);
  } else {
    keepOnly(*Active, End.m_Attempt, Now, Actions);
    complete(*Active, End, Now, Actions);
  }
  return flushRemovals(std::move(Actions));
}

void RequestLifecycle::complete(ActiveRequest &Active, const AnswerEnd &End, TimePoint Now,
                                RequestActions &Actions) {
  releaseAttempt(Active, false, Now);
  m_Suspects.recordBegun(Active.m_Suspect, Now);
  if (Active.m_Request.m_NonIdempotent) {
    RecordedAnswer Answer{End.m_HttpStatus, End.m_ContentType, Active.m_Body, false};
    appendClaimActions(
        m_Claims.resolve(Active.m_Request.m_Id, ClaimState::Done, std::move(Answer), Now), Now,
        Actions);
  }
  if (Active.m_IsFinished) {
    scheduleRemoval(Active);
    return;
  }
  finish(Active, RequestOutcome::Complete, std::nullopt, Actions);
  auto *Response = std::get_if<FinishRequest>(&Actions.back());
  if (Response) {
    Response->m_HttpStatus = End.m_HttpStatus;
    Response->m_ContentType = End.m_ContentType;
  }
}

RequestActions RequestLifecycle::attemptRefused(const AttemptStatement &Statement, ErrorKind Reason,
                                                TimePoint Now) {
  ActiveRequest *Active = findAttempt(Statement.m_Attempt);
  if (!Active)
    return attemptStatement(Statement, std::nullopt, Now);
  RequestActions Actions;
  // A refusal by a later incarnation of the agent does not show whether an earlier one ran it.
  if (Statement.isNotRun() &&
      Statement.m_Agent == runningAttempt(*Active, Statement.m_Attempt).m_Agent)
    handleNotRun(*Active, Statement.m_Attempt, Reason, Now, Actions);
  else
    handleLoss(*Active, Statement.m_Attempt, ErrorKind::UpstreamLost, false, Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::attemptNotSent(const AttemptId &Id, TimePoint Now) {
  RequestActions Actions;
  if (ActiveRequest *Active = findAttempt(Id))
    handleNotRun(*Active, Id, ErrorKind::NoUpstream, Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::attemptFailed(const AttemptId &Id, TimePoint Now) {
  RequestActions Actions;
  if (ActiveRequest *Active = findAttempt(Id))
    handleLoss(*Active, Id, ErrorKind::UpstreamLost, false, Now, Actions);
  return flushRemovals(std::move(Actions));
}

void RequestLifecycle::handleNotRun(ActiveRequest &Active, const AttemptId &Id, ErrorKind Reason,
                                    TimePoint Now, RequestActions &Actions) {
  --Active.m_PossiblyRunAttempts;
  if (releaseOneOfTwo(Active, Id, false, Now))
    return;
  releaseAttempt(Active, false, Now);
  if (!Active.m_Request.m_NonIdempotent) {
    retryOrFinish(Active, Reason, Now, Actions);
    return;
  }
  appendClaimActions(m_Claims.resolve(Active.m_Request.m_Id, ClaimState::NotRun, std::nullopt, Now),
                     Now, Actions);
  if (Active.m_IsFinished)
    scheduleRemoval(Active);
  else
    finish(Active, RequestOutcome::NotRun, notRunReason(Reason), Actions);
}

void RequestLifecycle::handleLoss(ActiveRequest &Active, const AttemptId &Id, ErrorKind Reason,
                                  bool IsUpstreamLost, TimePoint Now, RequestActions &Actions) {
  if (releaseOneOfTwo(Active, Id, IsUpstreamLost, Now))
    return;
  Attempt LostAttempt = *Active.m_Attempt;
  releaseAttempt(Active, IsUpstreamLost, Now);
  if (!Active.m_Request.m_NonIdempotent) {
    retryOrFinish(Active, Reason, Now, Actions);
    return;
  }
  appendClaimActions(
      m_Claims.resolve(Active.m_Request.m_Id, ClaimState::Unknown, std::nullopt, Now), Now,
      Actions);
  m_Unresolved.push_back({std::move(LostAttempt), Active.m_Request.m_Id});
  if (m_Unresolved.size() > MaxUnresolved)
    m_Unresolved.pop_front();
  if (Active.m_IsFinished)
    scheduleRemoval(Active);
  else
    finish(Active, RequestOutcome::Unknown, ErrorKind::OutcomeUnknown, Actions);
}

void RequestLifecycle::retryOrFinish(ActiveRequest &Active, ErrorKind Reason, TimePoint Now,
                                     RequestActions &Actions) {
  if (Active.m_IsFinished) {
    scheduleRemoval(Active);
    return;
  }
  if (m_Suspects.isQuarantined(Active.m_Suspect, Now)) {
    finish(Active, Active.m_ReceivedBytes > 0 ? RequestOutcome::Broken : RequestOutcome::Refused,
           ErrorKind::RequestCrashesUpstreams, Actions);
    return;
  }
  bool CanContinue = Active.m_ReceivedBytes == 0 || Active.m_Constraints.m_Resumable;
  if (CanContinue && Active.m_Attempts < MaxAttempts && hasTime(Active, Now) &&
      m_Environment.takeRetry(Active.m_Request, Now) && dispatch(Active, Now, Actions)) {
    ++m_Counters.m_Retries;
    if (Active.m_ReceivedBytes > 0)
      ++m_Counters.m_Resumes;
    return;
  }
  finishUnanswered(Active, Reason, Now, Actions);
}

void RequestLifecycle::finishUnanswered(ActiveRequest &Active, ErrorKind Reason, TimePoint Now,
                                        RequestActions &Actions) {
  if (Active.m_Attempt)
    cancelAttempts(Active, Now, Actions);
  if (Active.m_PossiblyRunAttempts == 0)
    finish(Active, RequestOutcome::NotRun, notRunReason(Reason), Actions);
  else
    finish(Active, RequestOutcome::Broken,
           errorAnswer(Reason).m_WasRun == WasRun::No ? ErrorKind::UpstreamLost : Reason, Actions);
}

void RequestLifecycle::cancelAttempts(ActiveRequest &Active, TimePoint Now,
                                      RequestActions &Actions) {
  keepOnly(Active, Active.m_Attempt->m_Id, Now, Actions);
  Actions.push_back(CancelAttempt{Active.m_Attempt->m_Id, Active.m_Attempt->m_Upstream});
  releaseAttempt(Active, false, Now);
}

void RequestLifecycle::finish(ActiveRequest &Active, RequestOutcome Outcome,
                              std::optional<ErrorKind> Error, RequestActions &Actions,
                              std::optional<RecordedAnswer> Recorded) {
  if (!OneFinalOutcome.check(!Active.m_IsFinished, Active.m_Request.m_Id.str()))
    return;
  if (Outcome == RequestOutcome::NotRun &&
      !NotRunIsTrue.check(Active.m_PossiblyRunAttempts == 0, Active.m_Request.m_Id.str())) {
    Outcome = Active.m_Request.m_NonIdempotent ? RequestOutcome::Unknown : RequestOutcome::Broken;
    Error = ErrorKind::OutcomeUnknown;
  }
  if (Outcome == RequestOutcome::Unknown &&
      !UnknownIsNonIdempotent.check(Active.m_Request.m_NonIdempotent, Active.m_Request.m_Id.str()))
    Outcome = RequestOutcome::Broken;
  FinishRequest Response;
  Response.m_Request = Active.m_Request.m_Id;
  Response.m_Outcome = Outcome;
  Response.m_Error = Error;
  Response.m_Recorded = std::move(Recorded);
  if (Error) {
    std::optional<Duration> MinRetryAfter = errorAnswer(*Error).m_RetryAfter;
    if (Outcome == RequestOutcome::NotRun && !MinRetryAfter)
      MinRetryAfter = DefaultRetryAfter;
    if (MinRetryAfter && Outcome != RequestOutcome::Refused)
      Response.m_RetryAfter =
          *MinRetryAfter +
          Duration(static_cast<Duration::rep>(uniformBelow(
              m_Random, static_cast<std::uint64_t>(static_cast<double>(MinRetryAfter->count()) *
                                                   RetryAfterSpread))));
  }
  Active.m_IsFinished = true;
  --m_OpenCount;
  ++m_Counters.m_Outcomes[Outcome];
  Actions.push_back(std::move(Response));
  if (!Active.m_Attempt)
    scheduleRemoval(Active);
}

RequestActions RequestLifecycle::engineCrashed(const InstanceId &Upstream,
                                               Incarnation CrashIncarnation,
                                               std::span<const SuspectRequest> Unstarted,
                                               std::span<const AttemptStatement> Ended,
                                               TimePoint Now) {
  RequestActions Actions;
  m_Suspects.recordCrash({Upstream, CrashIncarnation}, Unstarted, Now, Now);
  for (const AttemptStatement &Statement : Ended) {
    ActiveRequest *Active = findAttempt(Statement.m_Attempt);
    if (!Active)
      continue;
    if (Statement.isNotRun() &&
        Statement.m_Agent == runningAttempt(*Active, Statement.m_Attempt).m_Agent)
      handleNotRun(*Active, Statement.m_Attempt, ErrorKind::NoUpstream, Now, Actions);
    else
      handleLoss(*Active, Statement.m_Attempt, ErrorKind::UpstreamLost, true, Now, Actions);
  }
  return flushRemovals(std::move(Actions));
}

std::vector<AttemptId> RequestLifecycle::attemptsOn(const InstanceId &Upstream) const {
  std::vector<AttemptId> Found;
  for (const auto &[Id, Active] : m_Requests)
    for (const std::optional<Attempt> *Running : {&Active.m_Attempt, &Active.m_SecondAttempt})
      if (*Running && (*Running)->m_Upstream == Upstream)
        Found.push_back((*Running)->m_Id);
  std::sort(Found.begin(), Found.end());
  return Found;
}

RequestActions RequestLifecycle::upstreamSilent(const InstanceId &Upstream, TimePoint Now) {
  RequestActions Actions;
  for (const AttemptId &Id : attemptsOn(Upstream))
    if (ActiveRequest *Active = findAttempt(Id))
      dispatchSecond(*Active, Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::upstreamUnreachable(const InstanceId &Upstream, TimePoint Now) {
  RequestActions Actions;
  for (const AttemptId &Id : attemptsOn(Upstream))
    if (ActiveRequest *Active = findAttempt(Id))
      handleLoss(*Active, Id, ErrorKind::UpstreamLost, true, Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::upstreamConnected(const InstanceId &Upstream, TimePoint) {
  RequestActions Actions;
  Incarnation Agent = m_Environment.incarnationOf(Upstream);
  std::erase_if(m_Unresolved, [&](const Unresolved &Candidate) {
    return Candidate.m_Attempt.m_Upstream == Upstream && Candidate.m_Attempt.m_Agent != Agent;
  });
  for (const Unresolved &Candidate : m_Unresolved)
    if (Candidate.m_Attempt.m_Upstream == Upstream)
      Actions.push_back(QueryAttempt{Candidate.m_Attempt.m_Id, Upstream});
  return Actions;
}

RequestActions RequestLifecycle::attemptStatement(const AttemptStatement &Statement,
                                                  std::optional<RecordedAnswer> Answer,
                                                  TimePoint Now) {
  RequestActions Actions;
  auto Found =
      std::find_if(m_Unresolved.begin(), m_Unresolved.end(), [&](const Unresolved &Candidate) {
        return Candidate.m_Attempt.m_Id == Statement.m_Attempt &&
               Candidate.m_Attempt.m_Agent == Statement.m_Agent;
      });
  if (Found == m_Unresolved.end() || Statement.m_State == AttemptState::Accepted ||
      Statement.m_State == AttemptState::Started)
    return Actions;
  RequestId Request = Found->m_Request;
  m_Unresolved.erase(Found);
  if (Statement.isNotRun()) {
    ++m_Counters.m_ResolvedLater;
    appendClaimActions(m_Claims.resolve(Request, ClaimState::NotRun, std::nullopt, Now), Now,
                       Actions);
  } else if (Statement.m_State == AttemptState::Completed && Answer) {
    ++m_Counters.m_ResolvedLater;
    appendClaimActions(m_Claims.resolve(Request, ClaimState::Done, std::move(Answer), Now), Now,
                       Actions);
  }
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::callerDisconnected(const RequestId &Request, TimePoint Now) {
  RequestActions Actions;
  auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end() || Found->second.m_IsFinished)
    return Actions;
  ActiveRequest &Active = Found->second;
  if (Active.m_Phase == Phase::Claiming)
    appendClaimActions(m_Claims.abandon(Request, Now), Now, Actions);
  else if (!Active.m_Request.m_NonIdempotent)
    cancelAttempts(Active, Now, Actions);
  finish(Active, RequestOutcome::Abandoned, std::nullopt, Actions);
  if (Active.m_Attempt)
    awaitResult(Active, Now);
  return flushRemovals(std::move(Actions));
}

void RequestLifecycle::awaitResult(ActiveRequest &Active, TimePoint Now) {
  setTimer(Active, Now + ResultTimeout);
}

bool RequestLifecycle::isExpiring(ActiveRequest &Active, bool HasInput, TimePoint Now) {
  const RequestConstraints &Constraints = Active.m_Constraints;
  const bool IsStale =
      Active.m_ReceivedBytes == 0 && Constraints.m_StaleAt && Now >= *Constraints.m_StaleAt;
  if (IsStale || !Active.m_Attempt || Now < Constraints.m_Deadline)
    return false;
  const ArrivalWatch::Progress Received{TimePoint(), Active.m_ReceivedBytes};
  return Active.m_Expiry.check(Now, Active.m_DeadlineWatch.isArriving(Received, HasInput));
}

void RequestLifecycle::handleTimeout(ActiveRequest &Active, bool HasInput, TimePoint Now,
                                     RequestActions &Actions) {
  if (Active.m_IsFinished) {
    if (!Active.m_Attempt)
      return;
    const AttemptId Id = Active.m_Attempt->m_Id;
    Actions.push_back(CancelAttempt{Id, Active.m_Attempt->m_Upstream});
    handleLoss(Active, Id, ErrorKind::OutcomeUnknown, false, Now, Actions);
    return;
  }
  if (isExpiring(Active, HasInput, Now)) {
    setTimer(Active, Now + ArrivalWatch::CheckInterval);
    return;
  }
  if (Active.m_Phase == Phase::Claiming) {
    appendClaimActions(m_Claims.abandon(Active.m_Request.m_Id, Now), Now, Actions);
    finish(Active, RequestOutcome::NotRun, ErrorKind::TargetNotAttainable, Actions);
  } else if (Active.m_Request.m_NonIdempotent) {
    finish(Active, RequestOutcome::Unknown, ErrorKind::OutcomeUnknown, Actions);
    awaitResult(Active, Now);
  } else {
    finishUnanswered(Active, ErrorKind::DeadlineExceeded, Now, Actions);
  }
}

RequestActions RequestLifecycle::claimWriteResult(const ClaimWriteResult &Result, TimePoint Now) {
  RequestActions Actions;
  appendClaimActions(m_Claims.writeResult(Result, Now), Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::rowRead(const std::string &Key, const std::optional<TableRow> &Row,
                                         TimePoint Now) {
  RequestActions Actions;
  appendClaimActions(m_Claims.rowRead(Key, Row, Now), Now, Actions);
  return flushRemovals(std::move(Actions));
}

RequestActions RequestLifecycle::onTimer(TimePoint Now) {
  RequestActions Actions;
  // Claims must be handled first: if the wait for another request with the same key ends at the
  // same time as the request, the outcome must be Unknown rather than NotRun.
  appendClaimActions(m_Claims.onTimer(Now), Now, Actions);
  while (!m_Timers.empty() && m_Timers.begin()->first <= Now) {
    RequestId Request = m_Timers.begin()->second;
    ActiveRequest &Active = m_Requests.at(Request);
    setTimer(Active, std::nullopt);
    handleTimeout(Active, false, Now, Actions);
  }
  return flushRemovals(std::move(Actions));
}

std::optional<TimePoint> RequestLifecycle::nextTimer() const {
  std::optional<TimePoint> Earliest = m_Claims.nextTimer();
  if (!m_Timers.empty())
    Earliest = Earliest ? std::min(*Earliest, m_Timers.begin()->first) : m_Timers.begin()->first;
  return Earliest;
}

void RequestLifecycle::setTimer(ActiveRequest &Active, std::optional<TimePoint> TimerAt) {
  if (Active.m_TimerAt)
    m_Timers.erase({*Active.m_TimerAt, Active.m_Request.m_Id});
  Active.m_TimerAt = TimerAt;
  if (TimerAt)
    m_Timers.emplace(*TimerAt, Active.m_Request.m_Id);
}

void RequestLifecycle::scheduleRemoval(ActiveRequest &Active) {
  setTimer(Active, std::nullopt);
  m_PendingRemovals.push_back(Active.m_Request.m_Id);
}

RequestActions RequestLifecycle::flushRemovals(RequestActions Actions) {
  for (const RequestId &Request : m_PendingRemovals)
    m_Requests.erase(Request);
  m_PendingRemovals.clear();
  return Actions;
}

} // namespace fescuegauge
