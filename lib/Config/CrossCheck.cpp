#include "Located.h"

#include <algorithm>
#include <unordered_map>

namespace teaselhitch::detail {

namespace {

std::string placeText(const Place &P) {
  return P.File + ":" + std::to_string(P.Line) + ":" + std::to_string(P.Column);
}

/// The first object of each name.
template <typename T>
using Index = std::unordered_map<std::string, const Located<T> *>;

/// Indexes the objects of a kind and reports names that occur again.
template <typename T>
Index<T> indexObjects(const char *Kind, const std::vector<Located<T>> &Objects,
                      std::vector<Diagnostic> &Faults) {
  Index<T> ByName;
  for (const Located<T> &Object : Objects) {
    if (Object.Object.Name.empty())
      continue;
    auto [It, Inserted] = ByName.emplace(Object.Object.Name.str(), &Object);
    if (!Inserted)
      Faults.push_back(diagnostic(Object.at("name"),
                                  std::string("duplicate ") + Kind + " '" +
                                      It->first + "', first defined at " +
                                      placeText(It->second->at("name"))));
  }
  return ByName;
}

template <typename T>
std::vector<std::string> sortedNames(const Index<T> &ByName) {
  std::vector<std::string> Names;
  for (const auto &[Name, Unused] : ByName)
    Names.push_back(Name);
  std::sort(Names.begin(), Names.end());
  return Names;
}

/// Reports a reference to an object that is not there.
template <typename ToT, typename FromT>
void checkReference(const char *Key, const std::string &Name,
                    const Index<ToT> &ByName, const char *Kind,
                    const Located<FromT> &From,
                    std::vector<Diagnostic> &Faults) {
  if (Name.empty() || ByName.count(Name) != 0)
    return;
  Faults.push_back(diagnostic(
      From.at(Key), std::string("unknown ") + Key + " '" + Name + "' in " +
                        Kind + " '" + From.Object.Name.str() + "'" +
                        suggestName(Name, sortedNames(ByName))));
}

/// Services need a group, and groups that are large enough for the floor.
void checkServices(const LocatedSet &Set, const Index<Service> &Services,
                   std::vector<Diagnostic> &Faults) {
  struct Total {
    std::uint64_t Size = 0;
    bool Known = true;
  };
  std::unordered_map<std::string, Total> Totals;
  for (const Located<Group> &G : Set.Groups) {
    Total &T = Totals[G.Object.Service.str()];
    T.Size += G.Object.ExpectedSize;
    T.Known = T.Known && !G.HasFault;
  }
  for (const auto &[Name, S] : Services) {
    auto It = Totals.find(Name);
    if (It == Totals.end()) {
      Faults.push_back(
          diagnostic(S->at("name"), "service '" + Name + "' has no group"));
      continue;
    }
    if (S->HasFault || !It->second.Known || S->Object.Floor <= It->second.Size)
      continue;
    Faults.push_back(diagnostic(S->at("floor"),
                                "floor " + std::to_string(S->Object.Floor) +
                                    " of service '" + Name + "' is above the " +
                                    std::to_string(It->second.Size) +
                                    " backend servers that its groups expect"));
  }
}

/// Two rules for the same requests, and rules that contradict themselves.
void checkRules(const std::vector<Located<Rule>> &Rules,
                std::vector<Diagnostic> &Faults) {
  std::unordered_map<std::string, const Located<Rule> *> ByMatch;
  for (const Located<Rule> &R : Rules) {
    if (R.HasFault)
      continue;
    const Rule &Object = R.Object;
    std::string Name = "rule '" + Object.Name.str() + "'";
    if (Object.Paid && Object.Idempotent)
      Faults.push_back(
          diagnostic(R.at("paid"), Name + " is paid and idempotent, but a paid "
                                          "request must not run twice"));
    auto [It, Inserted] = ByMatch.emplace(
        Object.Method + " " + Object.Host + Object.PathPrefix, &R);
    if (!Inserted)
      Faults.push_back(diagnostic(
          R.at("path_prefix"), Name + " has the same method" +
                                   (Object.Host.empty() ? "" : ", host") +
                                   " and path prefix as rule '" +
                                   It->second->Object.Name.str() + "' at " +
                                   placeText(It->second->at("path_prefix"))));
  }
}

void checkLimits(const std::vector<Located<Limit>> &Limits,
                 std::vector<Diagnostic> &Faults) {
  std::unordered_map<std::string, const Located<Limit> *> ByService;
  for (const Located<Limit> &L : Limits) {
    const std::string &Service = L.Object.Service.str();
    if (Service.empty())
      continue;
    auto [It, Inserted] = ByService.emplace(Service, &L);
    if (!Inserted)
      Faults.push_back(diagnostic(
          L.at("service"),
          "limit '" + L.Object.Name.str() + "' is the second for service '" +
              Service + "', the first is '" + It->second->Object.Name.str() +
              "' at " + placeText(It->second->at("service"))));
  }
}

/// All callers of a node use one set of bounds.
void checkListeners(const std::vector<Located<Listener>> &Listeners,
                    std::vector<Diagnostic> &Faults) {
  for (std::size_t I = 1; I < Listeners.size(); ++I)
    Faults.push_back(diagnostic(Listeners[I].at("name"),
                                "listener '" + Listeners[I].Object.Name.str() +
                                    "' is the second, the first is '" +
                                    Listeners.front().Object.Name.str() +
                                    "' at " +
                                    placeText(Listeners.front().at("name"))));
}

} // namespace

void crossCheck(const LocatedSet &Set, std::vector<Diagnostic> &Faults) {
  Index<Service> Services = indexObjects("service", Set.Services, Faults);
  Index<Group> Groups = indexObjects("group", Set.Groups, Faults);
  indexObjects("rule", Set.Rules, Faults);
  indexObjects("organisation", Set.Organisations, Faults);
  indexObjects("limit", Set.Limits, Faults);
  checkRules(Set.Rules, Faults);
  checkLimits(Set.Limits, Faults);
  checkListeners(Set.Listeners, Faults);
  if (Set.Incomplete)
    return;
  for (const Located<Group> &G : Set.Groups)
    checkReference("service", G.Object.Service.str(), Services, "group", G,
                   Faults);
  for (const Located<Rule> &R : Set.Rules) {
    checkReference("group", R.Object.Group.str(), Groups, "rule", R, Faults);
    for (const WeightedGroup &Share : R.Object.Split)
      checkReference("split", Share.Group.str(), Groups, "rule", R, Faults);
  }
  for (const Located<Limit> &L : Set.Limits)
    checkReference("service", L.Object.Service.str(), Services, "limit", L,
                   Faults);
  checkServices(Set, Services, Faults);
}

} // namespace teaselhitch::detail
