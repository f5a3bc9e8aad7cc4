#ifndef TEASELHITCH_DETECTION_EJECTIONLEASES_H
#define TEASELHITCH_DETECTION_EJECTIONLEASES_H

/// \file
/// Ejections as leases in a table of the platform, so that even guards that
/// cannot communicate never reduce a service below its floor, the minimum
/// number of backend servers in use. Performs no I/O and reads no clock; the
/// caller passes in events and the time and executes the returned actions.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/TableRequests.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace teaselhitch {

/// The lease was acquired: the backend server is out of use from now on.
struct Ejected {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const Ejected &) const = default;
};

enum class ReadmitReason : std::uint8_t {
  /// The holder called readmit().
  Requested,
  /// Fewer backend servers of the service than its floor are in use.
  FloorReached,
  /// The lease was not renewed in time.
  LeaseExpired,
  /// Another guard removed the lease from the row, or the store was restored
  /// from an older copy, which may lack the lease.
  LeaseLost,
};
/// Returns "requested", "floor-reached", "lease-expired" or "lease-lost".
const char *readmitReasonName(ReadmitReason Reason);

/// The lease has ended: the backend server is in use again.
struct Readmitted {
  ServiceName Service;
  BackendServerName Server;
  ReadmitReason Reason = ReadmitReason::Requested;

  auto operator<=>(const Readmitted &) const = default;
};

using LeaseAction = std::variant<TableRequest, Ejected, Readmitted>;
using LeaseActions = std::vector<LeaseAction>;

struct EjectionSettings {
  NodeName Node;
  /// Increases with each start of the node.
  std::uint64_t Incarnation = 0;
  Duration RenewInterval = Duration::seconds(10);
  /// A lease is valid for this long after the start of its last renewal. Must
  /// be well below RemoveAfter; the margin covers clocks that run at different
  /// rates.
  Duration Validity = Duration::seconds(30);
  /// A lease of another guard is removed if its row entry has not changed for
  /// this long.
  Duration RemoveAfter = Duration::seconds(45);
  /// Delay before the next attempt after a failed operation or an ejection that
  /// the floor prevented.
  Duration RetryInterval = Duration::seconds(1);
};

/// The ejections that the guard of one node holds or has requested.
///
/// Guarantees, provided that all guards of a service use the same durations:
/// - After each Ejected action, at least as many backend servers as the floor
///   are ready and not ejected in the view of this guard.
/// - A lease expires by the clock of its holder, even if the platform is not
///   reachable.
/// - Each Ejected is followed by at most one Readmitted.
///
/// The leases are stored in the table `ejections`, which has one row per
/// service with the value
/// `{"holders":[{"node","incarnation","server","renewal"}]}`.
class EjectionLeases {
public:
  /// Returns InvalidInput if the node has no name or the durations are
  /// inconsistent.
  static Result<std::unique_ptr<EjectionLeases>>
  create(EjectionSettings Settings);
  virtual ~EjectionLeases() = default;

  /// Sets the floor of a service and the view of its backend servers. Ejects
  /// nothing while there is no view. Readmits backend servers while fewer than
  /// the floor are in use.
  virtual LeaseActions view(const ServiceName &Service,
                            std::shared_ptr<const ServiceView> View,
                            std::uint32_t Floor, Time Now) = 0;

  /// Requests the ejection of a backend server of this node. The request stays
  /// pending until readmit() is called or a lease for the backend server ends.
  virtual LeaseActions eject(const ServiceName &Service,
                             const BackendServerName &Server, Time Now) = 0;
  /// Cancels a pending ejection or releases the lease.
  virtual LeaseActions readmit(const ServiceName &Service,
                               const BackendServerName &Server, Time Now) = 0;

  /// Handles a reply of the platform. Replies with an unknown token are
  /// ignored. After a restore of the store, all leases end, because another
  /// guard may take the capacity that they use; the rows are read again.
  virtual LeaseActions reply(const TableReply &Reply, Time Now) = 0;

  /// Expires and renews leases. Must be called at least every 50 ms.
  virtual LeaseActions tick(Time Now) = 0;

  /// Returns true while the lease is valid by the clock of this node.
  virtual bool holds(const ServiceName &Service,
                     const BackendServerName &Server, Time Now) const = 0;
};

} // namespace teaselhitch

#endif
