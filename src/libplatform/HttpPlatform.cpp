#include "Fescuegauge/HttpClient.h"
#include "Fescuegauge/JsonFields.h"
#include "Fescuegauge/Platform.h"

#include <boost/json.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>

namespace fescuegauge {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

std::uint64_t numberOrZero(const json::object &Object, std::string_view Key) {
  return jsonNumber(Object, Key).value_or(0);
}

std::optional<json::object> bodyOf(const HttpResult &Answer) {
  return Answer.isOk() ? parseJsonObject(Answer.m_Body) : std::nullopt;
}

/// Returns the position of a row of an answer, which states the epoch of all its rows.
TablePosition positionOf(const json::object &Row, const json::object &Answer) {
  return {StoreEpoch(numberOrZero(Answer, "epoch")), RowVersion(numberOrZero(Row, "version"))};
}

std::vector<TableRow> rowsOf(const json::value &Rows, const json::object &Answer) {
  std::vector<TableRow> Result;
  if (!Rows.is_array())
    return Result;
  for (const json::value &Row : Rows.as_array())
    if (const json::object *Object = Row.if_object())
      Result.push_back(
          {jsonText(*Object, "key"), jsonText(*Object, "value"), positionOf(*Object, Answer)});
  return Result;
}

json::object encode(const Transaction &Request) {
  json::array Conditions;
  for (const RowCondition &Condition : Request.m_Conditions)
    Conditions.push_back({{"key", Condition.m_Key},
                          {"epoch", Condition.m_Position.m_Epoch.value()},
                          {"version", Condition.m_Position.m_Version.value()}});
  json::array Puts;
  for (const RowPut &Put : Request.m_Puts)
    Puts.push_back({{"key", Put.m_Key}, {"value", Put.m_Value}});
  json::array Deletes;
  for (const std::string &Key : Request.m_Deletes)
    Deletes.emplace_back(Key);
  return {{"writeId", Request.m_WriteId.str()},
          {"conditions", std::move(Conditions)},
          {"puts", std::move(Puts)},
          {"deletes", std::move(Deletes)}};
}

/// Base class of the clients; holds the endpoint and the timeout.
class HttpClientBase {
public:
  HttpClientBase(Endpoint Server, Duration Timeout)
      : m_Server(std::move(Server)), m_Timeout(Timeout) {}

protected:
  HttpCall call(std::string Method, std::string Path) const {
    HttpCall Call;
    Call.m_Server = m_Server;
    Call.m_Method = std::move(Method);
    Call.m_Path = std::move(Path);
    Call.m_Timeout = m_Timeout;
    return Call;
  }

private:
  Endpoint m_Server;
  Duration m_Timeout;
};

class HttpTable final : public Table, HttpClientBase {
public:
  using HttpClientBase::HttpClientBase;

  CommitResult transact(const Transaction &Request) override {
    HttpCall Call = call("POST", "/table/transact");
    Call.m_Body = json::serialize(encode(Request));
    HttpResult Answer = performHttp(Call);
    if (Answer.m_Progress == HttpProgress::NotSent)
      return {CommitStatus::Unreachable, {}};
    auto Object = bodyOf(Answer);
    const json::value *Committed = Object ? Object->if_contains("committed") : nullptr;
    if (!Committed || !Committed->is_bool())
      return {CommitStatus::Unknown, {}};
    if (Committed->as_bool())
      return {CommitStatus::Committed, {}};
    const json::value *Conflicts = Object->if_contains("conflicts");
    return {CommitStatus::Conflict,
            Conflicts ? rowsOf(*Conflicts, *Object) : std::vector<TableRow>()};
  }

  leaf::result<TableRow> read(const std::string &Key) override {
    HttpResult Answer = performHttp(call("GET", "/table/row?key=" + percentEncode(Key)));
    auto Object = bodyOf(Answer);
    if (!Object || !Object->contains("version"))
      return leaf::new_error(ErrorKind::TableUnreachable);
    return TableRow{Key, jsonText(*Object, "value"), positionOf(*Object, *Object)};
  }

