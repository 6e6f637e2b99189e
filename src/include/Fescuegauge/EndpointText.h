#ifndef FESCUEGAUGE_ENDPOINTTEXT_H
#define FESCUEGAUGE_ENDPOINTTEXT_H

#include "Fescuegauge/InstanceRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Parses "IP:PORT" with an IPv4 address, or an IPv6 address in brackets. Empty for any other text,
/// including host names.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// Formats an endpoint as parseEndpoint() reads it.
std::string endpointText(const Endpoint &Address);

/// True for an IPv4 or IPv6 address without brackets or port.
bool isIpAddress(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ENDPOINTTEXT_H
