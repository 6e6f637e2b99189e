#ifndef FESCUEGAUGE_HTTPCLIENT_H
#define FESCUEGAUGE_HTTPCLIENT_H

#include "Fescuegauge/InstanceRecord.h"
#include "Fescuegauge/Units.h"

#include <string>
#include <string_view>

namespace fescuegauge {

/// How far an HTTP exchange progressed before it succeeded or failed.
enum class HttpProgress {
  /// No connection was established; the server received nothing of the request.
  NotSent,
  /// The request may have reached the server, but no complete answer was received.
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
  /// A larger body is treated as NoAnswer.
  Bytes m_MaxAnswer = Bytes(16u << 20);
};

/// Performs one exchange on a new connection. Never throws; failures are part of the result.
HttpResult performHttp(const HttpCall &Call);

/// Percent-encodes all characters but the unreserved ones.
std::string percentEncode(std::string_view Text);

} // namespace fescuegauge

#endif // FESCUEGAUGE_HTTPCLIENT_H
