#ifndef FESCUEGAUGE_RENDEZVOUS_H
#define FESCUEGAUGE_RENDEZVOUS_H

#include "Fescuegauge/Ids.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Rendezvous hashing: the weight of `Member` for `Key`. The member with the highest weight owns
/// the key. All processes compute the same weight.
std::uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

/// The `Count` members with the highest weight for `Key`, highest first. Adding or removing a
/// member changes the result only for keys whose result contains it.
std::vector<InstanceId> rendezvousRank(std::string_view Key, std::span<const InstanceId> Members,
                                       std::size_t Count);

} // namespace fescuegauge

#endif // FESCUEGAUGE_RENDEZVOUS_H
