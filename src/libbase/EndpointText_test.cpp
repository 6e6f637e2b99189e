#include "Fescuegauge/EndpointText.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;

// Guards against an address that changes when it is formatted and parsed again.
TEST_CASE("formatted endpoints are parsed back unchanged") {
  for (const char *Text : {"127.0.0.1:80", "[::1]:0", "[2001:db8::7]:65535"}) {
    auto Address = parseEndpoint(Text);
    REQUIRE(Address.has_value());
    CHECK(endpointText(*Address) == Text);
  }
  CHECK(isIpAddress("10.0.0.1"));
  CHECK(isIpAddress("::1"));
  CHECK_FALSE(isIpAddress("10.0.0.1:80"));
  CHECK_FALSE(isIpAddress("v1.2.3"));
}
