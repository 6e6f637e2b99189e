#include "EngineClient.h"

#include "Fescuegauge/BlockingHttpExchange.h"
#include "Fescuegauge/HttpClient.h"
#include "Fescuegauge/JsonFields.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <boost/json.hpp>
#include <utility>

namespace fescuegauge {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration ControlTimeout = 5s;
/// Loading copies an entire model to the accelerators.
constexpr Duration LoadTimeout = 10min;
/// Maximum length of a line of a streamed answer.
constexpr std::size_t MaxEventBytes = 1u << 20;
/// A stream without an event for this long is treated as broken.
constexpr Duration StreamIdleTimeout = 30s;

std::uint64_t numberOrZero(const json::object &Object, std::string_view Key) {
  return jsonNumber(Object, Key).value_or(0);
}

std::optional<json::object> parseAnswer(const HttpResult &Answer) {
  return Answer.isOk() ? parseJsonObject(Answer.m_Body) : std::nullopt;
}

HttpCall makeCall(const Endpoint &Engine, std::string Method, std::string Path,
                  Duration Timeout = ControlTimeout) {
  HttpCall Call;
  Call.m_Server = Engine;
  Call.m_Method = std::move(Method);
  Call.m_Path = std::move(Path);
  Call.m_Timeout = Timeout;
  Call.m_MaxAnswer = Bytes(64u << 20);
  return Call;
}

std::string chunkPath(const Digest &Chunk) { return "/staging/chunks/" + Chunk.hex(); }

json::object makeChunkList(const Manifest &Model) {
  json::array Chunks;
  Chunks.reserve(Model.chunks().size());
  for (const ChunkRef &Chunk : Model.chunks())
    Chunks.push_back({{"digest", Chunk.m_Digest.hex()}, {"size", Chunk.m_Size.count()}});
  return {{"chunks", std::move(Chunks)}};
}

/// Returns the caller's body with the fields that the engine needs to run and cancel the attempt.
std::string makeBody(const AttemptRequest &Request) {
  json::object Body = parseJsonObject(Request.m_Body).value_or(json::object());
  Body["attempt"] = Request.m_Attempt.str();
  Body["execution"] = Request.m_Execution;
  Body["resumeFrom"] = Request.m_ResumeFrom;
  Body["priority"] = Request.m_Priority;
  return json::serialize(Body);
}

/// Reads server-sent events from the body of a response.
class EventReader {
public:
  explicit EventReader(BlockingHttpExchange &Exchange) : m_Exchange(Exchange) {}

  /// Returns the data of the next event, nothing at the end of the body or if a line exceeds
  /// MaxEventBytes.
  std::optional<std::string> next() {
    constexpr std::string_view Prefix = "data: ";
    while (auto Line = nextLine())
      if (Line->starts_with(Prefix))
        return Line->substr(Prefix.size());
    return std::nullopt;
  }

private:
  std::optional<std::string> nextLine() {
    std::size_t Searched = m_Begin;
    std::size_t End = 0;
    while ((End = m_Received.find('\n', Searched)) == std::string::npos) {
      m_Received.erase(0, std::exchange(m_Begin, 0));
      Searched = m_Received.size();
      if (Searched > MaxEventBytes)
        return std::nullopt;
      if (!m_Exchange.read(m_Received)) {
        // The last line of a body may lack its end.
        if (m_Received.empty())
          return std::nullopt;
        return std::exchange(m_Received, {});
      }
    }
    std::string Line = m_Received.substr(m_Begin, End - m_Begin);
    m_Begin = End + 1;
    if (Line.size() > MaxEventBytes)
      return std::nullopt;
    return Line;
  }

  BlockingHttpExchange &m_Exchange;
  std::string m_Received;
  /// Position of the next line in m_Received.
  std::size_t m_Begin = 0;
};

std::string statusReason(int Status) {
  return "status " + std::to_string(Status) + " from the service";
}

} // namespace

std::optional<EngineStatus> EngineClient::status() const {
  auto Body = parseAnswer(performHttp(makeCall(m_Address, "GET", "/status")));
  if (!Body)
    return std::nullopt;
  EngineStatus Status;
  Status.m_Version = jsonText(*Body, "version");
  Status.m_ServedRoot = Digest::fromHex(jsonText(*Body, "rootDigest")).value_or(Digest());
  Status.m_Token = FencingToken(numberOrZero(*Body, "fencingToken"));
  Status.m_Running = static_cast<std::uint32_t>(numberOrZero(*Body, "running"));
  Status.m_Capacity = static_cast<std::uint32_t>(numberOrZero(*Body, "capacity"));
  Status.m_ReportAge = std::chrono::milliseconds(numberOrZero(*Body, "reportAgeMs"));
  return Status;
}

bool EngineClient::stageChunk(const Digest &Chunk, const std::string &Content) const {
  HttpCall Call = makeCall(m_Address, "PUT", chunkPath(Chunk));
  Call.m_Body = Content;
  Call.m_ContentType = "application/octet-stream";
  return performHttp(Call).isOk();
}

std::optional<std::string> EngineClient::readStagedChunk(const Digest &Chunk) const {
  HttpResult Answer = performHttp(makeCall(m_Address, "GET", chunkPath(Chunk)));
  if (!Answer.isOk())
    return std::nullopt;
  return std::move(Answer.m_Body);
}

