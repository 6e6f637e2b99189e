#include "Command.h"
#include "TextTable.h"

#include <Poco/URI.h>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

leaf::result<int> status(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/status"));
  BOOST_LEAF_AUTO(Status, readStatus(Answer));
  if (Context.wantsJson()) {
    Context.printJson(Answer);
    return 0;
  }
  Context.out() << "change in force: " << Status.m_Change.value() << '\n';
  TextTable Table({"DATA CENTRE", "CHANGE", "INSTANCES", "LIVE", "LAGGING", "UNREACHABLE"});
  for (const DataCentreStatus &Centre : Status.m_DataCentres)
    Table.add({Centre.m_DataCentre.str(), std::to_string(Centre.m_Change.value()),
               std::to_string(Centre.m_Instances), std::to_string(Centre.m_Live),
               std::to_string(Centre.m_Laggards.size()),
               std::to_string(Centre.m_Unreachable.size())});
  Table.print(Context.out());
  for (const DataCentreStatus &Centre : Status.m_DataCentres) {
    for (const auto &[Instance, Change] : Centre.m_Laggards)
      Context.out() << printable(Centre.m_DataCentre.str() + ": " + Instance.str())
                    << " is at change " << Change.value() << '\n';
    for (const std::string &Name : Centre.m_Unreachable)
      Context.out() << printable(Centre.m_DataCentre.str() + ": " + Name) << " cannot be reached\n";
  }
  return 0;
}

leaf::result<int> dump(const CommandContext &Context) {
  BOOST_LEAF_AUTO(Entries, Context.entries());
  std::string Instance;
  Poco::URI::encode(Context.positionals().at(0), "/?#", Instance);
  BOOST_LEAF_AUTO(Answer, Entries.get("/operator/instances/" + Instance + "/dump"));
  Context.printJson(Answer);
  return 0;
}

constexpr Command Commands[] = {
    {"status", "",
     "Shows for each data centre the change in force, the instances that lag behind it and what "
     "cannot be reached.",
     "fescuegauge status\n"
     "fescuegauge status --json",
     0, 0, addNoOptions, status},
    {"dump", "INSTANCE", "Prints the whole state of one instance as JSON.",
     "fescuegauge dump entry-1 | python3 -m json.tool", 1, 1, addNoOptions, dump},
};

} // namespace

std::span<const Command> instanceCommands() { return Commands; }

} // namespace fescuegauge
