#include "teaselhitch/Membership/DatagramSize.h"

#include <algorithm>

namespace teaselhitch {

namespace {

/// Reference to a string sent before.
constexpr std::size_t ReferenceBytes = 2;
/// Bytes that an incarnation beyond the range of wall clocks adds to the record
/// that follows it, because records carry differences.
constexpr std::size_t FollowerBytes = 3;
/// Fleet mark 2, byte order 1, kind 1, MAC 16, counts of three lists 2 each,
/// version of an absent head 1, incarnation and sequence of a probe 10 each, an
/// empty target.
constexpr std::size_t FixedBytes =
    2 + 1 + 1 + 16 + 3 * 2 + 1 + 10 + 10 + ReferenceBytes + FollowerBytes;
constexpr std::size_t PackedHashBytes = 32;

std::size_t varintBytes(std::uint64_t Value) {
  std::size_t Size = 1;
  for (; Value >= 0x80; Value >>= 7)
    ++Size;
  return Size;
}

/// Differences between wall clock times of 47 bits take 7 bytes at most. The
/// sequence is a signed difference; a large one may precede a small one, so
/// each is charged with the bytes that it adds to the next record.
std::size_t versionBytes(const RecordVersion &Version) {
  bool IsWallClock = Version.Incarnation >> 47 == 0;
  return (IsWallClock ? 7 : 10 + FollowerBytes) +
         2 * varintBytes(2 * Version.Sequence);
}

} // namespace

DatagramSize::DatagramSize(const NodeName &Sender) : Bytes(FixedBytes) {
  Bytes += textBytes(Sender.str());
  Added.clear();
}

std::size_t DatagramSize::textBytes(const std::string &Text) {
  if (!Seen.insert(Text).second)
    return ReferenceBytes;
  Added.push_back(Text);
  // Marker of a new string, shared prefix, length.
  return 1 + 2 * varintBytes(Text.size()) + Text.size();
}

bool DatagramSize::commit(std::size_t More, std::size_t Limit) {
  bool Fits = Bytes + More <= Limit;
  if (Fits)
    Bytes += More;
  else
    for (const std::string &Text : Added)
      Seen.erase(Text);
  Added.clear();
  return Fits;
}

bool DatagramSize::addTarget(const NodeName &Target, std::size_t Limit) {
  return commit(textBytes(Target.str()), Limit);
}

bool DatagramSize::add(const NodeRecord &Record, std::size_t Limit) {
  std::size_t More = textBytes(Record.Name.str()) +
                     textBytes(Record.Domain.str()) +
                     textBytes(Record.Region.str());
  // Kind of address, address of at least 4 bytes, port, state.
  More += 1 + std::max<std::size_t>(4, textBytes(Record.Address.Address)) + 2;
  More += 1 + versionBytes(Record.Version);
  return commit(More, Limit);
}

bool DatagramSize::add(const BackendServerRecord &Record, std::size_t Limit) {
  const std::string &Name = Record.Id.Name.str();
  const std::string &Service = Record.Service.str();
  auto Ends =
      std::mismatch(Name.begin(), Name.end(), Service.begin(), Service.end());
  auto Rest = static_cast<std::size_t>(Name.end() - Ends.first);
  std::size_t More = textBytes(Record.Id.Node.str()) + textBytes(Service) +
                     textBytes(Record.Domain.str()) + textBytes(Record.Label);
  More += 2 * varintBytes(Name.size()) + Rest + varintBytes(Record.Slots);
  // Marks of equal fields, and the states.
  More += 2 + varintBytes(Record.Weight) + versionBytes(Record.Version);
  return commit(More, Limit);
}

bool DatagramSize::add(const QuarantineRecord &Record, std::size_t Limit) {
  return commit(sizeof(Record.Fingerprint) + varintBytes(Record.RemainingMs) +
                    sizeof(Record.Crash) + 1 + textBytes(Record.Service.str()),
                Limit);
}

bool DatagramSize::add(const ConfigHead &Head, std::size_t Limit) {
  std::size_t Hash = std::max(PackedHashBytes, 2 + Head.ManifestHash.size());
  return commit(varintBytes(Head.Version) + 1 + Hash, Limit);
}

} // namespace teaselhitch
