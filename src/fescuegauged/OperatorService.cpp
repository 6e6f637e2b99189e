#include "OperatorService.h"

#include "Fescuegauge/ControlCodec.h"
#include "Fescuegauge/JsonFields.h"
#include "Fescuegauge/Log.h"
#include "Fescuegauge/Manifest.h"
#include "Fescuegauge/OriginBudget.h"
#include "LoopCall.h"
#include "WeightsService.h"

#include <algorithm>
#include <boost/json.hpp>

namespace fescuegauge {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

/// The other process collects a dump on its worker threads, and a dump can be large.
constexpr Duration DumpTimeout = 5s;

json::value fieldOrNull(const json::object *Object, std::string_view Key) {
  const json::value *Found = Object ? Object->if_contains(Key) : nullptr;
  return Found ? *Found : json::value();
}

std::optional<Manifest> parseOriginManifest(const std::string &Text) {
  boost::system::error_code Error;
  json::value Parsed = json::parse(Text, Error);
  const json::value Listed = fieldOrNull(Error ? nullptr : Parsed.if_object(), "chunks");
  if (!Listed.is_array() || Listed.as_array().empty() ||
      Listed.as_array().size() > Manifest::MaxChunks)
    return std::nullopt;
  std::vector<ChunkRef> Chunks;
  for (const json::value &Entry : Listed.as_array()) {
    const json::object *Fields = Entry.if_object();
    auto Name = Fields ? Digest::fromHex(jsonText(*Fields, "digest")) : std::nullopt;
    auto Size = Fields ? jsonNumber(*Fields, "size") : std::nullopt;
    if (!Name || !Size || *Size == 0 || *Size > Manifest::MaxChunkSize.count())
      return std::nullopt;
    Chunks.push_back({*Name, Bytes(*Size)});
  }
  return Manifest(std::move(Chunks));
}

json::object declarationJson(const DeclarationName &Name, const Declaration &Declared) {
  DeclarationSpec Spec = toSpec(Declared);
  return {{"name", operatorName(Name)}, {"kind", Spec.m_Kind}, {"spec", Spec.m_Spec}};
}

} // namespace

void OperatorService::start(Kernel &Services) {
  m_Kernel = &Services;
  m_Platform = &Services.find<PlatformService>("platform");
  m_Membership = &Services.find<MembershipService>("membership");
  m_Targets = &Services.find<TargetsService>("targets");
  auto &Rpc = Services.find<RpcService>("rpc");
  m_Loop.postAndWait([this, &Rpc] {
    Rpc.setTopicHandler(Topic::Operator, [this](const PeerIdentity &From, const std::string &Query,
                                                const ReplyCallback &Reply) {
      if (Query == ConfirmationQuery)
        return Reply(encodeConfirmation(From.m_Instance));
      if (Query != DumpQuery)
        return Reply({});
      auto Text = std::make_shared<std::string>();
      m_Loop.runBlocking([this, Text] { *Text = json::serialize(m_Kernel->dumpState()); },
                         [Text, Reply] { Reply(std::move(*Text)); });
    });
  });
  if (m_Settings.m_Role != InstanceRole::Entry)
    return;
  auto &Http = Services.find<HttpService>("http");
  Http.addRoute("GET /operator/targets",
                [this](HttpExchange &Exchange) { serveTargets(Exchange); });
  Http.addRoute("POST /operator/targets",
                [this](HttpExchange &Exchange) { serveChange(Exchange); });
  Http.addRoute("GET /operator/history",
                [this](HttpExchange &Exchange) { serveHistory(Exchange); });
  Http.addRoute("GET /operator/status", [this](HttpExchange &Exchange) { serveStatus(Exchange); });
  Http.addRoute("GET /operator/instances", [this](HttpExchange &Exchange) { serveDump(Exchange); });
}

/// Encodes the answer to a confirmation query. Empty while this instance has no configuration.
std::string OperatorService::encodeConfirmation(const InstanceId &Agent) const {
  if (!m_Targets->isReady())
    return {};
  ConfirmationReply Reply;
  Reply.m_Change = m_Targets->configuration().number();
  if (const InstanceRecord *Record = m_Membership->view().find(Agent))
    Reply.m_AgentIncarnation = Record->m_Incarnation;
  return encodePayload(Reply);
}

