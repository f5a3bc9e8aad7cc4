#include "teaselhitch/Net/BackendClient.h"

#include "../Http/ResponseReader.h"
#include "Asio.h"
#include "Http.h"
#include "IdleLimits.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace teaselhitch {

namespace {

constexpr Duration ConnectTimeout = Duration::seconds(1);
/// How long a probe connection must stay open to show that the server works.
/// When a process exits, its connections can close slightly before its
/// listening socket; a connection that is established in between is reset at
/// once.
constexpr Duration ProbeTime = Duration(250);
/// Fraction of the idle timeout announced by a server up to which a connection
/// is reused.
constexpr double KeepAliveFraction = 0.8;
/// Longest idle time of a connection that is reused for a request that is not
/// idempotent. A server may drop an idle connection silently, and whether a
/// request sent on it has run is then unknown. Under load, most connections are
/// idle for a shorter time.
constexpr Duration NonIdempotentIdleLimit = Duration::seconds(3);
/// Maximum number of idle connections kept per backend server.
constexpr std::size_t MaxIdleConnections = 16;
/// Maximum number of refused requests that are remembered for a connection. A
/// connection with more is closed.
constexpr std::size_t MaxRefusedRequests = 64;
/// Maximum number of responses to other requests before the response to a
/// request. A server that sends more is faulty.
constexpr int MaxForeignResponses = 8;

/// The idle limit that follows from a `Keep-Alive` header such as "timeout=5".
Duration keepAliveLimit(const std::string &KeepAlive) {
  constexpr std::string_view Key = "timeout=";
  std::size_t Start = KeepAlive.find(Key);
  if (Start == std::string::npos)
    return DefaultIdleLimit;
  double Seconds = 0;
  const char *First = KeepAlive.data() + Start + Key.size();
  std::from_chars(First, KeepAlive.data() + KeepAlive.size(), Seconds);
  return std::min(DefaultIdleLimit,
                  Duration::seconds(Seconds * KeepAliveFraction));
}

/// A connection to a backend server.
struct Connection {
  explicit Connection(asio::io_context &Context) : Stream(Context) {}

  beast::tcp_stream Stream;
  Time IdleSince;
  /// Longest idle time after which the connection is still reused.
  Duration MaxIdleTime = DefaultIdleLimit;
  /// Requests that the server refused on this connection. A late copy of such
  /// a refusal could not be told from the response to another attempt of the
  /// same request, so none is sent on this connection.
  std::set<RequestId> RefusedRequests;
  /// Set while the connection is in the pool of idle connections.
  bool IsIdle = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

class BackendClientImpl;

/// Sends one attempt on a connection and reads the response.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  Exchange(BackendClientImpl &Client, const AttemptId &Attempt,
           const Endpoint &Server, HttpRequest &&Request);

  void run(ConnectionPtr Reused);
  void abort();
  /// Ends the attempt, because its response does not fit.
  void endTooLarge();
  /// Size of the received part of the body.
  std::uint64_t bodyBytes() const { return CountedBytes; }

private:
  void connect();
  void write();
  /// Reads the next response of the server.
  void read();
  void readSome();
  void onSome(ErrorCodeT EC, std::size_t Count);
  void parse();
  void onResponse();
  /// Counts the received part of the body. Returns false if it does not fit,
  /// also after larger responses have been ended.
  bool reserveBody();
  bool tryReserve(std::uint64_t Bytes);
  void finish(AnswerKind Kind, HttpAnswer Answer);
  void endConnectionLost();
  void probeServer();
  void awaitProbe();
  void end(RunEnd End, HttpAnswer Answer = HttpAnswer());

  BackendClientImpl &Client;
  AttemptId Attempt;
  Endpoint Server;
  /// Request headers as sent; the protocol compares the response with them.
  HeaderList Headers;
  ResponseReader Reader;
  http::request<SharedBytesBody> Message;
  ConnectionPtr Conn;
  std::unique_ptr<beast::tcp_stream> Probe;
  char ProbeByte = 0;
  Time SentAt;
  /// How long a reused connection had been idle; nothing for a new connection.
  std::optional<Duration> ReuseIdleTime;
  /// The request was sent completely.
  bool IsWritten = false;
  /// The request could not be sent completely.
  bool HasWriteFailed = false;
  /// Number of responses to other requests that arrived on the connection.
  int ForeignResponses = 0;
  /// Bytes of the body that are counted in the total of the client.
  std::uint64_t CountedBytes = 0;
  /// Accounts for the body of the response.
  MemoryBudget::Reservation Held;
  bool Ended = false;
};

