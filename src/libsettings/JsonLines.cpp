#include "JsonLines.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <set>

namespace fescuegauge {

namespace {

namespace json = boost::json;

/// Maximum nesting depth, above what settings files need; deeper text is refused.
constexpr std::size_t MaxDepth = 16;

json::parse_options parseOptions() {
  json::parse_options Options;
  Options.allow_comments = true;
  Options.max_depth = MaxDepth;
  return Options;
}

/// Records the line of each parser event. The parser is fed one character at a time, so that the
/// line that the caller counts is the line of the event.
class LineHandler {
public:
  // boost::json::basic_parser requires these names and signatures of a handler.
  // NOLINTBEGIN(readability-identifier-naming)
  static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
  static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

  bool on_document_begin(json::error_code &) { return true; }
  bool on_document_end(json::error_code &) { return true; }
  bool on_object_begin(json::error_code &) { return open(false); }
  bool on_object_end(std::size_t, json::error_code &) { return close(); }
  bool on_array_begin(json::error_code &) { return open(true); }
  bool on_array_end(std::size_t, json::error_code &) { return close(); }
  bool on_key_part(json::string_view Part, std::size_t, json::error_code &) {
    m_Key += std::string_view(Part);
    return true;
  }
  bool on_key(json::string_view Part, std::size_t, json::error_code &) {
    m_Key += std::string_view(Part);
    Frame &Top = m_Frames.back();
    Top.m_Member = Top.m_Path.empty() ? m_Key : Top.m_Path + "." + m_Key;
    if (!Top.m_Keys.insert(m_Key).second)
      m_Result.m_Problems.push_back({m_Line, Top.m_Member, "key occurs twice"});
    m_Result.m_Lines.emplace(Top.m_Member, m_Line);
    m_Key.clear();
    return true;
  }
  bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; }
  bool on_string(json::string_view, std::size_t, json::error_code &) { return element(); }
  bool on_number_part(json::string_view, json::error_code &) { return true; }
  bool on_int64(std::int64_t, json::string_view, json::error_code &) { return element(); }
  bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { return element(); }
  bool on_double(double, json::string_view, json::error_code &) { return element(); }
  bool on_bool(bool, json::error_code &) { return element(); }
  bool on_null(json::error_code &) { return element(); }
  bool on_comment_part(json::string_view, json::error_code &) { return true; }
  bool on_comment(json::string_view, json::error_code &) { return true; }
  // NOLINTEND(readability-identifier-naming)

  JsonWithLines m_Result;
  std::uint32_t m_Line = 1;

private:
  struct Frame {
    std::string m_Path;
    bool m_IsArray = false;
    std::size_t m_Elements = 0;
    /// Path of the object member whose value is parsed next.
    std::string m_Member;
    std::set<std::string, std::less<>> m_Keys;
  };

  /// Path of the value that begins; counts and records elements of lists.
  std::string valuePath() {
    if (m_Frames.empty())
      return {};
    Frame &Top = m_Frames.back();
    if (!Top.m_IsArray)
      return Top.m_Member;
    std::string Path = Top.m_Path + "[" + std::to_string(Top.m_Elements++) + "]";
    m_Result.m_Lines.emplace(Path, m_Line);
    return Path;
  }

  bool element() {
    valuePath();
    return true;
  }

  bool open(bool IsArray) {
    Frame Next;
    Next.m_Path = valuePath();
    Next.m_IsArray = IsArray;
    m_Frames.push_back(std::move(Next));
    return true;
  }

  bool close() {
    m_Frames.pop_back();
    return true;
  }

  std::vector<Frame> m_Frames;
  std::string m_Key;
};

} // namespace

std::uint32_t JsonWithLines::lineOf(std::string_view Path) const {
  while (!Path.empty()) {
    auto Found = m_Lines.find(Path);
    if (Found != m_Lines.end())
      return Found->second;
    auto Separator = Path.find_last_of(".[");
    Path = Separator == std::string_view::npos ? std::string_view() : Path.substr(0, Separator);
  }
  return 0;
}

namespace {

/// Replaces the comments before the root value by white space. Boost.JSON 1.81 reports a syntax
/// error if such a comment is passed to it in several pieces.
std::string withoutLeadingComments(std::string_view Text) {
  std::string Result(Text);
  std::size_t Position = 0;
  while ((Position = Result.find_first_not_of(" \t\r\n", Position)) != std::string::npos) {
    std::string_view Rest = std::string_view(Result).substr(Position);
    bool IsLine = Rest.starts_with("//");
    if (!IsLine && !Rest.starts_with("/*"))
      break;
    std::size_t End = IsLine ? Result.find('\n', Position) : Result.find("*/", Position + 2);
    if (End == std::string::npos)
      break;
    End += IsLine ? 0 : 2;
    for (; Position < End; ++Position)
      if (Result[Position] != '\n')
        Result[Position] = ' ';
  }
  return Result;
}

} // namespace

JsonWithLines parseJsonWithLines(std::string_view Text) {
  const std::string Blanked = withoutLeadingComments(Text);
  json::basic_parser<LineHandler> Parser(parseOptions());
  LineHandler &Handler = Parser.handler();
  json::error_code Failure;
  for (const char &Character : Blanked) {
    // The parser does not consume text after the document and reports no error for it.
    if (Parser.write_some(true, &Character, 1, Failure) == 0 && !Failure)
      Failure = json::error::extra_data;
    if (Failure)
      break;
    if (Character == '\n')
      ++Handler.m_Line;
  }
  if (!Failure)
    Parser.write_some(false, nullptr, 0, Failure);
  JsonWithLines Result = std::move(Handler.m_Result);
  if (Failure) {
    Result.m_Problems.push_back({Handler.m_Line, {}, "not valid JSON: " + Failure.message()});
    return Result;
  }
  Result.m_Root =
      json::parse(json::string_view(Text.data(), Text.size()), Failure, {}, parseOptions());
  Result.m_IsValid = !Failure;
  if (Failure)
    Result.m_Problems.push_back({0, {}, "not valid JSON: " + Failure.message()});
  return Result;
}

} // namespace fescuegauge
