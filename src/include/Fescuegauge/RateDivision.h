#ifndef FESCUEGAUGE_RATEDIVISION_H
#define FESCUEGAUGE_RATEDIVISION_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <optional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// An entry instance as seen by the other ones.
struct KnownInstance {
  Endpoint m_Address;
  DataCentreId m_DataCentre;
  /// Rate of client requests to it; nothing while unknown.
  std::optional<RequestRate> m_Demand{};
  /// Whether its messages arrive on schedule.
  bool m_IsLive = true;

  bool operator==(const KnownInstance &) const = default;
};

/// How a rate is divided.
struct DivisionRule {
  /// Largest number of instances that have a part.
  double m_MaxParts = 1;
  /// For a bound that must hold also while instances cannot reach each other. No instance has a
  /// part unless it hears from the majority of those that it knows in the upstream's data centre,
  /// so that two groups that are cut off from each other never both divide the rate. Instances of
  /// other data centres have a part only if none is known in the upstream's data centre.
  bool m_NeedsMajority = false;
};

/// Divides a rate that holds for all entry instances together, without a coordinator.
///
/// Meant for rates that are small in relation to the number of instances. If each instance had a
/// part of such a rate, the first request of each would exceed it. Instead, a few instances have
/// equal parts and the others none. They are chosen by rendezvous hashing, which gives the same
/// result at all instances. Instances in the upstream's data centre are chosen first: they prefer
/// its upstreams and exchange messages within a second, so their lists of instances rarely differ.
/// Instances with low demand get no part, because they could not use it.
class RateDivision {
public:
  /// Number of instances that have a part of any rate. A single one could not use a rate above the
  /// demand of its own clients, and the rate would be unused while that instance is cut off.
  static constexpr double MinParts = 3;
  /// One further instance has a part for each such step of the rate. Each part may begin with an
  /// immediate request, so the total may exceed the rate by the number of parts.
  static constexpr RequestRate RatePerExtraPart{2};
  /// An instance has a part if its demand is at least this share of the mean demand.
  static constexpr double MinDemandShare = 0.25;

  /// Until the list of instances is set, this instance has no part of any rate.
  void setInstances(KnownInstance Self, std::vector<KnownInstance> Others);
  void clear() { m_Instances.clear(); }

  /// The part of `Rate` that this instance may use at an upstream; 0 if it has none. `Key`
  /// identifies the upstream.
  RequestRate partOf(std::string_view Key, const DataCentreId &DataCentre, RequestRate Rate,
                     const DivisionRule &Rule) const;
  /// The same with as many parts as are needed to use a rate that an upstream names.
  RequestRate partOf(std::string_view Key, const DataCentreId &DataCentre, RequestRate Rate) const {
    return partOf(Key, DataCentre, Rate, ruleForNamedRate(Rate));
  }
  static DivisionRule ruleForNamedRate(RequestRate Rate);

private:
  /// The instances among which the rates of upstreams in a data centre are divided.
  std::vector<const KnownInstance *> candidates(const DataCentreId &DataCentre,
                                                bool NeedsMajority) const;
  static bool isMajorityLive(const std::vector<const KnownInstance *> &Group);

  /// This instance is the first element.
  std::vector<KnownInstance> m_Instances;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RATEDIVISION_H
