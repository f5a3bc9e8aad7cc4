#include "ConfigFetcher.h"

namespace teaselhitch {

std::vector<PieceFetch> ConfigFetcher::handleHead(const ConfigHead &Head,
                                                  bool ReceivedFromPeer,
                                                  const FleetView &View,
                                                  RandomSource &Random,
                                                  Time Now) {
  if (Head.Version > Adoption.head().Version)
    PeersHavePieces = ReceivedFromPeer;
  return planFetches(Adoption.handleHead(Head, Now), View, Random);
}

std::vector<PieceFetch> ConfigFetcher::handleSet(const SourcedConfig &Sourced,
                                                 const FleetView &View,
                                                 RandomSource &Random,
                                                 Time Now) {
  return planFetches(Adoption.handleSet(Sourced.Version,
                                        splitIntoPieces(Sourced.Objects), Now),
                     View, Random);
}

std::vector<PieceFetch> ConfigFetcher::handlePiece(const PieceHash &Hash,
                                                   std::string Bytes,
                                                   const FleetView &View,
                                                   RandomSource &Random,
                                                   Time Now) {
  return planFetches(Adoption.handlePiece(Hash, std::move(Bytes), Now), View,
                     Random);
}

std::vector<PieceFetch>
ConfigFetcher::handleMissingPiece(const PieceHash &Hash, const FleetView &View,
                                  RandomSource &Random) {
  // After a complete round, the overdue check of the adoption sets the time of
  // the next try.
  auto It = Tries.find(Hash);
  if (It == Tries.end() || It->second % TriesPerRound == 0)
    return {};
  AdoptionStep Retry;
  Retry.Fetch.push_back(Hash);
  return planFetches(std::move(Retry), View, Random);
}

std::vector<PieceFetch> ConfigFetcher::tick(const FleetView &View,
                                            RandomSource &Random, Time Now) {
  return planFetches(Adoption.tick(Now), View, Random);
}

std::shared_ptr<const ActiveConfig> ConfigFetcher::takeAdopted() {
  return std::exchange(Adopted, nullptr);
}

std::vector<PieceFetch> ConfigFetcher::planFetches(AdoptionStep Step,
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
    bool UseStore = Others.empty() || (!PeersHavePieces && Try == 0) ||
                    Try % TriesPerRound == TriesPerRound - 1;
    PieceFetch Fetch{std::move(Hash), std::nullopt};
    if (!UseStore)
      Fetch.Peer = Others[Random.uniformInt(Others.size())];
    Fetches.push_back(std::move(Fetch));
  }
  return Fetches;
}

} // namespace teaselhitch
