#include "PieceProtocol.h"

#include "Fescuegauge/ParseNumber.h"

#include <charconv>
#include <cstdio>
#include <sstream>

namespace fescuegauge {

std::string piecePath(const ModelId &Model, WeightsVersion Version, std::string_view Name) {
  return std::string(PiecePath) + Model.str() + "/" + std::to_string(Version.value()) + "/" +
         std::string(Name);
}

std::optional<PieceName> parsePiecePath(std::string_view Path) {
  if (!Path.starts_with(PiecePath))
    return std::nullopt;
  Path.remove_prefix(PiecePath.size());
  const std::size_t First = Path.find('/');
  const std::size_t Second = Path.find('/', First + 1);
  if (First == std::string_view::npos || Second == std::string_view::npos)
    return std::nullopt;
  const auto Version = parseNumber<std::uint64_t>(Path.substr(First + 1, Second - First - 1));
  if (!Version)
    return std::nullopt;
  return PieceName{ModelId(std::string(Path.substr(0, First))), WeightsVersion(*Version),
                   std::string(Path.substr(Second + 1))};
}

std::string encodeDigests(const DigestList &List) {
  std::string Text = List.m_Model.str() + " " + std::to_string(List.m_Version.value()) + "\n";
  for (const Digest &Each : List.m_Digests)
    Text += Each.hex() + "\n";
  return Text;
}

std::optional<DigestList> parseDigests(const std::string &Text) {
  std::istringstream Lines(Text);
  std::string Line;
  std::getline(Lines, Line);
  const std::size_t Space = Line.rfind(' ');
  if (Space == std::string::npos)
    return std::nullopt;
  const auto Version = parseNumber<std::uint64_t>(Line.substr(Space + 1));
  if (!Version)
    return std::nullopt;
  DigestList Result{ModelId(Line.substr(0, Space)), WeightsVersion(*Version), {}};
  while (std::getline(Lines, Line)) {
    auto Parsed = Digest::fromHex(Line);
    if (!Parsed)
      return std::nullopt;
    Result.m_Digests.push_back(*Parsed);
  }
  return Result;
}

std::string encodeHoldings(const ChunkSet &Held) {
  std::string Text;
  for (const std::uint64_t Word : Held.words()) {
    char Digits[17];
    std::snprintf(Digits, sizeof Digits, "%016llx", static_cast<unsigned long long>(Word));
    Text += Digits;
  }
  return Text;
}

std::optional<ChunkSet> parseHoldings(std::string_view Text, std::size_t Size) {
  constexpr std::size_t WordDigits = 16;
  constexpr std::size_t WordBits = 64;
  ChunkSet Result(Size);
  if (Text.size() != Result.words().size() * WordDigits)
    return std::nullopt;
  for (std::size_t Word = 0; Word * WordDigits < Text.size(); ++Word) {
    const std::string_view Digits = Text.substr(Word * WordDigits, WordDigits);
    std::uint64_t Bits = 0;
    auto [End, Error] = std::from_chars(Digits.data(), Digits.data() + Digits.size(), Bits, 16);
    if (Error != std::errc() || End != Digits.data() + Digits.size())
      return std::nullopt;
    for (std::size_t Bit = 0; Bit < WordBits; ++Bit)
      if ((Bits >> Bit & 1) != 0)
        Result.insert(static_cast<std::uint32_t>(Word * WordBits + Bit));
  }
  return Result;
}

} // namespace fescuegauge
