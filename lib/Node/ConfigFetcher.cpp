#include "ConfigFetcher.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Maximum number of nodes that are remembered as holders of a configuration.
constexpr std::size_t MaxHolders = 8;
/// Time for which a node that did not answer is not asked for other pieces,
/// since the path to it may be cut for some seconds.
constexpr Duration AvoidancePeriod = Duration::seconds(5);
/// Time after which a configuration is read from its source. A fetch from a
/// node that answers takes a few milliseconds.
constexpr Duration OverdueTime = Duration(300);

} // namespace

void ConfigFetcher::addHolder(const ConfigHead &Head, const NodeName &Holder) {
  if (Head.Version > NewestVersion) {
    NewestVersion = Head.Version;
    Holders.clear();
  }
  bool IsUsable = !Holder.empty() && Head.Version == NewestVersion &&
                  Holders.size() < MaxHolders;
  if (IsUsable &&
      std::find(Holders.begin(), Holders.end(), Holder) == Holders.end())
    Holders.push_back(Holder);
}

std::vector<PieceFetch> ConfigFetcher::handleHead(const ConfigHead &Head,
                                                  const NodeName &Holder,
                                                  const FleetView &View,
                                                  RandomSource &Random,
                                                  Time Now) {
  addHolder(Head, Holder);
  return planFetches(Adoption.handleHead(Head, Now), View, Random, Now);
}

std::vector<PieceFetch> ConfigFetcher::handleSet(const SourcedConfig &Sourced,
                                                 const FleetView &View,
                                                 RandomSource &Random,
                                                 Time Now) {
  return planFetches(Adoption.handleSet(Sourced.Version,
                                        splitIntoPieces(Sourced.Objects), Now),
                     View, Random, Now);
}

std::vector<PieceFetch> ConfigFetcher::handlePiece(const PieceHash &Hash,
                                                   std::string Bytes,
                                                   const FleetView &View,
                                                   RandomSource &Random,
                                                   Time Now) {
  auto It = Tries.find(Hash);
  if (It != Tries.end() && !It->second.Asked.empty()) {
    LastAnswered = It->second.Asked.back();
    AvoidedUntil.erase(LastAnswered);
  }
  return planFetches(Adoption.handlePiece(Hash, std::move(Bytes), Now), View,
                     Random, Now);
}

std::vector<PieceFetch> ConfigFetcher::handleMissingPiece(const PieceHash &Hash,
                                                          const FleetView &View,
                                                          RandomSource &Random,
                                                          Time Now) {
  // After a complete round, the overdue check of the adoption sets the time of
  // the next try.
  auto It = Tries.find(Hash);
  if (It == Tries.end() || It->second.Count % TriesPerRound == 0)
    return {};
  AdoptionStep Retry;
  Retry.Fetch.push_back(Hash);
  return planFetches(std::move(Retry), View, Random, Now);
}

std::vector<PieceFetch> ConfigFetcher::tick(const FleetView &View,
                                            RandomSource &Random, Time Now) {
  AdoptionStep Step = Adoption.tick(Now);
  for (const PieceHash &Hash : Step.Fetch) {
    auto It = Tries.find(Hash);
    if (It != Tries.end() && !It->second.Asked.empty())
      AvoidedUntil[It->second.Asked.back()] = Now + AvoidancePeriod;
  }
  return planFetches(std::move(Step), View, Random, Now);
}

bool ConfigFetcher::isOverdue(Time Now) const {
  return BehindSince && Now - *BehindSince > OverdueTime;
}

bool ConfigFetcher::isAvoided(const NodeName &Node, Time Now) const {
  auto It = AvoidedUntil.find(Node);
  return It != AvoidedUntil.end() && Now < It->second;
}

std::shared_ptr<const ActiveConfig> ConfigFetcher::takeAdopted() {
  return std::exchange(Adopted, nullptr);
}

std::vector<PieceFetch> ConfigFetcher::planFetches(AdoptionStep Step,
                                                   const FleetView &View,
                                                   RandomSource &Random,
                                                   Time Now) {
  if (Step.Adopted) {
    Adopted = std::move(Step.Adopted);
    Tries.clear();
  }
  // A newer version that replaces the one being fetched does not extend the
  // time: a node that falls behind during a series of changes must catch up.
  if (!Adoption.isFetching())
    BehindSince.reset();
  else if (!BehindSince)
    BehindSince = Now;
  std::vector<PieceFetch> Fetches;
  for (PieceHash &Hash : Step.Fetch) {
    PieceTries &Piece = Tries[Hash];
    unsigned Try = Piece.Count++;
    const NodeRecord *Peer = choosePeer(Piece, View, Random, Now);
    bool UseStore = Peer == nullptr || (Holders.empty() && Try == 0) ||
                    Try % TriesPerRound == TriesPerRound - 1;
    if (StoreHasPieces && UseStore) {
      Fetches.push_back({std::move(Hash), std::nullopt});
    } else if (Peer) {
      Piece.Asked.push_back(Peer->Name);
      Fetches.push_back({std::move(Hash), *Peer});
    }
  }
  return Fetches;
}

const NodeRecord *ConfigFetcher::choosePeer(const PieceTries &Piece,
                                            const FleetView &View,
                                            RandomSource &Random,
                                            Time Now) const {
  if (!View.Nodes)
    return nullptr;
  std::vector<const NodeRecord *> Known;
  std::vector<const NodeRecord *> Others;
  std::vector<const NodeRecord *> Rest;
  for (const auto &[Name, Node] : *View.Nodes) {
    if (Name == Self)
      continue;
    bool IsHolder =
        std::find(Holders.begin(), Holders.end(), Name) != Holders.end();
    bool WasAsked = std::find(Piece.Asked.begin(), Piece.Asked.end(), Name) !=
                    Piece.Asked.end();
    if (WasAsked || isAvoided(Name, Now))
      Rest.push_back(&Node);
    else if (IsHolder && Name == LastAnswered)
      return &Node;
    else
      (IsHolder ? Known : Others).push_back(&Node);
  }
  for (const auto *Candidates : {&Known, &Others, &Rest})
    if (!Candidates->empty())
      return (*Candidates)[Random.uniformInt(Candidates->size())];
  return nullptr;
}

} // namespace teaselhitch
