#include "Fescuegauge/Metrics.h"

#include "Fescuegauge/Invariant.h"

#include <catch2/catch.hpp>
#include <sstream>
#include <thread>

using namespace fescuegauge;

namespace {

bool hasLine(const std::string &Text, const std::string &Line) {
  return ("\n" + Text).find("\n" + Line + "\n") != std::string::npos;
}

std::size_t countLines(const std::string &Text, std::string_view Start) {
  std::size_t Count = 0;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Count += Line.starts_with(Start) ? 1 : 0;
  return Count;
}

} // namespace

// Guards against values that are lost or exported under another name or label.
TEST_CASE("counters, gauges and histograms are exported with their labels") {
  MetricsService Metrics;
  CounterMetric &Requests =
      Metrics.counter({"requests_total", "Requests.", {{"service"}, {"run"}}});
  Requests.add({"asistente", "no"});
  Requests.add({"asistente", "no"}, 2);
  GaugeMetric &Queue = Metrics.gauge({"queue", "Queue.", {}});
  Queue.set({}, 5);
  Queue.add({}, -2);
  HistogramMetric &Times = Metrics.histogram({"seconds", "Times.", {{"class"}}}, {0.1, 1});
  Times.observe({"lookup"}, 0.5);
  GaugeMetric &Live = Metrics.gauge({"live", "Live.", {}});
  int Collections = 0;
  Metrics.beforeCollection([&] { Live.set({}, ++Collections); });
  std::string Text = Metrics.serialize();
  CHECK(hasLine(Text, R"(requests_total{run="no",service="asistente"} 3)"));
  CHECK(hasLine(Text, "queue 3"));
  CHECK(hasLine(Text, R"(seconds_bucket{class="lookup",le="0.1"} 0)"));
  CHECK(hasLine(Text, R"(seconds_bucket{class="lookup",le="1"} 1)"));
  CHECK(hasLine(Text, R"(seconds_sum{class="lookup"} 0.5)"));
  CHECK(hasLine(Text, "live 1"));
  CHECK(countLines(Text, "process_cpu_seconds_total ") == 1);
  CHECK(countLines(Text, "process_resident_memory_bytes ") == 1);
  CHECK(countLines(Text, "fescuegauge_log_lines_dropped_total ") == 1);
}

// Guards against memory use that grows with names chosen by callers.
TEST_CASE("label values beyond the bound are counted as other") {
  MetricsService Metrics;
  CounterMetric &Requests =
      Metrics.counter({"requests_total", "Requests.", {{"account", 3}, {"outcome", 2}}});
  for (int I = 0; I < 10000; ++I)
    Requests.add({"account-" + std::to_string(I), I % 2 == 0 ? "complete" : "refused"});
  std::string Text = Metrics.serialize();
  CHECK(hasLine(Text, R"(requests_total{account="account-2",outcome="complete"} 1)"));
  CHECK(hasLine(Text, R"(requests_total{account="other",outcome="refused"} 4999)"));
  CHECK(countLines(Text, "requests_total{") == 5);
  CHECK(hasLine(Text, R"(fescuegauge_metric_label_overflows_total{metric="requests_total"} 9997)"));
}

// Guards against labels that are bounded individually while their combinations are not.
TEST_CASE("label combinations are bounded too") {
  MetricsService Metrics;
  CounterMetric &Pairs = Metrics.counter({"pairs_total", "Pairs.", {{"a", 100}, {"b", 100}}});
  for (int A = 0; A < 100; ++A)
    for (int B = 0; B < 100; ++B)
      Pairs.add({std::to_string(A), std::to_string(B)});
  std::string Text = Metrics.serialize();
  CHECK(countLines(Text, "pairs_total{") == MetricsService::MaxSeries + 1);
  CHECK(hasLine(Text, R"(pairs_total{a="other",b="other"} 9000)"));
  CHECK(Metrics.dumpState().at("series").at("pairs_total").to_number<std::size_t>() ==
        MetricsService::MaxSeries + 1);
}

// Guards against a scrape that fails because of a caller's text.
TEST_CASE("label values are truncated, valid UTF-8 and escaped") {
  MetricsService Metrics;
  CounterMetric &Names = Metrics.counter({"names_total", "Names.", {{"name"}}});
  Names.add({"a\"b\n\xFF"});
  Names.add({std::string(MetricsService::MaxLabelValueBytes + 10, 'x')});
  std::string Text = Metrics.serialize();
  CHECK(hasLine(Text, "names_total{name=\"a\\\"b\\n\xEF\xBF\xBD\"} 1"));
  CHECK(hasLine(Text, "names_total{name=\"" + std::string(MetricsService::MaxLabelValueBytes, 'x') +
                          "\"} 1"));
}

// Guards against programming errors that would otherwise only show as missing metrics.
TEST_CASE("a duplicate or invalid metric and a wrong number of labels are logic errors") {
  MetricsService Metrics;
  CounterMetric &Requests = Metrics.counter({"requests_total", "Requests.", {{"service"}}});
  CHECK_THROWS_AS(Metrics.counter({"requests_total", "Again.", {}}), std::logic_error);
  CHECK_THROWS_AS(Metrics.gauge({"requests_total", "Again.", {}}), std::logic_error);
  CHECK_THROWS_AS(Metrics.gauge({"not a name", "Bad.", {}}), std::logic_error);
  CHECK_THROWS_AS(Metrics.gauge({"label", "Bad.", {{"a b"}}}), std::logic_error);
  CHECK_THROWS_AS(Requests.add({}), std::logic_error);
  CHECK_THROWS_AS(Requests.add({"a", "b"}), std::logic_error);
}

// Guards against a violated invariant that is not visible in the metrics.
TEST_CASE("evaluations and violations of invariants are exported") {
  static Invariant Rule("metrics_test.rule");
  Invariant::setReporter([](std::string_view, std::string_view) {});
  Rule.check(true);
  Rule.check(false);
  Invariant::setReporter({});
  std::string Text = MetricsService().serialize();
  CHECK(hasLine(Text, R"(fescuegauge_invariant_evaluations_total{name="metrics_test.rule"} 2)"));
  CHECK(hasLine(Text, R"(fescuegauge_invariant_violations_total{name="metrics_test.rule"} 1)"));
}

// Guards against lost updates when several threads create and use series.
TEST_CASE("metrics may be used from several threads") {
  constexpr int Threads = 4;
  constexpr int Rounds = 2000;
  MetricsService Metrics;
  CounterMetric &Requests = Metrics.counter({"requests_total", "Requests.", {{"service", 4}}});
  std::vector<std::thread> Users;
  for (int I = 0; I < Threads; ++I)
    Users.emplace_back([&Requests, &Metrics] {
      for (int J = 0; J < Rounds; ++J) {
        Requests.add({std::to_string(J % 4)});
        if (J % 500 == 0)
          Metrics.serialize();
      }
    });
  for (std::thread &User : Users)
    User.join();
  for (int I = 0; I < 4; ++I)
    CHECK(hasLine(Metrics.serialize(), "requests_total{service=\"" + std::to_string(I) + "\"} " +
                                           std::to_string(Threads * Rounds / 4)));
}
