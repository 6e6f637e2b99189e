#include "Fescuegauge/DispatchSubset.h"

#include "Fescuegauge/Rendezvous.h"

#include <algorithm>
#include <map>

namespace fescuegauge {

namespace {

/// Returns the ids in the order of a hash that is the same in all processes.
std::vector<InstanceId> hashRing(std::vector<InstanceId> Ids) {
  return rendezvousRank("dispatch-ring", Ids, Ids.size());
}

struct ServiceAgents {
  std::vector<InstanceId> m_Local;
  std::vector<InstanceId> m_SameRegion;
  std::vector<InstanceId> m_Elsewhere;
};

/// Appends consecutive agents from the section of the ring that belongs to the entry instance at
/// `Position`.
void selectLocal(const std::vector<InstanceId> &Ring, std::size_t Position, std::size_t Entries,
                 std::vector<InstanceId> &Chosen) {
  std::size_t PerEntry = (Ring.size() + Entries - 1) / Entries;
  std::size_t Count = std::min(Ring.size(), std::max(DispatchSubset::LocalPerService, PerEntry));
  std::size_t Start = Position * Ring.size() / Entries;
  for (std::size_t I = 0; I < Count; ++I)
    Chosen.push_back(Ring[(Start + I) % Ring.size()]);
}

void selectRemote(const InstanceId &Self, const ServiceAgents &Agents,
                  std::vector<InstanceId> &Chosen) {
  std::size_t Missing = DispatchSubset::LocalPerService -
                        std::min(DispatchSubset::LocalPerService, Agents.m_Local.size());
  std::size_t Wanted = std::max(DispatchSubset::RemotePerService, Missing);
  for (const auto *Group : {&Agents.m_SameRegion, &Agents.m_Elsewhere}) {
    std::vector<InstanceId> Ranked = rendezvousRank(Self.str(), *Group, Wanted);
    Chosen.insert(Chosen.end(), Ranked.begin(), Ranked.end());
    Wanted -= Ranked.size();
  }
}

} // namespace

std::vector<InstanceId> DispatchSubset::choose(const InstanceRecord &Self, Records Members) {
  std::vector<InstanceId> Entries{Self.m_Id};
  std::map<ServiceId, ServiceAgents> Services;
  for (const auto &Member : Members) {
    if (Member->m_State == InstanceState::Dead)
      continue;
    bool IsLocal = Member->m_DataCentre == Self.m_DataCentre;
    if (Member->m_Role == InstanceRole::Entry) {
      if (IsLocal)
        Entries.push_back(Member->m_Id);
      continue;
    }
    ServiceAgents &Agents = Services[Member->m_Service];
    if (IsLocal)
      Agents.m_Local.push_back(Member->m_Id);
    else if (Member->m_Region == Self.m_Region)
      Agents.m_SameRegion.push_back(Member->m_Id);
    else
      Agents.m_Elsewhere.push_back(Member->m_Id);
  }
  std::vector<InstanceId> Ring = hashRing(Entries);
  auto Position =
      static_cast<std::size_t>(std::find(Ring.begin(), Ring.end(), Self.m_Id) - Ring.begin());
  std::vector<InstanceId> Chosen;
  for (const auto &[Service, Agents] : Services) {
    if (!Agents.m_Local.empty())
      selectLocal(hashRing(Agents.m_Local), Position, Ring.size(), Chosen);
    selectRemote(Self.m_Id, Agents, Chosen);
  }
  std::sort(Chosen.begin(), Chosen.end());
  return Chosen;
}

} // namespace fescuegauge
