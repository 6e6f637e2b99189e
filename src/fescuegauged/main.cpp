#include "Daemon.h"
#include "Fescuegauge/ErrorKind.h"
#include "Fescuegauge/Log.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

namespace {

namespace leaf = boost::leaf;

/// Blocks SIGTERM and SIGINT in this thread and in all threads started later, so that they are only
/// received by Daemon, which waits for them.
void blockSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  // A write to a connection that the peer has closed returns an error instead.
  signal(SIGPIPE, SIG_IGN);
  // The settings of a running process do not change, and the signal must not interrupt requests.
  signal(SIGHUP, SIG_IGN);
}

int runDaemon(const std::string &SettingsFile) {
  blockSignals();
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(Configured, fescuegauge::loadSettings(SettingsFile));
        return fescuegauge::Daemon(std::move(Configured)).run();
      },
      [](const fescuegauge::SettingsErrors &Errors) {
        return fescuegauge::reportSettingsErrors(std::cerr, Errors);
      },
      [] {
        std::cerr << "fescuegauged: the settings cannot be read\n";
        return fescuegauge::errorAnswer(fescuegauge::ErrorKind::InvalidSettings).m_ExitCode;
      });
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  namespace options = boost::program_options;
  std::string SettingsFile;
  options::options_description Description(
      "Usage: fescuegauged --settings FILE\n"
      "Runs one process of the system in the role that the settings "
      "name.\n\nOptions");
  // clang-format off
  Description.add_options()
      ("settings", options::value(&SettingsFile)->value_name("FILE"), "JSON file with comments; see docs/settings.md")
      ("help", "print this text")
      ("version", "print the version");
  // clang-format on
  try {
    options::variables_map ParsedOptions;
    options::store(options::parse_command_line(ArgumentCount, Arguments, Description),
                   ParsedOptions);
    options::notify(ParsedOptions);
    if (ParsedOptions.contains("help")) {
      std::cout << Description;
      return 0;
    }
    if (ParsedOptions.contains("version")) {
      std::cout << "fescuegauged " FESCUEGAUGE_VERSION "\n";
      return 0;
    }
    if (SettingsFile.empty()) {
      std::cerr << "fescuegauged: --settings is missing; see --help\n";
      return fescuegauge::errorAnswer(fescuegauge::ErrorKind::InvalidArguments).m_ExitCode;
    }
    return runDaemon(SettingsFile);
  } catch (const options::error &Error) {
    std::cerr << "fescuegauged: " << Error.what() << "; see --help\n";
    return fescuegauge::errorAnswer(fescuegauge::ErrorKind::InvalidArguments).m_ExitCode;
  } catch (const std::exception &Error) {
    std::cerr << "fescuegauged: " << Error.what() << '\n';
    return fescuegauge::errorAnswer(fescuegauge::ErrorKind::Internal).m_ExitCode;
  }
}
