#include "Fescuegauge/Gateway.h"

#include "ClientSession.h"
#include "Fescuegauge/Log.h"
#include "GatewayCore.h"

#include <list>
#include <poll.h>

namespace fescuegauge {

/// Accepts connections, owns the sessions and runs periodic housekeeping.
class Gateway::Implementation : public std::enable_shared_from_this<Gateway::Implementation> {
public:
  /// Interval at which idle connections are closed and expired state is removed.
  static constexpr Duration HousekeepingInterval = std::chrono::seconds(1);
  /// Delay after a failed accept, for example because no file descriptors are left.
  static constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(50);

  Implementation(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics)
      : m_Core(std::make_shared<GatewayCore>(Loop, std::move(Options), Metrics)), m_Acceptor(Loop),
        m_HousekeepingTimer(Loop.get_executor()) {}

  GatewayCore &core() { return *m_Core; }

  void listen(const Endpoint &Address) {
    const Tcp::endpoint Local = tcpEndpoint(Address);
    m_Acceptor.open(Local.protocol());
    m_Acceptor.set_option(net::socket_base::reuse_address(true));
    m_Acceptor.bind(Local);
    m_Acceptor.listen(net::socket_base::max_listen_connections);
    spawnPersistentTask(m_Core->executor(), "accept",
                        [Self = shared_from_this()] { return accept(Self); });
    scheduleHousekeeping();
  }

  /// Returns true if a connection was opened and not accepted yet.
  bool hasConnectionsToAccept() {
    pollfd Polled{m_Acceptor.native_handle(), POLLIN, 0};
    return ::poll(&Polled, 1, 0) > 0;
  }

  void beginDrain() {
    if (m_Core->isDraining())
      return;
    m_Core->beginDrain();
    m_Core->loadBalancer().rates().releaseParts();
    logEvent(Severity::Info, "drain_started",
             {{"requests", m_Core->requestsInProgress()}, {"sessions", m_Core->m_Sessions}});
  }

private:
  static Task<> accept(std::shared_ptr<Implementation> Self) {
    while (Self->m_Acceptor.is_open()) {
      auto [Error, Socket] = co_await Self->m_Acceptor.async_accept(AsTuple);
      if (Error == net::error::operation_aborted)
        co_return;
      if (Error) {
        logEvent(Severity::Warning, "accept_failed", {{"reason", Error.message()}});
        co_await sleepFor(AcceptRetryDelay);
        continue;
      }
      auto Session = std::make_shared<ClientSession>(Self->m_Core, std::move(Socket));
      Self->m_Sessions.push_back(Session);
      Self->m_Core->admission().closeExcess();
      spawnTask(Self->m_Core->executor(), "session", Session->run());
    }
  }

  void scheduleHousekeeping() {
    m_HousekeepingTimer.set(HousekeepingInterval, [Weak = weak_from_this()] {
      auto Self = Weak.lock();
      if (!Self)
        return;
      Self->scheduleHousekeeping();
      Self->m_Core->pool().closeExpired();
      Self->m_Core->checkSuspects();
      Self->m_Core->logColdChanges();
      Self->m_Core->admission().updateGauges();
      Self->m_Sessions.remove_if([](const auto &Each) { return Each.expired(); });
      if (Self->m_Core->isRefusingRequests())
        for (const auto &Each : Self->m_Sessions)
          if (auto Session = Each.lock())
            Session->closeIfIdle();
    });
  }

