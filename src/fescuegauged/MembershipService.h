#ifndef FESCUEGAUGE_FESCUEGAUGED_MEMBERSHIPSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_MEMBERSHIPSERVICE_H

#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Membership.h"
#include "Fescuegauge/Settings.h"
#include "PlatformService.h"
#include "RpcService.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace fescuegauge {

/// Service "membership": runs the membership policy and knows the addresses of all members. All
/// functions but start(), stop() and dumpState() are called on the loop.
class MembershipService : public Service {
public:
  /// The platform's list is read this often by each process that polls it.
  static constexpr Duration ListInterval = std::chrono::seconds(2);
  /// A process that knows nobody yet reads the list more often.
  static constexpr Duration FirstListInterval = std::chrono::milliseconds(250);
  /// Entry instances of a data centre that read the list; the others learn from them.
  static constexpr std::size_t ListReaders = 2;

  MembershipService(const Settings &Configured, Incarnation Started, EventLoop &Loop);

  void start(Kernel &Services) override;
  void beginDrain() override;
  boost::json::object dumpState() const override;

  const Membership &view() const { return *m_Membership; }
  /// Changes the record that this process publishes.
  void updateSelf(const std::function<void(InstanceRecord &)> &Change);
  /// Passed on with heartbeats, see Membership::setAttachment.
  void setAttachment(std::string Bytes) { m_Membership->setAttachment(std::move(Bytes)); }

  using ChangeHook = std::function<void(const InstanceRecord &)>;
  void onChanged(ChangeHook Hook) { m_ChangeHooks.push_back(std::move(Hook)); }
  using AttachmentHook = std::function<void(const InstanceId &, const std::string &)>;
  void onAttachment(AttachmentHook Hook) { m_AttachmentHook = std::move(Hook); }

  /// Sends a message to a member at its known address. `Done` may be empty.
  void send(const InstanceId &To, Topic Subject, std::string Payload,
            RpcNode::ControlResult Done = {}, Duration Timeout = std::chrono::seconds(1));

private:
  void carryOut(const Membership::Actions &Actions);
  void sendMessage(const Membership::Send &Message);
  void readList();
  bool isListReader() const;

  const Settings &m_Settings;
  EventLoop &m_Loop;
  InstanceRecord m_Record;
  std::unique_ptr<Membership> m_Membership;
  PlatformService *m_Platform = nullptr;
  RpcService *m_Rpc = nullptr;
  std::vector<ChangeHook> m_ChangeHooks;
  AttachmentHook m_AttachmentHook;
  /// Ids of addresses from the settings and the platform's list.
  std::map<Endpoint, InstanceId> m_IdsByAddress;
  TimePoint m_NextListRead;
  bool m_ListReadUnderWay = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_MEMBERSHIPSERVICE_H
