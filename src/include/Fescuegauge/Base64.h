#ifndef FESCUEGAUGE_BASE64_H
#define FESCUEGAUGE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Encodes with padding and without line breaks.
std::string encodeBase64(std::string_view Bytes);
/// Empty if `Text` is not a possible result of encodeBase64().
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_BASE64_H