void OperatorService::serveTargets(HttpExchange &Exchange) {
  json::array Declarations;
  ChangeNumber Number;
  bool IsReady = false;
  m_Loop.postAndWait([&] {
    IsReady = m_Targets->isReady();
    Number = m_Targets->configuration().number();
    for (const auto &[Name, Entry] : m_Targets->configuration().entries()) {
      if (!Entry.m_Stored)
        continue;
      json::object Declared = declarationJson(Name, Entry.m_Stored->m_Declaration);
      Declared["change"] = Entry.m_SetBy.value();
      Declarations.push_back(std::move(Declared));
    }
  });
  if (!IsReady)
    return Exchange.sendError(ErrorKind::NotReady, "this instance has no configuration yet");
  Exchange.sendJson(
      json::object{{"change", Number.value()}, {"declarations", std::move(Declarations)}});
}

/// Copies the manifest of a rollout's version from the origin to the object store, from which
/// agents read it. Returns its root digest, nothing if a call failed or the manifest is invalid.
std::optional<Digest> OperatorService::publishManifest(const DeclarationSpec &Spec) {
  ServiceId Model(jsonText(Spec.m_Spec, "service"));
  ModelVersionId Version(jsonText(Spec.m_Spec, "version"));
  using Content = PlatformService::Content;
  Content Text = awaitLoopCall<Content>(m_Loop, [&](std::function<void(Content)> Done) {
    m_Platform->readManifest(Model, Version, std::move(Done));
  });
  auto Found = Text ? parseOriginManifest(*Text) : std::nullopt;
  if (!Found)
    return std::nullopt;
  bool Stored = awaitLoopCall<bool>(m_Loop, [&](std::function<void(bool)> Done) {
    m_Platform->putObject(manifestObjectName(Found->rootDigest()), Found->encode(),
                          std::move(Done));
  });
  if (!Stored)
    return std::nullopt;
  return Found->rootDigest();
}

/// Adds the edit for one put. If the put is invalid, sends an error and returns false.
bool OperatorService::parsePut(HttpExchange &Exchange, const json::value &Value,
                               std::vector<DeclarationEdit> &Edits) {
  const json::object *Fields = Value.if_object();
  const json::value Spec = fieldOrNull(Fields, "spec");
  if (!Spec.is_object()) {
    Exchange.sendError(ErrorKind::InvalidDeclaration, "each put needs kind and spec");
    return false;
  }
  DeclarationSpec WrittenSpec{jsonText(*Fields, "kind"), Spec.as_object()};
  Digest Root;
  if (WrittenSpec.m_Kind == "rollout") {
    auto Published = publishManifest(WrittenSpec);
    if (!Published) {
      Exchange.sendError(ErrorKind::PeerUnreachable,
                         "the manifest of version \"" + jsonText(WrittenSpec.m_Spec, "version") +
                             "\" cannot be read from the origin or stored");
      return false;
    }
    Root = *Published;
  }
  ParsedDeclarations Parsed = parseSpec(WrittenSpec, Root);
  if (!Parsed.m_Errors.empty()) {
    std::string Message;
    for (const DeclarationError &InvalidField : Parsed.m_Errors)
      Message += (Message.empty() ? "" : "; ") + InvalidField.text();
    Exchange.sendError(ErrorKind::InvalidDeclaration, Message);
    return false;
  }
  DeclarationName Name = declarationName(Parsed.m_Declarations.front());
  std::string GivenName = jsonText(*Fields, "name");
  if (!GivenName.empty() && GivenName != operatorName(Name)) {
    Exchange.sendError(ErrorKind::InvalidDeclaration,
                       "the name \"" + GivenName + "\" must be \"" + operatorName(Name) + "\"");
    return false;
  }
  Edits.push_back({Name, Parsed.m_Declarations.front()});
  return true;
}

