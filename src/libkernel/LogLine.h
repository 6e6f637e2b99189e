#ifndef FESCUEGAUGE_LOGLINE_H
#define FESCUEGAUGE_LOGLINE_H

#include "Fescuegauge/Log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace fescuegauge {

/// `Text` as valid UTF-8 of at most `MaxBytes`. Bytes that are not UTF-8 become U+FFFD; a cut never
/// splits a character.
std::string validUtf8(std::string_view Text, std::size_t MaxBytes);

/// One value as it is written after "=": plain, or quoted and escaped.
std::string logValueText(const LogValue &Value);

std::string_view severityName(Severity Level);

/// The whole line without its end.
std::string logLine(std::string_view Time, Severity Level, std::string_view Event,
                    std::string_view Instance, std::string_view DataCentre,
                    std::initializer_list<LogAttribute> Attributes);

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOGLINE_H
