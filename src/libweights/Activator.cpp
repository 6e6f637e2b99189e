#include "Fescuegauge/Activator.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>
#include <utility>

namespace fescuegauge {

namespace {

Invariant RoutedIsServed("weights.routed_version_is_served");
Invariant LoadIsVerified("weights.load_after_verification");
Invariant LoadAfterDrain("weights.load_after_drain");
Invariant OneCommand("weights.one_command_at_a_time");
Invariant NoOlderChange("weights.change_never_decreases");

} // namespace

bool Activator::setTarget(const Digest &Root, ChangeNumber Change) {
  if (Change < m_Change && m_Rules.m_IgnoreOlderChange)
    return false;
  NoOlderChange.check(Change >= m_Change, "target with an older change number");
  if (Root != m_Target || Change != m_Change) {
    m_VerifiedRoot = Digest();
    m_Staged = false;
  }
  m_Target = Root;
  m_Change = Change;
  return true;
}

bool Activator::isOutdated() const {
  return std::max(m_Change, m_Configuration) < m_RequiredChange;
}

bool Activator::wantsLoad() const {
  if (m_Target.isZero() || !m_Staged || isOutdated())
    return false;
  if (m_Report && !m_LoadSent && m_Report->m_Served == m_Target)
    return false;
  // An upstream that is out of service and cannot return to its old version needs no permission to
  // load.
  bool CanReturn = m_Report && !m_Report->m_Served.isZero() && m_Report->m_Served == m_LiveRoot;
  return m_MayReplace || (m_RoutableRoot.isZero() && m_Report && !CanReturn);
}

bool Activator::isReportFresh(TimePoint Now) const {
  return m_Report && !m_LoadSent && Now - m_ReportRequestedAt < ReadValidity;
}

ActivationCommand Activator::issue(ActivationCommand::Kind Kind, TimePoint Now) {
  OneCommand.check(!m_InProgress, "a command is in progress");
  ActivationCommand Command;
  Command.m_Kind = Kind;
  Command.m_Number = ++m_LastNumber;
  Command.m_Root = m_Target;
  Command.m_Token = FencingToken(m_Change.value());
  Command.m_SendBefore = Kind == ActivationCommand::Kind::Load && m_Rules.m_ReadBackBeforeLoad &&
                                 m_Rules.m_ExpireCommands
                             ? m_ReportRequestedAt + ReadValidity
                             : TimePoint::max();
  m_InProgress = Command;
  m_IssuedAt = Now;
  return Command;
}

void Activator::stopRouting() {
  m_RoutableRoot = Digest();
  m_VerifiedRoot = Digest();
  m_Drained = false;
}

std::optional<ActivationCommand> Activator::poll(TimePoint Now) {
  using Kind = ActivationCommand::Kind;
  if (m_LastPoll && Now - *m_LastPoll > PauseLimit && m_Rules.m_ConfirmAfterPause) {
    // Another process may have controlled the engine during the pause.
    stopRouting();
    m_Report.reset();
    m_NeedsConfirmation = true;
  }
  m_LastPoll = Now;
  if (m_InProgress) {
    bool IsLongCommand =
        m_InProgress->m_Kind == Kind::Load || m_InProgress->m_Kind == Kind::VerifyStaging;
    if (Now - m_IssuedAt < (IsLongCommand ? LongCommandTimeout : CommandTimeout))
      return std::nullopt;
    m_InProgress.reset();
    m_Report.reset();
    m_VerifiedRoot = Digest();
  }
  if (Now < m_NotBefore || m_Superseded)
    return std::nullopt;

  if (!m_RoutableRoot.isZero()) {
    bool MustDrain = wantsLoad() && m_RoutableRoot != m_Target;
    if (MustDrain && m_Rules.m_DrainFirst) {
      stopRouting();
      return std::nullopt;
    }
    if (!m_Report || Now - m_ReportRequestedAt >= CheckInterval)
      return issue(Kind::ReadServed, Now);
    if (!MustDrain)
      return std::nullopt;
  }

  if (!m_Report || m_LoadSent)
    return issue(Kind::ReadServed, Now);
  bool Wanted = m_Report->m_Served == m_Target && !m_Target.isZero();
  bool IsLive = !m_Report->m_Served.isZero() && m_Report->m_Served == m_LiveRoot && !wantsLoad();
  if (Wanted || IsLive) {
    if (m_Rules.m_ReadBackBeforeRouting && !isReportFresh(Now))
      return issue(Kind::ReadServed, Now);
    if (RoutedIsServed.check(m_Report->m_Served == m_Target || m_Report->m_Served == m_LiveRoot,
                             m_Report->m_Served.hex())) {
      m_RoutableRoot = m_Report->m_Served;
      m_LiveRoot = m_RoutableRoot;
    }
    return std::nullopt;
  }
  if (!wantsLoad()) {
    if (!isReportFresh(Now) && Now - m_ReportRequestedAt >= CheckInterval)
      return issue(Kind::ReadServed, Now);
    return std::nullopt;
  }
  if (!m_Drained && m_Rules.m_DrainFirst)
    return std::nullopt;
  // Staging is verified as late as possible, because it may be corrupted afterwards.
  if (m_NeedsConfirmation && m_Rules.m_ConfirmAfterPause)
    return issue(Kind::ConfirmConfiguration, Now);
  if (m_VerifiedRoot != m_Target && m_Rules.m_VerifyStaging)
    return issue(Kind::VerifyStaging, Now);
  if (m_Rules.m_ReadBackBeforeLoad && !isReportFresh(Now))
    return issue(Kind::ReadServed, Now);
  if (m_Rules.m_VerifyStaging && !LoadIsVerified.check(m_VerifiedRoot == m_Target, m_Target.hex()))
    return std::nullopt;
  if (m_Rules.m_DrainFirst && !LoadAfterDrain.check(m_Drained, m_Target.hex()))
    return std::nullopt;
  return issue(Kind::Load, Now);
}

bool Activator::completeCommand(std::uint64_t Number, ActivationCommand::Kind Kind) {
  if (!m_InProgress || m_InProgress->m_Number != Number || m_InProgress->m_Kind != Kind)
    return false;
  m_InProgress.reset();
  return true;
}

void Activator::onConfirmed(std::uint64_t Number, const std::optional<Confirmation> &Known,
                            TimePoint Now) {
  if (!completeCommand(Number, ActivationCommand::Kind::ConfirmConfiguration))
    return;
  if (!Known) {
    retryLater(Now);
    return;
  }
  m_RequiredChange = std::max(m_RequiredChange, Known->m_Highest);
  if (Known->m_Superseded && m_Rules.m_StopWhenSuperseded) {
    m_Superseded = true;
    stopRouting();
  }
  m_NeedsConfirmation = false;
}

void Activator::onStagingRoot(std::uint64_t Number, const Digest &Root, TimePoint Now) {
  if (!m_InProgress)
    return;
  Digest Expected = m_InProgress->m_Root;
  if (!completeCommand(Number, ActivationCommand::Kind::VerifyStaging))
    return;
  if (Root == Expected) {
    m_VerifiedRoot = Root;
    return;
  }
  if (Expected == m_Target) {
    m_Staged = false;
    m_StagingFault = true;
  }
  retryLater(Now);
}

void Activator::onServed(std::uint64_t Number, const std::optional<ServedReport> &Report,
                         TimePoint Now) {
  if (!m_InProgress)
    return;
  TimePoint AskedAt = m_IssuedAt;
  if (!completeCommand(Number, ActivationCommand::Kind::ReadServed))
    return;
  if (!Report) {
    // The engine may be restarting, which empties its staging area.
    m_VerifiedRoot = Digest();
    retryLater(Now);
    return;
  }
  bool Unexpected = m_Report && !m_LoadSent && Report->m_Served != m_Report->m_Served;
  if (Unexpected || Report->m_Token > FencingToken(m_Change.value())) {
    // Another process controlled the engine, or the engine restarted.
    m_NeedsConfirmation = true;
    m_VerifiedRoot = Digest();
    if (Report->m_Token > FencingToken(m_Change.value()))
      m_RequiredChange = std::max(m_RequiredChange, ChangeNumber(Report->m_Token.value()));
  }
  if (Report->m_Served.isZero() && !m_LiveRoot.isZero() && !m_LoadSent && Unexpected)
    m_EngineRestart = true;
  if (!m_RoutableRoot.isZero() && Report->m_Served != m_RoutableRoot)
    stopRouting();
  m_Report = Report;
  m_ReportRequestedAt = AskedAt;
  m_LoadSent = false;
}

void Activator::onLoadResult(std::uint64_t Number, LoadResult Result, TimePoint Now) {
  if (!completeCommand(Number, ActivationCommand::Kind::Load))
    return;
  m_LoadSent = true;
  // The staging area may change before the next attempt.
  m_VerifiedRoot = Digest();
  if (Result != LoadResult::Loaded) {
    m_NeedsConfirmation = true;
    retryLater(Now);
    return;
  }
  if (!m_Rules.m_ReadBackBeforeRouting) {
    m_Report = ServedReport{m_Target, FencingToken(m_Change.value())};
    m_ReportRequestedAt = Now;
    m_LoadSent = false;
  }
}

void Activator::onNotSent(std::uint64_t Number, TimePoint Now) {
  if (!m_InProgress || m_InProgress->m_Number != Number)
    return;
  m_InProgress.reset();
  m_Report.reset();
  m_NeedsConfirmation = true;
  retryLater(Now);
}

bool Activator::takeStagingFault() { return std::exchange(m_StagingFault, false); }

bool Activator::takeEngineRestart() { return std::exchange(m_EngineRestart, false); }

std::string_view Activator::stepName() const {
  using Kind = ActivationCommand::Kind;
  if (m_InProgress)
    switch (m_InProgress->m_Kind) {
    case Kind::ConfirmConfiguration:
      return "confirming-configuration";
    case Kind::VerifyStaging:
      return "verifying-staging";
    case Kind::ReadServed:
      return "reading-served-version";
    case Kind::Load:
      return "loading";
    }
  if (m_Superseded)
    return "superseded";
  if (isConverged())
    return "serving-target";
  if (m_Target.isZero())
    return "no-target";
  if (isOutdated())
    return "waiting-for-newer-configuration";
  if (!m_Staged)
    return "waiting-for-chunks";
  if (!m_RoutableRoot.isZero())
    return "waiting-for-replacement-slot";
  return m_Drained ? "preparing-load" : "draining";
}

} // namespace fescuegauge
