#include "LogLine.h"

#include <Poco/UTF8Encoding.h>
#include <array>
#include <charconv>

namespace fescuegauge {

namespace {

constexpr std::string_view PlainCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-.:/,+@";
constexpr std::string_view Replacement = "\xEF\xBF\xBD";
constexpr std::string_view Ellipsis = "...";

template <typename Number> std::string numberText(Number Value) {
  std::array<char, 32> Text{};
  auto End = std::to_chars(Text.data(), Text.data() + Text.size(), Value);
  return {Text.data(), End.ptr};
}

/// True for non-ASCII characters that end a line or move the cursor in some log viewers: the C1
/// controls and the line and paragraph separators.
bool isUnicodeControl(int Character) {
  return (Character >= 0x80 && Character < 0xA0) || Character == 0x2028 || Character == 0x2029;
}

void appendHex(std::string &Out, unsigned Value, int Digits) {
  constexpr std::string_view Hex = "0123456789abcdef";
  for (int Shift = 4 * (Digits - 1); Shift >= 0; Shift -= 4)
    Out += Hex[(Value >> Shift) & 0xF];
}

void appendEscaped(std::string &Out, std::string_view Character) {
  const auto First = static_cast<unsigned char>(Character[0]);
  if (Character == "\"" || Character == "\\") {
    Out += '\\';
    Out += Character;
  } else if (Character == "\n") {
    Out += "\\n";
  } else if (Character == "\r") {
    Out += "\\r";
  } else if (Character == "\t") {
    Out += "\\t";
  } else if (First < 0x20 || First == 0x7F) {
    Out += "\\x";
    appendHex(Out, First, 2);
  } else if (int CodePoint = Poco::UTF8Encoding().queryConvert(
                 reinterpret_cast<const unsigned char *>(Character.data()),
                 static_cast<int>(Character.size()));
             isUnicodeControl(CodePoint)) {
    Out += "\\u";
    appendHex(Out, static_cast<unsigned>(CodePoint), 4);
  } else {
    Out += Character;
  }
}

/// Length of the UTF-8 character at the start of `Text`; 0 if its bytes are not UTF-8.
std::size_t characterLength(std::string_view Text) {
  Poco::UTF8Encoding Encoding;
  const auto *Data = reinterpret_cast<const unsigned char *>(Text.data());
  // sequenceLength() and queryConvert() return -1 for invalid bytes and -N when N bytes are needed.
  int Length = Encoding.sequenceLength(Data, 1);
  if (Length < -1)
    Length = -Length;
  if (Length < 1 || static_cast<std::size_t>(Length) > Text.size() ||
      Encoding.queryConvert(Data, Length) < 0)
    return 0;
  return static_cast<std::size_t>(Length);
}

std::string textValue(std::string_view Text) {
  if (!Text.empty() && Text.size() <= MaxLogValueBytes &&
      Text.find_first_not_of(PlainCharacters) == std::string_view::npos)
    return std::string(Text);
  std::string Valid = validUtf8(Text, MaxLogValueBytes);
  std::string Out = "\"";
  for (std::string_view Rest = Valid; !Rest.empty();) {
    std::size_t Length = characterLength(Rest);
    appendEscaped(Out, Rest.substr(0, Length));
    Rest.remove_prefix(Length);
  }
  if (Text.size() > MaxLogValueBytes)
    Out += Ellipsis;
  return Out + "\"";
}

struct ContentText {
  std::string operator()(std::string_view Value) const { return textValue(Value); }
  std::string operator()(bool Value) const { return Value ? "true" : "false"; }
  std::string operator()(auto Value) const { return numberText(Value); }
};

} // namespace

std::string validUtf8(std::string_view Text, std::size_t MaxBytes) {
  std::string Out;
  while (!Text.empty()) {
    std::size_t Length = characterLength(Text);
    std::string_view Next = Length == 0 ? Replacement : Text.substr(0, Length);
    if (Out.size() + Next.size() > MaxBytes)
      break;
    Out += Next;
    Text.remove_prefix(Length == 0 ? 1 : Length);
  }
  return Out;
}

std::string logValueText(const LogValue &Value) {
  return std::visit(ContentText(), Value.content());
}

std::string_view severityName(Severity Level) {
  constexpr std::array<std::string_view, 4> Names{"debug", "info", "warning", "error"};
  return Names.at(static_cast<std::size_t>(Level));
}

std::string logLine(std::string_view Time, Severity Level, std::string_view Event,
                    std::string_view Instance, std::string_view DataCentre,
                    std::initializer_list<LogAttribute> Attributes) {
  constexpr std::string_view Truncated = " truncated=true";
  std::string Line = "time=" + std::string(Time) + " severity=" + std::string(severityName(Level)) +
                     " event=" + textValue(Event);
  if (!Instance.empty())
    Line += " instance=" + textValue(Instance);
  if (!DataCentre.empty())
    Line += " dataCentre=" + textValue(DataCentre);
  for (const LogAttribute &Attribute : Attributes) {
    std::string Pair = " " + std::string(Attribute.m_Key) + "=" + logValueText(Attribute.m_Value);
    if (Line.size() + Pair.size() + Truncated.size() > MaxLogLineBytes) {
      Line += Truncated;
      break;
    }
    Line += Pair;
  }
  return Line;
}

} // namespace fescuegauge
