#include "ConfigFetcher.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Maximum number of nodes that are remembered as holders of a configuration.
constexpr std::size_t MaxHolders = 8;

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
  std::vector<PieceFetch> Fetches;
  for (PieceHash &Hash : Step.Fetch) {
    unsigned Try = Tries[Hash]++;
    const NodeRecord *Peer = choosePeer(Try, View, Random);
    bool UseStore = Peer == nullptr || (Holders.empty() && Try == 0) ||
                    Try % TriesPerRound == TriesPerRound - 1;
    if (StoreHasPieces && UseStore)
      Fetches.push_back({std::move(Hash), std::nullopt});
    else if (Peer)
      Fetches.push_back({std::move(Hash), *Peer});
  }
  return Fetches;
}

const NodeRecord *ConfigFetcher::choosePeer(unsigned Try, const FleetView &View,
                                            RandomSource &Random) const {
  if (!View.Nodes)
    return nullptr;
  std::vector<const NodeRecord *> Known;
  std::vector<const NodeRecord *> Others;
  for (const auto &[Name, Node] : *View.Nodes) {
    if (Name == Self)
      continue;
    bool IsHolder =
        std::find(Holders.begin(), Holders.end(), Name) != Holders.end();
    (IsHolder ? Known : Others).push_back(&Node);
  }
  if (Try < Known.size() || (Others.empty() && !Known.empty()))
    return Known[Try % Known.size()];
  return Others.empty() ? nullptr : Others[Random.uniformInt(Others.size())];
}

} // namespace teaselhitch
