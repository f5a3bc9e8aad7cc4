#include "PeersThread.h"

#include "teaselhitch/Config/Head.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <random>

namespace teaselhitch {

namespace {

/// Below the 50 ms that Membership permits.
constexpr Duration TickInterval = Duration(40);
constexpr Duration StatusInterval = Duration(500);
/// Minimum interval between two views that are passed to the other threads.
constexpr Duration ViewInterval = Duration(60);
/// Maximum number of records in one anti-entropy frame; a record takes about
/// 100 bytes.
constexpr std::size_t MaxSyncRecords = 500;
/// How long a crash mark is sent to nodes that join later, in milliseconds.
constexpr std::uint32_t CrashMarkPeriodMs = 600000;
/// Token of head reads; this thread sends no other table requests.
constexpr std::uint64_t HeadToken = 1;

TableRequest makeHeadRequest() {
  TableRequest Request;
  Request.Token = HeadToken;
  Request.Operation = TableOperation::Read;
  Request.Table = ConfigTable;
  Request.Key = ConfigHeadKey;
  return Request;
}

/// Returns the mean time between two head polls of one node. It grows with the
/// number of nodes, so that the whole fleet makes at most FleetReadsPerSecond
/// reads until MaxInterval is reached; the table service takes about 2,000
/// reads per second. A small fleet still sees a new version within about a
/// second.
Duration headPollInterval(std::size_t Nodes, Duration MaxInterval) {
  constexpr double FleetReadsPerSecond = 140;
  constexpr Duration MinInterval = Duration::seconds(1);
  Duration Scaled =
      Duration::seconds(static_cast<double>(Nodes) / FleetReadsPerSecond);
  return std::min(std::max(Scaled, MinInterval), MaxInterval);
}

MembershipSettings membershipSettings(const NodeSettings &Settings) {
  MembershipSettings Result;
  Result.Seeds = Settings.Seeds;
  Result.RemoteDomainRoundTrip = Settings.RemoteDomainRoundTrip;
  return Result;
}

NodeRecord selfRecord(const NodeSettings &Settings, std::uint64_t Incarnation) {
  NodeRecord Self;
  Self.Name = Settings.Node;
  Self.Address = Settings.Peers;
  Self.Domain = Settings.Domain;
  Self.Region = Settings.Region;
  Self.Version = RecordVersion{Incarnation, 1};
  return Self;
}

} // namespace

PeersThread::PeersThread(const NodeSettings &Settings, bool StoreHasPieces,
                         SharedState &Shared)
    : Settings(Settings), Shared(Shared),
      Random(std::make_unique<SeededRandom>(std::random_device()())),
      Config(Settings.Node, StoreHasPieces), Lender(Settings.Node, now()),
      LenderReport(Shared.Metrics), Traffic(Shared.Metrics),
      RemoteDomains(
          Shared.Metrics.gauge("teaselhitch_remote_domains",
                               "Failure domains that are remote from this "
                               "node.")),
      BytesSent(Shared.Metrics.counter("teaselhitch_gossip_sent_bytes_total",
                                       "Bytes of datagrams sent.")),
      BytesReceived(
          Shared.Metrics.counter("teaselhitch_gossip_received_bytes_total",
                                 "Bytes of datagrams received.")),
      BadDatagrams(
          Shared.Metrics.counter("teaselhitch_bad_datagrams_total",
                                 "Datagrams dropped as malformed or not "
                                 "authentic.")) {
  Auth.Fleet = Settings.Fleet;
  Auth.CurrentKey = Settings.Secret;
  if (!Settings.PreviousSecret.empty())
    Auth.PreviousKey = Settings.PreviousSecret;
}

Result<std::unique_ptr<PeersThread>>
PeersThread::create(const NodeSettings &Settings, bool UsesObjectStore,
                    std::uint64_t Incarnation, SharedState &Shared) {
  std::unique_ptr<PeersThread> NewThread(
      new PeersThread(Settings, UsesObjectStore, Shared));
  PeersThread *Self = NewThread.get();
  BOOST_LEAF_ASSIGN(NewThread->Members,
                    Membership::create(membershipSettings(Settings),
                                       selfRecord(Settings, Incarnation),
                                       *NewThread->Random, Self->now()));
  PeerLinksSettings LinkSettings;
  LinkSettings.Listen = Settings.Peers;
  LinkSettings.LocalHello.Fleet = Settings.Fleet;
  LinkSettings.LocalHello.Node = Settings.Node;
  LinkSettings.LocalHello.Incarnation = Incarnation;
  LinkSettings.LocalHello.Domain = Settings.Domain;
  LinkSettings.Memory = &Shared.Memory;
  BOOST_LEAF_ASSIGN(NewThread->Links,
                    PeerLinks::create(NewThread->Loop, LinkSettings, *Self));
  BOOST_LEAF_ASSIGN(NewThread->Datagrams,
                    DatagramSocket::create(
                        NewThread->Loop, Settings.Peers,
                        [Self](std::string_view Bytes, const Endpoint &From) {
                          Self->handleDatagram(Bytes, From);
                        }));
  Self->EventLoopThread::subscribe(
      Shared.CallersToPeers,
      [Self](OutboundGuardMessage &&M) { Self->receive(std::move(M)); });
  Self->EventLoopThread::subscribe(
      Shared.BackendsToPeers,
      [Self](BackendsToPeersMessage &&M) { Self->receive(std::move(M)); });
  Self->EventLoopThread::subscribe(
      Shared.PlatformToPeers,
      [Self](PlatformToPeersMessage &&M) { Self->receive(std::move(M)); });
  Self->EventLoopThread::subscribe(
      Shared.CreditsToPeers,
      [Self](OutboundCreditRequest &&M) { Self->receive(M); });
  Self->EventLoopThread::subscribe(
      Shared.OperatorsToPeers, [&Shared](RefreshConfig &&) {
        // A full channel means that the platform is slow; the next poll repeats
        // the request.
        (void)Shared.PeersToPlatform.trySend(makeHeadRequest());
      });
  Self->EventLoopThread::subscribe(
      Shared.ConfigToPeers, [Self](SourcedConfig &&Sourced) {
        Self->fetch(Self->Config.handleSet(Sourced, *Self->Members->view(),
                                           *Self->Random, Self->now()));
      });
  if (UsesObjectStore)
    Self->Loop.post([Self] { Self->pollHead(); });
  Self->Loop.schedulePeriodic(TickInterval, [Self] { Self->tick(); });
  Self->Loop.schedulePeriodic(StatusInterval,
                              [Self] { Self->publishStatus(); });
  return NewThread;
}

void PeersThread::leave() {
  Loop.post([this] { Members->leave(now()); });
}

void PeersThread::pollHead() {
  (void)Shared.PeersToPlatform.trySend(makeHeadRequest());
  std::shared_ptr<const FleetView> View = Members->view();
  std::size_t Nodes = View->Nodes ? View->Nodes->size() : 1;
  Duration Interval = headPollInterval(Nodes, Settings.HeadPollInterval);
  // Jitter keeps nodes that start at the same time from polling at the same
  // time.
  Loop.schedule(Interval * (0.5 + Random->uniform()), [this] { pollHead(); });
}

void PeersThread::tick() {
  execute(Members->tick(now()));
  Links->tick(now());
  fetch(Config.tick(*currentView(), *Random, now()));
  Shared.IsConfigOverdue = Config.isOverdue(now());
  tickCredits();
  // Each new view is copied and then evaluated by all threads.
  if (LastView && now() - LastViewAt < ViewInterval)
    return;
  LastViewAt = now();
  std::shared_ptr<const FleetView> View = Members->view();
  if (View == LastView)
    return;
  reportRemoteDomains(*View);
  LastView = View;
  if (Lender.hasLimits())
    Lender.updateView(*View, now());
  Shared.View.publish(std::move(View));
}

void PeersThread::reportRemoteDomains(const FleetView &View) {
  std::set<FailureDomain> Known;
  if (LastView)
    Known = LastView->RemoteDomains;
  if (View.RemoteDomains == Known)
    return;
  RemoteDomains.set(static_cast<double>(View.RemoteDomains.size()));
  std::string Names;
  for (const FailureDomain &Domain : View.RemoteDomains)
    Names += (Names.empty() ? "" : " ") + Domain.str();
  logEvent(LogLevel::Info, "peers", "remote-domains", {{"domains", Names}});
}

std::shared_ptr<const FleetView> PeersThread::currentView() const {
  return LastView ? LastView : Members->view();
}

void PeersThread::handleDatagram(std::string_view Bytes, const Endpoint &From) {
  BytesReceived.add(Bytes.size());
  handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Message, decodeDatagram(Bytes, Auth));
        Shared.LastPeerContact = now().ms();
        execute(Members->receive(Message, From, now()));
        return true;
      },
      [&](const Error &E) {
        BadDatagrams.add();
        logEvent(LogLevel::Debug, "peers", "bad-datagram",
                 {{"from", toString(From)}, {"error", E.Message}});
        return false;
      });
}

