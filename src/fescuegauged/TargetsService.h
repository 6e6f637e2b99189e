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

/// Service "targets": the configuration of this process, and operators' changes to it. All
/// functions but start() and dumpState() are called on the loop.
class TargetsService : public Service {
public:
  /// Operators' changes that are written at the same time; a further one is refused.
  static constexpr std::size_t MaxWriters = 32;

  TargetsService(const Settings &Configured, Incarnation Started, EventLoop &Loop);

  void start(Kernel &Services) override;
  std::string notReadyReason() const override;
  boost::json::object dumpState() const override;

  const Configuration &configuration() const { return m_Replica.configuration(); }
  bool isReady() const { return m_Replica.isReady(); }

  using ChangeHook = std::function<void(const Configuration &)>;
  void onInForce(ChangeHook Hook) { m_Hooks.push_back(std::move(Hook)); }

  using OutcomeHandler = std::function<void(const ChangeOutcome &)>;
  void apply(ChangeRequest Request, OutcomeHandler Done);

  using LagHandler = std::function<void(const std::vector<DataCentreLag> &)>;
  /// Asks every entry instance how far its configuration is.
  void collectLag(LagHandler Done);

private:
  struct Writer {
    ChangeWriter m_Policy;
    OutcomeHandler m_Done;
  };
  struct Collection {
    LagCollector m_Policy;
    LagHandler m_Done;
  };
  using WriterPtr = std::shared_ptr<Writer>;

  void carryOut(const ConfigurationReplica::Actions &Actions);
  void carryOut(const WriterPtr &Target, const ChangeWriter::Actions &Actions);
  void sendMessage(const ConfigurationReplica::Send &Message);
  ReplicaPeers peers() const;
  void tick();

  const Settings &m_Settings;
  EventLoop &m_Loop;
  ConfigurationReplica m_Replica;
  PlatformService *m_Platform = nullptr;
  MembershipService *m_Membership = nullptr;
  std::vector<ChangeHook> m_Hooks;
  std::list<WriterPtr> m_Writers;
  std::list<std::shared_ptr<Collection>> m_Collections;
  TimePoint m_NextPeers;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_TARGETSSERVICE_H
