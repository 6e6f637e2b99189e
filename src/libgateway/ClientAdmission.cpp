#include "ClientAdmission.h"

#include "Fescuegauge/Log.h"

#include <utility>

namespace fescuegauge {

namespace {

std::string_view clientLimitName(ClientLimit Reason) {
  switch (Reason) {
  case ClientLimit::Memory:
    return "memory";
  case ClientLimit::Stalled:
    return "stalled";
  case ClientLimit::SlowBody:
    return "slow-body";
  case ClientLimit::Connections:
    return "connections";
  }
  return "unknown";
}

} // namespace

ClientAdmission::ClientAdmission(const net::any_io_executor &Executor, ClientMemoryLimits Limits,
                                 MetricsService &Metrics)
    : m_Budget(Limits), m_Timer(Executor),
      m_Limited(Metrics.counter({"fescuegauge_gateway_clients_limited_total",
                                 "Client connections refused or closed by a limit on resources.",
                                 {{"reason", 8}}})),
      m_Bytes(Metrics.gauge({"fescuegauge_gateway_client_bytes",
                             "Memory charged for client connections.",
                             {{"kind", 8}}})),
      m_Connections(Metrics.gauge(
          {"fescuegauge_gateway_client_connections", "Open client connections.", {{"state", 4}}})) {
}

ClientConnectionNumber ClientAdmission::add(OnDecision Callback) {
  const ClientConnectionNumber Number = m_Budget.add(monotonicNow());
  m_Callbacks.emplace(Number, std::move(Callback));
  return Number;
}

void ClientAdmission::remove(ClientConnectionNumber Number) {
  m_Callbacks.erase(Number);
  m_Budget.remove(Number);
  scheduleDecisions(Duration(0));
}

void ClientAdmission::closeExcess() {
  if (const auto Excess = m_Budget.takeExcess(monotonicNow()))
    deliver(*Excess);
}

void ClientAdmission::onIdle(ClientConnectionNumber Number) {
  m_Budget.onIdle(Number, monotonicNow());
  scheduleDecisions(Duration(0));
}

ClientAdmission::Admission ClientAdmission::hold(ClientConnectionNumber Number, std::size_t Bytes,
                                                 std::size_t MaxBytes) {
  const Admission Result = m_Budget.hold(Number, Bytes, MaxBytes, monotonicNow());
  if (Result == Admission::Wait)
    scheduleDecisions(Duration(0));
  return Result;
}

void ClientAdmission::onServing(ClientConnectionNumber Number, std::size_t Bytes) {
  m_Budget.onServing(Number, Bytes);
  scheduleDecisions(Duration(0));
}

void ClientAdmission::onClosing(ClientConnectionNumber Number) {
  m_Budget.onClosing(Number);
  scheduleDecisions(Duration(0));
}

bool ClientAdmission::resizeResponse(ResponsePart Part, std::size_t Before, std::size_t After) {
  const bool Fits = m_Budget.resizeResponse(Part, Before, After);
  if (After < Before)
    scheduleDecisions(Duration(0));
  return Fits;
}

void ClientAdmission::scheduleDecisions(Duration Delay) {
  if (m_Budget.hasWaiting())
    m_Timer.set(Delay, [this] { applyDecisions(); });
}

void ClientAdmission::applyDecisions() {
  for (const ClientMemoryBudget::Decision &Due : m_Budget.takeDecisions(monotonicNow()))
    deliver(Due);
  scheduleDecisions(CheckInterval);
}

void ClientAdmission::deliver(const ClientMemoryBudget::Decision &Due) {
  if (const auto Found = m_Callbacks.find(Due.m_Connection); Found != m_Callbacks.end())
    Found->second(Due.m_Action);
}

void ClientAdmission::report(ClientLimit Reason) {
  m_Limited.add({clientLimitName(Reason)});
  ++m_Unlogged;
  const TimePoint Now = monotonicNow();
  if (Now - m_LoggedAt < LogInterval)
    return;
  m_LoggedAt = Now;
  logEvent(Severity::Warning, "clients_limited",
           {{"reason", clientLimitName(Reason)},
            {"count", std::exchange(m_Unlogged, 0)},
            {"connections", m_Budget.connections()},
            {"waiting", m_Budget.waiting()},
            {"smallBytes", m_Budget.smallBytes()},
            {"largeBytes", m_Budget.largeBytes()},
            {"responseBytes", m_Budget.responseBytes()},
            {"limitBytes", m_Budget.limits().m_Bytes}});
}

void ClientAdmission::updateGauges() {
  m_Bytes.set({"small"}, static_cast<double>(m_Budget.smallBytes()));
  m_Bytes.set({"large"}, static_cast<double>(m_Budget.largeBytes()));
  m_Bytes.set({"responses"}, static_cast<double>(m_Budget.responseBytes()));
  m_Connections.set({"open"}, static_cast<double>(m_Budget.connections()));
  m_Connections.set({"waiting"}, static_cast<double>(m_Budget.waiting()));
}

} // namespace fescuegauge