void PeersThread::receive(OutboundGuardMessage Message) {
  const auto *Sent = std::get_if<Dispatch>(&Message.Message);
  const auto *Offered = std::get_if<Offer>(&Message.Message);
  std::shared_ptr<const FleetView> View = currentView();
  auto It = View->Nodes->find(Message.Node);
  PeerMessage Frame =
      std::visit([](const auto &M) { return PeerMessage(M); }, Message.Message);
  if (It != View->Nodes->end() &&
      Links->send(Message.Node, It->second.Address, Frame)) {
    Outstanding.recordSent(Message.Node, Message.Message);
    return;
  }
  if (Sent)
    sendToCallers(makeNotRunFailure(Sent->Info.Attempt, Reason::LinkLost));
  else if (Offered)
    sendToCallers(makeNotRunFailure(Offered->Info.Attempt, Reason::LinkLost));
  else if (const auto *KeyRequest = std::get_if<MintKey>(&Message.Message))
    sendToCallers(KeyMinted{KeyRequest->Token, "", Duration()});
}

void PeersThread::receive(BackendsToPeersMessage Message) {
  std::visit(
      Overloaded{
          [&](OutboundEntryMessage &M) {
            Links->reply(M.Link, std::visit(
                                     [](auto &Inner) {
                                       return PeerMessage(std::move(Inner));
                                     },
                                     M.Message));
          },
          [&](BackendServerRecord &M) { Members->publish(M, now()); },
          [&](OutboundDepartureCopy &M) { sendDepartures(M); },
          [&](Quarantine &M) {
            Members->publishQuarantine(
                QuarantineRecord{M.Fingerprint,
                                 static_cast<std::uint32_t>(M.Period.ms()), 0,
                                 false, ServiceName()},
                now());
          },
          [&](CrashMark &M) {
            Members->publishQuarantine(
                QuarantineRecord{M.Fingerprint, CrashMarkPeriodMs, M.CrashId,
                                 M.Repeated, M.Service},
                now());
          }},
      Message);
}

