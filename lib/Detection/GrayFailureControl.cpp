#include "teaselhitch/Detection/GrayFailureControl.h"

#include <map>
#include <set>

namespace teaselhitch {

namespace {

class Control final : public GrayFailureControl {
public:
  Control(std::unique_ptr<HealthMonitor> Monitor,
          std::unique_ptr<EjectionLeases> Leases)
      : Monitor(std::move(Monitor)), Leases(std::move(Leases)) {}

  Result<ControlActions> configure(std::shared_ptr<const ActiveConfig> Config,
                                   Time Now) override {
    auto Configured = Monitor->configure(Config->Objects, Now);
    if (!Configured)
      return Configured.error();
    Floors.clear();
    for (const Service &S : Config->Objects.Services)
      Floors[S.Name] = S.Floor;
    ControlActions Actions;
    for (const auto &[Service, View] : Views)
      updateView(Service, View, Now, Actions);
    return Actions;
  }

  ControlActions announced(const ServiceName &Service,
                           const BackendServerName &Server,
                           BackendServerState State, std::uint64_t Incarnation,
                           Time Now) override {
    OwnServices.insert(Service);
    return execute(Monitor->announced(Service, Server, State, Incarnation, Now),
                   Now);
  }

  void dispatched(const ServiceName &Service, const NodeName &Entry,
                  const ServiceBaseline &Statistics, Time Now) override {
    Monitor->baseline(Service, Entry, Statistics, Now);
  }

  ControlActions sample(const RunSample &S, Time Now) override {
    return execute(Monitor->sample(S, Now), Now);
  }

  ControlActions view(const FleetView &View, Time Now) override {
    ControlActions Actions;
    for (const ServiceName &Service : OwnServices) {
      auto It = View.Services.find(Service);
      const auto Servers = It == View.Services.end() ? nullptr : It->second;
      auto &Current = Views[Service];
      if (Current == Servers)
        continue;
      Current = Servers;
      updateView(Service, Servers, Now, Actions);
    }
    return Actions;
  }

  ControlActions reply(const TableReply &Reply, Time Now) override {
    return execute(Leases->reply(Reply, Now), Now);
  }

  ControlActions tick(Time Now) override {
    ControlActions Actions = execute(Leases->tick(Now), Now);
    append(Actions, execute(Monitor->tick(Now), Now));
    return Actions;
  }

  std::vector<MonitoredServer> status(Time Now) const override {
    return Monitor->status(Now);
  }

private:
  static void append(ControlActions &To, ControlActions From) {
    To.insert(To.end(), std::make_move_iterator(From.begin()),
              std::make_move_iterator(From.end()));
  }

  /// Passes a view to the monitor and the leases. Ignores services without a
  /// configured floor, so that none of their backend servers are ejected.
  void updateView(const ServiceName &Service,
                  const std::shared_ptr<const ServiceView> &View, Time Now,
                  ControlActions &Actions) {
    auto Floor = Floors.find(Service);
    if (Floor == Floors.end())
      return;
    Monitor->view(Service, View);
    append(Actions,
           execute(Leases->view(Service, View, Floor->second, Now), Now));
  }

  ControlActions execute(const HealthActions &From, Time Now) {
    ControlActions Actions;
    for (const HealthAction &Action : From) {
      if (const auto *Health = std::get_if<SetHealth>(&Action))
        Actions.emplace_back(*Health);
      if (const auto *Requested = std::get_if<RequestEjection>(&Action))
        append(Actions, execute(Leases->eject(Requested->Service,
                                              Requested->Server, Now),
                                Now));
      if (const auto *Requested = std::get_if<RequestReadmission>(&Action))
        append(Actions, execute(Leases->readmit(Requested->Service,
                                                Requested->Server, Now),
                                Now));
    }
    return Actions;
  }

  ControlActions execute(const LeaseActions &From, Time Now) {
    ControlActions Actions;
    for (const LeaseAction &Action : From) {
      if (const auto *Request = std::get_if<TableRequest>(&Action))
        Actions.emplace_back(*Request);
      if (const auto *Ejection = std::get_if<Ejected>(&Action))
        append(Actions, execute(Monitor->ejected(Ejection->Server, Now), Now));
      if (const auto *Readmission = std::get_if<Readmitted>(&Action))
        append(Actions, execute(Monitor->readmitted(Readmission->Server,
                                                    Readmission->Reason, Now),
                                Now));
    }
    return Actions;
  }

  std::unique_ptr<HealthMonitor> Monitor;
  std::unique_ptr<EjectionLeases> Leases;
  std::map<ServiceName, std::uint32_t> Floors;
  std::set<ServiceName> OwnServices;
  std::map<ServiceName, std::shared_ptr<const ServiceView>> Views;
};

} // namespace

Result<std::unique_ptr<GrayFailureControl>>
GrayFailureControl::create(HealthSettings Health, EjectionSettings Leases) {
  if (Health.Node != Leases.Node)
    return makeError(ErrorCode::InvalidInput,
                     "health and lease settings name different nodes");
  auto Monitor = HealthMonitor::create(std::move(Health));
  if (!Monitor)
    return Monitor.error();
  auto CreatedLeases = EjectionLeases::create(std::move(Leases));
  if (!CreatedLeases)
    return CreatedLeases.error();
  return std::unique_ptr<GrayFailureControl>(std::make_unique<Control>(
      std::move(*Monitor), std::move(*CreatedLeases)));
}

} // namespace teaselhitch
