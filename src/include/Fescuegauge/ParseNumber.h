#ifndef FESCUEGAUGE_PARSENUMBER_H
#define FESCUEGAUGE_PARSENUMBER_H

#include <charconv>
#include <cmath>
#include <optional>
#include <string_view>

namespace fescuegauge {

/// Parses the whole text as a decimal number. Empty if it has other characters or `T` cannot
/// represent the number.
template <typename T> std::optional<T> parseNumber(std::string_view Text) {
  T Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stopped, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Stopped != End)
    return std::nullopt;
  return Value;
}

/// Parses a finite, non-negative number.
inline std::optional<double> parseNonNegative(std::string_view Text) {
  const auto Value = parseNumber<double>(Text);
  return Value && std::isfinite(*Value) && *Value >= 0 ? Value : std::nullopt;
}

} // namespace fescuegauge

#endif // FESCUEGAUGE_PARSENUMBER_H
