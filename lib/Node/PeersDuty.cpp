#include "PeersDuty.h"

#include "teaselhitch/Config/Head.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <random>

namespace teaselhitch {

namespace {

constexpr Duration TickInterval = Duration(20);
constexpr Duration StatusInterval = Duration(500);
/// Records in one frame of anti-entropy; about 100 bytes each.
constexpr std::size_t SyncRecords = 500;
/// How long a crash is passed on to nodes that join late, in milliseconds.
constexpr std::uint32_t CrashMarkMs = 600000;
/// Tokens of head reads; no other table requests are sent from this thread.
constexpr std::uint64_t HeadToken = 1;

TableRequest headRequest() {
  TableRequest Request;
  Request.Token = HeadToken;
  Request.Operation = TableOperation::Read;
  Request.Table = ConfigTable;
  Request.Key = ConfigHeadKey;
  return Request;
}

/// Mean time between two polls of a node. A fleet makes at most
/// FleetReadsPerSecond reads, of which the table service takes about 2,000; a
/// small fleet still sees a new version within about a second.
Duration headPollInterval(std::size_t Nodes, Duration Longest) {
  constexpr double FleetReadsPerSecond = 140;
  constexpr Duration Shortest = Duration::seconds(1);
  Duration Shared =
      Duration::seconds(static_cast<double>(Nodes) / FleetReadsPerSecond);
  return std::min(std::max(Shared, Shortest), Longest);
}

MembershipSettings membershipSettings(const NodeSettings &Settings) {
  MembershipSettings Result;
  Result.Seeds = Settings.Seeds;
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

PeersDuty::PeersDuty(const NodeSettings &Settings, Channels &Rings)
    : Settings(Settings), Rings(Rings),
      Random(std::make_unique<SeededRandom>(std::random_device()())),
      Config(Settings.Node),
      BytesSent(Rings.Metrics.counter("teaselhitch_gossip_sent_bytes_total",
                                      "Bytes of datagrams sent.")),
      BytesReceived(
          Rings.Metrics.counter("teaselhitch_gossip_received_bytes_total",
                                "Bytes of datagrams received.")),
      BadDatagrams(
          Rings.Metrics.counter("teaselhitch_bad_datagrams_total",
                                "Datagrams dropped as malformed or not "
                                "authentic.")) {
  Auth.Fleet = Settings.Fleet;
  Auth.CurrentKey = Settings.Secret;
  if (!Settings.PreviousSecret.empty())
    Auth.PreviousKey = Settings.PreviousSecret;
}

Result<std::unique_ptr<PeersDuty>>
PeersDuty::create(const NodeSettings &Settings, bool PollsHead,
                  std::uint64_t Incarnation, Channels &Rings) {
  std::unique_ptr<PeersDuty> Made(new PeersDuty(Settings, Rings));
  PeersDuty *Self = Made.get();
  BOOST_LEAF_ASSIGN(Made->Members,
                    Membership::create(membershipSettings(Settings),
                                       selfRecord(Settings, Incarnation),
                                       *Made->Random, Self->now()));
  PeerLinksSettings LinkSettings;
  LinkSettings.Listen = Settings.Peers;
  LinkSettings.Self.Fleet = Settings.Fleet;
  LinkSettings.Self.Node = Settings.Node;
  LinkSettings.Self.Incarnation = Incarnation;
  LinkSettings.Self.Domain = Settings.Domain;
  BOOST_LEAF_ASSIGN(Made->Links,
                    PeerLinks::create(Made->Loop, LinkSettings, *Self));
  BOOST_LEAF_ASSIGN(Made->Datagrams,
                    DatagramSocket::create(
                        Made->Loop, Settings.Peers,
                        [Self](std::string_view Bytes, const Endpoint &From) {
                          Self->onDatagram(Bytes, From);
                        }));
  Self->Duty::receive(Rings.CallersToPeers,
                      [Self](ToGuard &&M) { Self->receive(std::move(M)); });
  Self->Duty::receive(Rings.BackendsToPeersRing, [Self](BackendsToPeers &&M) {
    Self->receive(std::move(M));
  });
  Self->Duty::receive(Rings.PlatformToPeersRing, [Self](PlatformToPeers &&M) {
    Self->receive(std::move(M));
  });
  Self->Duty::receive(Rings.OperatorsToPeers, [&Rings](RefreshConfig &&) {
    // A full ring means that the platform is slow; the next poll asks again.
    (void)Rings.PeersToPlatformRing.trySend(headRequest());
  });
  Self->Duty::receive(Rings.ConfigToPeers, [Self](SourcedConfig &&Read) {
    Self->fetch(Self->Config.setRead(Read, *Self->Members->view(),
                                     *Self->Random, Self->now()));
  });
  if (PollsHead)
    Self->Loop.post([Self] { Self->pollHead(); });
  Self->Loop.every(TickInterval, [Self] { Self->tick(); });
  Self->Loop.every(StatusInterval, [Self] { Self->publishStatus(); });
  return Made;
}

void PeersDuty::leave() {
  Loop.post([this] { Members->leave(now()); });
}

void PeersDuty::pollHead() {
  (void)Rings.PeersToPlatformRing.trySend(headRequest());
  std::shared_ptr<const FleetView> View = Members->view();
  std::size_t Nodes = View->Nodes ? View->Nodes->size() : 1;
  Duration Interval = headPollInterval(Nodes, Settings.HeadPollInterval);
  // A random part keeps nodes that start together from reading together.
  Loop.after(Interval * (0.5 + Random->uniform()), [this] { pollHead(); });
}

void PeersDuty::tick() {
  run(Members->tick(now()));
  Links->tick(now());
  fetch(Config.tick(*Members->view(), *Random, now()));
  std::shared_ptr<const FleetView> View = Members->view();
  if (View == LastView)
    return;
  LastView = View;
  Rings.View.publish(std::move(View));
}

void PeersDuty::onDatagram(std::string_view Bytes, const Endpoint &From) {
  BytesReceived.add(Bytes.size());
  handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Message, decodeDatagram(Bytes, Auth));
        run(Members->receive(Message, From, now()));
        return true;
      },
      [&](const Error &E) {
        BadDatagrams.add();
        logEvent(LogLevel::Debug, "peers", "bad-datagram",
                 {{"from", toString(From)}, {"error", E.Message}});
        return false;
      });
}

