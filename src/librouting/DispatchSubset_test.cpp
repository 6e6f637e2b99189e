#include "Fescuegauge/DispatchSubset.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

using namespace fescuegauge;

namespace {

using Members = std::vector<std::shared_ptr<const InstanceRecord>>;

std::shared_ptr<const InstanceRecord> member(const std::string &Name, InstanceRole Role,
                                             const std::string &DataCentre) {
  auto Record = std::make_shared<InstanceRecord>();
  Record->m_Id = InstanceId(Name);
  Record->m_Role = Role;
  Record->m_State = InstanceState::Live;
  Record->m_DataCentre = DataCentreId(DataCentre);
  Record->m_Region = RegionId("region-" + DataCentre);
  Record->m_Service = ServiceId("asistente");
  return Record;
}

/// Returns the number of connections of each agent to the entry instances of one data centre.
std::map<InstanceId, int> connectionsPerAgent(std::size_t Entries, std::size_t Agents) {
  Members All;
  for (std::size_t I = 0; I < Agents; ++I)
    All.push_back(member("agent-" + std::to_string(I), InstanceRole::Agent, "dc"));
  Members Callers;
  for (std::size_t I = 0; I < Entries; ++I)
    Callers.push_back(member("entry-" + std::to_string(I), InstanceRole::Entry, "dc"));
  std::map<InstanceId, int> Connections;
  for (const auto &Agent : All)
    Connections[Agent->m_Id] = 0;
  for (const auto &Self : Callers) {
    Members Others = All;
    std::copy_if(Callers.begin(), Callers.end(), std::back_inserter(Others),
                 [&](const auto &Other) { return Other != Self; });
    auto Chosen = DispatchSubset::choose(*Self, Others);
    CHECK(Chosen.size() <= std::max(DispatchSubset::LocalPerService, Agents / Entries + 1));
    for (const InstanceId &Agent : Chosen)
      ++Connections[Agent];
  }
  return Connections;
}

} // namespace

// Guards against a number of connections that grows as the product of entry instances and agents,
// and against agents to which no or almost all entry instances connect.
TEST_CASE("every agent is selected by about the same number of entry instances") {
  for (auto [Entries, Agents] : {std::pair<std::size_t, std::size_t>{85, 228}, {2, 60}, {8, 14}}) {
    auto Connections = connectionsPerAgent(Entries, Agents);
    auto [Least, Most] = std::minmax_element(
        Connections.begin(), Connections.end(),
        [](const auto &Left, const auto &Right) { return Left.second < Right.second; });
    CHECK(Least->second >= 1);
    CHECK(Most->second - Least->second <= 2);
  }
}

// Guards against a service that is unreachable because all its agents are in other data centres.
TEST_CASE("a service without local agents is reached in other data centres") {
  Members Others{member("far", InstanceRole::Agent, "other")};
  auto Self = member("entry", InstanceRole::Entry, "dc");
  CHECK(DispatchSubset::choose(*Self, Others) == std::vector<InstanceId>{InstanceId("far")});
}
