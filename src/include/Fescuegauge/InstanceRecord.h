#ifndef FESCUEGAUGE_INSTANCERECORD_H
#define FESCUEGAUGE_INSTANCERECORD_H

#include "Fescuegauge/Digest.h"
#include "Fescuegauge/Ids.h"

#include <cstdint>
#include <string>

namespace fescuegauge {

enum class InstanceRole {
  /// Accepts requests of callers.
  Entry,
  /// Runs beside one upstream.
  Agent,
};

enum class InstanceState {
  /// Known, but not yet ready to work.
  Joining,
  Live,
  /// Missed probes; not yet declared dead.
  Suspect,
  /// Announced that it is leaving; accepts no new work.
  Leaving,
  Dead,
};

/// An IP address and a TCP port.
struct Endpoint {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  auto operator<=>(const Endpoint &) const = default;
};

/// State of one process of the system as known to others. For an agent, the fields on service,
/// generation and version describe the upstream that it runs beside.
struct InstanceRecord {
  InstanceId m_Id;
  InstanceRole m_Role = InstanceRole::Agent;
  InstanceState m_State = InstanceState::Joining;
  Incarnation m_Incarnation;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  /// Address for connections from other processes of the system.
  Endpoint m_Endpoint;
  ServiceId m_Service;
  GenerationId m_Generation;
  /// Root digest of the manifest of which the upstream reports that it serves it; zero if none.
  Digest m_ServedDigest;
  /// Concurrent requests that the upstream can run.
  std::uint32_t m_Capacity = 0;

  auto operator<=>(const InstanceRecord &) const = default;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_INSTANCERECORD_H
