#include "teaselhitch/Model/Records.h"

namespace teaselhitch {

std::string toString(const Endpoint &E) {
  return E.Address + ":" + std::to_string(E.Port);
}

const char *nodeStateName(NodeState State) {
  switch (State) {
  case NodeState::Alive:
    return "alive";
  case NodeState::Suspected:
    return "suspected";
  case NodeState::Dead:
    return "dead";
  case NodeState::Leaving:
    return "leaving";
  }
  return "dead";
}

const char *backendServerStateName(BackendServerState State) {
  switch (State) {
  case BackendServerState::Starting:
    return "starting";
  case BackendServerState::Ready:
    return "ready";
  case BackendServerState::Draining:
    return "draining";
  case BackendServerState::Gone:
    return "gone";
  }
  return "gone";
}

const char *backendServerHealthName(BackendServerHealth Health) {
  switch (Health) {
  case BackendServerHealth::Healthy:
    return "healthy";
  case BackendServerHealth::Suspected:
    return "suspected";
  case BackendServerHealth::Ejected:
    return "ejected";
  }
  return "ejected";
}

bool FleetView::sharesRisk() const {
  // At any moment up to a third of the backend servers have a gray failure, and
  // most of these failures last for seconds. Each change is sent to all nodes:
  // with this number of backend servers, that takes up to the 4 KB/s that a
  // node may use for control, and it grows linearly.
  constexpr std::size_t MaxServers = 128;
  std::size_t Servers = 0;
  for (const auto &[Name, Service] : this->Services)
    Servers += Service->size();
  return Servers <= MaxServers;
}

} // namespace teaselhitch
