#include "Fescuegauge/Metrics.h"

#include "Fescuegauge/Invariant.h"
#include "LogLine.h"

#include <array>
#include <fstream>
#include <map>
#include <mutex>
#include <prometheus/check_names.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <set>
#include <sys/resource.h>
#include <unistd.h>

namespace fescuegauge {

namespace {

constexpr std::string_view Other = "other";

/// Limits the number of label values and of label combinations of one metric.
template <typename Series> class BoundedFamily {
public:
  BoundedFamily(prometheus::Family<Series> &Family, std::vector<MetricLabel> Labels,
                prometheus::Counter &Overflows)
      : m_Family(Family), m_Labels(std::move(Labels)), m_Known(m_Labels.size()),
        m_Overflows(Overflows) {}

  /// Returns the series for `Values` and creates it with `Creation` if needed.
  template <typename... Arguments> Series &at(LabelValues Values, const Arguments &...Creation) {
    if (Values.size() != m_Labels.size())
      throw std::logic_error("metric " + m_Family.GetName() + " has " +
                             std::to_string(m_Labels.size()) + " labels");
    std::lock_guard Lock(m_Mutex);
    std::vector<std::string> Key = boundedValues(Values);
    auto Found = m_Series.find(Key);
    if (Found == m_Series.end() && m_Series.size() >= MetricsService::MaxSeries) {
      m_Overflows.Increment();
      Key.assign(m_Labels.size(), std::string(Other));
      Found = m_Series.find(Key);
    }
    if (Found != m_Series.end())
      return *Found->second;
    prometheus::Labels Named;
    for (std::size_t I = 0; I < Key.size(); ++I)
      Named.emplace(m_Labels[I].m_Name, Key[I]);
    Series &Added = m_Family.Add(Named, Creation...);
    m_Series.emplace(std::move(Key), &Added);
    return Added;
  }

  std::size_t size() const {
    std::lock_guard Lock(m_Mutex);
    return m_Series.size();
  }

private:
  std::vector<std::string> boundedValues(LabelValues Values) {
    std::vector<std::string> Key;
    for (std::string_view Value : Values) {
      std::size_t Index = Key.size();
      std::string Text = validUtf8(Value, MetricsService::MaxLabelValueBytes);
      auto &Known = m_Known[Index];
      if (!Known.contains(Text)) {
        if (Known.size() < m_Labels[Index].m_MaxValues) {
          Known.insert(Text);
        } else {
          m_Overflows.Increment();
          Text = Other;
        }
      }
      Key.push_back(std::move(Text));
    }
    return Key;
  }

  prometheus::Family<Series> &m_Family;
  const std::vector<MetricLabel> m_Labels;
  mutable std::mutex m_Mutex;
  std::vector<std::set<std::string, std::less<>>> m_Known;
  std::map<std::vector<std::string>, Series *> m_Series;
  prometheus::Counter &m_Overflows;
};

class BoundedCounter : public CounterMetric {
public:
  template <typename... Arguments>
  explicit BoundedCounter(Arguments &&...Parts) : m_Family(std::forward<Arguments>(Parts)...) {}
  void add(LabelValues Values, double Amount) override { m_Family.at(Values).Increment(Amount); }
  BoundedFamily<prometheus::Counter> m_Family;
};

class BoundedGauge : public GaugeMetric {
public:
  template <typename... Arguments>
  explicit BoundedGauge(Arguments &&...Parts) : m_Family(std::forward<Arguments>(Parts)...) {}
  void set(LabelValues Values, double Value) override { m_Family.at(Values).Set(Value); }
  void add(LabelValues Values, double Amount) override { m_Family.at(Values).Increment(Amount); }
  BoundedFamily<prometheus::Gauge> m_Family;
};

class BoundedHistogram : public HistogramMetric {
public:
  template <typename... Arguments>
  explicit BoundedHistogram(std::vector<double> Bounds, Arguments &&...Parts)
      : m_Family(std::forward<Arguments>(Parts)...), m_Bounds(std::move(Bounds)) {}
  void observe(LabelValues Values, double Value) override {
    m_Family.at(Values, m_Bounds).Observe(Value);
  }
  BoundedFamily<prometheus::Histogram> m_Family;

private:
  const std::vector<double> m_Bounds;
};

prometheus::MetricFamily counterFamily(std::string Name, std::string Help) {
  return {std::move(Name), std::move(Help), prometheus::MetricType::Counter, {}};
}

/// Exports the counters of all invariants.
void appendInvariants(std::vector<prometheus::MetricFamily> &Out) {
  auto Evaluations =
      counterFamily("fescuegauge_invariant_evaluations_total", "Evaluations of each invariant.");
  auto Violations = counterFamily("fescuegauge_invariant_violations_total",
                                  "Violations of each invariant; any is a fault of the program.");
  for (const Invariant *Checked : Invariant::all()) {
    prometheus::ClientMetric Sample;
    Sample.label = {{"name", std::string(Checked->name())}};
    Sample.counter.value = static_cast<double>(Checked->evaluations());
    Evaluations.metric.push_back(Sample);
    Sample.counter.value = static_cast<double>(Checked->violations());
    Violations.metric.push_back(Sample);
  }
  Out.push_back(std::move(Evaluations));
  Out.push_back(std::move(Violations));
}

double secondsOf(const timeval &Time) {
  return static_cast<double>(Time.tv_sec) + static_cast<double>(Time.tv_usec) / 1e6;
}

void appendDroppedLogLines(std::vector<prometheus::MetricFamily> &Out) {
  auto Dropped = counterFamily("fescuegauge_log_lines_dropped_total",
                               "Log lines dropped because their reader was too slow.");
  Dropped.metric.emplace_back();
  Dropped.metric.back().counter.value = static_cast<double>(droppedLogLines());
  Out.push_back(std::move(Dropped));
}

/// CPU time and memory, under the standard names of Prometheus client libraries.
void appendProcess(std::vector<prometheus::MetricFamily> &Out) {
  rusage Usage{};
  if (getrusage(RUSAGE_SELF, &Usage) == 0) {
    auto Cpu = counterFamily("process_cpu_seconds_total", "Processor time used, in seconds.");
    Cpu.metric.emplace_back();
    Cpu.metric.back().counter.value = secondsOf(Usage.ru_utime) + secondsOf(Usage.ru_stime);
    Out.push_back(std::move(Cpu));
  }
  std::ifstream Statm("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  if (Statm >> Total >> Resident) {
    prometheus::MetricFamily Memory{"process_resident_memory_bytes",
                                    "Resident memory, in bytes.",
                                    prometheus::MetricType::Gauge,
                                    {}};
    Memory.metric.emplace_back();
    Memory.metric.back().gauge.value =
        static_cast<double>(Resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
    Out.push_back(std::move(Memory));
  }
}

} // namespace

struct MetricsService::Registry {
  prometheus::Registry m_Prometheus;
  prometheus::Family<prometheus::Counter> &m_Overflows =
      prometheus::BuildCounter()
          .Name("fescuegauge_metric_label_overflows_total")
          .Help("Values that were counted as \"other\" because a label had too many.")
          .Register(m_Prometheus);
  mutable std::mutex m_Mutex;
  std::set<std::string, std::less<>> m_Names;
  std::vector<std::unique_ptr<BoundedCounter>> m_Counters;
  std::vector<std::unique_ptr<BoundedGauge>> m_Gauges;
  std::vector<std::unique_ptr<BoundedHistogram>> m_Histograms;
  std::map<std::string, std::function<std::size_t()>> m_SeriesCounts;
  std::vector<std::function<void()>> m_Updates;
  /// Serialises collections, so that update callbacks never run concurrently.
  std::mutex m_CollectMutex;

