#ifndef TEASELHITCH_CONFIG_ADOPTION_H
#define TEASELHITCH_CONFIG_ADOPTION_H

/// \file
/// Brings a node to the newest configuration, from the platform or from other
/// nodes, and never back. Pure.

#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// What to do next: fetch these pieces, from other nodes or the object store.
struct AdoptionStep {
  std::vector<PieceHash> Fetch;
  /// Set when a configuration came into force in this step.
  std::shared_ptr<const ActiveConfig> Adopted;
  /// Not empty when a head was given up in this step, because its pieces match
  /// their hashes but are no valid set. The active configuration stays.
  std::string Rejected;
};

/// The adoption of configurations at one node.
class ConfigAdoption {
public:
  /// How long to wait for a piece before it is asked for again.
  static constexpr Duration RefetchInterval = Duration(500);
  /// Most pieces asked for at once. A large first set then arrives in several
  /// rounds instead of being asked for again while it is still on the way.
  static constexpr std::size_t MaxOutstanding = 64;

  ConfigAdoption();
  ~ConfigAdoption();

  /// A head was read from the table or heard from another node. Heads that are
  /// not above the active one and the one being fetched are ignored.
  AdoptionStep headSeen(const ConfigHead &Head, Time Now);

  /// All pieces of a version are here.
  AdoptionStep setRead(std::uint64_t Version, PieceSet Set, Time Now);

  /// A piece arrived. Bytes that do not match the hash are dropped and fetched
  /// again, at once the first time and by tick after that.
  AdoptionStep pieceArrived(const PieceHash &Hash, std::string Bytes, Time Now);

  /// Asks again for pieces that are overdue.
  AdoptionStep tick(Time Now);

  /// The configuration in force, or null.
  std::shared_ptr<const ActiveConfig> active() const;
  /// The head of the configuration in force; version 0 if there is none.
  ConfigHead head() const;

  /// A piece of the active configuration, for other nodes.
  std::optional<std::string> piece(const PieceHash &Hash) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselhitch

#endif
