#ifndef TEASELHITCH_DETECTION_GRAYFAILURECONTROL_H
#define TEASELHITCH_DETECTION_GRAYFAILURECONTROL_H

/// \file
/// Gray failure handling of one node: HealthMonitor and EjectionLeases behind
/// one interface, for the thread that runs the Guard.

#include "teaselhitch/Detection/EjectionLeases.h"
#include "teaselhitch/Detection/HealthMonitor.h"

#include <memory>
#include <variant>
#include <vector>

namespace teaselhitch {

/// TableRequest goes to the platform thread, SetHealth to Guard::setHealth.
using ControlAction = std::variant<TableRequest, SetHealth>;
using ControlActions = std::vector<ControlAction>;

/// What to do with each event at a node:
///
/// | event | call |
/// |---|---|
/// | a configuration is in force | configure |
/// | an announcement, or a backend server went silent (Gone) | announced |
/// | a Dispatch arrived | dispatched |
/// | every 100 ms, for the entry of the own node | dispatched |
/// | a request ended at a backend server | sample |
/// | the fleet view changed | view |
/// | the platform thread answered | reply |
/// | every 50 ms | tick |
class GrayFailureControl {
public:
  /// \p Incarnation grows with each start of the node.
  static Result<std::unique_ptr<GrayFailureControl>>
  create(HealthSettings Health, EjectionSettings Leases);
  virtual ~GrayFailureControl() = default;

  /// Floors, detectors and presets. NotFound names an unknown detector; then
  /// nothing changes.
  virtual Result<ControlActions>
  configure(std::shared_ptr<const ActiveConfig> Config, Time Now) = 0;
  virtual ControlActions announced(const ServiceName &Service,
                                   const BackendServerName &Server,
                                   BackendServerState State,
                                   std::uint64_t Incarnation, Time Now) = 0;
  virtual void dispatched(const ServiceName &Service, const NodeName &Entry,
                          const ServiceBaseline &Figures, Time Now) = 0;
  virtual ControlActions sample(const RunSample &S, Time Now) = 0;
  virtual ControlActions view(const FleetView &View, Time Now) = 0;
  virtual ControlActions reply(const TableReply &Reply, Time Now) = 0;
  virtual ControlActions tick(Time Now) = 0;

  virtual std::vector<MonitoredServer> status(Time Now) const = 0;
};

} // namespace teaselhitch

#endif
