#include "teaselhitch/Net/BackendClient.h"

#include "Asio.h"
#include "Http.h"
#include "IdleLimits.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <vector>

namespace teaselhitch {

namespace beast = boost::beast;

namespace {

constexpr Duration ConnectTimeout = Duration::seconds(1);
/// How long a fresh connection must last to show that the server works. When a
/// process ends, its connections can close a little before its listening
/// socket; a connection that is made between the two is reset at once.
constexpr Duration CheckTime = Duration(250);
/// Part of the idle timeout that a server states which is used.
constexpr double KeepAliveShare = 0.8;
/// A server may drop an idle connection without a sign; a request that is then
/// sent on it may have run. Most connections under load are idle for less.
constexpr Duration FreshIdle = Duration::seconds(3);
/// Idle connections kept for one backend server.
constexpr std::size_t MaxIdle = 16;

/// The idle time that a `Keep-Alive` header allows, e.g. "timeout=5".
Duration idleTime(const std::string &KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  std::size_t Start = KeepAlive.find(Key);
  if (Start == std::string::npos)
    return UsualIdleLimit;
  double Seconds = 0;
  const char *First = KeepAlive.data() + Start + Key.size();
  std::from_chars(First, KeepAlive.data() + KeepAlive.size(), Seconds);
  return std::min(UsualIdleLimit, Duration::seconds(Seconds * KeepAliveShare));
}

/// A connection to a backend server.
struct Connection {
  explicit Connection(asio::io_context &Context) : Stream(Context) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  Time IdleSince;
  /// How long it may lie idle.
  Duration MaxIdleTime = UsualIdleLimit;
  /// Set while the connection lies idle in the pool.
  bool IsIdle = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class BackendClientImpl;

/// One attempt on its connection.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(BackendClientImpl &Client, const AttemptId &Attempt,
           const Endpoint &Server, HttpRequest &&Request)
      : Client(Client), Attempt(Attempt), Server(Server),
        IsHead(Request.Method == "HEAD"), Headers(Request.Headers),
        Message(fromRequest(std::move(Request), toString(Server))) {}

  void run(ConnectionPtr Reused);
  void abort();

private:
  void connect();
  void write();
  void read();
  void onRead(ErrorCodeT Fault);
  void finishAs(AnswerKind Kind, HttpAnswer Answer);
  void endLost();
  void checkServer();
  void checkLasts();
  void end(RunEnd How, HttpAnswer Answer = HttpAnswer());

  BackendClientImpl &Client;
  AttemptId Attempt;
  Endpoint Server;
  bool IsHead;
  /// As sent, to compare with the answer.
  HeaderList Headers;
  http::request<http::string_body> Message;
  std::optional<http::response_parser<http::string_body>> Parser;
  ConnectionPtr Link;
  std::unique_ptr<beast::tcp_stream> Check;
  char CheckByte = 0;
  Time SentAt;
  /// How long the connection had rested, if it was used before.
  std::optional<Duration> RestedFor;
  /// The whole request was sent.
  bool IsWritten = false;
  /// An answer to another request came on the connection.
  bool IsTainted = false;
  bool Ended = false;
};

class BackendClientImpl final : public BackendClient {
public:
  BackendClientImpl(EventLoop &Loop, std::uint64_t MaxAnswerBytes,
                    const BackendProtocol &Protocol, Done OnDone)
      : Context(contextOf(Loop)), MaxAnswerBytes(MaxAnswerBytes),
        Protocol(Protocol), OnDone(std::move(OnDone)) {}

  void start(const AttemptId &Attempt, const Endpoint &Server,
             HttpRequest Request, bool Idempotent) override {
    auto E =
        std::make_shared<Exchange>(*this, Attempt, Server, std::move(Request));
    Running.emplace(Attempt, E);
    E->run(takeIdle(Server, Idempotent));
  }

  void abort(const AttemptId &Attempt) override {
    auto It = Running.find(Attempt);
    if (It != Running.end())
      It->second->abort();
  }

  void closeIdle() override {
    Time Now = Wall.now();
    for (auto &[Server, Idle] : Pool)
      std::erase_if(Idle, [&](const ConnectionPtr &C) {
        return Now - C->IdleSince > C->MaxIdleTime;
      });
    std::erase_if(Pool, [](const auto &Item) { return Item.second.empty(); });
    Limits.prune(Now);
  }

  void finished(const AttemptId &Attempt, const RunResult &Result,
                HttpAnswer Answer) {
    Running.erase(Attempt);
    OnDone(Attempt, Result, std::move(Answer));
  }

