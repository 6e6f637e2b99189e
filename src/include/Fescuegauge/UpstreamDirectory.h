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
/// live. An entry that disappears within ReturnGrace of the list's return is kept until that time
/// is over, because living upstreams are back by then; one that is missing after it is gone.
class UpstreamDirectory {
public:
  /// Living upstreams are listed again within about two seconds of the list's return, which this
  /// process may notice up to about 1.2 s late. An upstream that has left must be passed over less
  /// than 3 s after the return.
  static constexpr Duration ReturnGrace = std::chrono::milliseconds(1700);

  /// The list cannot be read.
  void onListLost(TimePoint Now) { m_LostAt = Now; }
  /// The whole list as read.
  void replace(std::vector<UpstreamRecord> Listed, TimePoint Now);
  void put(const UpstreamRecord &Record);
  void remove(const InstanceId &Id, TimePoint Now);
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

  bool isInGrace(TimePoint Now) const { return m_ReturnedAt && Now < *m_ReturnedAt + ReturnGrace; }

  std::map<InstanceId, Entry> m_Entries;
  std::optional<TimePoint> m_LostAt;
  std::optional<TimePoint> m_ReturnedAt;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_UPSTREAMDIRECTORY_H
