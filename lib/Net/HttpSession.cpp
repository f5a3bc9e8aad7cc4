#include "HttpSession.h"

#include <boost/beast/http/write.hpp>

namespace teaselhitch {

namespace {

/// While the server drains, a connection is closed after this time without a
/// request. It is not closed at once, because a client that has just connected
/// is about to send its request.
constexpr Duration DrainIdleTimeout = Duration(500);

} // namespace

/// The handler's view of one request of a session.
class HttpSession::Exchange final : public HttpExchange {
public:
  Exchange(std::shared_ptr<HttpSession> Owner, RequestPipeline::Ready Ready)
      : Owner(std::move(Owner)), Ready(std::move(Ready)) {}

  HttpRequest &request() override { return Ready.Request; }

  void reply(HttpAnswer Answer) override {
    Owner->reply(Ready.Serial, std::move(Answer));
  }

  void onDisconnect(std::function<void()> Function) override {
    Owner->Pipeline.onDisconnect(Ready.Serial, std::move(Function));
  }

  bool hasEarlierRequests() const override {
    return Owner->Pipeline.hasEarlier(Ready.Serial);
  }

  void defer() override {
    Owner->Pipeline.defer(Ready.Serial, std::move(Ready.Request));
  }

  void holdLaterRequests() override { Owner->Pipeline.holdLater(Ready.Serial); }

  Duration waited() const override {
    return Owner->Monotonic.now() - Ready.ReceivedAt;
  }

private:
  std::shared_ptr<HttpSession> Owner;
  RequestPipeline::Ready Ready;
};

HttpSession::HttpSession(Tcp::socket Socket,
                         std::shared_ptr<HttpServerState> Server)
    : Stream(std::move(Socket)), Server(std::move(Server)),
      Pipeline(this->Server->Settings.MaxPipelinedRequests) {
  this->Server->Sessions.insert(this);
}

HttpSession::~HttpSession() {
  Server->Sessions.erase(this);
  if (WatchedSocket >= 0)
    Server->Hangups.forget(WatchedSocket);
}

void HttpSession::closeIfIdle() {
  bool IsIdle =
      Pipeline.isEmpty() && Reader.phase() == RequestReader::Phase::Idle;
  if (IsIdle && Monotonic.now() - IdleSince >= DrainIdleTimeout)
    close();
}

void HttpSession::close() {
  IsClosed = true;
  if (WatchedSocket >= 0)
    Server->Hangups.forget(std::exchange(WatchedSocket, -1));
  ErrorCodeT Ignored;
  Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
  Stream.close();
}

void HttpSession::abort() {
  if (IsClosed)
    return;
  close();
  for (const std::function<void()> &Function : Pipeline.cancel())
    Function();
}

void HttpSession::advance() {
  while (!IsClosed) {
    while (std::optional<RequestPipeline::Ready> Ready = Pipeline.takeReady())
      handOver(std::move(*Ready));
    if (IsClosed || !Pipeline.canAdd() || !parseNext())
      break;
  }
  if (IsClosed)
    return;
  writeNext();
  waitForInput();
}

bool HttpSession::parseNext() {
  Reader.setLimits(Server->Settings.Limits);
  switch (Reader.parse()) {
  case RequestReader::Result::NeedsMore:
    return false;
  case RequestReader::Result::HeaderComplete:
    AwaitsContinue = Reader.expectsContinue();
    if (AwaitsContinue && Pipeline.isEmpty())
      sendContinue();
    return true;
  case RequestReader::Result::Refused:
    refuse(Reader.refusal());
    return true;
  case RequestReader::Result::Complete:
    break;
  }
  AwaitsContinue = false;
  ReceivedRequest Received;
  Received.IsHead = Reader.isHead();
  Received.KeepAlive = Reader.keepAlive();
  Received.ReceivedAt = Monotonic.now();
  Received.Request = Reader.take();
  Pipeline.add(std::move(Received));
  return true;
}

void HttpSession::handOver(RequestPipeline::Ready Ready) {
  Server->Handle(
      std::make_shared<Exchange>(shared_from_this(), std::move(Ready)));
}

void HttpSession::refuse(Reason Cause) {
  // The rest of the stream cannot be parsed reliably, so the connection is
  // closed.
  Pipeline.addAnswered(Server->Refuse(Cause), Reader.isHead(),
                       /*KeepAlive=*/false);
}

void HttpSession::reply(std::uint64_t Serial, HttpAnswer Answer) {
  if (!IsClosed && Pipeline.answer(Serial, std::move(Answer)))
    writeNext();
}

void HttpSession::writeNext() {
  std::optional<PendingResponse> Next = Pipeline.startWriting(Server->Draining);
  if (!Next)
    return;
  bool KeepAlive = Next->KeepAlive;
  Response.emplace(
      fromAnswer(std::move(Next->Answer), KeepAlive, Next->IsHead));
  TimedPhase.reset();
  Stream.expires_after(toChrono(Server->Settings.RequestTimeout));
  http::async_write(
      Stream, *Response,
      [Self = shared_from_this(), KeepAlive](ErrorCodeT EC, std::size_t) {
        Self->onWritten(EC, KeepAlive);
      });
}

void HttpSession::onWritten(ErrorCodeT EC, bool KeepAlive) {
  Response.reset();
  if (IsClosed)
    return;
  Pipeline.finishWriting();
  // What follows a response that closes the connection is not answered.
  if (EC || !KeepAlive)
    return abort();
  advance();
}

void HttpSession::waitForInput() {
  if (!Pipeline.isEmpty())
    return watch();
  if (AwaitsContinue)
    sendContinue();
  readWithTimeout();
}

void HttpSession::sendContinue() {
  AwaitsContinue = false;
  // The result is ignored: a failed write makes the next read fail.
  ErrorCodeT Ignored;
  asio::write(Stream.socket(),
              asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), Ignored);
}

