#ifndef FESCUEGAUGE_INVARIANT_H
#define FESCUEGAUGE_INVARIANT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// A condition that must hold at every evaluation; checked in release builds too.
///
/// Define one object with static storage duration per invariant and call check() before the action
/// that it guards. If check() returns false, the caller must not perform the action. Objects
/// register themselves, so that metrics and randomised tests can count evaluations and violations.
class Invariant {
public:
  /// `Name` must be a string literal such as "weights.origin_bytes_within_grants".
  explicit Invariant(std::string_view Name);
  Invariant(const Invariant &) = delete;
  Invariant &operator=(const Invariant &) = delete;

  /// Counts the evaluation and returns `Holds`. Also counts and reports a violation, with `Detail`.
  bool check(bool Holds, std::string_view Detail = {});

  std::string_view name() const { return m_Name; }
  std::uint64_t evaluations() const { return m_Evaluations.load(std::memory_order_relaxed); }
  std::uint64_t violations() const { return m_Violations.load(std::memory_order_relaxed); }

  /// All invariants of the program, in order of registration.
  static std::vector<Invariant *> all();
  /// Resets the counters of all invariants, for the start of a randomised test.
  static void resetCounters();
  /// Sets the function that reports violations; the default writes a line to standard error.
  static void
  setReporter(std::function<void(std::string_view Name, std::string_view Detail)> Report);

private:
  std::string_view m_Name;
  std::atomic<std::uint64_t> m_Evaluations{0};
  std::atomic<std::uint64_t> m_Violations{0};
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_INVARIANT_H
