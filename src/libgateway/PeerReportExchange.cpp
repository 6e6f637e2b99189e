#include "Fescuegauge/PeerReportExchange.h"

#include "Fescuegauge/ByteCodec.h"
#include "Fescuegauge/ScopeExit.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace fescuegauge {

namespace {

constexpr std::uint64_t ReportVersion = 11;
constexpr std::uint64_t NoticeVersion = 2;

/// Resolution at which confirmation times of tables are compared, so that rounding is not taken for
/// a change.
using ConfirmationResolution = std::chrono::duration<std::int64_t, std::ratio<1, 20>>;

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

/// Reads an age and limits it to 24 h, so that sums with it do not overflow.
Duration readAge(ByteReader &Reader) {
  constexpr Duration MaxAge = std::chrono::hours(24);
  return Duration(
      static_cast<Duration::rep>(std::min<std::uint64_t>(Reader.number(), MaxAge.count())));
}

void writeStart(ByteWriter &Writer, const UpstreamStart &Start) {
  Writer.id(Start.m_Id);
  Writer.id(Start.m_Incarnation);
}

UpstreamStart readStart(ByteReader &Reader) {
  UpstreamStart Start;
  Start.m_Id = Reader.id<InstanceId>();
  Start.m_Incarnation = Reader.id<Incarnation>();
  return Start;
}

void writeRate(ByteWriter &Writer, const RateStatement &Statement) {
  writeStart(Writer, Statement.m_Upstream);
  Writer.number(Statement.m_Rate ? 1 : 0);
  writePerSecond(Writer, Statement.m_Rate.value_or(RequestRate()));
  Writer.number(static_cast<std::uint64_t>(Statement.m_Age.count()));
}

RateStatement readRate(ByteReader &Reader) {
  RateStatement Statement;
  Statement.m_Upstream = readStart(Reader);
  const bool IsNamed = Reader.number() != 0;
  const RequestRate Rate = readPerSecond(Reader);
  if (IsNamed)
    Statement.m_Rate = Rate;
  Statement.m_Age = Duration(static_cast<Duration::rep>(Reader.number()));
  return Statement;
}

void writeKey(ByteWriter &Writer, const SuspectKey &Key) {
  Writer.number(static_cast<std::uint64_t>(Key.m_Kind));
  Writer.text(Key.m_Id);
}

SuspectKey readKey(ByteReader &Reader) {
  SuspectKey Key;
  const std::uint64_t Kind = Reader.number();
  if (Kind > static_cast<std::uint64_t>(SuspectKey::Kind::PromptPart))
    Reader.fail();
  Key.m_Kind = static_cast<SuspectKey::Kind>(Kind);
  Key.m_Id = Reader.text();
  return Key;
}

void writeKeys(ByteWriter &Writer, const std::vector<SuspectKey> &Keys) {
  Writer.number(Keys.size());
  for (const SuspectKey &Each : Keys)
    writeKey(Writer, Each);
}

/// Fails unless the keys are sorted and unique.
std::vector<SuspectKey> readKeys(ByteReader &Reader) {
  constexpr std::size_t MinKeyBytes = 2;
  std::vector<SuspectKey> Keys;
  for (std::size_t Left = Reader.count(MinKeyBytes); Left > 0; --Left) {
    Keys.push_back(readKey(Reader));
    if (Keys.size() > 1 && !(Keys[Keys.size() - 2] < Keys.back()))
      Reader.fail();
  }
  return Keys;
}

void writeSuspects(ByteWriter &Writer, const SuspectUpdate &Update) {
  Writer.number(Update.m_Evidence.size());
  for (const CrashEvidence &Each : Update.m_Evidence) {
    writeStart(Writer, Each.m_Crash);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
    Writer.id(Each.m_Request.m_Account);
    writeKeys(Writer, Each.m_Request.m_Keys);
  }
  Writer.number(Update.m_Begun.size());
  for (const BegunKey &Each : Update.m_Begun) {
    writeKey(Writer, Each.m_Key);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
  }
  Writer.number(Update.m_Quarantines.size());
  for (const Quarantine &Each : Update.m_Quarantines) {
    writeKeys(Writer, Each.m_Keys);
    Writer.number(Each.m_Account ? 1 : 0);
    Writer.id(Each.m_Account.value_or(ClientAccountId()));
    writeStart(Writer, Each.m_LastCrash);
    Writer.number(static_cast<std::uint64_t>(Each.m_Age.count()));
  }
}

SuspectUpdate readSuspects(ByteReader &Reader) {
  SuspectUpdate Update;
  constexpr std::size_t MinEvidenceBytes = 5;
  for (std::size_t Left = Reader.count(MinEvidenceBytes); Left > 0; --Left) {
    CrashEvidence Each;
    Each.m_Crash = readStart(Reader);
    Each.m_Age = readAge(Reader);
    Each.m_Request.m_Account = Reader.id<ClientAccountId>();
    Each.m_Request.m_Keys = readKeys(Reader);
    Update.m_Evidence.push_back(std::move(Each));
  }
  constexpr std::size_t MinBegunBytes = 3;
  for (std::size_t Left = Reader.count(MinBegunBytes); Left > 0; --Left) {
    BegunKey Each;
    Each.m_Key = readKey(Reader);
    Each.m_Age = readAge(Reader);
    Update.m_Begun.push_back(std::move(Each));
  }
  constexpr std::size_t MinQuarantineBytes = 6;
  for (std::size_t Left = Reader.count(MinQuarantineBytes); Left > 0; --Left) {
    Quarantine Each;
    Each.m_Keys = readKeys(Reader);
    const bool HasAccount = Reader.number() != 0;
    ClientAccountId Account = Reader.id<ClientAccountId>();
    if (HasAccount)
      Each.m_Account = std::move(Account);
    Each.m_LastCrash = readStart(Reader);
    Each.m_Age = readAge(Reader);
    Update.m_Quarantines.push_back(std::move(Each));
  }
  return Update;
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
  Writer.number(Report.m_Usage.size());
  for (const auto &[Upstream, Use] : Report.m_Usage) {
    Writer.id(Upstream);
    Writer.number(Use.m_Requests);
    Writer.number(Use.m_UnreadTokens);
  }
  writeSuspects(Writer, Report.m_Suspects);
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
  for (const UpstreamStart &Each : Report.m_Leaving)
    writeStart(Writer, Each);
  Writer.number(Report.m_Rates.size());
  for (const RateStatement &Each : Report.m_Rates)
    writeRate(Writer, Each);
  Writer.number(Report.m_Cold.size());
  for (const ColdNotice &Each : Report.m_Cold) {
    writeStart(Writer, Each.m_Upstream);
    Writer.number(static_cast<std::uint64_t>(Each.m_Remaining.count()));
  }
  Writer.number(Report.m_Tables.size());
  for (const TableState &Each : Report.m_Tables) {
    Writer.text(Each.m_Table);
    Writer.id(Each.m_NewestChange.m_Epoch);
    Writer.id(Each.m_NewestChange.m_Version);
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
  constexpr std::size_t MinUseBytes = 3;
  for (std::size_t Left = Reader.count(MinUseBytes); Left > 0; --Left) {
    InstanceId Upstream = Reader.id<InstanceId>();
    UpstreamUsage &Use = Report.m_Usage[Upstream];
    Use.m_Requests = static_cast<std::uint32_t>(Reader.number());
    Use.m_UnreadTokens = static_cast<std::uint32_t>(Reader.number());
  }
  Report.m_Suspects = readSuspects(Reader);
  constexpr std::size_t MinWeightsBytes = 4;
  for (std::size_t Left = Reader.count(MinWeightsBytes); Left > 0; --Left) {
    AnnouncedWeights Each;
    Each.m_Model = Reader.id<ModelId>();
    Each.m_Version = Reader.id<WeightsVersion>();
    Each.m_Age = readAge(Reader);
    Each.m_Uncertainty = Duration(static_cast<Duration::rep>(Reader.number()));
    Report.m_Weights.push_back(std::move(Each));
  }
  constexpr std::size_t MinNoticeBytes = 3;
  for (std::size_t Left = Reader.count(MinNoticeBytes); Left > 0; --Left)
    Report.m_Loading.push_back(readNotice(Reader));
  constexpr std::size_t MinLeavingBytes = 2;
  for (std::size_t Left = Reader.count(MinLeavingBytes); Left > 0; --Left)
    Report.m_Leaving.push_back(readStart(Reader));
  constexpr std::size_t MinRateBytes = 12;
  for (std::size_t Left = Reader.count(MinRateBytes); Left > 0; --Left)
    Report.m_Rates.push_back(readRate(Reader));
  constexpr std::size_t MinColdBytes = 3;
  for (std::size_t Left = Reader.count(MinColdBytes); Left > 0; --Left) {
    ColdNotice Each;
    Each.m_Upstream = readStart(Reader);
    Each.m_Remaining = readAge(Reader);
    Report.m_Cold.push_back(std::move(Each));
  }
  constexpr std::size_t MinTableBytes = 7;
  for (std::size_t Left = Reader.count(MinTableBytes); Left > 0; --Left) {
    TableState Each;
    Each.m_Table = Reader.text();
    Each.m_NewestChange.m_Epoch = Reader.id<StoreEpoch>();
    Each.m_NewestChange.m_Version = Reader.id<RowVersion>();
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
    // Errors are ignored: a lost notice only makes some requests wait at the upstream.
    Socket.send_to(net::buffer(Datagram), Udp::endpoint(To.address(), To.port()), 0, Ignored);
  }
}

PeerReportExchange::PeerReportExchange(net::io_context &Loop, InstanceId Self,
                                       DataCentreId DataCentre, Handlers Callbacks)
    : m_Self(std::move(Self)), m_DataCentre(std::move(DataCentre)),
      m_Handlers(std::move(Callbacks)), m_Socket(Loop), m_SendTimer(Loop.get_executor()),
      m_Peers(m_DataCentre), m_NextLocalPeer(std::hash<InstanceId>{}(m_Self)),
      m_NextRemotePeer(m_NextLocalPeer) {}

void PeerReportExchange::start(const Endpoint &Local) {
  const Tcp::endpoint Address = tcpEndpoint(Local);
  m_Socket.open(Udp::v4());
  m_Socket.bind(Udp::endpoint(Address.address(), Address.port()));
  m_Socket.non_blocking(true);
  receive();
  sendDueReports();
}

void PeerReportExchange::addPeer(const Endpoint &Address, const DataCentreId &DataCentre) {
  m_Peers.onListed(Address, DataCentre, monotonicNow());
}

std::vector<KnownInstance> PeerReportExchange::knownPeers() const {
  const auto RoundsFor = [&](std::size_t MaxPeers) {
    return static_cast<int>((m_Peers.size() + MaxPeers - 1) / MaxPeers);
  };
  return m_Peers.known({RefreshInterval + RoundsFor(MaxLocalPeers) * LocalInterval,
                        RoundsFor(MaxRemotePeers) * RefreshInterval},
                       monotonicNow());
}

void PeerReportExchange::receive() {
  m_Socket.async_receive_from(net::buffer(m_ReceiveBuffer), m_From,
                              [this](SystemError Error, std::size_t Size) {
                                if (Error == net::error::operation_aborted)
                                  return;
                                const ScopeExit ReceiveNext([this] { receive(); });
                                if (!Error)
                                  handleDatagram({m_ReceiveBuffer.data(), Size});
                              });
}

void PeerReportExchange::handleDatagram(std::string_view Datagram) {
  const TimePoint Now = monotonicNow();
  if (auto Notice = decodeLoadNotice(Datagram)) {
    std::erase_if(m_Notices, [&](const ReceivedNotice &Each) {
      return Each.m_Upstream == Notice->m_Upstream || Now - Each.m_ReceivedAt > NoticeLifetime;
    });
    m_Notices.push_back({Notice->m_Upstream, Now + Notice->m_TimeLeft, Now});
    m_Handlers.m_OnLoading(*Notice);
    return;
  }
  auto Report = decodePeerReport(Datagram);
  if (!Report || Report->m_Sender == m_Self)
    return;
  Report->m_From = endpointOf(m_From);
  m_Peers.onPeerMessage({Report->m_From, Report->m_DataCentre, Report->m_Demand},
                        Report->m_IsStopping, Now);
  for (const LoadNotice &Each : Report->m_Loading)
    m_Handlers.m_OnLoading(Each);
  m_Handlers.m_OnReport(std::move(*Report));
}

void PeerReportExchange::sendTo(const Endpoint &Address, const std::string &Datagram) {
  const Tcp::endpoint To = tcpEndpoint(Address);
  SystemError Ignored;
  // Errors are ignored: the next report makes up for a lost datagram.
  m_Socket.send_to(net::buffer(Datagram), Udp::endpoint(To.address(), To.port()), 0, Ignored);
}

std::size_t PeerReportExchange::sendRoundRobin(const std::vector<Endpoint> &To, std::size_t Start,
                                               std::size_t MaxPeers, const std::string &Datagram) {
  const std::size_t Count = std::min(To.size(), MaxPeers);
  for (std::size_t I = 0; I < Count; ++I)
    sendTo(To[(Start + I) % To.size()], Datagram);
  return To.empty() ? 0 : (Start + Count) % To.size();
}

void PeerReportExchange::sendDueReports() {
  m_SendTimer.set(LocalInterval, [this] { sendDueReports(); });
  const TimePoint Now = monotonicNow();
  PeerReport Report;
  Report.m_Sender = m_Self;
  Report.m_DataCentre = m_DataCentre;
  Report.m_IsStopping = m_Handlers.m_IsStopping();
  Report.m_Demand = m_Handlers.m_Demand();
  Report.m_Usage = m_Handlers.m_Usage();
  Report.m_Weights = m_Handlers.m_Weights();
  Report.m_Leaving = m_Handlers.m_Leaving();
  Report.m_Rates = m_Handlers.m_Rates();
  Report.m_Cold = m_Handlers.m_Cold();
  Report.m_Tables = m_Handlers.m_Tables();
  for (const ReceivedNotice &Each : m_Notices)
    if (Now - Each.m_ReceivedAt <= NoticeLifetime)
      Report.m_Loading.push_back({Each.m_Upstream, std::max(Each.m_LoadEndsAt - Now, Duration(0))});
  const bool HasNewLeaving =
      std::any_of(Report.m_Leaving.begin(), Report.m_Leaving.end(), [&](const UpstreamStart &Each) {
        return std::find(m_LastLeaving.begin(), m_LastLeaving.end(), Each) == m_LastLeaving.end();
      });
  if (HasNewLeaving)
    m_LeavingUrgentUntil = Now + NoticeLifetime;
  m_LastLeaving = Report.m_Leaving;
  const bool IsUrgent = m_Handlers.m_AreSuspectsUrgent() || !Report.m_Loading.empty() ||
                        (!Report.m_Leaving.empty() && Now < m_LeavingUrgentUntil);
  // Ages always grow; only a new confirmation counts as a change.
  std::vector<TableState> Tables = Report.m_Tables;
  for (TableState &Each : Tables)
    Each.m_Age = std::chrono::round<ConfirmationResolution>(Now.time_since_epoch() - Each.m_Age);
  const bool HasChanged = Report.m_Usage != m_LastUsage ||
                          Report.m_IsStopping != m_LastIsStopping || Tables != m_LastTables;
  const bool SendsLocal =
      IsUrgent || HasChanged || m_LocalPeersPending > 0 || Now - m_LocalSentAt >= RefreshInterval;
  const bool SendsRemote =
      IsUrgent || Now - m_RemoteSentAt >= (HasChanged ? RemoteInterval : RefreshInterval);
  if (SendsLocal || SendsRemote) {
    Report.m_Suspects = m_Handlers.m_TakeSuspects();
    const std::string Datagram = encodePeerReport(Report);
    m_Peers.removeExpired(Now);
    const std::vector<Endpoint> LocalPeers = m_Peers.local();
    const std::vector<Endpoint> RemotePeers = m_Peers.remote();
    if (SendsLocal) {
      if (IsUrgent || HasChanged || m_LocalPeersPending == 0)
        m_LocalPeersPending = LocalPeers.size();
      m_NextLocalPeer = sendRoundRobin(LocalPeers, m_NextLocalPeer, MaxLocalPeers, Datagram);
      m_LocalPeersPending -= std::min(m_LocalPeersPending, MaxLocalPeers);
      m_LocalSentAt = Now;
      m_LastUsage = Report.m_Usage;
      m_LastTables = std::move(Tables);
      m_LastIsStopping = Report.m_IsStopping;
    }
    if (SendsRemote) {
      m_RemoteSentAt = Now;
      m_NextRemotePeer = sendRoundRobin(RemotePeers, m_NextRemotePeer, MaxRemotePeers, Datagram);
    }
  }
}

} // namespace fescuegauge
