#ifndef FESCUEGAUGE_TEXTTABLE_H
#define FESCUEGAUGE_TEXTTABLE_H

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// `Text` with each control character replaced by a question mark, so that untrusted text cannot
/// send escape sequences to the terminal.
std::string printable(std::string_view Text);

/// `Text` broken at spaces into lines of at most `Width` bytes; longer words are not split.
std::string wrapText(std::string_view Text, std::size_t Width);

/// Human-readable rows with left-aligned columns.
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
