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

/// The day number in an idempotency key, which the caller chooses.
using ClaimEpoch = StrongNumber<struct ClaimEpochTag>;

enum class ClaimState {
  /// The claiming entry may dispatch the request, may have dispatched it, or no longer exists.
  Claimed,
  /// The request ran and its answer is recorded.
  Done,
  /// The request was not run. A new claim may replace the row.
  NotRun,
  /// It is unknown whether the request ran.
  Unknown,
};

/// The answer that is returned to a repeated request.
struct RecordedAnswer {
  /// A larger body is omitted from the row. A repeated request then gets the outcome "unknown".
  static constexpr std::size_t MaxBodyBytes = std::size_t{16} * 1024;

  int m_HttpStatus = 200;
  std::string m_ContentType;
  std::string m_Body;
  /// The body was larger than MaxBodyBytes.
  bool m_BodyOmitted = false;

  bool operator==(const RecordedAnswer &) const = default;
};

/// The value of row `claim/ACCOUNT/KEY`: which entry may run the request with that key, and the
/// request's outcome.
struct ClaimRow {
  ClaimId m_ClaimId;
  /// The entry instance that accepted the request.
  InstanceId m_Entry;
  Digest m_BodyDigest;
  ServiceId m_Service;
  GenerationId m_Generation;
  ClaimState m_State = ClaimState::Claimed;
  /// Set if and only if the state is Done.
  std::optional<RecordedAnswer> m_Answer;

  /// Compact JSON text.
  std::string encode() const;
  /// Returns nullopt if `Text` is not a valid claim row value.
  static std::optional<ClaimRow> decode(std::string_view Text);

  bool operator==(const ClaimRow &) const = default;
};

/// Key of the row that holds the oldest accepted key epoch. An absent row means epoch 0.
inline constexpr std::string_view ClaimEpochRowKey = "claim-epoch";

/// Decodes a value of row `claim-epoch` (JSON {"oldest": N}). Returns nullopt if the text is
/// malformed.
std::optional<ClaimEpoch> decodeClaimEpoch(std::string_view Text);
std::string encodeClaimEpoch(ClaimEpoch Oldest);

/// Returns the epoch of a key of the form EPOCH-RANDOM: one to nine digits, a hyphen, then 1 to 100
/// characters out of letters, digits, '.', '_' and '-'. Returns nullopt if the key is malformed.
std::optional<ClaimEpoch> keyEpoch(const IdempotencyKey &Key);

/// Returns true if the name can be a component of a row key: not empty, no '/' and no control
/// character.
bool isRowKeyPart(std::string_view Name);

/// Returns true if the claim row may be deleted, conditional on its version, once `claim-epoch`
/// holds `Oldest`: its epoch has passed and its state is not `claimed`. A handover waits for open
/// claims; deleting one would let the account move while its request may still be dispatched.
bool isClaimRowDeletable(const TableRow &Row, ClaimEpoch Oldest);

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLAIMROW_H
