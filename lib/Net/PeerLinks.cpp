#include "teaselhitch/Net/PeerLinks.h"

#include "Asio.h"
#include "teaselhitch/Support/Log.h"

#include <boost/asio/completion_condition.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace teaselhitch {

namespace {

/// Size of the read buffer of each link. It is small because a node has up to
/// 2,800 links.
constexpr std::size_t ReadBufferBytes = 4096;
/// Bodies up to this size are copied behind their header, so that several
/// messages are sent with one buffer.
constexpr std::size_t MaxCopiedBodyBytes = 16UL * 1024;
/// Changes of the buffered bytes of a link by less than this are not accounted.
constexpr std::uint64_t AccountingStepBytes = 4096;

/// True for requests, to which the other side sends a reply.
bool expectsReply(const PeerMessage &Message) {
  // A request that only returns credits is not answered.
  if (const auto *Credits = std::get_if<CreditRequest>(&Message))
    return Credits->Amount > 0;
  return std::holds_alternative<Offer>(Message) ||
         std::holds_alternative<Dispatch>(Message) ||
         std::holds_alternative<MintKey>(Message) ||
         std::holds_alternative<PieceRequest>(Message) ||
         std::holds_alternative<Digest>(Message) ||
         std::holds_alternative<DepartureCopy>(Message);
}

/// True for messages from a guard that complete a request. AttemptOverdue is
/// only a notice: the attempt continues and its reply is still pending.
bool isReply(const PeerMessage &Message) {
  return !std::holds_alternative<AttemptOverdue>(Message);
}

class Link;

/// Receives the events of a link.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void onMessage(Link &From, PeerMessage Message) = 0;
  virtual void onClose(Link &Closed) = 0;
  virtual void onSent(const NodeName &Node, std::size_t Type,
                      std::size_t Bytes) = 0;
  virtual std::optional<MemoryBudget::Reservation>
  takeGrantedMemory(const AttemptId &Attempt) = 0;
};

/// A TCP connection between two nodes.
class Link : public std::enable_shared_from_this<Link> {
public:
  Link(asio::io_context &Context, LinkOwner &Owner, bool IsOutgoing,
       const PeerLinksSettings &Settings)
      : Socket(Context), Timer(Context), Owner(&Owner), Settings(Settings),
        IsOutgoing(IsOutgoing),
        Reader([this](const PeerMessage &Message, std::uint64_t Bytes) {
          return reserveBody(Message, Bytes);
        }),
        LastReceived(Monotonic.now()), LastUse(LastReceived) {
    if (Settings.Memory)
      Buffered = Settings.Memory->open();
  }

  void connect(const Tcp::endpoint &Address);
  void attach(Tcp::socket Accepted);
  /// Returns false if the link is closed, too many bytes are unsent or the
  /// message cannot be encoded.
  bool send(const PeerMessage &Message);
  void close();
  /// Clears the owner, which receives no further events of this link.
  void detach() { Owner = nullptr; }
  void tick(Time Now);
  /// True once the connection was established, also after it has closed.
  bool isOpen() const { return IsOpen; }

  NodeName Remote;
  LinkId Id = 0;
  bool HasHello = false;

private:
  void start();
  void read();
  void onBytes(ErrorCodeT EC, std::size_t Count);
  void handle(PeerMessage Message);
  void reportSent(const PeerMessage &Message, std::size_t Bytes);
  /// Handles a message whose body was discarded.
  void handleDiscarded(PeerMessage Message);
  std::optional<MemoryBudget::Reservation>
  reserveBody(const PeerMessage &Message, std::uint64_t Bytes);
  void enqueue(EncodedFrame Frame);
  void flush();
  void recordWriteProgress(std::size_t BytesWritten);
  /// Accounts for the bytes that the link buffers itself.
  void accountBuffers();
  void fail(const char *Cause);

