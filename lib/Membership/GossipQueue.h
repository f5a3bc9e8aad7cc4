#ifndef TEASELHITCH_LIB_MEMBERSHIP_GOSSIPQUEUE_H
#define TEASELHITCH_LIB_MEMBERSHIP_GOSSIPQUEUE_H

/// \file
/// Queue of changes to disseminate by gossip. It holds identities of records
/// instead of records, so the newest version of a record is sent in place of
/// any older one.

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
  std::uint64_t CrashId = 0;
  bool Repeated = false;
  ServiceName Service;

  auto operator<=>(const QuarantineKey &) const = default;
};

/// Identity of a record that is disseminated by gossip.
struct GossipItem {
  enum class Kind : std::uint8_t { Head, Node, Server, Quarantine };
  Kind ItemKind = Kind::Head;
  /// For Node and Server.
  NodeName Node;
  /// For Server.
  BackendServerName Server;
  QuarantineKey Quarantine;

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

/// Orders items by their number of transmissions, fewest first, and items of
/// the same number by the time of insertion, newest first. Removes an item that
/// has reached the transmission limit.
class GossipQueue {
public:
  enum class OfferResult { Taken, DoesNotFit, Obsolete };

  /// Adds an item. Adding a queued item again, because its content changed,
  /// resets its transmission count to Sent.
  void add(const GossipItem &Item, std::uint32_t Sent = 0);
  void remove(const GossipItem &Item);
  /// Records that another node sent a record that is already known here. This
  /// counts as DuplicateWeight transmissions: the more nodes know an item, the
  /// sooner all of them stop sending it.
  void noteDuplicate(const GossipItem &Item, std::uint32_t Limit);

  /// Passes the items in order to Offer until MaxSkipped of them did not fit.
  /// Each taken item counts as sent Copies times, and is removed once it was
  /// sent Limit times.
  /// \param Offer returns an OfferResult for a GossipItem.
  template <typename FunctionT>
  void take(std::uint32_t Copies, std::uint32_t Limit, FunctionT &&Offer) {
    std::vector<GossipItem> Taken, Obsolete;
    unsigned Skipped = 0;
    for (const Position &P : Order) {
      OfferResult Outcome = Offer(*P.Item);
      if (Outcome == OfferResult::Taken)
        Taken.push_back(*P.Item);
      else if (Outcome == OfferResult::Obsolete)
        Obsolete.push_back(*P.Item);
      else if (++Skipped == MaxSkipped)
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
  /// With a weight of 1, each node of a fleet of 400 sends an item about 17
  /// times, far more than it takes to reach all nodes. A weight of 2 saves a
  /// third of these transmissions.
  static constexpr std::uint32_t DuplicateWeight = 2;
  /// A datagram counts as full when this many items did not fit.
  static constexpr unsigned MaxSkipped = 4;

  struct Progress {
    std::uint32_t Sent = 0;
    std::uint64_t InsertionId = 0;
  };
  struct Position {
    std::uint32_t Sent = 0;
    std::uint64_t InsertionId = 0;
    const GossipItem *Item = nullptr;

    bool operator<(const Position &Other) const {
      if (Sent != Other.Sent)
        return Sent < Other.Sent;
      return InsertionId > Other.InsertionId;
    }
  };

  void countSent(const GossipItem &Item, std::uint32_t Copies,
                 std::uint32_t Limit);

  std::map<GossipItem, Progress> Items;
  std::set<Position> Order;
  std::uint64_t LastInsertionId = 0;
};

} // namespace teaselhitch

#endif
