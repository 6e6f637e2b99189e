#include "Fescuegauge/RoutingPlan.h"

#include <algorithm>

namespace fescuegauge {

namespace {

std::string hostName(std::string_view Host) {
  std::string Name(Host.substr(0, Host.find(':')));
  std::transform(Name.begin(), Name.end(), Name.begin(),
                 [](unsigned char C) { return static_cast<char>(std::tolower(C)); });
  return Name;
}

} // namespace

RouteTable::RouteTable(RoutingPlan Plan) : m_Plan(std::move(Plan)) {
  for (std::size_t I = 0; I < m_Plan.m_Routes.size(); ++I)
    m_ByHost[hostName(m_Plan.m_Routes[I].m_Host)].emplace(m_Plan.m_Routes[I].m_Prefix, I);
  for (std::size_t I = 0; I < m_Plan.m_Accounts.size(); ++I)
    for (const std::string &Key : m_Plan.m_Accounts[I].m_Keys)
      m_AccountByKey.emplace(Key, I);
  std::unordered_map<ServiceId, int> Priorities;
  for (const Route &Each : m_Plan.m_Routes)
    for (const ServiceShare &Share : Each.m_Services)
      if (Priorities.emplace(Share.m_Service, Each.m_Priority).first->second != Each.m_Priority)
        m_RankedServices.insert(Share.m_Service);
}

const Route *RouteTable::find(std::string_view Host, std::string_view Path) const {
  auto Found = m_ByHost.find(hostName(Host));
  if (Found == m_ByHost.end())
    return nullptr;
  // Prefixes end with a slash, so only the path up to one of its slashes can match.
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos : Path.rfind('/', Slash - 1)) {
    auto Entry = Found->second.find(Path.substr(0, Slash + 1));
    if (Entry != Found->second.end())
      return &m_Plan.m_Routes[Entry->second];
  }
  return nullptr;
}

const AccountPlan *RouteTable::accountOf(const std::string &Key) const {
  auto Found = m_AccountByKey.find(Key);
  return Found == m_AccountByKey.end() ? nullptr : &m_Plan.m_Accounts[Found->second];
}

const ServicePlan *RouteTable::service(const ServiceId &Id) const {
  auto Found = std::find_if(m_Plan.m_Services.begin(), m_Plan.m_Services.end(),
                            [&](const ServicePlan &Each) { return Each.m_Id == Id; });
  return Found == m_Plan.m_Services.end() ? nullptr : &*Found;
}

const ServicePlan *RouteTable::originService() const {
  auto Found = std::find_if(m_Plan.m_Services.begin(), m_Plan.m_Services.end(),
                            [](const ServicePlan &Each) { return Each.m_Origin.has_value(); });
  return Found == m_Plan.m_Services.end() ? nullptr : &*Found;
}

const ServiceId *RouteTable::selectService(const Route &Matched, double Draw) {
  double Sum = 0;
  for (const ServiceShare &Each : Matched.m_Services)
    Sum += Each.m_Weight;
  double Remaining = Draw * Sum;
  for (const ServiceShare &Each : Matched.m_Services) {
    if (Remaining < Each.m_Weight)
      return &Each.m_Service;
    Remaining -= Each.m_Weight;
  }
  return Matched.m_Services.empty() ? nullptr : &Matched.m_Services.back().m_Service;
}

} // namespace fescuegauge
