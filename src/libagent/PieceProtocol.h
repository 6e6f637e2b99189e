#ifndef FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H
#define FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H

#include "Fescuegauge/ChunkSet.h"
#include "Fescuegauge/WeightsAgent.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// What agents say to each other about the pieces of a version, over HTTP.
namespace fescuegauge {

inline constexpr std::string_view PiecePath = "/pieces/";
/// In place of a piece's number: the digests of all pieces, and the set of pieces held.
inline constexpr std::string_view DigestsName = "digests";
inline constexpr std::string_view HoldingsName = "holdings";
/// Follows HoldingsName: the set that the asking agent knows of.
inline constexpr std::string_view KnownParameter = "?known=";
/// While enough uploads wait, or while the agent is about to learn the digests.
inline constexpr unsigned StatusBusy = 503;
inline constexpr unsigned StatusNotFound = 404;
/// How often a wait looks for progress.
inline constexpr Duration ProgressCheck = std::chrono::milliseconds(20);

struct PieceName {
  ModelId m_Model;
  WeightsVersion m_Version;
  std::string m_Name;
};

std::string piecePath(const ModelId &Model, WeightsVersion Version, std::string_view Name);
std::optional<PieceName> parsePiecePath(std::string_view Path);

std::string digestsText(const PieceManifest &Manifest);
/// Empty if the text is malformed.
std::vector<Digest> parseDigests(const std::string &Text);

/// The words of a set in hexadecimal, 16 digits each.
std::string holdingsText(const ChunkSet &Held);
std::optional<ChunkSet> parseHoldings(std::string_view Text, std::size_t Size);

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H
