#ifndef TEASELHITCH_CONFIG_PIECES_H
#define TEASELHITCH_CONFIG_PIECES_H

/// \file
/// A set of objects as immutable pieces that are named by their hash, so that a
/// small change moves little data.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Support/Result.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace teaselhitch {

/// SHA-256 of a piece in hexadecimal.
using PieceHash = std::string;

/// Greatest number of objects in a piece, and of pieces in an index.
inline constexpr std::size_t MaxObjectsPerPiece = 64;

/// A set in three levels, all named by their hash: the manifest lists the
/// indexes of each kind, an index lists pieces, and a piece holds objects.
struct PieceSet {
  PieceHash ManifestHash;
  /// Everything by hash: manifest, indexes and pieces of objects.
  std::map<PieceHash, std::string> Pieces;
};

/// Splits a set. Equal sets give equal pieces, and a change of one object
/// changes one piece, its index and the manifest, also when objects are added
/// or removed (then rarely two or three pieces).
PieceSet splitIntoPieces(const ObjectSet &Objects);

/// Gives the bytes of a hash, or null.
using PieceLookup = std::function<const std::string *(const PieceHash &)>;

/// What a set consists of, as far as its manifest and indexes are there.
struct PieceWalk {
  std::vector<PieceHash> Present;
  /// To be fetched next. Empty when the set is complete.
  std::vector<PieceHash> Missing;
};

/// Follows the hashes from the manifest. Corrupt if a manifest or index does
/// not parse. Does not check hashes; joinPieces does.
Result<PieceWalk> walkPieces(const PieceHash &ManifestHash,
                             const PieceLookup &Find);

/// Puts the set together. NotFound names a missing piece; Corrupt a piece whose
/// bytes do not match its hash or do not parse.
Result<ObjectSet> joinPieces(const PieceHash &ManifestHash,
                             const std::map<PieceHash, std::string> &Pieces);

} // namespace teaselhitch

#endif
