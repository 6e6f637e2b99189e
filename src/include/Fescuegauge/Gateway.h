#ifndef FESCUEGAUGE_GATEWAY_H
#define FESCUEGAUGE_GATEWAY_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/CallHeaderNames.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/Metrics.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <boost/json/object.hpp>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace fescuegauge {

struct GatewayOptions {
  InstanceId m_Instance;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  CallHeaderNames m_HeaderNames;
  /// Time from beginDrain() to the end of the process.
  Duration m_StopTime = std::chrono::milliseconds(7600);
  std::uint64_t m_Seed = 0;
  /// See LoadBalancerOptions.
  std::optional<ColdBounds> m_ColdBounds;
  /// Limits on the memory and the descriptors of the process; 0 if unknown. See ClientMemoryLimits.
  std::size_t m_MemoryBytes = 0;
  std::size_t m_Descriptors = 0;
};

/// HTTP reverse proxy of an entry instance on one event loop. Accepts client requests, selects an
/// upstream for each, and streams the response back.
///
/// LoadBalancer, DispatchQueue, RetryBudget and CrashSuspects make the decisions; this class
/// connects them to sockets and timers. All functions are called on the loop's thread.
class Gateway {
public:
  Gateway(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Starts accepting connections. Throws boost::system::system_error if the address is in use.
  void listen(const Endpoint &Address);

  /// Puts a plan in force. A plan older than the one in force is ignored.
  void setPlan(std::shared_ptr<const RouteTable> Plan);
  void setUpstreams(std::span<const UpstreamRecord> Listed);
  /// Restricts further requests for `Model` to upstreams with at least this version.
  void setMinVersion(const ModelId &Model, WeightsVersion Version);
  /// Sets the times after which no request may begin on weights older than a version. A request
  /// goes to an upstream with older weights only if it is expected to begin before the bound, and
  /// is withdrawn if it is still queued there shortly before the bound.
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  void onPeerReport(const InstanceId &Peer, UsageByUpstream Usage, const SuspectUpdate &Suspects,
                    std::span<const UpstreamStart> Leaving, std::span<const RateStatement> Rates,
                    std::span<const ColdNotice> Cold = {});
  /// An operator evacuated a data centre, or took it back. Its upstreams get no requests meanwhile.
  void setEvacuated(const DataCentreId &DataCentre, bool IsEvacuated);
  /// Sets the entry instances that share the rate limits of upstreams. Until the first call, this
  /// instance has no share of them. `IsComplete` tells whether the platform's list of instances has
  /// been read; before, this instance has no share of the limits of cold upstreams.
  void setInstances(KnownInstance Self, std::vector<KnownInstance> Others, bool IsComplete = true);
  /// Rate limits that upstreams stated in responses to this instance, for the other instances.
  std::vector<RateStatement> ratesForPeers() const;
  /// Upstreams that may be cold by what this instance saw, for the other instances.
  std::vector<ColdNotice> coldForPeers() const;
  void setColdBounds(std::optional<ColdBounds> Bounds);
  /// Upstreams that announced that they are leaving, for the other entry instances.
  std::vector<UpstreamStart> leavingForPeers() const;
  /// See LoadBalancer::onLoading().
  void onLoading(const LoadNotice &Notice);
  UsageByUpstream ownUsage() const;
  /// News on crash suspects for the other entry instances, and whether it is to be sent at once.
  SuspectUpdate takeSuspectUpdate();
  bool isSuspectUpdateUrgent() const;

  /// Whether a plan is in force and the instance is not draining.
  bool isReady() const;
  /// Starts draining. Requests are still served for DrainGrace, at-most-once requests only if their
  /// deadline is before the end of the process. Each response closes its connection. Shortly before
  /// the end of the process, all requests in progress end as if their deadline had passed.
  void beginDrain();
  bool isDraining() const;
  /// Rate of client requests to this instance.
  RequestRate demand() const;
  /// Whether the grace period is over, no request is in progress and no connection waits to be
  /// accepted, as after a pause of the process.
  bool isDrained() const;

  boost::json::object dumpState() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_GATEWAY_H
