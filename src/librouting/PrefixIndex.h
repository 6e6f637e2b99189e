#ifndef FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H
#define FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H

#include <array>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace fescuegauge {

/// Which upstreams are believed to hold which prefixes in their caches.
///
/// A block is the digest of a whole prefix, so holding a block implies holding the shorter ones.
/// Entries are forgotten oldest first when an upstream has `BlocksPerUpstream`, and a block
/// remembers at most MaxHolders upstreams. Entries from before a gap in an upstream's events are
/// uncertain.
class PrefixIndex {
public:
  using Slot = std::uint32_t;
  static constexpr std::size_t MaxHolders = 4;
  /// Positions of a prefix that a lookup tries, spread evenly when it has more blocks.
  static constexpr std::size_t MaxProbes = 16;

  struct Match {
    Slot m_Slot = 0;
    /// Leading blocks of the request that the upstream is believed to hold.
    std::size_t m_Blocks = 0;
    bool m_IsCertain = true;
  };

  PrefixIndex(std::size_t BlocksPerUpstream, bool DiscountAfterGap)
      : m_BlocksPerUpstream(BlocksPerUpstream), m_DiscountAfterGap(DiscountAfterGap) {}

  void add(Slot Holder, std::uint64_t Block);
  void remove(Slot Holder, std::uint64_t Block);
  void clear(Slot Holder);
  /// Events of the upstream were lost: some entries may have been removed there since.
  void markGap(Slot Holder);

  /// The upstreams with the longest matches, longest first, each once, into `Found`; their number.
  std::size_t find(std::span<const std::uint64_t> Prefix,
                   std::array<Match, MaxHolders> &Found) const;
  std::size_t blocks(Slot Holder) const;

private:
  struct HolderEntry {
    Slot m_Slot = 0;
    std::uint32_t m_Epoch = 0;
  };
  struct Holders {
    std::array<HolderEntry, MaxHolders> m_Entries;
    std::uint8_t m_Count = 0;
  };
  /// What one upstream holds, as a ring in order of arrival.
  struct Contents {
    std::vector<std::uint64_t> m_Ring;
    std::size_t m_Next = 0;
    std::size_t m_Known = 0;
    std::uint32_t m_Epoch = 0;
  };

  bool dropHolder(Slot Holder, std::uint64_t Block);

  std::size_t m_BlocksPerUpstream;
  bool m_DiscountAfterGap;
  std::unordered_map<std::uint64_t, Holders> m_Blocks;
  std::vector<Contents> m_Contents;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBROUTING_PREFIXINDEX_H
