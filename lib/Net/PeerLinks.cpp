#include "teaselhitch/Net/PeerLinks.h"

#include "Asio.h"
#include "teaselhitch/Support/Log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <map>
#include <optional>

namespace teaselhitch {

namespace {

/// Each of up to 2,800 links of a node has a buffer of this size.
constexpr std::size_t ReadBytes = 4096;

/// True for messages to which the other side replies.
bool expectsReply(const PeerMessage &Message) {
  return std::holds_alternative<Offer>(Message) ||
         std::holds_alternative<Dispatch>(Message) ||
         std::holds_alternative<MintKey>(Message) ||
         std::holds_alternative<PieceRequest>(Message) ||
         std::holds_alternative<Digest>(Message);
}

/// True for messages that answer one that expects a reply.
bool isReply(const PeerMessage &Message) {
  return !std::holds_alternative<AttemptOverdue>(Message);
}

class Link;

/// Receives the events of a link.
class LinkOwner {
public:
  virtual ~LinkOwner() = default;
  virtual void received(Link &From, PeerMessage Message) = 0;
  virtual void closed(Link &Which) = 0;
};

/// One TCP connection between two nodes.
class Link : public std::enable_shared_from_this<Link> {
public:
  Link(asio::io_context &Context, LinkOwner &Owner, bool IsOutgoing,
       const PeerLinksSettings &Settings)
      : Socket(Context), Timer(Context), Owner(&Owner), Settings(Settings),
        IsOutgoing(IsOutgoing), LastByte(Wall.now()), LastUse(LastByte) {}

  void connect(const Tcp::endpoint &Address);
  void accepted(Tcp::socket Accepted);
  /// False if too much waits already.
  bool send(const PeerMessage &Message);
  void close();
  /// Forgets the owner, which no longer hears of this link.
  void detach() { Owner = nullptr; }
  void tick(Time Now);
  /// The connection was made, now or before.
  bool isOpen() const { return IsOpen; }

  NodeName Remote;
  LinkId Id = 0;
  bool HasHello = false;

private:
  void begin();
  void read();
  void onBytes(ErrorCodeT Fault, std::size_t Count);
  void handle(PeerMessage Message);
  void flush();
  void fail(const char *Why);