  /// A reused connection was lost although the server works.
  void lostAfterRest(const Endpoint &Server, Duration Rested) {
    Limits.lostAfterRest(Server, Rested, Wall.now());
  }

  void keepIdle(const Endpoint &Server, ConnectionPtr C) {
    std::vector<ConnectionPtr> &Idle = Pool[Server];
    if (Idle.size() >= MaxIdle)
      return;
    C->IdleSince = Wall.now();
    C->IsIdle = true;
    C->Stream.expires_never();
    watch(Server, C);
    Idle.push_back(std::move(C));
  }

  asio::io_context &Context;
  std::uint64_t MaxAnswerBytes;
  const BackendProtocol &Protocol;
  SteadyClock Wall;

private:
  /// The connection that was used last.
  ConnectionPtr takeIdle(const Endpoint &Server, bool Idempotent) {
    auto It = Pool.find(Server);
    if (It == Pool.end() || It->second.empty())
      return nullptr;
    ConnectionPtr &Last = It->second.back();
    Time Now = Wall.now();
    Duration Limit = std::min(Last->MaxIdleTime, Limits.limit(Server, Now));
    if (!Idempotent)
      Limit = std::min(Limit, FreshIdle);
    if (Now - Last->IdleSince > Limit || hasBytes(*Last))
      return nullptr;
    ConnectionPtr C = std::move(Last);
    It->second.pop_back();
    C->IsIdle = false;
    return C;
  }

  /// Bytes on an idle connection belong to no request; its end shows as well.
  static bool hasBytes(Connection &C) {
    char Byte = 0;
    ErrorCodeT Fault;
    C.Stream.socket().non_blocking(true, Fault);
    std::size_t Count = C.Stream.socket().receive(
        asio::buffer(&Byte, 1), Tcp::socket::message_peek, Fault);
    return Count > 0 || Fault != asio::error::would_block;
  }

  /// Drops an idle connection that the server closes, so that no request is
  /// sent on it.
  void watch(const Endpoint &Server, const ConnectionPtr &C) {
    C->Stream.socket().async_wait(
        Tcp::socket::wait_read,
        [this, Server, Weak = std::weak_ptr<Connection>(C)](ErrorCodeT) {
          ConnectionPtr Closed = Weak.lock();
          if (!Closed || !Closed->IsIdle)
            return;
          auto It = Pool.find(Server);
          if (It != Pool.end())
            std::erase(It->second, Closed);
        });
  }

