#ifndef FESCUEGAUGE_COMMAND_H
#define FESCUEGAUGE_COMMAND_H

#include "EntryClient.h"
#include "Tool.h"

#include <boost/any.hpp>
#include <boost/leaf/result.hpp>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Arguments, options and environment of one invocation of a command.
class CommandContext {
public:
  CommandContext(const boost::program_options::variables_map &Options,
                 std::vector<std::string> Positionals, const ToolEnvironment &Environment)
      : m_Options(Options), m_Positionals(std::move(Positionals)), m_Environment(Environment) {}

  std::ostream &out() const { return m_Environment.m_Out; }
  std::ostream &err() const { return m_Environment.m_Err; }
  const ToolEnvironment &environment() const { return m_Environment; }
  const boost::program_options::variables_map &options() const { return m_Options; }
  bool has(const char *Option) const { return m_Options.count(Option) != 0; }
  /// True if the output is to be JSON.
  bool wantsJson() const { return has("json"); }
  /// The positional arguments after the command's name.
  const std::vector<std::string> &positionals() const { return m_Positionals; }

  /// A client of the entry instances given by --entry or FESCUEGAUGE_ENTRY. Fails with
  /// ErrorKind::InvalidArguments if there are none, too many or malformed ones.
  boost::leaf::result<EntryClient> entries() const;
  /// The author recorded with a change: --author, FESCUEGAUGE_AUTHOR, USER or "unknown".
  std::string author() const;
  /// Prints a JSON value on one line and flushes the output.
  void printJson(const boost::json::value &Value) const;

private:
  const boost::program_options::variables_map &m_Options;
  std::vector<std::string> m_Positionals;
  const ToolEnvironment &m_Environment;
};

/// Name, help text, options and implementation of one command.
struct Command {
  /// One or two words, for example "target apply".
  std::string_view m_Name;
  /// Positional arguments as the help text shows them.
  std::string_view m_Arguments;
  std::string_view m_Summary;
  /// Complete command lines for the help text, separated by line feeds.
  std::string_view m_Examples;
  std::size_t m_MinPositionals;
  std::size_t m_MaxPositionals;
  void (*m_AddOptions)(boost::program_options::options_description &Options);
  boost::leaf::result<int> (*m_Run)(const CommandContext &Context);
};

/// For commands without options of their own.
void addNoOptions(boost::program_options::options_description &Options);

std::span<const Command> targetCommands();
std::span<const Command> rolloutCommands();
std::span<const Command> instanceCommands();
std::span<const Command> configCommands();

/// Adds an id and the author to a proposal, sends it and prints the outcome, with the conflicting
/// changes and their authors if it was refused. A proposal without changes is not sent.
boost::leaf::result<int> proposeAndPrint(const CommandContext &Context, EntryClient &Entries,
                                         const ChangeProposal &Draft);

/// The value of an option that takes a non-negative integer.
struct WholeNumber {
  /// Exceeds every change number, and is within the range of Duration when used as seconds.
  static constexpr std::uint64_t Max = 1000000000000;
  std::uint64_t m_Value = 0;
};
/// Parses a WholeNumber; Boost.Program_options finds the overload by argument-dependent lookup.
void validate(boost::any &Result, const std::vector<std::string> &Texts, WholeNumber *, int);

/// The value of the integer option `Name`, or `Default` if it was not given.
std::uint64_t numberOption(const CommandContext &Context, const char *Name, std::uint64_t Default);

} // namespace fescuegauge

#endif // FESCUEGAUGE_COMMAND_H
