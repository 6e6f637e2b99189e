#ifndef FESCUEGAUGE_REPLACEMENTRULE_H
#define FESCUEGAUGE_REPLACEMENTRULE_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// The serving capacity that one work class needs from a service in one data centre.
struct ClassNeed {
  WorkClassId m_Class;
  /// Minimum number of concurrent requests. An upstream with capacity 0 counts as 1.
  std::uint32_t m_MinCapacity = 0;
};

/// Decides which upstreams of one service and data centre may stop serving in order to load a new
/// version.
///
/// There is no coordinator: every agent decides from its own membership view. Upstreams that still
/// serve another version are ranked by rendezvous hash of the wanted root digest. An upstream may
/// be replaced when the serving capacity that remains without it and without all upstreams ranked
/// before it still covers the need of each class. An upstream that is missing, suspected, dead,
/// draining or loading does not count as remaining capacity. An outdated view is therefore safe: an
/// agent that does not yet see that an earlier upstream has finished keeps waiting.
class ReplacementRule {
public:
  /// All rules are enabled in production. Tests disable single rules and check that it is detected.
  struct Rules {
    bool m_ExcludeUnavailable = true;
    bool m_RankWaiting = true;
  };

  enum class Verdict {
    /// The upstream may drain and load.
    Allowed,
    /// Other upstreams are replaced first.
    Waiting,
    /// Stopping any upstream would leave a class without its minimum capacity. Progress requires an
    /// additional upstream (surge) or a lower minimum.
    NeedsSurge,
  };

  explicit ReplacementRule(Rules Enabled) : m_Rules(Enabled) {}
  ReplacementRule() : ReplacementRule(Rules()) {}

  /// Whether `Self` may stop serving now. An upstream that serves nothing is always allowed.
  /// `Self` is authoritative; the record of the same instance in `View` is ignored.
  Verdict mayReplace(const InstanceRecord &Self, const Digest &WantedRoot,
                     std::span<const InstanceRecord> View, std::span<const ClassNeed> Needs) const;

private:
  Rules m_Rules;
};

std::string_view verdictName(ReplacementRule::Verdict Value);

} // namespace fescuegauge

#endif // FESCUEGAUGE_REPLACEMENTRULE_H