void PeersThread::sendDepartures(const OutboundDepartureCopy &Message) {
  // A refused send needs no handling: the owner repeats it without a reply.
  std::shared_ptr<const FleetView> View = currentView();
  auto It = View->Nodes->find(Message.Node);
  if (It != View->Nodes->end())
    (void)Links->send(Message.Node, It->second.Address, Message.Copy);
}

void PeersThread::receive(PlatformToPeersMessage Message) {
  std::visit(
      Overloaded{[&](TableReply &M) {
                   if (M.Status != TableStatus::Ok)
                     return;
                   ConfigHead Head = handleError(
                       [&]() -> Result<ConfigHead> {
                         BOOST_LEAF_AUTO(Published, parseHead(M.Row.Value));
                         return Published.configHead();
                       },
                       [](const Error &E) {
                         logEvent(LogLevel::Error, "peers", "bad-head",
                                  {{"error", E.Message}});
                         return ConfigHead();
                       });
                   fetch(Config.handleHead(Head, NodeName(), *Members->view(),
                                           *Random, now()));
                 },
                 [&](PieceReadResult &M) {
                   fetch(receivePiece(Piece{M.Hash, M.Bytes.value_or("")}));
                 },
                 [&](DiscoveredNodes &M) {
                   Members->addSeeds(std::move(M.Addresses));
                 }},
      Message);
}

