#ifndef FESCUEGAUGE_JSONLINES_H
#define FESCUEGAUGE_JSONLINES_H

#include <boost/json/parse_options.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// A parsed JSON text with the line of every key and list element, which Boost.JSON's values do not
/// store.
struct JsonWithLines {
  struct Problem {
    std::uint32_t m_Line;
    std::string m_Path;
    std::string m_Message;
  };

  boost::json::value m_Root;
  /// Line by path, for example "listen.http" or "seeds[0].id".
  std::map<std::string, std::uint32_t, std::less<>> m_Lines;
  /// A syntax error, or duplicate keys in one object. Boost.JSON silently keeps the last of two
  /// equal keys, which would hide an error.
  std::vector<Problem> m_Problems;
  /// False if the text is not valid JSON; m_Root is then null.
  bool m_IsValid = false;

  /// The line of the value at `Path`, or of the innermost enclosing value that is present; 0 if
  /// there is none.
  std::uint32_t lineOf(std::string_view Path) const;
};

/// Parses JSON with `//` and `/* */` comments.
JsonWithLines parseJsonWithLines(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_JSONLINES_H
