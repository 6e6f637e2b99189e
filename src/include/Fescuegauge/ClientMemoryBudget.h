#ifndef FESCUEGAUGE_CLIENTMEMORYBUDGET_H
#define FESCUEGAUGE_CLIENTMEMORYBUDGET_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/Units.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace fescuegauge {

/// Limits on what clients can make an entry instance hold.
struct ClientMemoryLimits {
  /// Memory and descriptors of a process whose settings state none.
  static constexpr std::size_t DefaultMemoryBytes = 256 << 20;
  static constexpr std::size_t DefaultDescriptors = 4096;
  /// Descriptors for files, the store, peers, and the servers for other processes.
  static constexpr std::size_t OtherDescriptors = 264;

  /// All that is held for clients.
  std::size_t m_Bytes = 0;
  /// Parts of m_Bytes that large requests cannot use: for small requests and responses, and for the
  /// bytes that the kernel holds for connections that are not read.
  std::size_t m_SmallBytes = 0;
  std::size_t m_UnreadBytes = 0;
  /// Part of m_SmallBytes that no request can use, so that a request which may still be refused
  /// never takes the room of a response in progress.
  std::size_t m_ResponseBytes = 0;
  std::size_t m_Connections = 0;

  /// Limits for a process with these limits of its own; 0 if unknown. Half of the memory is left
  /// for the process itself, its tables, and the overhead of the allocator. A third of the
  /// descriptors is left for connections to upstreams.
  static ClientMemoryLimits forProcess(std::size_t MemoryBytes, std::size_t Descriptors);

  /// Maximum size of one request.
  std::size_t maxRequestBytes() const { return m_Bytes - m_SmallBytes - m_UnreadBytes; }
};

/// What a held part of a response is.
enum class ResponsePart {
  /// An event that has not ended. Without room, its stream is cut.
  Event,
  /// A response that is held back until it is whole. Without room, it is sent on at once, or
  /// another failure replaces it.
  Whole,
};

using ClientConnectionNumber = StrongNumber<struct ClientConnectionNumberTag>;

/// Accounts for the memory that client connections use, and decides which of them are read, wait or
/// are closed. Has no I/O and no clock.
///
/// A request of up to SmallRequestBytes is charged with what it holds. A larger one reserves its
/// maximum size before it is read further, in the order of arrival, so that requests that are read
/// at the same time cannot block each other. Without room, the connection is not read. The room
/// comes from requests that end, and from those that are being read without progress, the largest
/// first. A connection that has waited for MaxWait is refused.
class ClientMemoryBudget {
public:
  static constexpr std::size_t SmallRequestBytes = 96 << 10;
  /// A connection without a request: its session and the frames of its coroutines.
  static constexpr std::size_t ConnectionBytes = 8 << 10;
  /// Bytes that the kernel may hold for a connection that is not read.
  static constexpr std::size_t UnreadBytes = 64 << 10;
  /// Clients abandon a request that has not been read after 1 s.
  static constexpr Duration MaxWait = std::chrono::milliseconds(800);
  /// While other connections wait, a request that is being read must bring MinProgressBytes in each
  /// period of this length.
  static constexpr Duration StallTime = std::chrono::milliseconds(500);
  static constexpr std::size_t MinProgressBytes = 16 << 10;

  enum class Admission { Granted, Wait, Refused };

  enum class Action {
    /// A waiting connection can be read.
    Resume,
    /// A waiting connection got no room in time.
    Refuse,
    /// A request that is being read without progress gives up its room.
    EndStalled,
    /// The connection is closed because there are too many.
    Close,
  };

  struct Decision {
    ClientConnectionNumber m_Connection;
    Action m_Action;
  };

  explicit ClientMemoryBudget(ClientMemoryLimits Limits) : m_Limits(Limits) {}

  const ClientMemoryLimits &limits() const { return m_Limits; }

  ClientConnectionNumber add(TimePoint Now);
  void remove(ClientConnectionNumber Number);
  /// Selects a connection to close if there are too many: one without a request, the longest idle
  /// first, then a request without progress, else the newest connection.
  std::optional<Decision> takeExcess(TimePoint Now);

