#ifndef FESCUEGAUGE_TEXTPACKING_H
#define FESCUEGAUGE_TEXTPACKING_H

#include <cstddef>
#include <optional>
#include <string>

namespace fescuegauge {

/// Compressed with deflate at its fastest level: a plan of 400 kB to about a tenth.
std::string packText(const std::string &Text);
/// Nothing if `Packed` is no whole compressed text, or one of more than `MaxBytes`.
std::optional<std::string> unpackText(const std::string &Packed, std::size_t MaxBytes);

} // namespace fescuegauge

#endif // FESCUEGAUGE_TEXTPACKING_H
