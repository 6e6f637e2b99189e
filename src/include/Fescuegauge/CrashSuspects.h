#ifndef FESCUEGAUGE_CRASHSUSPECTS_H
#define FESCUEGAUGE_CRASHSUSPECTS_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <chrono>
#include <compare>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace fescuegauge {

/// What identifies a request that may crash upstreams, whoever repeats it.
struct SuspectKey {
  ClientAccountId m_Account;
  Digest m_BodyDigest;

  auto operator<=>(const SuspectKey &) const = default;
};

/// One fact about a request, exchanged between the entry instances of a data centre. Facts can
/// arrive in any order and more than once.
struct SuspectDelta {
  SuspectKey m_Key;
  /// The upstream that was lost while it ran the request.
  InstanceId m_Upstream;
  /// Distinguishes losses of the same upstream.
  Incarnation m_Incarnation;
  /// The request has completed elsewhere, so this loss was not its doing.
  bool m_Cleared = false;
  /// How long ago the loss was noticed.
  Duration m_Age{};

  bool operator==(const SuspectDelta &) const = default;
};

/// Recognises requests that crash every upstream that runs them.
///
/// Each loss of an upstream marks the requests that ran on it. If some of them were marked before,
/// only they are marked again, because they explain the loss. A request that completes loses its
/// marks. A request is to blame once it has marks from two losses and no other request has marks
/// from all of the same ones; while another has, both may be tried again, and the lifecycle keeps
/// suspects on different upstreams, so that the next loss or completion tells them apart.
class CrashSuspects {
public:
  /// Upstreams, or incarnations of one, that must be lost to a request before it is refused.
  static constexpr std::size_t LossesToBlame = 2;
  /// Time for which a loss counts and a blamed request is refused.
  static constexpr Duration Lifetime = std::chrono::minutes(10);
  /// Requests of one account; its own oldest is forgotten first.
  static constexpr std::size_t MaxPerAccount = 32;
  /// Accounts with suspects; the one without a recent loss is forgotten first.
  static constexpr std::size_t MaxAccounts = 256;
  /// Losses remembered of one request.
  static constexpr std::size_t MaxLosses = 4;
  /// Deltas waiting to be sent; the oldest is dropped first.
  static constexpr std::size_t MaxOutgoing = 1024;
  /// Deltas in one message.
  static constexpr std::size_t MaxDeltasPerMessage = 64;

  /// `Running` holds the requests of this entry that ran on an upstream that crashed.
  void upstreamLost(const InstanceId &Upstream, Incarnation Lost,
                    std::span<const SuspectKey> Running, TimePoint Now);
  /// The request was answered completely.
  void completed(const SuspectKey &Key, TimePoint Now);
  /// True if the request must be refused.
  bool isBlamed(const SuspectKey &Key, TimePoint Now) const;
  /// True if the request has at least one mark; it should not share an upstream with another such.
  bool isSuspect(const SuspectKey &Key, TimePoint Now) const;

  /// Facts for the other entry instances of the data centre, at most MaxDeltasPerMessage, each
  /// returned once. A process that starts asks a peer for everything().
  std::vector<SuspectDelta> takeDeltas(TimePoint Now);
  std::vector<SuspectDelta> everything(TimePoint Now) const;
  void merge(std::span<const SuspectDelta> Deltas, TimePoint Now);

  void onTimer(TimePoint Now);
  std::size_t size() const;
  std::size_t sizeOf(const ClientAccountId &Account) const;

private:
  struct Loss {
    TimePoint m_At;
    bool m_Cleared = false;
  };
  using LossId = std::pair<InstanceId, Incarnation>;
  using Losses = std::map<LossId, Loss>;
  using Part = std::map<Digest, Losses>;

  const Losses *find(const SuspectKey &Key) const;
  std::vector<LossId> marks(const Losses &Of, TimePoint Now) const;
  bool add(const SuspectDelta &Delta, TimePoint Now);
  static TimePoint lastLoss(const Losses &Of);
  void makeRoom(const SuspectKey &For);
  void queue(SuspectDelta Delta, TimePoint Now);

  std::map<ClientAccountId, Part> m_Parts;
  /// With the time of the loss in place of its age.
  std::vector<std::pair<TimePoint, SuspectDelta>> m_Outgoing;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CRASHSUSPECTS_H