  leaf::result<std::vector<TableRow>> scan(const std::string &Prefix, const std::string &After,
                                           std::size_t Limit) override {
    HttpResult Answer = performHttp(call("GET", "/table/scan?prefix=" + percentEncode(Prefix) +
                                                    "&after=" + percentEncode(After) +
                                                    "&limit=" + std::to_string(Limit)));
    auto Object = bodyOf(Answer);
    const json::value *Rows = Object ? Object->if_contains("rows") : nullptr;
    if (!Rows || !Rows->is_array())
      return leaf::new_error(ErrorKind::TableUnreachable);
    return rowsOf(*Rows, *Object);
  }
};

class HttpObjectStore final : public ObjectStore, HttpClientBase {
public:
  using HttpClientBase::HttpClientBase;

  leaf::result<void> put(const std::string &Name, const std::string &Content) override {
    HttpCall Call = call("PUT", "/objects/" + percentEncode(Name));
    Call.m_Body = Content;
    if (!performHttp(Call).isOk())
      return leaf::new_error(ErrorKind::TableUnreachable);
    return {};
  }

  leaf::result<std::string> get(const std::string &Name) override {
    HttpResult Answer = performHttp(call("GET", "/objects/" + percentEncode(Name)));
    if (!Answer.isOk())
      return leaf::new_error(ErrorKind::TableUnreachable);
    return std::move(Answer.m_Body);
  }
};

class HttpOrigin final : public Origin, HttpClientBase {
public:
  using HttpClientBase::HttpClientBase;

  leaf::result<std::string> manifest(const ServiceId &Service,
                                     const ModelVersionId &Version) override {
    return fetch(call("GET", "/origin/manifests/" + percentEncode(Service.str()) + "/" +
                                 percentEncode(Version.str())));
  }

  leaf::result<std::string> chunk(const Digest &Chunk, Bytes Size) override {
    HttpCall Call = call("GET", "/origin/chunks/" + Chunk.hex());
    Call.m_MaxAnswer = Size;
    return fetch(Call);
  }

private:
  static leaf::result<std::string> fetch(const HttpCall &Call) {
    HttpResult Answer = performHttp(Call);
    if (!Answer.isOk())
      return leaf::new_error(ErrorKind::PeerUnreachable);
    return std::move(Answer.m_Body);
  }
};

class HttpInstanceList final : public InstanceList, HttpClientBase {
public:
  using HttpClientBase::HttpClientBase;

  leaf::result<std::vector<InstanceRecord>> list() override {
    HttpResult Answer = performHttp(call("GET", "/instances"));
    auto Object = bodyOf(Answer);
    const json::value *Listed = Object ? Object->if_contains("instances") : nullptr;
    if (!Listed || !Listed->is_array())
      return leaf::new_error(ErrorKind::PeerUnreachable);
    std::vector<InstanceRecord> Result;
    for (const json::value &Entry : Listed->as_array())
      if (const json::object *Fields = Entry.if_object())
        Result.push_back(record(*Fields));
    return Result;
  }

private:
  static InstanceRecord record(const json::object &Fields) {
    InstanceRecord Record;
    Record.m_Id = InstanceId(jsonText(Fields, "id"));
    Record.m_Role = jsonText(Fields, "role") == "entry" ? InstanceRole::Entry : InstanceRole::Agent;
    Record.m_State =
        jsonText(Fields, "state") == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    Record.m_Incarnation = Incarnation(numberOrZero(Fields, "incarnation"));
    Record.m_DataCentre = DataCentreId(jsonText(Fields, "dataCentre"));
    Record.m_Region = RegionId(jsonText(Fields, "region"));
    Record.m_Endpoint = {jsonText(Fields, "host"),
                         static_cast<std::uint16_t>(numberOrZero(Fields, "port"))};
    Record.m_Service = ServiceId(jsonText(Fields, "service"));
    Record.m_Generation = GenerationId(jsonText(Fields, "generation"));
    return Record;
  }
};

} // namespace

std::unique_ptr<Table> makeHttpTable(const Endpoint &Server, Duration Timeout) {
  return std::make_unique<HttpTable>(Server, Timeout);
}

std::unique_ptr<ObjectStore> makeHttpObjectStore(const Endpoint &Server, Duration Timeout) {
  return std::make_unique<HttpObjectStore>(Server, Timeout);
}

std::unique_ptr<Origin> makeHttpOrigin(const Endpoint &Server, Duration Timeout) {
  return std::make_unique<HttpOrigin>(Server, Timeout);
}

std::unique_ptr<InstanceList> makeHttpInstanceList(const Endpoint &Server, Duration Timeout) {
  return std::make_unique<HttpInstanceList>(Server, Timeout);
}

} // namespace fescuegauge