class BackendClientImpl final : public BackendClient {
public:
  BackendClientImpl(EventLoop &Loop, std::uint64_t MaxAnswerBytes,
                    const BackendProtocol &Protocol,
                    CompletionHandler OnComplete, MemoryBudget *Memory)
      : Context(contextOf(Loop)), MaxAnswerBytes(MaxAnswerBytes),
        Protocol(Protocol), Memory(Memory), OnComplete(std::move(OnComplete)) {}

  void start(const AttemptId &Attempt, const Endpoint &Server,
             HttpRequest Request, bool Idempotent) override {
    auto E =
        std::make_shared<Exchange>(*this, Attempt, Server, std::move(Request));
    Running.emplace(Attempt, E);
    E->run(takeIdle(Server, Attempt.Request, Idempotent));
  }

  void abort(const AttemptId &Attempt) override {
    auto It = Running.find(Attempt);
    if (It != Running.end())
      It->second->abort();
  }

  void closeIdle() override {
    Time Now = Monotonic.now();
    for (auto &[Server, Idle] : Pool)
      std::erase_if(Idle, [&](const ConnectionPtr &C) {
        return Now - C->IdleSince > C->MaxIdleTime;
      });
    std::erase_if(Pool, [](const auto &Item) { return Item.second.empty(); });
    Limits.prune(Now);
  }

  void complete(const AttemptId &Attempt, const RunResult &Result,
                HttpAnswer Answer) {
    Running.erase(Attempt);
    OnComplete(Attempt, Result, std::move(Answer));
  }

  /// Records that a reused connection was lost although the server works.
  void recordIdleLoss(const Endpoint &Server, Duration IdleTime) {
    Limits.recordIdleLoss(Server, IdleTime, Monotonic.now());
  }

  void keepIdle(const Endpoint &Server, ConnectionPtr C) {
    std::vector<ConnectionPtr> &Idle = Pool[Server];
    if (Idle.size() >= MaxIdleConnections ||
        C->RefusedRequests.size() > MaxRefusedRequests)
      return;
    C->IdleSince = Monotonic.now();
    C->IsIdle = true;
    C->Stream.expires_never();
    watch(Server, C);
    Idle.push_back(std::move(C));
  }

  /// Ends the attempt with the largest response that is being received, if it
  /// is larger than this. Returns false if there is none.
  bool endLargerThan(std::uint64_t Bytes) {
    std::shared_ptr<Exchange> Largest;
    for (const auto &[Attempt, E] : Running)
      if (E->bodyBytes() > (Largest ? Largest->bodyBytes() : Bytes))
        Largest = E;
    if (!Largest)
      return false;
    Largest->endTooLarge();
    return true;
  }

  asio::io_context &Context;
  std::uint64_t MaxAnswerBytes;
  /// Bytes of all response bodies that are being received.
  std::uint64_t AnswerBytes = 0;
  const BackendProtocol &Protocol;
  MemoryBudget *Memory;
  SteadyClock Monotonic;

private:
  /// Returns the most recently used idle connection on which the request was
  /// not refused, if it may be reused, else null.
  ConnectionPtr takeIdle(const Endpoint &Server, const RequestId &Request,
                         bool Idempotent) {
    auto It = Pool.find(Server);
    if (It == Pool.end())
      return nullptr;
    std::vector<ConnectionPtr> &Idle = It->second;
    auto Last =
        std::find_if(Idle.rbegin(), Idle.rend(), [&](const ConnectionPtr &C) {
          return C->RefusedRequests.count(Request) == 0;
        });
    if (Last == Idle.rend())
      return nullptr;
    Time Now = Monotonic.now();
    Duration Limit = std::min((*Last)->MaxIdleTime, Limits.limit(Server, Now));
    if (!Idempotent)
      Limit = std::min(Limit, NonIdempotentIdleLimit);
    if (Now - (*Last)->IdleSince > Limit || isReadable(**Last))
      return nullptr;
    ConnectionPtr C = std::move(*Last);
    Idle.erase(std::next(Last).base());
    C->IsIdle = false;
    return C;
  }

  /// True if an idle connection has received bytes, which belong to no request,
  /// or was closed by the server.
  static bool isReadable(Connection &C) {
    char Byte = 0;
    ErrorCodeT EC;
    C.Stream.socket().non_blocking(true, EC);
    std::size_t Count = C.Stream.socket().receive(
        asio::buffer(&Byte, 1), Tcp::socket::message_peek, EC);
    return Count > 0 || EC != asio::error::would_block;
  }

  /// Removes an idle connection from the pool when the server closes it, so
  /// that no request is sent on it.
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

