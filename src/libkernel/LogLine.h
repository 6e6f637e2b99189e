#ifndef FESCUEGAUGE_LOGLINE_H
#define FESCUEGAUGE_LOGLINE_H

#include "Fescuegauge/Log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace fescuegauge {

/// `Text` as valid UTF-8 of at most `MaxBytes`. Invalid bytes become U+FFFD; truncation never
/// splits a character.
std::string validUtf8(std::string_view Text, std::size_t MaxBytes);

/// Formats a value as it follows "=": plain, or quoted and escaped.
std::string logValueText(const LogValue &Value);

std::string_view severityName(Severity Level);

/// Formats a complete line without the trailing newline.
std::string logLine(std::string_view Time, Severity Level, std::string_view Event,
                    std::string_view Instance, std::string_view DataCentre,
                    std::initializer_list<LogAttribute> Attributes);

} // namespace fescuegauge

#endif // FESCUEGAUGE_LOGLINE_H
