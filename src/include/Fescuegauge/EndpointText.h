#ifndef FESCUEGAUGE_ENDPOINTTEXT_H
#define FESCUEGAUGE_ENDPOINTTEXT_H

#include "Fescuegauge/InstanceRecord.h"

#include <optional>
#include <string>
#include <string_view>

namespace fescuegauge {

/// Parses "IP:PORT" with an IPv4 address, or with an IPv6 address in brackets. Host names are not
/// addresses.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

/// The text that parseEndpoint() reads.
std::string endpointText(const Endpoint &Address);

/// True for an IPv4 or IPv6 address without brackets and port.
bool isIpAddress(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_ENDPOINTTEXT_H
