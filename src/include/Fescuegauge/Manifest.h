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

/// One chunk of a model version: the digest and the size of its content.
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
  /// Maximum number of chunks; bounds a summary of held chunks to 8 KiB.
  static constexpr std::size_t MaxChunks = 65536;
  /// Maximum size of a chunk; processes hold whole chunks in memory.
  static constexpr Bytes MaxChunkSize = 32_MiB;

  Manifest() = default;
  /// Takes the chunks in the order in which they form the model. The limits above are not checked.
  explicit Manifest(std::vector<ChunkRef> Chunks);

  /// Splits `Data` into chunks of `ChunkSize` bytes; the last one may be shorter. `ChunkSize` is at
  /// least one byte.
  static Manifest ofData(std::span<const std::uint8_t> Data, Bytes ChunkSize);

  /// The digest of the canonical list of `Chunks`. Computed over the content of a staging area, it
  /// equals rootDigest() only if the area holds the complete version.
  static Digest rootOf(std::span<const ChunkRef> Chunks);

  const Digest &rootDigest() const { return m_Root; }
  const std::vector<ChunkRef> &chunks() const { return m_Chunks; }
  Bytes totalSize() const { return m_TotalSize; }

  /// Indices of the first occurrence of each chunk that is not in `Held`, in order.
  std::vector<std::uint32_t> missing(const std::unordered_set<Digest> &Held) const;
  /// The total size of the chunks that missing() returns.
  Bytes missingSize(const std::unordered_set<Digest> &Held) const;

  /// The canonical text: a header line, the root digest, and one line "DIGEST SIZE" for each chunk.
  std::string encode() const;
  /// Parses the canonical text. Returns nothing if it is malformed, exceeds a limit or does not
  /// hash to the root digest that it states; `Error` then names the offending line.
  static std::optional<Manifest> parse(std::string_view Text, std::string *Error = nullptr);

private:
  std::vector<ChunkRef> m_Chunks;
  Digest m_Root;
  Bytes m_TotalSize;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_MANIFEST_H
