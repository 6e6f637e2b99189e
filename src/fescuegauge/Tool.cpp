#include "Tool.h"

#include "Command.h"
#include "Fescuegauge/EndpointText.h"
#include "Fescuegauge/ParseNumber.h"
#include "TextTable.h"

#include <Poco/Environment.h>
#include <Poco/StringTokenizer.h>
#include <Poco/UUIDGenerator.h>
#include <algorithm>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <thread>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace {

constexpr const char *EntryVariable = "FESCUEGAUGE_ENTRY";
constexpr std::size_t MaxEntries = 64;
constexpr unsigned HelpWidth = 100;

/// Abbreviated options are rejected, since adding an option could change their meaning.
constexpr int OptionStyle =
    po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;

constexpr std::string_view ExitCodes =
    "Exit codes: 0 done, 1 internal error, 2 mistake in the command or its input, 3 refused,\n"
    "4 not done and may be repeated, 5 outcome unknown, 6 differences found (target diff\n"
    "--exit-code). docs/errors.md lists the errors behind them.\n";

std::vector<const Command *> allCommands() {
  std::vector<const Command *> All;
  for (auto List : {targetCommands(), rolloutCommands(), instanceCommands(), configCommands()})
    for (const Command &Each : List)
      All.push_back(&Each);
  return All;
}

po::options_description commonOptions() {
  po::options_description Options("Common options", HelpWidth);
  Options.add_options()("entry", po::value<std::vector<std::string>>()->value_name("IP:PORT"),
                        "an entry instance; may be repeated, the next one is tried when one fails "
                        "(default: FESCUEGAUGE_ENTRY, a list separated by commas)")(
      "json", "print JSON for programs")("help", "print this help")("version", "print the version");
  return Options;
}

po::options_description optionsOf(const Command &Chosen) {
  po::options_description Options("Options", HelpWidth);
  Chosen.m_AddOptions(Options);
  return Options;
}

/// Parses the options; positional arguments are stored under "words". Without a command, unknown
/// options are ignored.
po::variables_map parseOptions(const std::vector<std::string> &Arguments, const Command *Chosen) {
  po::options_description Options;
  Options.add(commonOptions());
  Options.add_options()("words", po::value<std::vector<std::string>>());
  if (Chosen)
    Options.add(optionsOf(*Chosen));
  po::positional_options_description Positions;
  Positions.add("words", -1);
  po::command_line_parser Parser(Arguments);
  Parser.options(Options).positional(Positions).style(OptionStyle);
  if (!Chosen)
    Parser.allow_unregistered();
  po::variables_map Result;
  po::store(Parser.run(), Result);
  po::notify(Result);
  return Result;
}

std::vector<std::string> positionalsOf(const po::variables_map &Options) {
  return Options.count("words") ? Options["words"].as<std::vector<std::string>>()
                                : std::vector<std::string>();
}

/// The command named by the first one or two positional arguments; null if there is none.
const Command *findCommand(const std::vector<std::string> &Positionals) {
  for (const Command *Each : allCommands()) {
    std::string_view Name = Each->m_Name;
    auto Space = Name.find(' ');
    if (!Positionals.empty() && Positionals[0] == Name.substr(0, Space) &&
        (Space == std::string_view::npos ||
         (Positionals.size() > 1 && Positionals[1] == Name.substr(Space + 1))))
      return Each;
  }
  return nullptr;
}

std::size_t nameLength(const Command &Chosen) {
  return Chosen.m_Name.find(' ') == std::string_view::npos ? 1 : 2;
}

void printOverview(std::ostream &Out) {
  Out << "Usage: fescuegauge COMMAND [ARGUMENT...] [OPTION...]\n\n"
         "Declares targets and rollouts and shows the state of the system through any of its "
         "entry\n"
         "instances. `fescuegauge COMMAND --help` explains one command, with examples.\n\n"
         "Commands:\n";
  TextTable Table({"  COMMAND", "SUMMARY"});
  for (const Command *Each : allCommands())
    Table.add({"  " + std::string(Each->m_Name) + (Each->m_Arguments.empty() ? "" : " ") +
                   std::string(Each->m_Arguments),
               std::string(Each->m_Summary.substr(0, Each->m_Summary.find('.')))});
  Table.print(Out);
  Out << '\n'
      << commonOptions()
      << "\nExamples:\n  fescuegauge status --entry 127.0.0.1:8080\n"
         "  fescuegauge target apply declarations.json --dry-run\n\n"
      << ExitCodes;
}

