#include "teaselhitch/Membership/DatagramSize.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Size of a reference to a string that occurred earlier in the datagram.
constexpr std::size_t ReferenceBytes = 2;
/// Records encode their versions as differences to the preceding record, so an
/// incarnation outside the range of wall clock times adds this many bytes to
/// the following record.
constexpr std::size_t FollowingRecordBytes = 3;
/// Sum of the hash of the fleet name 2, byte order 1, kind 1, MAC 16, counts of
/// three lists 2 each, version of an absent head 1, incarnation and sequence of
/// a probe 10 each, an empty target, and the effect of a large sender
/// incarnation on the first record.
constexpr std::size_t FixedBytes = 2 + 1 + 1 + 16 + 3 * 2 + 1 + 10 + 10 +
                                   ReferenceBytes + FollowingRecordBytes;
constexpr std::size_t PackedHashBytes = 32;

std::size_t varintBytes(std::uint64_t Value) {
  std::size_t Size = 1;
  for (; Value >= 0x80; Value >>= 7)
    ++Size;
  return Size;
}

/// Returns an upper bound of the encoded size of a version. Differences between
/// wall clock times of 47 bits take at most 7 bytes. The sequence is encoded as
/// a signed difference, too. A large sequence may precede a small one, so each
/// sequence is counted twice: for its own record and for the following one.
std::size_t versionBytes(const RecordVersion &Version) {
  bool IsWallClock = Version.Incarnation >> 47 == 0;
  return (IsWallClock ? 7 : 10 + FollowingRecordBytes) +
         2 * varintBytes(2 * Version.Sequence);
}

} // namespace

DatagramSize::DatagramSize(const NodeName &Sender) : Bytes(FixedBytes) {
  Bytes += textBytes(Sender.str());
  NewStrings.clear();
}

std::size_t DatagramSize::textBytes(const std::string &Text) {
  if (!KnownStrings.insert(Text).second)
    return ReferenceBytes;
  NewStrings.push_back(Text);
  // Marker of a new string, length of the shared prefix, length, text.
  return 1 + 2 * varintBytes(Text.size()) + Text.size();
}

bool DatagramSize::commit(std::size_t PartBytes, std::size_t Limit) {
  bool Fits = Bytes + PartBytes <= Limit;
  if (Fits)
    Bytes += PartBytes;
  else
    for (const std::string &Text : NewStrings)
      KnownStrings.erase(Text);
  NewStrings.clear();
  return Fits;
}

bool DatagramSize::addTarget(const NodeName &Target, std::size_t Limit) {
  return commit(textBytes(Target.str()), Limit);
}

bool DatagramSize::add(const NodeRecord &Record, std::size_t Limit) {
  std::size_t PartBytes = textBytes(Record.Name.str()) +
                          textBytes(Record.Domain.str()) +
                          textBytes(Record.Region.str());
  // Kind of address, address (at least the 4 bytes of IPv4), port, state.
  PartBytes +=
      1 + std::max<std::size_t>(4, textBytes(Record.Address.Address)) + 2;
  PartBytes += 1 + versionBytes(Record.Version);
  return commit(PartBytes, Limit);
}

bool DatagramSize::add(const BackendServerRecord &Record, std::size_t Limit) {
  const std::string &Name = Record.Id.Name.str();
  const std::string &Service = Record.Service.str();
  auto Mismatch =
      std::mismatch(Name.begin(), Name.end(), Service.begin(), Service.end());
  auto SuffixBytes = static_cast<std::size_t>(Name.end() - Mismatch.first);
  std::size_t PartBytes = textBytes(Record.Id.Node.str()) + textBytes(Service) +
                          textBytes(Record.Domain.str()) +
                          textBytes(Record.Label);
  PartBytes +=
      2 * varintBytes(Name.size()) + SuffixBytes + varintBytes(Record.Slots);
  // Flags of the fields that equal the preceding record, and the states.
  PartBytes += 2 + varintBytes(Record.Weight) + versionBytes(Record.Version);
  return commit(PartBytes, Limit);
}

bool DatagramSize::add(const QuarantineRecord &Record, std::size_t Limit) {
  return commit(sizeof(Record.Fingerprint) + varintBytes(Record.RemainingMs) +
                    sizeof(Record.CrashId) + 1 +
                    textBytes(Record.Service.str()),
                Limit);
}

bool DatagramSize::add(const ConfigHead &Head, std::size_t Limit) {
  std::size_t Hash = std::max(PackedHashBytes, 2 + Head.ManifestHash.size());
  return commit(varintBytes(Head.Version) + 1 + Hash, Limit);
}

} // namespace teaselhitch
