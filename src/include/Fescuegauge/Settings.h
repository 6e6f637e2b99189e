#ifndef FESCUEGAUGE_SETTINGS_H
#define FESCUEGAUGE_SETTINGS_H

#include "Fescuegauge/Ids.h"
#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Severity.h"
#include "Fescuegauge/Units.h"

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace fescuegauge {

/// Kind of the upstream that an agent serves.
enum class UpstreamKind {
  /// A model engine, which loads versions and reports load.
  Engine,
  /// A plain service, which only takes requests.
  Plain,
};

/// Another instance that a starting process contacts to join the membership.
struct Seed {
  InstanceId m_Id;
  Endpoint m_Address;
};

/// Listen addresses of the process. With port 0 the operating system chooses a free port; the
/// process logs the actual ports.
struct ListenSettings {
  /// HTTP for callers, operators, health checks and metrics.
  Endpoint m_Http;
  /// RPC with other processes of the system.
  Endpoint m_Rpc;
};

/// Addresses of the platform's services.
struct PlatformSettings {
  Endpoint m_Table;
  Endpoint m_Objects;
  Endpoint m_Origin;
  Endpoint m_InstanceList;
};

/// The upstream of a process with role agent; unused for role entry.
struct AgentSettings {
  Endpoint m_Engine;
  ServiceId m_Service;
  GenerationId m_Generation;
  UpstreamKind m_Kind = UpstreamKind::Engine;
  /// The engine rejects a command whose fencing token is older than one that it has seen.
  bool m_ChecksFencingTokens = false;
  /// Concurrent requests that the upstream can run.
  std::uint32_t m_Capacity = 32;
  /// Capacity of the engine's staging area for chunks.
  Bytes m_StagingLimit{std::uint64_t{16} << 30};
};

struct LinkSettings {
  /// Bandwidth of this instance's network link, in each direction.
  BytesPerSecond m_Instance{125e6};
  /// Bandwidth of the link between two regions, in each direction; the default is 20 Mbit/s.
  BytesPerSecond m_Region{2.5e6};
  /// Share of a link that transfers of weights may use while live requests use it too.
  double m_TransferShare = 0.5;
};

/// Resource limits of the process. The descriptions in the schema state what happens at each limit.
struct LimitSettings {
  Bytes m_MaxBody = 1_MiB;
  Bytes m_MaxAnswer = 8_MiB;
  Bytes m_MaxHeaderBytes = 16_KiB;
  std::uint32_t m_MaxHeaders = 64;
  Duration m_HeaderTimeout = std::chrono::seconds(10);
  Duration m_BodyTimeout = std::chrono::seconds(30);
  Duration m_IdleTimeout = std::chrono::seconds(60);
  std::uint32_t m_MaxConnections = 1024;
  std::uint32_t m_MaxRequestsInFlight = 512;
  std::uint32_t m_MaxQueuedRequests = 1024;
  std::uint32_t m_MaxQueuedRequestsPerAccount = 256;
  Duration m_MaxDeadline = std::chrono::seconds(300);
  Bytes m_ChunkBytesInFlight = 64_MiB;
  Duration m_DrainLimit = std::chrono::seconds(30);
};

/// Application heartbeats on connections between processes of the system.
struct HeartbeatSettings {
  Duration m_Interval = std::chrono::milliseconds(500);
  /// A connection without a heartbeat for this long is closed and replaced.
  /// After half of the time, idempotent requests are dispatched to a second upstream too.
  Duration m_FailureTime = std::chrono::seconds(4);
};

/// The settings of one `fescuegauged` process. Values that operators may change while it runs are
/// declarations instead.
struct Settings {
  InstanceRole m_Role = InstanceRole::Entry;
  InstanceId m_Id;
  RegionId m_Region;
  DataCentreId m_DataCentre;
  /// Name of the deployment; processes of different deployments refuse each other's connections.
  std::string m_Deployment;
  Severity m_LogLevel = Severity::Info;
  ListenSettings m_Listen;
  PlatformSettings m_Platform;
  std::vector<Seed> m_Seeds;
  AgentSettings m_Agent;
  LinkSettings m_Links;
  LimitSettings m_Limits;
  HeartbeatSettings m_Heartbeats;
};

/// An error in a settings or declaration file.
struct SettingsError {
  std::string m_File;
  /// Counted from 1; 0 if the error has no line, such as a missing key at the top level.
  std::uint32_t m_Line = 0;
  /// Path of the key, for example "limits.maxBodyBytes" or "seeds[1].address"; may be empty.
  std::string m_Path;
  std::string m_Message;

  /// "FILE:LINE: PATH: MESSAGE" without the parts that are unknown.
  std::string text() const;
};

/// All errors of a file, in line order; never empty when reported. This is the LEAF error object of
/// the functions below.
struct SettingsErrors {
  std::vector<SettingsError> m_Errors;
};

/// Parses settings: JSON with `//` and `/* */` comments. `FileName` is only used in messages. A
/// failure carries a SettingsErrors object with all errors; there are no side effects.
boost::leaf::result<Settings> parseSettings(std::string_view Text, std::string_view FileName);

/// Reads and parses a file. A file that cannot be read or is larger than 1 MiB is a single error.
boost::leaf::result<Settings> loadSettings(const std::string &FileName);

/// Prints one line for each error and returns the exit code of ErrorKind::InvalidSettings.
int reportSettingsErrors(std::ostream &Out, const SettingsErrors &Errors);

/// A Markdown page that documents all keys; generated from the schema.
std::string settingsReference();

} // namespace fescuegauge

#endif // FESCUEGAUGE_SETTINGS_H
