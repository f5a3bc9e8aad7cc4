#ifndef TEASELHITCH_DETECTION_GRAYFAILURECONTROL_H
#define TEASELHITCH_DETECTION_GRAYFAILURECONTROL_H

/// \file
/// Gray failure handling of one node: combines HealthMonitor and EjectionLeases
/// in one interface for the thread that runs the Guard.

#include "teaselhitch/Detection/EjectionLeases.h"
#include "teaselhitch/Detection/HealthMonitor.h"

#include <memory>
#include <variant>
#include <vector>

namespace teaselhitch {

/// The caller sends a TableRequest to the platform thread and passes a
/// SetHealth to Guard::setHealth.
using ControlAction = std::variant<TableRequest, SetHealth>;
using ControlActions = std::vector<ControlAction>;

/// The member function to call for each event at a node:
///
/// | event | member function |
/// |---|---|
/// | a configuration takes effect | configure |
/// | an announcement, or its timeout (Gone) | announced |
/// | a Dispatch arrived | dispatched |
/// | every 100 ms, for the entry of this node | dispatched |
/// | a request to a backend server ended | sample |
/// | the fleet view changed | view |
/// | a reply of the platform thread arrived | reply |
/// | every 50 ms | tick |
class GrayFailureControl {
public:
  /// Returns InvalidInput if the settings are inconsistent.
  static Result<std::unique_ptr<GrayFailureControl>>
  create(HealthSettings Health, EjectionSettings Leases);
  virtual ~GrayFailureControl() = default;

  /// Applies floors, detectors and presets. Returns NotFound, with the name, if
  /// a detector is unknown; the previous configuration then stays in effect.
  virtual Result<ControlActions>
  configure(std::shared_ptr<const ActiveConfig> Config, Time Now) = 0;
  virtual ControlActions announced(const ServiceName &Service,
                                   const BackendServerName &Server,
                                   BackendServerState State,
                                   std::uint64_t Incarnation, Time Now) = 0;
  virtual void dispatched(const ServiceName &Service, const NodeName &Entry,
                          const ServiceBaseline &Statistics, Time Now) = 0;
  virtual ControlActions sample(const RunSample &S, Time Now) = 0;
  virtual ControlActions view(const FleetView &View, Time Now) = 0;
  virtual ControlActions reply(const TableReply &Reply, Time Now) = 0;
  virtual ControlActions tick(Time Now) = 0;

  virtual std::vector<MonitoredServer> status(Time Now) const = 0;
};

} // namespace teaselhitch

#endif
