#include "Fescuegauge/PeerLink.h"

#include "Fescuegauge/ByteCodec.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fescuegauge {

namespace {

constexpr std::uint64_t ReportVersion = 8;
constexpr std::uint64_t NoticeVersion = 2;

/// Times at which tables were confirmed are told apart by this, so that rounding is no news.
using ConfirmationStep = std::chrono::duration<std::int64_t, std::ratio<1, 20>>;

void writeNotice(ByteWriter &Writer, const LoadNotice &Notice) {
  Writer.text(Notice.m_Upstream.m_Host);
  Writer.number(Notice.m_Upstream.m_Port);
  Writer.number(static_cast<std::uint64_t>(Notice.m_TimeLeft.count()));
}

LoadNotice readNotice(ByteReader &Reader) {
  LoadNotice Notice;
  Notice.m_Upstream.m_Host = Reader.text();
  Notice.m_Upstream.m_Port = static_cast<std::uint16_t>(Reader.number());
  Notice.m_TimeLeft = Duration(static_cast<Duration::rep>(Reader.number()));
  return Notice;
}

void writePerSecond(ByteWriter &Writer, RequestRate Rate) {
  Writer.fixed64(std::bit_cast<std::uint64_t>(Rate.perSecond()));
}

RequestRate readPerSecond(ByteReader &Reader) {
  const auto PerSecond = std::bit_cast<double>(Reader.fixed64());
  if (std::isfinite(PerSecond) && PerSecond >= 0)
    return RequestRate(PerSecond);
  Reader.fail();
  return {};
}

/// An age beyond every bound is cut, so that sums with it do not overflow.
Duration readAge(ByteReader &Reader) {
  constexpr Duration LongestAge = std::chrono::hours(24);
  return Duration(
      static_cast<Duration::rep>(std::min<std::uint64_t>(Reader.number(), LongestAge.count())));
}

void writeRate(ByteWriter &Writer, const RateStatement &Statement) {
  Writer.id(Statement.m_Upstream.m_Id);
  Writer.id(Statement.m_Upstream.m_Incarnation);
  Writer.number(Statement.m_Rate ? 1 : 0);
  writePerSecond(Writer, Statement.m_Rate.value_or(RequestRate()));
  Writer.number(static_cast<std::uint64_t>(Statement.m_Age.count()));
}

RateStatement readRate(ByteReader &Reader) {
  RateStatement Statement;
  Statement.m_Upstream.m_Id = Reader.id<InstanceId>();
  Statement.m_Upstream.m_Incarnation = Reader.id<Incarnation>();
  const bool IsNamed = Reader.number() != 0;
  const RequestRate Rate = readPerSecond(Reader);
  if (IsNamed)
    Statement.m_Rate = Rate;
  Statement.m_Age = Duration(static_cast<Duration::rep>(Reader.number()));
  return Statement;
}

Endpoint endpointOf(const Udp::endpoint &From) { return {From.address().to_string(), From.port()}; }

} // namespace

std::string encodePeerReport(const PeerReport &Report) {
  ByteWriter Writer;
  Writer.number(ReportVersion);
  Writer.id(Report.m_Sender);
  Writer.id(Report.m_DataCentre);
  Writer.number(Report.m_IsStopping ? 1 : 0);
  writePerSecond(Writer, Report.m_Demand);
  Writer.number(Report.m_Use.size());
  for (const auto &[Upstream, Use] : Report.m_Use) {
    Writer.id(Upstream);
    Writer.number(Use.m_Requests);
    Writer.number(Use.m_UnreadTokens);
  }
  Writer.number(Report.m_Suspects.size());
  for (const SuspectDelta &Each : Report.m_Suspects) {
    Writer.id(Each.m_Key.m_Account);
    Writer.digest(Each.m_Key.m_BodyDigest);
    Writer.id(Each.m_Upstream);
    Writer.id(Each.m_Incarnation);
    Writer.number(Each.m_Cleared ? 1 : 0);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
  }
  Writer.number(Report.m_Weights.size());
  for (const AnnouncedWeights &Each : Report.m_Weights) {
    Writer.id(Each.m_Model);
    Writer.id(Each.m_Version);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
    Writer.number(static_cast<std::uint64_t>(Each.m_Uncertainty.count()));
  }
  Writer.number(Report.m_Loading.size());
  for (const LoadNotice &Each : Report.m_Loading)
    writeNotice(Writer, Each);
  Writer.number(Report.m_Leaving.size());
  for (const UpstreamStart &Each : Report.m_Leaving) {
    Writer.id(Each.m_Id);
    Writer.id(Each.m_Incarnation);
  }
  Writer.number(Report.m_Rates.size());
  for (const RateStatement &Each : Report.m_Rates)
    writeRate(Writer, Each);
  Writer.number(Report.m_Tables.size());
  for (const TableState &Each : Report.m_Tables) {
    Writer.text(Each.m_Table);
    Writer.id(Each.m_NewestChange);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
    Writer.number(Each.m_IsInTouch ? 1 : 0);
    Writer.number(Each.m_IsQueryingStore ? 1 : 0);
    Writer.number(Each.m_HasStoreFailed ? 1 : 0);
  }
  return Writer.take();
}

