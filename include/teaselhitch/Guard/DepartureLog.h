#ifndef TEASELHITCH_GUARD_DEPARTURELOG_H
#define TEASELHITCH_GUARD_DEPARTURELOG_H

/// \file
/// Keeps the acknowledged departures of the backend servers of one node in the
/// platform's table, so that the next process of the node still knows them.

#include "teaselhitch/Guard/DepartureSet.h"
#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Platform/TableRequests.h"
#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace teaselhitch {

/// Decides which table requests read and write the row of the node. Does no
/// I/O: the owner sends the requests and passes on the replies.
///
/// The row has the name of the node as its key in the table `departures`. Only
/// the processes of this node write it.
class DepartureLog {
public:
  /// \param IsFirstStart there is no earlier process of the node, so the row
  /// need not be read.
  DepartureLog(NodeName Node, bool IsFirstStart) : Node(std::move(Node)) {
    if (IsFirstStart)
      RowVersion = 0;
  }

  /// Adds a departure. Returns false if it was recorded before.
  bool record(const DepartedServer &Server) { return All.join(Server); }

  /// Returns true if the departure is known to be in the table.
  bool isSaved(const DepartedServer &Server) const {
    return Saved.covers(Server);
  }
  /// Returns true if all departures are known to be in the table.
  bool isSaved() const { return Saved.coversAll(All); }
  /// Returns true once the row was read.
  bool hasRead() const { return HasRead; }

  const DepartureSet &departures() const { return All; }

  /// Returns the next request, if one is due.
  std::optional<TableRequest> tick(Time Now);

  /// Handles a reply; replies to requests of others are ignored. Returns the
  /// departures that earlier processes of the node recorded. After a restore of
  /// the store, the row is read again, and what it lost is written again.
  std::vector<DepartedServer> reply(const TableReply &Reply, Time Now);

private:
  struct Request {
    std::uint64_t Token = 0;
    Time SentAt;
    TableOperation Operation = TableOperation::Read;
    /// The departures that a write contains.
    DepartureSet Servers;
  };

  void forgetStore();
  std::vector<DepartedServer> merge(const std::string &Row);

  NodeName Node;
  DepartureSet All;
  /// What the row is known to contain.
  DepartureSet Saved;
  /// Version of the row; 0 if there is no row, nullopt if this is not known.
  std::optional<std::uint64_t> RowVersion;
  /// The row was read.
  bool HasRead = false;
  /// The store was restored after the row was read. A departure without an
  /// incarnation that only the row contains is then one of an earlier process
  /// of its backend server.
  bool IgnoresUnnamed = false;
  std::optional<Request> InFlight;
  std::uint64_t LastToken = 0;
  Time NextTryAt;
};

} // namespace teaselhitch

#endif
