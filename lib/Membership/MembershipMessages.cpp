/// \file
/// Handles received datagrams and composes the datagrams to send.

#include "MembershipCore.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Minimum number of transmissions of an item. Small fleets have few changes,
/// and with only 3 log2(n) transmissions one change in ten would miss a node
/// until the next anti-entropy.
constexpr std::uint32_t MinTransmissions = 30;
constexpr std::size_t MaxRelayedProbes = 1024;

} // namespace

MembershipActions MembershipCore::receive(const Datagram &Message,
                                          const Endpoint &From, Time Now) {
  MembershipActions Out;
  if (Message.Sender == Self->Record.Name) {
    if (Message.SenderIncarnation > Self->Record.Version.Incarnation) {
      ++Counters.ForeignWrites;
      raiseIncarnation(Message.SenderIncarnation, Now);
    }
    return Out;
  }
  // The suspicion of a leaving node is not gossiped, so the node cannot refute
  // it; any datagram from the node ends the suspicion.
  NodeEntry *Sender = Records.find(Message.Sender);
  if (Sender != nullptr && Sender->Record.State == NodeState::Leaving)
    Sender->SuspicionDeadline.reset();
  MergeContext M{ChannelKind::Gossip, &From, Message.Sender, Now, Out, {}};
  merge(Message.Changes, M);
  for (const GossipItem &Item : M.NewItems)
    enqueue(Item, ItemOrigin::Shared, Message.Sender);
  switch (Message.Kind) {
  case DatagramKind::Probe:
    onProbe(Message, From, Now, Out);
    return Out;
  case DatagramKind::ProbeAck:
    onProbeAck(Message, Now, Out);
    break;
  case DatagramKind::IndirectProbe:
    onIndirectProbe(Message, From, Now, Out);
    break;
  case DatagramKind::Gossip:
    break;
  }
  if (std::optional<NodeRecord> Claim = senderClaim(Message))
    reply(From, Records.find(Message.Sender), *Claim, Now, Out);
  return Out;
}

void MembershipCore::onProbe(const Datagram &Message, const Endpoint &From,
                             Time Now, MembershipActions &Out) {
  std::vector<NodeRecord> PriorityRecords;
  // A sender that includes its own record may not know this node either.
  for (const NodeRecord &Record : Message.Changes.Nodes)
    if (Record.Name == Message.Sender && PriorityRecords.empty())
      PriorityRecords.push_back(Self->Record);
  if (std::optional<NodeRecord> Claim = senderClaim(Message))
    PriorityRecords.push_back(*Claim);
  const NodeEntry *Sender = Records.find(Message.Sender);
  Datagram Ack =
      compose(DatagramKind::ProbeAck, Sender, PriorityRecords, 1, Now);
  Ack.Sequence = Message.Sequence;
  send(From, Sender, std::move(Ack), Out);
}

void MembershipCore::onProbeAck(const Datagram &Message, Time Now,
                                MembershipActions &Out) {
  if (auto It = RelayedProbes.find(Message.Sequence);
      It != RelayedProbes.end() && It->second.Target == Message.Sender) {
    const NodeEntry *Origin = Records.find(It->second.OriginNode);
    Datagram Ack = compose(DatagramKind::ProbeAck, Origin, {}, 1, Now);
    Ack.Sequence = It->second.Sequence;
    send(It->second.Origin, Origin, std::move(Ack), Out);
    RelayedProbes.erase(It);
    return;
  }
  auto It = PendingProbes.find(Message.Sequence);
  if (It == PendingProbes.end())
    return;
  // A relay node may answer for the target after the indirect probes were sent.
  if (It->second.Target != Message.Sender && !It->second.IndirectSent)
    return;
  recordRoundTrip(It->second, Now);
  PendingProbes.erase(It);
}

void MembershipCore::onIndirectProbe(const Datagram &Message,
                                     const Endpoint &From, Time Now,
                                     MembershipActions &Out) {
  const NodeEntry *Target = Records.find(Message.Target);
  if (Target == nullptr || !Target->isKnown() ||
      RelayedProbes.size() >= MaxRelayedProbes)
    return;
  Datagram Probe = compose(DatagramKind::Probe, Target, {}, 1, Now);
  Probe.Sequence = ++LastSequence;
  RelayedProbes[Probe.Sequence] = {Message.Target, From, Message.Sender,
                                   Message.Sequence,
                                   Now + Settings.ProbeInterval};
  send(Target->Record.Address, Target, std::move(Probe), Out);
}