void printHelp(std::ostream &Out, const Command &Chosen) {
  Out << "Usage: fescuegauge " << Chosen.m_Name << (Chosen.m_Arguments.empty() ? "" : " ")
      << Chosen.m_Arguments << " [OPTION...]\n\n"
      << wrapText(Chosen.m_Summary, HelpWidth) << "\n\n";
  po::options_description Options = optionsOf(Chosen);
  if (!Options.options().empty())
    Out << Options << '\n';
  Out << commonOptions() << "\nExamples:\n";
  for (std::string_view Rest = Chosen.m_Examples; !Rest.empty();) {
    auto End = std::min(Rest.find('\n'), Rest.size());
    Out << "  " << Rest.substr(0, End) << '\n';
    Rest.remove_prefix(std::min(End + 1, Rest.size()));
  }
  Out << '\n' << ExitCodes;
}

/// Prints an error and returns its exit code.
int reportError(const ToolEnvironment &Environment, bool WantsJson, const ToolError &Error) {
  const ErrorAnswer &Answer = errorAnswer(Error.m_Kind);
  if (WantsJson)
    Environment.m_Err << json::serialize(
                             json::object{{"error", json::string_view(Answer.m_Name.data(),
                                                                      Answer.m_Name.size())},
                                          {"message", Error.m_Message},
                                          {"exitCode", Answer.m_ExitCode}})
                      << '\n';
  else
    Environment.m_Err << "fescuegauge: " << Answer.m_Name << ": " << printable(Error.m_Message)
                      << '\n';
  return Answer.m_ExitCode;
}

leaf::result<int> runCommand(const Command &Chosen, const po::variables_map &Options,
                             const ToolEnvironment &Environment) {
  std::vector<std::string> Positionals = positionalsOf(Options);
  Positionals.erase(Positionals.begin(),
                    Positionals.begin() + static_cast<std::ptrdiff_t>(nameLength(Chosen)));
  if (Positionals.size() < Chosen.m_MinPositionals || Positionals.size() > Chosen.m_MaxPositionals)
    return toolError(ErrorKind::InvalidArguments,
                     "expected \"" + std::string(Chosen.m_Name) +
                         (Chosen.m_Arguments.empty() ? "" : " ") + std::string(Chosen.m_Arguments) +
                         "\"; see fescuegauge " + std::string(Chosen.m_Name) + " --help");
  return Chosen.m_Run(CommandContext(Options, std::move(Positionals), Environment));
}

int parseAndRun(const std::vector<std::string> &Arguments, const ToolEnvironment &Environment) {
  po::variables_map Common = parseOptions(Arguments, nullptr);
  if (Common.count("version")) {
    Environment.m_Out << "fescuegauge " FESCUEGAUGE_VERSION "\n";
    return 0;
  }
  const std::vector<std::string> Positionals = positionalsOf(Common);
  const Command *Chosen = findCommand(Positionals);
  if (Common.count("help")) {
    if (Chosen)
      printHelp(Environment.m_Out, *Chosen);
    else
      printOverview(Environment.m_Out);
    return 0;
  }
  const bool WantsJson = Common.count("json") != 0;
  if (!Chosen)
    return reportError(
        Environment, WantsJson,
        {ErrorKind::InvalidArguments,
         (Positionals.empty() ? std::string("no command")
                              : "no command \"" + Positionals[0] +
                                    (Positionals.size() > 1 ? " " + Positionals[1] : "") + "\"") +
             "; see fescuegauge --help"});
  const po::variables_map Options = parseOptions(Arguments, Chosen);
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> { return runCommand(*Chosen, Options, Environment); },
      [&](const ToolError &Error) { return reportError(Environment, WantsJson, Error); },
      [&](const DeclarationErrors &Errors) {
        std::string Message;
        for (const SettingsError &Error : Errors.m_Errors) {
          Message += (Message.empty() ? "" : "\n") + Error.text();
          if (!WantsJson)
            Environment.m_Err << printable(Error.text()) << '\n';
        }
        return WantsJson ? reportError(Environment, true, {ErrorKind::InvalidDeclaration, Message})
                         : errorAnswer(ErrorKind::InvalidDeclaration).m_ExitCode;
      },
      [&](const std::exception &Thrown) {
        return reportError(Environment, WantsJson, {ErrorKind::Internal, Thrown.what()});
      },
      [&] {
        return reportError(Environment, WantsJson,
                           {ErrorKind::Internal, "error of an unknown type"});
      });
}

} // namespace

