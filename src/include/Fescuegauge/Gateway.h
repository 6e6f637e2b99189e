#ifndef FESCUEGAUGE_GATEWAY_H
#define FESCUEGAUGE_GATEWAY_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/CallHeaders.h"
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
  CallHeaders m_Headers;
  /// The process ends this long after beginDrain().
  Duration m_StopTime = std::chrono::milliseconds(7600);
  std::uint64_t m_Seed = 0;
};

/// The data path of an entry instance on one event loop: takes callers' HTTP requests, chooses an
/// upstream for each, and passes the answer on as it arrives.
///
/// Decisions are made by LoadBalancer, DispatchQueue, RetryBudget and CrashSuspects; this class
/// connects them to sockets and timers. All functions are called on the loop's thread.
class Gateway {
public:
  Gateway(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics);
  ~Gateway();
  Gateway(const Gateway &) = delete;
  Gateway &operator=(const Gateway &) = delete;

  /// Accepts callers from now on. Throws boost::system::system_error if the address is taken.
  void listen(const Endpoint &Address);

  /// Puts a plan in force. An older one than the one in force is ignored.
  void setPlan(std::shared_ptr<const RouteTable> Plan);
  void setUpstreams(std::span<const UpstreamRecord> Listed);
  /// From now on, requests for `Model` go only to upstreams with at least this version.
  void setLeastVersion(const ModelId &Model, WeightsVersion Least);
  /// From when on no request may begin on older weights. Requests go to an upstream with older
  /// weights only if they are expected to begin before, and those that still wait there shortly
  /// before a bound are withdrawn.
  void setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds);
  void onPeerReport(const InstanceId &Peer, UsageByUpstream Use,
                    std::span<const SuspectDelta> Suspects, std::span<const UpstreamStart> Leaving,
                    std::span<const RateStatement> Rates);
  /// The entry instances that divide the rates that upstreams name among them. Until it is called,
  /// this instance has no part in them.
  void setInstances(KnownInstance Self, std::vector<KnownInstance> Others);
  /// What upstreams said of their rates in answers to this instance.
  std::vector<RateStatement> ratesToTell() const;
  /// Upstreams that said that they leave, for the other entry instances.
  std::vector<UpstreamStart> leavingForPeers() const;
  /// See LoadBalancer::onLoading().
  void onLoading(const LoadNotice &Notice);
  UsageByUpstream ownUsage() const;
  std::vector<SuspectDelta> takeSuspects();

  /// Whether a plan is in force and the instance is not about to stop.
  bool isReady() const;
  /// Requests are still served for DrainGrace, but work that may run only once only if its time is
  /// over before the process ends; each answer asks its caller to use another connection. Shortly
  /// before that end, all requests in progress end as if their time were over.
  void beginDrain();
  bool isDraining() const;
  /// What callers ask of this instance.
  RequestRate demand() const;
  /// Whether the grace time is over and no request is in progress.
  bool isDrained() const;

  boost::json::object dumpState() const;

private:
  class Implementation;
  std::shared_ptr<Implementation> m_Implementation;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_GATEWAY_H
