#ifndef FESCUEGAUGE_PEERREPORTEXCHANGE_H
#define FESCUEGAUGE_PEERREPORTEXCHANGE_H

#include "Fescuegauge/AsioTypes.h"
#include "Fescuegauge/CrashSuspects.h"
#include "Fescuegauge/LoadBalancer.h"
#include "Fescuegauge/PeerTable.h"
#include "Fescuegauge/TableSourceSelector.h"
#include "Fescuegauge/WeightsDeadlines.h"

#include <array>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// State that an entry instance reports to the others.
struct PeerReport {
  InstanceId m_Sender;
  DataCentreId m_DataCentre;
  /// The sender is stopping and takes no new requests.
  bool m_IsStopping = false;
  /// Rate of client requests to the sender.
  RequestRate m_Demand;
  UsageByUpstream m_Usage;
  SuspectUpdate m_Suspects;
  std::vector<AnnouncedWeights> m_Weights;
  std::vector<LoadNotice> m_Loading;
  /// Upstreams that announced that they are leaving.
  std::vector<UpstreamStart> m_Leaving;
  /// Rate limits that upstreams stated in responses to the sender.
  std::vector<RateStatement> m_Rates;
  /// Upstreams that may be cold by what the sender saw.
  std::vector<ColdNotice> m_Cold;
  /// The sender's knowledge of the platform's tables.
  std::vector<TableState> m_Tables;
  /// Address of the sender; set by the receiver.
  Endpoint m_From;
};

std::string encodePeerReport(const PeerReport &Report);
/// Returns nothing if the datagram is malformed or has another version.
std::optional<PeerReport> decodePeerReport(std::string_view Datagram);

std::string encodeLoadNotice(const LoadNotice &Notice);
std::optional<LoadNotice> decodeLoadNotice(std::string_view Datagram);

/// Sends an agent's notice to entry instances. An instance that receives it forwards it to the
/// others.
void sendLoadNotice(net::io_context &Loop, std::span<const Endpoint> Entries,
                    const LoadNotice &Notice);

/// Exchanges PeerReport datagrams between the entry instances.
///
/// Reports go at LocalInterval to a bounded number of instances of the own data centre, which share
/// its upstreams, and at RemoteInterval to a bounded number of others. All news is repeated in
/// later reports, which make up for a lost datagram.
class PeerReportExchange {
public:
  static constexpr Duration LocalInterval = std::chrono::milliseconds(50);
  static constexpr Duration RemoteInterval = std::chrono::milliseconds(400);
  /// Interval at which an unchanged report is repeated, well below the time until it expires.
  static constexpr Duration RefreshInterval = std::chrono::milliseconds(500);
  /// Maximum number of recipients per interval. More peers are served round-robin, so that each of
  /// them gets reports.
  static constexpr std::size_t MaxLocalPeers = 16;
  static constexpr std::size_t MaxRemotePeers = 8;
  /// A notice from an agent, or a new announcement that an upstream is leaving, is sent in each
  /// report for this time, because any datagram may be lost.
  static constexpr Duration NoticeLifetime = std::chrono::milliseconds(1000);

  struct Handlers {
    std::function<bool()> m_IsStopping;
    std::function<RequestRate()> m_Demand;
    std::function<UsageByUpstream()> m_Usage;
    std::function<SuspectUpdate()> m_TakeSuspects;
    std::function<bool()> m_AreSuspectsUrgent;
    std::function<std::vector<AnnouncedWeights>()> m_Weights;
    std::function<std::vector<UpstreamStart>()> m_Leaving;
    std::function<std::vector<RateStatement>()> m_Rates;
    std::function<std::vector<ColdNotice>()> m_Cold;
    std::function<std::vector<TableState>()> m_Tables;
    std::function<void(const LoadNotice &)> m_OnLoading;
    std::function<void(PeerReport)> m_OnReport;
  };

  PeerReportExchange(net::io_context &Loop, InstanceId Self, DataCentreId DataCentre,
                     Handlers Callbacks);

  /// Throws boost::system::system_error if the address is in use.
  void start(const Endpoint &Local);
  /// Adds an instance that the platform lists.
  void addPeer(const Endpoint &Address, const DataCentreId &DataCentre);
  std::size_t peerCount() const { return m_Peers.size(); }
  /// Known instances of the own data centre.
  std::vector<Endpoint> localPeers() const { return m_Peers.local(); }
  /// Known instances that are not stopping. Those whose reports do not arrive on schedule are
  /// marked.
  std::vector<KnownInstance> knownPeers() const;

private:
  void receive();
  void sendDueReports();
  void handleDatagram(std::string_view Datagram);
  void sendTo(const Endpoint &Address, const std::string &Datagram);
  /// Sends to at most `MaxPeers` peers, starting at index `Start`. Returns the index at which the
  /// next round starts.
  std::size_t sendRoundRobin(const std::vector<Endpoint> &To, std::size_t Start,
                             std::size_t MaxPeers, const std::string &Datagram);

  InstanceId m_Self;
  DataCentreId m_DataCentre;
  Handlers m_Handlers;
  Udp::socket m_Socket;
  OneShotTimer m_SendTimer;
  PeerTable m_Peers;
  /// Receive buffer, large enough for a report on several hundred upstreams.
  std::array<char, 16384> m_ReceiveBuffer{};
  Udp::endpoint m_From;
  UsageByUpstream m_LastUsage;
  /// Tables in the last report, with the time of the last confirmation in place of the age.
  std::vector<TableState> m_LastTables;
  bool m_LastIsStopping = false;
  std::vector<UpstreamStart> m_LastLeaving;
  /// Time until which new announcements of leaving upstreams are sent in each report.
  TimePoint m_LeavingUrgentUntil;
  /// Notice from an agent.
  struct ReceivedNotice {
    Endpoint m_Upstream;
    /// Expected end of the load.
    TimePoint m_LoadEndsAt;
    TimePoint m_ReceivedAt;
  };
  std::vector<ReceivedNotice> m_Notices;
  TimePoint m_LocalSentAt;
  TimePoint m_RemoteSentAt;
  /// Index of the next recipients, modulo the number of peers. Instances start at different ones,
  /// so that news from several instances of a data centre does not go to the same peers.
  std::size_t m_NextLocalPeer;
  std::size_t m_NextRemotePeer;
  /// Number of local peers that the latest report has not been sent to yet.
  std::size_t m_LocalPeersPending = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PEERREPORTEXCHANGE_H
