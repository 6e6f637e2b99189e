#ifndef FESCUEGAUGE_FESCUEGAUGED_TARGETSSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_TARGETSSERVICE_H

#include "Fescuegauge/ChangeWriter.h"
#include "Fescuegauge/ConfigurationReplica.h"
#include "MembershipService.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace fescuegauge {

/// Service "targets": maintains the configuration of this process and writes operators' changes to
/// it. All functions except start(), notReadyReason() and dumpState() are called on the loop.
class TargetsService : public Service {
public:
  /// Limit on operators' changes being written concurrently. Further ones are refused.
  static constexpr std::size_t MaxConcurrentChanges = 32;

  TargetsService(const Settings &Configured, Incarnation OwnIncarnation, EventLoop &Loop);

  void start(Kernel &Services) override;
  std::string notReadyReason() const override;
  boost::json::object dumpState() const override;

  const Configuration &configuration() const { return m_Replica.configuration(); }
  bool isReady() const { return m_Replica.isReady(); }

  using ChangeCallback = std::function<void(const Configuration &)>;
  void addConfigurationCallback(ChangeCallback Callback) {
    m_ConfigurationCallbacks.push_back(std::move(Callback));
  }

  using OutcomeCallback = std::function<void(const ChangeOutcome &)>;
  void applyChange(ChangeRequest Request, OutcomeCallback Done);

  using LagCallback = std::function<void(const std::vector<DataCentreLag> &)>;
  /// Queries every entry instance for its change in force.
  void collectLag(LagCallback Done);

private:
  struct Writer {
    ChangeWriter m_ChangeWriter;
    OutcomeCallback m_Done;
  };
  struct LagCollection {
    LagCollector m_Collector;
    LagCallback m_Done;
  };
  using WriterPtr = std::shared_ptr<Writer>;

  void perform(const ConfigurationReplica::Actions &Actions);
  void perform(const WriterPtr &ActiveWriter, const ChangeWriter::Actions &Actions);
  void sendMessage(const ConfigurationReplica::Send &Message);
  ReplicaPeers replicaPeers() const;
  void tick();

  const Settings &m_Settings;
  EventLoop &m_Loop;
  ConfigurationReplica m_Replica;
  PlatformService *m_Platform = nullptr;
  MembershipService *m_Membership = nullptr;
  std::vector<ChangeCallback> m_ConfigurationCallbacks;
  std::list<WriterPtr> m_Writers;
  std::list<std::shared_ptr<LagCollection>> m_LagCollections;
  TimePoint m_NextPeerUpdateAt;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_TARGETSSERVICE_H
