#ifndef FESCUEGAUGE_ACTIVATOR_H
#define FESCUEGAUGE_ACTIVATOR_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescuegauge {

/// What an engine reports when asked which version it serves.
struct ServedReport {
  /// Root digest of the loaded version; zero if none.
  Digest m_Served;
  /// Token of the last load command that took effect; 0 on engines that do not store it.
  FencingToken m_Token;
};

/// A command to one engine, as issued by an Activator.
struct ActivationCommand {
  enum class Kind {
    /// Ask the entry instances for a Confirmation; answer with onConfirmed().
    ConfirmConfiguration,
    /// Compute the root digest over the staging area; answer with onStagingRoot().
    VerifyStaging,
    /// Ask the engine which version it serves; answer with onServed().
    ReadServed,
    /// Send the load command with m_Root and m_Token; answer with onLoadResult().
    Load,
  };

  Kind m_Kind = Kind::ReadServed;
  /// Copied into the result, so that a late result of an earlier command is recognised.
  std::uint64_t m_Number = 0;
  Digest m_Root;
  FencingToken m_Token;
  /// The command must not be sent at or after this time; report onNotSent() instead. The sender
  /// compares it with the clock immediately before it writes to the connection.
  TimePoint m_SendBefore;
};

/// The result of ConfirmConfiguration, combined from the answers of the entry instances.
struct Confirmation {
  /// The highest change number known to any entry instance.
  ChangeNumber m_Highest;
  /// Whether a newer incarnation of the requesting instance is known, which now controls the
  /// engine.
  bool m_Superseded = false;
};

enum class LoadResult {
  Loaded,
  /// The engine refused the command, for example for an old fencing token.
  Rejected,
  /// No answer was received; the command may have taken effect or may still do so.
  Unknown,
};

/// Sequences the commands to one engine and decides when its upstream may receive requests.
///
/// A load consists of these steps: stop routing, wait until drained, confirm the configuration if
/// it may be outdated, verify the root digest over staging, read back the served version, load,
/// read back again, allow routing. Only one command is in progress at any time. The read-back
/// prevents an old command from undoing a newer one on engines that ignore the fencing token: a
/// process that was paused, or that reads back an unexpected version, sends no load command until
/// the configuration has been confirmed. Routing is allowed only to the target version or to the
/// version that was live before.
class Activator {
public:
  /// Maximum age of a read-back at the time of a load command; an older one is repeated.
  static constexpr Duration ReadValidity = std::chrono::seconds(1);
  /// Interval between read-backs while the upstream receives requests.
  static constexpr Duration CheckInterval = std::chrono::seconds(2);
  /// A longer gap between two calls of poll() is treated as a pause of the process.
  static constexpr Duration PauseLimit = std::chrono::seconds(3);
  /// Time-out of a command.
  static constexpr Duration CommandTimeout = std::chrono::seconds(10);
  /// Time-out of VerifyStaging and Load, whose duration depends on the size of the version.
  static constexpr Duration LongCommandTimeout = std::chrono::minutes(10);
  /// Delay before a failed command is repeated.
  static constexpr Duration RetryInterval = std::chrono::seconds(1);

  /// All rules are enabled in production. Tests disable single rules and check that it is detected.
  struct Rules {
    bool m_VerifyStaging = true;
    bool m_DrainFirst = true;
    bool m_ReadBackBeforeLoad = true;
    bool m_ReadBackBeforeRouting = true;
    bool m_ConfirmAfterPause = true;
    bool m_IgnoreOlderChange = true;
    bool m_ExpireCommands = true;
    bool m_StopWhenSuperseded = true;
  };

  /// `LastServed` is the version that this upstream served live before the process started,
  /// according to the membership view; zero if unknown. Routing to it may then continue.
  explicit Activator(const Digest &LastServed, Rules Enabled)
      : m_Rules(Enabled), m_LiveRoot(LastServed) {}
  explicit Activator(const Digest &LastServed = Digest()) : Activator(LastServed, Rules()) {}