void PeersDuty::receive(ToGuard Message) {
  const auto *Sent = std::get_if<Dispatch>(&Message.Message);
  const auto *Offered = std::get_if<Offer>(&Message.Message);
  std::shared_ptr<const FleetView> View = Members->view();
  auto It = View->Nodes->find(Message.Node);
  PeerMessage Frame =
      std::visit([](const auto &M) { return PeerMessage(M); }, Message.Message);
  if (It != View->Nodes->end() &&
      Links->send(Message.Node, It->second.Address, Frame)) {
    Outstanding.sent(Message.Node, Message.Message);
    return;
  }
  if (Sent)
    toCallers(notSent(Sent->Info.Attempt, Reason::LinkLost));
  else if (Offered)
    toCallers(notSent(Offered->Info.Attempt, Reason::LinkLost));
  else if (const auto *Mint = std::get_if<MintKey>(&Message.Message))
    toCallers(KeyMinted{Mint->Token, "", Duration()});
}

void PeersDuty::receive(BackendsToPeers Message) {
  std::visit(
      Overloaded{
          [&](ToEntry &M) {
            Links->answer(M.Link, std::visit(
                                      [](auto &Inner) {
                                        return PeerMessage(std::move(Inner));
                                      },
                                      M.Message));
          },
          [&](BackendServerRecord &M) { Members->publish(M, now()); },
          [&](Quarantine &M) {
            Members->publishQuarantine(
                QuarantineRecord{M.Fingerprint,
                                 static_cast<std::uint32_t>(M.Period.ms()), 0,
                                 false, ServiceName()},
                now());
          },
          [&](CrashMark &M) {
            Members->publishQuarantine(QuarantineRecord{M.Fingerprint,
                                                        CrashMarkMs, M.CrashId,
                                                        M.Repeated, M.Service},
                                       now());
          }},
      Message);
}

