#include "Fescuegauge/Invariant.h"

#include <iostream>
#include <mutex>

namespace fescuegauge {

namespace {

/// A function-local static, since invariants of other translation units may be constructed before a
/// namespace-scope object of this one.
struct Registry {
  std::mutex m_Mutex;
  std::vector<Invariant *> m_Invariants;
  std::function<void(std::string_view, std::string_view)> m_Report;
};

Registry &registry() {
  static Registry Instance;
  return Instance;
}

} // namespace

Invariant::Invariant(std::string_view Name) : m_Name(Name) {
  std::lock_guard Lock(registry().m_Mutex);
  registry().m_Invariants.push_back(this);
}

bool Invariant::check(bool Holds, std::string_view Detail) {
  m_Evaluations.fetch_add(1, std::memory_order_relaxed);
  if (Holds)
    return true;
  m_Violations.fetch_add(1, std::memory_order_relaxed);
  std::lock_guard Lock(registry().m_Mutex);
  if (registry().m_Report)
    registry().m_Report(m_Name, Detail);
  else
    std::cerr << "event=invariant_violated name=" << m_Name << " detail=\"" << Detail << "\"\n";
  return false;
}

std::vector<Invariant *> Invariant::all() {
  std::lock_guard Lock(registry().m_Mutex);
  return registry().m_Invariants;
}

void Invariant::resetCounters() {
  for (Invariant *Entry : all()) {
    Entry->m_Evaluations.store(0, std::memory_order_relaxed);
    Entry->m_Violations.store(0, std::memory_order_relaxed);
  }
}

void Invariant::setReporter(
    std::function<void(std::string_view Name, std::string_view Detail)> Report) {
  std::lock_guard Lock(registry().m_Mutex);
  registry().m_Report = std::move(Report);
}

} // namespace fescuegauge
