#ifndef FESCUEGAUGE_EVACUATIONS_H
#define FESCUEGAUGE_EVACUATIONS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <map>

namespace fescuegauge {

/// The data centres that operators have evacuated. Their upstreams get no new requests; requests
/// that they are running continue to their end.
///
/// Meant for an order that arrives while the data centre is under load, possibly late or twice,
/// and for orders for several data centres at once. An order is known by its presence in the
/// operators' table, so one that is repeated changes nothing and one that was withdrawn before it
/// was read never takes effect.
class Evacuations {
public:
  /// Records that the data centre is to be evacuated. Returns whether it was not before.
  bool begin(const DataCentreId &DataCentre, TimePoint Now) {
    return m_Since.try_emplace(DataCentre, Now).second;
  }
  /// Records that the order was withdrawn. Returns whether the data centre was evacuated.
  bool end(const DataCentreId &DataCentre) { return m_Since.erase(DataCentre) > 0; }

  bool contains(const DataCentreId &DataCentre) const {
    return !m_Since.empty() && m_Since.contains(DataCentre);
  }
  /// When this instance learnt of each evacuation in force.
  const std::map<DataCentreId, TimePoint> &all() const { return m_Since; }

private:
  std::map<DataCentreId, TimePoint> m_Since;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_EVACUATIONS_H
