#ifndef FESCUEGAUGE_RANDOM_H
#define FESCUEGAUGE_RANDOM_H

#include "Fescuegauge/Units.h"

#include <cstdint>
#include <random>

namespace fescuegauge {

/// The generator that is injected into decision code. Use it only through the functions below: the
/// standard distributions differ between library versions, which would change runs with a fixed
/// seed.
using RandomGenerator = std::mt19937_64;

/// A non-deterministic seed, different for each process and start.
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

/// `Base` with random jitter of up to plus or minus `Share` of itself, so that timers of many
/// processes do not fire at the same time.
inline Duration jittered(RandomGenerator &Random, Duration Base, double Share = 0.2) {
  double Factor = 1.0 + Share * (2.0 * uniformUnit(Random) - 1.0);
  return Duration(static_cast<Duration::rep>(static_cast<double>(Base.count()) * Factor));
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_RANDOM_H
