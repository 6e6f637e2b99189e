#ifndef FESCUEGAUGE_JSONFIELDS_H
#define FESCUEGAUGE_JSONFIELDS_H

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

// Lenient access to objects that other programs wrote: a member that is missing or has another type
// is treated like one that is absent.

/// Empty if the member is no string.
std::string jsonText(const boost::json::object &Object, std::string_view Key);

/// Nothing if the member is no number, or one that 64 bits without sign cannot hold exactly.
std::optional<std::uint64_t> jsonNumber(const boost::json::object &Object, std::string_view Key);

/// Nothing if `Text` is not one JSON object.
std::optional<boost::json::object> parseJsonObject(const std::string &Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_JSONFIELDS_H