  /// Creates a family and its bounded wrapper. `Build` is prometheus::BuildCounter and the like.
  template <typename Metric, typename Build, typename... Arguments>
  Metric &add(std::vector<std::unique_ptr<Metric>> &Owner, const MetricDescription &Description,
              Build Builder, Arguments &&...Extra) {
    for (const MetricLabel &Label : Description.m_Labels)
      if (!prometheus::CheckLabelName(Label.m_Name))
        throw std::logic_error("metric " + Description.m_Name + " has an invalid label name");
    std::lock_guard Lock(m_Mutex);
    if (!m_Names.insert(Description.m_Name).second)
      throw std::logic_error("metric " + Description.m_Name + " was created twice");
    auto &Family =
        Builder().Name(Description.m_Name).Help(Description.m_Help).Register(m_Prometheus);
    auto Added =
        std::make_unique<Metric>(std::forward<Arguments>(Extra)..., Family, Description.m_Labels,
                                 m_Overflows.Add({{"metric", Description.m_Name}}));
    m_SeriesCounts[Description.m_Name] = [Raw = Added.get()] { return Raw->m_Family.size(); };
    Owner.push_back(std::move(Added));
    return *Owner.back();
  }
};

MetricsService::MetricsService() : Service("metrics"), m_Registry(std::make_unique<Registry>()) {}
MetricsService::~MetricsService() = default;

boost::json::object MetricsService::dumpState() const {
  std::lock_guard Lock(m_Registry->m_Mutex);
  boost::json::object Series;
  for (const auto &[Name, Count] : m_Registry->m_SeriesCounts)
    Series[Name] = Count();
  return {{"series", std::move(Series)}};
}

CounterMetric &MetricsService::counter(const MetricDescription &Description) {
  return m_Registry->add(m_Registry->m_Counters, Description, prometheus::BuildCounter);
}

GaugeMetric &MetricsService::gauge(const MetricDescription &Description) {
  return m_Registry->add(m_Registry->m_Gauges, Description, prometheus::BuildGauge);
}

HistogramMetric &MetricsService::histogram(const MetricDescription &Description,
                                           std::vector<double> Bounds) {
  return m_Registry->add(m_Registry->m_Histograms, Description, prometheus::BuildHistogram,
                         std::move(Bounds));
}

void MetricsService::beforeCollection(std::function<void()> Update) {
  std::lock_guard Lock(m_Registry->m_CollectMutex);
  m_Registry->m_Updates.push_back(std::move(Update));
}

std::string MetricsService::serialize() {
  std::lock_guard Lock(m_Registry->m_CollectMutex);
  for (const auto &Update : m_Registry->m_Updates)
    Update();
  std::vector<prometheus::MetricFamily> Families = m_Registry->m_Prometheus.Collect();
  appendInvariants(Families);
  appendDroppedLogLines(Families);
  appendProcess(Families);
  return prometheus::TextSerializer().Serialize(Families);
}

} // namespace fescuegauge
