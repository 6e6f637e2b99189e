#include "Fescuegauge/Kernel.h"

#include <catch2/catch.hpp>

using namespace fescuegauge;

namespace {

class RecordingService : public Service {
public:
  RecordingService(std::string Name, std::vector<std::string> &Events)
      : Service(std::move(Name)), m_Events(Events) {}

  void start(Kernel &) override { m_Events.push_back("start " + name()); }
  void stop() override { m_Events.push_back("stop " + name()); }
  std::string notReadyReason() const override { return m_Reason; }

  std::string m_Reason;

private:
  std::vector<std::string> &m_Events;
};

} // namespace

// Guards against a service that is stopped while another that depends on it still runs.
TEST_CASE("services stop in the reverse of the order of start") {
  std::vector<std::string> Events;
  Kernel Services;
  Services.add(std::make_unique<RecordingService>("a", Events));
  Services.add(std::make_unique<RecordingService>("b", Events));
  Services.start();
  Services.stop();
  CHECK(Events == std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

// Guards against a missing or doubled service that shows only later, as a null pointer.
TEST_CASE("a missing or doubled service is a logic error") {
  std::vector<std::string> Events;
  Kernel Services;
  Services.add(std::make_unique<RecordingService>("a", Events));
  CHECK_THROWS_AS(Services.add(std::make_unique<RecordingService>("a", Events)), std::logic_error);
  CHECK_THROWS_AS(Services.find<RecordingService>("b"), std::logic_error);
  Services.find<RecordingService>("a").m_Reason = "no table";
  CHECK(Services.notReadyReasons() == std::vector<std::string>{"a: no table"});
}
