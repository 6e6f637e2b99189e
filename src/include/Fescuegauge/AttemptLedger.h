#ifndef FESCUEGAUGE_ATTEMPTLEDGER_H
#define FESCUEGAUGE_ATTEMPTLEDGER_H

#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

/// One process of an entry instance, as the origin of attempts: "INSTANCE~NONCE". A restarted
/// instance is another source.
using AttemptSourceId = StrongId<struct AttemptSourceIdTag>;

/// An attempt id is "SOURCE.NUMBER"; a source numbers its attempts upwards from 1.
struct AttemptNumber {
  AttemptSourceId m_Source;
  std::uint64_t m_Number = 0;

  AttemptId id() const;
  /// Nothing if the id has another form.
  static std::optional<AttemptNumber> parse(const AttemptId &Id);
};

enum class AttemptState {
  /// Accepted; no byte has been sent to the engine yet.
  Accepted,
  /// Sent to the engine, at least in part.
  Started,
  Completed,
  /// The engine ended the attempt with an error or was lost during it.
  Failed,
  /// Never sent to the engine, and a late copy will not be either.
  Refused,
  /// Cancelled after it was started.
  Cancelled,
};

/// What an agent knows of an attempt.
struct AttemptStatement {
  AttemptId m_Attempt;
  /// Nothing if the agent no longer knows.
  std::optional<AttemptState> m_State;
  /// The agent process that says so. It knows nothing of what an earlier one ran.
  Incarnation m_Agent;

  /// True if the agent guarantees that the attempt did not run and never will.
  bool isNotRun() const { return m_State == AttemptState::Refused; }
};

/// The agent's memory of attempts: no attempt id is run twice, and one that was refused or
/// cancelled is never run when a late copy of it arrives.
///
/// Memory is bounded by this rule: of each source the ledger remembers the MaxPerSource attempts
/// with the highest numbers; an attempt with a lower number than any that was forgotten is refused.
/// A source names its next number when it opens a connection, and lower ones that are not known are
/// refused, so a source that was closed can be forgotten as a whole.
class AttemptLedger {
public:
  /// Remembered attempts of a source; running ones are never forgotten.
  static constexpr std::size_t MaxPerSource = 1024;
  /// Sources known at a time; a further one is refused.
  static constexpr std::size_t MaxSources = 512;
  /// Attempts that run at a time; a further one is refused (Overloaded).
  static constexpr std::size_t MaxRunning = 4096;
  /// A source without a heartbeat for this long is closed and its attempts are cancelled.
  static constexpr Duration HeartbeatTimeout = std::chrono::seconds(2);

  enum class Verdict {
    /// Send it to the engine. Given once for an attempt id.
    Run,
    /// Refused now or earlier; tell the entry.
    Refuse,
    /// A further copy of an attempt that was accepted; tell the entry nothing.
    Duplicate,
  };

  struct Decision {
    Verdict m_Verdict = Verdict::Refuse;
    /// On Refuse.
    ErrorKind m_Reason = ErrorKind::NotReady;
  };

  explicit AttemptLedger(Incarnation Agent) : m_Agent(Agent) {}

  /// Called for the first message of a connection of an entry. `NextNumber` is the number that the
  /// source gives to its next attempt. False if there is no room for another source.
  bool openSource(const AttemptSourceId &Source, std::uint64_t NextNumber, TimePoint Now);
  void heartbeat(const AttemptSourceId &Source, TimePoint Now);
  /// An attempt arrives. `Refusal` is set if the agent cannot take work at present (draining,
  /// loading a version, engine gone, another version served than required).
  Decision arrive(const AttemptId &Id, std::optional<ErrorKind> Refusal, TimePoint Now);
  /// Must be called before the first byte goes to the engine. False if the attempt was cancelled in
  /// the meantime; then nothing may be sent.
  bool start(const AttemptId &Id);
  /// The engine completed the attempt or ended it with an error.
  void end(const AttemptId &Id, bool Completed);
  /// The entry no longer wants the attempt. True if the engine must be told to cancel it.
  bool cancel(const AttemptId &Id);
  /// The engine is gone. Returns the attempts that ended by it: Failed, or Refused if no byte of
  /// them had been sent.
  std::vector<AttemptStatement> engineLost();
  /// Closes sources without heartbeats. Returns the attempts that the engine must cancel.
  std::vector<AttemptId> onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// What is known of the attempt. One that never arrived is recorded as refused by this call.
  AttemptStatement state(const AttemptId &Id);

  std::size_t runningCount() const { return m_Running; }
  std::size_t sourceCount() const { return m_Sources.size(); }
  std::uint64_t duplicates() const { return m_Duplicates; }
  std::uint64_t lateCopiesRefused() const { return m_LateCopies; }

private:
  struct Source {
    TimePoint m_LastHeard;
    /// False after its heartbeats ended, until it opens a connection again.
    bool m_Open = true;
    /// Attempts up to this number that are not in m_Attempts are refused.
    std::uint64_t m_RefusedUpTo = 0;
    /// The highest number that was forgotten; whether one up to it ran is not known.
    std::uint64_t m_ForgottenUpTo = 0;
    std::map<std::uint64_t, AttemptState> m_Attempts;
  };

  struct Position {
    Source *m_Source = nullptr;
    std::uint64_t m_Number = 0;
    AttemptState *m_State = nullptr;
  };

  Position find(const AttemptId &Id);
  void record(Source &In, std::uint64_t Number, AttemptState State);
  bool setEnded(AttemptState &State, AttemptState To);
  static bool isRunning(AttemptState State) {
    return State == AttemptState::Accepted || State == AttemptState::Started;
  }

  Incarnation m_Agent;
  std::unordered_map<AttemptSourceId, Source> m_Sources;
  /// A closed source was forgotten, so nothing certain can be said of attempts of unknown sources.
  bool m_ForgotSource = false;
  std::size_t m_Running = 0;
  std::uint64_t m_Duplicates = 0;
  std::uint64_t m_LateCopies = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ATTEMPTLEDGER_H
