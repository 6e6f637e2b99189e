#ifndef FESCUEGAUGE_WEIGHTSDEADLINES_H
#define FESCUEGAUGE_WEIGHTSDEADLINES_H

#include "Fescuegauge/RoutingPlan.h"
#include "Fescuegauge/StoreOutage.h"
#include "Fescuegauge/Units.h"

#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// A version of a model's weights that operators have announced, and for how long the bound on
/// older versions has counted.
struct AnnouncedWeights {
  ModelId m_Model;
  WeightsVersion m_Version;
  /// The greatest possible age.
  Duration m_Age{};
  /// By how much it may be younger.
  Duration m_Uncertainty{};

  bool operator==(const AnnouncedWeights &) const = default;
};

/// The time after which no execution may begin on a version older than m_Version.
struct WeightsBound {
  WeightsVersion m_Version;
  TimePoint m_At;

  bool operator==(const WeightsBound &) const = default;
};

/// What a message of another instance changed here.
struct AgeChange {
  bool m_IsNewVersion = false;
  /// The age that was known before; not set if it was unknown.
  std::optional<Duration> m_Before;
};

/// How the exclusion of versions older than one came about, for the log.
struct ExclusionDetails {
  bool m_IsAgeKnown = false;
  /// Time since the earliest possible announcement of the version or, if its age is not known,
  /// since this instance knows it.
  Duration m_SinceAnnouncement{};
  /// Time since the exclusion was due.
  Duration m_Late{};
  /// By how much an outage of the store deferred it.
  Duration m_DeferredByOutage{};
};

/// Decides when upstreams with older weights are excluded from requests.
///
/// Requests must not begin on older weights later than a bound after a version was announced. An
/// entry instance that was restarted, or that could not read the announcement when it was made,
/// does not know its age; it takes the greatest possible age, or the one that another instance
/// reports. An instance that saw the announcement is more accurate than one that only knows since
/// when it had not looked; between instances of the same accuracy the greater age applies. Only for
/// a version of unknown age that no upstream holds yet UnknownAgeAllowance is granted, because such
/// a version was announced recently. The bound is counted again after an outage of the platform's
/// store; see StoreOutage.
class WeightsDeadlines {
public:
  /// Older weights are excluded this long before the bound at the latest, because a request that is
  /// queued at an upstream begins later than it was sent. Where longer waits are observed,
  /// LoadBalancer excludes them sooner.
  static constexpr Duration Margin = std::chrono::milliseconds(1200);
  static constexpr Duration UnknownAgeAllowance = std::chrono::seconds(2);
  /// An instance saw an announcement if the uncertainty of its age is at most this. Instances that
  /// the store or a relay notifies know it to some milliseconds, those that poll to some seconds.
  static constexpr Duration MaxObserverUncertainty = std::chrono::seconds(1);
  /// Versions remembered of one model.
  static constexpr std::size_t MaxVersions = 8;

  explicit WeightsDeadlines(Duration Bound) : m_Bound(Bound) {}

  void setBound(Duration Bound) { m_Bound = Bound; }
  /// Sets when this instance started. Only other instances can know of outages before that. Their
  /// reports on a version that was announced earlier replace the time that came with the
  /// announcement.
  void setStart(TimePoint Start) { m_StartedAt = Start; }
  /// Handles a version that was found in the store. `NotBefore` is set if it is new: the version
  /// was announced after that time.
  void onAnnounced(const ModelId &Model, WeightsVersion Version, std::optional<TimePoint> NotBefore,
                   TimePoint Now);
  /// Handles what another entry instance knows. Returns what changed.
  std::optional<AgeChange> onPeerUpdate(const AnnouncedWeights &Reported, TimePoint Now);
  /// Sets the last outage of the platform's store that this instance saw.
  void onOutage(const StoreOutage &Outage) { m_Outage = Outage; }
  /// Records that an upstream holds this version.
  void onVersionHeld(const ModelId &Model, WeightsVersion Version);

  /// The minimum version that upstreams must hold, for each model.
  std::map<ModelId, WeightsVersion> minVersions(TimePoint Now) const;
  /// When minVersions() changes next.
  std::optional<TimePoint> nextChange(TimePoint Now) const;
  /// The version must be one that is remembered.
  ExclusionDetails exclusionDetails(const ModelId &Model, WeightsVersion Version,
                                    TimePoint Now) const;
  /// The bounds of all remembered versions, as far as this instance knows them.
  std::map<ModelId, std::vector<WeightsBound>> bounds() const;
  /// The announcements of which this instance is certain, for the other entry instances.
  std::vector<AnnouncedWeights> known(TimePoint Now) const;

private:
  struct Announcement {
    /// The earliest possible time of the announcement.
    TimePoint m_At;
    /// By how much it may have been made later.
    Duration m_Uncertainty{0};
    /// The true age is not known.
    bool m_IsAgeUnknown = false;
    /// There may have been an outage since that this instance could not observe.
    bool m_HasUnobservedOutages = false;
    bool m_IsHeld = false;

    bool isCertain() const { return !m_IsAgeUnknown && !m_HasUnobservedOutages; }
    bool wasObserved() const { return m_Uncertainty <= MaxObserverUncertainty; }
  };

  /// The time from which the bound is counted, if the age is known.
  TimePoint countedFrom(const Announcement &Of) const {
    return m_Outage.countedFrom(Of.m_At, m_Bound - Margin);
  }
  TimePoint enforcedAt(const Announcement &Of) const;
  static bool isMoreReliable(const Announcement &New, const Announcement &Known);
  /// Merges an announcement that is new or more reliable than the known one, and returns what
  /// changed.
  std::optional<AgeChange> mergeAnnouncement(const ModelId &Model, WeightsVersion Version,
                                             Announcement New, TimePoint Now);

  Duration m_Bound;
  TimePoint m_StartedAt;
  StoreOutage m_Outage;
  std::map<ModelId, std::map<WeightsVersion, Announcement>> m_Announced;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_WEIGHTSDEADLINES_H
