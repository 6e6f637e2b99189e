#ifndef FESCUEGAUGE_RANKRESERVATION_H
#define FESCUEGAUGE_RANKRESERVATION_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <map>

namespace fescuegauge {

/// How much of the engines that a request may use is taken.
struct EngineOccupancy {
  double m_Requests = 0;
  double m_Slots = 0;
  std::size_t m_Engines = 0;

  double share() const { return m_Slots > 0 ? m_Requests / m_Slots : 0; }
  double slotsPerEngine() const {
    return m_Engines > 0 ? m_Slots / static_cast<double>(m_Engines) : 0;
  }
};

/// The time for which a request with a mean answer would take a slot of an engine whose batch is
/// full. Reading a prompt takes the engine from all slots.
Duration slotTime(const EngineParameters &Engine, std::uint32_t PromptTokens);

/// The rank of a request in the queue of an engine, from 0, the first, to 9. Requests that can
/// still be on time precede late ones, and either are sorted by priority.
int engineRank(int Priority, bool IsLate);

/// Keeps engine slots free for urgent requests (trunk reservation).
///
/// Meant for a crowd of low-priority requests that arrives while urgent ones continue to arrive, or
/// shortly before more of them do. A queue sorted by priority does not help there, because a
/// request that runs is not preempted and holds its slot for about a second. Requests of lower
/// priority are therefore admitted only up to a share of the slots. The rest is left to the more
/// urgent ones, in proportion to what the work of these varies by: of n slots that they use on
/// average at an engine, about the root of n more are needed from time to time. Nothing is reserved
/// while no urgent requests arrive.
class RankReservation {
public:
  /// Time constant of the decaying sums of arriving work. At an entry instance with 10 requests per
  /// second, a sum holds about 20 of them.
  static constexpr Duration TimeConstant = std::chrono::seconds(2);
  /// Maximum share of the slots that is reserved.
  static constexpr double MaxReservedShare = 0.4;
  static constexpr std::size_t MaxPriorities = 16;

  /// Records the arrival of a first request that takes `Work` of an engine slot. Retries are left
  /// out, because they would count a request several times.
  void onArrival(const ServiceId &Service, int Priority, Duration Work, TimePoint Now);
  /// The share of a service's slots that requests of this priority leave free.
  double reservedShare(const ServiceId &Service, int Priority, double SlotsPerEngine) const;
  /// Whether a request of this priority may take a slot.
  bool admits(const ServiceId &Service, int Priority, const EngineOccupancy &Use) const {
    return Use.share() + reservedShare(Service, Priority, Use.slotsPerEngine()) <= 1;
  }

private:
  struct Demand {
    /// Decaying sums of work by priority, in seconds of slot time.
    std::map<int, double> m_Work;
    TimePoint m_UpdatedAt;
  };
  std::map<ServiceId, Demand> m_Demands;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RANKRESERVATION_H
