#ifndef FESCUEGAUGE_METRICS_H
#define FESCUEGAUGE_METRICS_H

#include "Fescuegauge/Kernel.h"

#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// A label with a bound on its cardinality. Further values are counted as "other", so that names
/// chosen by callers cannot grow the metrics without limit.
struct MetricLabel {
  std::string m_Name;
  std::size_t m_MaxValues = 32;
};

struct MetricDescription {
  /// For example "fescuegauge_requests_total"; the unit is part of the name.
  std::string m_Name;
  std::string m_Help;
  std::vector<MetricLabel> m_Labels;
};

/// Values of a metric's labels, in the order of its description. Passing a different number of
/// values throws std::logic_error.
using LabelValues = std::initializer_list<std::string_view>;

class CounterMetric {
public:
  virtual ~CounterMetric() = default;
  virtual void add(LabelValues Values = {}, double Amount = 1) = 0;
};

class GaugeMetric {
public:
  virtual ~GaugeMetric() = default;
  virtual void set(LabelValues Values, double Value) = 0;
  virtual void add(LabelValues Values, double Amount) = 0;
};

class HistogramMetric {
public:
  virtual ~HistogramMetric() = default;
  virtual void observe(LabelValues Values, double Value) = 0;
};

/// Service "metrics": owns all metrics and serialises them in the Prometheus text format. The
/// evaluations and violations of every Invariant, dropped log lines, CPU time and memory of the
/// process are always included. Metrics may be used from any thread and live as long as the
/// service.
class MetricsService : public Service {
public:
  /// Maximum number of label combinations per metric; further ones are counted with the value
  /// "other" for each label.
  static constexpr std::size_t MaxSeries = 1000;
  /// Maximum size of a label value; longer ones are truncated.
  static constexpr std::size_t MaxLabelValueBytes = 64;

  MetricsService();
  ~MetricsService() override;

  void start(Kernel &) override {}
  boost::json::object dumpState() const override;

  /// These create a metric. A duplicate or invalid name throws std::logic_error.
  CounterMetric &counter(const MetricDescription &Description);
  GaugeMetric &gauge(const MetricDescription &Description);
  HistogramMetric &histogram(const MetricDescription &Description, std::vector<double> Bounds);

  /// Registers a callback that runs before each serialisation, for example to set gauges from the
  /// state of a service. It must not call serialize() or beforeCollection().
  void beforeCollection(std::function<void()> Update);

  /// The body for `/metrics`, of content type "text/plain; version=0.0.4".
  std::string serialize();

private:
  struct Registry;
  std::unique_ptr<Registry> m_Registry;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_METRICS_H
