#include "SyntheticSet.h"

#include <algorithm>
#include <cassert>
#include <cstdio>

namespace teaselhitch::bench {

namespace {

constexpr std::size_t DomainCount = 14;

std::size_t scaled(std::size_t Full, double Share) {
  return static_cast<std::size_t>(static_cast<double>(Full) * Share);
}

/// Returns a name with a zero-padded number, so that names sort by number.
std::string numberedName(const char *Prefix, std::size_t Index) {
  char Text[64];
  std::snprintf(Text, sizeof(Text), "%s-%05zu", Prefix, Index);
  return Text;
}

} // namespace

SyntheticSize SyntheticSize::target(double Share) {
  SyntheticSize Size;
  Size.Nodes = scaled(1400, Share);
  Size.Servers = scaled(18000, Share);
  Size.Services = scaled(430, Share);
  Size.Rules = scaled(10000, Share);
  Size.Organisations = scaled(42000, Share);
  return Size;
}

ServiceName serviceName(std::size_t Index) {
  return ServiceName(numberedName("service", Index));
}

OrganisationName organisationName(std::size_t Index) {
  return OrganisationName(numberedName("organisation", Index));
}

std::string rulePath(std::size_t Index) {
  return "/api/" + numberedName("rule", Index);
}

ObjectSet makeObjects(const SyntheticSize &Size) {
  ObjectSet Objects;
  for (std::size_t I = 0; I != Size.Services; ++I) {
    Service S;
    S.Name = serviceName(I);
    S.Floor = 20;
    Objects.Services.push_back(S);
    Group G;
    G.Name = GroupName(numberedName("group", I));
    G.Service = S.Name;
    G.ExpectedSize = 42;
    Objects.Groups.push_back(G);
  }
  assert(Size.Services > 0 && "rules need a service");
  for (std::size_t I = 0; I != Size.Rules; ++I) {
    Rule R;
    R.Name = RuleName(numberedName("rule", I));
    R.PathPrefix = rulePath(I);
    R.Group = Objects.Groups[I % Size.Services].Name;
    R.Idempotent = true;
    Objects.Rules.push_back(R);
  }
  for (std::size_t I = 0; I != Size.Organisations; ++I)
    Objects.Organisations.push_back(Organisation{organisationName(I), 1});
  return Objects;
}

std::shared_ptr<const FleetView> makeView(const SyntheticSize &Size) {
  auto View = std::make_shared<FleetView>();
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  auto DomainOf = [](std::size_t Node) {
    return FailureDomain(numberedName("domain", Node % DomainCount));
  };
  for (std::size_t I = 0; I != Size.Nodes; ++I) {
    NodeRecord Node;
    Node.Name = NodeName(numberedName("node", I));
    Node.Address = Endpoint{"127.0.0.1", 7000};
    Node.Domain = DomainOf(I);
    Nodes->emplace(Node.Name, Node);
  }
  assert(Size.Nodes > 0 && Size.Services > 0 &&
         "a fleet needs nodes and services");
  std::map<ServiceName, std::shared_ptr<ServiceView>> Services;
  for (std::size_t I = 0; I != Size.Servers; ++I) {
    std::size_t Node = I % Size.Nodes;
    BackendServerRecord Server;
    Server.Id = BackendServerId{NodeName(numberedName("node", Node)),
                                BackendServerName(numberedName("server", I))};
    Server.Service = serviceName(I % Size.Services);
    Server.Domain = DomainOf(Node);
    Server.Slots = 4;
    Server.State = BackendServerState::Ready;
    auto &Servers = Services[Server.Service];
    if (!Servers)
      Servers = std::make_shared<ServiceView>();
    Servers->push_back(Server);
  }
  for (auto &[Name, Servers] : Services) {
    std::sort(Servers->begin(), Servers->end(),
              [](const auto &A, const auto &B) { return A.Id < B.Id; });
    View->Services[Name] = Servers;
  }
  View->Nodes = Nodes;
  return View;
}

} // namespace teaselhitch::bench
