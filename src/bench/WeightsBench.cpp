#include "Fescuegauge/Figure.h"
#include "RolloutDriver.h"

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

using namespace fescuegauge;
using namespace fescuegauge::driver;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Sizes[] = {10, 100, 300, 1000};
constexpr std::size_t ChunkCount = 128;
constexpr Bytes ChunkSize = 4_MiB;
constexpr std::uint64_t FaultSeeds = 300;
/// Runs are independent of each other, so the number of threads affects only the duration.
constexpr unsigned Threads = 4;

constexpr double OriginBound = 1.05;
constexpr double HardOriginBound = 4.0;
constexpr double TimeBound = 1.3;
constexpr double GrowthBound = 1.1;
constexpr double ControlBound = 3000;

/// Duration and origin traffic of one rollout to instances that hold no chunk of the version.
struct Outcome {
  double m_Seconds = 0;
  double m_Copies = 0;
  double m_ControlBytes = 0;
  bool m_Complete = false;
};

std::vector<Site> sitesOf(bool Four) { return Four ? fourSites() : threeSites(); }

/// Lower bound on the duration of any method in seconds: the largest of the four limits set by the
/// link rates.
double lowerBound(std::size_t Instances, Bytes Version) {
  const LinkRates Rates;
  const auto Size = static_cast<double>(Version.count());
  const auto Count = static_cast<double>(Instances);
  return std::max({Size / Rates.m_Origin.rate(), Size / Rates.m_Instance.rate(),
                   Size / Rates.m_Region.rate(),
                   Count * Size / (Count * Rates.m_Instance.rate() + Rates.m_Origin.rate())});
}

Outcome runPolicy(std::size_t Instances, bool Four, TransferPreference Preference) {
  DriverSettings Settings;
  Settings.m_Sites = sitesOf(Four);
  Settings.m_Instances = Instances;
  Settings.m_Chunks = ChunkCount;
  Settings.m_ChunkSize = ChunkSize;
  Settings.m_SharedChunks = false;
  Settings.m_Preference = Preference;
  Driver Run(Settings);
  Run.startServing(1);
  Run.run(20s);
  const TimePoint Issued = Run.queue().now();
  Run.issue(2);
  Outcome Result;
  Result.m_Complete = Run.runUntilConverged(2h) && Run.violations() == 0;
  Result.m_Seconds = toSeconds(Run.queue().now() - Issued);
  Result.m_Copies = Run.originCopies();
  Result.m_ControlBytes = Run.controlBytesPerSecond();
  return Result;
}

/// Baseline distribution methods on the same links. They only transfer chunks, without draining,
/// loading or faults.
class Baseline {
public:
  Baseline(std::size_t Instances, bool Four)
      : m_Network(m_Queue, LinkRates()), m_Sites(sitesOf(Four).size()), m_Nodes(Instances) {
    for (std::size_t I = 0; I < Instances; ++I) {
      m_Network.addNode(Four ? I % m_Sites / 2 : I % m_Sites);
      m_Nodes[I].m_IsHeld.assign(ChunkCount, false);
      m_Nodes[I].m_IsRequested.assign(ChunkCount, false);
    }
  }

  /// Every instance fetches every chunk from the origin.
  Outcome originOnly() {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      for (std::size_t Chunk = 0; Chunk < ChunkCount; ++Chunk)
        sendChunk(ChunkNetwork::OriginNode, I, Chunk, [] {});
    return finish();
  }

  /// A binary tree in each data centre, whose root receives chunks from the root of the first data
  /// centre.
  Outcome fixedTree() {
    for (std::size_t Chunk = 0; Chunk < ChunkCount; ++Chunk)
      sendChunk(ChunkNetwork::OriginNode, 0, Chunk, [this, Chunk] { forwardChunk(0, Chunk); });
    return finish();
  }

  /// Each instance requests random missing chunks from random peers of the whole deployment, and
  /// from the origin if none of four peers can provide the chunk.
  Outcome randomPeers() {
    for (std::size_t I = 0; I < m_Nodes.size(); ++I)
      for (std::size_t Slot = 0; Slot < FetchesInFlight; ++Slot)
        fetchRandom(I);
    return finish();
  }

private:
  static constexpr std::size_t FetchesInFlight = 4;
  static constexpr std::size_t Probes = 4;
  static constexpr std::size_t UploadsInProgress = 4;

