#include "Command.h"
#include "Fescuegauge/DeclarationFile.h"
#include "TextTable.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <set>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;
namespace po = boost::program_options;

namespace {

constexpr std::uint64_t DefaultHistoryLength = 20;

/// The changes between the declarations in force and those of a file.
struct Difference {
  std::vector<DeclarationText> m_Puts;
  std::vector<std::string> m_Deletes;

  bool empty() const { return m_Puts.empty() && m_Deletes.empty(); }
};

bool isSame(const DeclarationText &Left, const DeclarationText &Right) {
  return Left.m_Kind == Right.m_Kind && Left.m_Spec == Right.m_Spec;
}

/// Never deletes rollouts, since they are usually started by `rollout start` and absent from the
/// file.
Difference differenceOf(const std::vector<DeclarationText> &File, const TargetsAnswer &InForce,
                        bool Prune) {
  Difference Result;
  std::set<std::string_view> Names;
  for (const DeclarationText &Declared : File) {
    Names.insert(Declared.m_Name);
    const DeclarationInForce *Present = InForce.find(Declared.m_Name);
    if (!Present || !isSame(Present->m_Declaration, Declared))
      Result.m_Puts.push_back(Declared);
  }
  if (Prune)
    for (const DeclarationInForce &Present : InForce.m_Declarations)
      if (Present.m_Declaration.m_Kind != "rollout" &&
          !Names.contains(Present.m_Declaration.m_Name))
        Result.m_Deletes.push_back(Present.m_Declaration.m_Name);
  return Result;
}

std::string specText(const DeclarationText &Declared) {
  return Declared.m_Kind + " " + json::serialize(Declared.m_Spec);
}

void printDifference(const CommandContext &Context, const Difference &Changes,
                     const TargetsAnswer &InForce) {
  if (Context.wantsJson()) {
    ChangeProposal Proposal;
    Proposal.m_Puts = Changes.m_Puts;
    Proposal.m_Deletes = Changes.m_Deletes;
    json::object Parts = Proposal.json();
    return Context.printJson({{"change", InForce.m_Change.value()},
                              {"puts", Parts.at("puts")},
                              {"deletes", Parts.at("deletes")}});
  }
  for (const DeclarationText &Put : Changes.m_Puts) {
    const DeclarationInForce *Present = InForce.find(Put.m_Name);
    if (Present)
      Context.out() << "- " << Put.m_Name << ' ' << printable(specText(Present->m_Declaration))
                    << "  (change " << Present->m_Change.value() << ")\n";
    Context.out() << "+ " << Put.m_Name << ' ' << printable(specText(Put)) << '\n';
  }
  for (const std::string &Name : Changes.m_Deletes)
    Context.out() << "- " << printable(Name) << ' '
                  << printable(specText(InForce.find(Name)->m_Declaration)) << '\n';
  if (Changes.empty())
    Context.out() << "no differences from change " << InForce.m_Change.value() << '\n';
}

leaf::result<TargetsAnswer> fetchTargets(EntryClient &Entries) {
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/targets"));
  return readTargets(Answer);
}

leaf::result<int> apply(const CommandContext &Context) {
  BOOST_LEAF_AUTO(File, loadDeclarationFile(Context.positionals().at(0)));
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
  Difference Changes = differenceOf(File, InForce, Context.has("prune"));
  if (Context.has("dry-run")) {
    printDifference(Context, Changes, InForce);
    return 0;
  }
  ChangeProposal Proposal;
  Proposal.m_Base = ChangeNumber(numberOption(Context, "base", InForce.m_Change.value()));
  Proposal.m_Puts = std::move(Changes.m_Puts);
  Proposal.m_Deletes = std::move(Changes.m_Deletes);
  return proposeAndPrint(Context, Entries, Proposal);
}

leaf::result<int> diff(const CommandContext &Context) {
  BOOST_LEAF_AUTO(File, loadDeclarationFile(Context.positionals().at(0)));
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
  Difference Changes = differenceOf(File, InForce, Context.has("prune"));
  printDifference(Context, Changes, InForce);
  return Context.has("exit-code") && !Changes.empty() ? DifferencesFoundExitCode : 0;
}

leaf::result<int> listTargets(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/targets"));
  BOOST_LEAF_AUTO(InForce, readTargets(Answer));
  if (Context.wantsJson()) {
    Context.printJson(Answer);
    return 0;
  }
  TextTable Table({"NAME", "KIND", "CHANGE", "SPEC"});
  for (const DeclarationInForce &Each : InForce.m_Declarations)
    Table.add({Each.m_Declaration.m_Name, Each.m_Declaration.m_Kind,
               std::to_string(Each.m_Change.value()), json::serialize(Each.m_Declaration.m_Spec)});
  Table.print(Context.out());
  Context.out() << "change in force: " << InForce.m_Change.value() << '\n';
  return 0;
}

leaf::result<int> show(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
  const DeclarationInForce *Found = InForce.find(Context.positionals().at(0));
  if (!Found)
    return toolError(ErrorKind::InvalidArguments,
                     "no declaration \"" + Context.positionals().at(0) + "\" in change " +
                         std::to_string(InForce.m_Change.value()));
  const DeclarationText &Declared = Found->m_Declaration;
  if (Context.wantsJson()) {
    Context.printJson({{"name", Declared.m_Name},
                       {"kind", Declared.m_Kind},
                       {"spec", Declared.m_Spec},
                       {"change", Found->m_Change.value()}});
    return 0;
  }
  TextTable Table({"name", Declared.m_Name});
  Table.add({"kind", Declared.m_Kind});
  Table.add({"change", std::to_string(Found->m_Change.value())});
  for (const auto &Member : Declared.m_Spec)
    Table.add({std::string(Member.key()), json::serialize(Member.value())});
  Table.print(Context.out());
  return 0;
}

std::string joined(const std::vector<std::string> &Names) {
  std::string Text;
  for (const std::string &Name : Names)
    Text += (Text.empty() ? "" : " ") + Name;
  return Text.empty() ? "-" : Text;
}

leaf::result<int> history(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  const std::uint64_t Limit = numberOption(Context, "limit", DefaultHistoryLength);
  std::uint64_t After = 0;
  if (Context.has("after")) {
    After = numberOption(Context, "after", 0);
  } else {
    BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
    After = InForce.m_Change.value() - std::min(InForce.m_Change.value(), Limit);
  }
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/history?after=" + std::to_string(After) +
                                      "&limit=" + std::to_string(Limit)));
  BOOST_LEAF_AUTO(Changes, readHistory(Answer));
  if (Context.wantsJson()) {
    Context.printJson(Answer);
    return 0;
  }
  TextTable Table({"CHANGE", "AUTHOR", "PUT", "DELETED", "CHANGE ID"});
  for (const HistoryChange &Change : Changes)
    Table.add({std::to_string(Change.m_Change.value()), Change.m_Author, joined(Change.m_Puts),
               joined(Change.m_Deletes), Change.m_Id.str()});
  Table.print(Context.out());
  return 0;
}