void PeersThread::execute(const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void PeersThread::perform(const SendDatagram &Action) {
  // A gossip round sends the same message to several nodes.
  if (LastEncoded.empty() || LastMessage != Action.Message) {
    LastEncoded = encodeDatagram(Action.Message, Auth);
    LastMessage = Action.Message;
  }
  BytesSent.add(LastEncoded.size());
  Traffic.countDatagram(Action.Message.Kind, Action.CrossesDomains,
                        LastEncoded.size());
  Datagrams->send(Action.Destination, LastEncoded);
}

void PeersThread::perform(const StartSync &Action) {
  std::shared_ptr<const FleetView> View = Members->view();
  auto It = View->Nodes->find(Action.Peer);
  if (It != View->Nodes->end() &&
      !Links->send(Action.Peer, It->second.Address, Members->digest()))
    logEvent(LogLevel::Info, "peers", "sync-dropped",
             {{"node", Action.Peer.str()}});
}

void PeersThread::perform(const ConfigHeadUpdated &Action) {
  fetch(Config.handleHead(Action.Head, Action.Holder, *Members->view(), *Random,
                          now()));
}

void PeersThread::perform(const QuarantineReceived &Action) {
  const QuarantineRecord &R = Action.Record;
  if (R.CrashId != 0)
    sendToBackends(CrashMark{R.Fingerprint, R.CrashId, R.Service, R.Repeated});
  else
    sendToBackends(Quarantine{R.Fingerprint, Duration(R.RemainingMs)});
}

void PeersThread::perform(const NodeStateChanged &Action) {
  Shared.Audit.record("node-state", Action.Node.str(),
                      nodeStateName(Action.State));
  if (Action.State == NodeState::Dead)
    Links->closeLink(Action.Node);
}

void PeersThread::fetch(const std::vector<PieceFetch> &Fetches) {
  for (const PieceFetch &Fetch : Fetches) {
    // A refused send needs no handling: overdue pieces are requested again.
    if (Fetch.Peer)
      (void)Links->send(Fetch.Peer->Name, Fetch.Peer->Address,
                        PieceRequest{Fetch.Hash});
    else
      (void)Shared.PeersToPlatform.trySend(PieceReadRequest{Fetch.Hash});
  }
  publishAdopted();
}

void PeersThread::publishAdopted() {
  std::shared_ptr<const ActiveConfig> Adopted = Config.takeAdopted();
  if (!Adopted)
    return;
  Members->publishHead(Config.head(), now());
  Shared.Audit.record("configuration-adopted", std::to_string(Adopted->Version),
                      Adopted->ManifestHash);
  Lender.configure(rateLimits(Adopted->Objects), now());
  if (Lender.hasLimits())
    Lender.updateView(*currentView(), now());
  Shared.Config.publish(std::move(Adopted));
}

void PeersThread::onGuardMessage(const NodeName &Node, PeerMessage Message) {
  std::visit(
      Overloaded{[&](Delta &M) { execute(Members->apply(M, Node, now())); },
                 [&](Piece &M) { fetch(receivePiece(std::move(M))); },
                 [&](Grant &M) { sendToCallers(M); },
                 [&](AttemptFailed &M) {
                   Outstanding.recordAnswer(Node, M);
                   sendToCallers(std::move(M));
                 },
                 [&](AttemptAnswer &M) {
                   Outstanding.recordAnswer(Node, M);
                   sendToCallers(std::move(M));
                 },
                 [&](AttemptOverdue &M) { sendToCallers(M); },
                 [&](CreditReply &M) {
                   sendCredits(InboundCreditReply{Node, std::move(M)});
                 },
                 [&](KeyMinted &M) {
                   Outstanding.recordAnswer(Node, M);
                   sendToCallers(std::move(M));
                 },
                 [&](DepartureCopyKept &M) {
                   sendToBackends(InboundDepartureCopy{Node, std::move(M)});
                 },
                 [&](auto &) {
                   logEvent(LogLevel::Warning, "peers", "unexpected-message",
                            {{"node", Node.str()}});
                 }},
      Message);
}

std::vector<PieceFetch> PeersThread::receivePiece(Piece Received) {
  std::shared_ptr<const FleetView> View = Members->view();
  if (Received.Bytes.empty())
    return Config.handleMissingPiece(Received.Hash, *View, *Random, now());
  return Config.handlePiece(Received.Hash, std::move(Received.Bytes), *View,
                            *Random, now());
}

void PeersThread::onEntryMessage(LinkId Link, const NodeName &Node,
                                 PeerMessage Message) {
  std::visit(
      Overloaded{
          [&](Offer &M) { forward(Link, std::move(M)); },
          [&](Dispatch &M) { forward(Link, std::move(M)); },
          [&](Cancel &M) {
            sendToBackends(InboundGuardMessage{Link, M});
          },
          [&](MintKey &M) {
            if (!Shared.PeersToBackends.trySend(InboundGuardMessage{Link, M}))
              Links->reply(Link, KeyMinted{M.Token, "", Duration()});
          },
          [&](CreditRequest &M) {
            if (std::optional<CreditReply> Reply = Lender.handle(M, now()))
              Links->reply(Link, std::move(*Reply));
          },
          [&](Digest &M) { answerDigest(Link, M); },
          [&](DepartureCopy &M) {
            Links->reply(Link,
                         DepartureCopyKept{
                             Keeper.keep(Node, M.Servers, now()).servers()});
          },
          [&](PieceRequest &M) {
            Links->reply(Link,
                         Piece{M.Hash, Config.piece(M.Hash).value_or("")});
          },
          [&](auto &) {
            logEvent(LogLevel::Warning, "peers", "unexpected-message",
                     {{"node", Node.str()}});
          }},
      Message);
}

template <typename MessageT>
void PeersThread::forward(LinkId Link, MessageT Message) {
  AttemptId Attempt = Message.Info.Attempt;
  if (!Shared.PeersToBackends.trySend(
          InboundGuardMessage{Link, std::move(Message)}))
    Links->reply(Link, makeNotRunFailure(Attempt, Reason::Overloaded));
}

void PeersThread::answerDigest(LinkId Link, const Digest &Other) {
  std::vector<Delta> Parts = Members->deltasFor(Other, MaxSyncRecords);
  // The peer waits for at least one reply.
  if (Parts.empty())
    Parts.emplace_back();
  for (Delta &Part : Parts)
    Links->reply(Link, std::move(Part));
}

void PeersThread::onGuardDisconnect(const NodeName &Node, bool WasOpen) {
  for (EntryMessage &Message : Outstanding.takeLost(Node, WasOpen))
    sendToCallers(std::move(Message));
  if (Lender.hasLimits())
    sendCredits(CreditNodeLost{Node});
}

void PeersThread::onSent(const NodeName &Node, std::size_t Type,
                         std::size_t Bytes) {
  std::shared_ptr<const FleetView> View = currentView();
  auto It = View->Nodes->find(Node);
  bool CrossesDomains =
      It != View->Nodes->end() && It->second.Domain != Settings.Domain;
  Traffic.countFrame(Type, CrossesDomains, Bytes);
}

void PeersThread::onEntryDisconnect(LinkId Link) {
  sendToBackends(EntryLinkClosed{Link});
}

void PeersThread::sendToCallers(EntryMessage Message) {
  // If the answer is dropped, the entry ends the request with an unknown
  // outcome at its deadline.
  if (!Shared.PeersToCallers.trySend(Message))
    logEvent(LogLevel::Error, "peers", "answer-dropped");
}

void PeersThread::sendToBackends(PeersToBackendsMessage Message) {
  if (!Shared.PeersToBackends.trySend(Message))
    logEvent(LogLevel::Error, "peers", "message-dropped");
}

void PeersThread::publishStatus() {
  Keeper.expire(now());
  boost::json::object Status;
  Status["links"] = Links->linkCount();
  LenderReport.update(Lender, now(), Status);
  Shared.PeersStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
