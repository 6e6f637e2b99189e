#ifndef FESCUEGAUGE_FAKEENTRY_H
#define FESCUEGAUGE_FAKEENTRY_H

#include "Fescuegauge/InstanceRecord.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace fescuegauge {

/// A fake entry instance for tests: replies to "METHOD /path" with the responses set for it and
/// records the requests.
class FakeEntry {
public:
  struct CannedResponse {
    int m_Status = 200;
    std::string m_Body;
    /// Bytes to send instead of an HTTP response, before the connection is closed.
    std::optional<std::string> m_Raw = std::nullopt;
  };

  FakeEntry()
      : m_Socket(Poco::Net::SocketAddress("127.0.0.1", 0)),
        m_Server(new Factory(*this), m_Socket, parameters()) {
    m_Server.start();
  }
  ~FakeEntry() { m_Server.stopAll(true); }
  FakeEntry(const FakeEntry &) = delete;
  FakeEntry &operator=(const FakeEntry &) = delete;

  std::string address() const { return m_Socket.address().toString(); }

  /// Sets the responses to a request in order; the last one is repeated.
  void setResponse(const std::string &Request, std::vector<CannedResponse> Responses) {
    std::lock_guard Lock(m_Mutex);
    m_Responses[Request] = {Responses.begin(), Responses.end()};
  }
  void setResponse(const std::string &Request, const std::string &Body) {
    setResponse(Request, {CannedResponse{200, Body}});
  }

  /// All requests, each as "METHOD /path?query BODY".
  std::vector<std::string> requests() const {
    std::lock_guard Lock(m_Mutex);
    return m_Requests;
  }
  std::string lastRequest() const {
    std::lock_guard Lock(m_Mutex);
    return m_Requests.empty() ? std::string() : m_Requests.back();
  }

private:
  class Handler : public Poco::Net::HTTPRequestHandler {
  public:
    explicit Handler(FakeEntry &Owner) : m_Owner(Owner) {}

    void handleRequest(Poco::Net::HTTPServerRequest &Request,
                       Poco::Net::HTTPServerResponse &Response) override {
      std::string Body;
      Poco::StreamCopier::copyToString(Request.stream(), Body);
      CannedResponse Next =
          m_Owner.nextResponse(Request.getMethod() + " " + Request.getURI(), Body);
      if (Next.m_Raw) {
        Poco::Net::StreamSocket &Socket =
            dynamic_cast<Poco::Net::HTTPServerRequestImpl &>(Request).socket();
        if (!Next.m_Raw->empty())
          Socket.sendBytes(Next.m_Raw->data(), static_cast<int>(Next.m_Raw->size()));
        Response.setKeepAlive(false);
        return Socket.shutdown();
      }
      Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Next.m_Status));
      Response.setContentLength64(static_cast<Poco::Int64>(Next.m_Body.size()));
      Response.send() << Next.m_Body;
    }

  private:
    FakeEntry &m_Owner;
  };

  class Factory : public Poco::Net::HTTPRequestHandlerFactory {
  public:
    explicit Factory(FakeEntry &Owner) : m_Owner(Owner) {}
    Poco::Net::HTTPRequestHandler *
    createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
      return new Handler(m_Owner);
    }

  private:
    FakeEntry &m_Owner;
  };

  static Poco::Net::HTTPServerParams::Ptr parameters() {
    Poco::Net::HTTPServerParams::Ptr Parameters = new Poco::Net::HTTPServerParams;
    Parameters->setMaxThreads(2);
    return Parameters;
  }

  CannedResponse nextResponse(const std::string &Request, const std::string &Body) {
    std::lock_guard Lock(m_Mutex);
    m_Requests.push_back(Body.empty() ? Request : Request + " " + Body);
    auto Found = m_Responses.find(Request);
    if (Found == m_Responses.end())
      return {404, R"({"error":"unknown-instance","message":"no answer set","run":"no"})"};
    CannedResponse Next = Found->second.front();
    if (Found->second.size() > 1)
      Found->second.pop_front();
    return Next;
  }

  Poco::Net::ServerSocket m_Socket;
  mutable std::mutex m_Mutex;
  std::map<std::string, std::deque<CannedResponse>> m_Responses;
  std::vector<std::string> m_Requests;
  Poco::Net::HTTPServer m_Server;
};

} // namespace fescuegauge

#endif // FESCUEGAUGE_FAKEENTRY_H
