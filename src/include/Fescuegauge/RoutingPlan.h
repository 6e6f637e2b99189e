#ifndef FESCUEGAUGE_ROUTINGPLAN_H
#define FESCUEGAUGE_ROUTINGPLAN_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/RegionRestriction.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fescuegauge {

using RouteId = StrongId<struct RouteIdTag>;
/// A model that the runners of a service load, for example "daka510000".
using ModelId = StrongId<struct ModelIdTag>;
/// Version of a model's weights; 0 means that nothing is loaded.
using WeightsVersion = StrongNumber<struct WeightsVersionTag>;
/// Version of a routing plan; increases, not necessarily by one.
using PlanVersion = StrongNumber<struct PlanVersionTag>;

/// Whether requests on a route may be repeated.
enum class Repeatability {
  /// May be executed more than once.
  Idempotent,
  /// Executed at most once.
  AtMostOnce,
  /// An event stream that another upstream may continue after the last event delivered.
  ResumableStream,
  /// An event stream that must not be executed again.
  SingleStream,
};

constexpr bool isStream(Repeatability Kind) {
  return Kind == Repeatability::ResumableStream || Kind == Repeatability::SingleStream;
}
constexpr bool isRepeatable(Repeatability Kind) {
  return Kind == Repeatability::Idempotent || Kind == Repeatability::ResumableStream;
}

/// A service and its share of a route's requests.
struct ServiceShare {
  ServiceId m_Service;
  double m_Weight = 1;
};

/// Requests with one host and path prefix.
struct Route {
  RouteId m_Id;
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_Prefix;
  Repeatability m_Kind = Repeatability::AtMostOnce;
  /// The longest time until the final answer of a request.
  Duration m_Timeout = std::chrono::seconds(30);
  /// Target for the time to the answer, or to the first event of a stream.
  Duration m_TargetLatency = std::chrono::seconds(1);
  /// Target for the longest gap between two events of a stream.
  Duration m_TargetGap{0};
  /// 0 is the most urgent.
  int m_Priority = 0;
  std::vector<ServiceShare> m_Services;
  /// The largest number of upstreams to which one request may be sent.
  std::uint32_t m_MaxAttempts = 1;
  /// Requires no key of a client account.
  bool m_Public = false;
  /// Where its requests may be served.
  RegionRestriction m_Regions{};
};

/// Published parameters of the model engines of a service.
struct EngineParameters {
  /// Requests that one runner executes concurrently.
  std::uint32_t m_BatchSize = 1;
  /// Layers of the model; a runner that holds fewer cannot execute requests alone.
  std::uint32_t m_Layers = 1;
  /// Decoding steps in one pass of the batch.
  std::uint32_t m_StepsPerPass = 1;
  Duration m_StepTime{0};
  Duration m_StepTimePerRequest{0};
  double m_PromptTokensPerSecond = 0;
  /// Number of chunks of the weights, and the size of one.
  std::uint32_t m_Chunks = 0;
  Bytes m_ChunkSize;
  /// The models that its runners load.
  std::vector<ModelId> m_Models;
  /// Time to load all layers from the staging area.
  Duration m_LoadTime{0};
  /// Means over the service's requests, in tokens.
  double m_MeanPromptTokens = 0;
  double m_MeanAnswerTokens = 0;
};

/// Origin of the weights of all models.
struct WeightsOrigin {
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  BytesPerSecond m_LinkRate;
};

/// The upstreams of a service are cold for a while after their start.
struct ColdStartParameters {
  Duration m_Length{0};
  /// Requests that a cold upstream accepts from all entry instances together.
  RequestRate m_Rate;
};

struct ServicePlan {
  ServiceId m_Id;
  /// Connections that one upstream accepts from all entry instances together; 0 if unlimited.
  std::uint32_t m_ConnectionLimit = 0;
  /// Nothing for a plain service.
  std::optional<EngineParameters> m_Engine;
  std::optional<WeightsOrigin> m_Origin;
  /// Nothing if its upstreams accept as much after their start as later.
  std::optional<ColdStartParameters> m_ColdStart;
};

struct AccountPlan {
  ClientAccountId m_Id;
  std::vector<std::string> m_Keys;
  /// Takes precedence over the priority of the route.
  std::optional<int> m_Priority;
  /// Where its requests may be served, in addition to the restriction of the route.
  RegionRestriction m_Regions{};
};

/// Limits on what a client may send.
struct ClientLimits {
  std::uint32_t m_MaxHeaderBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 4 << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// One version of everything that operators have declared about requests.
struct RoutingPlan {
  PlanVersion m_Version;
  std::vector<Route> m_Routes;
  std::vector<ServicePlan> m_Services;
  /// Empty if requests need no key.
  std::vector<AccountPlan> m_Accounts;
  ClientLimits m_Limits;
};

/// Lookups in one version of the routing plan. Immutable once built.
class RouteTable {
public:
  explicit RouteTable(RoutingPlan Plan);

  PlanVersion version() const { return m_Plan.m_Version; }
  const RoutingPlan &plan() const { return m_Plan; }
  const ClientLimits &limits() const { return m_Plan.m_Limits; }

  /// The route of the host with the longest prefix of `Path`; null if there is none. A port in
  /// `Host` is ignored.
  const Route *find(std::string_view Host, std::string_view Path) const;
  bool requiresKeys() const { return !m_Plan.m_Accounts.empty(); }
  /// Null if no account has that key.
  const AccountPlan *accountOf(const std::string &Key) const;
  const ServicePlan *service(const ServiceId &Id) const;
  /// Whether the routes to the service declare different priorities, so that its requests compete
  /// by rank.
  bool hasRanks(const ServiceId &Service) const { return m_RankedServices.contains(Service); }
  /// The service that is the origin of the weights; null if there is none.
  const ServicePlan *originService() const;
  /// Selects the service for one request, in proportion to the weights of the route's services.
  /// `Draw` is uniform in [0, 1). Null if the route has no service.
  static const ServiceId *selectService(const Route &Matched, double Draw);

private:
  RoutingPlan m_Plan;
  /// Indices of routes by host and prefix.
  std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_ByHost;
  std::unordered_map<std::string, std::size_t> m_AccountByKey;
  std::unordered_set<ServiceId> m_RankedServices;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROUTINGPLAN_H
