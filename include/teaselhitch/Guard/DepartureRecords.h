#ifndef TEASELHITCH_GUARD_DEPARTURERECORDS_H
#define TEASELHITCH_GUARD_DEPARTURERECORDS_H

/// \file
/// The records of a node's departures outside of its process, and what follows
/// from them: when a departure may be acknowledged, and when announcements may
/// be believed.

#include "teaselhitch/Guard/DepartureCopies.h"
#include "teaselhitch/Guard/DepartureLog.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselhitch {

/// Whether a backend server gets the acknowledgement of its departure.
enum class DepartureReply : std::uint8_t {
  Wait,
  Acknowledge,
  /// The departure could not be recorded in time. It stays in force, but the
  /// backend server should call again.
  Refuse,
};

/// Does no I/O: the owner sends the requests and passes on the replies.
class DepartureRecords {
public:
  /// \param IsFirstStart there is no earlier process of the node, so there is
  /// nothing to read.
  DepartureRecords(const NodeName &Node, bool IsFirstStart)
      : Log(Node, IsFirstStart), Copies(Node), HasPredecessors(!IsFirstStart),
        IsRead(IsFirstStart) {}

  void record(const DepartedServer &Server) { Log.record(Server); }

  /// Requests that are due.
  struct Requests {
    std::optional<TableRequest> Store;
    /// Peers to which departures() must be sent.
    std::vector<NodeName> Peers;
  };
  Requests tick(Time Now);

  void updateView(const FleetView &View, Time Now) {
    Copies.updateView(View, Now);
  }

  /// Handles a reply of the store or of a peer. Returns the departures that
  /// this process did not know. Once isRead() is true, those without an
  /// incarnation are left out, since they could be taken for departures of
  /// later processes.
  std::vector<DepartedServer> reply(const TableReply &Reply, Time Now);
  std::vector<DepartedServer> reply(const NodeName &Peer,
                                    const DepartureCopyKept &Reply);

  /// Decides on the reply to a departure that arrived at \p ReceivedAt.
  DepartureReply replyFor(const DepartedServer &Server, Time ReceivedAt,
                          Time Now) const;

  /// Returns true once the records of earlier processes were read, or could not
  /// be read in time.
  bool isRead(Time Now);
  /// Returns true if the store and the peers had both answered when isRead()
  /// became true, or if there was nothing to read.
  bool isReadCompletely() const { return IsReadCompletely; }

  /// Returns true if neither the store nor a peer lacks a departure.
  bool isComplete() const;

  const std::vector<DepartedServer> &departures() const {
    return Log.departures().servers();
  }

private:
  DepartureLog Log;
  DepartureCopies Copies;
  bool HasPredecessors;
  bool IsRead;
  bool IsReadCompletely = true;
  /// Time of the first call.
  std::optional<Time> StartedAt;
};

} // namespace teaselhitch

#endif
