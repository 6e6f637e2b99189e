#ifndef FESCUEGAUGE_VALUECHECKS_H
#define FESCUEGAUGE_VALUECHECKS_H

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Reports an error. The first argument is appended to the path of the key: "" for the key's own
/// value, "[1].address" for a part of it.
using ReportError = std::function<void(const std::string &SubPath, std::string Message)>;

/// For example "expected an integer, found a boolean".
std::string wrongTypeText(std::string_view Expected, const boost::json::value &Found);

/// Reads an id; reports an error and returns std::nullopt if the value is not a valid id.
std::optional<std::string> readId(const boost::json::value &Value, const std::string &SubPath,
                                  const ReportError &Report);

/// Decimal form without an exponent: 0.5, 30, 2500000.
std::string plainNumber(double Value);

/// Quotes and joins names for messages: "a", "b" or "c".
std::string choiceText(const std::vector<std::string_view> &Names);

/// Reads a whole file of at most MaxFileBytes. On failure returns std::nullopt and sets
/// `FailureText`.
std::optional<std::string> readFile(const std::string &FileName, std::string &FailureText);

/// Maximum size of a settings or declaration file; one with hundreds of entries has about 50 KiB.
constexpr std::size_t MaxFileBytes = std::size_t{1} << 20;

} // namespace fescuegauge

#endif // FESCUEGAUGE_VALUECHECKS_H