  Tcp::socket Socket;
  asio::steady_timer Timer;
  LinkOwner *Owner;
  const PeerLinksSettings &Settings;
  bool IsOutgoing;
  bool IsOpen = false;
  bool IsClosed = false;
  bool IsWriting = false;
  FrameReader Reader;
  std::array<char, ReadBytes> Input{};
  std::string Writing;
  std::string Waiting;
  SteadyClock Wall;
  Time LastByte;
  Time LastUse;
  /// Replies that the other side owes; heartbeats are needed only meanwhile.
  std::int64_t Outstanding = 0;
  std::uint64_t HeartbeatSequence = 0;
  Time LastHeartbeat;
};

void Link::connect(const Tcp::endpoint &Address) {
  Timer.expires_after(toChrono(Settings.ConnectTimeout));
  Timer.async_wait([Self = shared_from_this()](ErrorCodeT Fault) {
    if (!Fault && !Self->IsOpen)
      Self->fail("connect-timeout");
  });
  Socket.async_connect(Address, [Self = shared_from_this()](ErrorCodeT Fault) {
    if (Self->IsClosed)
      return;
    if (Fault)
      return Self->fail("connect-failed");
    Self->begin();
  });
}

void Link::accepted(Tcp::socket Accepted) {
  Socket = std::move(Accepted);
  begin();
}

void Link::begin() {
  IsOpen = true;
  Timer.cancel();
  LastByte = LastUse = Wall.now();
  configureSocket(Socket);
  std::string Queued = std::move(Waiting);
  Waiting.clear();
  // Hello goes before what was queued during the connect.
  send(PeerMessage(Settings.Self));
  Waiting += Queued;
  flush();
  read();
}

bool Link::send(const PeerMessage &Message) {
  if (IsClosed || Waiting.size() > Settings.MaxPendingBytes)
    return false;
  std::string Frame = handleError([&] { return encodeFrame(Message); },
                                  [](const Error &) { return std::string(); });
  if (Frame.empty())
    return false;
  Waiting += Frame;
  LastUse = Wall.now();
  if (expectsReply(Message)) {
    // Silence counts from the first message that awaits a reply.
    if (Outstanding++ == 0)
      LastByte = LastUse;
  }
  // What is taken back gets no reply.
  if (std::holds_alternative<Cancel>(Message) && Outstanding > 0)
    --Outstanding;
  if (IsOpen)
    flush();
  return true;
}

void Link::flush() {
  if (IsWriting || Waiting.empty() || IsClosed)
    return;
  IsWriting = true;
  Writing = std::move(Waiting);
  Waiting.clear();
  asio::async_write(Socket, asio::buffer(Writing),
                    [Self = shared_from_this()](ErrorCodeT Fault, std::size_t) {
                      Self->IsWriting = false;
                      if (Fault)
                        return Self->fail("write-failed");
                      Self->flush();
                    });
}

void Link::read() {
  Socket.async_read_some(
      asio::buffer(Input),
      [Self = shared_from_this()](ErrorCodeT Fault, std::size_t Count) {
        Self->onBytes(Fault, Count);
      });
}

void Link::onBytes(ErrorCodeT Fault, std::size_t Count) {
  if (IsClosed)
    return;
  if (Fault)
    return fail("closed");
  LastByte = Wall.now();
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
    handle(std::move(*Message));
  }
  if (Corrupt)
    return fail("bad-frame");
  if (!IsClosed)
    read();
}

void Link::handle(PeerMessage Message) {
  if (auto *H = std::get_if<Hello>(&Message)) {
    bool IsPeer = H->Fleet == Settings.Self.Fleet &&
                  H->Protocol == Settings.Self.Protocol &&
                  (!IsOutgoing || H->Node == Remote);
    if (!IsPeer || HasHello)
      return fail("bad-hello");
    HasHello = true;
    Remote = H->Node;
    return;
  }
  if (!HasHello)
    return fail("no-hello");
  if (auto *H = std::get_if<Heartbeat>(&Message)) {
    if (!H->IsReply)
      send(Heartbeat{H->Sequence, true});
    return;
  }
  LastUse = LastByte;
  if (IsOutgoing && Outstanding > 0 && isReply(Message))
    --Outstanding;
  if (Owner)
    Owner->received(*this, std::move(Message));
}

void Link::tick(Time Now) {
  if (IsClosed || !IsOpen)
    return;
  if (IsOutgoing && Outstanding > 0) {
    if (Now - LastByte > Settings.SilenceLimit)
      return fail("silent");
    if (Now - LastByte > Settings.HeartbeatInterval &&
        Now - LastHeartbeat > Settings.HeartbeatInterval) {
      LastHeartbeat = Now;
      send(Heartbeat{++HeartbeatSequence, false});
    }
    return;
  }
  if (IsOutgoing && Now - LastUse > Settings.IdleTimeout)
    close();
}

void Link::fail(const char *Why) {
  if (IsClosed)
    return;
  logEvent(LogLevel::Info, "net", "link-closed",
           {{"node", Remote.str()}, {"outgoing", IsOutgoing}, {"cause", Why}});
  close();
}

void Link::close() {
  if (IsClosed)
    return;
  IsClosed = true;
  ErrorCodeT Ignored;
  Socket.close(Ignored);
  Timer.cancel();
  if (Owner)
    std::exchange(Owner, nullptr)->closed(*this);
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
    ErrorCodeT Fault = listenOn(Acceptor, Address);
    if (!Fault)
      accept();
    return Fault;
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
    bool Taken = L->send(Message);
    L->connect(*To);
    return Taken;
  }

  void answer(LinkId Id, const PeerMessage &Message) override {
    auto It = Incoming.find(Id);
    if (It == Incoming.end())
      return;
    std::shared_ptr<Link> L = It->second;
    // The other side would wait in vain for an answer that is lost here.
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
    Acceptor.async_accept([this](ErrorCodeT Fault, Tcp::socket Socket) {
      if (Fault == asio::error::operation_aborted)
        return;
      if (!Fault) {
        auto L = std::make_shared<Link>(Context, *this, false, Settings);
        L->Id = NextId++;
        Incoming.emplace(L->Id, L);
        L->accepted(std::move(Socket));
      }
      accept();
    });
  }

  void received(Link &From, PeerMessage Message) override {
    if (From.Id == 0)
      Handler.fromGuard(From.Remote, std::move(Message));
    else
      Handler.fromEntry(From.Id, From.Remote, std::move(Message));
  }

  void closed(Link &Which) override {
    if (Which.Id != 0) {
      Incoming.erase(Which.Id);
      Handler.lostEntry(Which.Id);
      return;
    }
    NodeName Node = Which.Remote;
    Outgoing.erase(Node);
    Handler.lostGuard(Node, Which.isOpen());
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
  if (ErrorCodeT Fault = Created->listen(*Address))
    return makeError(ErrorCode::Unavailable, "cannot listen on " +
                                                 toString(Listen) + ": " +
                                                 Fault.message());
  return std::unique_ptr<PeerLinks>(std::move(Created));
}

} // namespace teaselhitch
