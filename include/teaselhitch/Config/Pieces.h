#ifndef TEASELHITCH_CONFIG_PIECES_H
#define TEASELHITCH_CONFIG_PIECES_H

/// \file
/// Splits a set of objects into immutable, content-addressed pieces, so that a
/// small change transfers little data.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Support/Result.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace teaselhitch {

/// SHA-256 of a piece in hexadecimal digits.
using PieceHash = std::string;

/// Maximum number of objects in a piece, and of pieces in an index.
inline constexpr std::size_t MaxObjectsPerPiece = 64;

/// A set of objects as a tree of three levels in which each node is addressed
/// by its hash: the manifest lists the indexes of each kind, an index lists
/// pieces, and a piece holds objects.
struct PieceSet {
  PieceHash ManifestHash;
  /// The manifest, the indexes and the pieces, keyed by hash.
  std::map<PieceHash, std::string> Pieces;
};

/// Splits a set into pieces. Equal sets give equal pieces. Changing, adding or
/// removing one object changes one piece, its index and the manifest; in rare
/// cases, adding or removing an object changes two or three pieces.
PieceSet splitIntoPieces(const ObjectSet &Objects);

/// Returns the bytes with the given hash, or null if they are not available.
using PieceLookup = std::function<const std::string *(const PieceHash &)>;

/// The hashes that make up a set, as far as its manifest and indexes are
/// available.
struct PieceWalk {
  std::vector<PieceHash> Present;
  /// Hashes to be fetched next. Empty if the set is complete.
  std::vector<PieceHash> Missing;
};

/// Traverses the tree from the manifest. Fails with Corrupt if the manifest or
/// an index cannot be parsed. Does not verify hashes; joinPieces() does.
Result<PieceWalk> walkPieces(const PieceHash &ManifestHash,
                             const PieceLookup &Find);

/// Reassembles a set from its pieces. Fails with NotFound if a piece is missing
/// and with Corrupt if a piece does not match its hash or cannot be parsed; the
/// error message names the piece.
Result<ObjectSet> joinPieces(const PieceHash &ManifestHash,
                             const std::map<PieceHash, std::string> &Pieces);

} // namespace teaselhitch

#endif