  std::shared_ptr<GatewayCore> m_Core;
  Tcp::acceptor m_Acceptor;
  OneShotTimer m_HousekeepingTimer;
  std::list<std::weak_ptr<ClientSession>> m_Sessions;
};

Gateway::Gateway(net::io_context &Loop, GatewayOptions Options, MetricsService &Metrics)
    : m_Implementation(std::make_shared<Implementation>(Loop, std::move(Options), Metrics)) {}

Gateway::~Gateway() = default;

void Gateway::listen(const Endpoint &Address) { m_Implementation->listen(Address); }

void Gateway::setPlan(std::shared_ptr<const RouteTable> Plan) {
  GatewayCore &Core = m_Implementation->core();
  if (Core.plan() && Plan->version() <= Core.plan()->version()) {
    if (Plan->version() < Core.plan()->version())
      logEvent(Severity::Warning, "old_plan_ignored",
               {{"plan", Plan->version()}, {"inForce", Core.plan()->version()}});
    return;
  }
  logEvent(Severity::Info, "plan_in_force",
           {{"plan", Plan->version()},
            {"routes", Plan->plan().m_Routes.size()},
            {"services", Plan->plan().m_Services.size()},
            {"accounts", Plan->plan().m_Accounts.size()}});
  Core.setPlan(std::move(Plan));
}

void Gateway::setUpstreams(std::span<const UpstreamRecord> Listed) {
  GatewayCore &Core = m_Implementation->core();
  Core.loadBalancer().rates().cold().onListed(Listed, monotonicNow());
  Core.loadBalancer().setUpstreams(Listed);
  Core.logColdChanges();
  Core.placeWaiting();
}

void Gateway::setColdBounds(std::optional<ColdBounds> Bounds) {
  m_Implementation->core().loadBalancer().rates().cold().setBounds(Bounds);
}

void Gateway::setMinVersion(const ModelId &Model, WeightsVersion Version) {
  m_Implementation->core().loadBalancer().setMinVersion(Model, Version);
}

void Gateway::setWeightsBounds(const ModelId &Model, std::vector<WeightsBound> Bounds) {
  m_Implementation->core().setWeightsBounds(Model, std::move(Bounds));
}

void Gateway::onPeerReport(const InstanceId &Peer, UsageByUpstream Usage,
                           const SuspectUpdate &Suspects, std::span<const UpstreamStart> Leaving,
                           std::span<const RateStatement> Rates, std::span<const ColdNotice> Cold) {
  GatewayCore &Core = m_Implementation->core();
  for (const ColdNotice &Each : Cold)
    Core.loadBalancer().rates().cold().onPeerNotice(Each, monotonicNow());
  Core.logColdChanges();
  for (const RateStatement &Each : Rates)
    Core.recordPeerRate(Peer, Each);
  for (const UpstreamStart &Each : Leaving)
    if (Core.loadBalancer().onLeaving(Each, monotonicNow()))
      logEvent(Severity::Info, "upstream_leaving", {{"upstream", Each.m_Id}, {"toldBy", Peer}});
  Core.loadBalancer().onPeerReport(Peer, std::move(Usage), monotonicNow());
  Core.mergeSuspects(Suspects);
  Core.placeWaiting();
}

void Gateway::onLoading(const LoadNotice &Notice) {
  GatewayCore &Core = m_Implementation->core();
  Core.loadBalancer().onLoading(Notice.m_Upstream, monotonicNow() + Notice.m_TimeLeft);
  if (Notice.m_TimeLeft == Duration(0))
    Core.placeWaiting();
}

void Gateway::setEvacuated(const DataCentreId &DataCentre, bool IsEvacuated) {
  GatewayCore &Core = m_Implementation->core();
  if (!Core.loadBalancer().setEvacuated(DataCentre, IsEvacuated, monotonicNow()))
    return;
  logEvent(
      Severity::Warning, IsEvacuated ? "evacuation_begun" : "evacuation_ended",
      {{"dataCentre", DataCentre}, {"inFlight", Core.loadBalancer().requestsInFlight(DataCentre)}});
  Core.logColdChanges();
  Core.placeWaiting();
}

void Gateway::setInstances(KnownInstance Self, std::vector<KnownInstance> Others, bool IsComplete) {
  if (!isDraining())
    m_Implementation->core().loadBalancer().rates().setInstances(
        std::move(Self), std::move(Others),
        IsComplete ? std::optional(monotonicNow()) : std::nullopt);
}

std::vector<ColdNotice> Gateway::coldForPeers() const {
  return m_Implementation->core().loadBalancer().rates().cold().noticesForPeers(monotonicNow());
}

std::vector<RateStatement> Gateway::ratesForPeers() const {
  return m_Implementation->core().loadBalancer().rates().statements().updateForPeers(
      monotonicNow());
}

std::vector<UpstreamStart> Gateway::leavingForPeers() const {
  return m_Implementation->core().loadBalancer().leavingForPeers(monotonicNow());
}

UsageByUpstream Gateway::ownUsage() const {
  return m_Implementation->core().loadBalancer().ownUsage();
}

SuspectUpdate Gateway::takeSuspectUpdate() {
  return m_Implementation->core().suspects().takeUpdate(monotonicNow());
}

bool Gateway::isSuspectUpdateUrgent() const {
  return m_Implementation->core().suspects().isUrgent(monotonicNow());
}

bool Gateway::isReady() const {
  GatewayCore &Core = m_Implementation->core();
  return Core.plan() && !Core.isDraining();
}

void Gateway::beginDrain() { m_Implementation->beginDrain(); }

RequestRate Gateway::demand() const {
  return m_Implementation->core().m_Demand.rate(monotonicNow());
}

bool Gateway::isDraining() const { return m_Implementation->core().isDraining(); }

bool Gateway::isDrained() const {
  GatewayCore &Core = m_Implementation->core();
  return Core.isRefusingRequests() && Core.requestsInProgress() == 0 &&
         Core.requestsBeingRead() == 0 && !m_Implementation->hasConnectionsToAccept();
}

boost::json::object Gateway::dumpState() const {
  GatewayCore &Core = m_Implementation->core();
  boost::json::object InFlight;
  boost::json::object UnreadTokens;
  for (const auto &[Upstream, Use] : Core.loadBalancer().ownUsage()) {
    InFlight[Upstream.str()] = Use.m_Requests;
    UnreadTokens[Upstream.str()] = Use.m_UnreadTokens;
  }
  boost::json::object Rates;
  const SharedRates &Shared = Core.loadBalancer().rates();
  for (const auto &[Upstream, Rate] : Shared.statements().rates(monotonicNow()))
    Rates[Upstream.m_Id.str()] = boost::json::object{
        {"perSecond", Rate.perSecond()}, {"ownPart", Shared.partAt(Upstream).perSecond()}};
  boost::json::object Evacuated;
  for (const auto &[DataCentre, Since] : Core.loadBalancer().evacuations().all())
    Evacuated[DataCentre.str()] =
        boost::json::object{{"sinceSeconds", toSeconds(monotonicNow() - Since)},
                            {"inFlight", Core.loadBalancer().requestsInFlight(DataCentre)}};
  boost::json::object Cold;
  for (const auto &[Upstream, Remaining] : Shared.cold().cold(monotonicNow()))
    Cold[Upstream.m_Id.str()] =
        boost::json::object{{"remainingSeconds", toSeconds(Remaining)},
                            {"ownPart", Shared.coldPartAt(Upstream).perSecond()}};
  boost::json::array Quarantines;
  for (const Quarantine &Each : Core.suspects().quarantines(monotonicNow())) {
    boost::json::array Keys;
    for (const SuspectKey &Key : Each.m_Keys)
      Keys.emplace_back(Key.str());
    Quarantines.push_back(
        boost::json::object{{"keys", std::move(Keys)},
                            {"account", Each.m_Account.value_or(ClientAccountId()).str()},
                            {"lastCrash", Each.m_LastCrash.m_Id.str()},
                            {"sinceCrashSeconds", toSeconds(Each.m_Age)}});
  }
  return {{"planVersion", Core.plan() ? Core.plan()->version().value() : 0},
          {"upstreams", Core.loadBalancer().size()},
          {"requests", Core.requestsInProgress()},
          {"sessions", Core.m_Sessions},
          {"draining", Core.isDraining()},
          {"connectionsOpened", Core.pool().opened()},
          {"inFlight", std::move(InFlight)},
          {"unreadTokens", std::move(UnreadTokens)},
          {"namedRates", std::move(Rates)},
          {"evacuatedDataCentres", std::move(Evacuated)},
          {"coldUpstreams", std::move(Cold)},
          {"crashSuspects", Core.suspects().size()},
          {"quarantines", std::move(Quarantines)}};
}

} // namespace fescuegauge
