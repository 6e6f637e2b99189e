#ifndef FESCUEGAUGE_CHUNKSET_H
#define FESCUEGAUGE_CHUNKSET_H

#include <bit>
#include <cstdint>
#include <vector>

namespace fescuegauge {

/// A set of chunk indices of one manifest, one bit each.
class ChunkSet {
public:
  ChunkSet() = default;
  explicit ChunkSet(std::size_t Size) : m_Size(Size), m_Words((Size + 63) / 64) {}

  /// The number of chunks of the manifest.
  std::size_t size() const { return m_Size; }
  /// The number of chunks in the set.
  std::size_t count() const {
    std::size_t Result = 0;
    for (std::uint64_t Word : m_Words)
      Result += static_cast<std::size_t>(std::popcount(Word));
    return Result;
  }
  bool contains(std::uint32_t Index) const {
    return Index < m_Size && (m_Words[Index / 64] >> (Index % 64) & 1) != 0;
  }
  /// Returns whether the chunk was absent. An index outside the manifest is ignored.
  bool insert(std::uint32_t Index) {
    if (Index >= m_Size || contains(Index))
      return false;
    m_Words[Index / 64] |= std::uint64_t(1) << (Index % 64);
    return true;
  }
  void erase(std::uint32_t Index) {
    if (Index < m_Size)
      m_Words[Index / 64] &= ~(std::uint64_t(1) << (Index % 64));
  }
  /// The bits, 64 to a word, lowest index in the lowest bit; for set operations and encoding.
  const std::vector<std::uint64_t> &words() const { return m_Words; }
  bool operator==(const ChunkSet &) const = default;

private:
  std::size_t m_Size = 0;
  std::vector<std::uint64_t> m_Words;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CHUNKSET_H
