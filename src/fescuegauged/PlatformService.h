#ifndef FESCUEGAUGE_FESCUEGAUGED_PLATFORMSERVICE_H
#define FESCUEGAUGE_FESCUEGAUGED_PLATFORMSERVICE_H

#include "Fescuegauge/EventLoop.h"
#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/Platform.h"
#include "Fescuegauge/Settings.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// Service "platform": calls to the platform that do not block the loop. Every function is called
/// on the loop and reports its result there, exactly once.
class PlatformService : public Service {
public:
  /// The platform gets this long for an answer; a lost answer to a write is reported as Unknown.
  static constexpr Duration Timeout = std::chrono::seconds(1);
  /// A chunk may wait in the queue of the origin's link.
  static constexpr Duration OriginTimeout = std::chrono::seconds(60);

  PlatformService(const Settings &Configured, EventLoop &Loop);

  void start(Kernel &Services) override;
  boost::json::object dumpState() const override;

  void transact(Transaction Request, std::function<void(const CommitResult &)> Done);
  /// Nothing when the table did not answer.
  void read(std::string Key, std::function<void(const std::optional<TableRow> &)> Done);
  using Rows = std::optional<std::vector<TableRow>>;
  void scan(std::string Prefix, std::string After, std::size_t Limit,
            std::function<void(const Rows &)> Done);
  using Content = std::optional<std::string>;
  void putObject(std::string Name, std::string Value, std::function<void(bool)> Done);
  void getObject(std::string Name, std::function<void(const Content &)> Done);
  void manifest(ServiceId Model, ModelVersionId Version, std::function<void(const Content &)> Done);
  void originChunk(Digest Chunk, Bytes Size, std::function<void(Content)> Done);
  using Records = std::optional<std::vector<InstanceRecord>>;
  void instances(std::function<void(const Records &)> Done);

private:
  template <typename Result>
  void call(std::function<Result()> Work, std::function<void(Result)> Done);

  EventLoop &m_Loop;
  std::unique_ptr<Table> m_Table;
  std::unique_ptr<ObjectStore> m_Objects;
  std::unique_ptr<Origin> m_Origin;
  std::unique_ptr<InstanceList> m_Instances;
  std::atomic<std::uint64_t> m_TableWrites{0};
  std::atomic<std::uint64_t> m_TableReads{0};
  std::atomic<std::uint64_t> m_OriginBytes{0};
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FESCUEGAUGED_PLATFORMSERVICE_H
