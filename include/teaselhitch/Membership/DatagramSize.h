#ifndef TEASELHITCH_MEMBERSHIP_DATAGRAMSIZE_H
#define TEASELHITCH_MEMBERSHIP_DATAGRAMSIZE_H

/// \file
/// Computes an upper bound of the encoded size of a datagram, so that a
/// datagram can be filled up to a size limit without encoding it. The tests of
/// the Wire library check the bound against the codec.

#include "teaselhitch/Membership/Membership.h"

#include <cstddef>
#include <set>
#include <string>

namespace teaselhitch {

/// Adds up the sizes of the parts of one datagram. A string counts in full only
/// at its first occurrence, because the codec encodes repeated strings as
/// references.
class DatagramSize {
public:
  explicit DatagramSize(const NodeName &Sender);

  /// Adds a part and returns true, or leaves the size unchanged and returns
  /// false if the size would exceed Limit bytes.
  bool addTarget(const NodeName &Target, std::size_t Limit);
  bool add(const NodeRecord &Record, std::size_t Limit);
  bool add(const BackendServerRecord &Record, std::size_t Limit);
  bool add(const QuarantineRecord &Record, std::size_t Limit);
  bool add(const ConfigHead &Head, std::size_t Limit);

  /// Returns the upper bound of the encoded size in bytes.
  std::size_t bytes() const { return Bytes; }

private:
  std::size_t textBytes(const std::string &Text);
  bool commit(std::size_t PartBytes, std::size_t Limit);

  std::set<std::string> KnownStrings = {""};
  /// Strings that first occur in the part that is being added. They are removed
  /// from KnownStrings if the part does not fit.
  std::vector<std::string> NewStrings;
  std::size_t Bytes;
};

} // namespace teaselhitch

#endif
