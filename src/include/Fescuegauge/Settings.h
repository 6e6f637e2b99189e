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

/// What the process beside an upstream has in front of it.
enum class UpstreamKind {
  /// A model engine, which loads versions and reports load.
  Engine,
  /// A plain service; it takes requests only.
  Plain,
};

/// Another instance to which a starting process introduces itself.
struct Seed {
  InstanceId m_Id;
  Endpoint m_Address;
};

/// Where the process takes connections. Port 0 lets the kernel choose a free one; the process logs
/// the ports that it was given.
struct ListenSettings {
  /// Callers' and operators' HTTP, health and metrics.
  Endpoint m_Http;
  /// Other processes of the system.
  Endpoint m_Rpc;
};

/// The platform's services.
struct PlatformSettings {
  Endpoint m_Table;
  Endpoint m_Objects;
  Endpoint m_Origin;
  Endpoint m_InstanceList;
};

/// The upstream of a process with role agent; meaningless for role entry.
struct AgentSettings {
  Endpoint m_Engine;
  ServiceId m_Service;
  GenerationId m_Generation;
  UpstreamKind m_Kind = UpstreamKind::Engine;
  /// The engine rejects a command whose fencing token is older than one that it has seen.
  bool m_ChecksFencingTokens = false;
  /// Concurrent requests that the upstream can run.
  std::uint32_t m_Capacity = 32;
  /// Bytes of chunks that the engine's staging area may hold.
  Bytes m_StagingLimit{std::uint64_t{16} << 30};
};

struct LinkSettings {
  /// Rate of this instance's own link, in each direction.
  BytesPerSecond m_Instance{125e6};
  /// Rate of the link between two regions, in each direction; the default is 20 Mbit/s.
  BytesPerSecond m_Region{2.5e6};
  /// Share of a link that weights may use while live requests use it too.
  double m_TransferShare = 0.5;
};

/// Bounds that protect the process. What happens at each bound is part of the reference page.
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
  /// A connection without a heartbeat for this long is replaced.
  Duration m_FailureTime = std::chrono::seconds(2);
};

/// The settings of one `fescuegauged` process. Everything that operators may change while it runs
/// is a declaration and is not in here.
struct Settings {
  InstanceRole m_Role = InstanceRole::Entry;
  InstanceId m_Id;
  RegionId m_Region;
  DataCentreId m_DataCentre;
  /// Name of the deployment; processes of two deployments do not talk to each other.
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

/// One mistake in a settings file.
struct SettingsError {
  std::string m_File;
  /// Counted from 1; 0 when the mistake has no line, such as a missing key at the top level.
  std::uint32_t m_Line = 0;
  /// Path of the key, for example "limits.maxBodyBytes" or "seeds[1].address"; may be empty.
  std::string m_Path;
  std::string m_Message;

  /// "FILE:LINE: PATH: MESSAGE" without the parts that are not known.
  std::string text() const;
};

/// Every mistake of a file, in the order of its lines; never empty when reported as an error. This
/// is the LEAF error object of the functions below.
struct SettingsErrors {
  std::vector<SettingsError> m_Errors;
};

/// Reads settings from text: JSON with `//` and `/* */` comments. `FileName` is only used in
/// messages. On failure the result carries a SettingsErrors object with all mistakes and nothing
/// else happens.
boost::leaf::result<Settings> parseSettings(std::string_view Text, std::string_view FileName);

/// Reads a file and parses it. A file that cannot be read, or is larger than 1 MiB, is one mistake.
boost::leaf::result<Settings> loadSettings(const std::string &FileName);

/// Prints one line for each mistake and returns the exit code of ErrorKind::InvalidSettings.
int reportSettingsErrors(std::ostream &Out, const SettingsErrors &Errors);

/// The reference of all keys as a Markdown page, made from the schema.
std::string settingsReference();

} // namespace fescuegauge

#endif // FESCUEGAUGE_SETTINGS_H
