#include "Fescuegauge/AttemptLedger.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <charconv>

namespace fescuegauge {

namespace {

Invariant AttemptRunsOnce("requests.attempt_runs_once");
Invariant RefusedAttemptNeverRuns("requests.refused_attempt_never_runs");

} // namespace

AttemptId AttemptNumber::id() const {
  return AttemptId(m_Source.str() + "." + std::to_string(m_Number));
}

std::optional<AttemptNumber> AttemptNumber::parse(const AttemptId &Id) {
  const std::string &Text = Id.str();
  std::size_t Dot = Text.rfind('.');
  if (Dot == std::string::npos || Dot == 0)
    return std::nullopt;
  AttemptNumber Result;
  Result.m_Source = AttemptSourceId(Text.substr(0, Dot));
  const char *End = Text.data() + Text.size();
  auto [ParsedEnd, Error] = std::from_chars(Text.data() + Dot + 1, End, Result.m_Number);
  if (Error != std::errc() || ParsedEnd != End || Result.m_Number == 0)
    return std::nullopt;
  return Result;
}

bool AttemptLedger::openSource(const AttemptSourceId &Id, std::uint64_t NextNumber, TimePoint Now) {
  auto Found = m_Sources.find(Id);
  if (Found == m_Sources.end() && m_Sources.size() >= MaxSources) {
    auto Oldest = m_Sources.end();
    for (auto Candidate = m_Sources.begin(); Candidate != m_Sources.end(); ++Candidate)
      if (!Candidate->second.m_IsOpen &&
          (Oldest == m_Sources.end() ||
           Candidate->second.m_LastHeartbeatAt < Oldest->second.m_LastHeartbeatAt))
        Oldest = Candidate;
    if (Oldest == m_Sources.end())
      return false;
    m_Sources.erase(Oldest);
    m_HasEvictedSource = true;
  }
  Source &Opened = m_Sources[Id];
  std::uint64_t LastNumber = NextNumber == 0 ? 0 : NextNumber - 1;
  if (Found == m_Sources.end() && m_HasEvictedSource)
    Opened.m_EvictedUpTo = LastNumber;
  Opened.m_RefusedUpTo = std::max(Opened.m_RefusedUpTo, LastNumber);
  Opened.m_IsOpen = true;
  Opened.m_LastHeartbeatAt = Now;
  return true;
}

void AttemptLedger::heartbeat(const AttemptSourceId &Id, TimePoint Now) {
  auto Found = m_Sources.find(Id);
  if (Found != m_Sources.end() && Found->second.m_IsOpen)
    Found->second.m_LastHeartbeatAt = Now;
}

AttemptLedger::Lookup AttemptLedger::find(const AttemptId &Id) {
  Lookup Result;
  auto Parsed = AttemptNumber::parse(Id);
  if (!Parsed)
    return Result;
  auto Found = m_Sources.find(Parsed->m_Source);
  if (Found == m_Sources.end())
    return Result;
  Result.m_Source = &Found->second;
  Result.m_Number = Parsed->m_Number;
  auto Attempt = Found->second.m_Attempts.find(Parsed->m_Number);
  if (Attempt != Found->second.m_Attempts.end())
    Result.m_State = &Attempt->second;
  return Result;
}

AttemptLedger::Decision AttemptLedger::arrive(const AttemptId &Id, std::optional<ErrorKind> Refusal,
                                              TimePoint Now) {
  Lookup Known = find(Id);
  if (!Known.m_Source)
    return {Verdict::Refuse, ErrorKind::NotReady};
  if (Known.m_State) {
    if (*Known.m_State == AttemptState::Refused) {
      ++m_LateCopiesRefused;
      return {Verdict::Refuse, ErrorKind::NotReady};
    }
    ++m_Duplicates;
    return {Verdict::Duplicate, ErrorKind::NotReady};
  }
  if (Known.m_Number <= std::max(Known.m_Source->m_RefusedUpTo, Known.m_Source->m_EvictedUpTo)) {
    ++m_LateCopiesRefused;
    return {Verdict::Refuse, ErrorKind::NotReady};
  }
  // After a pause of this process the attempt may be handled before onTimer() closes the source.
  if (!Refusal &&
      (!Known.m_Source->m_IsOpen || Now >= Known.m_Source->m_LastHeartbeatAt + HeartbeatTimeout))
    Refusal = ErrorKind::NotReady;
  if (!Refusal && m_Running >= MaxRunning)
    Refusal = ErrorKind::Overloaded;
  if (Refusal) {
    record(*Known.m_Source, Known.m_Number, AttemptState::Refused);
    return {Verdict::Refuse, *Refusal};
  }
  ++m_Running;
  record(*Known.m_Source, Known.m_Number, AttemptState::Accepted);
  return {Verdict::Run, ErrorKind::NotReady};
}

void AttemptLedger::record(Source &Origin, std::uint64_t Number, AttemptState State) {
  Origin.m_Attempts[Number] = State;
  for (auto Attempt = Origin.m_Attempts.begin();
       Origin.m_Attempts.size() > MaxPerSource && Attempt != Origin.m_Attempts.end();) {
    if (isRunning(Attempt->second)) {
      ++Attempt;
      continue;
    }
    Origin.m_EvictedUpTo = std::max(Origin.m_EvictedUpTo, Attempt->first);
    Attempt = Origin.m_Attempts.erase(Attempt);
  }
}

bool AttemptLedger::start(const AttemptId &Id) {
  Lookup Known = find(Id);
  if (!Known.m_State)
    return false;
  if (*Known.m_State == AttemptState::Refused) {
    RefusedAttemptNeverRuns.check(true);
    return false;
  }
  if (!AttemptRunsOnce.check(*Known.m_State == AttemptState::Accepted, Id.str()))
    return false;
  *Known.m_State = AttemptState::Started;
  return true;
}

bool AttemptLedger::endIfRunning(AttemptState &State, AttemptState EndState) {
  if (!isRunning(State))
    return false;
  State = EndState;
  --m_Running;
  return true;
}

void AttemptLedger::end(const AttemptId &Id, bool Completed) {
  Lookup Known = find(Id);
  if (Known.m_State)
    endIfRunning(*Known.m_State, Completed ? AttemptState::Completed : AttemptState::Failed);
}

bool AttemptLedger::cancel(const AttemptId &Id) {
  Lookup Known = find(Id);
  if (!Known.m_Source)
    return false;
  if (!Known.m_State) {
    // The cancellation arrived before the attempt. Evicted numbers are refused anyway.
    if (Known.m_Number > Known.m_Source->m_EvictedUpTo)
      record(*Known.m_Source, Known.m_Number, AttemptState::Refused);
    return false;
  }
  if (*Known.m_State == AttemptState::Accepted) {
    endIfRunning(*Known.m_State, AttemptState::Refused);
    return false;
  }
  return endIfRunning(*Known.m_State, AttemptState::Cancelled);
}

std::vector<AttemptStatement> AttemptLedger::engineLost() {
  std::vector<AttemptStatement> Lost;
  for (auto &[Id, Origin] : m_Sources)
    for (auto &[Number, State] : Origin.m_Attempts) {
      if (!isRunning(State))
        continue;
      // An accepted attempt has not been sent to the engine, and start() will return false for it.
      endIfRunning(State,
                   State == AttemptState::Started ? AttemptState::Failed : AttemptState::Refused);
      Lost.push_back({AttemptNumber{Id, Number}.id(), State, m_Agent});
    }
  std::sort(Lost.begin(), Lost.end(),
            [](const auto &Left, const auto &Right) { return Left.m_Attempt < Right.m_Attempt; });
  return Lost;
}

void AttemptLedger::recordPause(TimePoint Now) {
  for (auto &[Id, Origin] : m_Sources)
    if (Origin.m_IsOpen)
      Origin.m_LastHeartbeatAt =
          std::max(Origin.m_LastHeartbeatAt, Now - HeartbeatTimeout + PauseGrace);
}

std::vector<AttemptId> AttemptLedger::onTimer(TimePoint Now) {
  std::vector<AttemptId> Cancelled;
  for (auto &[Id, Origin] : m_Sources) {
    if (!Origin.m_IsOpen || Now < Origin.m_LastHeartbeatAt + HeartbeatTimeout)
      continue;
    Origin.m_IsOpen = false;
    for (auto &[Number, State] : Origin.m_Attempts) {
      if (State == AttemptState::Started)
        Cancelled.push_back(AttemptNumber{Id, Number}.id());
      endIfRunning(State, State == AttemptState::Started ? AttemptState::Cancelled
                                                         : AttemptState::Refused);
    }
  }
  std::sort(Cancelled.begin(), Cancelled.end());
  return Cancelled;
}

std::optional<TimePoint> AttemptLedger::nextTimer() const {
  std::optional<TimePoint> Due;
  for (const auto &[Id, Origin] : m_Sources)
    if (Origin.m_IsOpen)
      Due = Due ? std::min(*Due, Origin.m_LastHeartbeatAt + HeartbeatTimeout)
                : Origin.m_LastHeartbeatAt + HeartbeatTimeout;
  return Due;
}

AttemptStatement AttemptLedger::state(const AttemptId &Id) {
  Lookup Known = find(Id);
  if (!Known.m_Source)
    return {Id, std::nullopt, m_Agent};
  if (Known.m_State)
    return {Id, *Known.m_State, m_Agent};
  if (Known.m_Number <= Known.m_Source->m_EvictedUpTo)
    return {Id, std::nullopt, m_Agent};
  record(*Known.m_Source, Known.m_Number, AttemptState::Refused);
  return {Id, AttemptState::Refused, m_Agent};
}

} // namespace fescuegauge
