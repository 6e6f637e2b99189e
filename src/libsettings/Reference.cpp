#include "Schema.h"

#include <boost/json/serialize.hpp>

namespace fescuegauge {

namespace {

/// Text of the column "default": the default value, or who must give the key.
std::string presenceText(const SettingsKey &Key) {
  switch (Key.m_Presence) {
  case SettingsKey::Presence::Required:
    return "required";
  case SettingsKey::Presence::RequiredForAgent:
    return "required for role `agent`";
  case SettingsKey::Presence::Optional:
  case SettingsKey::Presence::OptionalForAgent:
    break;
  }
  boost::json::value Default = Key.m_Read(Settings());
  // Boost.JSON would write doubles with an exponent.
  const double *Number = Default.if_double();
  std::string Text = Number ? plainNumber(*Number) : boost::json::serialize(Default);
  return "`" + Text + "`" + (Key.isForAgent() ? ", role `agent` only" : "");
}

constexpr std::string_view Introduction =
    "# Settings\n"
    "\n"
    "`fescuegauged` reads one settings file, named on its command line. This page is the output "
    "of\n"
    "`fescuegauge config reference`; a test compares the two.\n"
    "\n"
    "The file is JSON with `//` and `/* */` comments. A dot in a key below stands for a nested\n"
    "object: `listen.http` is the key `http` in the object `listen`. Times are in seconds, sizes "
    "in\n"
    "bytes and rates in bytes per second, as the end of the key says. Addresses are IP addresses;\n"
    "host names are not resolved.\n"
    "\n"
    "Unknown keys, keys that occur twice, wrong types, values out of range and missing keys are "
    "all\n"
    "reported together, one line each, as `FILE:LINE: KEY: MESSAGE`. The process then exits with\n"
    "code 2 and starts nothing. `fescuegauge config check FILE` does the same check.\n"
    "\n"
    "What operators change while processes run is not a setting but a declaration; see\n"
    "[operator-api.md](operator-api.md).\n"
    "\n";

} // namespace

std::string settingsReference() {
  std::string Page(Introduction);
  Page += "| key | type and range | default | meaning |\n|---|---|---|---|\n";
  for (const SettingsKey &Key : settingsSchema())
    Page += "| `" + Key.m_Path + "` | " + Key.m_Type + " | " + presenceText(Key) + " | " +
            Key.m_Description + " |\n";
  return Page;
}

} // namespace fescuegauge
