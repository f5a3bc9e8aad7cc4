#include "teaselhitch/Guard/DepartureCopies.h"

#include "teaselhitch/Support/Hash.h"
#include "teaselhitch/Support/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace teaselhitch {

namespace {

/// Number of peers that keep a copy.
constexpr std::size_t MaxPeers = 3;
/// Number of copies without which a departure is not acknowledged while the
/// store does not have it.
constexpr std::size_t RequiredCopies = 2;
/// Delay before a request is repeated that did not have its effect.
constexpr Duration RetryInterval = Duration(300);
/// A node that starts learns of one peer before it learns of all, so its first
/// choice is provisional. Later changes do not extend the time: when a whole
/// fleet starts, the choice changes with each node that appears.
constexpr Duration SettleTime = Duration(100);
/// Announcements arrive seconds late at most.
constexpr Duration Retention = Duration::seconds(600);
/// Bounds the memory that a faulty peer can use. A node keeps the copies of
/// three others on average.
constexpr std::size_t MaxOwners = 2048;

} // namespace

std::vector<DepartureCopies::Peer>
DepartureCopies::choose(const FleetView &View) const {
  std::uint64_t SelfHash = hash64(Self.str());
  std::vector<std::pair<std::uint64_t, const NodeRecord *>> Candidates;
  for (const auto &[Name, Record] : *View.Nodes)
    if (Name != Self && Record.State != NodeState::Leaving)
      Candidates.emplace_back(rendezvousScore(hash64(Name.str()), SelfHash),
                              &Record);
  std::size_t Count = std::min(MaxPeers, Candidates.size());
  std::partial_sort(
      Candidates.begin(),
      Candidates.begin() + static_cast<std::ptrdiff_t>(Count), Candidates.end(),
      [](const auto &A, const auto &B) { return A.first > B.first; });
  std::vector<Peer> Chosen(Count);
  for (std::size_t I = 0; I != Count; ++I) {
    Chosen[I].Name = Candidates[I].second->Name;
    Chosen[I].Incarnation = Candidates[I].second->Version.Incarnation;
  }
  return Chosen;
}

void DepartureCopies::updateView(const FleetView &View, Time Now) {
  if (!View.Nodes || View.Nodes == Nodes)
    return;
  Nodes = View.Nodes;
  std::vector<Peer> Chosen = choose(View);
  for (Peer &Next : Chosen) {
    auto It = std::find_if(Peers.begin(), Peers.end(), [&](const Peer &P) {
      return P.Name == Next.Name && P.Incarnation == Next.Incarnation;
    });
    if (It != Peers.end())
      Next = std::move(*It);
  }
  Peers = std::move(Chosen);
  if (!FirstChoiceAt && !Peers.empty())
    FirstChoiceAt = Now;
}

std::vector<NodeName> DepartureCopies::tick(const DepartureSet &Departures,
                                            bool ReadsAll, Time Now) {
  std::vector<NodeName> Due;
  for (Peer &P : Peers) {
    bool LacksPart = !P.Kept.coversAll(Departures);
    bool IsAsked = ReadsAll && !P.HasAnswered;
    if (!LacksPart && !IsAsked)
      continue;
    if (P.SentAt && Now - *P.SentAt < RetryInterval && P.Sent == Departures)
      continue;
    P.SentAt = Now;
    P.Sent = Departures;
    Due.push_back(P.Name);
  }
  return Due;
}

void DepartureCopies::receive(const NodeName &Name, const DepartureSet &Kept) {
  for (Peer &P : Peers) {
    if (P.Name != Name)
      continue;
    P.HasAnswered = true;
    P.Kept = Kept;
  }
}

bool DepartureCopies::areKept(const DepartureSet &Departures) const {
  auto Copies = static_cast<std::size_t>(
      std::count_if(Peers.begin(), Peers.end(), [&](const Peer &P) {
        return P.Kept.coversAll(Departures);
      }));
  return !Peers.empty() && Copies >= std::min(RequiredCopies, Peers.size());
}

bool DepartureCopies::haveAnswered(Time Now) const {
  return !Peers.empty() && Now - *FirstChoiceAt >= SettleTime &&
         std::all_of(Peers.begin(), Peers.end(),
                     [](const Peer &P) { return P.HasAnswered; });
}

DepartureSet DepartureKeeper::keep(const NodeName &Owner,
                                   const std::vector<DepartedServer> &Servers,
                                   Time Now) {
  auto It = Copies.find(Owner);
  if (It == Copies.end()) {
    if (Servers.empty() || Copies.size() >= MaxOwners)
      return {};
    It = Copies.try_emplace(Owner).first;
  }
  for (const DepartedServer &S : Servers)
    It->second.Servers.join(S);
  if (!Servers.empty())
    It->second.WrittenAt = Now;
  return It->second.Servers;
}

void DepartureKeeper::expire(Time Now) {
  std::erase_if(Copies, [&](const auto &Item) {
    return Now - Item.second.WrittenAt > Retention;
  });
}

} // namespace teaselhitch
