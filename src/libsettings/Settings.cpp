#include "Fescuegauge/Settings.h"

#include "Fescuegauge/ErrorKind.h"
#include "JsonLines.h"
#include "Schema.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <set>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

/// Validates a parsed file against the schema and collects the errors.
class Validator {
public:
  Validator(const JsonWithLines &Source, std::string_view FileName)
      : m_Source(Source), m_FileName(FileName) {}

  void run() {
    for (const auto &Problem : m_Source.m_Problems)
      m_Errors.m_Errors.push_back(
          {std::string(m_FileName), Problem.m_Line, Problem.m_Path, Problem.m_Message});
    if (!m_Source.m_IsValid)
      return;
    if (!m_Source.m_Root.is_object())
      return add({}, wrongTypeText("an object", m_Source.m_Root));
    visit({}, m_Source.m_Root.get_object());
    checkPresence();
    checkRelations();
    std::ranges::stable_sort(m_Errors.m_Errors, {}, &SettingsError::m_Line);
  }

  Settings m_Settings;
  SettingsErrors m_Errors;

private:
  void add(const std::string &Path, std::string Message) {
    m_InvalidPaths.insert(Path);
    m_Errors.m_Errors.push_back(
        {std::string(m_FileName), m_Source.lineOf(Path), Path, std::move(Message)});
  }

  void visit(const std::string &Prefix, const json::object &Object) {
    for (const auto &Member : Object) {
      std::string Path = Prefix + std::string(Member.key());
      m_Present.insert(Path);
      if (const SettingsKey *Key = findSettingsKey(Path)) {
        Key->m_Store(Member.value(), m_Settings,
                     [&](const std::string &SubPath, std::string Message) {
                       add(Path + SubPath, std::move(Message));
                     });
      } else if (!isSettingsGroup(Path)) {
        add(Path, "unknown key");
      } else if (!Member.value().is_object()) {
        add(Path, wrongTypeText("an object", Member.value()));
      } else {
        visit(Path + ".", Member.value().get_object());
      }
    }
  }

  bool isRoleKnown() const {
    return m_Present.contains("role") && !m_InvalidPaths.contains("role");
  }

  void checkPresence() {
    for (const SettingsKey &Key : settingsSchema()) {
      std::string Group = Key.m_Path.substr(0, Key.m_Path.rfind('.'));
      if (m_InvalidPaths.contains(Group))
        continue;
      bool IsPresent = m_Present.contains(Key.m_Path);
      if (Key.isForAgent() && !isRoleKnown())
        continue;
      if (!IsPresent && Key.isRequiredFor(m_Settings.m_Role))
        add(Key.m_Path, "missing");
      if (IsPresent && Key.isForAgent() && m_Settings.m_Role != InstanceRole::Agent)
        add(Key.m_Path, "is allowed for role \"agent\" only");
    }
  }

  /// Rules that concern two keys; skipped if one of them is invalid by itself.
  void checkRelations() {
    const HeartbeatSettings &Heartbeats = m_Settings.m_Heartbeats;
    if (areValid("heartbeats.intervalSeconds", "heartbeats.failureSeconds") &&
        Heartbeats.m_FailureTime < 2 * Heartbeats.m_Interval)
      add("heartbeats.failureSeconds", "must be at least twice heartbeats.intervalSeconds, so "
                                       "that one late heartbeat does not end a connection");
    const LimitSettings &Limits = m_Settings.m_Limits;
    if (areValid("limits.maxQueuedRequests", "limits.maxQueuedRequestsPerAccount") &&
        Limits.m_MaxQueuedRequestsPerAccount > Limits.m_MaxQueuedRequests)
      add("limits.maxQueuedRequestsPerAccount", "must not be above limits.maxQueuedRequests");
    if (m_Settings.m_Role == InstanceRole::Agent &&
        areValid("agent.stagingLimitBytes", "limits.chunkBytesInFlight") &&
        m_Settings.m_Agent.m_StagingLimit < Limits.m_ChunkBytesInFlight &&
        m_Present.contains("limits.chunkBytesInFlight"))
      add("limits.chunkBytesInFlight", "must not be above agent.stagingLimitBytes");
  }

  bool areValid(std::string_view Left, std::string_view Right) const {
    return !m_InvalidPaths.contains(Left) && !m_InvalidPaths.contains(Right);
  }

  const JsonWithLines &m_Source;
  std::string_view m_FileName;
  std::set<std::string, std::less<>> m_Present;
  std::set<std::string, std::less<>> m_InvalidPaths;
};

} // namespace

std::string SettingsError::text() const {
  std::string Text = m_File;
  if (m_Line != 0)
    Text += ":" + std::to_string(m_Line);
  Text += ": ";
  if (!m_Path.empty())
    Text += m_Path + ": ";
  return Text + m_Message;
}

leaf::result<Settings> parseSettings(std::string_view Text, std::string_view FileName) {
  JsonWithLines Source = parseJsonWithLines(Text);
  Validator Check(Source, FileName);
  Check.run();
  if (!Check.m_Errors.m_Errors.empty())
    return leaf::new_error(std::move(Check.m_Errors));
  return std::move(Check.m_Settings);
}

leaf::result<Settings> loadSettings(const std::string &FileName) {
  std::string FailureText;
  std::optional<std::string> Text = readFile(FileName, FailureText);
  if (!Text)
    return leaf::new_error(SettingsErrors{{{FileName, 0, {}, std::move(FailureText)}}});
  return parseSettings(*Text, FileName);
}

int reportSettingsErrors(std::ostream &Out, const SettingsErrors &Errors) {
  for (const SettingsError &Entry : Errors.m_Errors)
    Out << Entry.text() << '\n';
  return errorAnswer(ErrorKind::InvalidSettings).m_ExitCode;
}

} // namespace fescuegauge
