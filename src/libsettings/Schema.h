#ifndef FESCUEGAUGE_SCHEMA_H
#define FESCUEGAUGE_SCHEMA_H

#include "Fescuegauge/Settings.h"
#include "ValueChecks.h"

#include <boost/json/value.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// One key of the settings file.
struct SettingsKey {
  enum class Presence {
    /// Must be given.
    Required,
    /// Has a default.
    Optional,
    /// Must be given for role agent.
    RequiredForAgent,
    /// Has a default for role agent.
    OptionalForAgent,
  };

  /// Names of the enclosing objects and of the key, joined by dots.
  std::string m_Path;
  Presence m_Presence;
  /// Type and range, as text for the reference.
  std::string m_Type;
  std::string m_Description;
  /// Validates a value and stores it if it is valid.
  std::function<void(const boost::json::value &, Settings &, const ReportError &)> m_Store;
  /// The value in `Settings` as it would appear in a file; gives the defaults for the reference.
  std::function<boost::json::value(const Settings &)> m_Read;

  bool isForAgent() const {
    return m_Presence == Presence::RequiredForAgent || m_Presence == Presence::OptionalForAgent;
  }
  bool isRequiredFor(InstanceRole Role) const {
    return m_Presence == Presence::Required ||
           (m_Presence == Presence::RequiredForAgent && Role == InstanceRole::Agent);
  }
};

/// All keys, in the order of the reference page.
const std::vector<SettingsKey> &settingsSchema();

/// Null if no key has that path.
const SettingsKey *findSettingsKey(std::string_view Path);

/// True if there are keys below `Path`, so that its value must be an object.
bool isSettingsGroup(std::string_view Path);

} // namespace fescuegauge

#endif // FESCUEGAUGE_SCHEMA_H
