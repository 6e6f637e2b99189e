#include "Fescuegauge/Figure.h"
#include "RateReplay.h"

#include <array>
#include <boost/program_options.hpp>
#include <iostream>
#include <sstream>

using namespace fescuegauge;

namespace {

namespace options = boost::program_options;

std::int64_t toMilliseconds(Duration Length) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Length).count();
}

std::string suffixOf(const RateReplayOptions &Given) {
  std::ostringstream Text;
  Text << ".n" << Given.m_Instances << ".rate" << Given.m_Rate.perSecond();
  if (Given.m_Cut)
    Text << ".cut";
  if (Given.m_Restarts > 0)
    Text << ".restarts" << Given.m_Restarts;
  return Text.str();
}

void report(const RateReplayOptions &Given, FigureReport &Out) {
  RateReplay Replay(Given);
  Replay.run();
  const std::string Suffix = suffixOf(Given);
  Out.add({"requests.named_rate.share_of_bound" + Suffix,
           Replay.worstShareOfBound(),
           "ratio",
           Figure::Limit::AtMost,
           1,
           {}});
  // The bound does not apply to requests of restarted instances and of instances that the named
  // rate did not reach, so this figure has no limit.
  Out.add({"requests.named_rate.share_of_bound_all" + Suffix,
           Replay.worstShareOfBoundOfAll(),
           "ratio",
           Figure::Limit::None,
           0,
           {}});
  Out.add({"requests.named_rate.use" + Suffix,
           Replay.leastUse(),
           "ratio",
           Figure::Limit::AtLeast,
           RateReplay::LeastUse,
           {}});
  Out.add({"requests.named_rate.use_of_others" + Suffix,
           Replay.useOfOthers(),
           "ratio",
           Figure::Limit::AtLeast,
           0.9,
           {}});
  if (const auto Time = Replay.timeToBound())
    Out.add({"requests.named_rate.time_to_bound" + Suffix,
             toSeconds(*Time),
             "s",
             Figure::Limit::None,
             0,
             {}});
}

/// Deployment sizes in use, with rates from far below to far above one request per second and
/// instance.
std::vector<RateReplayOptions> standardReplays() {
  std::vector<RateReplayOptions> Result;
  for (const auto [Instances, DataCentres, Upstreams] :
       {std::array<std::size_t, 3>{8, 3, 12}, {34, 4, 16}, {149, 6, 24}, {340, 10, 24}})
    for (const double Rate : {0.3, 1.3, 10.0}) {
      RateReplayOptions Replayed;
      Replayed.m_Instances = Instances;
      Replayed.m_DataCentres = DataCentres;
      Replayed.m_Upstreams = Upstreams;
      Replayed.m_Rate = RequestRate(Rate);
      Result.push_back(Replayed);
    }
  RateReplayOptions Fast;
  Fast.m_Upstreams = 4;
  Fast.m_Naming = 1;
  Fast.m_Rate = RequestRate(200);
  Result.push_back(Fast);
  return Result;
}

} // namespace

int main(int Count, char **Arguments) {
  RateReplayOptions Given;
  double Rate = Given.m_Rate.perSecond();
  std::int64_t DelayMs = toMilliseconds(Given.m_LongestDelay);
  std::int64_t TransitMs = toMilliseconds(Given.m_LongestTransit);
  options::options_description Known("Replays instances before upstreams that name a rate. Without "
                                     "options: the standard replays");
  Known.add_options()("help", "print this text")(
      "instances", options::value(&Given.m_Instances)->default_value(Given.m_Instances))(
      "data-centres", options::value(&Given.m_DataCentres)->default_value(Given.m_DataCentres))(
      "upstreams", options::value(&Given.m_Upstreams)->default_value(Given.m_Upstreams))(
      "naming", options::value(&Given.m_Naming)->default_value(Given.m_Naming),
      "upstreams that name a rate")("rate", options::value(&Rate)->default_value(Rate),
                                    "requests a second")(
      "load", options::value(&Given.m_Load)->default_value(Given.m_Load),
      "in multiples of what the other upstreams can serve")(
      "loss", options::value(&Given.m_Loss)->default_value(Given.m_Loss),
      "part of the datagrams between instances")(
      "delay-ms", options::value(&DelayMs)->default_value(DelayMs), "longest, of a datagram")(
      "transit-ms", options::value(&TransitMs)->default_value(TransitMs),
      "longest, of a request to an upstream")("cut", options::bool_switch(&Given.m_Cut),
                                              "cut the first data centre off for 4 s")(
      "restarts", options::value(&Given.m_Restarts)->default_value(0),
      "instances restarted")("stopping", options::value(&Given.m_Stopping)->default_value(0),
                             "instances of the first data centre that stop")(
      "idle", options::value(&Given.m_IdleShare)->default_value(0),
      "share of the instances with few callers")(
      "seed", options::value(&Given.m_Seed)->default_value(Given.m_Seed));
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "RatesBench: " << Error.what() << '\n';
    return 2;
  }
  if (Values.count("help") != 0) {
    std::cout << Known;
    return 0;
  }
  FigureReport Out(std::cout);
  if (Count == 1) {
    for (const RateReplayOptions &Replayed : standardReplays())
      report(Replayed, Out);
    return Out.exitCode();
  }
  Given.m_Rate = RequestRate(Rate);
  Given.m_LongestDelay = std::chrono::milliseconds(DelayMs);
  Given.m_LongestTransit = std::chrono::milliseconds(TransitMs);
  report(Given, Out);
  return Out.exitCode();
}
