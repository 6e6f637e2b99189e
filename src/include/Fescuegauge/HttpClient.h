#ifndef FESCUEGAUGE_HTTPCLIENT_H
#define FESCUEGAUGE_HTTPCLIENT_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <string>
#include <string_view>

namespace fescuegauge {

/// How far one HTTP exchange came.
enum class HttpProgress {
  /// No connection was made: the server saw nothing of the request.
  NotSent,
  /// The request may have reached the server, but no complete answer came back.
  NoAnswer,
  Answered,
};

struct HttpResult {
  HttpProgress m_Progress = HttpProgress::NotSent;
  int m_Status = 0;
  std::string m_Body;

  bool isOk() const { return m_Progress == HttpProgress::Answered && m_Status / 100 == 2; }
};

struct HttpCall {
  Endpoint m_Server;
  std::string m_Method = "GET";
  std::string m_Path;
  std::string m_Body;
  std::string m_ContentType = "application/json";
  Duration m_Timeout = std::chrono::seconds(2);
  /// A longer answer counts as no answer.
  Bytes m_MaxAnswer = Bytes(16u << 20);
};

/// Performs one exchange on a connection of its own and never throws.
HttpResult performHttp(const HttpCall &Call);

/// `Text` with everything but unreserved characters percent-encoded.
std::string percentEncode(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_HTTPCLIENT_H