  Done OnDone;
  IdleLimits Limits;
  std::map<AttemptId, std::shared_ptr<Exchange>> Running;
  std::map<Endpoint, std::vector<ConnectionPtr>> Pool;
};

void Exchange::run(ConnectionPtr Reused) {
  if (Reused) {
    Link = std::move(Reused);
    RestedFor = Client.Wall.now() - Link->IdleSince;
    return write();
  }
  connect();
}

void Exchange::connect() {
  Link = std::make_shared<Connection>(Client.Context);
  std::optional<Tcp::endpoint> Address = toTcp(Server);
  if (!Address) {
    asio::post(Client.Context, [Self = shared_from_this()] {
      Self->end(RunEnd::ConnectFailed);
    });
    return;
  }
  Link->Stream.expires_after(toChrono(ConnectTimeout));
  Link->Stream.async_connect(*Address,
                             [Self = shared_from_this()](ErrorCodeT Fault) {
                               if (Self->Ended)
                                 return;
                               if (Fault)
                                 return Self->end(RunEnd::ConnectFailed);
                               configureSocket(Self->Link->Stream.socket());
                               Self->write();
                             });
}

void Exchange::write() {
  SentAt = Client.Wall.now();
  Link->Stream.expires_never();
  // The answer is read at once: a server may answer before it has read a long
  // body.
  read();
  http::async_write(
      Link->Stream, Message,
      [Self = shared_from_this(), Used = Link](ErrorCodeT Fault, std::size_t) {
        Self->IsWritten = !Fault;
      });
}

void Exchange::read() {
  Parser.emplace();
  Parser->body_limit(Client.MaxAnswerBytes);
  Parser->skip(IsHead);
  http::async_read(Link->Stream, Link->Buffer, *Parser,
                   [Self = shared_from_this(), Used = Link](
                       ErrorCodeT Fault, std::size_t) { Self->onRead(Fault); });
}

void Exchange::onRead(ErrorCodeT Fault) {
  if (Ended)
    return;
  if (Fault == http::error::body_limit)
    return end(RunEnd::TooLarge);
  // Other statuses have no meaning in HTTP and do not fit a frame.
  constexpr unsigned FirstStatus = 100, LastStatus = 599;
  // A server that has begun to answer has not crashed before.
  bool IsSilent = Fault && !Parser->got_some();
  if (IsSilent)
    return checkServer();
  if (Fault || Parser->get().result_int() < FirstStatus ||
      Parser->get().result_int() > LastStatus)
    return endLost();
  constexpr unsigned FirstFinal = 200;
  // An interim answer comes before the one to the request.
  if (Parser->get().result_int() < FirstFinal)
    return read();
  bool Reusable = Parser->get().keep_alive() && !Parser->need_eof();
  std::string KeepAlive(Parser->get()[http::field::keep_alive]);
  HttpAnswer Answer = toAnswer(Parser->release());
  AnswerKind Kind = Client.Protocol.judge(Headers, Answer);
  if (Kind == AnswerKind::Foreign) {
    // A second answer to an earlier request; the own one follows.
    IsTainted = true;
    if (Reusable)
      return read();
    return endLost();
  }
  // Bytes behind the answer belong to no request.
  if (Reusable && IsWritten && !IsTainted && Link->Buffer.size() == 0 &&
      Kind != AnswerKind::OtherServer) {
    Link->MaxIdleTime = idleTime(KeepAlive);
    Client.keepIdle(Server, std::move(Link));
  } else {
    Link->Stream.close();
  }
  finishAs(Kind, std::move(Answer));
}

void Exchange::finishAs(AnswerKind Kind, HttpAnswer Answer) {
  switch (Kind) {
  case AnswerKind::Valid:
    return end(RunEnd::Answered, std::move(Answer));
  case AnswerKind::NotRun:
    return end(RunEnd::Shed);
  case AnswerKind::OtherServer:
    return end(RunEnd::OtherServer);
  case AnswerKind::Foreign:
  case AnswerKind::Unproven:
    return end(RunEnd::ConnectionLost);
  }
}

void Exchange::endLost() {
  Link->Stream.close();
  end(RunEnd::ConnectionLost);
}

/// Tells a crash from a lost connection: after a crash nobody listens.
void Exchange::checkServer() {
  Link->Stream.close();
  Check = std::make_unique<beast::tcp_stream>(Client.Context);
  Check->expires_after(toChrono(ConnectTimeout));
  Check->async_connect(
      *toTcp(Server), [Self = shared_from_this()](ErrorCodeT Fault) {
        if (Self->Ended)
          return;
        if (!Fault)
          return Self->checkLasts();
        bool Refused = Fault == asio::error::connection_refused ||
                       Fault == asio::error::connection_reset;
        Self->end(Refused ? RunEnd::Crashed : RunEnd::ConnectionLost);
      });
}

/// A server sends nothing on a connection without a request, so that a fresh
/// connection becomes readable only by its end.
void Exchange::checkLasts() {
  Check->expires_after(toChrono(CheckTime));
  Check->async_read_some(
      asio::buffer(&CheckByte, 1),
      [Self = shared_from_this()](ErrorCodeT Fault, std::size_t) {
        if (Self->Ended)
          return;
        bool Lasts = !Fault || Fault == beast::error::timeout;
        if (Lasts && Self->RestedFor)
          Self->Client.lostAfterRest(Self->Server, *Self->RestedFor);
        Self->end(Lasts ? RunEnd::ConnectionLost : RunEnd::Crashed);
      });
}

void Exchange::abort() {
  if (Ended)
    return;
  asio::post(Client.Context, [Self = shared_from_this()] {
    if (Self->Link)
      Self->Link->Stream.close();
    Self->end(RunEnd::Aborted);
  });
}

void Exchange::end(RunEnd How, HttpAnswer Answer) {
  if (Ended)
    return;
  Ended = true;
  // Keeps this object alive while the client forgets it.
  auto Self = shared_from_this();
  RunResult Result;
  Result.End = How;
  Result.Status = Answer.Status;
  if (SentAt > Time())
    Result.RunTime = Client.Wall.now() - SentAt;
  Client.finished(Attempt, Result, std::move(Answer));
}

} // namespace

std::unique_ptr<BackendClient>
BackendClient::create(EventLoop &Loop, std::uint64_t MaxBytes,
                      const BackendProtocol &Protocol, Done OnDone) {
  return std::make_unique<BackendClientImpl>(Loop, MaxBytes, Protocol,
                                             std::move(OnDone));
}

} // namespace teaselhitch
