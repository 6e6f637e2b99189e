#ifndef FESCUEGAUGE_UPSTREAMDIRECTORY_H
#define FESCUEGAUGE_UPSTREAMDIRECTORY_H

#include "Fescuegauge/LoadBalancer.h"

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
class UpstreamDirectory {
public:
  /// Live upstreams are listed again within about two seconds of the return of the list, and an
  /// upstream that has left must be out of use less than 2 s after an instance in touch could know
  /// it.
  static constexpr Duration ReturnGrace = std::chrono::milliseconds(1700);

  void put(const UpstreamRecord &Record);
  /// Removes an upstream that has left or is not usable.
  void remove(const InstanceId &Id) { m_Entries.erase(Id); }
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

  std::map<InstanceId, Entry> m_Entries;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMDIRECTORY_H