  struct Node {
    std::vector<bool> m_IsHeld;
    std::vector<bool> m_IsRequested;
    std::size_t m_Missing = ChunkCount;
    std::size_t m_Uploads = 0;
  };

  void sendChunk(std::size_t From, std::size_t To, std::size_t Chunk,
                 std::function<void()> OnReceived) {
    m_OriginChunks += From == ChunkNetwork::OriginNode ? 1 : 0;
    m_Network.transfer(From, To, ChunkSize, [this, To, Chunk, OnReceived = std::move(OnReceived)] {
      m_Nodes[To].m_IsHeld[Chunk] = true;
      --m_Nodes[To].m_Missing;
      m_LastReceived = m_Queue.now();
      OnReceived();
    });
  }

  void forwardChunk(std::size_t From, std::size_t Chunk) {
    // Instance I is instance number I / m_Sites of its data centre.
    const std::size_t IndexInSite = From / m_Sites;
    auto Push = [&](std::size_t To) {
      if (To < m_Nodes.size())
        sendChunk(From, To, Chunk, [this, To, Chunk] { forwardChunk(To, Chunk); });
    };
    if (From == 0)
      for (std::size_t Root = 1; Root < m_Sites; ++Root)
        Push(Root);
    Push((2 * IndexInSite + 1) * m_Sites + From % m_Sites);
    Push((2 * IndexInSite + 2) * m_Sites + From % m_Sites);
  }

  void fetchRandom(std::size_t To) {
    std::vector<std::size_t> Wanted;
    for (std::size_t Chunk = 0; Chunk < ChunkCount; ++Chunk)
      if (!m_Nodes[To].m_IsRequested[Chunk])
        Wanted.push_back(Chunk);
    if (Wanted.empty())
      return;
    const std::size_t Chunk = Wanted[uniformBelow(m_Random, Wanted.size())];
    m_Nodes[To].m_IsRequested[Chunk] = true;
    for (std::size_t I = 0; I < Probes; ++I) {
      const std::size_t From = uniformBelow(m_Random, m_Nodes.size());
      if (!m_Nodes[From].m_IsHeld[Chunk] || m_Nodes[From].m_Uploads >= UploadsInProgress)
        continue;
      ++m_Nodes[From].m_Uploads;
      sendChunk(From, To, Chunk, [this, From, To] {
        --m_Nodes[From].m_Uploads;
        fetchRandom(To);
      });
      return;
    }
    sendChunk(ChunkNetwork::OriginNode, To, Chunk, [this, To] { fetchRandom(To); });
  }

  Outcome finish() {
    const TimePoint Begin = m_Queue.now();
    while (m_Queue.step()) {
    }
    Outcome Result;
    Result.m_Complete = std::all_of(m_Nodes.begin(), m_Nodes.end(),
                                    [](const Node &Entry) { return Entry.m_Missing == 0; });
    Result.m_Seconds = toSeconds(m_LastReceived - Begin);
    Result.m_Copies = static_cast<double>(m_OriginChunks) / static_cast<double>(ChunkCount);
    return Result;
  }

  EventQueue m_Queue;
  ChunkNetwork m_Network;
  RandomGenerator m_Random{1};
  std::size_t m_Sites;
  std::vector<Node> m_Nodes;
  std::uint64_t m_OriginChunks = 0;
  TimePoint m_LastReceived;
};

/// Runs all jobs on a pool of threads and waits for them.
void runAll(const std::vector<std::function<void()>> &Jobs) {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Workers;
  for (unsigned I = 0; I < Threads; ++I)
    Workers.emplace_back([&] {
      for (std::size_t Job = Next++; Job < Jobs.size(); Job = Next++)
        Jobs[Job]();
    });
  for (std::thread &Worker : Workers)
    Worker.join();
}

/// Outcomes of one method by deployment size, with three and with four data centres.
struct Series {
  Outcome m_Runs[std::size(Sizes)][2];

  double worst(std::size_t Size, double Outcome::*Field) const {
    return std::max(m_Runs[Size][0].*Field, m_Runs[Size][1].*Field);
  }
};

} // namespace

