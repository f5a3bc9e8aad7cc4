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
      pass(Service, View, Now, Actions);
    return Actions;
  }

  ControlActions announced(const ServiceName &Service,
                           const BackendServerName &Server,
                           BackendServerState State, std::uint64_t Incarnation,
                           Time Now) override {
    OwnServices.insert(Service);
    return run(Monitor->announced(Service, Server, State, Incarnation, Now),
               Now);
  }

  void dispatched(const ServiceName &Service, const NodeName &Entry,
                  const ServiceBaseline &Figures, Time Now) override {
    Monitor->baseline(Service, Entry, Figures, Now);
  }

  ControlActions sample(const RunSample &S, Time Now) override {
    return run(Monitor->sample(S, Now), Now);
  }

  ControlActions view(const FleetView &View, Time Now) override {
    ControlActions Actions;
    for (const ServiceName &Service : OwnServices) {
      auto It = View.Services.find(Service);
      const auto Servers = It == View.Services.end() ? nullptr : It->second;
      auto &Known = Views[Service];
      if (Known == Servers)
        continue;
      Known = Servers;
      pass(Service, Servers, Now, Actions);
    }
    return Actions;
  }

  ControlActions reply(const TableReply &Reply, Time Now) override {
    return run(Leases->reply(Reply, Now), Now);
  }

  ControlActions tick(Time Now) override {
    ControlActions Actions = run(Leases->tick(Now), Now);
    append(Actions, run(Monitor->tick(Now), Now));
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

  /// Without a configured floor nothing is ejected.
  void pass(const ServiceName &Service,
            const std::shared_ptr<const ServiceView> &View, Time Now,
            ControlActions &Actions) {
    auto Floor = Floors.find(Service);
    if (Floor == Floors.end())
      return;
    Monitor->view(Service, View);
    append(Actions, run(Leases->view(Service, View, Floor->second, Now), Now));
  }

  ControlActions run(const HealthActions &From, Time Now) {
    ControlActions Actions;
    for (const HealthAction &Action : From) {
      if (const auto *Health = std::get_if<SetHealth>(&Action))
        Actions.emplace_back(*Health);
      if (const auto *Wish = std::get_if<WantEjection>(&Action))
        append(Actions,
               run(Leases->eject(Wish->Service, Wish->Server, Now), Now));
      if (const auto *Wish = std::get_if<WantReadmission>(&Action))
        append(Actions,
               run(Leases->readmit(Wish->Service, Wish->Server, Now), Now));
    }
    return Actions;
  }

  ControlActions run(const LeaseActions &From, Time Now) {
    ControlActions Actions;
    for (const LeaseAction &Action : From) {
      if (const auto *Request = std::get_if<TableRequest>(&Action))
        Actions.emplace_back(*Request);
      if (const auto *Out = std::get_if<Ejected>(&Action))
        append(Actions, run(Monitor->ejected(Out->Server, Now), Now));
      if (const auto *In = std::get_if<Readmitted>(&Action))
        append(Actions,
               run(Monitor->readmitted(In->Server, In->Why, Now), Now));
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
  auto Held = EjectionLeases::create(std::move(Leases));
  if (!Held)
    return Held.error();
  return std::unique_ptr<GrayFailureControl>(
      std::make_unique<Control>(std::move(*Monitor), std::move(*Held)));
}

} // namespace teaselhitch
