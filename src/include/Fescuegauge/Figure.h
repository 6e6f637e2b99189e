#ifndef FESCUEGAUGE_FIGURE_H
#define FESCUEGAUGE_FIGURE_H

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace fescuegauge {

/// A benchmark result with its bound, printed as one line of key=value pairs.
struct Figure {
  enum class Limit { None, AtMost, AtLeast };

  std::string m_Name;
  double m_Value = 0;
  std::string m_Unit;
  Limit m_Limit = Limit::None;
  double m_Bound = 0;
  std::vector<std::pair<std::string, double>> m_Baselines;

  bool isWithinBound() const;
};

/// Prints each figure when it is added and records whether any exceeded its bound.
class FigureReport {
public:
  explicit FigureReport(std::ostream &Out) : m_Out(Out) {}

  void add(const Figure &Entry);
  /// 0 if every figure was within its bound, otherwise 1.
  int exitCode() const { return m_HasExceededBound ? 1 : 0; }

private:
  std::ostream &m_Out;
  bool m_HasExceededBound = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FIGURE_H
