#ifndef FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H
#define FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H

#include "Fescuegauge/ChunkSet.h"
#include "Fescuegauge/WeightsAgent.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The HTTP protocol between agents for the pieces of a version.
namespace fescuegauge {

inline constexpr std::string_view PiecePath = "/pieces/";
/// Used in place of the number of a piece: the digests of all pieces, and the set of held pieces.
inline constexpr std::string_view DigestsName = "digests";
inline constexpr std::string_view HoldingsName = "holdings";
/// Follows HoldingsName: the set that is already known to the requesting agent.
inline constexpr std::string_view KnownParameter = "?known=";
/// The upload queue is full, or the agent is about to obtain the digests.
inline constexpr unsigned StatusUnavailable = 503;
inline constexpr unsigned StatusNotFound = 404;
/// Polling interval of waits for progress.
inline constexpr Duration ProgressPollInterval = std::chrono::milliseconds(20);

struct PieceName {
  ModelId m_Model;
  WeightsVersion m_Version;
  std::string m_Name;
};

std::string piecePath(const ModelId &Model, WeightsVersion Version, std::string_view Name);
std::optional<PieceName> parsePiecePath(std::string_view Path);

/// Encodes a line "MODEL VERSION" and one line for each digest.
std::string encodeDigests(const DigestList &List);
/// Returns nothing if the text is malformed.
std::optional<DigestList> parseDigests(const std::string &Text);

/// Encodes the words of a set in hexadecimal, 16 digits each.
std::string encodeHoldings(const ChunkSet &Held);
std::optional<ChunkSet> parseHoldings(std::string_view Text, std::size_t Size);

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBAGENT_PIECEPROTOCOL_H