  CompletionHandler OnComplete;
  IdleLimits Limits;
  std::map<AttemptId, std::shared_ptr<Exchange>> Running;
  std::map<Endpoint, std::vector<ConnectionPtr>> Pool;
};

Exchange::Exchange(BackendClientImpl &Client, const AttemptId &Attempt,
                   const Endpoint &Server, HttpRequest &&Request)
    : Client(Client), Attempt(Attempt), Server(Server),
      Headers(Request.Headers),
      Reader(Client.MaxAnswerBytes, Request.Method == "HEAD"),
      Message(fromRequest(std::move(Request), toString(Server))) {}

void Exchange::run(ConnectionPtr Reused) {
  if (Reused) {
    Conn = std::move(Reused);
    ReuseIdleTime = Client.Monotonic.now() - Conn->IdleSince;
    return write();
  }
  connect();
}

void Exchange::connect() {
  Conn = std::make_shared<Connection>(Client.Context);
  std::optional<Tcp::endpoint> Address = toTcp(Server);
  if (!Address) {
    asio::post(Client.Context, [Self = shared_from_this()] {
      Self->end(RunEnd::ConnectFailed);
    });
    return;
  }
  Conn->Stream.expires_after(toChrono(ConnectTimeout));
  Conn->Stream.async_connect(*Address,
                             [Self = shared_from_this()](ErrorCodeT EC) {
                               if (Self->Ended)
                                 return;
                               if (EC)
                                 return Self->end(RunEnd::ConnectFailed);
                               configureSocket(Self->Conn->Stream.socket());
                               Self->write();
                             });
}

void Exchange::write() {
  SentAt = Client.Monotonic.now();
  Conn->Stream.expires_never();
  // Reading starts before the write has finished, because a server may respond
  // before it has read a long body.
  read();
  http::async_write(
      Conn->Stream, Message,
      [Self = shared_from_this(), KeptConn = Conn](ErrorCodeT EC, std::size_t) {
        Self->IsWritten = !EC;
        Self->HasWriteFailed = bool(EC);
      });
}

void Exchange::read() {
  if (Client.Memory)
    Held = Client.Memory->open();
  parse();
}

void Exchange::readSome() {
  Conn->Stream.async_read_some(
      Reader.prepare(),
      [Self = shared_from_this(), KeptConn = Conn](
          ErrorCodeT EC, std::size_t Count) { Self->onSome(EC, Count); });
}

void Exchange::onSome(ErrorCodeT EC, std::size_t Count) {
  if (Ended)
    return;
  if (!EC) {
    Reader.commit(Count);
    return parse();
  }
  // A socket reports a reset only once. If a write has got the error, reads
  // report an ordinary end, which says nothing about the response.
  if (EC == asio::error::eof && !HasWriteFailed && Reader.finish())
    return onResponse();
  // A server may crash before or while it responds.
  probeServer();
}

void Exchange::parse() {
  switch (Reader.parse()) {
  case ResponseReader::Result::NeedsMore:
    return reserveBody() ? readSome() : endTooLarge();
  case ResponseReader::Result::Complete:
    return onResponse();
  case ResponseReader::Result::Malformed:
    return endConnectionLost();
  case ResponseReader::Result::TooLarge:
    return endTooLarge();
  }
}

bool Exchange::reserveBody() {
  std::uint64_t Bytes = Reader.bodyBytes();
  Client.AnswerBytes += Bytes - std::exchange(CountedBytes, Bytes);
  // A faulty server may send bytes without end, or stop within a body. The
  // largest response gives way, so that it does not cost the others theirs.
  while (!tryReserve(Bytes))
    if (!Client.endLargerThan(Bytes))
      return false;
  return true;
}

bool Exchange::tryReserve(std::uint64_t Bytes) {
  // The limit holds for all responses together, because several of them would
  // fill the memory.
  if (Client.AnswerBytes > Client.MaxAnswerBytes)
    return false;
  if (Bytes > MemoryBudget::LargeBytes)
    return Held.resize(Bytes);
  // The slots of the server bound the small responses, and refusing one would
  // lose the result of a request that has run.
  Held.force(Bytes);
  return true;
}

void Exchange::endTooLarge() {
  Conn->Stream.close();
  end(RunEnd::TooLarge);
}