Duration HttpSession::phaseTimeout() const {
  switch (Reader.phase()) {
  case RequestReader::Phase::Idle:
    return Server->Settings.Limits.IdleTimeout;
  case RequestReader::Phase::Header:
    return Server->Settings.Limits.HeaderTimeout;
  case RequestReader::Phase::Body:
    break;
  }
  return Server->Settings.RequestTimeout;
}

void HttpSession::readWithTimeout() {
  if (IsReading)
    return;
  RequestReader::Phase Phase = Reader.phase();
  if (TimedPhase != Phase) {
    TimedPhase = Phase;
    IdleSince = Monotonic.now();
    Stream.expires_after(toChrono(phaseTimeout()));
  }
  IsReading = true;
  HasUnreadBytes = false;
  Stream.async_read_some(
      Reader.prepare(),
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t Count) {
        Self->IsReading = false;
        if (EC)
          return Self->close();
        Self->Reader.commit(Count);
        Self->advance();
      });
}

void HttpSession::watch() {
  // If the only request is answered, there is nothing to cancel.
  if (IsWatching || (HasUnreadBytes && !mayReceive()) ||
      (Pipeline.isWriting() && Pipeline.size() == 1))
    return;
  IsWatching = true;
  Stream.socket().async_wait(
      Tcp::socket::wait_read, [Self = shared_from_this()](ErrorCodeT EC) {
        Self->IsWatching = false;
        if (!EC && !Self->IsClosed && !Self->Pipeline.isEmpty())
          Self->onReadable();
      });
}

bool HttpSession::mayReceive() const {
  return Pipeline.canAdd() && !Server->Draining;
}

void HttpSession::setNonBlocking() {
  ErrorCodeT Ignored;
  if (!Stream.socket().non_blocking())
    Stream.socket().non_blocking(true, Ignored);
}

void HttpSession::onReadable() {
  if (!mayReceive())
    return checkForClose();
  setNonBlocking();
  ErrorCodeT EC;
  std::size_t Count = Stream.socket().receive(Reader.prepare(), 0, EC);
  HasUnreadBytes = false;
  if (EC == asio::error::would_block)
    return watch();
  if (EC)
    return abort();
  AwaitsContinue = false;
  Reader.commit(Count);
  advance();
}

void HttpSession::checkForClose() {
  // A caller that has closed its side may still read what is answered already.
  if (!Pipeline.hasUnanswered())
    return;
  setNonBlocking();
  char Byte = 0;
  ErrorCodeT EC;
  Stream.socket().receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek,
                          EC);
  if (EC == asio::error::would_block)
    return watch();
  if (EC)
    return abort();
  HasUnreadBytes = true;
  WatchedSocket = Stream.socket().native_handle();
  Server->Hangups.watch(WatchedSocket, [this] {
    if (Pipeline.hasUnanswered())
      abort();
  });
}

} // namespace teaselhitch