  /// The version in force. The change number is the fencing token of its load command. Returns
  /// false and changes nothing if `Change` is older than the one known.
  bool setTarget(const Digest &Root, ChangeNumber Change);
  /// The number of the newest configuration known to contain the target. Without a call it is the
  /// change of the target.
  void setConfiguration(ChangeNumber Number) { m_Configuration = Number; }
  /// Whether the staging area holds every chunk of the target.
  void setStaged(bool Complete) { m_Staged = Complete; }
  /// Whether the replacement rule lets this upstream stop serving now.
  void setMayReplace(bool Allowed) { m_MayReplace = Allowed; }
  /// Whether no request is in progress on the engine. Evaluated only while routing is not allowed.
  void setDrained(bool Drained) { m_Drained = Drained; }

  /// Advances the sequence and returns the next command, if one is due. Must be called at least
  /// once a second and after each result.
  std::optional<ActivationCommand> poll(TimePoint Now);

  /// Results of commands. A result with the number of an earlier command is ignored.
  void onConfirmed(std::uint64_t Number, const std::optional<Confirmation> &Known, TimePoint Now);
  void onStagingRoot(std::uint64_t Number, const Digest &Root, TimePoint Now);
  void onServed(std::uint64_t Number, const std::optional<ServedReport> &Report, TimePoint Now);
  void onLoadResult(std::uint64_t Number, LoadResult Result, TimePoint Now);
  /// The command was not sent because m_SendBefore had passed.
  void onNotSent(std::uint64_t Number, TimePoint Now);

  /// The version to which requests may be routed; zero if none. The instance's membership record
  /// carries this digest.
  const Digest &routableRoot() const { return m_RoutableRoot; }
  /// True when the target is served and routable.
  bool isConverged() const { return !m_Target.isZero() && m_RoutableRoot == m_Target; }
  /// Returns true once after verification failed although every chunk of the target was reported as
  /// staged; the caller then checks each chunk and drops the corrupted ones.
  bool takeStagingFault();
  /// Returns true once after the engine no longer reported the version that it had served, which
  /// means that it restarted; its staging area must be listed again.
  bool takeEngineRestart();
  /// True from a successful verification of staging until the load command has a result.
  bool isVerified() const { return !m_VerifiedRoot.isZero(); }
  /// True when another process controls the engine; no further command is issued.
  bool isSuperseded() const { return m_Superseded; }
  ChangeNumber targetChange() const { return m_Change; }
  /// The name of the current step, for status and dumps.
  std::string_view stepName() const;

private:
  bool wantsLoad() const;
  /// Whether a newer configuration may contain another target.
  bool isOutdated() const;
  bool isReportFresh(TimePoint Now) const;
  bool completeCommand(std::uint64_t Number, ActivationCommand::Kind Kind);
  ActivationCommand issue(ActivationCommand::Kind Kind, TimePoint Now);
  void retryLater(TimePoint Now) { m_NotBefore = Now + RetryInterval; }
  void stopRouting();

  Rules m_Rules;
  Digest m_Target;
  ChangeNumber m_Change;
  ChangeNumber m_Configuration;
  /// No load is issued until the target is known to be in force at this change.
  ChangeNumber m_RequiredChange;
  bool m_Staged = false;
  bool m_MayReplace = false;
  bool m_Drained = false;
  bool m_NeedsConfirmation = true;
  bool m_Superseded = false;
  bool m_StagingFault = false;
  bool m_EngineRestart = false;
  /// The target of a verification that succeeded since routing stopped; zero if none.
  Digest m_VerifiedRoot;
  /// The version that was last routable.
  Digest m_LiveRoot;
  Digest m_RoutableRoot;
  /// True between a load command and the next read-back; the served version is then unknown.
  bool m_LoadSent = false;
  std::optional<ServedReport> m_Report;
  TimePoint m_ReportRequestedAt;
  std::optional<ActivationCommand> m_InProgress;
  TimePoint m_IssuedAt;
  TimePoint m_NotBefore;
  std::optional<TimePoint> m_LastPoll;
  std::uint64_t m_LastNumber = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ACTIVATOR_H
