#include "PlatformService.h"

#include "Fescuegauge/Metrics.h"

#include <boost/leaf/result.hpp>

namespace fescuegauge {

namespace {

template <typename T> std::optional<T> toOptional(boost::leaf::result<T> Result) {
  if (Result)
    return std::move(Result.value());
  return std::nullopt;
}

} // namespace

PlatformService::PlatformService(const Settings &Configured, EventLoop &Loop)
    : Service("platform"), m_Loop(Loop),
      m_Table(makeHttpTable(Configured.m_Platform.m_Table, RequestTimeout)),
      m_Objects(makeHttpObjectStore(Configured.m_Platform.m_Objects, RequestTimeout)),
      m_Origin(makeHttpOrigin(Configured.m_Platform.m_Origin, OriginTimeout)),
      m_Instances(makeHttpInstanceList(Configured.m_Platform.m_InstanceList, RequestTimeout)) {}

void PlatformService::start(Kernel &Services) {
  auto &Metrics = Services.find<MetricsService>("metrics");
  GaugeMetric &TableRequests = Metrics.gauge({"fescuegauge_table_requests",
                                              "Reads and writes of the table since the start.",
                                              {{"operation", 2}}});
  GaugeMetric &OriginBytes =
      Metrics.gauge({"fescuegauge_origin_bytes",
                     "Bytes of weights requested from the origin since the start.",
                     {}});
  Metrics.beforeCollection([this, &TableRequests, &OriginBytes] {
    TableRequests.set({"read"}, static_cast<double>(m_TableReads));
    TableRequests.set({"write"}, static_cast<double>(m_TableWrites));
    OriginBytes.set({}, static_cast<double>(m_OriginBytes));
  });
}

boost::json::object PlatformService::dumpState() const {
  return {{"tableWrites", m_TableWrites.load()},
          {"tableReads", m_TableReads.load()},
          {"originBytes", m_OriginBytes.load()}};
}

template <typename Result>
void PlatformService::callBlocking(std::function<Result()> Work, std::function<void(Result)> Done) {
  auto Answer = std::make_shared<std::optional<Result>>();
  m_Loop.runBlocking([Work = std::move(Work), Answer] { *Answer = Work(); },
                     [Done = std::move(Done), Answer] { Done(std::move(**Answer)); });
}

void PlatformService::transact(Transaction Request,
                               std::function<void(const CommitResult &)> Done) {
  ++m_TableWrites;
  callBlocking<CommitResult>(
      [this, Request = std::move(Request)] { return m_Table->transact(Request); }, std::move(Done));
}

void PlatformService::read(std::string Key,
                           std::function<void(const std::optional<TableRow> &)> Done) {
  ++m_TableReads;
  callBlocking<std::optional<TableRow>>(
      [this, Key = std::move(Key)] { return toOptional(m_Table->read(Key)); }, std::move(Done));
}

void PlatformService::scan(std::string Prefix, std::string After, std::size_t Limit,
                           std::function<void(const Rows &)> Done) {
  ++m_TableReads;
  callBlocking<Rows>([this, Prefix = std::move(Prefix), After = std::move(After),
                      Limit] { return toOptional(m_Table->scan(Prefix, After, Limit)); },
                     std::move(Done));
}

void PlatformService::putObject(std::string Name, std::string Value,
                                std::function<void(bool)> Done) {
  callBlocking<bool>([this, Name = std::move(Name),
                      Value = std::move(Value)] { return bool(m_Objects->put(Name, Value)); },
                     std::move(Done));
}

void PlatformService::getObject(std::string Name, std::function<void(const Content &)> Done) {
  callBlocking<Content>([this, Name = std::move(Name)] { return toOptional(m_Objects->get(Name)); },
                        std::move(Done));
}

void PlatformService::readManifest(ServiceId Model, ModelVersionId Version,
                                   std::function<void(const Content &)> Done) {
  callBlocking<Content>(
      [this, Model = std::move(Model), Version = std::move(Version)] {
        return toOptional(m_Origin->manifest(Model, Version));
      },
      std::move(Done));
}

void PlatformService::readOriginChunk(Digest Chunk, Bytes Size, std::function<void(Content)> Done) {
  m_OriginBytes += Size.count();
  callBlocking<Content>([this, Chunk, Size] { return toOptional(m_Origin->chunk(Chunk, Size)); },
                        std::move(Done));
}

void PlatformService::listInstances(std::function<void(const Records &)> Done) {
  callBlocking<Records>([this] { return toOptional(m_Instances->list()); }, std::move(Done));
}

} // namespace fescuegauge
