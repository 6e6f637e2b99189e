#include "Command.h"
#include "TextTable.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <map>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace {

constexpr Duration PollInterval = std::chrono::seconds(1);
constexpr std::uint64_t DefaultWaitSeconds = 1800;
/// Minimizes the load on the origin's link, which other deployments share.
constexpr const char *DefaultPreference = "origin-bytes";

std::string member(const DeclarationText &Declared, const char *Key) {
  const json::value *Value = Declared.m_Spec.if_contains(Key);
  return Value && Value->is_string() ? std::string(Value->get_string()) : std::string();
}

/// The rollout declaration of a service; null if there is none, an error if there are two.
leaf::result<const DeclarationInForce *> rolloutOf(const TargetsAnswer &InForce,
                                                   const std::string &Service) {
  const DeclarationInForce *Found = nullptr;
  for (const DeclarationInForce &Each : InForce.m_Declarations) {
    const DeclarationText &Declared = Each.m_Declaration;
    if (Declared.m_Kind != "rollout" || member(Declared, "service") != Service)
      continue;
    if (Found)
      return toolError(ErrorKind::InvalidDeclaration,
                       "service \"" + Service + "\" has two rollouts, \"" +
                           Found->m_Declaration.m_Name + "\" and \"" + Declared.m_Name +
                           "\"; delete one");
    Found = &Each;
  }
  return Found;
}

leaf::result<TargetsAnswer> fetchTargets(EntryClient &Entries) {
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/targets"));
  return readTargets(Answer);
}

leaf::result<int> start(const CommandContext &Context) {
  const std::string &Service = Context.positionals().at(0);
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
  BOOST_LEAF_AUTO(Present, rolloutOf(InForce, Service));
  std::string Preference = DefaultPreference;
  if (Present)
    Preference = member(Present->m_Declaration, "prefer");
  if (Context.has("prefer"))
    Preference = Context.options()["prefer"].as<std::string>();
  DeclarationText Rollout{
      Present ? Present->m_Declaration.m_Name : "rollout." + Service,
      "rollout",
      {{"service", Service}, {"version", Context.positionals().at(1)}, {"prefer", Preference}}};
  if (auto Errors = validateDeclaration(Rollout); !Errors.empty())
    return toolError(ErrorKind::InvalidArguments, Errors.front());
  ChangeProposal Proposal;
  Proposal.m_Base = ChangeNumber(numberOption(Context, "base", InForce.m_Change.value()));
  if (!Present || Present->m_Declaration.m_Spec != Rollout.m_Spec)
    Proposal.m_Puts.push_back(std::move(Rollout));
  return proposeAndPrint(Context, Entries, Proposal);
}

std::string megabytes(Bytes Amount) {
  return std::to_string((Amount.count() + 500000) / 1000000) + " MB";
}

std::string progressLine(const DataCentreStatus &Centre, const RolloutProgress &Rollout) {
  return printable(Centre.m_DataCentre.str() + ": " + Rollout.m_Service.str() + " " +
                   Rollout.m_Version.str() + " live on " + std::to_string(Rollout.m_Live) + " of " +
                   std::to_string(Rollout.m_Wanted) + ", " + megabytes(Rollout.m_OriginBytes) +
                   " granted from the origin");
}

json::object progressJson(const DataCentreStatus &Centre, const RolloutProgress &Rollout) {
  return {{"dataCentre", Centre.m_DataCentre.str()},
          {"service", Rollout.m_Service.str()},
          {"version", Rollout.m_Version.str()},
          {"live", Rollout.m_Live},
          {"wanted", Rollout.m_Wanted},
          {"originBytes", Rollout.m_OriginBytes.count()}};
}

leaf::result<StatusAnswer> fetchStatus(EntryClient &Entries) {
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/status"));
  return readStatus(Answer);
}

leaf::result<int> status(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(Status, fetchStatus(Entries));
  json::array Rollouts;
  for (const DataCentreStatus &Centre : Status.m_DataCentres)
    for (const RolloutProgress &Rollout : Centre.m_Rollouts) {
      if (!Context.positionals().empty() && Rollout.m_Service.str() != Context.positionals()[0])
        continue;
      Rollouts.push_back(progressJson(Centre, Rollout));
      if (!Context.wantsJson())
        Context.out() << progressLine(Centre, Rollout) << '\n';
    }
  if (Context.wantsJson())
    Context.printJson({{"change", Status.m_Change.value()}, {"rollouts", std::move(Rollouts)}});
  else if (Rollouts.empty())
    Context.out() << "no rollout is under way\n";
  return 0;
}

/// Polls one rollout and prints its progress until it is complete.
class RolloutWatcher {
public:
  RolloutWatcher(const CommandContext &Context, EntryClient &Entries)
      : m_Context(Context), m_Entries(Entries), m_Service(Context.positionals().at(0)) {
    if (Context.positionals().size() > 1)
      m_Version = Context.positionals()[1];
  }

