#ifndef FESCUEGAUGE_REGIONRESTRICTION_H
#define FESCUEGAUGE_REGIONRESTRICTION_H

#include "Fescuegauge/Ids.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>
#include <vector>

namespace fescuegauge {

/// The regions in which requests may be executed and to which their bodies may be sent.
///
/// A route and a client account may each have one. Both are binding for a request to which both
/// apply, so a request may have no permitted region at all.
class RegionRestriction {
public:
  /// Permits every region.
  RegionRestriction() = default;
  /// Permits only these regions; none, if the list is empty.
  explicit RegionRestriction(std::vector<RegionId> Allowed) : m_Allowed(std::move(Allowed)) {
    std::sort(m_Allowed->begin(), m_Allowed->end());
  }

  bool isRestricted() const { return m_Allowed.has_value(); }
  bool allows(const RegionId &Region) const {
    return !m_Allowed || std::binary_search(m_Allowed->begin(), m_Allowed->end(), Region);
  }
  /// Empty if every region is permitted, too.
  std::vector<RegionId> regions() const { return m_Allowed.value_or(std::vector<RegionId>()); }
  /// Permits what both permit.
  RegionRestriction intersect(const RegionRestriction &Other) const {
    if (!isRestricted() || !Other.isRestricted())
      return isRestricted() ? *this : Other;
    std::vector<RegionId> Common;
    std::set_intersection(m_Allowed->begin(), m_Allowed->end(), Other.m_Allowed->begin(),
                          Other.m_Allowed->end(), std::back_inserter(Common));
    return RegionRestriction(std::move(Common));
  }

  bool operator==(const RegionRestriction &) const = default;

private:
  /// Sorted. Not set if every region is permitted.
  std::optional<std::vector<RegionId>> m_Allowed;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_REGIONRESTRICTION_H
