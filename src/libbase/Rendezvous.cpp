#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <xxhash.h>

namespace fescuegauge {

std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  return XXH3_64bits_withSeed(Member.data(), Member.size(), XXH3_64bits(Key.data(), Key.size()));
}

std::vector<InstanceId> rendezvousRank(std::string_view Key, std::span<const InstanceId> Members,
                                       std::size_t Count) {
  struct Weighted {
    std::uint64_t m_Weight;
    const InstanceId *m_Member;
  };
  std::uint64_t Seed = XXH3_64bits(Key.data(), Key.size());
  std::vector<Weighted> Ranked;
  Ranked.reserve(Members.size());
  for (const InstanceId &Member : Members)
    Ranked.push_back(
        {XXH3_64bits_withSeed(Member.str().data(), Member.str().size(), Seed), &Member});
  auto HasHigherWeight = [](const Weighted &Left, const Weighted &Right) {
    return Left.m_Weight != Right.m_Weight ? Left.m_Weight > Right.m_Weight
                                           : *Left.m_Member < *Right.m_Member;
  };
  Count = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(), Ranked.begin() + static_cast<std::ptrdiff_t>(Count),
                    Ranked.end(), HasHigherWeight);
  std::vector<InstanceId> Result;
  Result.reserve(Count);
  for (std::size_t I = 0; I < Count; ++I)
    Result.push_back(*Ranked[I].m_Member);
  return Result;
}

} // namespace fescuegauge
