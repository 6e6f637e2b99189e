#ifndef FESCUEGAUGE_UNITS_H
#define FESCUEGAUGE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace fescuegauge {

/// All durations have microsecond resolution.
using Duration = std::chrono::microseconds;

/// The monotonic clock of one process. Times of different processes must not be compared.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

class Bytes {
public:
  constexpr Bytes() = default;
  constexpr explicit Bytes(std::uint64_t Count) : m_Count(Count) {}

  constexpr std::uint64_t count() const { return m_Count; }
  constexpr Bytes &operator+=(Bytes Other) {
    m_Count += Other.m_Count;
    return *this;
  }
  constexpr Bytes &operator-=(Bytes Other) {
    m_Count -= Other.m_Count;
    return *this;
  }
  friend constexpr Bytes operator+(Bytes Left, Bytes Right) { return Left += Right; }
  friend constexpr Bytes operator-(Bytes Left, Bytes Right) { return Left -= Right; }
  constexpr auto operator<=>(const Bytes &) const = default;

private:
  std::uint64_t m_Count = 0;
};

constexpr Bytes operator""_KiB(unsigned long long Count) { return Bytes(Count << 10); }
constexpr Bytes operator""_MiB(unsigned long long Count) { return Bytes(Count << 20); }

/// A transfer rate in bytes per second.
class BytesPerSecond {
public:
  constexpr BytesPerSecond() = default;
  constexpr explicit BytesPerSecond(double Rate) : m_Rate(Rate) {}

  constexpr double rate() const { return m_Rate; }
  /// The time to transfer `Amount` at this rate, rounded up to a microsecond.
  constexpr Duration timeFor(Bytes Amount) const {
    return Duration(static_cast<Duration::rep>(static_cast<double>(Amount.count()) * 1e6 / m_Rate) +
                    1);
  }
  constexpr auto operator<=>(const BytesPerSecond &) const = default;

private:
  double m_Rate = 0;
};

/// A request rate in requests per second.
class RequestRate {
public:
  constexpr RequestRate() = default;
  constexpr explicit RequestRate(double PerSecond) : m_PerSecond(PerSecond) {}

  constexpr double perSecond() const { return m_PerSecond; }
  /// The time between two requests. The rate must be positive.
  constexpr Duration interval() const {
    return Duration(static_cast<Duration::rep>(1e6 / m_PerSecond));
  }
  constexpr auto operator<=>(const RequestRate &) const = default;

private:
  double m_PerSecond = 0;
};

/// Converts to floating-point seconds, for figures and arithmetic on rates.
constexpr double toSeconds(Duration Length) { return static_cast<double>(Length.count()) / 1e6; }

} // namespace fescuegauge

#endif // FESCUEGAUGE_UNITS_H
