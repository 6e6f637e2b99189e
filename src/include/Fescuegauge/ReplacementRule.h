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

/// How many upstreams of a service one class of work needs in one data centre.
struct ClassNeed {
  WorkClassId m_Class;
  /// Concurrent requests that must remain possible. An upstream with capacity 0 counts as 1.
  std::uint32_t m_MinCapacity = 0;
};

/// Decides which upstreams of one service and data centre may stop serving in order to load a new
/// version.
///
/// There is no coordinator: every agent decides for itself from its membership view. Upstreams that
/// still serve another version are ranked by rendezvous hash of the wanted root digest. An agent
/// may go when the serving capacity that remains without it and without all upstreams ranked before
/// it still covers the need of each class. An upstream that is missing, suspected, dead, draining
/// or loading is not in the remaining capacity. Agents whose views lag are therefore cautious: one
/// that does not yet see that an earlier one has finished keeps waiting.
class ReplacementRule {
public:
  /// Each rule is on in production. Tests switch one off to show that they notice its absence.
  struct Rules {
    bool m_CountUnavailable = true;
    bool m_RankWaiting = true;
  };

  enum class Verdict {
    /// The upstream may drain and load.
    Allowed,
    /// Other upstreams go first.
    Waiting,
    /// Stopping any upstream would leave a class without the capacity that it needs. Progress
    /// requires an additional upstream (surge) or a lower need.
    NeedsSurge,
  };

  explicit ReplacementRule(Rules Enabled) : m_Rules(Enabled) {}
  ReplacementRule() : ReplacementRule(Rules()) {}

  /// Whether `Self` may stop serving now. An upstream that serves nothing is always allowed.
  /// `Self` is up to date; its record in `View` is ignored.
  Verdict mayReplace(const InstanceRecord &Self, const Digest &WantedRoot,
                     std::span<const InstanceRecord> View, std::span<const ClassNeed> Needs) const;

private:
  Rules m_Rules;
};

std::string_view verdictName(ReplacementRule::Verdict Value);

} // namespace fescuegauge

#endif // FESCUEGAUGE_REPLACEMENTRULE_H
