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

/// Service "platform": asynchronous calls to the platform. Every call is made on the loop, and its
/// callback runs there exactly once.
class PlatformService : public Service {
public:
  /// Timeout of calls to the table, the object store and the instance list. A write without an
  /// answer is reported as Unknown.
  static constexpr Duration RequestTimeout = std::chrono::seconds(1);
  /// Longer than RequestTimeout, since a chunk may be queued on the origin's link.
  static constexpr Duration OriginTimeout = std::chrono::seconds(60);

  PlatformService(const Settings &Configured, EventLoop &Loop);

  void start(Kernel &Services) override;
  boost::json::object dumpState() const override;

  void transact(Transaction Request, std::function<void(const CommitResult &)> Done);
  /// Passes nothing to `Done` if the table did not answer.
  void read(std::string Key, std::function<void(const std::optional<TableRow> &)> Done);
  using Rows = std::optional<std::vector<TableRow>>;
  void scan(std::string Prefix, std::string After, std::size_t Limit,
            std::function<void(const Rows &)> Done);
  using Content = std::optional<std::string>;
  void putObject(std::string Name, std::string Value, std::function<void(bool)> Done);
  void getObject(std::string Name, std::function<void(const Content &)> Done);
  void readManifest(ServiceId Model, ModelVersionId Version,
                    std::function<void(const Content &)> Done);
  void readOriginChunk(Digest Chunk, Bytes Size, std::function<void(Content)> Done);
  using Records = std::optional<std::vector<InstanceRecord>>;
  void listInstances(std::function<void(const Records &)> Done);

private:
  template <typename Result>
  void callBlocking(std::function<Result()> Work, std::function<void(Result)> Done);

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
