#ifndef FESCUEGAUGE_TRANSFERMODEL_H
#define FESCUEGAUGE_TRANSFERMODEL_H

#include "Fescuegauge/PieceExchange.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace fescuegauge {

/// The deployment that a TransferModel simulates. Link times are for one piece.
struct TransferModelOptions {
  std::size_t m_Agents = 9;
  std::size_t m_Regions = 3;
  std::uint32_t m_Pieces = 96;
  /// Time on the origin's link, which all fetches in progress share evenly.
  Duration m_OriginPieceTime = std::chrono::milliseconds(27);
  /// Time on an agent's link, in each direction.
  Duration m_LinkPieceTime = std::chrono::milliseconds(27);
  /// Interval at which an agent learns of another agent's holdings.
  Duration m_HoldingsDelay = std::chrono::milliseconds(80);
  std::uint64_t m_Seed = 11;
};

/// Simulates the transfer of one version between agents in virtual time. The agents use
/// PieceExchange.
class TransferModel {
public:
  static constexpr Duration Step = std::chrono::milliseconds(5);
  /// Maximum number of concurrent fetches at the origin; further ones are refused.
  static constexpr std::size_t OriginConnections = 48;

  /// Maximum number of queued uploads of an agent; further ones are refused.
  static constexpr int MaxWaitingUploads = 2;

  explicit TransferModel(TransferModelOptions Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    for (std::size_t I = 0; I < Options.m_Agents; ++I) {
      PiecePeer Each;
      Each.m_Id = InstanceId("agent-" + std::to_string(I));
      const std::string Place = std::to_string(I % Options.m_Regions);
      Each.m_Region = RegionId("r" + Place);
      Each.m_DataCentre = DataCentreId("dc" + Place);
      m_Peers.push_back(Each);
      m_Index[Each.m_Id] = I;
    }
    for (const PiecePeer &Each : m_Peers) {
      m_Agents.push_back(
          std::make_unique<Agent>(PieceExchange("model/2", Options.m_Pieces, Each.m_Id,
                                                originRegion(), m_Random(), TimePoint()),
                                  Options.m_LinkPieceTime));
      m_Agents.back()->m_Exchange.setPeers(m_Peers);
    }
  }

  static RegionId originRegion() { return RegionId("r0"); }

  /// Stops the agent permanently.
  void kill(std::size_t Index) { m_Agents[Index]->m_IsDead = true; }
  /// Reduces the rate of the agent's link to this share.
  void limitLinkRate(std::size_t Index, double Share) {
    m_Agents[Index]->m_PieceTime =
        Duration(static_cast<Duration::rep>(toSeconds(m_Options.m_LinkPieceTime) * 1e6 / Share));
  }
  /// Sets the share of pieces that arrive corrupted.
  void setCorruptShare(double Share) { m_CorruptShare = Share; }
  void stopOrigin(Duration From, Duration Until) {
    m_OriginDownFrom = TimePoint(From);
    m_OriginDownUntil = TimePoint(Until);
  }

  /// Returns the time at which the last live agent held all pieces; nothing if it exceeds `Limit`.
  std::optional<Duration> run(Duration Limit) {
    for (TimePoint Now; Now < TimePoint(Limit); Now += Step) {
      advanceOrigin(Now);
      deliver(Now);
      bool All = true;
      for (std::size_t I = 0; I < m_Agents.size(); ++I) {
        Agent &Each = *m_Agents[I];
        if (Each.m_IsDead)
          continue;
        if (!Each.m_Exchange.isComplete())
          All = false;
        else if (!Each.m_CompletionTime)
          Each.m_CompletionTime = Now.time_since_epoch();
        if (!Each.m_Exchange.isComplete())
          plan(I, Now);
      }
      if (All)
        return Now.time_since_epoch();
    }
    return std::nullopt;
  }

  /// The time at which half of the live agents held all pieces; for use after run().
  std::optional<Duration> medianTime() const {
    std::vector<Duration> Times;
    for (const auto &Each : m_Agents)
      if (!Each->m_IsDead)
        Times.push_back(Each->m_CompletionTime.value_or(Duration::max()));
    std::sort(Times.begin(), Times.end());
    const Duration Median = Times[Times.size() / 2];
    return Median == Duration::max() ? std::nullopt : std::optional<Duration>(Median);
  }
  double originCopies() const { return static_cast<double>(m_OriginPieces) / m_Options.m_Pieces; }
  double regionCrossings() const {
    return static_cast<double>(m_RegionCrossings) / m_Options.m_Pieces;
  }
  /// The time in which one copy passes the slower of the origin's link and an agent's link.
  Duration lowerBound() const {
    return std::max(m_Options.m_OriginPieceTime, m_Options.m_LinkPieceTime) * m_Options.m_Pieces;
  }

private:
  struct Agent {
    Agent(PieceExchange Exchange, Duration PieceTime)
        : m_Exchange(std::move(Exchange)), m_PieceTime(PieceTime) {}
    PieceExchange m_Exchange;
    Duration m_PieceTime;
    TimePoint m_UplinkFreeAt;
    TimePoint m_DownlinkFreeAt;
    bool m_IsDead = false;
    std::optional<Duration> m_CompletionTime;
    std::map<InstanceId, TimePoint> m_NextHoldingsAt;
  };
  struct Arrival {
    TimePoint m_At;
    std::size_t m_Agent;
    PieceFetch m_Fetch;
    PieceResult m_Result;
  };
  /// A piece in transit from the origin.
  struct OriginSend {
    std::size_t m_Agent;
    PieceFetch m_Fetch;
    /// The share of the piece that was not sent yet.
    double m_RemainingShare = 1;
  };

