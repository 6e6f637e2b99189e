#include "Fescuegauge/Figure.h"

namespace fescuegauge {

bool Figure::isWithinBound() const {
  switch (m_Limit) {
  case Limit::None:
    return true;
  case Limit::AtMost:
    return m_Value <= m_Bound;
  case Limit::AtLeast:
    return m_Value >= m_Bound;
  }
  return false;
}

void FigureReport::add(const Figure &Entry) {
  m_Out << "figure=" << Entry.m_Name << " value=" << Entry.m_Value;
  if (Entry.m_Limit != Figure::Limit::None)
    m_Out << " bound=" << Entry.m_Bound
          << " limit=" << (Entry.m_Limit == Figure::Limit::AtMost ? "at_most" : "at_least");
  m_Out << " unit=" << Entry.m_Unit;
  for (const auto &[Name, Value] : Entry.m_Baselines)
    m_Out << " baseline." << Name << '=' << Value;
  if (!Entry.isWithinBound()) {
    m_Out << " missed=true";
    m_HasExceededBound = true;
  }
  m_Out << std::endl;
}

} // namespace fescuegauge
