#include "Fescuegauge/AttemptLedger.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <charconv>

namespace fescuegauge {

namespace {

Invariant RunsOnce("requests.attempt_runs_once");
Invariant RefusedNeverRuns("requests.refused_attempt_never_runs");

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
  auto [Stopped, Error] = std::from_chars(Text.data() + Dot + 1, End, Result.m_Number);
  if (Error != std::errc() || Stopped != End || Result.m_Number == 0)
    return std::nullopt;
  return Result;
}

bool AttemptLedger::openSource(const AttemptSourceId &Id, std::uint64_t NextNumber, TimePoint Now) {
  auto Found = m_Sources.find(Id);
  if (Found == m_Sources.end() && m_Sources.size() >= MaxSources) {
    auto Oldest = m_Sources.end();
    for (auto Entry = m_Sources.begin(); Entry != m_Sources.end(); ++Entry)
      if (!Entry->second.m_Open &&
          (Oldest == m_Sources.end() || Entry->second.m_LastHeard < Oldest->second.m_LastHeard))
        Oldest = Entry;
    if (Oldest == m_Sources.end())
      return false;
    m_Sources.erase(Oldest);
    m_ForgotSource = true;
  }
  Source &Opened = m_Sources[Id];
  std::uint64_t Before = NextNumber == 0 ? 0 : NextNumber - 1;
  if (Found == m_Sources.end() && m_ForgotSource)
    Opened.m_ForgottenUpTo = Before;
  Opened.m_RefusedUpTo = std::max(Opened.m_RefusedUpTo, Before);
  Opened.m_Open = true;
  Opened.m_LastHeard = Now;
  return true;
}

void AttemptLedger::heartbeat(const AttemptSourceId &Id, TimePoint Now) {
  auto Found = m_Sources.find(Id);
  if (Found != m_Sources.end() && Found->second.m_Open)
    Found->second.m_LastHeard = Now;
}

AttemptLedger::Position AttemptLedger::find(const AttemptId &Id) {
  Position Result;
  auto Parsed = AttemptNumber::parse(Id);
  if (!Parsed)
    return Result;
  auto Found = m_Sources.find(Parsed->m_Source);
  if (Found == m_Sources.end())
    return Result;
  Result.m_Source = &Found->second;
  Result.m_Number = Parsed->m_Number;
  auto Entry = Found->second.m_Attempts.find(Parsed->m_Number);
  if (Entry != Found->second.m_Attempts.end())
    Result.m_State = &Entry->second;
  return Result;
}

AttemptLedger::Decision AttemptLedger::arrive(const AttemptId &Id, std::optional<ErrorKind> Refusal,
                                              TimePoint Now) {
  Position Known = find(Id);
  if (!Known.m_Source)
    return {Verdict::Refuse, ErrorKind::NotReady};
  if (Known.m_State) {
    if (*Known.m_State == AttemptState::Refused) {
      ++m_LateCopies;
      return {Verdict::Refuse, ErrorKind::NotReady};
    }
    ++m_Duplicates;
    return {Verdict::Duplicate, ErrorKind::NotReady};
  }
  if (Known.m_Number <= std::max(Known.m_Source->m_RefusedUpTo, Known.m_Source->m_ForgottenUpTo)) {
    ++m_LateCopies;
    return {Verdict::Refuse, ErrorKind::NotReady};
  }
  // A process that was paused may see the attempt before its timer closes the source.
  if (!Refusal &&
      (!Known.m_Source->m_Open || Now >= Known.m_Source->m_LastHeard + HeartbeatTimeout))
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

void AttemptLedger::record(Source &In, std::uint64_t Number, AttemptState State) {
  In.m_Attempts[Number] = State;
  for (auto Entry = In.m_Attempts.begin();
       In.m_Attempts.size() > MaxPerSource && Entry != In.m_Attempts.end();) {
    if (isRunning(Entry->second)) {
      ++Entry;
      continue;
    }
    In.m_ForgottenUpTo = std::max(In.m_ForgottenUpTo, Entry->first);
    Entry = In.m_Attempts.erase(Entry);
  }
}

bool AttemptLedger::start(const AttemptId &Id) {
  Position Known = find(Id);
  if (!Known.m_State)
    return false;
  if (*Known.m_State == AttemptState::Refused) {
    RefusedNeverRuns.check(true);
    return false;
  }
  if (!RunsOnce.check(*Known.m_State == AttemptState::Accepted, Id.str()))
    return false;
  *Known.m_State = AttemptState::Started;
  return true;
}

bool AttemptLedger::setEnded(AttemptState &State, AttemptState To) {
  if (!isRunning(State))
    return false;
  State = To;
  --m_Running;
  return true;
}

void AttemptLedger::end(const AttemptId &Id, bool Completed) {
  Position Known = find(Id);
  if (Known.m_State)
    setEnded(*Known.m_State, Completed ? AttemptState::Completed : AttemptState::Failed);
}

bool AttemptLedger::cancel(const AttemptId &Id) {
  Position Known = find(Id);
  if (!Known.m_Source)
    return false;
  if (!Known.m_State) {
    // The cancellation overtook the attempt; numbers that were forgotten are refused anyway.
    if (Known.m_Number > Known.m_Source->m_ForgottenUpTo)
      record(*Known.m_Source, Known.m_Number, AttemptState::Refused);
    return false;
  }
  if (*Known.m_State == AttemptState::Accepted) {
    setEnded(*Known.m_State, AttemptState::Refused);
    return false;
  }
  return setEnded(*Known.m_State, AttemptState::Cancelled);
}

std::vector<AttemptStatement> AttemptLedger::engineLost() {
  std::vector<AttemptStatement> Lost;
  for (auto &[Id, From] : m_Sources)
    for (auto &[Number, State] : From.m_Attempts) {
      if (!isRunning(State))
        continue;
      // What was accepted but not sent has not run, and start() will say no.
      setEnded(State,
               State == AttemptState::Started ? AttemptState::Failed : AttemptState::Refused);
      Lost.push_back({AttemptNumber{Id, Number}.id(), State, m_Agent});
    }
  std::sort(Lost.begin(), Lost.end(),
            [](const auto &Left, const auto &Right) { return Left.m_Attempt < Right.m_Attempt; });
  return Lost;
}

std::vector<AttemptId> AttemptLedger::onTimer(TimePoint Now) {
  std::vector<AttemptId> Cancelled;
  for (auto &[Id, From] : m_Sources) {
    if (!From.m_Open || Now < From.m_LastHeard + HeartbeatTimeout)
      continue;
    From.m_Open = false;
    for (auto &[Number, State] : From.m_Attempts) {
      if (State == AttemptState::Started)
        Cancelled.push_back(AttemptNumber{Id, Number}.id());
      setEnded(State,
               State == AttemptState::Started ? AttemptState::Cancelled : AttemptState::Refused);
    }
  }
  std::sort(Cancelled.begin(), Cancelled.end());
  return Cancelled;
}

std::optional<TimePoint> AttemptLedger::nextTimer() const {
  std::optional<TimePoint> Due;
  for (const auto &[Id, From] : m_Sources)
    if (From.m_Open)
      Due = Due ? std::min(*Due, From.m_LastHeard + HeartbeatTimeout)
                : From.m_LastHeard + HeartbeatTimeout;
  return Due;
}

AttemptStatement AttemptLedger::state(const AttemptId &Id) {
  Position Known = find(Id);
  if (!Known.m_Source)
    return {Id, std::nullopt, m_Agent};
  if (Known.m_State)
    return {Id, *Known.m_State, m_Agent};
  if (Known.m_Number <= Known.m_Source->m_ForgottenUpTo)
    return {Id, std::nullopt, m_Agent};
  record(*Known.m_Source, Known.m_Number, AttemptState::Refused);
  return {Id, AttemptState::Refused, m_Agent};
}

} // namespace fescuegauge
