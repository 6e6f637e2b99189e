#ifndef FESCUEGAUGE_ROWKEYS_H
#define FESCUEGAUGE_ROWKEYS_H

#include "Fescuegauge/Ids.h"

#include <string>

namespace fescuegauge {

// Keys of the rows that several components read and write. Claims are conditional on the owner row
// that a handover changes, and a handover waits for the claims of an account, so both must use the
// same keys.

/// Prefix of the keys of all claims.
inline const std::string ClaimRowsPrefix = "claim/";

/// Prefix of the keys of one account's claims.
inline std::string claimRowPrefix(const ClientAccountId &Account) {
  return ClaimRowsPrefix + Account.str() + "/";
}

inline std::string claimRowKey(const ClientAccountId &Account, const IdempotencyKey &Key) {
  return claimRowPrefix(Account) + Key.str();
}

/// Key of the row with the generation that owns an account's non-idempotent work of a service.
inline std::string ownerRowKey(const ServiceId &Service, const ClientAccountId &Account) {
  return "owner/" + Service.str() + "/" + Account.str();
}

/// Key of the row with a rollout's budget of bytes read from the origin.
inline std::string grantRowKey(const RolloutId &Rollout) { return "grant/" + Rollout.str(); }

/// Returns the id of the rollout of a service that change `SetBy` started. The rollout of a later
/// change has a separate budget.
inline RolloutId rolloutIdOf(const ServiceId &Service, ChangeNumber SetBy) {
  return RolloutId(Service.str() + "-" + std::to_string(SetBy.value()));
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_ROWKEYS_H