  /// Reads the state once and prints progress; true if every data centre serves the version.
  leaf::result<bool> poll() {
    BOOST_LEAF_AUTO(InForce, fetchTargets(m_Entries));
    BOOST_LEAF_AUTO(Rollout, rolloutOf(InForce, m_Service));
    if (!Rollout)
      return toolError(ErrorKind::InvalidArguments, "service \"" + m_Service + "\" has no rollout");
    const std::string Declared = member(Rollout->m_Declaration, "version");
    if (m_Version.empty())
      m_Version = Declared;
    if (Declared != m_Version)
      return toolError(ErrorKind::StaleBaseVersion,
                       "version \"" + m_Version + "\" is not the one to be rolled out: change " +
                           std::to_string(Rollout->m_Change.value()) + " set \"" + Declared + "\"");
    BOOST_LEAF_AUTO(Status, fetchStatus(m_Entries));
    std::uint64_t Live = 0;
    bool IsComplete = !Status.m_DataCentres.empty();
    for (const DataCentreStatus &Centre : Status.m_DataCentres) {
      // A data centre that has not adopted the change reports an older rollout or none.
      IsComplete &= Centre.m_Change >= Rollout->m_Change;
      for (const RolloutProgress &Progress : Centre.m_Rollouts) {
        if (Progress.m_Service.str() != m_Service)
          continue;
        IsComplete &= Progress.m_Version.str() == m_Version && Progress.m_Live >= Progress.m_Wanted;
        Live += Progress.m_Live;
        printProgress(Centre, Progress);
      }
    }
    // Without an upstream of the service, nothing has been rolled out.
    return IsComplete && Live > 0;
  }

private:
  void printProgress(const DataCentreStatus &Centre, const RolloutProgress &Progress) {
    std::string Line = progressLine(Centre, Progress);
    std::string &Last = m_LastLines[Centre.m_DataCentre];
    if (Last == Line)
      return;
    Last = std::move(Line);
    if (m_Context.wantsJson())
      m_Context.printJson(progressJson(Centre, Progress));
    else
      m_Context.out() << Last << std::endl;
  }

  const CommandContext &m_Context;
  EntryClient &m_Entries;
  const std::string m_Service;
  std::string m_Version;
  std::map<DataCentreId, std::string> m_LastLines;
};

leaf::result<int> wait(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  RolloutWatcher Watcher(Context, Entries);
  const std::uint64_t Limit = numberOption(Context, "timeout", DefaultWaitSeconds);
  const TimePoint Deadline = Context.environment().m_Now() + std::chrono::seconds(Limit);
  std::string LastFailure;
  for (;;) {
    std::optional<ToolError> Failure;
    const bool IsComplete =
        leaf::try_handle_all([&] { return Watcher.poll(); },
                             [&](const ToolError &Error) {
                               Failure = Error;
                               return false;
                             },
                             [&] {
                               Failure = ToolError{ErrorKind::Internal, "error of an unknown type"};
                               return false;
                             });
    if (IsComplete)
      break;
    // Entry instances may be replaced during a rollout, so retryable errors do not end the wait.
    if (Failure && !isRetryable(Failure->m_Kind))
      return toolError(Failure->m_Kind, Failure->m_Message);
    if (Failure && LastFailure != Failure->m_Message) {
      LastFailure = Failure->m_Message;
      Context.err() << "waiting: " << printable(LastFailure) << std::endl;
    }
    if (Context.environment().m_Now() >= Deadline)
      return toolError(ErrorKind::DeadlineExceeded,
                       "the rollout was not complete after " + std::to_string(Limit) + " s");
    Context.environment().m_Sleep(PollInterval);
  }
  if (!Context.wantsJson())
    Context.out() << "complete\n";
  return 0;
}

void addStartOptions(po::options_description &Options) {
  Options.add_options()("prefer", po::value<std::string>()->value_name("WHAT"),
                        "origin-bytes or time (default: as in the service's last rollout, else "
                        "origin-bytes)")(
      "base", po::value<WholeNumber>()->value_name("N"),
      "refuse if a change after N concerns the rollout (default: the change in force now)")(
      "author", po::value<std::string>()->value_name("NAME"),
      "name recorded with the change (default: FESCUEGAUGE_AUTHOR, then USER)");
}

void addWaitOptions(po::options_description &Options) {
  Options.add_options()("timeout", po::value<WholeNumber>()->value_name("SECONDS"),
                        "give up after this time with exit code 5 (default: 1800)");
}

constexpr Command Commands[] = {
    {"rollout start", "SERVICE VERSION",
     "Declares that SERVICE should serve model version VERSION. Going back to an older version is "
     "the same command with that version.",
     "fescuegauge rollout start asistente 2026-05-a --prefer origin-bytes\n"
     "fescuegauge rollout start speaker heat-7 --prefer time",
     2, 2, addStartOptions, start},
    {"rollout status", "[SERVICE]", "Shows one line for each data centre and rollout.",
     "fescuegauge rollout status\n"
     "fescuegauge rollout status asistente --json",
     0, 1, addNoOptions, status},
    {"rollout wait", "SERVICE [VERSION]",
     "Waits until every data centre serves VERSION, or the declared version. Prints a line "
     "whenever "
     "a data centre makes progress. Ends with exit code 3 when another version is declared.",
     "fescuegauge rollout wait asistente\n"
     "fescuegauge rollout wait asistente 2026-05-a --timeout 600",
     1, 2, addWaitOptions, wait},
};

} // namespace

std::span<const Command> rolloutCommands() { return Commands; }

} // namespace fescuegauge
