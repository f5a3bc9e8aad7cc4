#ifndef TEASELHITCH_SUPPORT_RENDEZVOUS_H
#define TEASELHITCH_SUPPORT_RENDEZVOUS_H

/// \file
/// Rendezvous hashing: every node derives from its own view which nodes are
/// responsible for a key, without a message.

#include <cstdint>

namespace teaselhitch {

/// Returns the score of a node for a key; the nodes with the highest scores are
/// responsible. The finalizer of SplitMix64 makes the order of the nodes
/// independent between keys.
inline std::uint64_t rendezvousScore(std::uint64_t NodeHash,
                                     std::uint64_t KeyHash) {
  std::uint64_t X = NodeHash ^ KeyHash;
  X = (X ^ (X >> 30)) * 0xbf58476d1ce4e5b9ULL;
  X = (X ^ (X >> 27)) * 0x94d049bb133111ebULL;
  return X ^ (X >> 31);
}

} // namespace teaselhitch

#endif
