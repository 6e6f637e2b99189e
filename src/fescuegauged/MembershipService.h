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

/// Service "membership": runs the membership protocol and sends messages to members. All functions
/// except start(), beginDrain(), stop() and dumpState() are called on the loop.
class MembershipService : public Service {
public:
  /// Interval at which each process that polls the platform's instance list reads it.
  static constexpr Duration ListReadInterval = std::chrono::seconds(2);
  /// Shorter interval for a process that knows no members yet.
  static constexpr Duration InitialListReadInterval = std::chrono::milliseconds(250);
  /// Number of entry instances of a data centre that poll the list. The other ones receive its
  /// contents from these by membership messages.
  static constexpr std::size_t ListReaderCount = 2;

  MembershipService(const Settings &Configured, Incarnation OwnIncarnation, EventLoop &Loop);

  void start(Kernel &Services) override;
  void beginDrain() override;
  boost::json::object dumpState() const override;

  const Membership &view() const { return *m_Membership; }
  /// Applies `Change` to the record that this process publishes.
  void updateSelf(const std::function<void(InstanceRecord &)> &Change);
  /// Sets the data to attach to heartbeats, see Membership::setAttachment().
  void setAttachment(std::string Bytes) { m_Membership->setAttachment(std::move(Bytes)); }

  using ChangeCallback = std::function<void(const InstanceRecord &)>;
  void addChangeCallback(ChangeCallback Callback) {
    m_ChangeCallbacks.push_back(std::move(Callback));
  }
  using AttachmentCallback = std::function<void(const InstanceId &, const std::string &)>;
  void setAttachmentCallback(AttachmentCallback Callback) {
    m_AttachmentCallback = std::move(Callback);
  }

  /// Sends a message to a member at the address in its record. `Done` may be empty.
  void send(const InstanceId &To, Topic Subject, std::string Payload,
            RpcNode::ResultCallback Done = {}, Duration Timeout = std::chrono::seconds(1));

private:
  void perform(const Membership::Actions &Actions);
  void sendMessage(const Membership::Send &Message);
  void readList();
  bool isListReader() const;

  const Settings &m_Settings;
  EventLoop &m_Loop;
  InstanceRecord m_OwnRecord;
  std::unique_ptr<Membership> m_Membership;
  PlatformService *m_Platform = nullptr;
  RpcService *m_Rpc = nullptr;
  std::vector<ChangeCallback> m_ChangeCallbacks;
  AttachmentCallback m_AttachmentCallback;
  /// Ids by address, from the settings and the platform's instance list.
  std::map<Endpoint, InstanceId> m_IdsByAddress;
  TimePoint m_NextListReadAt;
  bool m_IsListReadPending = false;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_MEMBERSHIPSERVICE_H
