#ifndef FESCUEGAUGE_SEVERITY_H
#define FESCUEGAUGE_SEVERITY_H

namespace fescuegauge {

/// Severity of a logged event, in ascending order.
enum class Severity {
  /// Details of single requests and messages.
  Debug,
  /// Normal changes of state.
  Info,
  /// A failure that the system handles without an operator.
  Warning,
  /// A failure that needs an operator.
  Error,
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_SEVERITY_H
