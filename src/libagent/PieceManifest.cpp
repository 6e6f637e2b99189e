#include "Fescuegauge/PieceManifest.h"

namespace fescuegauge {

std::optional<PieceManifest> PieceManifest::create(const DeclaredPieces &Declared,
                                                   DigestList Received, std::string &Error) {
  if (Received.m_Model != Declared.m_Model || Received.m_Version != Declared.m_Version) {
    Error = "the list is for version " + std::to_string(Received.m_Version.value()) +
            " of model \"" + Received.m_Model.str() + "\"";
    return std::nullopt;
  }
  if (Declared.m_PieceCount == 0 || Received.m_Digests.size() != Declared.m_PieceCount) {
    Error = "the list has " + std::to_string(Received.m_Digests.size()) + " digests for " +
            std::to_string(Declared.m_PieceCount) + " pieces";
    return std::nullopt;
  }
  return PieceManifest(std::move(Received));
}

} // namespace fescuegauge
