#include "teaselhitch/Detection/EjectionLeases.h"

#include "ServiceLeases.h"

#include <map>

namespace teaselhitch {

const char *readmitReasonName(ReadmitReason Reason) {
  switch (Reason) {
  case ReadmitReason::Requested:
    return "requested";
  case ReadmitReason::FloorReached:
    return "floor-reached";
  case ReadmitReason::LeaseExpired:
    return "lease-expired";
  case ReadmitReason::LeaseLost:
    return "lease-lost";
  }
  return "requested";
}

namespace {

class Leases final : public EjectionLeases {
public:
  Leases(EjectionSettings Settings, detail::LeaseDefects Defects)
      : Settings(std::move(Settings)), Defects(Defects) {}

  LeaseActions view(const ServiceName &Service,
                    std::shared_ptr<const ServiceView> View,
                    std::uint32_t Floor, Time Now) override {
    LeaseActions Actions;
    serviceLeases(Service).setView(std::move(View), Floor, Now, Actions);
    return Actions;
  }

  LeaseActions eject(const ServiceName &Service,
                     const BackendServerName &Server, Time Now) override {
    LeaseActions Actions;
    serviceLeases(Service).eject(Server, Now, Actions);
    return Actions;
  }

  LeaseActions readmit(const ServiceName &Service,
                       const BackendServerName &Server, Time Now) override {
    LeaseActions Actions;
    serviceLeases(Service).readmit(Server, Now, Actions);
    return Actions;
  }

  LeaseActions reply(const TableReply &Reply, Time Now) override {
    LeaseActions Actions;
    if (Reply.Status == TableStatus::StoreRestored) {
      for (auto &[Name, Service] : Services)
        Service.storeRestored(Now, Actions);
      return Actions;
    }
    for (auto &[Name, Service] : Services)
      if (Service.reply(Reply, Now, Actions))
        break;
    return Actions;
  }

  LeaseActions tick(Time Now) override {
    LeaseActions Actions;
    for (auto &[Name, Service] : Services)
      Service.tick(Now, Actions);
    return Actions;
  }

  bool holds(const ServiceName &Service, const BackendServerName &Server,
             Time Now) const override {
    auto It = Services.find(Service);
    return It != Services.end() && It->second.holds(Server, Now);
  }

private:
  detail::ServiceLeases &serviceLeases(const ServiceName &Service) {
    return Services.try_emplace(Service, Service, Settings, Defects, NextToken)
        .first->second;
  }

  EjectionSettings Settings;
  detail::LeaseDefects Defects;
  std::uint64_t NextToken = 1;
  std::map<ServiceName, detail::ServiceLeases> Services;
};

} // namespace

Result<std::unique_ptr<EjectionLeases>>
detail::createEjectionLeases(EjectionSettings Settings, LeaseDefects Defects) {
  if (Settings.Node.empty())
    return makeError(ErrorCode::InvalidInput, "node name is empty");
  if (Settings.RenewInterval.ms() <= 0 ||
      Settings.Validity < Settings.RenewInterval * 2)
    return makeError(
        ErrorCode::InvalidInput,
        "lease validity must be at least twice the renewal interval");
  if (Settings.RemoveAfter < Settings.Validity * 1.25)
    return makeError(
        ErrorCode::InvalidInput,
        "lease removal time must be at least 1.25 times the validity");
  return std::unique_ptr<EjectionLeases>(
      std::make_unique<Leases>(std::move(Settings), Defects));
}

Result<std::unique_ptr<EjectionLeases>>
EjectionLeases::create(EjectionSettings Settings) {
  return detail::createEjectionLeases(std::move(Settings), {});
}

} // namespace teaselhitch
