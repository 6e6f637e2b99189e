#ifndef FESCUEGAUGE_BASE64_H
#define FESCUEGAUGE_BASE64_H

#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// In one line, with padding.
std::string encodeBase64(std::string_view Bytes);
/// Nothing if `Text` is not what encodeBase64() gives for some bytes.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_BASE64_H
