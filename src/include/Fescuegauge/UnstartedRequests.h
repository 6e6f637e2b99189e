#ifndef FESCUEGAUGE_UNSTARTEDREQUESTS_H
#define FESCUEGAUGE_UNSTARTEDREQUESTS_H

#include "Fescuegauge/UpstreamBoard.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

using UnstartedNumber = StrongNumber<struct UnstartedNumberTag>;

/// The requests that were sent to engines and have not begun there.
///
/// Load pattern answered: engines with long queues when the bound on older weights ends. Whether a
/// request begins in time is not certain when it is sent, so one that still waits shortly before
/// the bound at an engine with older weights is withdrawn.
class UnstartedRequests {
public:
  /// The close must reach the engine before the bound. It may be as long on the way as the request
  /// was, which is not known, so a request is withdrawn before the bound by the time for which it
  /// has waited, within these limits. An engine that gets the close in a pass of about 200 ms must
  /// still end it in time; a longer lead would withdraw many that are about to begin.
  static constexpr Duration LeastLead = std::chrono::milliseconds(300);
  static constexpr Duration LongestLead = std::chrono::milliseconds(1000);

  /// A request for `Model` is sent to `Upstream`.
  UnstartedNumber add(const ModelId &Model, const UpstreamRecord &Upstream, TimePoint Now);
  /// Where a request waited, and for how long.
  struct Wait {
    InstanceId m_Upstream;
    Duration m_Length{0};
  };
  /// The request began, or will not begin any more. Nothing if it is not known.
  std::optional<Wait> remove(UnstartedNumber Number, TimePoint Now);

  /// The requests that must be withdrawn by now. One whose upstream has newer weights by now, as
  /// `Board` shows it, will begin on these.
  std::vector<UnstartedNumber> overdue(const UpstreamBoard &Board, TimePoint Now) const;
  /// When overdue() must be asked for a bound: from LongestLead before it on, often enough.
  static std::optional<TimePoint> nextCheck(TimePoint Bound, TimePoint Now);

private:
  /// Interval of checks while requests may become overdue.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(50);

  struct Entry {
    ModelId m_Model;
    InstanceId m_Upstream;
    /// The version that the upstream held when the request was sent.
    WeightsVersion m_Version;
    TimePoint m_SentAt;
  };

  UnstartedNumber m_Last;
  std::map<UnstartedNumber, Entry> m_Entries;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UNSTARTEDREQUESTS_H