void PeersDuty::receive(PlatformToPeers Message) {
  std::visit(Overloaded{[&](TableReply &M) {
                          if (M.Status != TableStatus::Ok)
                            return;
                          ConfigHead Head = handleError(
                              [&]() -> Result<ConfigHead> {
                                BOOST_LEAF_AUTO(Published,
                                                parseHead(M.Row.Value));
                                return Published.configHead();
                              },
                              [](const Error &E) {
                                logEvent(LogLevel::Error, "peers", "bad-head",
                                         {{"error", E.Message}});
                                return ConfigHead();
                              });
                          fetch(Config.headSeen(Head, false, *Members->view(),
                                                *Random, now()));
                        },
                        [&](PieceRead &M) {
                          fetch(takePiece(Piece{M.Hash, M.Bytes.value_or("")}));
                        },
                        [&](NodesFound &M) {
                          Members->addSeeds(std::move(M.Addresses));
                        }},
             Message);
}

void PeersDuty::run(const MembershipActions &Actions) {
  for (const MembershipAction &Action : Actions)
    std::visit([&](const auto &A) { perform(A); }, Action);
}

void PeersDuty::perform(const SendDatagram &Action) {
  std::string Bytes = encodeDatagram(Action.Message, Auth);
  BytesSent.add(Bytes.size());
  Datagrams->send(Action.Destination, Bytes);
}

void PeersDuty::perform(const StartSync &Action) {
  std::shared_ptr<const FleetView> View = Members->view();
  auto It = View->Nodes->find(Action.Peer);
  if (It != View->Nodes->end() &&
      !Links->send(Action.Peer, It->second.Address, Members->digest()))
    logEvent(LogLevel::Info, "peers", "sync-dropped",
             {{"node", Action.Peer.str()}});
}

void PeersDuty::perform(const ConfigHeadUpdated &Action) {
  fetch(Config.headSeen(Action.Head, true, *Members->view(), *Random, now()));
}

void PeersDuty::perform(const QuarantineReceived &Action) {
  const QuarantineRecord &R = Action.Record;
  if (R.CrashId != 0)
    toBackends(CrashMark{R.Fingerprint, R.CrashId, R.Service, R.Repeated});
  else
    toBackends(Quarantine{R.Fingerprint, Duration(R.RemainingMs)});
}

void PeersDuty::perform(const NodeStateChanged &Action) {
  Rings.Audit.record("node-state", Action.Node.str(),
                     nodeStateName(Action.State));
  if (Action.State == NodeState::Dead)
    Links->closeLink(Action.Node);
}

void PeersDuty::fetch(const std::vector<PieceFetch> &Fetches) {
  for (const PieceFetch &Fetch : Fetches) {
    // Overdue pieces are asked for again, so a refused send is not lost.
    if (Fetch.From)
      (void)Links->send(Fetch.From->Name, Fetch.From->Address,
                        PieceRequest{Fetch.Hash});
    else
      (void)Rings.PeersToPlatformRing.trySend(ReadPiece{Fetch.Hash});
  }
  adopted();
}

void PeersDuty::adopted() {
  std::shared_ptr<const ActiveConfig> Adopted = Config.takeAdopted();
  if (!Adopted)
    return;
  Members->publishHead(Config.head(), now());
  Rings.Audit.record("configuration-adopted", std::to_string(Adopted->Version),
                     Adopted->ManifestHash);
  Rings.Config.publish(std::move(Adopted));
}

