#ifndef FESCUEGAUGE_STANDINS_STANDINSERVER_H
#define FESCUEGAUGE_STANDINS_STANDINSERVER_H

#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace fescuegauge::standins {

/// One HTTP request to a stand-in and its response.
class Call {
public:
  Call(Poco::Net::HTTPServerRequest &Request, Poco::Net::HTTPServerResponse &Response);

  const std::string &path() const { return m_Path; }
  /// The value of a query parameter; empty if it is absent.
  std::string query(const std::string &Name) const;
  const std::string &body() const { return m_Body; }
  /// The body as a JSON object; empty if the body is not a JSON object.
  boost::json::object jsonBody() const;
  Poco::Net::HTTPServerResponse &response() { return m_Response; }

  void answer(const boost::json::value &Body, int Status = 200);
  void answerBytes(const std::string &Body);
  /// Shuts the connection down without a response, to simulate a network fault.
  void abortConnection();

private:
  Poco::Net::HTTPServerRequest &m_Request;
  Poco::Net::HTTPServerResponse &m_Response;
  std::string m_Path;
  std::map<std::string, std::string> m_Query;
  std::string m_Body;
};

/// Handlers by method and path prefix, for example "GET /table/row"; the longest matching prefix is
/// used.
using Handlers = std::map<std::string, std::function<void(Call &)>>;

/// Serves on 127.0.0.1 at `Port` (0 lets the kernel choose), prints "listening port=PORT" on
/// standard output and returns when the process receives SIGTERM or SIGINT.
int serve(std::uint16_t Port, int Threads, Handlers Routes);

std::string textField(const boost::json::object &Object, std::string_view Key,
                      std::string Default = {});
std::uint64_t numberField(const boost::json::object &Object, std::string_view Key,
                          std::uint64_t Default = 0);
bool boolField(const boost::json::object &Object, std::string_view Key, bool Default = false);

} // namespace fescuegauge::standins

#endif // FESCUEGAUGE_STANDINS_STANDINSERVER_H
