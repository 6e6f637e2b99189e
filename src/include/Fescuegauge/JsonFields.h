#ifndef FESCUEGAUGE_JSONFIELDS_H
#define FESCUEGAUGE_JSONFIELDS_H

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

// Lenient access to JSON objects from other programs: a member of the wrong type is treated as
// missing.

/// Empty if the member is not a string.
std::string jsonText(const boost::json::object &Object, std::string_view Key);

/// Empty if the member is not a number that std::uint64_t can represent exactly.
std::optional<std::uint64_t> jsonNumber(const boost::json::object &Object, std::string_view Key);

/// Empty if `Text` is not a single JSON object.
std::optional<boost::json::object> parseJsonObject(const std::string &Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_JSONFIELDS_H
