#ifndef FESCUEGAUGE_PEERLINK_H
#define FESCUEGAUGE_PEERLINK_H

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

/// What one entry instance tells the others about its work.
struct PeerReport {
  InstanceId m_Sender;
  DataCentreId m_DataCentre;
  /// The sender takes no new requests.
  bool m_IsStopping = false;
  /// What the sender's callers ask for.
  RequestRate m_Demand;
  UsageByUpstream m_Use;
  std::vector<SuspectDelta> m_Suspects;
  std::vector<AnnouncedWeights> m_Weights;
  std::vector<LoadNotice> m_Loading;
  /// Upstreams that said that they leave.
  std::vector<UpstreamStart> m_Leaving;
  /// What upstreams said of their rates in answers to the sender.
  std::vector<RateStatement> m_Rates;
  /// What the sender knows of the platform's tables.
  std::vector<TableState> m_Tables;
  /// Where the report came from; set by the receiver.
  Endpoint m_From;
};

std::string encodePeerReport(const PeerReport &Report);
/// Nothing if the datagram is malformed or of another version.
std::optional<PeerReport> decodePeerReport(std::string_view Datagram);

std::string encodeLoadNotice(const LoadNotice &Notice);
std::optional<LoadNotice> decodeLoadNotice(std::string_view Datagram);

/// Sends a notice to entry instances; for agents. One that gets it tells the others.
void sendLoadNotice(net::io_context &Loop, std::span<const Endpoint> Entries,
                    const LoadNotice &Notice);

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
  /// With more peers than this, they take turns, so that each hears of this instance.
  static constexpr std::size_t MaxLocalPeers = 16;
  static constexpr std::size_t MaxRemotePeers = 8;
  /// A notice from an agent, or a new statement that an upstream leaves, is told at once and for
  /// this long in each report, because any may be lost.
  static constexpr Duration NoticeLifetime = std::chrono::milliseconds(1000);

  struct Handlers {
    std::function<bool()> m_IsStopping;
    std::function<RequestRate()> m_Demand;
    std::function<UsageByUpstream()> m_Use;
    std::function<std::vector<SuspectDelta>()> m_TakeSuspects;
    std::function<std::vector<AnnouncedWeights>()> m_Weights;
    std::function<std::vector<UpstreamStart>()> m_Leaving;
    std::function<std::vector<RateStatement>()> m_Rates;
    std::function<std::vector<TableState>()> m_Tables;
    std::function<void(const LoadNotice &)> m_OnLoading;
    std::function<void(PeerReport)> m_OnReport;
  };

  PeerLink(net::io_context &Loop, InstanceId Self, DataCentreId DataCentre, Handlers Calls);

  /// Throws boost::system::system_error if the address is taken.
  void start(const Endpoint &Local);
  /// Adds instances that the platform knows.
  void addPeer(const Endpoint &Address, const DataCentreId &DataCentre);
  std::size_t peerCount() const { return m_Peers.size(); }
  /// The known instances of the own data centre.
  std::vector<Endpoint> localPeers() const { return m_Peers.local(); }
  /// The known instances that are heard in their turns and do not stop.
  std::vector<KnownInstance> livePeers() const;

private:
  void receive();
  void tick();
  void take(std::string_view Datagram);
  void sendTo(const Endpoint &Address, const std::string &Datagram);
  /// Sends to `Most` of the peers, those whose turn it is; returns the start of the next turn.
  std::size_t sendInTurn(const std::vector<Endpoint> &To, std::size_t Start, std::size_t Most,
                         const std::string &Datagram);

  InstanceId m_Self;
  DataCentreId m_DataCentre;
  Handlers m_Calls;
  Udp::socket m_Socket;
  Alarm m_Tick;
  PeerTable m_Peers;
  /// Room for a report on several hundred upstreams.
  std::array<char, 16384> m_Buffer{};
  Udp::endpoint m_From;
  UsageByUpstream m_LastSent;
  /// As last told, with the time at which each was confirmed in place of its age.
  std::vector<TableState> m_LastTables;
  bool m_ToldStopping = false;
  std::vector<UpstreamStart> m_LastLeaving;
  /// Until when new statements that upstreams leave are told at once.
  TimePoint m_LeavingUrgentUntil;
  /// Notices from agents, with the time at which they end and the time at which they came.
  struct TakenNotice {
    Endpoint m_Upstream;
    TimePoint m_Until;
    TimePoint m_TakenAt;
  };
  std::vector<TakenNotice> m_Notices;
  TimePoint m_LocalSentAt;
  TimePoint m_RemoteSentAt;
  std::size_t m_LocalStart = 0;
  std::size_t m_RemoteStart = 0;
  /// Local peers that have not yet been sent the newest report.
  std::size_t m_LocalLeft = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PEERLINK_H