  Tcp::socket Socket;
  asio::steady_timer Timer;
  LinkOwner *Owner;
  const PeerLinksSettings &Settings;
  bool IsOutgoing;
  bool IsOpen = false;
  bool IsClosed = false;
  bool IsWriting = false;
  FrameReader Reader;
  std::array<char, ReadBufferBytes> Input{};
  /// Frames that are being written, and those that follow. A body is shared
  /// with the rest of the node.
  std::vector<EncodedFrame> Writing;
  std::vector<EncodedFrame> Pending;
  /// Bytes of Pending, bodies included.
  std::uint64_t PendingBytes = 0;
  /// Bytes of Pending and Writing without shared bodies.
  std::uint64_t UnsentHeadBytes = 0;
  std::uint64_t WritingHeadBytes = 0;
  std::size_t BytesWritten = 0;
  /// A large body is being written.
  bool IsWritingBody = false;
  MemoryBudget::Reservation Buffered;
  SteadyClock Monotonic;
  Time LastReceived;
  /// Time at which the other side last took a part of a large body.
  Time LastWritten;
  Time LastUse;
  /// Number of replies that the other side has still to send. Heartbeats are
  /// sent only while it is not zero.
  std::int64_t PendingReplies = 0;
  std::uint64_t HeartbeatSequence = 0;
  std::size_t UnreportedHelloBytes = 0;
  Time LastHeartbeat;
};

void Link::connect(const Tcp::endpoint &Address) {
  Timer.expires_after(toChrono(Settings.ConnectTimeout));
  Timer.async_wait([Self = shared_from_this()](ErrorCodeT EC) {
    if (!EC && !Self->IsOpen)
      Self->fail("connect-timeout");
  });
  Socket.async_connect(Address, [Self = shared_from_this()](ErrorCodeT EC) {
    if (Self->IsClosed)
      return;
    if (EC)
      return Self->fail("connect-failed");
    Self->start();
  });
}

void Link::attach(Tcp::socket Accepted) {
  Socket = std::move(Accepted);
  start();
}

void Link::start() {
  IsOpen = true;
  Timer.cancel();
  LastReceived = LastUse = Monotonic.now();
  configureSocket(Socket);
  std::vector<EncodedFrame> Queued = std::exchange(Pending, {});
  // Hello precedes the messages that were queued while connecting; it starts
  // the first write alone.
  PendingBytes = 0;
  UnsentHeadBytes = 0;
  send(PeerMessage(Settings.LocalHello));
  for (EncodedFrame &Frame : Queued)
    enqueue(std::move(Frame));
  flush();
  read();
}

bool Link::send(const PeerMessage &Message) {
  if (IsClosed || PendingBytes > Settings.MaxPendingBytes)
    return false;
  EncodedFrame Frame =
      handleError([&] { return encodeFrame(Message); },
                  [](const Error &) { return EncodedFrame(); });
  if (Frame.Head.empty())
    return false;
  reportSent(Message, Frame.Head.size() + Frame.Body.size());
  enqueue(std::move(Frame));
  LastUse = Monotonic.now();
  if (expectsReply(Message)) {
    // The receive timeout starts with the first request that awaits a reply.
    if (PendingReplies++ == 0)
      LastReceived = LastUse;
  }
  // A cancelled request gets no reply.
  if (std::holds_alternative<Cancel>(Message) && PendingReplies > 0)
    --PendingReplies;
  if (IsOpen)
    flush();
  return true;
}

/// The remote node of an accepted link is known from its Hello. Until then,
/// only the own Hello is sent, and it is reported afterwards.
void Link::reportSent(const PeerMessage &Message, std::size_t Bytes) {
  if (Remote.str().empty())
    UnreportedHelloBytes += Bytes;
  else if (Owner)
    Owner->onSent(Remote, Message.index(), Bytes);
}

