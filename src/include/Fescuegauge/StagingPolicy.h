#ifndef FESCUEGAUGE_STAGINGPOLICY_H
#define FESCUEGAUGE_STAGINGPOLICY_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Manifest.h"
#include "Fescuegauge/Units.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace fescuegauge {

/// Decides which chunks are kept in an engine's staging area.
///
/// The area has a fixed size. When a version needs room, chunks of the least recently used versions
/// are evicted first. Chunks of the version being served and of the version being transferred are
/// never evicted.
class StagingPolicy {
public:
  /// Number of manifests above which the least recently used unprotected ones are dropped; chunks
  /// of dropped versions are evicted first.
  static constexpr std::size_t MaxVersions = 8;

  /// All rules are enabled in production. Tests disable single rules and check that it is detected.
  struct Rules {
    bool m_ProtectServed = true;
    bool m_ProtectTransferred = true;
    bool m_CheckCapacity = true;
  };

  StagingPolicy(Bytes Capacity, Rules Enabled) : m_Capacity(Capacity), m_Rules(Enabled) {}
  explicit StagingPolicy(Bytes Capacity) : StagingPolicy(Capacity, Rules()) {}

  /// Sets the version that the engine serves, which becomes the most recently used one.
  void setServed(const Manifest &Version);
  /// The engine serves a version of unknown manifest. Until setServed() is called, chunks that
  /// belong to no known version are kept, because they may be part of it.
  void setServedUnknown() { m_ServedUnknown = true; }
  /// Makes `Version` the one being transferred and returns the chunks to evict so that it fits.
  /// Returns nothing and changes nothing if it cannot fit beside the served version.
  std::optional<std::vector<Digest>> beginTransfer(const Manifest &Version);
  /// Adds one verified chunk. Returns false if the chunk is not part of the version being
  /// transferred or would exceed the capacity; it must not be kept in the area then.
  bool addChunk(const ChunkRef &Chunk);
  /// Removes all chunks, before restoreChunk() is called for each chunk that the area holds.
  void clear();
  /// Adds a chunk that was found in the area.
  void restoreChunk(const ChunkRef &Chunk);
  /// Removes a chunk that is no longer in the area, for example because it was found corrupted.
  void removeChunk(const Digest &Chunk);

  /// Digests of all chunks in the area.
  std::unordered_set<Digest> held() const;
  Bytes usedSize() const { return m_Used; }
  Bytes capacity() const { return m_Capacity; }

private:
  void markUsed(const Manifest &Version);

  Bytes m_Capacity;
  Rules m_Rules;
  Bytes m_Used;
  std::unordered_map<Digest, Bytes> m_Chunks;
  Digest m_Served;
  bool m_ServedUnknown = false;
  Digest m_Transferred;
  std::unordered_map<Digest, Bytes> m_TransferredChunks;
  /// Least recently used first.
  std::vector<Manifest> m_Versions;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_STAGINGPOLICY_H
