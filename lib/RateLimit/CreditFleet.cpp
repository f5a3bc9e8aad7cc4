#include "teaselhitch/RateLimit/CreditFleet.h"

#include "teaselhitch/Support/Hash.h"
#include "teaselhitch/Support/Rendezvous.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// How long a departed node counts as known. A partition may last this long
/// before its sides together accrue more than the rate.
constexpr Duration KnownPeriod = Duration::seconds(120);

} // namespace

double RateLimit::capacity() const {
  return std::max(1.0, Burst > 0 ? Burst : RatePerS);
}

SharedRateLimits rateLimits(const ObjectSet &Objects) {
  auto Limits = std::make_shared<RateLimits>();
  for (const Organisation &O : Objects.Organisations)
    if (O.RatePerS != 0)
      Limits->emplace(O.Name, RateLimit{static_cast<double>(O.RatePerS),
                                        static_cast<double>(O.Burst)});
  return Limits;
}

CreditFleet::CreditFleet(NodeName SelfName)
    : Self(std::move(SelfName)), SelfHash(hash64(Self.str())) {}

bool CreditFleet::update(const FleetView &View, Time Now) {
  if (!View.Nodes || View.Nodes == Nodes)
    return false;
  std::erase_if(Gone, [&](const auto &Item) {
    return Now - Item.second.At > KnownPeriod &&
           View.Nodes->count(Item.first) == 0;
  });
  if (Nodes)
    for (const auto &[Name, Record] : *Nodes)
      if (View.Nodes->count(Name) == 0)
        Gone.try_emplace(Name, Departed{hash64(Name.str()), Now, true});
  for (const auto &[Name, Record] : *View.Nodes) {
    // A node that starts to leave hands over its organisations at once.
    if (Record.State == NodeState::Leaving)
      Gone.try_emplace(Name, Departed{hash64(Name.str()), Now, false});
    else
      Gone.erase(Name);
  }
  Nodes = View.Nodes;
  Candidates.clear();
  Live = 0;
  for (const auto &[Name, Record] : *Nodes) {
    if (Record.State == NodeState::Leaving)
      continue;
    Candidates.emplace_back(hash64(Name.str()), Name);
    if (Record.State == NodeState::Alive || Name == Self)
      ++Live;
  }
  return true;
}

bool CreditFleet::isLeaving() const {
  if (!Nodes)
    return false;
  auto It = Nodes->find(Self);
  return It != Nodes->end() && It->second.State == NodeState::Leaving;
}

CreditOwners CreditFleet::owners(const OrganisationName &Organisation) const {
  std::uint64_t Hash = hash64(Organisation.str());
  const NodeName *First = nullptr;
  const NodeName *Second = nullptr;
  std::uint64_t FirstScore = 0;
  std::uint64_t SecondScore = 0;
  for (const auto &[NodeHash, Name] : Candidates) {
    std::uint64_t Score = rendezvousScore(NodeHash, Hash);
    if (!First || Score > FirstScore) {
      Second = First;
      SecondScore = FirstScore;
      First = &Name;
      FirstScore = Score;
    } else if (!Second || Score > SecondScore) {
      Second = &Name;
      SecondScore = Score;
    }
  }
  return {First ? *First : Self, Second ? *Second : NodeName()};
}

Time CreditFleet::ownedSince(const OrganisationName &Organisation) const {
  std::uint64_t Hash = hash64(Organisation.str());
  std::uint64_t Own = rendezvousScore(SelfHash, Hash);
  Time Since;
  for (const auto &[Name, Departure] : Gone)
    if (rendezvousScore(Departure.Hash, Hash) > Own)
      Since = std::max(Since, Departure.At);
  return Since;
}

std::size_t CreditFleet::knownNodes(Time Now) const {
  std::size_t Known = Candidates.size();
  for (const auto &[Name, Departure] : Gone)
    if (Departure.CountsAsKnown && Now - Departure.At <= KnownPeriod)
      ++Known;
  return std::max<std::size_t>(Known, 1);
}

double CreditFleet::liveShare(Time Now) const {
  return static_cast<double>(std::max<std::size_t>(Live, 1)) /
         static_cast<double>(std::max(knownNodes(Now), Live));
}

} // namespace teaselhitch
