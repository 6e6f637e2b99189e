#ifndef FESCUEGAUGE_LIBTARGETS_JSON_H
#define FESCUEGAUGE_LIBTARGETS_JSON_H

#include <boost/json.hpp>
#include <optional>
#include <string_view>

namespace fescuegauge {

/// Parses a JSON text that may contain comments and is nested at most 16 levels deep; returns
/// nullopt if it is malformed.
std::optional<boost::json::value> parseJson(std::string_view Text);

/// Returns a string member; empty if it is absent or of another type.
inline std::string jsonText(const boost::json::object &Object, std::string_view Key) {
  const boost::json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->get_string()) : std::string();
}

/// Returns a non-negative integer member; nullopt if it is absent or of another type.
inline std::optional<std::uint64_t> jsonNumber(const boost::json::object &Object,
                                               std::string_view Key) {
  const boost::json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_int64() || Found->get_int64() < 0)
    return {};
  return static_cast<std::uint64_t>(Found->get_int64());
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_LIBTARGETS_JSON_H
