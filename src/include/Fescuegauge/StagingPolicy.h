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

/// Decides which chunks an engine's staging area keeps.
///
/// The area has a fixed size. When a version needs room, chunks of the versions that were used
/// longest ago go first. Chunks of the version being served and of the version being transferred
/// are never evicted.
class StagingPolicy {
public:
  /// Manifests remembered beside the protected ones; chunks of forgotten versions are evicted
  /// first.
  static constexpr std::size_t MaxVersions = 8;

  /// Each rule is on in production. Tests switch one off to show that they notice its absence.
  struct Rules {
    bool m_ProtectServed = true;
    bool m_ProtectTransferred = true;
    bool m_CheckCapacity = true;
  };

  StagingPolicy(Bytes Capacity, Rules Enabled) : m_Capacity(Capacity), m_Rules(Enabled) {}
  explicit StagingPolicy(Bytes Capacity) : StagingPolicy(Capacity, Rules()) {}

  /// The version that the engine serves from now on; it becomes the most recently used one.
  void setServed(const Manifest &Version);
  /// The engine serves a version whose manifest is not known yet. Until setServed() is called,
  /// chunks that belong to no known version are kept, because they may be part of it.
  void setServedUnknown() { m_ServedUnknown = true; }
  /// Makes `Version` the one being transferred and returns the chunks to evict so that all of it
  /// fits. Nothing if it cannot fit beside the served version; the area is then unchanged.
  std::optional<std::vector<Digest>> beginTransfer(const Manifest &Version);
  /// Asks to write one verified chunk. False if the chunk is not part of the version being
  /// transferred or would exceed the capacity; it must not be written then.
  bool addChunk(const ChunkRef &Chunk);
  /// The engine restarted with an empty area; restoreChunk() follows for what it does hold.
  void clear();
  /// Records a chunk that the area already holds when the process starts.
  void restoreChunk(const ChunkRef &Chunk);
  /// The chunk is no longer in the area, for example because its content was found corrupted.
  void removeChunk(const Digest &Chunk);

  /// Digests of all chunks in the area.
  std::unordered_set<Digest> held() const;
  Bytes usedSize() const { return m_Used; }
  Bytes capacity() const { return m_Capacity; }

private:
  void touch(const Manifest &Version);

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
