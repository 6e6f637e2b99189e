#ifndef FESCUEGAUGE_RATESTATEMENTS_H
#define FESCUEGAUGE_RATESTATEMENTS_H

#include "Fescuegauge/Units.h"
#include "Fescuegauge/UpstreamStatements.h"

#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// The rate in one answer of an upstream, as reported to the other entry instances.
struct RateStatement {
  UpstreamStart m_Upstream;
  /// Not set if the answer named no rate.
  std::optional<RequestRate> m_Rate;
  /// Time since the answer arrived.
  Duration m_Age{0};

  bool operator==(const RateStatement &) const = default;
};

/// The rates that upstreams name in their answers: the number of requests per second that an
/// upstream accepts from all entry instances together, until an answer names none.
///
/// Answers may be reordered, since they come over several connections and to several instances. An
/// answer is made between the sending of its request and its arrival. So an answer without a rate
/// ends a rate only if its request was sent after the rate was last named, and of two rates in
/// answers whose order is unknown the lower one applies. Statements are valid for one start of an
/// upstream.
class RateStatements {
public:
  /// A rate that no answer confirms any more expires after this time. This only matters when the
  /// upstream gets no requests at all, or when every notice that its rate has ended was lost.
  static constexpr Duration Lifetime = std::chrono::minutes(2);
  /// The end of a rate is reported to the other instances for this long. With 340 instances, one
  /// round of messages to all of them takes 20 s.
  static constexpr Duration EndedRateLifetime = std::chrono::seconds(60);
  /// Capacity; the oldest statement is evicted when it is reached.
  static constexpr std::size_t MaxUpstreams = 1024;
  /// Limit on the statements in one message to another instance; the newest are chosen.
  static constexpr std::size_t MaxStatementsPerMessage = 64;

  enum class RateChange { None, Named, Changed, Ended };

  /// Handles the answer to a request that was sent to `Upstream` at `SentAt`. `Named` is the rate
  /// in the answer, if any.
  RateChange onAnswer(const UpstreamStart &Upstream, std::optional<RequestRate> Named,
                      TimePoint SentAt, TimePoint Now);
  /// Handles an answer that another instance received.
  RateChange onPeerUpdate(const RateStatement &Reported, TimePoint Now);

  /// The rate in force; nothing if the upstream names none.
  std::optional<RequestRate> rateOf(const UpstreamStart &Upstream, TimePoint Now) const;
  /// All rates in force.
  std::map<UpstreamStart, RequestRate> rates(TimePoint Now) const;
  bool empty() const { return m_Entries.empty(); }
  /// The statements from answers that this instance received itself. Statements of other instances
  /// are not forwarded: their age does not include the transmission time, so it would become too
  /// low from instance to instance.
  std::vector<RateStatement> updateForPeers(TimePoint Now) const;

private:
  struct Entry {
    std::optional<RequestRate> m_Rate;
    /// When the last answer that confirms the rate arrived, here or at another instance.
    TimePoint m_ConfirmedAt;
    /// When the first answer with this rate arrived.
    TimePoint m_FirstSeenAt;
    /// When the last answer that confirms the rate arrived at this instance.
    std::optional<TimePoint> m_OwnConfirmedAt;
  };

  static bool isExpired(const Entry &Statement, TimePoint Now);
  static RateChange changeBetween(std::optional<RequestRate> Before,
                                  std::optional<RequestRate> After);
  void evictIfFull(TimePoint Now);

  std::map<UpstreamStart, Entry> m_Entries;
};

/// Parses the rate in a header. Nothing if the text is not a finite number of zero or more.
std::optional<RequestRate> parseRate(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_RATESTATEMENTS_H
