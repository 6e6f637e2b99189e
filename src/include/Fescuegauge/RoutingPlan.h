#ifndef FESCUEGAUGE_ROUTINGPLAN_H
#define FESCUEGAUGE_ROUTINGPLAN_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

using RouteId = StrongId<struct RouteIdTag>;
/// A model that a service's runners load, for example "daka510000".
using ModelId = StrongId<struct ModelIdTag>;
/// Version of a model's weights; 0 means that nothing is loaded.
using WeightsVersion = StrongNumber<struct WeightsVersionTag>;
/// Version of a routing plan; grows in uneven steps.
using PlanVersion = StrongNumber<struct PlanVersionTag>;

/// What may be repeated of the requests on a route.
enum class Repeatability {
  /// May run more than once.
  Idempotent,
  /// Runs at most once.
  AtMostOnce,
  /// A stream of events that another upstream may continue after the last event delivered.
  ResumableStream,
  /// A stream that must not be run again.
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
  /// The longest time for which a request may be kept without a final answer.
  Duration m_Timeout = std::chrono::seconds(30);
  /// The time within which an answer, or the first event of a stream, has its full value.
  Duration m_TargetLatency = std::chrono::seconds(1);
  /// The longest pause between two events of a stream that is on time.
  Duration m_TargetGap{0};
  /// 0 is the most urgent.
  int m_Priority = 0;
  std::vector<ServiceShare> m_Services;
  /// The most upstreams to which one request may be sent.
  std::uint32_t m_MaxAttempts = 1;
  /// Needs no key of a client account.
  bool m_Public = false;
};

/// Published constants of a service's model engines.
struct EngineParameters {
  /// Requests that one runner runs at the same time.
  std::uint32_t m_BatchSize = 1;
  /// Layers of the model; a runner that holds fewer cannot run requests alone.
  std::uint32_t m_Layers = 1;
  /// Decoding steps in one pass of the batch.
  std::uint32_t m_StepsPerPass = 1;
  Duration m_StepTime{0};
  Duration m_StepTimePerRequest{0};
  double m_PromptTokensPerSecond = 0;
  /// Number of pieces into which the weights are cut, and the size of one.
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

/// Where the weights of all models come from.
struct WeightsOrigin {
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  BytesPerSecond m_LinkRate;
};

struct ServicePlan {
  ServiceId m_Id;
  /// Connections that one upstream accepts from all entry instances together; 0 if unlimited.
  std::uint32_t m_ConnectionLimit = 0;
  /// Nothing for a plain service.
  std::optional<EngineParameters> m_Engine;
  std::optional<WeightsOrigin> m_Origin;
};

struct AccountPlan {
  ClientAccountId m_Id;
  std::vector<std::string> m_Keys;
  /// Goes before the route's priority.
  std::optional<int> m_Priority;
};

/// Bounds on what a client may send.
struct ClientLimits {
  std::uint32_t m_MaxHeaderBytes = 16384;
  std::uint64_t m_MaxBodyBytes = 4 << 20;
  Duration m_HeaderTimeout = std::chrono::seconds(3);
  Duration m_IdleTimeout = std::chrono::seconds(15);
};

/// Everything that operators have declared about requests, as one version.
struct RoutingPlan {
  PlanVersion m_Version;
  std::vector<Route> m_Routes;
  std::vector<ServicePlan> m_Services;
  /// Empty if requests need no key.
  std::vector<AccountPlan> m_Accounts;
  ClientLimits m_Limits;
};

/// Look-ups in one version of the routing plan. Immutable once built.
class RouteTable {
public:
  explicit RouteTable(RoutingPlan Plan);

  PlanVersion version() const { return m_Plan.m_Version; }
  const RoutingPlan &plan() const { return m_Plan; }
  const ClientLimits &limits() const { return m_Plan.m_Limits; }

  /// The route of that host with the longest prefix of `Path`; null if there is none. A port in
  /// `Host` is ignored.
  const Route *find(std::string_view Host, std::string_view Path) const;
  bool needsKeys() const { return !m_Plan.m_Accounts.empty(); }
  /// Null if no account has that key.
  const AccountPlan *accountOf(const std::string &Key) const;
  const ServicePlan *service(const ServiceId &Id) const;
  /// The service that the weights come from; null if there is none.
  const ServicePlan *originService() const;
  /// The service for one request, in proportion to the weights of the route's services. `Draw` is
  /// uniform in [0, 1). Null if the route names no service.
  static const ServiceId *serviceFor(const Route &Taken, double Draw);

private:
  RoutingPlan m_Plan;
  /// Indices of routes by host and prefix.
  std::unordered_map<std::string, std::map<std::string, std::size_t, std::less<>>> m_ByHost;
  std::unordered_map<std::string, std::size_t> m_AccountByKey;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROUTINGPLAN_H
