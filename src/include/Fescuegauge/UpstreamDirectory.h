#ifndef FESCUEGAUGE_UPSTREAMDIRECTORY_H
#define FESCUEGAUGE_UPSTREAMDIRECTORY_H

#include "Fescuegauge/UpstreamBoard.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// The upstreams as the platform's list shows them, with allowance for outages of the list.
///
/// Load pattern answered: an outage of the list during which entries lapse although their upstreams
/// live. An entry that may have lapsed is kept for ReturnGrace after the first instance learnt of
/// it, because living upstreams are back by then. One that was removed while the list was served
/// is gone at once, also if this instance could not read the list then.
class UpstreamDirectory {
public:
  /// Living upstreams are listed again within about two seconds of the list's return, and an
  /// upstream that has left must be passed over less than 2 s after an instance in touch could know
  /// it.
  static constexpr Duration ReturnGrace = std::chrono::milliseconds(1700);

  void put(const UpstreamRecord &Record);
  /// The upstream has left, or is none to use.
  void remove(const InstanceId &Id) { m_Entries.erase(Id); }
  /// The entry has disappeared and may have lapsed in an outage; the first instance learnt of it at
  /// `LearntAt`.
  void removeLapsed(const InstanceId &Id, TimePoint LearntAt, TimePoint Now);
  /// Forgets entries whose grace time is over. Returns whether any was.
  bool expire(TimePoint Now);
  /// When expire() is due next; nothing if no entry waits.
  std::optional<TimePoint> nextExpiry() const;

  std::vector<UpstreamRecord> records() const;

private:
  struct Entry {
    UpstreamRecord m_Record;
    /// Missing from the list; forgotten at this time.
    std::optional<TimePoint> m_ForgetAt;
  };

  std::map<InstanceId, Entry> m_Entries;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMDIRECTORY_H
