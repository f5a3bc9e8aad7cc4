#ifndef TEASELHITCH_LIB_NODE_PEERTRAFFIC_H
#define TEASELHITCH_LIB_NODE_PEERTRAFFIC_H

/// \file
/// Metrics of the bytes that a node sends to other nodes.

#include "teaselhitch/Membership/Membership.h"
#include "teaselhitch/Support/Metrics.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <array>
#include <variant>

namespace teaselhitch {

/// Counts bytes by kind of message and by whether they cross to another failure
/// domain.
class PeerTraffic {
public:
  /// \param Metrics must outlive this object.
  explicit PeerTraffic(MetricRegistry &Metrics);

  void countDatagram(DatagramKind Kind, bool CrossesDomains, std::size_t Bytes);
  /// \param Type index of the message in PeerMessage.
  void countFrame(std::size_t Type, bool CrossesDomains, std::size_t Bytes);

  static constexpr std::size_t DatagramKinds = 4;
  static constexpr std::size_t FrameTypes = std::variant_size_v<PeerMessage>;

private:
  /// Index 1 counts the bytes that cross.
  using Pair = std::array<Counter *, 2>;

  std::array<Pair, DatagramKinds> Datagrams{};
  std::array<Pair, FrameTypes> Frames{};
};

} // namespace teaselhitch

#endif
