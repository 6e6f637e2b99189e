#include "Command.h"
#include "Fescuegauge/Settings.h"

#include <boost/leaf/handle_errors.hpp>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

int printSettingsErrors(const CommandContext &Context, const SettingsErrors &Errors) {
  if (!Context.wantsJson())
    return reportSettingsErrors(Context.err(), Errors);
  json::array List;
  for (const SettingsError &Error : Errors.m_Errors)
    List.push_back({{"file", Error.m_File},
                    {"line", Error.m_Line},
                    {"path", Error.m_Path},
                    {"message", Error.m_Message}});
  Context.printJson({{"valid", false}, {"errors", std::move(List)}});
  return errorAnswer(ErrorKind::InvalidSettings).m_ExitCode;
}

leaf::result<int> check(const CommandContext &Context) {
  return leaf::try_handle_some(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(Read, loadSettings(Context.positionals().at(0)));
        const char *Role = Read.m_Role == InstanceRole::Entry ? "entry" : "agent";
        if (Context.wantsJson())
          Context.printJson({{"valid", true}, {"role", Role}, {"id", Read.m_Id.str()}});
        else
          Context.out() << Context.positionals()[0] << ": valid settings for role " << Role
                        << ", id " << Read.m_Id.str() << '\n';
        return 0;
      },
      [&](const SettingsErrors &Errors) -> leaf::result<int> {
        return printSettingsErrors(Context, Errors);
      });
}

leaf::result<int> reference(const CommandContext &Context) {
  Context.out() << settingsReference();
  return 0;
}

constexpr Command Commands[] = {
    {"config check", "FILE",
     "Checks a settings file of fescuegauged and reports all of its mistakes. Needs no entry "
     "instance.",
     "fescuegauge config check entry-1.json", 1, 1, addNoOptions, check},
    {"config reference", "", "Prints the reference of all settings as a Markdown page.",
     "fescuegauge config reference >docs/settings.md", 0, 0, addNoOptions, reference},
};

} // namespace

std::span<const Command> configCommands() { return Commands; }

} // namespace fescuegauge
