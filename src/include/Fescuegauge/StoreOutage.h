#ifndef FESCUEGAUGE_STOREOUTAGE_H
#define FESCUEGAUGE_STOREOUTAGE_H

#include "Fescuegauge/Units.h"

#include <algorithm>
#include <optional>

namespace fescuegauge {

/// A period in which this process could not reach the platform's store.
///
/// The bound on the age of weights applies only while the store serves and is reachable. During an
/// outage nobody can tell whether a version was announced, so its bound is counted again from the
/// end of the outage, and requests are served by the weights that are available.
struct StoreOutage {
  TimePoint m_From;
  /// The last time at which the store was found unreachable; not after m_From if there was no
  /// outage.
  TimePoint m_Until;

  /// The time from which a bound that began at `Start` is counted. An outage that began after the
  /// bound had expired has no effect.
  TimePoint countedFrom(TimePoint Start, Duration Bound) const {
    return m_Until > m_From && m_From < Start + Bound ? std::max(Start, m_Until) : Start;
  }
};

/// Detects outages of the store from unanswered calls.
///
/// A single unanswered call may be due to its connection alone, which can stall while new ones
/// work. An outage is therefore confirmed only when calls that began after the first failure went
/// unanswered as well, without an answer in between, and if no other process reports that the store
/// answered it meanwhile.
class OutageDetector {
public:
  /// Unanswered calls that began after the first failure.
  static constexpr int RequiredConfirmations = 2;

  void onAnswered() { m_FirstFailureAt.reset(); }
  void onUnanswered(TimePoint BegunAt, TimePoint Now);
  /// The store answered another process at `At`, which forwarded what it learnt.
  void onPeerAnswered(TimePoint At);
  const StoreOutage &last() const { return m_Last; }

private:
  std::optional<TimePoint> m_FirstFailureAt;
  TimePoint m_From;
  int m_ConfirmationCount = 0;
  StoreOutage m_Last;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_STOREOUTAGE_H