/// Returns the name of the declaration in force whose name in the operators' interface is `Name`.
DeclarationName OperatorService::findDeclarationName(const std::string &Name) const {
  DeclarationName Found(Name);
  m_Loop.postAndWait([&] {
    for (const auto &[Candidate, Entry] : m_Targets->configuration().entries())
      if (operatorName(Candidate) == Name)
        Found = Candidate;
  });
  return Found;
}

void OperatorService::serveChange(HttpExchange &Exchange) {
  if (auto Failure = Exchange.readBody(m_Settings.m_Limits))
    return Exchange.sendError(*Failure, "the body cannot be read");
  boost::system::error_code Error;
  json::value Body = json::parse(Exchange.body(), Error);
  const json::object *Fields = Error ? nullptr : Body.if_object();
  ChangeRequest Request;
  if (Fields) {
    Request.m_Id = ChangeId(jsonText(*Fields, "changeId"));
    Request.m_Author = jsonText(*Fields, "author");
    if (auto Base = jsonNumber(*Fields, "base"))
      Request.m_Base = ChangeNumber(*Base);
  }
  if (Request.m_Id.empty())
    return Exchange.sendError(ErrorKind::MalformedRequest,
                              "expected a JSON object with changeId, author, puts and deletes");
  const json::value Puts = fieldOrNull(Fields, "puts");
  if (Puts.is_array())
    for (const json::value &Put : Puts.as_array())
      if (!parsePut(Exchange, Put, Request.m_Edits))
        return;
  const json::value Deletes = fieldOrNull(Fields, "deletes");
  if (Deletes.is_array())
    for (const json::value &Name : Deletes.as_array())
      if (Name.is_string())
        Request.m_Edits.push_back(
            {findDeclarationName(std::string(Name.as_string())), std::nullopt});
  ChangeOutcome Outcome =
      awaitLoopCall<ChangeOutcome>(m_Loop, [&](std::function<void(ChangeOutcome)> Done) {
        m_Targets->applyChange(Request, std::move(Done));
      });
  sendOutcome(Exchange, Request, Outcome);
}

void OperatorService::sendOutcome(HttpExchange &Exchange, const ChangeRequest &Request,
                                  const ChangeOutcome &Outcome) {
  switch (Outcome.m_Status) {
  case ChangeOutcome::Status::Accepted:
    return Exchange.sendJson(
        json::object{{"outcome", "accepted"}, {"change", Outcome.m_Number.value()}});
  case ChangeOutcome::Status::Unchanged:
    return Exchange.sendJson(
        json::object{{"outcome", "unchanged"}, {"change", Outcome.m_Number.value()}});
  case ChangeOutcome::Status::Unknown:
    return Exchange.sendJson(json::object{{"outcome", "unknown"}, {"changeId", Request.m_Id.str()}},
                             504);
  case ChangeOutcome::Status::Refused:
    break;
  }
  if (Outcome.m_Error != ErrorKind::StaleBaseVersion)
    return Exchange.sendError(Outcome.m_Error, Outcome.m_Message, std::nullopt, WasRun::No);
  Exchange.sendJson(json::object{{"outcome", "refused"},
                                 {"error", errorAnswer(Outcome.m_Error).m_Name},
                                 {"message", Outcome.m_Message},
                                 {"change", Outcome.m_Number.value()},
                                 {"conflicts", findConflicts(Request)}},
                    409);
}

std::optional<TableRow> OperatorService::readRow(const std::string &Key) {
  using Row = std::optional<TableRow>;
  return awaitLoopCall<Row>(
      m_Loop, [&](std::function<void(Row)> Done) { m_Platform->read(Key, std::move(Done)); });
}

