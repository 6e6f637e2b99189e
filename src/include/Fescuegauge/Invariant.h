#ifndef FESCUEGAUGE_INVARIANT_H
#define FESCUEGAUGE_INVARIANT_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// A rule that must hold at every evaluation, checked in release builds too.
///
/// Define one object with static storage per rule and call check() where the rule matters. A caller
/// that gets false must not take the action it was about to take. Every object registers itself, so
/// that metrics and randomised runs can count evaluations and violations.
class Invariant {
public:
  /// `Name` must be a string literal such as "weights.origin_bytes_within_grants".
  explicit Invariant(std::string_view Name);
  Invariant(const Invariant &) = delete;
  Invariant &operator=(const Invariant &) = delete;

  /// Counts the evaluation; on a violation counts it, reports `Detail` and returns false.
  bool check(bool Holds, std::string_view Detail = {});

  std::string_view name() const { return m_Name; }
  std::uint64_t evaluations() const { return m_Evaluations.load(std::memory_order_relaxed); }
  std::uint64_t violations() const { return m_Violations.load(std::memory_order_relaxed); }

  /// All invariants of the program, in order of registration.
  static std::vector<Invariant *> all();
  /// Sets every counter to zero; for the start of a randomised run.
  static void resetCounters();
  /// Installs the function that reports violations; the default writes a line to standard error.
  static void
  setReporter(std::function<void(std::string_view Name, std::string_view Detail)> Report);

private:
  std::string_view m_Name;
  std::atomic<std::uint64_t> m_Evaluations{0};
  std::atomic<std::uint64_t> m_Violations{0};
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_INVARIANT_H
