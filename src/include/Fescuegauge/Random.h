#ifndef FESCUEGAUGE_RANDOM_H
#define FESCUEGAUGE_RANDOM_H

#include "Fescuegauge/Units.h"

#include <cstdint>
#include <random>

namespace fescuegauge {

/// The generator that decision code is given. Only the functions below draw from it, because the
/// standard distributions differ between library versions and would change fixed-seed runs.
using RandomGenerator = std::mt19937_64;

/// A seed that differs between processes and starts.
inline std::uint64_t freshSeed() {
  std::random_device Device;
  return (std::uint64_t(Device()) << 32) | Device();
}

/// A number in [0, Limit); 0 when Limit is 0.
inline std::uint64_t uniformBelow(RandomGenerator &Random, std::uint64_t Limit) {
  return Limit == 0 ? 0 : Random() % Limit;
}

/// A number in [0, 1).
inline double uniformUnit(RandomGenerator &Random) {
  return static_cast<double>(Random() >> 11) * 0x1.0p-53;
}

inline bool chance(RandomGenerator &Random, double Probability) {
  return uniformUnit(Random) < Probability;
}

/// `Base` lengthened or shortened by up to `Share` of itself, so that timers of many processes
/// drift apart.
inline Duration jittered(RandomGenerator &Random, Duration Base, double Share = 0.2) {
  double Factor = 1.0 + Share * (2.0 * uniformUnit(Random) - 1.0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(Base.count()) * Factor));
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_RANDOM_H