void PeersDuty::fromGuard(const NodeName &Node, PeerMessage Message) {
  std::visit(Overloaded{[&](Delta &M) { run(Members->apply(M, now())); },
                        [&](Piece &M) { fetch(takePiece(std::move(M))); },
                        [&](Grant &M) { toCallers(M); },
                        [&](AttemptFailed &M) {
                          Outstanding.answered(Node, M);
                          toCallers(std::move(M));
                        },
                        [&](AttemptAnswer &M) {
                          Outstanding.answered(Node, M);
                          toCallers(std::move(M));
                        },
                        [&](AttemptOverdue &M) { toCallers(M); },
                        [&](KeyMinted &M) {
                          Outstanding.answered(Node, M);
                          toCallers(std::move(M));
                        },
                        [&](auto &) {
                          logEvent(LogLevel::Warning, "peers",
                                   "unexpected-message",
                                   {{"node", Node.str()}});
                        }},
             Message);
}

std::vector<PieceFetch> PeersDuty::takePiece(Piece Received) {
  std::shared_ptr<const FleetView> View = Members->view();
  if (Received.Bytes.empty())
    return Config.pieceMissing(Received.Hash, *View, *Random);
  return Config.pieceArrived(Received.Hash, std::move(Received.Bytes), *View,
                             *Random, now());
}

void PeersDuty::fromEntry(LinkId Link, const NodeName &Node,
                          PeerMessage Message) {
  std::visit(
      Overloaded{[&](Offer &M) { forward(Link, std::move(M)); },
                 [&](Dispatch &M) { forward(Link, std::move(M)); },
                 [&](Cancel &M) {
                   toBackends(FromEntry{Link, M});
                 },
                 [&](MintKey &M) {
                   if (!Rings.PeersToBackendsRing.trySend(FromEntry{Link, M}))
                     Links->answer(Link, KeyMinted{M.Token, "", Duration()});
                 },
                 [&](Digest &M) { answerDigest(Link, M); },
                 [&](PieceRequest &M) {
                   Links->answer(
                       Link, Piece{M.Hash, Config.piece(M.Hash).value_or("")});
                 },
                 [&](auto &) {
                   logEvent(LogLevel::Warning, "peers", "unexpected-message",
                            {{"node", Node.str()}});
                 }},
      Message);
}

template <typename MessageT>
void PeersDuty::forward(LinkId Link, MessageT Message) {
  AttemptId Attempt = Message.Info.Attempt;
  if (!Rings.PeersToBackendsRing.trySend(FromEntry{Link, std::move(Message)}))
    Links->answer(Link, notSent(Attempt, Reason::Overloaded));
}

void PeersDuty::answerDigest(LinkId Link, const Digest &Other) {
  std::vector<Delta> Parts = Members->deltasFor(Other, SyncRecords);
  // The other side waits for at least one reply.
  if (Parts.empty())
    Parts.emplace_back();
  for (Delta &Part : Parts)
    Links->answer(Link, std::move(Part));
}

void PeersDuty::lostGuard(const NodeName &Node, bool WasOpen) {
  for (EntryMessage &Message : Outstanding.lost(Node, WasOpen))
    toCallers(std::move(Message));
}

void PeersDuty::lostEntry(LinkId Link) { toBackends(EntryLost{Link}); }

void PeersDuty::toCallers(EntryMessage Message) {
  // The entry ends the request as unknown at its deadline.
  if (!Rings.PeersToCallers.trySend(Message))
    logEvent(LogLevel::Error, "peers", "answer-dropped");
}

void PeersDuty::toBackends(PeersToBackends Message) {
  if (!Rings.PeersToBackendsRing.trySend(Message))
    logEvent(LogLevel::Error, "peers", "message-dropped");
}

void PeersDuty::publishStatus() {
  boost::json::object Status;
  Status["links"] = Links->linkCount();
  Rings.PeersStatus.publish(
      std::make_shared<boost::json::value>(std::move(Status)));
}

} // namespace teaselhitch
