#include "Fescuegauge/StagingPolicy.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant StagingWithinBound("weights.staging_within_bound");
Invariant ServedChunksKept("weights.served_chunks_kept");

} // namespace

void StagingPolicy::markUsed(const Manifest &Version) {
  std::erase_if(m_Versions,
                [&](const Manifest &Known) { return Known.rootDigest() == Version.rootDigest(); });
  m_Versions.push_back(Version);
  for (auto It = m_Versions.begin(); m_Versions.size() > MaxVersions && It != m_Versions.end();)
    It = It->rootDigest() == m_Served || It->rootDigest() == m_Transferred ? It + 1
                                                                           : m_Versions.erase(It);
}

void StagingPolicy::setServed(const Manifest &Version) {
  m_Served = Version.rootDigest();
  m_ServedUnknown = false;
  markUsed(Version);
}

std::optional<std::vector<Digest>> StagingPolicy::beginTransfer(const Manifest &Version) {
  std::unordered_set<Digest> Protected;
  auto Protect = [&](const Manifest &Kept) {
    for (const ChunkRef &Chunk : Kept.chunks())
      Protected.insert(Chunk.m_Digest);
  };
  if (m_Rules.m_ProtectTransferred)
    Protect(Version);
  for (const Manifest &Known : m_Versions)
    if (Known.rootDigest() == m_Served && m_Rules.m_ProtectServed)
      Protect(Known);

  // The rank of a chunk is the position of the most recently used version that contains it.
  std::unordered_map<Digest, std::size_t> Rank;
  for (std::size_t I = 0; I < m_Versions.size(); ++I)
    for (const ChunkRef &Chunk : m_Versions[I].chunks())
      Rank[Chunk.m_Digest] = I + 1;
  std::vector<std::pair<std::size_t, Digest>> Candidates;
  for (const auto &[Chunk, Size] : m_Chunks)
    if (!Protected.contains(Chunk)) {
      auto It = Rank.find(Chunk);
      if (It == Rank.end() && m_ServedUnknown && m_Rules.m_ProtectServed)
        continue;
      Candidates.emplace_back(It == Rank.end() ? 0 : It->second, Chunk);
    }
  std::sort(Candidates.begin(), Candidates.end());

  Bytes Needed = m_Used + Version.missingSize(held());
  std::vector<Digest> Evicted;
  for (const auto &[Place, Chunk] : Candidates) {
    if (Needed <= m_Capacity)
      break;
    Needed -= m_Chunks.at(Chunk);
    Evicted.push_back(Chunk);
  }
  if (Needed > m_Capacity && m_Rules.m_CheckCapacity)
    return std::nullopt;
  for (const Manifest &Known : m_Versions)
    if (Known.rootDigest() == m_Served) {
      std::unordered_set<Digest> Served;
      for (const ChunkRef &Chunk : Known.chunks())
        Served.insert(Chunk.m_Digest);
      bool Kept = std::none_of(Evicted.begin(), Evicted.end(),
                               [&](const Digest &Chunk) { return Served.contains(Chunk); });
      if (!ServedChunksKept.check(Kept, m_Served.hex()) && m_Rules.m_ProtectServed)
        return std::nullopt;
    }
  for (const Digest &Chunk : Evicted)
    removeChunk(Chunk);
  m_Transferred = Version.rootDigest();
  m_TransferredChunks.clear();
  for (const ChunkRef &Chunk : Version.chunks())
    m_TransferredChunks.emplace(Chunk.m_Digest, Chunk.m_Size);
  markUsed(Version);
  return Evicted;
}

bool StagingPolicy::addChunk(const ChunkRef &Chunk) {
  if (m_Chunks.contains(Chunk.m_Digest))
    return true;
  auto Wanted = m_TransferredChunks.find(Chunk.m_Digest);
  if (Wanted == m_TransferredChunks.end() || Wanted->second != Chunk.m_Size)
    return false;
  if (!StagingWithinBound.check(m_Used + Chunk.m_Size <= m_Capacity, Chunk.m_Digest.hex()) &&
      m_Rules.m_CheckCapacity)
    return false;
  m_Chunks.emplace(Chunk.m_Digest, Chunk.m_Size);
  m_Used += Chunk.m_Size;
  return true;
}

void StagingPolicy::clear() {
  m_Chunks.clear();
  m_Used = Bytes();
}

void StagingPolicy::restoreChunk(const ChunkRef &Chunk) {
  if (m_Chunks.emplace(Chunk.m_Digest, Chunk.m_Size).second)
    m_Used += Chunk.m_Size;
}

void StagingPolicy::removeChunk(const Digest &Chunk) {
  auto It = m_Chunks.find(Chunk);
  if (It == m_Chunks.end())
    return;
  m_Used -= It->second;
  m_Chunks.erase(It);
}

std::unordered_set<Digest> StagingPolicy::held() const {
  std::unordered_set<Digest> Result;
  for (const auto &[Chunk, Size] : m_Chunks)
    Result.insert(Chunk);
  return Result;
}

} // namespace fescuegauge