void Exchange::onResponse() {
  bool Reusable = Reader.keepsAlive();
  // The bytes that were received last are in memory already.
  Held.force(Reader.bodyBytes());
  ResponseReader::Response Response = Reader.take();
  std::string KeepAlive(Response[http::field::keep_alive]);
  HttpAnswer Answer = toAnswer(std::move(Response), std::move(Held));
  AnswerKind Kind = Client.Protocol.classify(Headers, Answer);
  if (Kind == AnswerKind::Mismatched) {
    // A duplicate response to an earlier request; the response to this request
    // follows.
    if (Reusable && ++ForeignResponses <= MaxForeignResponses)
      return read();
    return endConnectionLost();
  }
  // On a connection that was used before, a response that names no request may
  // be a copy of an earlier one.
  bool NamesRequest = Client.Protocol.namesRequest(Answer);
  if (ReuseIdleTime && !NamesRequest)
    return endConnectionLost();
  // Bytes after the response belong to no request, so a connection that has
  // received any is not reused.
  if (Reusable && NamesRequest && IsWritten && ForeignResponses == 0 &&
      !Reader.hasUnparsedBytes() && Kind != AnswerKind::OtherServer) {
    Conn->MaxIdleTime = keepAliveLimit(KeepAlive);
    if (Kind == AnswerKind::NotRun)
      Conn->RefusedRequests.insert(Attempt.Request);
    Client.keepIdle(Server, std::move(Conn));
  } else {
    Conn->Stream.close();
  }
  finish(Kind, std::move(Answer));
}

void Exchange::finish(AnswerKind Kind, HttpAnswer Answer) {
  switch (Kind) {
  case AnswerKind::Valid:
    return end(RunEnd::Answered, std::move(Answer));
  case AnswerKind::NotRun:
    return end(RunEnd::Shed);
  case AnswerKind::OtherServer:
    return end(RunEnd::OtherServer);
  case AnswerKind::Mismatched:
  case AnswerKind::Unverified:
    return end(RunEnd::ConnectionLost);
  }
}

void Exchange::endConnectionLost() {
  Conn->Stream.close();
  end(RunEnd::ConnectionLost);
}

/// Distinguishes a crash from a lost connection with a probe connection: after
/// a crash, no process listens on the port.
void Exchange::probeServer() {
  Conn->Stream.close();
  Probe = std::make_unique<beast::tcp_stream>(Client.Context);
  Probe->expires_after(toChrono(ConnectTimeout));
  Probe->async_connect(
      *toTcp(Server), [Self = shared_from_this()](ErrorCodeT EC) {
        if (Self->Ended)
          return;
        if (!EC)
          return Self->awaitProbe();
        bool Refused = EC == asio::error::connection_refused ||
                       EC == asio::error::connection_reset;
        Self->end(Refused ? RunEnd::Crashed : RunEnd::ConnectionLost);
      });
}

/// Waits for ProbeTime to see whether the probe connection stays open. A server
/// sends nothing on a connection without a request, so a new connection becomes
/// readable only when it closes.
void Exchange::awaitProbe() {
  Probe->expires_after(toChrono(ProbeTime));
  Probe->async_read_some(
      asio::buffer(&ProbeByte, 1),
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t) {
        if (Self->Ended)
          return;
        bool StaysOpen = !EC || EC == beast::error::timeout;
        if (StaysOpen && Self->ReuseIdleTime && !Self->Reader.hasBegun())
          Self->Client.recordIdleLoss(Self->Server, *Self->ReuseIdleTime);
        Self->end(StaysOpen ? RunEnd::ConnectionLost : RunEnd::Crashed);
      });
}

void Exchange::abort() {
  if (Ended)
    return;
  asio::post(Client.Context, [Self = shared_from_this()] {
    if (Self->Conn)
      Self->Conn->Stream.close();
    Self->end(RunEnd::Aborted);
  });
}

void Exchange::end(RunEnd End, HttpAnswer Answer) {
  if (Ended)
    return;
  Ended = true;
  Client.AnswerBytes -= std::exchange(CountedBytes, 0);
  Held.release();
  // Keeps this object alive while the client removes its reference.
  auto Self = shared_from_this();
  RunResult Result;
  Result.End = End;
  Result.Status = Answer.Status;
  if (SentAt > Time())
    Result.RunTime = Client.Monotonic.now() - SentAt;
  Client.complete(Attempt, Result, std::move(Answer));
}

} // namespace

std::unique_ptr<BackendClient>
BackendClient::create(EventLoop &Loop, std::uint64_t MaxBytes,
                      const BackendProtocol &Protocol,
                      CompletionHandler OnComplete, MemoryBudget *Memory) {
  return std::make_unique<BackendClientImpl>(Loop, MaxBytes, Protocol,
                                             std::move(OnComplete), Memory);
}

} // namespace teaselhitch
