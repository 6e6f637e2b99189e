#ifndef FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H
#define FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

/// An index of the prefixes that upstreams are expected to hold in their caches.
///
/// A block is the digest of a whole prefix, so an upstream that holds a block also holds the
/// shorter prefixes. Each upstream has at most `BlocksPerUpstream` entries and each block at most
/// MaxHolders upstreams; the oldest entries are evicted. Entries from before a gap in an upstream's
/// events are uncertain.
class PrefixIndex {
public:
  using Slot = std::uint32_t;
  static constexpr std::size_t MaxHolders = 4;
  /// Maximum number of prefix lengths that a lookup tries, evenly spaced if the prefix has more
  /// blocks.
  static constexpr std::size_t MaxProbes = 16;

  struct Match {
    Slot m_Slot = 0;
    /// Number of leading blocks of the request that the upstream is expected to hold.
    std::size_t m_Blocks = 0;
    bool m_IsCertain = true;
  };

  PrefixIndex(std::size_t BlocksPerUpstream, bool DiscountAfterGap)
      : m_BlocksPerUpstream(BlocksPerUpstream), m_DiscountAfterGap(DiscountAfterGap) {}

  void add(Slot Holder, std::uint64_t Block);
  void remove(Slot Holder, std::uint64_t Block);
  void clear(Slot Holder);
  /// Marks the entries of the upstream as uncertain, because events were lost that may have removed
  /// some of them.
  void markGap(Slot Holder);

  /// Stores the upstreams with the longest matches in `Found`, longest first and each once. Returns
  /// their number.
  std::size_t find(std::span<const std::uint64_t> Prefix,
                   std::array<Match, MaxHolders> &Found) const;
  std::size_t blocks(Slot Holder) const;

private:
  struct HolderEntry {
    Slot m_Slot = 0;
    std::uint32_t m_Epoch = 0;
  };
  struct HolderList {
    std::array<HolderEntry, MaxHolders> m_Entries;
    std::uint8_t m_Count = 0;
  };
  /// The blocks of one upstream, as a ring buffer in order of arrival.
  struct Contents {
    std::vector<std::uint64_t> m_Ring;
    std::size_t m_Next = 0;
    std::size_t m_BlockCount = 0;
    std::uint32_t m_Epoch = 0;
  };

  bool dropHolder(Slot Holder, std::uint64_t Block);

  std::size_t m_BlocksPerUpstream;
  bool m_DiscountAfterGap;
  std::unordered_map<std::uint64_t, HolderList> m_Blocks;
  std::vector<Contents> m_Contents;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H
