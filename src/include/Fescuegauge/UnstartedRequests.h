#ifndef FESCUEGAUGE_UNSTARTEDREQUESTS_H
#define FESCUEGAUGE_UNSTARTEDREQUESTS_H

#include "Fescuegauge/LoadBalancer.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

using UnstartedNumber = StrongNumber<struct UnstartedNumberTag>;

/// Requests that were sent to engines and have not started there.
///
/// Meant for engines with long queues when the bound on older weights expires. Whether a request
/// starts in time is not certain when it is sent, so one that is still queued shortly before the
/// bound at an engine with older weights is withdrawn.
class UnstartedRequests {
public:
  /// Limits on the lead time before the bound at which a request is withdrawn. The close must reach
  /// the engine before the bound. Its transit time is unknown and may be as long as that of the
  /// request, so the lead time is the time for which the request has waited, within these limits.
  /// An engine that receives the close during a pass of about 200 ms must still end the request in
  /// time; a longer lead would withdraw many requests that are about to start.
  static constexpr Duration MinLead = std::chrono::milliseconds(300);
  static constexpr Duration MaxLead = std::chrono::milliseconds(1000);

  /// Records that a request for `Model` is sent to `Upstream`.
  UnstartedNumber add(const ModelId &Model, const UpstreamRecord &Upstream, TimePoint Now);
  /// Where a request waited, and for how long.
  struct Wait {
    InstanceId m_Upstream;
    Duration m_Length{0};
  };
  /// Removes a request that started or will not start any more. Nothing if it is not known.
  std::optional<Wait> remove(UnstartedNumber Number, TimePoint Now);

  /// The requests that must be withdrawn by now. A request whose upstream holds newer weights by
  /// now, according to `Balancer`, will start on these and is not included.
  std::vector<UnstartedNumber> overdue(const LoadBalancer &Balancer, TimePoint Now) const;
  /// When overdue() must next be called for a bound: repeatedly from MaxLead before it.
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

  UnstartedNumber m_LastNumber;
  std::map<UnstartedNumber, Entry> m_Entries;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UNSTARTEDREQUESTS_H