std::optional<PeerReport> decodePeerReport(std::string_view Datagram) {
  ByteReader Reader(Datagram);
  PeerReport Report;
  if (Reader.number() != ReportVersion)
    return std::nullopt;
  Report.m_Sender = Reader.id<InstanceId>();
  Report.m_DataCentre = Reader.id<DataCentreId>();
  Report.m_IsStopping = Reader.number() != 0;
  Report.m_Demand = readPerSecond(Reader);
  constexpr std::size_t LeastEntry = 3;
  for (std::size_t Left = Reader.count(LeastEntry); Left > 0; --Left) {
    InstanceId Upstream = Reader.id<InstanceId>();
    UpstreamUsage &Use = Report.m_Use[Upstream];
    Use.m_Requests = static_cast<std::uint32_t>(Reader.number());
    Use.m_UnreadTokens = static_cast<std::uint32_t>(Reader.number());
  }
  constexpr std::size_t LeastSuspect = Digest::Size + 5;
  for (std::size_t Left = Reader.count(LeastSuspect); Left > 0; --Left) {
    SuspectDelta Each;
    Each.m_Key.m_Account = Reader.id<ClientAccountId>();
    Each.m_Key.m_BodyDigest = Reader.digest();
    Each.m_Upstream = Reader.id<InstanceId>();
    Each.m_Incarnation = Reader.id<Incarnation>();
    Each.m_Cleared = Reader.number() != 0;
    Each.m_Age = Duration(static_cast<Duration::rep>(Reader.number()));
    Report.m_Suspects.push_back(std::move(Each));
  }
  constexpr std::size_t LeastWeights = 4;
  for (std::size_t Left = Reader.count(LeastWeights); Left > 0; --Left) {
    AnnouncedWeights Each;
    Each.m_Model = Reader.id<ModelId>();
    Each.m_Version = Reader.id<WeightsVersion>();
    Each.m_Age = readAge(Reader);
    Each.m_Uncertainty = Duration(static_cast<Duration::rep>(Reader.number()));
    Report.m_Weights.push_back(std::move(Each));
  }
  constexpr std::size_t LeastNotice = 3;
  for (std::size_t Left = Reader.count(LeastNotice); Left > 0; --Left)
    Report.m_Loading.push_back(readNotice(Reader));
  constexpr std::size_t LeastLeaving = 2;
  for (std::size_t Left = Reader.count(LeastLeaving); Left > 0; --Left) {
    UpstreamStart Each;
    Each.m_Id = Reader.id<InstanceId>();
    Each.m_Incarnation = Reader.id<Incarnation>();
    Report.m_Leaving.push_back(std::move(Each));
  }
  constexpr std::size_t LeastRate = 12;
  for (std::size_t Left = Reader.count(LeastRate); Left > 0; --Left)
    Report.m_Rates.push_back(readRate(Reader));
  constexpr std::size_t LeastTable = 6;
  for (std::size_t Left = Reader.count(LeastTable); Left > 0; --Left) {
    TableState Each;
    Each.m_Table = Reader.text();
    Each.m_NewestChange = Reader.id<RowVersion>();
    Each.m_Age = readAge(Reader);
    Each.m_IsInTouch = Reader.number() != 0;
    Each.m_IsQueryingStore = Reader.number() != 0;
    Each.m_HasStoreFailed = Reader.number() != 0;
    Report.m_Tables.push_back(std::move(Each));
  }
  if (Reader.failed() || !Reader.atEnd())
    return std::nullopt;
  return Report;
}

