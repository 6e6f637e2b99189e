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

/// One run of one command.
class CommandContext {
public:
  CommandContext(const boost::program_options::variables_map &Options,
                 std::vector<std::string> Words, const ToolEnvironment &Environment)
      : m_Options(Options), m_Words(std::move(Words)), m_Environment(Environment) {}

  std::ostream &out() const { return m_Environment.m_Out; }
  std::ostream &err() const { return m_Environment.m_Err; }
  const ToolEnvironment &environment() const { return m_Environment; }
  const boost::program_options::variables_map &options() const { return m_Options; }
  bool has(const char *Option) const { return m_Options.count(Option) != 0; }
  /// True when the output is for programs.
  bool wantsJson() const { return has("json"); }
  /// The arguments after the command's name.
  const std::vector<std::string> &words() const { return m_Words; }

  /// The entry instances of --entry or FESCUEGAUGE_ENTRY.
  boost::leaf::result<EntryClient> entries() const;
  /// The name under which changes are recorded.
  std::string author() const;
  /// Prints a JSON value as one line.
  void printJson(const boost::json::value &Value) const;

private:
  const boost::program_options::variables_map &m_Options;
  std::vector<std::string> m_Words;
  const ToolEnvironment &m_Environment;
};

/// One command of the tool.
struct Command {
  /// One or two words, for example "target apply".
  std::string_view m_Name;
  /// The arguments after the name, for the help text.
  std::string_view m_Arguments;
  std::string_view m_Summary;
  /// Complete command lines, one per line.
  std::string_view m_Examples;
  std::size_t m_LeastWords;
  std::size_t m_MostWords;
  void (*m_AddOptions)(boost::program_options::options_description &Options);
  boost::leaf::result<int> (*m_Run)(const CommandContext &Context);
};

/// For commands without options of their own.
void noOptions(boost::program_options::options_description &Options);

std::span<const Command> targetCommands();
std::span<const Command> rolloutCommands();
std::span<const Command> instanceCommands();
std::span<const Command> configCommands();

/// Sends a proposal and prints its outcome: what was accepted, or who changed what.
boost::leaf::result<int> proposeAndPrint(const CommandContext &Context, EntryClient &Entries,
                                         const ChangeProposal &Proposal);

/// The value of an option that takes a whole number.
struct WholeNumber {
  /// Enough for change numbers, and as seconds still within the range of Duration.
  static constexpr std::uint64_t Most = 1000000000000;
  std::uint64_t m_Value = 0;
};
/// Found by Boost.Program_options when it reads a WholeNumber.
void validate(boost::any &Result, const std::vector<std::string> &Texts, WholeNumber *, int);

/// A number given to an option, or `Default`.
std::uint64_t numberOption(const CommandContext &Context, const char *Name, std::uint64_t Default);

} // namespace fescuegauge

#endif // FESCUEGAUGE_COMMAND_H
