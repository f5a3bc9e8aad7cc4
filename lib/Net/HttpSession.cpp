#include "HttpSession.h"

#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace teaselhitch {

namespace {

/// While the server drains, a connection is closed after this time without a
/// request. It is not closed at once, because a client that has just connected
/// is about to send its request.
constexpr Duration DrainIdleTimeout = Duration(500);
/// A request makes progress when this much of it has arrived, so that a caller
/// that sends single bytes counts as stalled.
constexpr std::size_t ProgressBytes = 16UL * 1024;
/// A chunked body, whose size is not known, is expected to reach this size at
/// first, and the greatest permitted one after that.
constexpr std::uint64_t FirstChunkedBytes = 1024ULL * 1024;
/// Space for bytes that are read and not parsed yet.
constexpr std::uint64_t UnparsedBytes = 128ULL * 1024;
/// How long input is discarded after the last response. If a socket is closed
/// with unread bytes, the kernel resets the connection, and the caller may lose
/// responses that it has not read.
constexpr Duration DiscardTimeout = Duration::seconds(1);
constexpr std::size_t DiscardBytes = 4096;

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

  void defer() override { Owner->Pipeline.defer(std::move(Ready)); }

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
      Pipeline(this->Server->Settings.MaxPipelinedRequests),
      ProgressAt(Monotonic.now()), Incoming(this->Server->openReservation()) {
  this->Server->Sessions.insert(this);
}

HttpSession::~HttpSession() {
  Server->Sessions.erase(this);
  if (WatchedSocket >= 0)
    Server->Hangups.forget(WatchedSocket);
}

void HttpSession::closeIfIdle() {
  bool IsIdle = !IsClosed && Pipeline.isEmpty() &&
                Reader.phase() == RequestReader::Phase::Idle;
  if (IsIdle && Monotonic.now() - IdleSince >= DrainIdleTimeout)
    close();
}

void HttpSession::close() {
  IsClosed = true;
  Server->Sessions.erase(this);
  if (WatchedSocket >= 0)
    Server->Hangups.forget(std::exchange(WatchedSocket, -1));
  ErrorCodeT Ignored;
  Stream.socket().shutdown(Tcp::socket::shutdown_both, Ignored);
  Stream.close();
  Reader.clear();
  Incoming.release();
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
    if (IsClosed || IsDelayed || !Pipeline.canAdd() || !parseNext())
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
    reserveForRest();
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
  HasReceived = true;
  ReceivedRequest Received;
  Received.IsHead = Reader.isHead();
  Received.KeepAlive = Reader.keepAlive();
  Received.ReceivedAt = Monotonic.now();
  if (!reserve(Reader.bodyBytes() + Reader.headerBytes())) {
    Reader.take(std::exchange(Incoming, Server->openReservation()));
    Server->notify(HttpServerEvent::RefusedForMemory);
    Pipeline.addAnswered(Server->Refuse(Reason::OutOfMemory), Received.IsHead,
                         Received.KeepAlive);
    return true;
  }
  Received.Held = Server->openReservation();
  Received.Held.force(Reader.headerBytes());
  Incoming.force(Reader.bodyBytes());
  Received.Request =
      Reader.take(std::exchange(Incoming, Server->openReservation()));
  Pipeline.add(std::move(Received));
  return true;
}

bool HttpSession::reserve(std::uint64_t Bytes) {
  return Incoming.resize(Bytes) ||
         (Server->evictStalled(HttpServerEvent::EvictedForMemory, this, 1) &&
          Incoming.resize(Bytes));
}

std::uint64_t HttpSession::expectedBytes() const {
  std::uint64_t Body = Reader.maxBodyBytes();
  if (Reader.isChunked() && Reader.heldBytes() < FirstChunkedBytes / 2)
    Body = std::min(Body, FirstChunkedBytes);
  return Body + Reader.headerBytes() + UnparsedBytes;
}

void HttpSession::reserveForRest() {
  std::uint64_t Held = Reader.heldBytes();
  if (Held <= Incoming.bytes())
    return;
  if (Held <= MemoryBudget::LargeBytes) {
    if (reserve(Held))
      return;
    Server->notify(HttpServerEvent::RefusedForMemory);
    return refuse(Reason::OutOfMemory);
  }
  if (Incoming.resize(expectedBytes()))
    return Reader.reserveBody(expectedBytes() - UnparsedBytes);
  IsDelayed = true;
  DelayedAt = Monotonic.now();
  Server->delay(shared_from_this());
}

bool HttpSession::tryResume() {
  if (IsClosed)
    return true;
  if (!Incoming.resize(expectedBytes())) {
    if (Monotonic.now() - DelayedAt < Server->Settings.RequestTimeout)
      return false;
    IsDelayed = false;
    Server->notify(HttpServerEvent::RefusedForMemory);
    refuse(Reason::OutOfMemory);
    advance();
    return true;
  }
  IsDelayed = false;
  ProgressAt = Monotonic.now();
  TimedPhase.reset();
  Reader.reserveBody(expectedBytes() - UnparsedBytes);
  waitForInput();
  return true;
}

bool HttpSession::isReceiving() const {
  // The caller of a full pipeline has not stalled: nothing more is read.
  if (!Pipeline.isWriting() && !Pipeline.canAdd())
    return false;
  return !IsClosed &&
         (!HasReceived || Reader.phase() != RequestReader::Phase::Idle);
}

void HttpSession::recordProgress(std::size_t Count) {
  bool IsFirst = Reader.phase() == RequestReader::Phase::Idle;
  BytesSinceProgress += Count;
  if (IsFirst || BytesSinceProgress >= ProgressBytes) {
    ProgressAt = Monotonic.now();
    BytesSinceProgress = 0;
  }
  Reader.commit(Count);
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
  ProgressAt = Monotonic.now();
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
  ProgressAt = Monotonic.now();
  if (EC)
    return abort();
  if (!KeepAlive)
    return finish();
  advance();
}

void HttpSession::finish() {
  // What follows the response is not answered.
  for (const std::function<void()> &Function : Pipeline.cancel())
    Function();
  ErrorCodeT EC;
  if (Stream.socket().available(EC) == 0)
    return close();
  IsClosed = true;
  Reader.clear();
  Incoming.release();
  Stream.socket().shutdown(Tcp::socket::shutdown_send, EC);
  Stream.expires_after(toChrono(DiscardTimeout));
  discardInput();
}

void HttpSession::discardInput() {
  Stream.async_read_some(
      Reader.prepareDiscard(DiscardBytes),
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t) {
        if (EC)
          return Self->close();
        Self->discardInput();
      });
}