std::string encodeLoadNotice(const LoadNotice &Notice) {
  ByteWriter Writer;
  Writer.number(NoticeVersion);
  writeNotice(Writer, Notice);
  return Writer.take();
}

std::optional<LoadNotice> decodeLoadNotice(std::string_view Datagram) {
  ByteReader Reader(Datagram);
  if (Reader.number() != NoticeVersion)
    return std::nullopt;
  LoadNotice Notice = readNotice(Reader);
  if (Reader.failed() || !Reader.atEnd())
    return std::nullopt;
  return Notice;
}

void sendLoadNotice(net::io_context &Loop, std::span<const Endpoint> Entries,
                    const LoadNotice &Notice) {
  Udp::socket Socket(Loop, Udp::v4());
  const std::string Datagram = encodeLoadNotice(Notice);
  for (const Endpoint &Each : Entries) {
    const Tcp::endpoint To = tcpEndpoint(Each);
    SystemError Ignored;
    // A lost notice costs some requests a wait at the upstream.
    Socket.send_to(net::buffer(Datagram), Udp::endpoint(To.address(), To.port()), 0, Ignored);
  }
}

PeerLink::PeerLink(net::io_context &Loop, InstanceId Self, DataCentreId DataCentre, Handlers Calls)
    : m_Self(std::move(Self)), m_DataCentre(std::move(DataCentre)), m_Calls(std::move(Calls)),
      m_Socket(Loop), m_Tick(Loop.get_executor()), m_Peers(m_DataCentre) {}

void PeerLink::start(const Endpoint &Local) {
  const Tcp::endpoint Address = tcpEndpoint(Local);
  m_Socket.open(Udp::v4());
  m_Socket.bind(Udp::endpoint(Address.address(), Address.port()));
  m_Socket.non_blocking(true);
  receive();
  tick();
}

void PeerLink::addPeer(const Endpoint &Address, const DataCentreId &DataCentre) {
  m_Peers.note(Address, DataCentre, monotonicNow());
}

std::vector<KnownInstance> PeerLink::livePeers() const {
  const auto TurnsOf = [&](std::size_t Most) {
    return static_cast<int>((m_Peers.size() + Most - 1) / Most);
  };
  return m_Peers.live({RefreshInterval + TurnsOf(MaxLocalPeers) * LocalInterval,
                       TurnsOf(MaxRemotePeers) * RefreshInterval},
                      monotonicNow());
}

void PeerLink::receive() {
  m_Socket.async_receive_from(net::buffer(m_Buffer), m_From,
                              [this](SystemError Error, std::size_t Size) {
                                if (Error == net::error::operation_aborted)
                                  return;
                                if (!Error)
                                  take({m_Buffer.data(), Size});
                                receive();
                              });
}

void PeerLink::take(std::string_view Datagram) {
  const TimePoint Now = monotonicNow();
  if (auto Notice = decodeLoadNotice(Datagram)) {
    std::erase_if(m_Notices, [&](const TakenNotice &Each) {
      return Each.m_Upstream == Notice->m_Upstream || Now - Each.m_TakenAt > NoticeLifetime;
    });
    m_Notices.push_back({Notice->m_Upstream, Now + Notice->m_TimeLeft, Now});
    m_Calls.m_OnLoading(*Notice);
    return;
  }
  auto Report = decodePeerReport(Datagram);
  if (!Report || Report->m_Sender == m_Self)
    return;
  Report->m_From = endpointOf(m_From);
  m_Peers.onPeerMessage({Report->m_From, Report->m_DataCentre, Report->m_Demand},
                        Report->m_IsStopping, Now);
  for (const LoadNotice &Each : Report->m_Loading)
    m_Calls.m_OnLoading(Each);
  m_Calls.m_OnReport(std::move(*Report));
}