int main() {
  Series Bytes;
  Series Time;
  Series OriginOnly;
  Series FixedTree;
  Series RandomPeers;
  std::vector<double> FaultCopies(FaultSeeds, 0);
  std::vector<std::function<void()>> Jobs;
  // The longest runs start first, so that none of them runs alone at the end.
  for (std::size_t Size = std::size(Sizes); Size-- > 0;)
    for (int Four = 0; Four < 2; ++Four) {
      const std::size_t Count = Sizes[Size];
      Jobs.emplace_back([=, &Bytes] {
        Bytes.m_Runs[Size][Four] = runPolicy(Count, Four != 0, TransferPreference::OriginBytes);
      });
      Jobs.emplace_back([=, &Time] {
        Time.m_Runs[Size][Four] = runPolicy(Count, Four != 0, TransferPreference::Time);
      });
      Jobs.emplace_back([=, &OriginOnly] {
        OriginOnly.m_Runs[Size][Four] = Baseline(Count, Four != 0).originOnly();
      });
      Jobs.emplace_back([=, &FixedTree] {
        FixedTree.m_Runs[Size][Four] = Baseline(Count, Four != 0).fixedTree();
      });
      Jobs.emplace_back([=, &RandomPeers] {
        RandomPeers.m_Runs[Size][Four] = Baseline(Count, Four != 0).randomPeers();
      });
    }
  for (std::uint64_t Seed = 0; Seed < FaultSeeds; ++Seed)
    Jobs.emplace_back(
        [=, &FaultCopies] { FaultCopies[Seed] = runWithFaults({}, Seed + 1).m_WorstOriginCopies; });
  runAll(Jobs);

  FigureReport Report(std::cout);
  const fescuegauge::Bytes Version(ChunkCount * ChunkSize.count() - ChunkSize.count() / 2);
  double Control = 0;
  double Growth = 0;
  bool Complete = true;
  for (std::size_t Size = 0; Size < std::size(Sizes); ++Size) {
    const std::string Suffix = ".n" + std::to_string(Sizes[Size]);
    const double Lower = lowerBound(Sizes[Size], Version);
    const auto Copies = [&](const Series &Method) {
      return Method.worst(Size, &Outcome::m_Copies);
    };
    const auto Ratio = [&](const Series &Method) {
      return Method.worst(Size, &Outcome::m_Seconds) / Lower;
    };
    const std::vector<std::pair<std::string, double>> CopyBaselines = {
        {"origin_only", Copies(OriginOnly)},
        {"fixed_tree", Copies(FixedTree)},
        {"random_peers", Copies(RandomPeers)}};
    const std::vector<std::pair<std::string, double>> TimeBaselines = {
        {"origin_only", Ratio(OriginOnly)},
        {"fixed_tree", Ratio(FixedTree)},
        {"random_peers", Ratio(RandomPeers)}};
    Report.add({"weights.origin_copies.bytes" + Suffix, Copies(Bytes), "copies",
                Figure::Limit::AtMost, OriginBound, CopyBaselines});
    Report.add({"weights.origin_copies.time" + Suffix, Copies(Time), "copies",
                Figure::Limit::AtMost, HardOriginBound, CopyBaselines});
    Report.add({"weights.time_over_bound.bytes" + Suffix, Ratio(Bytes), "ratio",
                Figure::Limit::None, 0, TimeBaselines});
    Report.add({"weights.time_over_bound.time" + Suffix, Ratio(Time), "ratio",
                Figure::Limit::AtMost, TimeBound, TimeBaselines});
    for (const Series *Method : {&Bytes, &Time}) {
      Control = std::max(Control, Method->worst(Size, &Outcome::m_ControlBytes));
      Complete =
          Complete && Method->m_Runs[Size][0].m_Complete && Method->m_Runs[Size][1].m_Complete;
    }
  }
  for (int Four = 0; Four < 2; ++Four)
    Growth = std::max(Growth, Time.m_Runs[3][Four].m_Seconds / Time.m_Runs[1][Four].m_Seconds);
  Report.add(
      {"weights.growth_100_to_1000", Growth, "ratio", Figure::Limit::AtMost, GrowthBound, {}});
  Report.add({"weights.control_bytes_per_node_s",
              Control,
              "bytes/s",
              Figure::Limit::AtMost,
              ControlBound,
              {}});
  Report.add({"weights.worst_origin_copies_under_faults",
              *std::max_element(FaultCopies.begin(), FaultCopies.end()),
              "copies",
              Figure::Limit::AtMost,
              HardOriginBound,
              {}});
  if (!Complete) {
    std::cerr << "a rollout did not complete or violated an invariant\n";
    return 1;
  }
  return Report.exitCode();
}
