#ifndef FESCUEGAUGE_PEERTABLE_H
#define FESCUEGAUGE_PEERTABLE_H

#include "Fescuegauge/RateDivision.h"

#include <map>
#include <vector>

namespace fescuegauge {

/// The other entry instances that this instance knows, from their datagrams or from an instance
/// list.
class PeerTable {
public:
  /// A peer from which no message came and which is not listed for this long is removed.
  static constexpr Duration Lifetime = std::chrono::seconds(60);
  /// A peer that missed this many expected messages is considered dead. With a datagram loss of one
  /// third, a live peer misses them by chance once in 240 times.
  static constexpr int MaxMissedMessages = 5;

  /// The longest intervals between two messages of a peer, in the local data centre and in others.
  struct MessageIntervals {
    Duration m_Local{0};
    Duration m_Remote{0};
  };

  explicit PeerTable(DataCentreId LocalDataCentre)
      : m_LocalDataCentre(std::move(LocalDataCentre)) {}

  /// Records that an instance list contains the peer.
  void onListed(const Endpoint &Address, const DataCentreId &DataCentre, TimePoint Now);
  /// Records a message of the peer with its demand and whether it is stopping.
  void onPeerMessage(const KnownInstance &Sender, bool IsStopping, TimePoint Now);
  void removeExpired(TimePoint Now);

  std::size_t size() const { return m_Peers.size(); }
  /// All peers that have not expired.
  std::vector<Endpoint> local() const { return select(true); }
  std::vector<Endpoint> remote() const { return select(false); }
  /// All peers that are not stopping. Those that are considered dead are marked.
  std::vector<KnownInstance> known(const MessageIntervals &MaxIntervals, TimePoint Now) const;
  /// Peers that are neither considered dead nor stopping.
  std::vector<KnownInstance> live(const MessageIntervals &MaxIntervals, TimePoint Now) const;

private:
  struct Peer {
    DataCentreId m_DataCentre;
    TimePoint m_LastSeenAt;
    std::optional<RequestRate> m_Demand;
    /// It accepts no new requests.
    bool m_IsStopping = false;
  };

  std::vector<Endpoint> select(bool Local) const;

  DataCentreId m_LocalDataCentre;
  std::map<Endpoint, Peer> m_Peers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_PEERTABLE_H
