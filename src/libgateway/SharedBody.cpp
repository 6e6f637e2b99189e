#include "Fescuegauge/SharedBody.h"

#include <algorithm>

namespace fescuegauge {

void BodyBytes::append(std::string_view Bytes) {
  while (!Bytes.empty()) {
    if (m_Segments.empty() || m_Segments.back().size() == m_Segments.back().capacity()) {
      m_Segments.emplace_back();
      m_Segments.back().reserve(std::min(std::max(m_Size, Bytes.size()), MaxSegmentBytes));
      m_Capacity += m_Segments.back().capacity();
    }
    std::string &Last = m_Segments.back();
    const std::string_view Part = Bytes.substr(0, Last.capacity() - Last.size());
    Last.append(Part);
    m_Size += Part.size();
    Bytes.remove_prefix(Part.size());
  }
}

} // namespace fescuegauge