void Link::enqueue(EncodedFrame Frame) {
  if (Frame.Body.size() <= MaxCopiedBodyBytes) {
    Frame.Head += Frame.Body.str();
    Frame.Body = SharedBytes();
  }
  PendingBytes += Frame.Head.size() + Frame.Body.size();
  UnsentHeadBytes += Frame.Head.size();
  if (!Pending.empty() && Pending.back().Body.empty()) {
    Pending.back().Head += Frame.Head;
    Pending.back().Body = std::move(Frame.Body);
  } else {
    Pending.push_back(std::move(Frame));
  }
  accountBuffers();
}

void Link::flush() {
  if (IsWriting || Pending.empty() || IsClosed)
    return;
  IsWriting = true;
  Writing = std::exchange(Pending, {});
  PendingBytes = 0;
  WritingHeadBytes = UnsentHeadBytes;
  BytesWritten = 0;
  IsWritingBody = false;
  std::vector<asio::const_buffer> Buffers;
  Buffers.reserve(Writing.size() * 2);
  for (const EncodedFrame &Frame : Writing) {
    Buffers.emplace_back(Frame.Head.data(), Frame.Head.size());
    if (Frame.Body.empty())
      continue;
    Buffers.emplace_back(Frame.Body.str().data(), Frame.Body.size());
    IsWritingBody = true;
  }
  asio::async_write(
      Socket, Buffers,
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t Count) {
        Self->recordWriteProgress(Count);
        return asio::transfer_all()(EC, Count);
      },
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t) {
        Self->IsWriting = false;
        Self->Writing.clear();
        Self->UnsentHeadBytes -= Self->WritingHeadBytes;
        Self->accountBuffers();
        if (EC)
          return Self->fail("write-failed");
        Self->flush();
      });
}

void Link::recordWriteProgress(std::size_t Count) {
  if (IsWritingBody && Count > BytesWritten)
    LastWritten = Monotonic.now();
  BytesWritten = Count;
}

void Link::accountBuffers() {
  std::uint64_t Bytes = UnsentHeadBytes + Reader.bufferedBytes();
  std::uint64_t Accounted = Buffered.bytes();
  std::uint64_t Change =
      Bytes > Accounted ? Bytes - Accounted : Accounted - Bytes;
  if (Change >= AccountingStepBytes)
    Buffered.force(Bytes);
}

std::optional<MemoryBudget::Reservation>
Link::reserveBody(const PeerMessage &Message, std::uint64_t Bytes) {
  if (Bytes > MemoryBudget::LargeBytes) {
    if (const auto *D = std::get_if<Dispatch>(&Message))
      return Owner ? Owner->takeGrantedMemory(D->Info.Attempt) : std::nullopt;
    if (Settings.Memory)
      return Settings.Memory->reserve(Bytes);
  }
  MemoryBudget::Reservation Held;
  if (Settings.Memory) {
    Held = Settings.Memory->open();
    Held.force(Bytes);
  }
  return Held;
}

void Link::read() {
  Socket.async_read_some(
      asio::buffer(Input),
      [Self = shared_from_this()](ErrorCodeT EC, std::size_t Count) {
        Self->onBytes(EC, Count);
      });
}

void Link::onBytes(ErrorCodeT EC, std::size_t Count) {
  if (IsClosed)
    return;
  if (EC)
    return fail("closed");
  LastReceived = Monotonic.now();
  Reader.append(std::string_view(Input.data(), Count));
  bool Corrupt = false;
  while (!IsClosed && !Corrupt) {
    std::optional<PeerMessage> Message =
        handleError([&] { return Reader.next(); },
                    [&](const Error &E) -> std::optional<PeerMessage> {
                      logEvent(LogLevel::Warning, "net", "bad-frame",
                               {{"node", Remote.str()}, {"error", E.Message}});
                      Corrupt = true;
                      return std::nullopt;
                    });
    if (!Message)
      break;
    if (Reader.isBodyDiscarded())
      handleDiscarded(std::move(*Message));
    else
      handle(std::move(*Message));
  }
  accountBuffers();
  if (Corrupt)
    return fail("bad-frame");
  if (!IsClosed)
    read();
}

