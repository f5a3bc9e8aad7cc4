#include "ConfigFetcher.h"

namespace teaselhitch {

std::vector<PieceFetch>
ConfigFetcher::headSeen(const ConfigHead &Head, bool FromPeer,
                        const FleetView &View, RandomSource &Random, Time Now) {
  if (Head.Version > Adoption.head().Version)
    PeersHaveIt = FromPeer;
  return plan(Adoption.handleHead(Head, Now), View, Random);
}

std::vector<PieceFetch> ConfigFetcher::setRead(const SourcedConfig &Read,
                                               const FleetView &View,
                                               RandomSource &Random, Time Now) {
  return plan(
      Adoption.handleSet(Read.Version, splitIntoPieces(Read.Objects), Now),
      View, Random);
}

std::vector<PieceFetch> ConfigFetcher::pieceArrived(const PieceHash &Hash,
                                                    std::string Bytes,
                                                    const FleetView &View,
                                                    RandomSource &Random,
                                                    Time Now) {
  return plan(Adoption.handlePiece(Hash, std::move(Bytes), Now), View, Random);
}

std::vector<PieceFetch> ConfigFetcher::pieceMissing(const PieceHash &Hash,
                                                    const FleetView &View,
                                                    RandomSource &Random) {
  // After a whole round the overdue check of the adoption sets the pace.
  auto It = Tries.find(Hash);
  if (It == Tries.end() || It->second % TriesPerRound == 0)
    return {};
  AdoptionStep Again;
  Again.Fetch.push_back(Hash);
  return plan(std::move(Again), View, Random);
}

std::vector<PieceFetch> ConfigFetcher::tick(const FleetView &View,
                                            RandomSource &Random, Time Now) {
  return plan(Adoption.tick(Now), View, Random);
}

std::shared_ptr<const ActiveConfig> ConfigFetcher::takeAdopted() {
  return std::exchange(Adopted, nullptr);
}

std::vector<PieceFetch> ConfigFetcher::plan(AdoptionStep Step,
                                            const FleetView &View,
                                            RandomSource &Random) {
  if (Step.Adopted) {
    Adopted = std::move(Step.Adopted);
    Tries.clear();
  }
  std::vector<NodeRecord> Others;
  if (View.Nodes)
    for (const auto &[Name, Node] : *View.Nodes)
      if (Name != Self)
        Others.push_back(Node);
  std::vector<PieceFetch> Fetches;
  for (PieceHash &Hash : Step.Fetch) {
    unsigned Try = Tries[Hash]++;
    bool FromStore = Others.empty() || (!PeersHaveIt && Try == 0) ||
                     Try % TriesPerRound == TriesPerRound - 1;
    PieceFetch Fetch{std::move(Hash), std::nullopt};
    if (!FromStore)
      Fetch.From = Others[Random.below(Others.size())];
    Fetches.push_back(std::move(Fetch));
  }
  return Fetches;
}

} // namespace teaselhitch
