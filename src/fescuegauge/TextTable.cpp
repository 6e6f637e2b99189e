#include "TextTable.h"

#include <algorithm>

namespace fescuegauge {

namespace {

constexpr std::string_view Gap = "  ";

/// Number of characters of valid UTF-8 text: all bytes except continuation bytes.
std::size_t characterCount(std::string_view Text) {
  return static_cast<std::size_t>(std::ranges::count_if(
      Text, [](char Byte) { return (static_cast<unsigned char>(Byte) & 0xC0) != 0x80; }));
}

} // namespace

std::string printable(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    const auto Byte = static_cast<unsigned char>(Text[I]);
    // The C1 controls are 0xC2 0x80 to 0xC2 0x9F in UTF-8.
    const bool IsWideControl =
        Byte == 0xC2 && I + 1 < Text.size() && static_cast<unsigned char>(Text[I + 1]) < 0xA0;
    if (IsWideControl)
      ++I;
    Out += IsWideControl || Byte < 0x20 || Byte == 0x7F ? '?' : Text[I];
  }
  return Out;
}

std::string wrapText(std::string_view Text, std::size_t Width) {
  std::string Out;
  std::size_t Column = 0;
  while (!Text.empty()) {
    std::string_view Word = Text.substr(0, Text.find(' '));
    Text.remove_prefix(std::min(Word.size() + 1, Text.size()));
    if (Column != 0 && Column + 1 + Word.size() > Width) {
      Out += '\n';
      Column = 0;
    } else if (Column != 0) {
      Out += ' ';
      ++Column;
    }
    Out += Word;
    Column += Word.size();
  }
  return Out;
}

void TextTable::add(std::vector<std::string> Row) {
  for (std::string &Cell : Row)
    Cell = printable(Cell);
  m_Rows.push_back(std::move(Row));
}

void TextTable::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths;
  for (const auto &Row : m_Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], characterCount(Row[I]));
  }
  for (const auto &Row : m_Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - characterCount(Row[I]), ' ').append(Gap);
    }
    Out << Line << '\n';
  }
}

} // namespace fescuegauge
