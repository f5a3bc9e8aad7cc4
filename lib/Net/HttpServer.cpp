#include "teaselhitch/Net/HttpServer.h"

#include "Asio.h"
#include "Http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <optional>
#include <unordered_set>

namespace teaselhitch {

namespace beast = boost::beast;

namespace {

class Session;

/// State shared by all sessions; outlives the server until the last session
/// ends.
struct ServerState {
  HttpServerSettings Settings;
  HttpServer::Handler Handle;
  HttpServer::RefusalHandler Refuse;
  std::unordered_set<Session *> Sessions;
  bool Draining = false;
};

/// While the server drains, a connection is closed after this time without a
/// request. It is not closed at once, because a client that has just connected
/// is about to send its request.
constexpr Duration DrainIdleTimeout = Duration(500);
constexpr Duration SweepInterval = Duration(100);
/// Large enough for most headers to arrive with the first read.
constexpr std::size_t FirstReadBytes = 4096;

/// The reason with which a request that cannot be parsed is refused.
Reason refusalReason(ErrorCodeT EC) {
  if (EC == http::error::body_limit)
    return Reason::BodyTooLarge;
  if (EC == http::error::header_limit)
    return Reason::HeaderTooLarge;
  return Reason::BadRequest;
}

bool isProtocolError(ErrorCodeT EC) {
  return EC.category() ==
             http::make_error_code(http::error::body_limit).category() &&
         EC != http::error::end_of_stream && EC != http::error::partial_message;
}

/// False for a request whose end is ambiguous, because the bytes after it could
/// be parsed as a separate request (request smuggling), for one without the
/// single `Host` header that HTTP/1.1 requires, and for TRACE with a body.
bool isWellFramed(const http::request<http::string_body> &Request) {
  constexpr unsigned Http11 = 11;
  if (Request.version() >= Http11 && Request.count(http::field::host) != 1)
    return false;
  bool HasBody = Request.count(http::field::transfer_encoding) != 0 ||
                 (Request.has_content_length() &&
                  Request[http::field::content_length] != "0");
  // RFC 9110, section 9.3.8.
  if (Request.method() == http::verb::trace && HasBody)
    return false;
  if (Request.count(http::field::transfer_encoding) == 0)
    return true;
  return Request.count(http::field::transfer_encoding) == 1 &&
         beast::iequals(Request[http::field::transfer_encoding], "chunked");
}

/// One client connection. Requests on it are processed one at a time.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<ServerState> Server)
      : Stream(std::move(Socket)), Server(std::move(Server)) {
    this->Server->Sessions.insert(this);
  }
  ~Session() { Server->Sessions.erase(this); }
  Session(const Session &) = delete;
  Session &operator=(const Session &) = delete;

  void readHeader();
  void reply(HttpAnswer Answer);
  void onDisconnect(std::function<void()> Function) {
    OnDisconnect = std::move(Function);
  }
  HttpRequest &request() { return Request; }
  std::uint64_t serial() const { return Serial; }

  /// Closes the connection if no request has been in progress for
  /// DrainIdleTimeout.
  void closeIfIdle() {
    if (IsIdle && Monotonic.now() - IdleSince >= DrainIdleTimeout)
      close();
  }

  void close() {
    ErrorCodeT Ignored;
    Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
    Stream.close();
  }

private:
  class Exchange;

  void readRestOfHeader();
  void onHeader(ErrorCodeT EC);
  void onBody(ErrorCodeT EC);
  void refuse(ErrorCodeT EC);
  void watchForClose();
  void checkForClose();

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response<SharedBytesBody>> Response;
  HttpRequest Request;
  std::shared_ptr<ServerState> Server;
  std::function<void()> OnDisconnect;
  /// Sequence number of the current request on the connection.
  std::uint64_t Serial = 0;
  SteadyClock Monotonic;
  Time IdleSince;
  bool IsIdle = true;
  bool AwaitsReply = false;
  bool KeepAlive = true;
  bool IsHead = false;
};

/// The handler's view of one request of a session.
class Session::Exchange final : public HttpExchange {
public:
  explicit Exchange(std::shared_ptr<Session> Owner)
      : Owner(std::move(Owner)), Serial(this->Owner->serial()) {}

