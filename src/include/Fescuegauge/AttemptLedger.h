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

/// Identifies one process of an entry instance as a source of attempts: "INSTANCE~NONCE". A
/// restarted instance gets a new source id.
using AttemptSourceId = StrongId<struct AttemptSourceIdTag>;

/// The parts of an attempt id, "SOURCE.NUMBER". A source numbers its attempts in ascending order,
/// starting at 1.
struct AttemptNumber {
  AttemptSourceId m_Source;
  std::uint64_t m_Number = 0;

  AttemptId id() const;
  /// Returns nullopt if the id is malformed.
  static std::optional<AttemptNumber> parse(const AttemptId &Id);
};

enum class AttemptState {
  /// Accepted, but no byte has been sent to the engine yet.
  Accepted,
  /// Sent to the engine at least in part.
  Started,
  Completed,
  /// The engine returned an error or was lost during the attempt.
  Failed,
  /// Never sent to the engine. Late copies are refused as well.
  Refused,
  /// Cancelled after it was started.
  Cancelled,
};

/// An agent's report on the state of an attempt.
struct AttemptStatement {
  AttemptId m_Attempt;
  /// nullopt if the agent has no record of the attempt.
  std::optional<AttemptState> m_State;
  /// Incarnation of the reporting agent process. It has no record of attempts that an earlier
  /// incarnation ran.
  Incarnation m_Agent;

  /// True if the agent guarantees that the attempt did not run and never will.
  bool isNotRun() const { return m_State == AttemptState::Refused; }
};

/// Tracks the attempts of an agent so that no attempt id runs twice, and an attempt that was
/// refused or cancelled never runs when a late copy of it arrives.
///
/// Memory is bounded: for each source the ledger keeps the MaxPerSource attempts with the highest
/// numbers, and it refuses an unrecorded attempt whose number is not above the highest evicted one.
/// A source states its next number when it opens a connection, and lower numbers without a record
/// are refused, so a closed source can be evicted as a whole.
class AttemptLedger {
public:
  /// Recorded attempts per source. Running attempts are never evicted.
  static constexpr std::size_t MaxPerSource = 1024;
  /// Tracked sources. Further sources are refused unless a closed one can be evicted.
  static constexpr std::size_t MaxSources = 512;
  /// Concurrently running attempts. Further attempts are refused (Overloaded).
  static constexpr std::size_t MaxRunning = 4096;
  /// A source that sends no heartbeat for this long is closed and its attempts are cancelled.
  static constexpr Duration HeartbeatTimeout = std::chrono::seconds(4);
  /// Time after a pause of this process in which no source is closed.
  static constexpr Duration PauseGrace = std::chrono::milliseconds(500);

  enum class Verdict {
    /// Send the attempt to the engine. Returned once per attempt id.
    Run,
    /// The attempt is refused, now or by an earlier call. The entry must be notified.
    Refuse,
    /// A further copy of an accepted attempt. The entry is not notified.
    Duplicate,
  };

  struct Decision {
    Verdict m_Verdict = Verdict::Refuse;
    /// Valid if the verdict is Refuse.
    ErrorKind m_Reason = ErrorKind::NotReady;
  };

  explicit AttemptLedger(Incarnation Agent) : m_Agent(Agent) {}

  /// Must be called for the first message on a connection from an entry. `NextNumber` is the number
  /// of the source's next attempt. Returns false if the limit MaxSources is reached and no closed
  /// source can be evicted.
  bool openSource(const AttemptSourceId &Source, std::uint64_t NextNumber, TimePoint Now);
  void heartbeat(const AttemptSourceId &Source, TimePoint Now);
  /// Decides on an incoming attempt. `Refusal` is set if the agent cannot accept work at present
  /// (draining, loading a version, engine not running, or serving another version than required).
  Decision arrive(const AttemptId &Id, std::optional<ErrorKind> Refusal, TimePoint Now);
  /// Must be called before the first byte is sent to the engine. Returns false if nothing may be
  /// sent, for example because the attempt was cancelled in the meantime.
  bool start(const AttemptId &Id);
  /// Records that the engine completed the attempt or, if `Completed` is false, returned an error.
  void end(const AttemptId &Id, bool Completed);
  /// Cancels the attempt on behalf of its entry. Returns true if the engine must cancel it too.
  bool cancel(const AttemptId &Id);
  /// Records the loss of the engine. Returns the attempts that it ended: Failed, or Refused if no
  /// byte of the attempt had been sent.
  std::vector<AttemptStatement> engineLost();
  /// Must be called after a pause of this process, before onTimer(). Heartbeats that arrived during
  /// the pause are handled only after it.
  void recordPause(TimePoint Now);
  /// Closes sources whose heartbeats timed out. Returns the attempts that the engine must cancel.
  std::vector<AttemptId> onTimer(TimePoint Now);
  std::optional<TimePoint> nextTimer() const;

  /// Returns the state of the attempt. An attempt that never arrived is recorded as refused by this
  /// call, so that the returned state remains true.
  AttemptStatement state(const AttemptId &Id);

  std::size_t runningCount() const { return m_Running; }
  std::size_t sourceCount() const { return m_Sources.size(); }
  std::uint64_t duplicates() const { return m_Duplicates; }
  std::uint64_t lateCopiesRefused() const { return m_LateCopiesRefused; }

private:
  struct Source {
    TimePoint m_LastHeartbeatAt;
    /// False from the heartbeat timeout until the source opens a connection again.
    bool m_IsOpen = true;
    /// Attempts up to this number that are not in m_Attempts are refused.
    std::uint64_t m_RefusedUpTo = 0;
    /// Highest evicted number. It is unknown whether unrecorded attempts up to it ran.
    std::uint64_t m_EvictedUpTo = 0;
    std::map<std::uint64_t, AttemptState> m_Attempts;
  };

  struct Lookup {
    Source *m_Source = nullptr;
    std::uint64_t m_Number = 0;
    AttemptState *m_State = nullptr;
  };

  Lookup find(const AttemptId &Id);
  void record(Source &Origin, std::uint64_t Number, AttemptState State);
  bool endIfRunning(AttemptState &State, AttemptState EndState);
  static bool isRunning(AttemptState State) {
    return State == AttemptState::Accepted || State == AttemptState::Started;
  }

  Incarnation m_Agent;
  std::unordered_map<AttemptSourceId, Source> m_Sources;
  /// True once a closed source was evicted. Earlier attempts of an unknown source may then have
  /// run.
  bool m_HasEvictedSource = false;
  std::size_t m_Running = 0;
  std::uint64_t m_Duplicates = 0;
  std::uint64_t m_LateCopiesRefused = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ATTEMPTLEDGER_H
