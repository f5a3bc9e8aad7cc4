#ifndef TEASELHITCH_LIB_MEMBERSHIP_GOSSIPQUEUE_H
#define TEASELHITCH_LIB_MEMBERSHIP_GOSSIPQUEUE_H

/// \file
/// Changes that still have to be passed on. Holds identities, not records, so
/// that a newer version replaces an older one without a trace.

#include "teaselhitch/Model/Names.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// Identity of a QuarantineRecord.
struct QuarantineKey {
  std::uint64_t Fingerprint = 0;
  std::uint64_t Crash = 0;
  bool Repeated = false;
  ServiceName Service;

  auto operator<=>(const QuarantineKey &) const = default;
};

/// Identifies something that spreads by gossip.
struct GossipItem {
  enum class Kind : std::uint8_t { Head, Node, Server, Quarantine };
  Kind What = Kind::Head;
  /// For Node and Server.
  NodeName Node;
  /// For Server.
  BackendServerName Server;
  QuarantineKey Quarantined;

  auto operator<=>(const GossipItem &) const = default;

  static GossipItem head() { return {}; }
  static GossipItem node(NodeName Name) {
    return {Kind::Node, std::move(Name), {}, {}};
  }
  static GossipItem server(BackendServerId Id) {
    return {Kind::Server, std::move(Id.Node), std::move(Id.Name), {}};
  }
  static GossipItem quarantine(QuarantineKey Key) {
    return {Kind::Quarantine, {}, {}, std::move(Key)};
  }
};

/// Gives out the least sent items first, the newest first among these, and
/// forgets an item when it was sent often enough.
class GossipQueue {
public:
  enum class Verdict { Taken, DoesNotFit, Obsolete };

  /// Adds an item, or starts it anew when its content changed.
  void add(const GossipItem &Item);
  void remove(const GossipItem &Item);
  /// Another node sent us what we know already. Counts as DuplicateWeight
  /// transmissions: the more nodes know of an item, the sooner everyone stops
  /// sending it.
  void noteDuplicate(const GossipItem &Item, std::uint32_t Limit);

  /// Offers items in order until several in a row do not fit. Taken ones count
  /// as sent Copies times.
  /// \param Offer gives a Verdict for a GossipItem.
  template <typename FunctionT>
  void take(std::uint32_t Copies, std::uint32_t Limit, FunctionT &&Offer) {
    std::vector<GossipItem> Taken, Obsolete;
    unsigned Misfits = 0;
    for (const Position &P : Order) {
      Verdict V = Offer(*P.Item);
      if (V == Verdict::Taken)
        Taken.push_back(*P.Item);
      else if (V == Verdict::Obsolete)
        Obsolete.push_back(*P.Item);
      else if (++Misfits == MaxMisfits)
        break;
    }
    for (const GossipItem &Item : Obsolete)
      remove(Item);
    for (const GossipItem &Item : Taken)
      countSent(Item, Copies, Limit);
  }

  bool empty() const { return Items.empty(); }
  std::size_t size() const { return Items.size(); }

private:
  /// With 1, each node sends an item about 17 times at 400 nodes, far more than
  /// it takes to reach all of them; 2 saves a third of these.
  static constexpr std::uint32_t DuplicateWeight = 2;
  /// A datagram is full when this many items did not fit.
  static constexpr unsigned MaxMisfits = 4;

  struct Progress {
    std::uint32_t Sent = 0;
    std::uint64_t Stamp = 0;
  };
  struct Position {
    std::uint32_t Sent = 0;
    std::uint64_t Stamp = 0;
    const GossipItem *Item = nullptr;

    bool operator<(const Position &Other) const {
      if (Sent != Other.Sent)
        return Sent < Other.Sent;
      return Stamp > Other.Stamp;
    }
  };

  void countSent(const GossipItem &Item, std::uint32_t Copies,
                 std::uint32_t Limit);

  std::map<GossipItem, Progress> Items;
  std::set<Position> Order;
  std::uint64_t LastStamp = 0;
};

} // namespace teaselhitch

#endif
