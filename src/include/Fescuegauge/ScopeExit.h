#ifndef FESCUEGAUGE_SCOPEEXIT_H
#define FESCUEGAUGE_SCOPEEXIT_H

#include <utility>

namespace fescuegauge {

/// Calls a function at the end of a scope, also if an exception ends it or a coroutine is destroyed
/// in it.
template <class Function> class ScopeExit {
public:
  explicit ScopeExit(Function OnExit) : m_OnExit(std::move(OnExit)) {}
  ScopeExit(const ScopeExit &) = delete;
  ScopeExit &operator=(const ScopeExit &) = delete;
  ~ScopeExit() {
    if (m_IsActive)
      m_OnExit();
  }

  /// The function is not called any more.
  void dismiss() { m_IsActive = false; }

private:
  Function m_OnExit;
  bool m_IsActive = true;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_SCOPEEXIT_H