void Link::handle(PeerMessage Message) {
  if (auto *H = std::get_if<Hello>(&Message)) {
    bool IsPeer = H->Fleet == Settings.LocalHello.Fleet &&
                  H->Protocol == Settings.LocalHello.Protocol &&
                  (!IsOutgoing || H->Node == Remote);
    if (!IsPeer || HasHello)
      return fail("bad-hello");
    HasHello = true;
    Remote = H->Node;
    if (UnreportedHelloBytes != 0 && Owner)
      Owner->onSent(Remote, Message.index(), UnreportedHelloBytes);
    UnreportedHelloBytes = 0;
    return;
  }
  if (!HasHello)
    return fail("no-hello");
  if (auto *H = std::get_if<Heartbeat>(&Message)) {
    if (!H->IsReply)
      send(Heartbeat{H->Sequence, true});
    return;
  }
  LastUse = LastReceived;
  if (IsOutgoing && PendingReplies > 0 && isReply(Message))
    --PendingReplies;
  if (Owner)
    Owner->onMessage(*this, std::move(Message));
}

void Link::handleDiscarded(PeerMessage Message) {
  AttemptFailed Failure;
  if (const auto *D = std::get_if<Dispatch>(&Message)) {
    Failure.Attempt = D->Info.Attempt;
    Failure.Cause = Reason::GrantExpired;
    Failure.Result = Outcome::NotRun;
    if (!send(Failure))
      close();
    return;
  }
  Failure.Attempt = std::get<AttemptAnswer>(Message).Attempt;
  Failure.Cause = Reason::AnswerTooLarge;
  Failure.Result = Outcome::Unknown;
  handle(std::move(Failure));
}

void Link::tick(Time Now) {
  if (IsClosed || !IsOpen)
    return;
  // The rest of the body would hold its memory without end.
  if (!IsOutgoing && Reader.isInBody() &&
      Now - LastReceived > Settings.ReceiveTimeout)
    return fail("silent");
  if (IsOutgoing && PendingReplies > 0) {
    // On a slow path, a large body delays the heartbeat that follows it.
    if (Now - std::max(LastReceived, LastWritten) > Settings.ReceiveTimeout)
      return fail("silent");
    if (Now - LastReceived > Settings.HeartbeatInterval &&
        Now - LastHeartbeat > Settings.HeartbeatInterval) {
      LastHeartbeat = Now;
      send(Heartbeat{++HeartbeatSequence, false});
    }
    return;
  }
  if (IsOutgoing && Now - LastUse > Settings.IdleTimeout)
    close();
}

void Link::fail(const char *Cause) {
  if (IsClosed)
    return;
  logEvent(
      LogLevel::Info, "net", "link-closed",
      {{"node", Remote.str()}, {"outgoing", IsOutgoing}, {"cause", Cause}});
  close();
}

void Link::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  Pending.clear();
  PendingBytes = 0;
  ErrorCodeT Ignored;
  Socket.close(Ignored);
  Timer.cancel();
  if (Owner)
    std::exchange(Owner, nullptr)->onClose(*this);
}

class PeerLinksImpl final : public PeerLinks, public LinkOwner {
public:
  PeerLinksImpl(EventLoop &Loop, PeerLinksSettings Settings,
                PeerLinksHandler &Handler)
      : Context(contextOf(Loop)), Settings(std::move(Settings)),
        Handler(Handler), Acceptor(Context) {}

  ~PeerLinksImpl() override {
    for (auto &[Node, L] : Outgoing) {
      L->detach();
      L->close();
    }
    for (auto &[Id, L] : Incoming) {
      L->detach();
      L->close();
    }
  }

  ErrorCodeT listen(const Tcp::endpoint &Address) {
    ErrorCodeT EC = listenOn(Acceptor, Address);
    if (!EC)
      accept();
    return EC;
  }

