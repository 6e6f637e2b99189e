#include "Fescuegauge/EndpointText.h"

#include "Fescuegauge/ParseNumber.h"

#include <arpa/inet.h>
#include <array>

namespace fescuegauge {

namespace {

bool isAddressOf(int Family, std::string_view Text) {
  std::array<unsigned char, sizeof(in6_addr)> Binary{};
  // inet_pton() stops at a zero byte, so text that contains one is refused first.
  return Text.find('\0') == std::string_view::npos &&
         inet_pton(Family, std::string(Text).c_str(), Binary.data()) == 1;
}

} // namespace

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  int Family = AF_INET;
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Family = AF_INET6;
    Host = Host.substr(1, Host.size() - 2);
  }
  const auto Number = parseNumber<std::uint16_t>(Port);
  if (!Number || !isAddressOf(Family, Host))
    return std::nullopt;
  return Endpoint{std::string(Host), *Number};
}

std::string endpointText(const Endpoint &Address) {
  bool IsV6 = Address.m_Host.find(':') != std::string::npos;
  return (IsV6 ? "[" + Address.m_Host + "]" : Address.m_Host) + ":" +
         std::to_string(Address.m_Port);
}

bool isIpAddress(std::string_view Text) {
  return isAddressOf(AF_INET, Text) || isAddressOf(AF_INET6, Text);
}

} // namespace fescuegauge