bool EngineClient::deleteStagedChunk(const Digest &Chunk) const {
  return performHttp(makeCall(m_Address, "DELETE", chunkPath(Chunk))).isOk();
}

std::optional<std::vector<ChunkRef>> EngineClient::listStagedChunks() const {
  auto Body = parseAnswer(performHttp(makeCall(m_Address, "GET", "/staging")));
  const json::value *Listed = Body ? Body->if_contains("chunks") : nullptr;
  if (!Listed || !Listed->is_array())
    return std::nullopt;
  std::vector<ChunkRef> Chunks;
  for (const json::value &Entry : Listed->as_array())
    if (const json::object *Fields = Entry.if_object())
      if (auto Name = Digest::fromHex(jsonText(*Fields, "digest")))
        Chunks.push_back({*Name, Bytes(numberOrZero(*Fields, "size"))});
  return Chunks;
}

EngineLoadResult EngineClient::load(const Manifest &Model, const std::string &Version,
                                    FencingToken Token) const {
  json::object Body = makeChunkList(Model);
  Body["command"] = "load";
  Body["version"] = Version;
  Body["rootDigest"] = Model.rootDigest().hex();
  Body["fencingToken"] = Token.value();
  HttpCall Call = makeCall(m_Address, "POST", "/command", LoadTimeout);
  Call.m_Body = json::serialize(Body);
  HttpResult Answer = performHttp(Call);
  if (Answer.isOk())
    return EngineLoadResult::Loaded;
  bool IsRejected = Answer.m_Progress == HttpProgress::NotSent ||
                    (Answer.m_Progress == HttpProgress::Answered && Answer.m_Status / 100 == 4);
  return IsRejected ? EngineLoadResult::Rejected : EngineLoadResult::Unknown;
}

EngineRunResult EngineClient::run(const AttemptRequest &Request, const FragmentHandler &OnFragment,
                                  const std::atomic<bool> &Cancelled) const {
  return m_IsPlain ? callPlainService(Request, OnFragment)
                   : streamGeneration(Request, OnFragment, Cancelled);
}

EngineRunResult EngineClient::callPlainService(const AttemptRequest &Request,
                                               const FragmentHandler &OnFragment) const {
  HttpCall Call = makeCall(m_Address, "POST", "/call", Request.m_Timeout);
  Call.m_Body = makeBody(Request);
  Call.m_MaxAnswer = m_MaxAnswer;
  HttpResult Answer = performHttp(Call);
  EngineRunResult Result;
  if (Answer.m_Progress == HttpProgress::NotSent) {
    Result.m_Status = EngineRunResult::Status::NotSent;
    Result.m_Reason = "no connection to the service";
  } else if (Answer.isOk()) {
    Result.m_Status = EngineRunResult::Status::Complete;
    Result.m_TotalBytes = Answer.m_Body.size();
    OnFragment(0, std::move(Answer.m_Body), Digest());
  } else {
    Result.m_Reason = Answer.m_Progress == HttpProgress::Answered
                          ? statusReason(Answer.m_Status)
                          : "no valid response from the service";
  }
  return Result;
}

EngineRunResult EngineClient::streamGeneration(const AttemptRequest &Request,
                                               const FragmentHandler &OnFragment,
                                               const std::atomic<bool> &Cancelled) const {
  EngineRunResult Result;
  std::uint64_t Offset = Request.m_ResumeFrom;
  bool IsSent = false;
  try {
    BlockingHttpExchange Exchange(m_Address, {ControlTimeout, StreamIdleTimeout});
    IsSent = true;
    Poco::Net::HTTPRequest Head(Poco::Net::HTTPRequest::HTTP_POST, "/generate",
                                Poco::Net::HTTPMessage::HTTP_1_1);
    Head.setContentType("application/json");
    Exchange.start(Head, makeBody(Request));
    EventReader Events(Exchange);
    const int Status = Exchange.status();
    if (Status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE) {
      Result.m_Status = EngineRunResult::Status::Refused;
      Result.m_Reason = "the engine refused the request";
      return Result;
    }
    if (Status != Poco::Net::HTTPResponse::HTTP_OK) {
      Result.m_Reason = statusReason(Status);
      return Result;
    }
    Result.m_ServedRoot = Digest::fromHex(Exchange.field("Served-Digest")).value_or(Digest());
    while (auto Event = Events.next()) {
      if (*Event == "[DONE]") {
        Result.m_Status = EngineRunResult::Status::Complete;
        Result.m_TotalBytes = Offset;
        return Result;
      }
      auto Parsed = parseJsonObject(*Event);
      if (!Parsed || Cancelled)
        break;
      std::string Text = jsonText(*Parsed, "text");
      std::size_t Size = Text.size();
      if (Offset + Size > m_MaxAnswer.count())
        break;
      OnFragment(Offset, std::move(Text), Result.m_ServedRoot);
      Offset += Size;
    }
    Result.m_Reason = "the stream ended before its final event";
  } catch (const Poco::Exception &Error) {
    Result.m_Reason = Error.displayText();
    if (!IsSent)
      Result.m_Status = EngineRunResult::Status::NotSent;
  }
  return Result;
}

void EngineClient::cancel(const AttemptId &Attempt) const {
  HttpCall Call = makeCall(m_Address, "POST", "/cancel");
  Call.m_Body = json::serialize(json::object{{"attempt", Attempt.str()}});
  performHttp(Call);
}

} // namespace fescuegauge
