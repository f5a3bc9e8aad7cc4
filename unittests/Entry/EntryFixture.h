#ifndef TEASELHITCH_UNITTESTS_ENTRY_ENTRYFIXTURE_H
#define TEASELHITCH_UNITTESTS_ENTRY_ENTRYFIXTURE_H

/// \file
/// A configuration and a fleet for tests of the entry.

#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

namespace teaselhitch {

/// Three backend servers on three nodes; /read is idempotent, /pay is not.
inline std::shared_ptr<const ActiveConfig> makeConfig() {
  auto Config = std::make_shared<ActiveConfig>();
  Config->Version = 1;
  Service S;
  S.Name = ServiceName("seats");
  Group G;
  G.Name = GroupName("all");
  G.Service = S.Name;
  Rule Pay;
  Pay.Name = RuleName("pay");
  Pay.PathPrefix = "/pay";
  Pay.Group = G.Name;
  Pay.Paid = true;
  Rule Read;
  Read.Name = RuleName("read");
  Read.Method = "GET";
  Read.PathPrefix = "/read";
  Read.Group = G.Name;
  Read.Idempotent = true;
  Config->Objects = ObjectSet{{S}, {G}, {Pay, Read}, {}, {}};
  return Config;
}

inline std::shared_ptr<const FleetView> makeView() {
  auto View = std::make_shared<FleetView>();
  auto Nodes = std::make_shared<std::map<NodeName, NodeRecord>>();
  auto Servers = std::make_shared<ServiceView>();
  for (const char *Name : {"n1", "n2", "n3"}) {
    NodeRecord Node;
    Node.Name = NodeName(Name);
    Node.Version.Incarnation = 5;
    Nodes->emplace(Node.Name, Node);
    BackendServerRecord Server;
    Server.Id = BackendServerId{Node.Name, BackendServerName("b")};
    Server.Service = ServiceName("seats");
    Server.Slots = 4;
    Server.State = BackendServerState::Ready;
    Servers->push_back(Server);
  }
  View->Nodes = Nodes;
  View->Services[ServiceName("seats")] = Servers;
  return View;
}

template <typename T> const T *find(const EntryActions &Actions) {
  for (const EntryAction &Action : Actions)
    if (const T *Found = std::get_if<T>(&Action))
      return Found;
  return nullptr;
}

/// Returns the entry of node n1 with makeConfig() and makeView().
inline std::unique_ptr<Entry> makeEntry(RandomSource &Random) {
  EntrySettings Settings;
  Settings.Node = NodeName("n1");
  Settings.Incarnation = 5;
  std::unique_ptr<Entry> Core =
      handleError([&] { return Entry::create(Settings, Random); },
                  [](const Error &E) {
                    CPPUNIT_FAIL(E.Message);
                    return std::unique_ptr<Entry>();
                  });
  Core->configure(makeConfig());
  Core->updateView(makeView());
  return Core;
}

} // namespace teaselhitch

#endif