leaf::result<int> deleteTargets(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(InForce, fetchTargets(Entries));
  ChangeProposal Proposal;
  Proposal.m_Base = ChangeNumber(numberOption(Context, "base", InForce.m_Change.value()));
  const std::set<std::string> Names(Context.positionals().begin(), Context.positionals().end());
  for (const std::string &Name : Names)
    if (InForce.find(Name))
      Proposal.m_Deletes.push_back(Name);
  return proposeAndPrint(Context, Entries, Proposal);
}

void addChangeOptions(po::options_description &Options) {
  Options.add_options()("base", po::value<WholeNumber>()->value_name("N"),
                        "refuse if a change after N concerns the same declarations (default: the "
                        "change in force now)")(
      "author", po::value<std::string>()->value_name("NAME"),
      "name recorded with the change (default: FESCUEGAUGE_AUTHOR, then USER)");
}

void addPruneOption(po::options_description &Options) {
  Options.add_options()("prune",
                        "also delete targets and moves that the file does not contain; rollouts "
                        "are kept");
}

void addApplyOptions(po::options_description &Options) {
  addChangeOptions(Options);
  addPruneOption(Options);
  Options.add_options()("dry-run", "print what would change and change nothing");
}

void addDiffOptions(po::options_description &Options) {
  addPruneOption(Options);
  Options.add_options()("exit-code", "exit with code 6 if there are differences");
}

