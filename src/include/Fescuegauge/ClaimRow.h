#ifndef FESCUEGAUGE_CLAIMROW_H
#define FESCUEGAUGE_CLAIMROW_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/RowKeys.h"
#include "Fescuegauge/Table.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// The day number in an idempotency key, chosen by the caller.
using ClaimEpoch = StrongNumber<struct ClaimEpochTag>;

enum class ClaimState {
  /// The claiming entry may dispatch the request, may have done so, or is gone.
  Claimed,
  /// The request ran and its answer is recorded.
  Done,
  /// The request was not run; the row may be replaced by a new claim.
  NotRun,
  /// Nobody knows whether the request ran.
  Unknown,
};

/// The answer that a repeated request receives.
struct RecordedAnswer {
  /// A larger body is left out of the row; a repeat then gets the outcome "unknown".
  static constexpr std::size_t MaxBodyBytes = std::size_t{16} * 1024;

  int m_HttpStatus = 200;
  std::string m_ContentType;
  std::string m_Body;
  /// The body was larger than MaxBodyBytes.
  bool m_BodyOmitted = false;

  bool operator==(const RecordedAnswer &) const = default;
};

/// The value of row `claim/ACCOUNT/KEY`: who may run the request with that key, and what came of
/// it.
struct ClaimRow {
  ClaimId m_ClaimId;
  /// The entry instance that accepted the request.
  InstanceId m_Entry;
  Digest m_BodyDigest;
  ServiceId m_Service;
  GenerationId m_Generation;
  ClaimState m_State = ClaimState::Claimed;
  /// Set exactly in state Done.
  std::optional<RecordedAnswer> m_Answer;

  /// Compact JSON text.
  std::string encode() const;
  /// Nothing if `Text` is not the value of a claim row.
  static std::optional<ClaimRow> decode(std::string_view Text);

  bool operator==(const ClaimRow &) const = default;
};

/// The row with the oldest accepted key epoch. An absent row means epoch 0.
inline constexpr std::string_view ClaimEpochRowKey = "claim-epoch";

/// The epoch in a value of row `claim-epoch` (JSON {"oldest": N}); nothing if the text is
/// malformed.
std::optional<ClaimEpoch> decodeClaimEpoch(std::string_view Text);
std::string encodeClaimEpoch(ClaimEpoch Oldest);

/// The epoch of a key of the form EPOCH-RANDOM: one to nine digits, a hyphen, then 1 to 100
/// characters out of letters, digits, '.', '_' and '-'. Nothing if the key has another form.
std::optional<ClaimEpoch> keyEpoch(const IdempotencyKey &Key);

/// True if the name can be part of a row key: not empty, no '/', no control character.
bool isRowKeyPart(std::string_view Name);

/// True if the claim row may be deleted, on condition of its version, once `claim-epoch` holds
/// `Oldest`: its epoch has passed and it is not `claimed`. A handover waits for open claims, so the
/// deletion of one could move the account while its work is still to be dispatched.
bool isClaimRowDeletable(const TableRow &Row, ClaimEpoch Oldest);

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMROW_H
