#include "PrefixIndex.h"

#include "Fescuegauge/Invariant.h"

#include <algorithm>

namespace fescuegauge {

namespace {

Invariant BlocksBounded("routing.prefix_blocks_within_bound");

} // namespace

void PrefixIndex::add(Slot Holder, std::uint64_t Block) {
  if (m_Contents.size() <= Holder)
    m_Contents.resize(Holder + 1);
  Contents &Own = m_Contents[Holder];
  HolderList &Holders = m_Blocks[Block];
  for (std::size_t I = 0; I < Holders.m_Count; ++I)
    if (Holders.m_Entries[I].m_Slot == Holder) {
      Holders.m_Entries[I].m_Epoch = Own.m_Epoch;
      return;
    }
  if (Holders.m_Count < MaxHolders) {
    Holders.m_Entries[Holders.m_Count++] = {Holder, Own.m_Epoch};
  } else {
    // The oldest entry is the first one. The ring of its upstream keeps the block until the block
    // is overwritten.
    --m_Contents[Holders.m_Entries[0].m_Slot].m_BlockCount;
    std::shift_left(Holders.m_Entries.begin(), Holders.m_Entries.end(), 1);
    Holders.m_Entries[MaxHolders - 1] = {Holder, Own.m_Epoch};
  }
  ++Own.m_BlockCount;
  if (Own.m_Ring.size() < m_BlocksPerUpstream) {
    Own.m_Ring.push_back(Block);
  } else {
    std::uint64_t Oldest = Own.m_Ring[Own.m_Next];
    Own.m_Ring[Own.m_Next] = Block;
    Own.m_Next = (Own.m_Next + 1) % m_BlocksPerUpstream;
    if (Oldest != Block)
      dropHolder(Holder, Oldest);
  }
  BlocksBounded.check(Own.m_Ring.size() <= m_BlocksPerUpstream);
}

bool PrefixIndex::dropHolder(Slot Holder, std::uint64_t Block) {
  auto Found = m_Blocks.find(Block);
  if (Found == m_Blocks.end())
    return false;
  HolderList &Holders = Found->second;
  for (std::size_t I = 0; I < Holders.m_Count; ++I) {
    if (Holders.m_Entries[I].m_Slot != Holder)
      continue;
    std::shift_left(Holders.m_Entries.begin() + static_cast<std::ptrdiff_t>(I),
                    Holders.m_Entries.begin() + Holders.m_Count, 1);
    --m_Contents[Holder].m_BlockCount;
    if (--Holders.m_Count == 0)
      m_Blocks.erase(Found);
    return true;
  }
  return false;
}

void PrefixIndex::remove(Slot Holder, std::uint64_t Block) {
  if (Holder < m_Contents.size())
    dropHolder(Holder, Block);
}

void PrefixIndex::clear(Slot Holder) {
  if (Holder >= m_Contents.size())
    return;
  for (std::uint64_t Block : m_Contents[Holder].m_Ring)
    dropHolder(Holder, Block);
  std::uint32_t Epoch = m_Contents[Holder].m_Epoch + 1;
  m_Contents[Holder] = {};
  m_Contents[Holder].m_Epoch = Epoch;
}

void PrefixIndex::markGap(Slot Holder) {
  if (Holder < m_Contents.size())
    ++m_Contents[Holder].m_Epoch;
}

std::size_t PrefixIndex::find(std::span<const std::uint64_t> Prefix,
                              std::array<Match, MaxHolders> &Found) const {
  std::size_t Count = 0;
  std::size_t Probes = std::min(Prefix.size(), MaxProbes);
  for (std::size_t Probe = 0; Probe < Probes && Count < MaxHolders; ++Probe) {
    std::size_t Length = Prefix.size() - Probe * Prefix.size() / Probes;
    auto Block = m_Blocks.find(Prefix[Length - 1]);
    if (Block == m_Blocks.end())
      continue;
    const HolderList &Holders = Block->second;
    for (std::size_t I = Holders.m_Count; I-- > 0 && Count < MaxHolders;) {
      const HolderEntry &Entry = Holders.m_Entries[I];
      bool IsKnown = std::any_of(Found.begin(), Found.begin() + Count,
                                 [&](const Match &M) { return M.m_Slot == Entry.m_Slot; });
      bool IsCertain = !m_DiscountAfterGap || Entry.m_Epoch == m_Contents[Entry.m_Slot].m_Epoch;
      if (!IsKnown)
        Found[Count++] = {Entry.m_Slot, Length, IsCertain};
    }
  }
  return Count;
}

std::size_t PrefixIndex::blocks(Slot Holder) const {
  return Holder < m_Contents.size() ? m_Contents[Holder].m_BlockCount : 0;
}

} // namespace fescuegauge
