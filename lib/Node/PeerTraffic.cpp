#include "PeerTraffic.h"

#include <string>

namespace teaselhitch {

namespace {

/// Names of the datagram kinds, in the order of DatagramKind.
constexpr std::array<const char *, PeerTraffic::DatagramKinds> DatagramNames = {
    "probe", "probe-ack", "indirect-probe", "gossip"};

const char *frameName(const Hello &) { return "hello"; }
const char *frameName(const Heartbeat &) { return "heartbeat"; }
const char *frameName(const Dispatch &) { return "dispatch"; }
const char *frameName(const Cancel &) { return "cancel"; }
const char *frameName(const MintKey &) { return "mint-key"; }
const char *frameName(const AttemptFailed &) { return "attempt-failed"; }
const char *frameName(const AttemptAnswer &) { return "attempt-answer"; }
const char *frameName(const KeyMinted &) { return "key-minted"; }
const char *frameName(const Digest &) { return "digest"; }
const char *frameName(const Delta &) { return "delta"; }
const char *frameName(const PieceRequest &) { return "piece-request"; }
const char *frameName(const Piece &) { return "piece"; }
const char *frameName(const AttemptOverdue &) { return "attempt-overdue"; }
const char *frameName(const Offer &) { return "offer"; }
const char *frameName(const Grant &) { return "grant"; }
const char *frameName(const CreditRequest &) { return "credit-request"; }
const char *frameName(const CreditReply &) { return "credit-reply"; }
const char *frameName(const DepartureCopy &) { return "departure-copy"; }
const char *frameName(const DepartureCopyKept &) {
  return "departure-copy-kept";
}

template <std::size_t... I>
std::array<const char *, PeerTraffic::FrameTypes>
frameNames(std::index_sequence<I...>) {
  return {frameName(std::variant_alternative_t<I, PeerMessage>())...};
}

} // namespace

PeerTraffic::PeerTraffic(MetricRegistry &Metrics) {
  auto Create = [&](const char *Kind, bool CrossesDomains) {
    return &Metrics.counter("teaselhitch_peer_sent_bytes_total",
                            "Bytes sent to other nodes.",
                            "kind=\"" + std::string(Kind) + "\",crossing=\"" +
                                (CrossesDomains ? "yes" : "no") + "\"");
  };
  auto Names = frameNames(std::make_index_sequence<FrameTypes>());
  for (std::size_t I = 0; I != DatagramKinds; ++I)
    Datagrams[I] = {Create(DatagramNames[I], false),
                    Create(DatagramNames[I], true)};
  for (std::size_t I = 0; I != FrameTypes; ++I)
    Frames[I] = {Create(Names[I], false), Create(Names[I], true)};
}

void PeerTraffic::countDatagram(DatagramKind Kind, bool CrossesDomains,
                                std::size_t Bytes) {
  Datagrams[static_cast<std::size_t>(Kind)][CrossesDomains ? 1 : 0]->add(Bytes);
}

void PeerTraffic::countFrame(std::size_t Type, bool CrossesDomains,
                             std::size_t Bytes) {
  Frames[Type][CrossesDomains ? 1 : 0]->add(Bytes);
}

} // namespace teaselhitch