  HttpRequest &request() override { return Owner->request(); }

  void reply(HttpAnswer Answer) override {
    // A late second reply must not be sent for the next request.
    if (Owner->serial() == Serial)
      Owner->reply(std::move(Answer));
  }

  void onDisconnect(std::function<void()> Function) override {
    Owner->onDisconnect(std::move(Function));
  }

private:
  std::shared_ptr<Session> Owner;
  std::uint64_t Serial;
};

void Session::readHeader() {
  IsIdle = true;
  IdleSince = Monotonic.now();
  Parser.emplace();
  IsHead = false;
  Parser->header_limit(Server->Settings.Limits.MaxHeaderBytes);
  Parser->body_limit(Server->Settings.Limits.MaxBodyBytes);
  // Part of a pipelined request was received already.
  if (Buffer.size() != 0)
    return readRestOfHeader();
  Stream.expires_after(toChrono(Server->Settings.Limits.IdleTimeout));
  Stream.async_read_some(
      Buffer.prepare(FirstReadBytes),
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t Count) {
        if (EC)
          return Self->close();
        Self->Buffer.commit(Count);
        Self->readRestOfHeader();
      });
}

void Session::readRestOfHeader() {
  IsIdle = false;
  Stream.expires_after(toChrono(Server->Settings.Limits.HeaderTimeout));
  http::async_read_header(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t) {
        Self->onHeader(EC);
      });
}

void Session::onHeader(ErrorCodeT EC) {
  if (EC)
    return refuse(EC);
  IsHead = Parser->get().method() == http::verb::head;
  if (!isWellFramed(Parser->get()))
    return refuse(http::error::bad_transfer_encoding);
  Stream.expires_after(toChrono(Server->Settings.RequestTimeout));
  if (beast::iequals(Parser->get()[http::field::expect], "100-continue")) {
    // The result is ignored: a failed write makes the next read fail.
    ErrorCodeT Ignored;
    asio::write(Stream.socket(),
                asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), Ignored);
  }
  http::async_read(Stream, Buffer, *Parser,
                   [Self = shared_from_this()](ErrorCodeT BodyEC, std::size_t) {
                     Self->onBody(BodyEC);
                   });
}

void Session::onBody(ErrorCodeT EC) {
  if (EC)
    return refuse(EC);
  KeepAlive = Parser->get().keep_alive();
  Request = toRequest(Parser->release());
  ++Serial;
  AwaitsReply = true;
  OnDisconnect = nullptr;
  Stream.expires_never();
  watchForClose();
  Server->Handle(std::make_shared<Exchange>(shared_from_this()));
}

void Session::refuse(ErrorCodeT EC) {
  if (!isProtocolError(EC))
    return close();
  // The rest of the stream cannot be parsed reliably, so the connection is
  // closed.
  KeepAlive = false;
  AwaitsReply = true;
  reply(Server->Refuse(refusalReason(EC)));
}

void Session::watchForClose() {
  Stream.socket().async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this(), Watched = Serial](ErrorCodeT EC) {
        if (!EC && Self->AwaitsReply && Self->Serial == Watched)
          Self->checkForClose();
      });
}

void Session::checkForClose() {
  char Byte = 0;
  ErrorCodeT EC;
  Stream.socket().non_blocking(true, EC);
  std::size_t Count = Stream.socket().receive(asio::buffer(&Byte, 1),
                                              Tcp::socket::message_peek, EC);
  // Available bytes are a pipelined request, which is read after the response.
  if (Count > 0 || EC == asio::error::would_block)
    return;
  AwaitsReply = false;
  if (OnDisconnect)
    std::exchange(OnDisconnect, nullptr)();
  close();
}

