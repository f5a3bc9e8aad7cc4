#ifndef TEASELHITCH_DETECTION_EJECTIONLEASES_H
#define TEASELHITCH_DETECTION_EJECTIONLEASES_H

/// \file
/// Ejections as leases in the platform's table, so that guards that cannot see
/// one another never take a service below its floor. Pure: events and the time
/// go in, actions come out.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/Requests.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

namespace teaselhitch {

/// The lease is held: the backend server is out of use from now on.
struct Ejected {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const Ejected &) const = default;
};

enum class ReadmitReason : std::uint8_t {
  /// The holder asked for it.
  Requested,
  /// Too few backend servers of the service are in use.
  FloorReached,
  /// The lease was not renewed in time.
  LeaseExpired,
  /// Another guard removed the lease from the row.
  LeaseLost,
};
/// "requested", "floor-reached", "lease-expired" or "lease-lost".
const char *readmitReasonName(ReadmitReason Why);

/// The lease is no longer held: the backend server is in use again.
struct Readmitted {
  ServiceName Service;
  BackendServerName Server;
  ReadmitReason Why = ReadmitReason::Requested;

  auto operator<=>(const Readmitted &) const = default;
};

using LeaseAction = std::variant<TableRequest, Ejected, Readmitted>;
using LeaseActions = std::vector<LeaseAction>;

struct EjectionSettings {
  NodeName Node;
  /// Grows with each start of the node.
  std::uint64_t Incarnation = 0;
  Duration RenewInterval = Duration::seconds(10);
  /// A lease holds for this long after the start of its last renewal. Must be
  /// well below RemoveAfter; the difference allows for clocks that run at
  /// different rates.
  Duration Validity = Duration::seconds(30);
  /// A lease of another guard that stayed unchanged for this long is removed.
  Duration RemoveAfter = Duration::seconds(45);
  /// From a failed operation, or a refusal because of the floor, to the next
  /// try.
  Duration RetryInterval = Duration::seconds(1);
};

/// The ejections that the guard of one node holds or wants.
///
/// Guarantees, if all guards of a service use the same durations: each Ejected
/// action leaves at least the floor of ready, not ejected backend servers in
/// the view of this guard; a lease ends by its own clock, with or without the
/// platform; every Ejected is followed by at most one Readmitted.
///
/// Table `ejections`, one row for each service, with the value
/// `{"holders":[{"node","incarnation","server","renewal"}]}`.
class EjectionLeases {
public:
  /// InvalidInput if the durations contradict one another.
  static Result<std::unique_ptr<EjectionLeases>>
  create(EjectionSettings Settings);
  virtual ~EjectionLeases() = default;

  /// Sets the floor and the ready backend servers of a service. Without a view
  /// nothing is ejected. Readmits if too few are in use.
  virtual LeaseActions view(const ServiceName &Service,
                            std::shared_ptr<const ServiceView> View,
                            std::uint32_t Floor, Time Now) = 0;

  /// Asks for the ejection of an own backend server. It stays wanted until
  /// readmit() or until a lease for it ends.
  virtual LeaseActions eject(const ServiceName &Service,
                             const BackendServerName &Server, Time Now) = 0;
  /// Withdraws the wish or gives the lease back.
  virtual LeaseActions readmit(const ServiceName &Service,
                               const BackendServerName &Server, Time Now) = 0;

  /// The platform answered. Replies with an unknown token are ignored.
  virtual LeaseActions reply(const TableReply &Reply, Time Now) = 0;

  /// Expires and renews leases. Call at least every 50 ms.
  virtual LeaseActions tick(Time Now) = 0;

  /// True while the lease is valid by the clock of this node.
  virtual bool holds(const ServiceName &Service,
                     const BackendServerName &Server, Time Now) const = 0;
};

} // namespace teaselhitch

#endif