  bool send(const NodeName &Node, const Endpoint &Address,
            const PeerMessage &Message) override {
    auto It = Outgoing.find(Node);
    if (It != Outgoing.end())
      return It->second->send(Message);
    std::optional<Tcp::endpoint> To = toTcp(Address);
    if (!To)
      return false;
    auto L = std::make_shared<Link>(Context, *this, true, Settings);
    L->Remote = Node;
    Outgoing.emplace(Node, L);
    bool IsQueued = L->send(Message);
    L->connect(*To);
    return IsQueued;
  }

  void reply(LinkId Id, const PeerMessage &Message) override {
    auto It = Incoming.find(Id);
    if (It == Incoming.end())
      return;
    std::shared_ptr<Link> L = It->second;
    // The reply is lost, so the link is closed; otherwise the other side would
    // wait for it in vain.
    if (!L->send(Message))
      L->close();
  }

  void closeLink(const NodeName &Node) override {
    auto It = Outgoing.find(Node);
    if (It == Outgoing.end())
      return;
    std::shared_ptr<Link> L = It->second;
    L->close();
  }

  void tick(Time Now) override {
    for (const std::shared_ptr<Link> &L : allLinks())
      L->tick(Now);
  }

  std::uint16_t port() const override {
    ErrorCodeT Ignored;
    return Acceptor.local_endpoint(Ignored).port();
  }

  std::size_t linkCount() const override {
    return Outgoing.size() + Incoming.size();
  }

private:
  std::vector<std::shared_ptr<Link>> allLinks() const {
    std::vector<std::shared_ptr<Link>> Links;
    for (const auto &[Node, L] : Outgoing)
      Links.push_back(L);
    for (const auto &[Id, L] : Incoming)
      Links.push_back(L);
    return Links;
  }

  void accept() {
    Acceptor.async_accept([this](ErrorCodeT EC, Tcp::socket Socket) {
      if (EC == asio::error::operation_aborted)
        return;
      if (!EC) {
        auto L = std::make_shared<Link>(Context, *this, false, Settings);
        L->Id = NextId++;
        Incoming.emplace(L->Id, L);
        L->attach(std::move(Socket));
      }
      accept();
    });
  }

  void onMessage(Link &From, PeerMessage Message) override {
    if (From.Id == 0)
      Handler.onGuardMessage(From.Remote, std::move(Message));
    else
      Handler.onEntryMessage(From.Id, From.Remote, std::move(Message));
  }

  void onSent(const NodeName &Node, std::size_t Type,
              std::size_t Bytes) override {
    Handler.onSent(Node, Type, Bytes);
  }

  std::optional<MemoryBudget::Reservation>
  takeGrantedMemory(const AttemptId &Attempt) override {
    return Handler.takeGrantedMemory(Attempt);
  }

  void onClose(Link &Closed) override {
    if (Closed.Id != 0) {
      Incoming.erase(Closed.Id);
      Handler.onEntryDisconnect(Closed.Id);
      return;
    }
    NodeName Node = Closed.Remote;
    Outgoing.erase(Node);
    Handler.onGuardDisconnect(Node, Closed.isOpen());
  }

  asio::io_context &Context;
  PeerLinksSettings Settings;
  PeerLinksHandler &Handler;
  Tcp::acceptor Acceptor;
  LinkId NextId = 1;
  std::map<NodeName, std::shared_ptr<Link>> Outgoing;
  std::map<LinkId, std::shared_ptr<Link>> Incoming;
};

} // namespace

Result<std::unique_ptr<PeerLinks>>
PeerLinks::create(EventLoop &Loop, PeerLinksSettings Settings,
                  PeerLinksHandler &Handler) {
  Endpoint Listen = Settings.Listen;
  std::optional<Tcp::endpoint> Address = toTcp(Listen);
  if (!Address)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Listen.Address + "' is not an IP address");
  auto Created =
      std::make_unique<PeerLinksImpl>(Loop, std::move(Settings), Handler);
  if (ErrorCodeT EC = Created->listen(*Address))
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Listen) + ": " +
                                                 EC.message());
  return std::unique_ptr<PeerLinks>(std::move(Created));
}

} // namespace teaselhitch