  PieceResult drawResult() {
    return chance(m_Random, m_CorruptShare) ? PieceResult::Bad : PieceResult::Good;
  }

  void advanceOrigin(TimePoint Now) {
    double Budget = toSeconds(Step) / toSeconds(m_Options.m_OriginPieceTime);
    while (Budget > 0 && !m_OriginSends.empty()) {
      double Least = 1;
      for (const OriginSend &Each : m_OriginSends)
        Least = std::min(Least, Each.m_RemainingShare);
      const double Part = std::min(Least, Budget / static_cast<double>(m_OriginSends.size()));
      Budget -= Part * static_cast<double>(m_OriginSends.size());
      for (OriginSend &Each : m_OriginSends)
        Each.m_RemainingShare -= Part;
      constexpr double Rounding = 1e-9;
      std::erase_if(m_OriginSends, [&](const OriginSend &Each) {
        if (Each.m_RemainingShare > Rounding)
          return false;
        receive(Each.m_Agent, Each.m_Fetch, Now, drawResult());
        return true;
      });
      if (Part <= Rounding)
        break;
    }
  }

  void receive(std::size_t To, const PieceFetch &Fetch, TimePoint SentAt, PieceResult Result) {
    Agent &Receiver = *m_Agents[To];
    Receiver.m_DownlinkFreeAt =
        std::max(Receiver.m_DownlinkFreeAt, SentAt - Receiver.m_PieceTime) + Receiver.m_PieceTime;
    m_InFlight.push_back({std::max(SentAt, Receiver.m_DownlinkFreeAt), To, Fetch, Result});
  }

  void deliver(TimePoint Now) {
    for (std::size_t I = 0; I < m_InFlight.size();) {
      if (m_InFlight[I].m_At > Now) {
        ++I;
        continue;
      }
      const Arrival Done = m_InFlight[I];
      m_InFlight[I] = m_InFlight.back();
      m_InFlight.pop_back();
      m_Agents[Done.m_Agent]->m_Exchange.onEnded(Done.m_Fetch, Done.m_Result, Now);
    }
  }

  void plan(std::size_t Index, TimePoint Now) {
    Agent &Self = *m_Agents[Index];
    for (const PiecePeer &Peer : Self.m_Exchange.followedPeers(Now)) {
      TimePoint &Next = Self.m_NextHoldingsAt[Peer.m_Id];
      const Agent &Other = *m_Agents[m_Index.at(Peer.m_Id)];
      if (Now < Next || Other.m_IsDead)
        continue;
      Next = Now + m_Options.m_HoldingsDelay;
      Self.m_Exchange.onHoldings(Peer.m_Id, Other.m_Exchange.held(), Now);
    }
    while (auto Fetch = Self.m_Exchange.next(Now))
      send(Index, *Fetch, Now);
  }

  void send(std::size_t To, const PieceFetch &Fetch, TimePoint Now) {
    if (Fetch.m_FromOrigin) {
      const bool IsDown = Now >= m_OriginDownFrom && Now < m_OriginDownUntil;
      if (IsDown || m_OriginSends.size() >= OriginConnections) {
        m_InFlight.push_back({Now + Step, To, Fetch, PieceResult::NotStarted});
        return;
      }
      ++m_OriginPieces;
      m_OriginSends.push_back({To, Fetch});
      return;
    }
    const std::size_t From = m_Index.at(Fetch.m_Peer);
    Agent &Source = *m_Agents[From];
    if (Source.m_IsDead) {
      constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
      m_InFlight.push_back({Now + ConnectTimeout, To, Fetch, PieceResult::NotStarted});
      return;
    }
    if (Source.m_UplinkFreeAt - Now > Source.m_PieceTime * MaxWaitingUploads) {
      constexpr Duration RoundTrip = std::chrono::milliseconds(10);
      m_InFlight.push_back({Now + RoundTrip, To, Fetch, PieceResult::Busy});
      return;
    }
    if (m_Peers[From].m_Region != m_Peers[To].m_Region)
      ++m_RegionCrossings;
    Source.m_UplinkFreeAt = std::max(Source.m_UplinkFreeAt, Now) + Source.m_PieceTime;
    receive(To, Fetch, Source.m_UplinkFreeAt,
            Source.m_Exchange.held().contains(Fetch.m_Piece) ? drawResult() : PieceResult::Bad);
  }

  TransferModelOptions m_Options;
  RandomGenerator m_Random;
  std::vector<PiecePeer> m_Peers;
  std::map<InstanceId, std::size_t> m_Index;
  std::vector<std::unique_ptr<Agent>> m_Agents;
  std::vector<Arrival> m_InFlight;
  std::vector<OriginSend> m_OriginSends;
  TimePoint m_OriginDownFrom;
  TimePoint m_OriginDownUntil;
  std::size_t m_OriginPieces = 0;
  std::size_t m_RegionCrossings = 0;
  double m_CorruptShare = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_TRANSFERMODEL_H
