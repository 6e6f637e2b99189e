#ifndef FESCUEGAUGE_TEXTTABLE_H
#define FESCUEGAUGE_TEXTTABLE_H

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// `Text` without control characters, so that text from elsewhere cannot steer a terminal.
std::string printable(std::string_view Text);

/// `Text` with line breaks instead of spaces, so that no line is longer than `Width` unless a word
/// is.
std::string wrapped(std::string_view Text, std::size_t Width);

/// Rows with aligned columns, for people.
class TextTable {
public:
  explicit TextTable(std::vector<std::string> Header) { add(std::move(Header)); }

  void add(std::vector<std::string> Row);
  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> m_Rows;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TEXTTABLE_H
