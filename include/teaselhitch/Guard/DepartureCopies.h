#ifndef TEASELHITCH_GUARD_DEPARTURECOPIES_H
#define TEASELHITCH_GUARD_DEPARTURECOPIES_H

/// \file
/// Copies of the departures of a node in the memory of other nodes. The next
/// process of the node reads them when the platform's store does not answer or
/// has lost them.

#include "teaselhitch/Guard/DepartureSet.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace teaselhitch {

/// The side of the node whose backend servers depart: chooses the peers that
/// keep copies and decides when to send them. Does no I/O.
class DepartureCopies {
public:
  explicit DepartureCopies(NodeName Self) : Self(std::move(Self)) {}

  /// Chooses the peers of this view. A peer that has restarted has lost its
  /// copy.
  void updateView(const FleetView &View, Time Now);

  /// Returns the peers to which \p Departures must be sent now: those that lack
  /// a part of it and, if \p ReadsAll, those that have not answered yet.
  std::vector<NodeName> tick(const DepartureSet &Departures, bool ReadsAll,
                             Time Now);

  /// Handles the reply of a peer, which names all that it keeps.
  void receive(const NodeName &Peer, const DepartureSet &Kept);

  /// Returns true if two peers keep a copy, or all if there are fewer.
  bool areKept(const DepartureSet &Departures) const;

  /// Returns true if all chosen peers have answered and the choice has settled.
  bool haveAnswered(Time Now) const;

  /// Returns true if no other node is known.
  bool empty() const { return Peers.empty(); }

private:
  struct Peer {
    NodeName Name;
    /// Incarnation of the node process.
    std::uint64_t Incarnation = 0;
    /// Time and content of the last request.
    std::optional<Time> SentAt;
    DepartureSet Sent;
    bool HasAnswered = false;
    DepartureSet Kept;
  };

  std::vector<Peer> choose(const FleetView &View) const;

  NodeName Self;
  std::vector<Peer> Peers;
  /// When the first peer was chosen; set if there has been one.
  std::optional<Time> FirstChoiceAt;
  /// The nodes of the last view.
  std::shared_ptr<const std::map<NodeName, NodeRecord>> Nodes;
};

/// The side of a peer: keeps the departures that other nodes send. Does no I/O.
class DepartureKeeper {
public:
  /// Joins the departures with those that \p Owner sent before, and returns all
  /// that are kept for it.
  DepartureSet keep(const NodeName &Owner,
                    const std::vector<DepartedServer> &Servers, Time Now);

  /// Drops copies that no late announcement can concern any more.
  void expire(Time Now);

private:
  struct Copy {
    DepartureSet Servers;
    Time WrittenAt;
  };
  std::map<NodeName, Copy> Copies;
};

} // namespace teaselhitch

#endif
