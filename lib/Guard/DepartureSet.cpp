#include "teaselhitch/Guard/DepartureSet.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

DepartureSet::DepartureSet(const std::vector<DepartedServer> &Servers) {
  for (const DepartedServer &S : Servers)
    join(S);
}

bool DepartureSet::join(const DepartedServer &Server) {
  bool IsNew = !covers(Server);
  DepartedServer Newest = Server;
  auto It = std::find_if(
      Entries.begin(), Entries.end(), [&](const DepartedServer &E) {
        return E.Name == Server.Name &&
               E.Incarnation.has_value() == Server.Incarnation.has_value();
      });
  if (It != Entries.end()) {
    if (!IsNew)
      Newest = *It;
    Entries.erase(It);
  } else if (Entries.size() == MaxDepartedServers) {
    Entries.erase(Entries.begin());
  }
  Entries.push_back(std::move(Newest));
  return IsNew;
}

bool DepartureSet::covers(const DepartedServer &Server) const {
  return std::any_of(
      Entries.begin(), Entries.end(), [&](const DepartedServer &E) {
        if (E.Name != Server.Name ||
            E.Incarnation.has_value() != Server.Incarnation.has_value())
          return false;
        return !Server.Incarnation || *E.Incarnation >= *Server.Incarnation;
      });
}

bool DepartureSet::coversAll(const DepartureSet &Other) const {
  return std::all_of(Other.Entries.begin(), Other.Entries.end(),
                     [&](const DepartedServer &S) { return covers(S); });
}

} // namespace teaselhitch
