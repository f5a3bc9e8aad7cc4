#ifndef TEASELHITCH_LIB_NODE_CONFIGFETCHER_H
#define TEASELHITCH_LIB_NODE_CONFIGFETCHER_H

/// \file
/// Decides from where the pieces of a configuration are fetched.

#include "teaselhitch/Config/Adoption.h"
#include "teaselhitch/Integration/ConfigSource.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Random.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace teaselhitch {

/// A piece to fetch. Without a node, it is read from the object store.
struct PieceFetch {
  PieceHash Hash;
  std::optional<NodeRecord> From;
};

/// Adoption with a choice of sources: other nodes first, because 1,400 nodes
/// that read the same piece at once would take the store's whole read capacity;
/// every third try goes to the object store.
class ConfigFetcher {
public:
  static constexpr unsigned TriesPerRound = 3;

  explicit ConfigFetcher(NodeName Self) : Self(std::move(Self)) {}

  /// \param FromPeer the head was heard from another node, which has the
  /// pieces.
  std::vector<PieceFetch> headSeen(const ConfigHead &Head, bool FromPeer,
                                   const FleetView &View, RandomSource &Random,
                                   Time Now);
  /// A whole configuration was read from its source.
  std::vector<PieceFetch> setRead(const SourcedConfig &Read,
                                  const FleetView &View, RandomSource &Random,
                                  Time Now);
  std::vector<PieceFetch> pieceArrived(const PieceHash &Hash, std::string Bytes,
                                       const FleetView &View,
                                       RandomSource &Random, Time Now);
  /// A source does not have the piece; the next source is asked at once.
  std::vector<PieceFetch> pieceMissing(const PieceHash &Hash,
                                       const FleetView &View,
                                       RandomSource &Random);
  std::vector<PieceFetch> tick(const FleetView &View, RandomSource &Random,
                               Time Now);

  /// The configuration that came into force since the last call, or null.
  std::shared_ptr<const ActiveConfig> takeAdopted();

  ConfigHead head() const { return Adoption.head(); }
  std::optional<std::string> piece(const PieceHash &Hash) const {
    return Adoption.piece(Hash);
  }

private:
  std::vector<PieceFetch> plan(AdoptionStep Step, const FleetView &View,
                               RandomSource &Random);

  NodeName Self;
  ConfigAdoption Adoption;
  std::map<PieceHash, unsigned> Tries;
  bool PeersHaveIt = false;
  std::shared_ptr<const ActiveConfig> Adopted;
};

} // namespace teaselhitch

#endif
