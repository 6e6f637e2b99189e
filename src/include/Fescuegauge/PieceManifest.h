#ifndef FESCUEGAUGE_PIECEMANIFEST_H
#define FESCUEGAUGE_PIECEMANIFEST_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/RoutingPlan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// A version of weights to transfer, as declared by operators.
struct DeclaredPieces {
  ModelId m_Model;
  WeightsVersion m_Version;
  /// Number of pieces of the weights by the plan in force.
  std::uint32_t m_PieceCount = 0;
};

/// A list of piece digests as received. It may be cut short or belong to other weights.
struct DigestList {
  ModelId m_Model;
  WeightsVersion m_Version;
  std::vector<Digest> m_Digests;
};

/// The digests of all pieces of one version.
///
/// An object exists only for a list that names the declared model and version and has one digest
/// for each declared piece. The number of pieces is never taken from the list: a list that was cut
/// short would describe incomplete weights as complete.
class PieceManifest {
public:
  /// Returns nothing, and sets `Error` to the reason, if `Received` does not match `Declared`.
  static std::optional<PieceManifest> create(const DeclaredPieces &Declared, DigestList Received,
                                             std::string &Error);

  const ModelId &model() const { return m_List.m_Model; }
  WeightsVersion version() const { return m_List.m_Version; }
  std::uint32_t pieceCount() const { return static_cast<std::uint32_t>(m_List.m_Digests.size()); }
  const Digest &digest(std::uint32_t Piece) const { return m_List.m_Digests[Piece]; }
  /// The list in the form in which it is sent to other agents.
  const DigestList &list() const { return m_List; }

private:
  explicit PieceManifest(DigestList List) : m_List(std::move(List)) {}

  DigestList m_List;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PIECEMANIFEST_H
