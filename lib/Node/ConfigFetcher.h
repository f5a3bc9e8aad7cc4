#ifndef TEASELHITCH_LIB_NODE_CONFIGFETCHER_H
#define TEASELHITCH_LIB_NODE_CONFIGFETCHER_H

/// \file
/// Selects the source from which each piece of a configuration is fetched.

#include "teaselhitch/Config/Adoption.h"
#include "teaselhitch/Integration/ConfigSource.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Random.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace teaselhitch {

/// A piece to fetch.
struct PieceFetch {
  PieceHash Hash;
  /// Node to fetch the piece from; nullopt for the object store.
  std::optional<NodeRecord> Peer;
};

/// Adopts configurations and selects a source for each piece. Other nodes are
/// asked first, because 1,400 nodes that read the same piece at once would use
/// up the read capacity of the object store. Every third try for a piece goes
/// to the object store, if it has the pieces.
class ConfigFetcher {
public:
  /// The last try of each round goes to the object store.
  static constexpr unsigned TriesPerRound = 3;

  /// \param StoreHasPieces configurations are published to the object store,
  /// rather than read from an external source.
  ConfigFetcher(NodeName Self, bool StoreHasPieces)
      : Self(std::move(Self)), StoreHasPieces(StoreHasPieces) {}

  /// Handles a newly learned head of the configuration.
  ///
  /// \param Holder a node that has the pieces; empty if the head was read from
  /// the object store.
  std::vector<PieceFetch> handleHead(const ConfigHead &Head,
                                     const NodeName &Holder,
                                     const FleetView &View,
                                     RandomSource &Random, Time Now);
  /// Handles a complete configuration that was read from an external source.
  std::vector<PieceFetch> handleSet(const SourcedConfig &Sourced,
                                    const FleetView &View, RandomSource &Random,
                                    Time Now);
  /// Handles the bytes of a piece.
  std::vector<PieceFetch> handlePiece(const PieceHash &Hash, std::string Bytes,
                                      const FleetView &View,
                                      RandomSource &Random, Time Now);
  /// Handles the answer of a source that does not have the piece. The next
  /// source is asked at once.
  std::vector<PieceFetch> handleMissingPiece(const PieceHash &Hash,
                                             const FleetView &View,
                                             RandomSource &Random, Time Now);
  /// Repeats overdue fetches.
  std::vector<PieceFetch> tick(const FleetView &View, RandomSource &Random,
                               Time Now);

  /// Returns the configuration that was adopted since the last call, or null.
  std::shared_ptr<const ActiveConfig> takeAdopted();

  /// Returns true if a newer configuration has been known for so long that it
  /// should be read from its source instead of from other nodes.
  bool isOverdue(Time Now) const;

  ConfigHead head() const { return Adoption.head(); }
  std::optional<std::string> piece(const PieceHash &Hash) const {
    return Adoption.piece(Hash);
  }

private:
  /// The tries for one piece.
  struct PieceTries {
    unsigned Count = 0;
    /// Nodes that were asked; the last one has not answered yet.
    std::vector<NodeName> Asked;
  };

  std::vector<PieceFetch> planFetches(AdoptionStep Step, const FleetView &View,
                                      RandomSource &Random, Time Now);

  void addHolder(const ConfigHead &Head, const NodeName &Holder);
  /// Returns the node to ask next, or null if there is none. Prefers holders
  /// that have answered before.
  const NodeRecord *choosePeer(const PieceTries &Tries, const FleetView &View,
                               RandomSource &Random, Time Now) const;
  bool isAvoided(const NodeName &Node, Time Now) const;

  NodeName Self;
  bool StoreHasPieces;
  ConfigAdoption Adoption;
  std::map<PieceHash, PieceTries> Tries;
  /// Nodes that did not answer in time, and when they may be asked again.
  std::map<NodeName, Time> AvoidedUntil;
  /// The node that sent the last piece.
  NodeName LastAnswered;
  /// Since when a newer configuration is known but not adopted.
  std::optional<Time> BehindSince;
  /// The newest version whose head was received, and nodes that have its
  /// pieces.
  std::uint64_t NewestVersion = 0;
  std::vector<NodeName> Holders;
  std::shared_ptr<const ActiveConfig> Adopted;
};

} // namespace teaselhitch

#endif
