#include "Fescuegauge/HttpClient.h"

#include "Fescuegauge/BlockingHttpExchange.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/URI.h>

namespace fescuegauge {

HttpResult performHttp(const HttpCall &Call) {
  HttpResult Result;
  try {
    BlockingHttpExchange Exchange(Call.m_Server, {Call.m_Timeout, Call.m_Timeout});
    Result.m_Progress = HttpProgress::NoAnswer;
    Poco::Net::HTTPRequest Request(Call.m_Method, Call.m_Path, Poco::Net::HTTPMessage::HTTP_1_1);
    if (!Call.m_Body.empty() || Call.m_Method != Poco::Net::HTTPRequest::HTTP_GET)
      Request.setContentType(Call.m_ContentType);
    Exchange.start(Request, Call.m_Body);
    std::optional<std::string> Body = Exchange.readRest(Call.m_MaxAnswer);
    if (!Body)
      return Result;
    Result.m_Body = std::move(*Body);
    Result.m_Status = Exchange.status();
    Result.m_Progress = HttpProgress::Answered;
  } catch (const Poco::Exception &) {
    // The caller decides by m_Progress, which is already set.
  } catch (const std::exception &) {
    // Errors of the standard library are handled like network errors.
  }
  return Result;
}

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  Poco::URI::encode(std::string(Text), "!#$&'()*+,/:;=?@[]%\"<>\\^`{|} ", Encoded);
  return Encoded;
}

} // namespace fescuegauge
