#include "Daemon.h"

#include "AttemptService.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/Metrics.h"
#include "HttpService.h"
#include "MembershipService.h"
#include "OperatorService.h"
#include "PlatformService.h"
#include "RequestService.h"
#include "RpcService.h"
#include "TargetsService.h"
#include "WeightsService.h"

#include <csignal>
#include <iostream>

namespace fescuegauge {

using namespace std::chrono_literals;

namespace {

/// Threads for blocking calls to the table, the object store, the origin and the engine's control
/// interface.
constexpr unsigned WorkerThreads = 24;
constexpr Duration DrainPollInterval = 50ms;

/// Increases with each start of an instance as long as the wall clock does not go back. If it does,
/// the membership protocol raises the incarnation.
Incarnation incarnationFromClock() {
  auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Incarnation(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(SinceEpoch).count()));
}

PeerIdentity makeIdentity(const Settings &Configured, Incarnation OwnIncarnation) {
  PeerIdentity Self;
  Self.m_Deployment = Configured.m_Deployment;
  Self.m_Instance = Configured.m_Id;
  Self.m_Incarnation = OwnIncarnation;
  Self.m_DataCentre = Configured.m_DataCentre;
  Self.m_Role = Configured.m_Role;
  Self.m_AttemptSource = Configured.m_Id.str() + "~" + std::to_string(OwnIncarnation.value());
  return Self;
}

} // namespace

Daemon::Daemon(Settings Configured)
    : m_Settings(std::move(Configured)), m_OwnIncarnation(incarnationFromClock()),
      m_Loop(WorkerThreads) {}

void Daemon::addServices() {
  LogOptions Options;
  Options.m_LeastSeverity = m_Settings.m_LogLevel;
  Options.m_Instance = m_Settings.m_Id;
  Options.m_DataCentre = m_Settings.m_DataCentre;
  m_Kernel.add(std::make_unique<LogService>(Options));
  m_Kernel.add(std::make_unique<MetricsService>());
  m_Kernel.add(std::make_unique<PlatformService>(m_Settings, m_Loop));
  m_Kernel.add(
      std::make_unique<RpcService>(m_Settings, makeIdentity(m_Settings, m_OwnIncarnation), m_Loop));
  m_Kernel.add(std::make_unique<MembershipService>(m_Settings, m_OwnIncarnation, m_Loop));
  m_Kernel.add(std::make_unique<TargetsService>(m_Settings, m_OwnIncarnation, m_Loop));
  if (m_Settings.m_Role == InstanceRole::Entry) {
    m_Kernel.add(std::make_unique<RequestService>(m_Settings, m_OwnIncarnation, m_Loop));
  } else {
    m_Kernel.add(std::make_unique<AttemptService>(m_Settings, m_OwnIncarnation, m_Loop));
    if (m_Settings.m_Agent.m_Kind == UpstreamKind::Engine)
      m_Kernel.add(std::make_unique<WeightsService>(m_Settings, m_Loop));
  }
  m_Kernel.add(std::make_unique<OperatorService>(m_Settings, m_Loop));
  // Must start last, since the other services add their routes to it when they start.
  m_Kernel.add(std::make_unique<HttpService>(m_Settings));
}

void Daemon::printPorts() const {
  auto HttpPort = m_Kernel.find<HttpService>("http").port();
  auto RpcPort = m_Kernel.find<RpcService>("rpc").node().port();
  logEvent(Severity::Info, "started", {{"httpPort", HttpPort}, {"rpcPort", RpcPort}});
  std::cout << "listening http=" << HttpPort << " rpc=" << RpcPort << std::endl;
}

int Daemon::run() {
  addServices();
  m_Kernel.start();
  printPorts();
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  int Signal = 0;
  sigwait(&Signals, &Signal);
  drain();
  m_Kernel.stop();
  m_Loop.stop();
  return 0;
}

void Daemon::drain() {
  logEvent(Severity::Info, "drain_started",
           {{"drainLimitSeconds", m_Settings.m_Limits.m_DrainLimit}});
  m_Kernel.beginDrain();
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  TimePoint Deadline = EventLoop::now() + m_Settings.m_Limits.m_DrainLimit;
  while (!m_Kernel.isDrained()) {
    timespec PollInterval{0, std::chrono::nanoseconds(DrainPollInterval).count()};
    bool HasSecondSignal = sigtimedwait(&Signals, nullptr, &PollInterval) > 0;
    if (HasSecondSignal || EventLoop::now() > Deadline) {
      logEvent(Severity::Warning, "drain_cut_short",
               {{"reason", HasSecondSignal ? "second signal" : "drain limit"}});
      return;
    }
  }
  logEvent(Severity::Info, "drained");
}

} // namespace fescuegauge
