#include "Fescuegauge/JsonFields.h"

#include <boost/json.hpp>

namespace fescuegauge {

namespace json = boost::json;

std::string jsonText(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->as_string()) : std::string();
}

std::optional<std::uint64_t> jsonNumber(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_number())
    return std::nullopt;
  boost::system::error_code Error;
  auto Number = Found->to_number<std::uint64_t>(Error);
  if (Error)
    return std::nullopt;
  return Number;
}

std::optional<json::object> parseJsonObject(const std::string &Text) {
  boost::system::error_code Error;
  json::value Value = json::parse(Text, Error);
  if (Error || !Value.is_object())
    return std::nullopt;
  return std::move(Value.as_object());
}

} // namespace fescuegauge
