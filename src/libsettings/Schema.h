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

  /// Names of the enclosing objects and of the key, joined with dots.
  std::string m_Path;
  Presence m_Presence;
  /// Type and range in words.
  std::string m_Type;
  std::string m_Description;
  /// Checks a value and stores it if it has no mistake.
  std::function<void(const boost::json::value &, Settings &, const ReportMistake &)> m_Store;
  /// The value in `Settings` as it would be written in a file; reads defaults for the reference.
  std::function<boost::json::value(const Settings &)> m_Read;

  bool isForAgent() const {
    return m_Presence == Presence::RequiredForAgent || m_Presence == Presence::OptionalForAgent;
  }
  bool isRequiredFor(InstanceRole Role) const {
    return m_Presence == Presence::Required ||
           (m_Presence == Presence::RequiredForAgent && Role == InstanceRole::Agent);
  }
};

/// All keys, in the order of the reference.
const std::vector<SettingsKey> &settingsSchema();

/// The key with that path; null if there is none.
const SettingsKey *findSettingsKey(std::string_view Path);

/// True when keys exist below `Path`, so that its value must be an object.
bool isSettingsGroup(std::string_view Path);

} // namespace fescuegauge

#endif // FESCUEGAUGE_SCHEMA_H
