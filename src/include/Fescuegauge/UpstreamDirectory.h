#ifndef FESCUEGAUGE_UPSTREAMDIRECTORY_H
#define FESCUEGAUGE_UPSTREAMDIRECTORY_H

#include "Fescuegauge/LoadBalancer.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// The upstreams listed by the platform, with allowance for outages of the list.
///
/// Meant for an outage of the list during which entries lapse although their upstreams are alive.
/// An entry that may have lapsed is kept for ReturnGrace after the first instance learnt of it,
/// since a live upstream is listed again by then. An entry that was removed while the list was
/// available is deleted at once, also if this instance could not read the list then.
///
/// After the list was restored from an older copy, the states known here of an upstream's start are
/// kept where they are newer than those of the copy, until the upstream writes its entry again.
class UpstreamDirectory {
public:
  /// Live upstreams are listed again within about two seconds of the return of the list, and an
  /// upstream that has left must be out of use less than 2 s after an instance in touch could know
  /// it.
  static constexpr Duration ReturnGrace = std::chrono::milliseconds(1700);
  /// Capacity for departures; the oldest ones are forgotten.
  static constexpr std::size_t MaxDepartures = 256;

  void put(const UpstreamRecord &Record);
  /// Handles an entry of a list that was restored from an older copy. Returns false, and changes
  /// nothing, if a newer state of the upstream is known.
  bool putRestored(const UpstreamRecord &Record);
  /// Removes an upstream that has left or is not usable.
  void remove(const InstanceId &Id);
  /// The entry has disappeared and may have lapsed in an outage; the first instance learnt of it at
  /// `LearntAt`.
  void removeLapsed(const InstanceId &Id, TimePoint LearntAt, TimePoint Now);
  /// Deletes entries whose grace period is over. Returns whether there was any.
  bool expire(TimePoint Now);
  /// When expire() is due next; nothing if no entry is in its grace period.
  std::optional<TimePoint> nextExpiry() const;

  std::vector<UpstreamRecord> records() const;

private:
  struct Entry {
    UpstreamRecord m_Record;
    /// Set if the entry is missing from the list: it is deleted at this time.
    std::optional<TimePoint> m_ExpiresAt;
  };

  /// Whether `Restored` is an older state of the upstream than `Known`.
  static bool isOlder(const UpstreamRecord &Restored, const UpstreamRecord &Known);

  std::map<InstanceId, Entry> m_Entries;
  /// Starts of upstreams that have left.
  std::deque<UpstreamStart> m_Departures;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMDIRECTORY_H
