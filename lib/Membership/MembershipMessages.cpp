/// \file
/// Datagrams: what received ones cause, and what goes into sent ones.

#include "MembershipCore.h"

#include <algorithm>
#include <cmath>

namespace teaselhitch {

namespace {

/// Least number of transmissions of an item. Small fleets have few changes, and
/// with 3 log2 n alone one in ten would miss a node and wait for anti-entropy.
constexpr std::uint32_t MinTransmissions = 30;
constexpr std::size_t MaxRelays = 1024;

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
  // A leaving node is suspected without a word, so it need not refute.
  NodeEntry *Sender = Records.find(Message.Sender);
  if (Sender != nullptr && Sender->Record.State == NodeState::Leaving)
    Sender->SuspectedUntil.reset();
  Merge M{Source::Gossip, &From, Now, Out, {}};
  merge(Message.Changes, M);
  for (const GossipItem &Item : M.Learned)
    Queue.add(Item);
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
  if (std::optional<NodeRecord> Claim = claimAbout(Message))
    reply(From, *Claim, Now, Out);
  return Out;
}

void MembershipCore::onProbe(const Datagram &Message, const Endpoint &From,
                             Time Now, MembershipActions &Out) {
  std::vector<NodeRecord> First;
  // A sender that introduces itself may not know us either.
  for (const NodeRecord &Record : Message.Changes.Nodes)
    if (Record.Name == Message.Sender && First.empty())
      First.push_back(Self->Record);
  if (std::optional<NodeRecord> Claim = claimAbout(Message))
    First.push_back(*Claim);
  Datagram Ack = compose(DatagramKind::ProbeAck, First, 1, Now);
  Ack.Sequence = Message.Sequence;
  Out.emplace_back(SendDatagram{From, std::move(Ack)});
}

void MembershipCore::onProbeAck(const Datagram &Message, Time Now,
                                MembershipActions &Out) {
  if (auto It = Relays.find(Message.Sequence);
      It != Relays.end() && It->second.Target == Message.Sender) {
    Datagram Ack = compose(DatagramKind::ProbeAck, {}, 1, Now);
    Ack.Sequence = It->second.Sequence;
    Out.emplace_back(SendDatagram{It->second.Origin, std::move(Ack)});
    Relays.erase(It);
    return;
  }
  auto It = Pending.find(Message.Sequence);
  if (It == Pending.end())
    return;
  // A helper may answer for the target once it was asked to.
  if (It->second.Target != Message.Sender && !It->second.IndirectSent)
    return;
  Pending.erase(It);
}

void MembershipCore::onIndirectProbe(const Datagram &Message,
                                     const Endpoint &From, Time Now,
                                     MembershipActions &Out) {
  const NodeEntry *Target = Records.find(Message.Target);
  if (Target == nullptr || !Target->isKnown() || Relays.size() >= MaxRelays)
    return;
  Datagram Probe = compose(DatagramKind::Probe, {}, 1, Now);
  Probe.Sequence = ++LastSequence;
  Relays[Probe.Sequence] = {Message.Target, From, Message.Sequence,
                            Now + Settings.ProbeInterval};
  Out.emplace_back(SendDatagram{Target->Record.Address, std::move(Probe)});
}

/// What the sender should know of itself: that it is suspected, that a higher
/// incarnation of it is known, or that its record is missing here.
std::optional<NodeRecord>
MembershipCore::claimAbout(const Datagram &Message) const {
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

Datagram MembershipCore::compose(DatagramKind Kind,
                                 const std::vector<NodeRecord> &First,
                                 std::uint32_t Copies, Time Now,
                                 const NodeName &Target) {
  Datagram Message;
  Message.Kind = Kind;
  Message.Sender = Self->Record.Name;
  Message.SenderIncarnation = Self->Record.Version.Incarnation;
  Message.Target = Target;
  DatagramSize Size(Message.Sender);
  Size.addTarget(Target, Settings.MaxDatagramBytes);
  for (const NodeRecord &Record : First)
    if (Size.add(Record, Settings.MaxDatagramBytes))
      Message.Changes.Nodes.push_back(Record);
  Queue.take(Copies, transmitLimit(), [&](const GossipItem &Item) {
    return offer(Item, Message.Changes, Size, Now);
  });
  return Message;
}

GossipQueue::Verdict MembershipCore::offer(const GossipItem &Item,
                                           Delta &Changes, DatagramSize &Size,
                                           Time Now) const {
  using enum GossipQueue::Verdict;
  auto Add = [&](auto &List, const auto &Record) {
    if (!Size.add(Record, Settings.MaxDatagramBytes))
      return DoesNotFit;
    List.push_back(Record);
    return Taken;
  };
  if (Item.What == GossipItem::Kind::Head) {
    if (!Size.add(Head, Settings.MaxDatagramBytes))
      return DoesNotFit;
    Changes.Head = Head;
    return Taken;
  }
  if (Item.What == GossipItem::Kind::Quarantine) {
    auto It = Quarantines.find(Item.Quarantined);
    if (It == Quarantines.end() || It->second <= Now)
      return Obsolete;
    return Add(Changes.Quarantines, recordOf(It->first, It->second - Now));
  }
  const NodeEntry *Entry = Records.find(Item.Node);
  if (Entry == nullptr)
    return Obsolete;
  if (Item.What == GossipItem::Kind::Node)
    return Add(Changes.Nodes, Entry->Record);
  auto It = Entry->Servers.find(Item.Server);
  return It == Entry->Servers.end() ? Obsolete
                                    : Add(Changes.Servers, It->second);
}

void MembershipCore::reply(const Endpoint &To, const NodeRecord &First,
                           Time Now, MembershipActions &Out) {
  if (RepliesLeft == 0)
    return;
  --RepliesLeft;
  Datagram Message = compose(DatagramKind::Gossip, {First}, 1, Now);
  Out.emplace_back(SendDatagram{To, std::move(Message)});
}

std::uint32_t MembershipCore::transmitLimit() const {
  auto Nodes = static_cast<double>(Records.livePeers().size() + 2);
  auto Limit = static_cast<std::uint32_t>(std::ceil(3 * std::log2(Nodes)));
  return std::max(MinTransmissions, Limit);
}

} // namespace teaselhitch