void HttpSession::waitForInput() {
  if (IsDelayed)
    return waitForHangup();
  if (!Pipeline.isEmpty())
    return watch();
  if (AwaitsContinue)
    sendContinue();
  readWithTimeout();
}

void HttpSession::sendContinue() {
  AwaitsContinue = false;
  // A caller that does not read its responses must not block the thread.
  setNonBlocking();
  ErrorCodeT EC;
  asio::write(Stream.socket(),
              asio::buffer("HTTP/1.1 100 Continue\r\n\r\n", 25), EC);
  // The next read then ends the connection.
  if (EC)
    Stream.socket().shutdown(Tcp::socket::shutdown_both, EC);
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
        if (EC || Self->IsClosed)
          return Self->close();
        Self->recordProgress(Count);
        Self->advance();
      });
}

void HttpSession::watch() {
  // If the only request is answered, there is nothing to cancel.
  if (IsWatching || (HasUnreadBytes && !mayReceive()) ||
      (Pipeline.isWriting() && Pipeline.size() == 1))
    return;
  IsWatching = true;
  Stream.socket().async_wait(Tcp::socket::wait_read,
                             [Self = shared_from_this()](ErrorCodeT EC) {
                               Self->IsWatching = false;
                               if (!EC && !Self->IsClosed && !Self->IsDelayed &&
                                   !Self->Pipeline.isEmpty())
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
  recordProgress(Count);
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
  waitForHangup();
}

void HttpSession::waitForHangup() {
  WatchedSocket = Stream.socket().native_handle();
  Server->Hangups.watch(WatchedSocket, [this] {
    if (IsDelayed || Pipeline.hasUnanswered())
      abort();
  });
}

} // namespace teaselhitch