  /// The connection waits for its next request and holds nothing.
  void onIdle(ClientConnectionNumber Number, TimePoint Now);
  /// A request arrives.
  void onReading(ClientConnectionNumber Number, TimePoint Now);
  void onBytes(ClientConnectionNumber Number, std::size_t Count, TimePoint Now);
  /// Asks for room before more is read. `Bytes` is what the request would hold then, and `MaxBytes`
  /// what it can hold at its end. On Wait, the connection must not be read until a decision.
  Admission hold(ClientConnectionNumber Number, std::size_t Bytes, std::size_t MaxBytes,
                 TimePoint Now);
  /// The request has been read, and holds `Bytes` until onIdle() or remove().
  void onServing(ClientConnectionNumber Number, std::size_t Bytes);
  /// The connection is refused and holds nothing any more.
  void onClosing(ClientConnectionNumber Number);

  /// Changes the bytes held of responses. Returns false, and keeps `Before`, if there is no room
  /// beyond the part that is left for responses. Half of that part is left for events.
  bool resizeResponse(ResponsePart Part, std::size_t Before, std::size_t After);

  /// Decisions that are due.
  std::vector<Decision> takeDecisions(TimePoint Now);

  bool hasWaiting() const { return !m_Waiting.empty(); }
  std::size_t connections() const { return m_Connections.size(); }
  std::size_t waiting() const { return m_Waiting.size(); }
  std::size_t smallBytes() const { return m_Small; }
  std::size_t largeBytes() const { return m_Large; }
  std::size_t responseBytes() const { return m_Events + m_WholeResponses; }

private:
  enum class State { Idle, Reading, Waiting, Serving, Closing };

  struct Connection {
    State m_State = State::Idle;
    /// Since when the connection is idle or waits, or when MinProgressBytes had last arrived.
    TimePoint m_Since;
    std::size_t m_BytesSince = 0;
    std::size_t m_Held = 0;
    /// Requested size while waiting.
    std::size_t m_Wanted = 0;
    bool m_IsExcess = false;
  };

  static bool isLarge(std::size_t Bytes) { return Bytes > SmallRequestBytes; }
  bool fits(const Connection &Changed, std::size_t Bytes) const;
  /// Bytes of responses with what is left for events.
  static std::size_t withEventRoom(std::size_t WholeResponses, std::size_t Events,
                                   const ClientMemoryLimits &Limits) {
    return WholeResponses + std::max(Events, Limits.m_ResponseBytes / 2);
  }
  void charge(Connection &Changed, std::size_t Bytes);
  bool isStalled(const Connection &Each, TimePoint Now) const;
  void stopWaiting(ClientConnectionNumber Number);
  void grantWaiting(TimePoint Now, std::vector<Decision> &Result);
  std::optional<ClientConnectionNumber> largestStalled(TimePoint Now) const;

  ClientMemoryLimits m_Limits;
  std::map<ClientConnectionNumber, Connection> m_Connections;
  std::deque<ClientConnectionNumber> m_Waiting;
  ClientConnectionNumber m_LastNumber;
  /// Connections that takeExcess() selected and that are still open.
  std::size_t m_Excess = 0;
  std::size_t m_Small = 0;
  std::size_t m_Large = 0;
  std::size_t m_Events = 0;
  std::size_t m_WholeResponses = 0;
};

/// Time limit of a request body: a pause, and a minimum rate. Has no I/O and no clock.
class BodyProgress {
public:
  /// Maximum time without bytes.
  static constexpr Duration MaxPause = std::chrono::seconds(5);
  /// A body may take this time, and one second for each MinBytesPerSecond. Deadlines of clients are
  /// up to 6 s.
  static constexpr Duration Grace = std::chrono::seconds(6);
  static constexpr std::size_t MinBytesPerSecond = 1 << 20;
  /// Maximum time for any body.
  static constexpr Duration MaxTime = std::chrono::seconds(10);

  explicit BodyProgress(TimePoint Start) : m_Start(Start), m_LastBytesAt(Start) {}

  void onBytes(std::size_t Count, TimePoint Now) {
    m_Bytes += Count;
    m_LastBytesAt = Now;
  }
  /// The body was not read for this time.
  void onNotRead(Duration Length) {
    m_Start += Length;
    m_LastBytesAt += Length;
  }
  TimePoint deadline() const;

private:
  TimePoint m_Start;
  TimePoint m_LastBytesAt;
  std::size_t m_Bytes = 0;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_CLIENTMEMORYBUDGET_H
