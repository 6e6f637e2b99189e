#ifndef FESCUEGAUGE_VALUECHECKS_H
#define FESCUEGAUGE_VALUECHECKS_H

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Takes one mistake. The first argument is added to the path of the key: "" for the key's own
/// value, "[1].address" for a part of it.
using ReportMistake = std::function<void(const std::string &SubPath, std::string Message)>;

/// "expected EXPECTED, found a boolean".
std::string wrongTypeText(std::string_view Expected, const boost::json::value &Found);

/// Reads an id; reports a mistake and returns nothing if the value is not one.
std::optional<std::string> readId(const boost::json::value &Value, const std::string &SubPath,
                                  const ReportMistake &Report);

/// Decimal form without an exponent: 0.5, 30, 2500000.
std::string plainNumber(double Value);

/// Names in quotes, for messages: "a", "b" or "c".
std::string choiceText(const std::vector<std::string_view> &Names);

/// Reads a whole file of at most MaxFileBytes; nothing and a message in `Mistake` if that fails.
std::optional<std::string> readFile(const std::string &FileName, std::string &Mistake);

/// Largest settings or declaration file; one with hundreds of entries has some 50 KiB.
constexpr std::size_t MaxFileBytes = std::size_t{1} << 20;

} // namespace fescuegauge

#endif // FESCUEGAUGE_VALUECHECKS_H
