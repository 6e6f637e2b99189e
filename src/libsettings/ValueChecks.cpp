#include "ValueChecks.h"

#include <array>
#include <charconv>
#include <fstream>

namespace fescuegauge {

namespace json = boost::json;

namespace {

/// Ids are used in row keys, log lines and metric labels, so they are short and need no escaping.
constexpr std::size_t MaxIdLength = 64;
constexpr std::string_view IdCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

std::string_view kindName(json::kind Kind) {
  switch (Kind) {
  case json::kind::null:
    return "null";
  case json::kind::bool_:
    return "a boolean";
  case json::kind::int64:
  case json::kind::uint64:
    return "an integer";
  case json::kind::double_:
    return "a number";
  case json::kind::string:
    return "a string";
  case json::kind::array:
    return "a list";
  case json::kind::object:
    return "an object";
  }
  return "a value";
}

} // namespace

std::string wrongTypeText(std::string_view Expected, const json::value &Found) {
  return "expected " + std::string(Expected) + ", found " + std::string(kindName(Found.kind()));
}

std::optional<std::string> readId(const json::value &Value, const std::string &SubPath,
                                  const ReportError &Report) {
  if (!Value.is_string()) {
    Report(SubPath, wrongTypeText("a string", Value));
    return std::nullopt;
  }
  std::string_view Text = Value.get_string();
  if (Text.empty())
    Report(SubPath, "must not be empty");
  else if (Text.size() > MaxIdLength)
    Report(SubPath, "is longer than " + std::to_string(MaxIdLength) + " characters");
  else if (Text.find_first_not_of(IdCharacters) != std::string_view::npos)
    Report(SubPath, R"(may only contain letters, digits, "-", "_" and ".")");
  else
    return std::string(Text);
  return std::nullopt;
}

std::string plainNumber(double Value) {
  std::array<char, 32> Text{};
  auto End = std::to_chars(Text.data(), Text.data() + Text.size(), Value, std::chars_format::fixed);
  return {Text.data(), End.ptr};
}

std::string choiceText(const std::vector<std::string_view> &Names) {
  std::string Text;
  for (std::size_t I = 0; I < Names.size(); ++I) {
    Text += I == 0 ? "" : (I + 1 == Names.size() ? " or " : ", ");
    Text += "\"" + std::string(Names[I]) + "\"";
  }
  return Text;
}

std::optional<std::string> readFile(const std::string &FileName, std::string &FailureText) {
  std::ifstream File(FileName, std::ios::binary);
  if (!File) {
    FailureText = "cannot be opened";
    return std::nullopt;
  }
  std::string Text(MaxFileBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (File.bad() || (File.gcount() == 0 && !File.eof())) {
    FailureText = "cannot be read";
    return std::nullopt;
  }
  Text.resize(static_cast<std::size_t>(File.gcount()));
  if (Text.size() > MaxFileBytes) {
    FailureText = "is larger than " + std::to_string(MaxFileBytes) + " bytes";
    return std::nullopt;
  }
  return Text;
}

} // namespace fescuegauge
