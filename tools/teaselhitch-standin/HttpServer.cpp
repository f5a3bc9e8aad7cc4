#include "HttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <optional>
#include <sys/socket.h>
#include <utility>

namespace teaselhitch::standin {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

/// Maximum size of a request body. Pieces of a configuration are far smaller.
constexpr std::uint64_t MaxRequestBytes = 64ULL * 1024 * 1024;
constexpr std::size_t DiscardBufferBytes = 4096;

} // namespace

std::string headerOf(const HttpRequest &Request, std::string_view Name) {
  return std::string(Request[Name]);
}

HttpResponse makeResponse(unsigned Status, std::string Body,
                          const char *ContentType) {
  HttpResponse Response;
  Response.version(11);
  Response.result(Status);
  if (!Body.empty())
    Response.set(http::field::content_type, ContentType);
  Response.body() = std::move(Body);
  return Response;
}

/// One connection. It processes one exchange at a time.
class HttpServer::Session : public std::enable_shared_from_this<Session> {
public:
  Session(tcp::socket Socket, Handler Handle)
      : Socket(std::move(Socket)), Handle(std::move(Handle)) {}

  void start() { readRequest(); }

  bool isOpen() const { return Socket.is_open(); }

  void close() {
    OnCancel = nullptr;
    boost::system::error_code Ignored;
    Socket.close(Ignored);
  }

  void silence() {
    Silent = true;
    Socket.cancel();
    discard();
  }

  void send(const HttpRequest &Request, HttpResponse Message);
  void setOnCancel(std::function<void()> Callback) {
    OnCancel = std::move(Callback);
  }

  class SessionExchange;

private:
  void readRequest();
  void handleRequest();
  void watchForClose();
  void handleReadable();
  void discard();
  void cancelAndClose();

  tcp::socket Socket;
  Handler Handle;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<HttpResponse> Response;
  std::function<void()> OnCancel;
  bool InProgress = false;
  bool Silent = false;
  std::array<char, DiscardBufferBytes> Discarded;
};

class HttpServer::Session::SessionExchange final : public Exchange {
public:
  SessionExchange(std::shared_ptr<Session> Owner, HttpRequest Message)
      : Owner(std::move(Owner)), Message(std::move(Message)) {}

  const HttpRequest &request() const override { return Message; }

  void answer(HttpResponse Response) override {
    if (!Done)
      Owner->send(Message, std::move(Response));
    Done = true;
  }

  void drop() override {
    if (!Done)
      Owner->close();
    Done = true;
  }

  void onCancel(std::function<void()> Callback) override {
    Owner->setOnCancel(std::move(Callback));
  }

  const Session *session() const { return Owner.get(); }

private:
  std::shared_ptr<Session> Owner;
  HttpRequest Message;
  bool Done = false;
};

void HttpServer::Session::readRequest() {
  Parser.emplace();
  Parser->body_limit(MaxRequestBytes);
  http::async_read(
      Socket, Buffer, *Parser,
      [Self = shared_from_this()](beast::error_code Code, std::size_t) {
        if (Self->Silent)
          return;
        if (Code)
          return Self->close();
        Self->handleRequest();
      });
}

void HttpServer::Session::handleRequest() {
  InProgress = true;
  OnCancel = nullptr;
  auto Current =
      std::make_shared<SessionExchange>(shared_from_this(), Parser->release());
  Handle(Current);
  if (InProgress && isOpen())
    watchForClose();
}

/// Cancels the request in progress if the client closes the connection.
void HttpServer::Session::watchForClose() {
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](beast::error_code Code) {
                      if (!Code && Self->InProgress && !Self->Silent)
                        Self->handleReadable();
                    });
}

void HttpServer::Session::handleReadable() {
  char Byte = 0;
  ssize_t Count =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // The data belongs to a pipelined request, which is read after the current
  // request has been answered.
  if (Count > 0)
    return;
  cancelAndClose();
}

void HttpServer::Session::cancelAndClose() {
  auto Callback = std::exchange(OnCancel, nullptr);
  close();
  if (Callback)
    Callback();
}

void HttpServer::Session::send(const HttpRequest &Request,
                               HttpResponse Message) {
  OnCancel = nullptr;
  if (Silent || !isOpen())
    return;
  InProgress = false;
  Socket.cancel();
  Message.keep_alive(Request.keep_alive());
  Message.prepare_payload();
  Response = std::move(Message);
  http::async_write(
      Socket, *Response,
      [Self = shared_from_this()](beast::error_code Code, std::size_t) {
        if (Self->Silent)
          return;
        if (Code || !Self->Response->keep_alive())
          return Self->close();
        Self->readRequest();
      });
}

void HttpServer::Session::discard() {
  Socket.async_read_some(
      asio::buffer(Discarded),
      [Self = shared_from_this()](beast::error_code Code, std::size_t) {
        if (!Code)
          return Self->discard();
        if (Code == asio::error::operation_aborted)
          return;
        Self->cancelAndClose();
      });
}

HttpServer::HttpServer(asio::io_context &Context, Handler Handle)
    : Context(Context), Handle(std::move(Handle)), Acceptor(Context) {}

/// An exchange in progress owns its session, and the session owns the
/// cancellation callback, which owns the exchange. Closing the session breaks
/// this reference cycle.
HttpServer::~HttpServer() { closeConnections(); }

Result<Endpoint> HttpServer::listen(const Endpoint &Address) {
  boost::system::error_code Code;
  tcp::endpoint Local(asio::ip::make_address(Address.Address, Code),
                      Address.Port);
  if (!Code)
    Acceptor.open(Local.protocol(), Code);
  if (!Code)
    Acceptor.set_option(tcp::acceptor::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(Local, Code);
  if (!Code)
    Acceptor.listen(tcp::acceptor::max_listen_connections, Code);
  if (Code)
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Address) + ": " +
                                                 Code.message());
  accept();
  return Endpoint{Address.Address, Acceptor.local_endpoint().port()};
}

void HttpServer::stopListening() {
  boost::system::error_code Ignored;
  Acceptor.close(Ignored);
}

void HttpServer::closeConnections() {
  for (const auto &Open : openSessions())
    Open->close();
}

void HttpServer::silenceConnections(const Exchange *Excluded) {
  using SessionExchange = Session::SessionExchange;
  const auto *Current = static_cast<const SessionExchange *>(Excluded);
  for (const auto &Open : openSessions())
    if (!Current || Open.get() != Current->session())
      Open->silence();
}

std::vector<std::shared_ptr<HttpServer::Session>> HttpServer::openSessions() {
  std::vector<std::shared_ptr<Session>> Open;
  for (const auto &Entry : Sessions)
    if (auto Found = Entry.lock(); Found && Found->isOpen())
      Open.push_back(std::move(Found));
  Sessions.assign(Open.begin(), Open.end());
  return Open;
}

void HttpServer::accept() {
  Acceptor.async_accept(
      [this](boost::system::error_code Code, tcp::socket Socket) {
        if (!Acceptor.is_open())
          return;
        if (!Code) {
          Socket.set_option(tcp::no_delay(true), Code);
          openSessions();
          auto Opened = std::make_shared<Session>(std::move(Socket), Handle);
          Sessions.push_back(Opened);
          Opened->start();
        }
        accept();
      });
}

} // namespace teaselhitch::standin
