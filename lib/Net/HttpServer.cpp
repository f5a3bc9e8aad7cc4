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

/// What sessions share; outlives the server while sessions finish.
struct ServerState {
  HttpServerSettings Settings;
  HttpServer::Handler Handle;
  HttpServer::Refusal Refuse;
  std::unordered_set<Session *> Sessions;
  bool Draining = false;
};

/// While draining, a connection closes after this time without a request. A
/// client that has just opened one is about to send its request.
constexpr Duration MinIdle = Duration(500);
constexpr Duration SweepInterval = Duration(100);
/// Most headers arrive whole with the first read.
constexpr std::size_t FirstReadBytes = 4096;

/// The reason for which a request that does not parse is refused.
Reason reasonFor(ErrorCodeT Fault) {
  if (Fault == http::error::body_limit)
    return Reason::BodyTooLarge;
  if (Fault == http::error::header_limit)
    return Reason::HeaderTooLarge;
  return Reason::BadRequest;
}

bool isProtocolFault(ErrorCodeT Fault) {
  return Fault.category() ==
             http::make_error_code(http::error::body_limit).category() &&
         Fault != http::error::end_of_stream &&
         Fault != http::error::partial_message;
}

/// False for a request whose end cannot be told for certain, so that what
/// follows could be taken for a request of its own, and for one without the
/// `Host` that HTTP/1.1 demands.
bool isWellFramed(const http::request<http::string_body> &Request) {
  constexpr unsigned Http11 = 11;
  if (Request.version() >= Http11 && Request.count(http::field::host) != 1)
    return false;
  if (Request.count(http::field::transfer_encoding) == 0)
    return true;
  return Request.count(http::field::transfer_encoding) == 1 &&
         beast::iequals(Request[http::field::transfer_encoding], "chunked");
}

/// One connection. Requests are answered one after the other.
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
  void onGone(std::function<void()> Function) { Gone = std::move(Function); }
  HttpRequest &request() { return Request; }
  std::uint64_t serial() const { return Serial; }

  /// Closes the connection if no request has been in progress for MinIdle.
  void closeIfIdle() {
    if (IsIdle && Wall.now() - IdleSince >= MinIdle)
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
  void onHeader(ErrorCodeT Fault);
  void onBody(ErrorCodeT Fault);
  void refuse(ErrorCodeT Fault);
  void watchForClose();
  void checkForClose();

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::optional<http::request_parser<http::string_body>> Parser;
  std::optional<http::response<http::string_body>> Response;
  HttpRequest Request;
  std::shared_ptr<ServerState> Server;
  std::function<void()> Gone;
  /// Numbers the requests of the connection.
  std::uint64_t Serial = 0;
  SteadyClock Wall;
  Time IdleSince;
  bool IsIdle = true;
  bool Awaiting = false;
  bool KeepAlive = true;
};

/// Gives a handler access to the request of a session.
class Session::Exchange final : public HttpExchange {
public:
  explicit Exchange(std::shared_ptr<Session> Owner)
      : Owner(std::move(Owner)), Serial(this->Owner->serial()) {}

  HttpRequest &request() override { return Owner->request(); }

  void reply(HttpAnswer Answer) override {
    // A late second reply must not answer the next request.
    if (Owner->serial() == Serial)
      Owner->reply(std::move(Answer));
  }

  void onGone(std::function<void()> Function) override {
    Owner->onGone(std::move(Function));
  }

private:
  std::shared_ptr<Session> Owner;
  std::uint64_t Serial;
};

void Session::readHeader() {
  IsIdle = true;
  IdleSince = Wall.now();
  Parser.emplace();
  Parser->header_limit(Server->Settings.Limits.MaxHeaderBytes);
  Parser->body_limit(Server->Settings.Limits.MaxBodyBytes);
  // A pipelined request has begun already.
  if (Buffer.size() != 0)
    return readRestOfHeader();
  Stream.expires_after(toChrono(Server->Settings.Limits.IdleTimeout));
  Stream.async_read_some(
      Buffer.prepare(FirstReadBytes),
      [Self = shared_from_this()](ErrorCodeT Fault, std::size_t Count) {
        if (Fault)
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
      [Self = shared_from_this()](ErrorCodeT Fault, std::size_t) {
        Self->onHeader(Fault);
      });
}

void Session::onHeader(ErrorCodeT Fault) {
  if (Fault)
    return refuse(Fault);
  if (!isWellFramed(Parser->get()))
    return refuse(http::error::bad_transfer_encoding);
  Stream.expires_after(toChrono(Server->Settings.RequestTimeout));
  if (beast::iequals(Parser->get()[http::field::expect], "100-continue")) {
    // Sent without waiting for the result; a failure shows at the next read.
    ErrorCodeT Ignored;
    asio::write(Stream.socket(),
                asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), Ignored);
  }
  http::async_read(
      Stream, Buffer, *Parser,
      [Self = shared_from_this()](ErrorCodeT BodyFault, std::size_t) {
        Self->onBody(BodyFault);
      });
}

