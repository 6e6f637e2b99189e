#ifndef FESCUEGAUGE_STOREOUTAGE_H
#define FESCUEGAUGE_STOREOUTAGE_H

#include "Fescuegauge/Units.h"

#include <algorithm>
#include <optional>

namespace fescuegauge {

/// A time in which this process could not reach the platform's store.
///
/// Operators are promised a bound on the age of weights only for time in which the store serves and
/// is reached. During an outage nobody can tell whether a version was announced, so its bound
/// counts anew from the end of the outage, and callers are served by the weights that are there.
struct StoreOutage {
  TimePoint m_From;
  /// The last time at which the store was found away; not after m_From if there was no outage.
  TimePoint m_Until;

  /// The time from which a bound counts that began at `Start`. An outage that began after the bound
  /// had run out changes nothing.
  TimePoint countedFrom(TimePoint Start, Duration Bound) const {
    return m_Until > m_From && m_From < Start + Bound ? std::max(Start, m_Until) : Start;
  }
};

/// Recognises outages of the store by calls that were not answered.
///
/// One call that is not answered may be due to its connection alone, which can go silent while new
/// ones work. An outage is therefore taken as certain only when calls that began after the first
/// failure went unanswered as well, with no answer in between, and if no other process says that
/// the store answered it meanwhile.
class OutageDetector {
public:
  /// Unanswered calls that began after the first failure.
  static constexpr int Confirmations = 2;

  void onAnswered() { m_FirstFailureAt.reset(); }
  void onUnanswered(TimePoint BegunAt, TimePoint Now);
  /// Another process was answered by the store at `At`, and passed on what it learnt.
  void onOtherAnswered(TimePoint At);
  const StoreOutage &last() const { return m_Last; }

private:
  std::optional<TimePoint> m_FirstFailureAt;
  TimePoint m_From;
  int m_Confirmed = 0;
  StoreOutage m_Last;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_STOREOUTAGE_H
