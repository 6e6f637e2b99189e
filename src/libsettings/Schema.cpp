#include "Schema.h"

#include "Fescuegauge/EndpointText.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace fescuegauge {

namespace json = boost::json;

namespace {

using Presence = SettingsKey::Presence;

constexpr std::string_view IdType = "id: 1 to 64 letters, digits, `-`, `_` or `.`";
constexpr std::string_view AddressType = "address `IP:PORT` or `[IPV6]:PORT`";
/// A starting process contacts its seeds one after the other; more seeds would only delay the
/// start.
constexpr std::size_t MaxSeeds = 64;

/// Restrictions on an address beyond its syntax.
struct AddressRule {
  bool m_AllowsPortZero;
  /// 0.0.0.0 and [::] are valid for listening, but other processes cannot connect to them.
  bool m_AllowsUnspecified;
};
constexpr AddressRule ListenRule{true, true};
constexpr AddressRule ReachableListenRule{true, false};
constexpr AddressRule ConnectRule{false, false};

std::optional<Endpoint> readAddress(const json::value &Value, AddressRule Rule,
                                    const std::string &SubPath, const ReportError &Report) {
  if (!Value.is_string()) {
    Report(SubPath, wrongTypeText("a string IP:PORT", Value));
    return std::nullopt;
  }
  std::optional<Endpoint> Address = parseEndpoint(std::string_view(Value.as_string()));
  if (!Address)
    Report(SubPath, "must be IP:PORT or [IPV6]:PORT; host names are not resolved");
  else if (!Rule.m_AllowsPortZero && Address->m_Port == 0)
    Report(SubPath, "port 0 is allowed for listen addresses only");
  else if (!Rule.m_AllowsUnspecified && (Address->m_Host == "0.0.0.0" || Address->m_Host == "::"))
    Report(SubPath, "must be an address that other processes can connect to");
  else
    return Address;
  return std::nullopt;
}

/// The member of Settings that a chain of member pointers designates.
template <auto... Members> auto &memberOf(Settings &Root) { return (Root.*....*Members); }
template <auto... Members> const auto &memberOf(const Settings &Root) {
  return (Root.*....*Members);
}

template <auto... Members>
SettingsKey idKey(std::string Path, Presence KeyPresence, std::string Description) {
  return {std::move(Path),
          KeyPresence,
          std::string(IdType),
          std::move(Description),
          [](const json::value &Value, Settings &Out, const ReportError &Report) {
            auto &Member = memberOf<Members...>(Out);
            if (auto Text = readId(Value, {}, Report))
              Member = std::remove_reference_t<decltype(Member)>(*Text);
          },
          [](const Settings &) { return json::value(); }};
}

template <auto... Members>
SettingsKey addressKey(std::string Path, Presence KeyPresence, AddressRule Rule,
                       std::string Description) {
  std::string Type(AddressType);
  if (Rule.m_AllowsPortZero)
    Type += "; port 0 is chosen by the kernel";
  return {std::move(Path),
          KeyPresence,
          std::move(Type),
          std::move(Description),
          [Rule](const json::value &Value, Settings &Out, const ReportError &Report) {
            if (auto Address = readAddress(Value, Rule, {}, Report))
              memberOf<Members...>(Out) = *Address;
          },
          [](const Settings &) { return json::value(); }};
}

template <auto... Members>
SettingsKey flagKey(std::string Path, Presence KeyPresence, std::string Description) {
  return {std::move(Path),
          KeyPresence,
          "`true` or `false`",
          std::move(Description),
          [](const json::value &Value, Settings &Out, const ReportError &Report) {
            if (Value.is_bool())
              memberOf<Members...>(Out) = Value.get_bool();
            else
              Report({}, wrongTypeText("true or false", Value));
          },
          [](const Settings &In) { return json::value(memberOf<Members...>(In)); }};
}

template <typename Choice> struct NamedChoice {
  std::string_view m_Name;
  Choice m_Choice;
};

template <auto... Members, typename Choice, std::size_t Count>
SettingsKey choiceKey(std::string Path, Presence KeyPresence,
                      const NamedChoice<Choice> (&Choices)[Count], std::string Description) {
  std::vector<std::string_view> NameList;
  for (const auto &Entry : Choices)
    NameList.push_back(Entry.m_Name);
  const std::string Names = choiceText(NameList);
  std::vector<NamedChoice<Choice>> All(std::begin(Choices), std::end(Choices));
  return {std::move(Path),
          KeyPresence,
          Names,
          std::move(Description),
          [All, Names](const json::value &Value, Settings &Out, const ReportError &Report) {
            if (!Value.is_string())
              return Report({}, wrongTypeText("a string", Value));
            for (const auto &Entry : All)
              if (std::string_view(Value.get_string()) == Entry.m_Name) {
                memberOf<Members...>(Out) = Entry.m_Choice;
                return;
              }
            Report({}, "must be " + Names);
          },
          [All](const Settings &In) {
            for (const auto &Entry : All)
              if (memberOf<Members...>(In) == Entry.m_Choice)
                return json::value(json::string_view(Entry.m_Name.data(), Entry.m_Name.size()));
            return json::value();
          }};
}

// Conversions between numbers in the file and the typed members.
void assign(std::uint32_t &Member, std::uint64_t Value) {
  Member = static_cast<std::uint32_t>(Value);
}
void assign(Bytes &Member, std::uint64_t Value) { Member = Bytes(Value); }
void assign(Duration &Member, double Value) {
  Member = Duration(static_cast<Duration::rep>(std::llround(Value * 1e6)));
}
void assign(BytesPerSecond &Member, double Value) { Member = BytesPerSecond(Value); }
void assign(double &Member, double Value) { Member = Value; }
std::uint64_t numberOf(std::uint32_t Member) { return Member; }
std::uint64_t numberOf(Bytes Member) { return Member.count(); }
double numberOf(Duration Member) { return toSeconds(Member); }
double numberOf(BytesPerSecond Member) { return Member.rate(); }
double numberOf(double Member) { return Member; }

std::string unitOf(std::uint32_t) { return ""; }
std::string unitOf(Bytes) { return " bytes"; }
std::string unitOf(Duration) { return " s"; }
std::string unitOf(BytesPerSecond) { return " bytes/s"; }
std::string unitOf(double) { return ""; }

/// An integer key in the range [Min, Max]; the member is a std::uint32_t or Bytes.
template <auto... Members, typename T>
SettingsKey integerKey(std::string Path, Presence KeyPresence, T Min, T Max,
                       std::string Description) {
  std::string Range =
      std::to_string(numberOf(Min)) + " to " + std::to_string(numberOf(Max)) + unitOf(Min);
  return {std::move(Path),
          KeyPresence,
          "integer, " + Range,
          std::move(Description),
          [=](const json::value &Value, Settings &Out, const ReportError &Report) {
            if (!Value.is_int64() && !Value.is_uint64())
              return Report({}, wrongTypeText("an integer", Value));
            json::error_code Failure;
            auto Number = Value.to_number<std::uint64_t>(Failure);
            if (Failure || Number < numberOf(Min) || Number > numberOf(Max))
              return Report({}, "must be " + Range);
            assign(memberOf<Members...>(Out), Number);
          },
          [](const Settings &In) { return json::value(numberOf(memberOf<Members...>(In))); }};
}

/// A number key in the range [Min, Max]; the member is a Duration, a rate or a share.
template <auto... Members>
SettingsKey numberKey(std::string Path, Presence KeyPresence, double Min, double Max,
                      std::string Description) {
  std::string Range =
      plainNumber(Min) + " to " + plainNumber(Max) + unitOf(memberOf<Members...>(Settings()));
  return {std::move(Path),
          KeyPresence,
          "number, " + Range,
          std::move(Description),
          [=](const json::value &Value, Settings &Out, const ReportError &Report) {
            if (!Value.is_number())
              return Report({}, wrongTypeText("a number", Value));
            auto Number = Value.to_number<double>();
            if (!(Number >= Min && Number <= Max))
              return Report({}, "must be " + Range);
            assign(memberOf<Members...>(Out), Number);
          },
          [](const Settings &In) { return json::value(numberOf(memberOf<Members...>(In))); }};
}

void storeSeeds(const json::value &Value, Settings &Out, const ReportError &Report) {
  if (!Value.is_array())
    return Report({}, wrongTypeText("a list", Value));
  const json::array &List = Value.get_array();
  if (List.size() > MaxSeeds)
    return Report({}, "has more than " + std::to_string(MaxSeeds) + " entries");
  std::vector<Seed> Seeds;
  std::set<InstanceId> Seen;
  for (std::size_t I = 0; I < List.size(); ++I) {
    const std::string Path = "[" + std::to_string(I) + "]";
    if (!List[I].is_object()) {
      Report(Path, wrongTypeText("an object with id and address", List[I]));
      continue;
    }
    Seed Next;
    const json::object &Members = List[I].get_object();
    for (const auto &Member : Members)
      if (Member.key() != "id" && Member.key() != "address")
        Report(Path + "." + std::string(Member.key()), "unknown key");
    for (std::string_view RequiredName : {"id", "address"})
      if (!Members.contains(json::string_view(RequiredName.data(), RequiredName.size())))
        Report(Path + "." + std::string(RequiredName), "missing");
    if (const json::value *Id = Members.if_contains("id"))
      if (auto Text = readId(*Id, Path + ".id", Report)) {
        Next.m_Id = InstanceId(*Text);
        if (!Seen.insert(Next.m_Id).second)
          Report(Path + ".id", "is the id of an earlier seed");
      }
    if (const json::value *Address = Members.if_contains("address"))
      if (auto Parsed = readAddress(*Address, ConnectRule, Path + ".address", Report))
        Next.m_Address = *Parsed;
    Seeds.push_back(std::move(Next));
  }
  Out.m_Seeds = std::move(Seeds);
}

SettingsKey seedsKey() {
  return {"seeds",
          Presence::Optional,
          "list of at most " + std::to_string(MaxSeeds) +
              " objects with `id` (id) and `address` (address `IP:PORT`)",
          "Instances to which a starting process introduces itself on their RPC address. The "
          "process's own id may be listed and is skipped.",
          storeSeeds,
          [](const Settings &) { return json::value(json::array()); }};
}

constexpr NamedChoice<InstanceRole> Roles[] = {{"entry", InstanceRole::Entry},
                                               {"agent", InstanceRole::Agent}};
constexpr NamedChoice<Severity> LogLevels[] = {{"debug", Severity::Debug},
                                               {"info", Severity::Info},
                                               {"warning", Severity::Warning},
                                               {"error", Severity::Error}};
constexpr NamedChoice<UpstreamKind> UpstreamKinds[] = {{"engine", UpstreamKind::Engine},
                                                       {"plain", UpstreamKind::Plain}};

std::vector<SettingsKey> processKeys() {
  return {
      choiceKey<&Settings::m_Role>("role", Presence::Required, Roles,
                                   "An entry instance takes callers' requests; an agent stands "
                                   "beside one upstream."),
      idKey<&Settings::m_Id>("id", Presence::Required,
                             "Id of the instance, unique for the life of the deployment."),
      idKey<&Settings::m_Region>("region", Presence::Required, "Region of the instance."),
      idKey<&Settings::m_DataCentre>("dataCentre", Presence::Required,
                                     "Data centre of the instance; unique over all regions."),
      idKey<&Settings::m_Deployment>("deployment", Presence::Required,
                                     "Name of the deployment. Processes of two deployments do not "
                                     "talk to each other."),
      choiceKey<&Settings::m_LogLevel>("logLevel", Presence::Optional, LogLevels,
                                       "Least severity of the events that are logged."),
      addressKey<&Settings::m_Listen, &ListenSettings::m_Http>(
          "listen.http", Presence::Required, ListenRule,
          "Address for callers' and operators' HTTP, health and metrics."),
      addressKey<&Settings::m_Listen, &ListenSettings::m_Rpc>(
          "listen.rpc", Presence::Required, ReachableListenRule,
          "Address for other processes of the system, which learn it from this process."),
      addressKey<&Settings::m_Platform, &PlatformSettings::m_Table>(
          "platform.table", Presence::Required, ConnectRule, "The platform's transactional table."),
      addressKey<&Settings::m_Platform, &PlatformSettings::m_Objects>(
          "platform.objects", Presence::Required, ConnectRule, "The platform's object store."),
      addressKey<&Settings::m_Platform, &PlatformSettings::m_Origin>(
          "platform.origin", Presence::Required, ConnectRule, "The origin of weights."),
      addressKey<&Settings::m_Platform, &PlatformSettings::m_InstanceList>(
          "platform.instanceList", Presence::Required, ConnectRule,
          "The platform's list of live and leaving instances."),
      seedsKey(),
  };
}

std::vector<SettingsKey> agentKeys() {
  return {
      addressKey<&Settings::m_Agent, &AgentSettings::m_Engine>(
          "agent.engine", Presence::RequiredForAgent, ConnectRule,
          "The upstream to which this agent alone sends requests and commands."),
      idKey<&Settings::m_Agent, &AgentSettings::m_Service>(
          "agent.service", Presence::RequiredForAgent, "Service that the upstream provides."),
      idKey<&Settings::m_Agent, &AgentSettings::m_Generation>(
          "agent.generation", Presence::RequiredForAgent,
          "Generation of the upstream, for example `old` or `new`."),
      choiceKey<&Settings::m_Agent, &AgentSettings::m_Kind>(
          "agent.kind", Presence::RequiredForAgent, UpstreamKinds,
          "A model engine loads versions; a plain service takes requests only."),
      flagKey<&Settings::m_Agent, &AgentSettings::m_ChecksFencingTokens>(
          "agent.checksFencingTokens", Presence::OptionalForAgent,
          "Whether the engine rejects a command with an old fencing token."),
      integerKey<&Settings::m_Agent, &AgentSettings::m_Capacity>(
          "agent.capacity", Presence::OptionalForAgent, 1U, 65536U,
          "Concurrent requests that the upstream can run."),
      integerKey<&Settings::m_Agent, &AgentSettings::m_StagingLimit>(
          "agent.stagingLimitBytes", Presence::OptionalForAgent, 1_MiB, Bytes(1ULL << 44),
          "Bytes of chunks that the engine's staging area may hold. The oldest unused versions "
          "are evicted first; a version that does not fit beside the one being served is not "
          "fetched."),
  };
}

std::vector<SettingsKey> linkKeys() {
  return {
      numberKey<&Settings::m_Links, &LinkSettings::m_Instance>(
          "links.instanceBytesPerSecond", Presence::Optional, 1e4, 1e11,
          "Rate of this instance's link, in each direction."),
      numberKey<&Settings::m_Links, &LinkSettings::m_Region>(
          "links.regionBytesPerSecond", Presence::Optional, 1e4, 1e11,
          "Rate of the link between two regions, in each direction. The default is 20 Mbit/s."),
      numberKey<&Settings::m_Links, &LinkSettings::m_TransferShare>(
          "links.transferShare", Presence::Optional, 0.05, 1,
          "Share of a link that weights may use while live requests use it too."),
  };
}

std::vector<SettingsKey> limitKeys() {
  return {
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxBody>(
          "limits.maxBodyBytes", Presence::Optional, 1_KiB, 64_MiB,
          "Largest request body. A larger one is answered with `request-too-large`."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxAnswer>(
          "limits.maxAnswerBytes", Presence::Optional, 1_KiB, 64_MiB,
          "Largest answer of an upstream. A larger one ends visibly broken."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxHeaderBytes>(
          "limits.maxHeaderBytes", Presence::Optional, 1_KiB, 1_MiB,
          "Largest request line and headers together. Larger ones are answered with "
          "`request-too-large`."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxHeaders>(
          "limits.maxHeaders", Presence::Optional, 8U, 1024U,
          "Most headers of a request. More are answered with `request-too-large`."),
      numberKey<&Settings::m_Limits, &LimitSettings::m_HeaderTimeout>(
          "limits.headerTimeoutSeconds", Presence::Optional, 0.1, 300,
          "Time in which the request line and headers must arrive. After it the connection is "
          "answered with `request-timeout` and closed."),
      numberKey<&Settings::m_Limits, &LimitSettings::m_BodyTimeout>(
          "limits.bodyTimeoutSeconds", Presence::Optional, 0.1, 600,
          "Time in which the body must arrive; as above."),
      numberKey<&Settings::m_Limits, &LimitSettings::m_IdleTimeout>(
          "limits.idleTimeoutSeconds", Presence::Optional, 0.1, 3600,
          "Time after which a connection without a request is closed."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxConnections>(
          "limits.maxConnections", Presence::Optional, 8U, 65536U,
          "Most callers' connections. A further one is answered with `overloaded` and closed."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxRequestsInFlight>(
          "limits.maxRequestsInFlight", Presence::Optional, 1U, 65536U,
          "Most requests that are dispatched at one time; further ones wait in the queue."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxQueuedRequests>(
          "limits.maxQueuedRequests", Presence::Optional, 0U, 65536U,
          "Most requests that wait. A further one is answered with `overloaded`."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_MaxQueuedRequestsPerAccount>(
          "limits.maxQueuedRequestsPerAccount", Presence::Optional, 0U, 65536U,
          "Most requests of one client account that wait. A further one is answered with "
          "`account-over-share`."),
      numberKey<&Settings::m_Limits, &LimitSettings::m_MaxDeadline>(
          "limits.maxDeadlineSeconds", Presence::Optional, 1, 3600,
          "Longest time that a caller may ask a request to take; a longer one is shortened to it."),
      integerKey<&Settings::m_Limits, &LimitSettings::m_ChunkBytesInFlight>(
          "limits.chunkBytesInFlight", Presence::Optional, 1_MiB, 128_MiB,
          "Most bytes of weights that the process holds at one time; further chunks wait."),
      numberKey<&Settings::m_Limits, &LimitSettings::m_DrainLimit>(
          "limits.drainLimitSeconds", Presence::Optional, 0, 3600,
          "Time that a drain may take. After it the process names the requests that it interrupts "
          "and exits."),
      numberKey<&Settings::m_Heartbeats, &HeartbeatSettings::m_Interval>(
          "heartbeats.intervalSeconds", Presence::Optional, 0.02, 10,
          "Time between heartbeats on a connection to another process."),
      numberKey<&Settings::m_Heartbeats, &HeartbeatSettings::m_FailureTime>(
          "heartbeats.failureSeconds", Presence::Optional, 0.04, 60,
          "A connection without a heartbeat for this long is replaced. After half of the time, "
          "idempotent requests on it are sent to a second upstream too. Should be longer than any "
          "pause of a sound process, and must be at least twice the interval."),
  };
}

std::vector<SettingsKey> buildSchema() {
  std::vector<SettingsKey> Keys;
  for (auto *Part : {processKeys, agentKeys, linkKeys, limitKeys})
    std::ranges::move(Part(), std::back_inserter(Keys));
  return Keys;
}

} // namespace

const std::vector<SettingsKey> &settingsSchema() {
  static const std::vector<SettingsKey> Keys = buildSchema();
  return Keys;
}

const SettingsKey *findSettingsKey(std::string_view Path) {
  const auto &Keys = settingsSchema();
  auto Found = std::ranges::find(Keys, Path, &SettingsKey::m_Path);
  return Found == Keys.end() ? nullptr : &*Found;
}

bool isSettingsGroup(std::string_view Path) {
  const std::string Prefix = std::string(Path) + ".";
  return std::ranges::any_of(
      settingsSchema(), [&](const SettingsKey &Key) { return Key.m_Path.starts_with(Prefix); });
}

} // namespace fescuegauge
