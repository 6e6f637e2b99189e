#ifndef FESCUEGAUGE_MANIFEST_H
#define FESCUEGAUGE_MANIFEST_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Units.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace fescuegauge {

/// One chunk of a model version: what its content hashes to and how long it is.
struct ChunkRef {
  Digest m_Digest;
  Bytes m_Size;

  auto operator<=>(const ChunkRef &) const = default;
};

/// The immutable description of a model version: an ordered list of chunks under one root digest.
///
/// Two manifests with the same root digest have the same chunks. The same chunk may be part of
/// several manifests, and may occur more than once in one.
class Manifest {
public:
  /// A manifest with more chunks is refused, which bounds a summary of held chunks to 8 KiB.
  static constexpr std::size_t MaxChunks = 65536;
  /// A manifest with a larger chunk is refused, because a process holds whole chunks in memory.
  static constexpr Bytes MaxChunkSize = 32_MiB;

  Manifest() = default;
  /// Takes the chunks in the order in which they form the model. The limits above are not checked.
  explicit Manifest(std::vector<ChunkRef> Chunks);

  /// Cuts `Data` into chunks of `ChunkSize` bytes; the last one may be shorter. `ChunkSize` is at
  /// least one byte.
  static Manifest ofData(std::span<const std::uint8_t> Data, Bytes ChunkSize);

  /// The digest of the canonical list of `Chunks`. Computed over what a staging area really holds,
  /// it equals rootDigest() only if the area holds the complete version.
  static Digest rootOf(std::span<const ChunkRef> Chunks);

  const Digest &rootDigest() const { return m_Root; }
  const std::vector<ChunkRef> &chunks() const { return m_Chunks; }
  Bytes totalSize() const { return m_TotalSize; }

  /// Indices of the first occurrence of each chunk that is not in `Held`, in order.
  std::vector<std::uint32_t> missing(const std::unordered_set<Digest> &Held) const;
  /// The bytes that missing() stands for.
  Bytes missingSize(const std::unordered_set<Digest> &Held) const;

  /// The canonical text: a header line, the root digest, and one line "DIGEST SIZE" for each chunk.
  std::string encode() const;
  /// Reads the canonical text. Nothing if it is malformed, is beyond the limits or does not hash to
  /// the root digest that it names; `Error` then says which line is wrong.
  static std::optional<Manifest> parse(std::string_view Text, std::string *Error = nullptr);

private:
  std::vector<ChunkRef> m_Chunks;
  Digest m_Root;
  Bytes m_TotalSize;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MANIFEST_H