void addHistoryOptions(po::options_description &Options) {
  Options.add_options()("after", po::value<WholeNumber>()->value_name("N"),
                        "show changes after number N, oldest first (default: the latest ones)")(
      "limit", po::value<WholeNumber>()->value_name("M"), "show at most M changes (default: 20)");
}

constexpr std::size_t MaxNames = 64;

constexpr Command Commands[] = {
    {"target apply", "FILE",
     "Puts the declarations of FILE in force. Declarations that are in force already are left "
     "alone, so applying a file again is harmless.",
     "fescuegauge target apply declarations.json --dry-run\n"
     "fescuegauge target apply declarations.json --base 1841 --author mirta\n"
     "fescuegauge target apply declarations.json --prune",
     1, 1, addApplyOptions, apply},
    {"target diff", "FILE",
     "Shows what `target apply FILE` would change. Lines with - are in force, lines with + are in "
     "the file.",
     "fescuegauge target diff declarations.json\n"
     "fescuegauge target diff declarations.json --exit-code >/dev/null || echo differs",
     1, 1, addDiffOptions, diff},
    {"target list", "", "Lists the declarations in force.",
     "fescuegauge target list\n"
     "fescuegauge target list --json",
     0, 0, addNoOptions, listTargets},
    {"target show", "NAME", "Shows one declaration.", "fescuegauge target show quotations", 1, 1,
     addNoOptions, show},
    {"target history", "", "Lists accepted changes with their authors, oldest first.",
     "fescuegauge target history\n"
     "fescuegauge target history --after 1800 --limit 50",
     0, 0, addHistoryOptions, history},
    {"target delete", "NAME...",
     "Deletes declarations. Names that are not in force are left alone.",
     "fescuegauge target delete quotations\n"
     "fescuegauge target delete quotations lookups --base 1841",
     1, MaxNames, addChangeOptions, deleteTargets},
};

} // namespace

std::span<const Command> targetCommands() { return Commands; }

leaf::result<int> proposeAndPrint(const CommandContext &Context, EntryClient &Entries,
                                  const ChangeProposal &Draft) {
  ProposalOutcome Outcome{ProposalOutcome::Kind::Unchanged, Draft.m_Base, {}};
  if (!Draft.m_Puts.empty() || !Draft.m_Deletes.empty()) {
    ChangeProposal Proposal = Draft;
    Proposal.m_Id = ChangeId(Context.environment().m_NewChangeId());
    Proposal.m_Author = Context.author();
    BOOST_LEAF_ASSIGN(Outcome, Entries.propose(Proposal));
  }
  const bool IsRefused = Outcome.m_Kind == ProposalOutcome::Kind::Refused;
  const int ExitCode = IsRefused ? errorAnswer(ErrorKind::StaleBaseVersion).m_ExitCode : 0;
  if (Context.wantsJson()) {
    Context.printJson(Outcome.json());
    return ExitCode;
  }
  const std::string Change = std::to_string(Outcome.m_Change.value());
  if (Outcome.m_Kind == ProposalOutcome::Kind::Accepted)
    Context.out() << "accepted as change " << Change << '\n';
  if (Outcome.m_Kind == ProposalOutcome::Kind::Unchanged)
    Context.out() << "unchanged, change " << Change << " is in force\n";
  if (!IsRefused)
    return ExitCode;
  Context.err() << "refused: base change " << Draft.m_Base.value()
                << " is stale, change in force is " << Change << '\n';
  for (const ProposalConflict &Conflict : Outcome.m_Conflicts)
    Context.err() << "  " << printable(Conflict.m_Name) << " was "
                  << (Conflict.m_Spec.is_null() ? "deleted" : "set") << " by "
                  << printable(Conflict.m_Author) << " in change " << Conflict.m_Change.value()
                  << (Conflict.m_Spec.is_null()
                          ? std::string()
                          : ": " + printable(json::serialize(Conflict.m_Spec)))
                  << '\n';
  return ExitCode;
}

} // namespace fescuegauge
