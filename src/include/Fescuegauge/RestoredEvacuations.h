#ifndef FESCUEGAUGE_RESTOREDEVACUATIONS_H
#define FESCUEGAUGE_RESTOREDEVACUATIONS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fescuegauge {

/// Decides what becomes of orders to evacuate data centres when the operators' table was restored
/// from an older copy.
///
/// The copy may lack an order that was given since, or hold one that was withdrawn since. Operators
/// repeat their last writes in their own time. Until then the state known here is kept, for
/// RepeatGrace at most. A state that is known for longer than MaxCopyAge was part of the copy, so a
/// different one was written after the restore.
class RestoredEvacuations {
public:
  /// Time in which operators repeat a write that the store lost.
  static constexpr Duration RepeatGrace = std::chrono::seconds(10);

  /// Greatest age of a copy from which a table is restored.
  static constexpr Duration MaxCopyAge = std::chrono::seconds(30);

  /// An order was given or withdrawn.
  void onWritten(const DataCentreId &DataCentre, bool IsEvacuated, TimePoint Now);
  /// The restored table has the order or lacks it. Returns whether that takes effect at once.
  bool onRestored(const DataCentreId &DataCentre, bool IsEvacuated, TimePoint Now);

  /// Removes and returns the states that were not repeated in time and take effect now.
  std::vector<std::pair<DataCentreId, bool>> takeDue(TimePoint Now);
  /// When takeDue() returns something next.
  std::optional<TimePoint> nextDue() const;

private:
  struct Pending {
    bool m_IsEvacuated = false;
    TimePoint m_DueAt;
  };

  struct State {
    bool m_IsEvacuated = false;
    TimePoint m_Since;
  };

  /// Data centres for which an order was known, and when this instance learnt of the present state.
  std::map<DataCentreId, State> m_Known;
  std::map<DataCentreId, Pending> m_Pending;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_RESTOREDEVACUATIONS_H
