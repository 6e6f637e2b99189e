#ifndef FESCUEGAUGE_TABLEPOSITION_H
#define FESCUEGAUGE_TABLEPOSITION_H

#include "Fescuegauge/Ids.h"

#include <compare>

namespace fescuegauge {

/// Counts how often a table of the platform was restored from an older copy. Each time, it loses
/// writes that it had acknowledged, and gives out their row versions again.
using StoreEpoch = StrongNumber<struct StoreEpochTag>;

/// The epoch of a table that was never restored.
inline constexpr StoreEpoch FirstStoreEpoch(1);

/// Position in the history of the platform's tables. Row versions are ordered only within one
/// epoch, so they are compared together with it.
struct TablePosition {
  StoreEpoch m_Epoch;
  RowVersion m_Version;

  constexpr TablePosition next() const { return {m_Epoch, m_Version.next()}; }
  constexpr auto operator<=>(const TablePosition &) const = default;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TABLEPOSITION_H