/// Returns the declarations in the request that were modified by changes after its base.
json::array OperatorService::findConflicts(const ChangeRequest &Request) {
  json::array Conflicts;
  Configuration InForce;
  m_Loop.postAndWait([&] { InForce = m_Targets->configuration(); });
  for (const DeclarationEdit &Edit : Request.m_Edits) {
    auto Entry = InForce.entries().find(Edit.m_Name);
    if (Entry == InForce.entries().end() || Entry->second.m_SetBy <= Request.m_Base)
      continue;
    json::object Conflict{{"name", operatorName(Edit.m_Name)},
                          {"author", ""},
                          {"change", Entry->second.m_SetBy.value()},
                          {"spec", nullptr}};
    if (Entry->second.m_Stored)
      Conflict["spec"] = toSpec(Entry->second.m_Stored->m_Declaration).m_Spec;
    auto Row = readRow(changeKey(Entry->second.m_SetBy));
    if (auto Recorded = Row ? Change::decode(Row->m_Value) : std::nullopt)
      Conflict["author"] = Recorded->m_Author;
    Conflicts.push_back(std::move(Conflict));
  }
  return Conflicts;
}

void OperatorService::serveHistory(HttpExchange &Exchange) {
  std::uint64_t After = std::strtoull(Exchange.queryParameter("after").c_str(), nullptr, 10);
  std::string LimitText = Exchange.queryParameter("limit");
  std::size_t Limit =
      LimitText.empty() ? MaxHistoryPage : std::strtoul(LimitText.c_str(), nullptr, 10);
  Limit = std::min(Limit, MaxHistoryPage);
  ChangeNumber Last;
  m_Loop.postAndWait([&] { Last = m_Targets->configuration().number(); });
  json::array Changes;
  for (std::uint64_t Number = After + 1; Number <= Last.value() && Changes.size() < Limit;
       ++Number) {
    auto Row = readRow(changeKey(ChangeNumber(Number)));
    if (!Row)
      return Exchange.sendError(ErrorKind::TableUnreachable, "the table did not answer");
    auto Recorded = Change::decode(Row->m_Value);
    if (!Recorded)
      continue;
    json::array Puts;
    json::array Deletes;
    for (const DeclarationEdit &Edit : Recorded->m_Edits)
      if (Edit.m_Declaration)
        Puts.push_back(declarationJson(Edit.m_Name, *Edit.m_Declaration));
      else
        Deletes.emplace_back(operatorName(Edit.m_Name));
    Changes.push_back({{"change", Number},
                       {"changeId", Recorded->m_Id.str()},
                       {"author", Recorded->m_Author},
                       {"puts", std::move(Puts)},
                       {"deletes", std::move(Deletes)}});
  }
  Exchange.sendJson(json::object{{"changes", std::move(Changes)}});
}

json::object OperatorService::rolloutStatus(const RolloutDeclaration &Rollout, ChangeNumber SetBy,
                                            const DataCentreId &DataCentre) const {
  std::size_t Live = 0;
  std::size_t Wanted = 0;
  for (const auto &Member : m_Membership->view().members()) {
    if (Member->m_Role != InstanceRole::Agent || Member->m_DataCentre != DataCentre ||
        Member->m_Service != Rollout.m_Service ||
        (!Rollout.m_Generation.empty() && Member->m_Generation != Rollout.m_Generation))
      continue;
    ++Wanted;
    if (Member->m_ServedDigest == Rollout.m_ManifestRoot)
      ++Live;
  }
  return {{"service", Rollout.m_Service.str()},
          {"version", Rollout.m_Version.str()},
          {"rootDigest", Rollout.m_ManifestRoot.hex()},
          {"change", SetBy.value()},
          {"live", Live},
          {"wanted", Wanted},
          {"originBytes", 0}};
}