void PeerLink::sendTo(const Endpoint &Address, const std::string &Datagram) {
  const Tcp::endpoint To = tcpEndpoint(Address);
  SystemError Ignored;
  // A datagram that cannot be sent now is made good by the next one.
  m_Socket.send_to(net::buffer(Datagram), Udp::endpoint(To.address(), To.port()), 0, Ignored);
}

std::size_t PeerLink::sendInTurn(const std::vector<Endpoint> &To, std::size_t Start,
                                 std::size_t Most, const std::string &Datagram) {
  const std::size_t Count = std::min(To.size(), Most);
  for (std::size_t I = 0; I < Count; ++I)
    sendTo(To[(Start + I) % To.size()], Datagram);
  return To.empty() ? 0 : (Start + Count) % To.size();
}

void PeerLink::tick() {
  const TimePoint Now = monotonicNow();
  PeerReport Report;
  Report.m_Sender = m_Self;
  Report.m_DataCentre = m_DataCentre;
  Report.m_IsStopping = m_Calls.m_IsStopping();
  Report.m_Demand = m_Calls.m_Demand();
  Report.m_Use = m_Calls.m_Use();
  Report.m_Suspects = m_Calls.m_TakeSuspects();
  Report.m_Weights = m_Calls.m_Weights();
  Report.m_Leaving = m_Calls.m_Leaving();
  Report.m_Rates = m_Calls.m_Rates();
  Report.m_Tables = m_Calls.m_Tables();
  for (const TakenNotice &Each : m_Notices)
    if (Now - Each.m_TakenAt <= NoticeLifetime)
      Report.m_Loading.push_back({Each.m_Upstream, std::max(Each.m_Until - Now, Duration(0))});
  const bool HasNewLeaving =
      std::any_of(Report.m_Leaving.begin(), Report.m_Leaving.end(), [&](const UpstreamStart &Each) {
        return std::find(m_LastLeaving.begin(), m_LastLeaving.end(), Each) == m_LastLeaving.end();
      });
  if (HasNewLeaving)
    m_LeavingUrgentUntil = Now + NoticeLifetime;
  m_LastLeaving = Report.m_Leaving;
  const bool Urgent = !Report.m_Suspects.empty() || !Report.m_Loading.empty() ||
                      (!Report.m_Leaving.empty() && Now < m_LeavingUrgentUntil);
  // Ages grow all the time; only one that was confirmed anew is news.
  std::vector<TableState> Tables = Report.m_Tables;
  for (TableState &Each : Tables)
    Each.m_Age = std::chrono::round<ConfirmationStep>(Now.time_since_epoch() - Each.m_Age);
  const bool Changed =
      Report.m_Use != m_LastSent || Report.m_IsStopping != m_ToldStopping || Tables != m_LastTables;
  const bool Local = Urgent || Changed || m_LocalLeft > 0 || Now - m_LocalSentAt >= RefreshInterval;
  const bool Remote =
      Urgent || Now - m_RemoteSentAt >= (Changed ? RemoteInterval : RefreshInterval);
  if (Local || Remote) {
    const std::string Datagram = encodePeerReport(Report);
    m_Peers.removeExpired(Now);
    const std::vector<Endpoint> Mates = m_Peers.local();
    const std::vector<Endpoint> Others = m_Peers.remote();
    if (Local) {
      if (Urgent || Changed || m_LocalLeft == 0)
        m_LocalLeft = Mates.size();
      // Suspects are taken once, so this report must reach all.
      const std::size_t Most = Report.m_Suspects.empty() ? MaxLocalPeers : Mates.size();
      m_LocalStart = sendInTurn(Mates, m_LocalStart, Most, Datagram);
      m_LocalLeft -= std::min(m_LocalLeft, Most);
      m_LocalSentAt = Now;
      m_LastSent = Report.m_Use;
      m_LastTables = std::move(Tables);
      m_ToldStopping = Report.m_IsStopping;
    }
    if (Remote) {
      m_RemoteSentAt = Now;
      m_RemoteStart = sendInTurn(Others, m_RemoteStart, MaxRemotePeers, Datagram);
    }
  }
  m_Tick.set(LocalInterval, [this] { tick(); });
}

} // namespace fescuegauge