void addNoOptions(po::options_description &) {}

void validate(boost::any &Result, const std::vector<std::string> &Texts, WholeNumber *, int) {
  // Boost's conversion to an unsigned type accepts -1 as a large number.
  const std::string &Text = po::validators::get_single_string(Texts);
  const auto Value = parseNumber<std::uint64_t>(Text);
  if (!Value || *Value > WholeNumber::Max)
    throw po::validation_error(po::validation_error::invalid_option_value);
  Result = WholeNumber{*Value};
}

std::uint64_t numberOption(const CommandContext &Context, const char *Name, std::uint64_t Default) {
  return Context.has(Name) ? Context.options()[Name].as<WholeNumber>().m_Value : Default;
}

leaf::result<EntryClient> CommandContext::entries() const {
  std::vector<std::string> Texts;
  if (has("entry")) {
    Texts = m_Options["entry"].as<std::vector<std::string>>();
  } else if (auto Variable = m_Environment.m_GetVariable(EntryVariable)) {
    Poco::StringTokenizer Parts(
        *Variable, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    Texts.assign(Parts.begin(), Parts.end());
  }
  if (Texts.empty())
    return toolError(ErrorKind::InvalidArguments,
                     "no entry instance; give --entry IP:PORT or set FESCUEGAUGE_ENTRY");
  if (Texts.size() > MaxEntries)
    return toolError(ErrorKind::InvalidArguments,
                     "more than " + std::to_string(MaxEntries) + " entry instances");
  std::vector<Endpoint> Entries;
  for (const std::string &Text : Texts) {
    std::optional<Endpoint> Entry = parseEndpoint(Text);
    if (!Entry || Entry->m_Port == 0)
      return toolError(ErrorKind::InvalidArguments,
                       "\"" + Text + "\" is not an address IP:PORT or [IPV6]:PORT");
    Entries.push_back(std::move(*Entry));
  }
  return EntryClient(std::move(Entries), m_Environment.m_Limits);
}

std::string CommandContext::author() const {
  if (has("author"))
    return m_Options["author"].as<std::string>();
  for (const char *Name : {"FESCUEGAUGE_AUTHOR", "USER"})
    if (auto Variable = m_Environment.m_GetVariable(Name); Variable && !Variable->empty())
      return *Variable;
  return "unknown";
}

void CommandContext::printJson(const json::value &Value) const {
  out() << json::serialize(Value) << std::endl;
}

ToolEnvironment processEnvironment(std::ostream &Out, std::ostream &Err) {
  return {Out,
          Err,
          [](const std::string &Name) -> std::optional<std::string> {
            if (!Poco::Environment::has(Name))
              return std::nullopt;
            return Poco::Environment::get(Name);
          },
          [] { return Poco::UUIDGenerator::defaultGenerator().createRandom().toString(); },
          [](Duration Length) { std::this_thread::sleep_for(Length); },
          [] {
            return TimePoint(std::chrono::duration_cast<Duration>(
                std::chrono::steady_clock::now().time_since_epoch()));
          },
          {}};
}

int runTool(const std::vector<std::string> &Arguments, const ToolEnvironment &Environment) {
  try {
    return parseAndRun(Arguments, Environment);
  } catch (const po::error &OptionError) {
    return reportError(Environment, false, {ErrorKind::InvalidArguments, OptionError.what()});
  } catch (const std::exception &Failure) {
    return reportError(Environment, false, {ErrorKind::Internal, Failure.what()});
  }
}

} // namespace fescuegauge
