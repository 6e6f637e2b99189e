#include "StandinServer.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/StreamCopier.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <csignal>
#include <iostream>

namespace fescuegauge::standins {

namespace json = boost::json;

Call::Call(Poco::Net::HTTPServerRequest &Request, Poco::Net::HTTPServerResponse &Response)
    : m_Request(Request), m_Response(Response) {
  Poco::URI Uri(Request.getURI());
  m_Path = Uri.getPath();
  for (const auto &[Name, Value] : Uri.getQueryParameters())
    m_Query[Name] = Value;
  Poco::StreamCopier::copyToString(Request.stream(), m_Body);
}

std::string Call::query(const std::string &Name) const {
  auto Found = m_Query.find(Name);
  return Found == m_Query.end() ? std::string() : Found->second;
}

json::object Call::jsonBody() const {
  boost::system::error_code Error;
  json::value Value = json::parse(m_Body, Error);
  return !Error && Value.is_object() ? Value.as_object() : json::object();
}

void Call::answer(const json::value &Body, int Status) {
  m_Response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(Status));
  m_Response.setContentType("application/json");
  std::string Text = json::serialize(Body);
  m_Response.sendBuffer(Text.data(), Text.size());
}

void Call::answerBytes(const std::string &Body) {
  m_Response.setContentType("application/octet-stream");
  m_Response.sendBuffer(Body.data(), Body.size());
}

void Call::abortConnection() {
  if (auto *Impl = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&m_Request))
    Impl->socket().shutdown();
}

namespace {

class RouteHandler final : public Poco::Net::HTTPRequestHandler {
public:
  explicit RouteHandler(const Handlers &Routes) : m_Routes(Routes) {}

  void handleRequest(Poco::Net::HTTPServerRequest &Request,
                     Poco::Net::HTTPServerResponse &Response) override {
    try {
      Call Received(Request, Response);
      const std::function<void(Call &)> *Best = nullptr;
      std::size_t BestLength = 0;
      std::string Target = Request.getMethod() + " " + Received.path();
      for (const auto &[Prefix, Handler] : m_Routes) {
        if (Target.starts_with(Prefix) && Prefix.size() >= BestLength) {
          Best = &Handler;
          BestLength = Prefix.size();
        }
      }
      if (Best)
        (*Best)(Received);
      else
        Received.answer(json::object{{"error", "unknown path"}}, 404);
    } catch (const std::exception &Error) {
      std::cerr << "event=standin_call_failed reason=\"" << Error.what() << "\"\n";
    }
  }

private:
  const Handlers &m_Routes;
};

class HandlerFactory final : public Poco::Net::HTTPRequestHandlerFactory {
public:
  explicit HandlerFactory(Handlers Routes) : m_Routes(std::move(Routes)) {}
  Poco::Net::HTTPRequestHandler *
  createRequestHandler(const Poco::Net::HTTPServerRequest &) override {
    return new RouteHandler(m_Routes);
  }

private:
  Handlers m_Routes;
};

} // namespace

int serve(std::uint16_t Port, int Threads, Handlers Routes) {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);

  Poco::ThreadPool Pool(2, Threads);
  Poco::Net::ServerSocket Socket(Poco::Net::SocketAddress("127.0.0.1", Port), 512);
  auto *Params = new Poco::Net::HTTPServerParams;
  Params->setMaxThreads(Threads);
  Params->setMaxQueued(1024);
  Params->setKeepAlive(true);
  Poco::Net::HTTPServer Server(new HandlerFactory(std::move(Routes)), Pool, Socket, Params);
  Server.start();
  std::cout << "listening port=" << Socket.address().port() << std::endl;

  int Signal = 0;
  sigwait(&Signals, &Signal);
  Server.stopAll(true);
  return 0;
}

std::string textField(const json::object &Object, std::string_view Key, std::string Default) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->as_string()) : std::move(Default);
}

std::uint64_t numberField(const json::object &Object, std::string_view Key, std::uint64_t Default) {
  const json::value *Found = Object.if_contains(Key);
  if (!Found || !Found->is_number())
    return Default;
  boost::system::error_code Error;
  auto Number = Found->to_number<std::uint64_t>(Error);
  return Error ? Default : Number;
}

bool boolField(const json::object &Object, std::string_view Key, bool Default) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_bool() ? Found->as_bool() : Default;
}

} // namespace fescuegauge::standins
