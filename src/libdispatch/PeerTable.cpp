#include "Fescuegauge/PeerTable.h"

namespace fescuegauge {

void PeerTable::onListed(const Endpoint &Address, const DataCentreId &DataCentre, TimePoint Now) {
  Peer &Known = m_Peers[Address];
  Known.m_DataCentre = DataCentre;
  Known.m_LastSeenAt = Now;
}

void PeerTable::onPeerMessage(const KnownInstance &Sender, bool IsStopping, TimePoint Now) {
  m_Peers[Sender.m_Address] = {Sender.m_DataCentre, Now, Sender.m_Demand, IsStopping};
}

void PeerTable::removeExpired(TimePoint Now) {
  std::erase_if(m_Peers,
                [&](const auto &Each) { return Now - Each.second.m_LastSeenAt > Lifetime; });
}

std::vector<Endpoint> PeerTable::select(bool Local) const {
  std::vector<Endpoint> Result;
  for (const auto &[Address, Known] : m_Peers)
    if ((Known.m_DataCentre == m_LocalDataCentre) == Local)
      Result.push_back(Address);
  return Result;
}

std::vector<KnownInstance> PeerTable::known(const MessageIntervals &MaxIntervals,
                                            TimePoint Now) const {
  std::vector<KnownInstance> Result;
  for (const auto &[Address, Known] : m_Peers) {
    const Duration Interval =
        Known.m_DataCentre == m_LocalDataCentre ? MaxIntervals.m_Local : MaxIntervals.m_Remote;
    if (!Known.m_IsStopping)
      Result.push_back({Address, Known.m_DataCentre, Known.m_Demand,
                        Now - Known.m_LastSeenAt <= MaxMissedMessages * Interval});
  }
  return Result;
}

std::vector<KnownInstance> PeerTable::live(const MessageIntervals &MaxIntervals,
                                           TimePoint Now) const {
  std::vector<KnownInstance> Result = known(MaxIntervals, Now);
  std::erase_if(Result, [](const KnownInstance &Each) { return !Each.m_IsLive; });
  return Result;
}

} // namespace fescuegauge