void Session::onBody(ErrorCodeT Fault) {
  if (Fault)
    return refuse(Fault);
  KeepAlive = Parser->get().keep_alive();
  Request = toRequest(Parser->release());
  ++Serial;
  Awaiting = true;
  Gone = nullptr;
  Stream.expires_never();
  watchForClose();
  Server->Handle(std::make_shared<Exchange>(shared_from_this()));
}

void Session::refuse(ErrorCodeT Fault) {
  if (!isProtocolFault(Fault))
    return close();
  // The rest of the stream cannot be trusted, so the connection closes.
  KeepAlive = false;
  Awaiting = true;
  reply(Server->Refuse(reasonFor(Fault)));
}

void Session::watchForClose() {
  Stream.socket().async_wait(
      Tcp::socket::wait_read,
      [Self = shared_from_this(), Watched = Serial](ErrorCodeT Fault) {
        if (!Fault && Self->Awaiting && Self->Serial == Watched)
          Self->checkForClose();
      });
}

void Session::checkForClose() {
  char Byte = 0;
  ErrorCodeT Fault;
  Stream.socket().non_blocking(true, Fault);
  std::size_t Count = Stream.socket().receive(asio::buffer(&Byte, 1),
                                              Tcp::socket::message_peek, Fault);
  // More bytes are a pipelined request, which is read after this one.
  if (Count > 0 || Fault == asio::error::would_block)
    return;
  Awaiting = false;
  if (Gone)
    std::exchange(Gone, nullptr)();
  close();
}

void Session::reply(HttpAnswer Answer) {
  if (!Awaiting)
    return;
  Awaiting = false;
  Gone = nullptr;
  KeepAlive = KeepAlive && !Server->Draining;
  Response.emplace(fromAnswer(std::move(Answer), KeepAlive));
  Stream.expires_after(toChrono(Server->Settings.RequestTimeout));
  http::async_write(Stream, *Response,
                    [Self = shared_from_this()](ErrorCodeT Fault, std::size_t) {
                      if (Fault || !Self->KeepAlive)
                        return Self->close();
                      Self->readHeader();
                    });
}

class HttpServerImpl final : public HttpServer {
public:
  HttpServerImpl(EventLoop &Loop, std::shared_ptr<ServerState> Server)
      : State(std::move(Server)), Acceptor(contextOf(Loop)),
        Sweep(contextOf(Loop)) {}
  ~HttpServerImpl() override { close(); }

  ErrorCodeT listen(const Tcp::endpoint &Address) {
    ErrorCodeT Fault = listenOn(Acceptor, Address);
    if (!Fault)
      accept();
    return Fault;
  }

  void drain() override {
    State->Draining = true;
    sweep();
  }

  void stopListening() override {
    ErrorCodeT Fault;
    Acceptor.cancel(Fault);
    Acceptor.non_blocking(true, Fault);
    while (!Fault) {
      Tcp::socket Socket(Acceptor.get_executor());
      Acceptor.accept(Socket, Fault);
      if (!Fault)
        admit(std::move(Socket));
    }
    Acceptor.close(Fault);
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
    Sweep.expires_after(toChrono(SweepInterval));
    Sweep.async_wait([this](ErrorCodeT Fault) {
      if (!Fault)
        sweep();
    });
  }

  void accept() {
    Acceptor.async_accept([this](ErrorCodeT Fault, Tcp::socket Socket) {
      if (Fault == asio::error::operation_aborted)
        return;
      if (!Fault)
        admit(std::move(Socket));
      accept();
    });
  }

  void admit(Tcp::socket Socket) {
    // Closing at once is the only refusal that costs no further memory.
    if (State->Sessions.size() >= State->Settings.MaxConnections)
      return;
    configureSocket(Socket);
    std::make_shared<Session>(std::move(Socket), State)->readHeader();
  }

  std::shared_ptr<ServerState> State;
  Tcp::acceptor Acceptor;
  asio::steady_timer Sweep;
};

} // namespace

Result<std::unique_ptr<HttpServer>>
HttpServer::create(EventLoop &Loop, HttpServerSettings Settings, Handler Handle,
                   Refusal Refuse) {
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
  if (ErrorCodeT Fault = Created->listen(*Address))
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Listen) + ": " +
                                                 Fault.message());
  return std::unique_ptr<HttpServer>(std::move(Created));
}

} // namespace teaselhitch
