#ifndef FESCUEGAUGE_PEERLINK_H
#define FESCUEGAUGE_PEERLINK_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/UpstreamBoard.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// What one entry instance tells the others about its work.
struct PeerReport {
  InstanceId m_Sender;
  DataCentreId m_DataCentre;
  InFlightByUpstream m_InFlight;
  std::vector<SuspectDelta> m_Suspects;
  std::vector<AnnouncedWeights> m_Weights;
};

std::string encodePeerReport(const PeerReport &Report);
/// Nothing if the datagram is malformed or of another version.
std::optional<PeerReport> decodePeerReport(std::string_view Datagram);

/// Exchanges PeerReport datagrams between the entry instances.
///
/// Reports go often to a bounded number of instances of the own data centre, whose upstreams are
/// shared with them, and less often to a bounded number of others. A lost datagram is made good by
/// the next one.
class PeerLink {
public:
  static constexpr Duration LocalInterval = std::chrono::milliseconds(50);
  static constexpr Duration RemoteInterval = std::chrono::milliseconds(400);
  /// An unchanged report is repeated after this time, well within the time for which it counts.
  static constexpr Duration RefreshInterval = std::chrono::milliseconds(500);
  static constexpr std::size_t MaxLocalPeers = 16;
  static constexpr std::size_t MaxRemotePeers = 8;
  /// A peer that was not heard and is not listed for this long is forgotten.
  static constexpr Duration PeerLifetime = std::chrono::seconds(60);

  struct Handlers {
    std::function<InFlightByUpstream()> m_InFlight;
    std::function<std::vector<SuspectDelta>()> m_TakeSuspects;
    std::function<std::vector<AnnouncedWeights>()> m_Weights;
    std::function<void(PeerReport)> m_OnReport;
  };

  PeerLink(net::io_context &Loop, InstanceId Self, DataCentreId DataCentre, Handlers Calls);

  /// Throws boost::system::system_error if the address is taken.
  void start(const Endpoint &Local);
  /// Adds instances that the platform knows.
  void addPeer(const Endpoint &Address, const DataCentreId &DataCentre);
  std::size_t peerCount() const { return m_Peers.size(); }

private:
  struct Peer {
    DataCentreId m_DataCentre;
    TimePoint m_HeardAt;
  };

  void receive();
  void tick();
  void sendTo(const Endpoint &Address, const std::string &Datagram);

  InstanceId m_Self;
  DataCentreId m_DataCentre;
  Handlers m_Calls;
  Udp::socket m_Socket;
  Alarm m_Tick;
  std::map<Endpoint, Peer> m_Peers;
  std::array<char, 4096> m_Buffer{};
  Udp::endpoint m_From;
  InFlightByUpstream m_LastSent;
  TimePoint m_LocalSentAt;
  TimePoint m_RemoteSentAt;
  std::size_t m_RemoteStart = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PEERLINK_H