/// Returns a claim for the sender to refute: that it is suspected or dead, that
/// a higher incarnation of it is known, or that its record is missing here.
std::optional<NodeRecord>
MembershipCore::senderClaim(const Datagram &Message) const {
  const NodeEntry *Entry = Records.find(Message.Sender);
  std::uint64_t Known =
      Entry == nullptr ? 0 : Entry->Record.Version.Incarnation;
  if (Known < Message.SenderIncarnation) {
    NodeRecord Missing;
    Missing.Name = Message.Sender;
    Missing.State = NodeState::Dead;
    return Missing;
  }
  if (Entry != nullptr &&
      (Known > Message.SenderIncarnation ||
       Entry->Record.State == NodeState::Suspected || Entry->isDead()))
    return Entry->Record;
  return std::nullopt;
}

Datagram MembershipCore::compose(DatagramKind Kind, const NodeEntry *To,
                                 const std::vector<NodeRecord> &PriorityRecords,
                                 std::uint32_t Copies, Time Now,
                                 const NodeName &Target) {
  Datagram Message;
  Message.Kind = Kind;
  Message.Sender = Self->Record.Name;
  Message.SenderIncarnation = Self->Record.Version.Incarnation;
  Message.Target = Target;
  DatagramSize Size(Message.Sender);
  Size.addTarget(Target, Settings.MaxDatagramBytes);
  for (const NodeRecord &Record : PriorityRecords)
    if (Size.add(Record, Settings.MaxDatagramBytes))
      Message.Changes.Nodes.push_back(Record);
  auto Add = [&](const GossipItem &Item) {
    return addItem(Item, Message.Changes, Size, Now);
  };
  if (To == nullptr || !isRemote(*To))
    Queue.take(Copies, transmitLimit(), Add);
  else if (To->Record.State == NodeState::Alive)
    RemoteQueues[To->Record.Domain].take(Copies, RemoteCopies, Add);
  return Message;
}

void MembershipCore::send(const Endpoint &Address, const NodeEntry *To,
                          Datagram Message, MembershipActions &Out) const {
  bool CrossesDomains = To != nullptr && To->isKnown() &&
                        To->Record.Domain != Self->Record.Domain;
  Out.emplace_back(SendDatagram{Address, std::move(Message), CrossesDomains});
}

GossipQueue::OfferResult MembershipCore::addItem(const GossipItem &Item,
                                                 Delta &Changes,
                                                 DatagramSize &Size,
                                                 Time Now) const {
  using enum GossipQueue::OfferResult;
  auto Add = [&](auto &List, const auto &Record) {
    if (!Size.add(Record, Settings.MaxDatagramBytes))
      return DoesNotFit;
    List.push_back(Record);
    return Taken;
  };
  if (Item.ItemKind == GossipItem::Kind::Head) {
    if (!Size.add(Head, Settings.MaxDatagramBytes))
      return DoesNotFit;
    Changes.Head = Head;
    return Taken;
  }
  if (Item.ItemKind == GossipItem::Kind::Quarantine) {
    auto It = Quarantines.find(Item.Quarantine);
    if (It == Quarantines.end() || It->second <= Now)
      return Obsolete;
    return Add(Changes.Quarantines,
               makeQuarantineRecord(It->first, It->second - Now));
  }
  const NodeEntry *Entry = Records.find(Item.Node);
  if (Entry == nullptr)
    return Obsolete;
  if (Item.ItemKind == GossipItem::Kind::Node)
    return Add(Changes.Nodes, Entry->Record);
  auto It = Entry->Servers.find(Item.Server);
  return It == Entry->Servers.end() ? Obsolete
                                    : Add(Changes.Servers, It->second);
}

void MembershipCore::reply(const Endpoint &Address, const NodeEntry *To,
                           const NodeRecord &Record, Time Now,
                           MembershipActions &Out) {
  if (RepliesLeft == 0)
    return;
  --RepliesLeft;
  Datagram Message = compose(DatagramKind::Gossip, To, {Record}, 1, Now);
  send(Address, To, std::move(Message), Out);
}

std::uint32_t MembershipCore::transmitLimit() const {
  auto Nodes = static_cast<double>(Records.livePeers().size() + 2);
  auto Limit = static_cast<std::uint32_t>(std::ceil(3 * std::log2(Nodes)));
  return std::max(MinTransmissions, Limit);
}

} // namespace teaselhitch
