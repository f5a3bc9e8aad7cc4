#ifndef TEASELHITCH_CONFIG_PIECES_H
#define TEASELHITCH_CONFIG_PIECES_H

/// \file
/// A set of objects as immutable pieces that are named by their hash, so that a
/// small change moves little data.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Support/Result.h"

#include <map>
#include <string>
#include <vector>

namespace teaselhitch {

/// SHA-256 of a piece in hexadecimal.
using PieceHash = std::string;

/// Greatest number of objects in a piece.
inline constexpr std::size_t MaxObjectsPerPiece = 64;

struct PieceSet {
  /// Hash of the manifest, which lists the hashes of the pieces.
  PieceHash ManifestHash;
  /// All pieces by hash, the manifest included.
  std::map<PieceHash, std::string> Pieces;
};

/// Splits a set. Equal sets give equal pieces, and a change of one object
/// changes one piece and the manifest, also when objects are added or removed.
PieceSet splitIntoPieces(const ObjectSet &Objects);

/// The hashes that a manifest lists. Corrupt if it does not parse.
Result<std::vector<PieceHash>> piecesOfManifest(const std::string &Manifest);

/// Puts the set together. NotFound names a missing piece; Corrupt a piece whose
/// bytes do not match its hash or do not parse.
Result<ObjectSet> joinPieces(const PieceHash &ManifestHash,
                             const std::map<PieceHash, std::string> &Pieces);

} // namespace teaselhitch

#endif