void OperatorService::serveStatus(HttpExchange &Exchange) {
  using Lags = std::vector<DataCentreLag>;
  Lags Collected = awaitLoopCall<Lags>(
      m_Loop, [&](std::function<void(Lags)> Done) { m_Targets->collectLag(std::move(Done)); });
  json::array DataCentres;
  ChangeNumber Number;
  std::vector<std::string> GrantKeys;
  m_Loop.postAndWait([&] {
    const Membership &View = m_Membership->view();
    const Configuration &InForce = m_Targets->configuration();
    Number = InForce.number();
    for (const DataCentreId &DataCentre : View.dataCentres()) {
      std::size_t Instances = DataCentre == m_Settings.m_DataCentre ? 1 : 0;
      std::size_t Live = Instances;
      for (const auto &Member : View.members()) {
        if (Member->m_DataCentre != DataCentre)
          continue;
        ++Instances;
        Live += Member->m_State == InstanceState::Live ? 1 : 0;
      }
      json::object Entry{{"dataCentre", DataCentre.str()},
                         {"change", Number.value()},
                         {"instances", Instances},
                         {"live", Live}};
      json::array Laggards;
      json::array Unreachable;
      for (const DataCentreLag &Lag : Collected) {
        if (Lag.m_DataCentre != DataCentre)
          continue;
        Entry["change"] = Lag.m_InForce.value();
        for (const InstanceId &LaggingInstance : Lag.m_Lagging)
          Laggards.push_back({{"instance", LaggingInstance.str()}, {"change", 0}});
        for (const InstanceId &UnreachableInstance : Lag.m_Unreachable)
          Unreachable.emplace_back(UnreachableInstance.str());
      }
      Entry["laggards"] = std::move(Laggards);
      Entry["unreachable"] = std::move(Unreachable);
      json::array Rollouts;
      for (const auto &[Name, Stored] : InForce.entries()) {
        const auto *Rollout = Stored.m_Stored
                                  ? std::get_if<RolloutDeclaration>(&Stored.m_Stored->m_Declaration)
                                  : nullptr;
        if (!Rollout)
          continue;
        Rollouts.push_back(rolloutStatus(*Rollout, Stored.m_SetBy, DataCentre));
        GrantKeys.push_back(grantRowKey(rolloutIdOf(Rollout->m_Service, Stored.m_SetBy)));
      }
      Entry["rollouts"] = std::move(Rollouts);
      DataCentres.push_back(std::move(Entry));
    }
  });
  // The granted bytes are an upper bound on the bytes that the rollout has read from the origin.
  std::map<std::string, std::uint64_t> Granted;
  for (const std::string &Key : GrantKeys) {
    if (Granted.contains(Key))
      continue;
    auto Row = readRow(Key);
    auto Parsed = Row ? GrantRow::parse(Row->m_Value) : std::nullopt;
    Granted[Key] = Parsed ? Parsed->m_Granted.count() : 0;
  }
  for (json::value &DataCentre : DataCentres)
    for (json::value &Rollout : DataCentre.as_object()["rollouts"].as_array()) {
      json::object &Fields = Rollout.as_object();
      ServiceId Owner(std::string(Fields["service"].as_string()));
      ChangeNumber SetBy(Fields["change"].to_number<std::uint64_t>());
      std::string Key = grantRowKey(rolloutIdOf(Owner, SetBy));
      Fields["originBytes"] = Granted[Key];
    }
  Exchange.sendJson(
      json::object{{"change", Number.value()}, {"dataCentres", std::move(DataCentres)}});
}

void OperatorService::serveDump(HttpExchange &Exchange) {
  const auto &Path = Exchange.pathSegments();
  if (Path.size() != 4 || Path[3] != "dump")
    return Exchange.sendError(ErrorKind::MalformedRequest,
                              "expected GET /operator/instances/ID/dump");
  InstanceId Wanted(Path[2]);
  if (Wanted == m_Settings.m_Id)
    return Exchange.sendJson(m_Kernel->dumpState());
  bool IsKnown = false;
  m_Loop.postAndWait([&] { IsKnown = m_Membership->view().find(Wanted) != nullptr; });
  if (!IsKnown)
    return Exchange.sendError(ErrorKind::UnknownInstance,
                              "no instance \"" + Wanted.str() + "\" is known");
  using Text = std::optional<std::string>;
  Text Dump = awaitLoopCall<Text>(m_Loop, [&](std::function<void(Text)> Done) {
    m_Membership->send(Wanted, Topic::Operator, std::string(DumpQuery), std::move(Done),
                       DumpTimeout);
  });
  if (!Dump || Dump->empty())
    return Exchange.sendError(ErrorKind::PeerUnreachable,
                              "instance \"" + Wanted.str() + "\" did not answer");
  Exchange.sendText(*Dump, "application/json");
}

} // namespace fescuegauge