void Session::reply(HttpAnswer Answer) {
  if (!AwaitsReply)
    return;
  AwaitsReply = false;
  OnDisconnect = nullptr;
  KeepAlive = KeepAlive && !Server->Draining;
  Response.emplace(fromAnswer(std::move(Answer), KeepAlive, IsHead));
  Stream.expires_after(toChrono(Server->Settings.RequestTimeout));
  http::async_write(Stream, *Response,
                    [Self = shared_from_this()](ErrorCodeT EC, std::size_t) {
                      if (EC || !Self->KeepAlive)
                        return Self->close();
                      Self->readHeader();
                    });
}

class HttpServerImpl final : public HttpServer {
public:
  HttpServerImpl(EventLoop &Loop, std::shared_ptr<ServerState> Server)
      : State(std::move(Server)), Acceptor(contextOf(Loop)),
        SweepTimer(contextOf(Loop)) {}
  ~HttpServerImpl() override { close(); }

  ErrorCodeT listen(const Tcp::endpoint &Address) {
    ErrorCodeT EC = listenOn(Acceptor, Address);
    if (!EC)
      accept();
    return EC;
  }

  void drain() override {
    State->Draining = true;
    sweep();
  }

  void stopListening() override {
    ErrorCodeT EC;
    Acceptor.cancel(EC);
    Acceptor.non_blocking(true, EC);
    while (!EC) {
      Tcp::socket Socket(Acceptor.get_executor());
      Acceptor.accept(Socket, EC);
      if (!EC)
        admit(std::move(Socket));
    }
    Acceptor.close(EC);
  }

  void close() override {
    ErrorCodeT Ignored;
    Acceptor.close(Ignored);
    for (Session *S : std::unordered_set<Session *>(State->Sessions))
      S->close();
  }

  void setLimits(const HttpLimits &Limits) override {
    State->Settings.Limits = Limits;
  }

  std::size_t connectionCount() const override {
    return State->Sessions.size();
  }
  std::uint16_t port() const override {
    ErrorCodeT Ignored;
    return Acceptor.local_endpoint(Ignored).port();
  }

private:
  void sweep() {
    for (Session *S : std::unordered_set<Session *>(State->Sessions))
      S->closeIfIdle();
    SweepTimer.expires_after(toChrono(SweepInterval));
    SweepTimer.async_wait([this](ErrorCodeT EC) {
      if (!EC)
        sweep();
    });
  }

  void accept() {
    Acceptor.async_accept([this](ErrorCodeT EC, Tcp::socket Socket) {
      if (EC == asio::error::operation_aborted)
        return;
      if (!EC)
        admit(std::move(Socket));
      accept();
    });
  }

  void admit(Tcp::socket Socket) {
    // Closing the connection at once is the only refusal that needs no further
    // memory.
    if (State->Sessions.size() >= State->Settings.MaxConnections)
      return;
    configureSocket(Socket);
    std::make_shared<Session>(std::move(Socket), State)->readHeader();
  }

  std::shared_ptr<ServerState> State;
  Tcp::acceptor Acceptor;
  asio::steady_timer SweepTimer;
};

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, HttpServerSettings Settings, Handler Handle,
                   RefusalHandler Refuse) {
  Endpoint Listen = Settings.Listen;
  std::optional<Tcp::endpoint> Address = toTcp(Listen);
  if (!Address)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Listen.Address + "' is not an IP address");
  auto Server = std::make_shared<ServerState>();
  Server->Settings = std::move(Settings);
  Server->Handle = std::move(Handle);
  Server->Refuse = std::move(Refuse);
  auto Created = std::make_unique<HttpServerImpl>(Loop, std::move(Server));
  if (ErrorCodeT EC = Created->listen(*Address))
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Listen) + ": " +
                                                 EC.message());
  return std::unique_ptr<HttpServer>(std::move(Created));
}

} // namespace teaselhitch
