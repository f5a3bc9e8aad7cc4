#ifndef TEASELHITCH_CONFIG_ADOPTION_H
#define TEASELHITCH_CONFIG_ADOPTION_H

/// \file
/// State machine by which a node adopts the newest published configuration from
/// the platform or from other nodes. The adopted version never decreases.
/// Performs no I/O and reads no clock.

#include "teaselhitch/Config/Pieces.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// The result of one event: pieces to fetch and any change of the active
/// configuration.
struct AdoptionStep {
  /// Pieces to fetch from other nodes or from the object store.
  std::vector<PieceHash> Fetch;
  /// The configuration that became active in this step, or null.
  std::shared_ptr<const ActiveConfig> Adopted;
  /// Why the target head was rejected in this step: its pieces match their
  /// hashes but do not form a valid set. Empty if no head was rejected. The
  /// active configuration is kept.
  std::string RejectionReason;
};

/// Tracks the active configuration of one node and the fetch of the next one.
class ConfigAdoption {
public:
  /// Time after which an unanswered request for a piece is repeated.
  static constexpr Duration RefetchInterval = Duration(250);
  /// Maximum number of outstanding piece requests. The limit splits a large
  /// initial set into several rounds; without it, pieces that are still in
  /// transit would be requested again.
  static constexpr std::size_t MaxOutstanding = 64;

  ConfigAdoption();
  ~ConfigAdoption();

  /// Handles a head that was read from the table or received from another node.
  /// Ignores heads that are not newer than the active head, the head being
  /// fetched and the last rejected head.
  AdoptionStep handleHead(const ConfigHead &Head, Time Now);

  /// Handles the complete set of pieces of a version.
  AdoptionStep handleSet(std::uint64_t Version, PieceSet Set, Time Now);

  /// Handles a received piece. Bytes that do not match the hash are discarded;
  /// the piece is requested again immediately after the first mismatch and by
  /// tick() after further ones.
  AdoptionStep handlePiece(const PieceHash &Hash, std::string Bytes, Time Now);

  /// Repeats the requests that are older than RefetchInterval.
  AdoptionStep tick(Time Now);

  /// True if a newer configuration is known whose pieces are not complete.
  bool isFetching() const;

  /// The active configuration, or null.
  std::shared_ptr<const ActiveConfig> active() const;
  /// The head of the active configuration; version 0 if there is none.
  ConfigHead head() const;

  /// A piece of the active configuration, to be served to other nodes, or
  /// nullopt if the active configuration does not contain it.
  std::optional<std::string> piece(const PieceHash &Hash) const;

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace teaselhitch

#endif
