#ifndef FESCUEGAUGE_LIBGATEWAY_CLIENTADMISSION_H
#define FESCUEGAUGE_LIBGATEWAY_CLIENTADMISSION_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/ClientMemoryBudget.h"
#include "Fescuegauge/Metrics.h"

#include <functional>
#include <map>

namespace fescuegauge {

/// Why a client connection was refused or closed.
enum class ClientLimit {
  /// No room for the request within ClientMemoryBudget::MaxWait.
  Memory,
  /// The request was read without progress while others waited for room.
  Stalled,
  /// A body missed its BodyProgress::deadline().
  SlowBody,
  /// Too many connections.
  Connections,
};

/// Delivers the decisions of a ClientMemoryBudget to the connections of a gateway, and reports them
/// in metrics and log lines.
class ClientAdmission {
public:
  /// Interval of decisions while connections wait.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(50);
  /// Minimum time between two log lines.
  static constexpr Duration LogInterval = std::chrono::seconds(1);

  using Admission = ClientMemoryBudget::Admission;
  using OnDecision = std::function<void(ClientMemoryBudget::Action)>;

  ClientAdmission(const net::any_io_executor &Executor, ClientMemoryLimits Limits,
                  MetricsService &Metrics);

  const ClientMemoryBudget &budget() const { return m_Budget; }

  /// Registers a connection. `Callback` is called until remove().
  ClientConnectionNumber add(OnDecision Callback);
  void remove(ClientConnectionNumber Number);
  /// Closes a connection if there are too many.
  void closeExcess();

  /// See ClientMemoryBudget.
  void onIdle(ClientConnectionNumber Number);
  void onReading(ClientConnectionNumber Number) { m_Budget.onReading(Number, monotonicNow()); }
  void onBytes(ClientConnectionNumber Number, std::size_t Count) {
    m_Budget.onBytes(Number, Count, monotonicNow());
  }
  Admission hold(ClientConnectionNumber Number, std::size_t Bytes, std::size_t MaxBytes);
  void onServing(ClientConnectionNumber Number, std::size_t Bytes);
  void onClosing(ClientConnectionNumber Number);
  bool resizeResponse(ResponsePart Part, std::size_t Before, std::size_t After);

  /// Counts and logs a connection that was refused or closed.
  void report(ClientLimit Reason);
  void updateGauges();

private:
  void scheduleDecisions(Duration Delay);
  void applyDecisions();
  void deliver(const ClientMemoryBudget::Decision &Due);

  ClientMemoryBudget m_Budget;
  std::map<ClientConnectionNumber, OnDecision> m_Callbacks;
  OneShotTimer m_Timer;
  CounterMetric &m_Limited;
  GaugeMetric &m_Bytes;
  GaugeMetric &m_Connections;
  TimePoint m_LoggedAt;
  std::size_t m_Unlogged = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBGATEWAY_CLIENTADMISSION_H
