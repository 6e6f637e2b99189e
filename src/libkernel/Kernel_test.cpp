#include "Fescuegauge/Kernel.h"
#include "Fescuegauge/TextPacking.h"

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

// Guards against unbounded memory, and against partial output, from malformed compressed text.
TEST_CASE("compressed text is decompressed completely and within its size limit, or refused",
          "[kernel]") {
  std::string Text;
  for (int I = 0; I < 20'000; ++I)
    Text += "route-" + std::to_string(I);
  const std::string Packed = packText(Text);
  CHECK(Packed.size() < Text.size() / 2);
  CHECK(unpackText(Packed, Text.size()) == Text);
  CHECK_FALSE(unpackText(Packed, Text.size() - 1));
  CHECK_FALSE(unpackText("", 100));
  CHECK_FALSE(unpackText("no packed text", 100));
  CHECK_FALSE(unpackText(Packed.substr(0, Packed.size() / 2), Text.size()));
}

// Guards against a service that is stopped while another that depends on it still runs.
TEST_CASE("services stop in the reverse of the start order") {
  std::vector<std::string> Events;
  Kernel Services;
  Services.add(std::make_unique<RecordingService>("a", Events));
  Services.add(std::make_unique<RecordingService>("b", Events));
  Services.start();
  Services.stop();
  CHECK(Events == std::vector<std::string>{"start a", "start b", "stop b", "stop a"});
}

// Guards against a missing or duplicate service that is detected only later, as a null pointer.
TEST_CASE("a missing or duplicate service is a logic error") {
  std::vector<std::string> Events;
  Kernel Services;
  Services.add(std::make_unique<RecordingService>("a", Events));
  CHECK_THROWS_AS(Services.add(std::make_unique<RecordingService>("a", Events)), std::logic_error);
  CHECK_THROWS_AS(Services.find<RecordingService>("b"), std::logic_error);
  Services.find<RecordingService>("a").m_Reason = "no table";
  CHECK(Services.notReadyReasons() == std::vector<std::string>{"a: no table"});
}
