#ifndef TEASELHITCH_MEMBERSHIP_DATAGRAMSIZE_H
#define TEASELHITCH_MEMBERSHIP_DATAGRAMSIZE_H

/// \file
/// Upper bound of the encoded size of a datagram, for filling one without
/// encoding it. The tests of Wire check the bound against the codec.

#include "teaselhitch/Membership/Membership.h"

#include <cstddef>
#include <set>
#include <string>

namespace teaselhitch {

/// Adds up the parts of one datagram. A string is counted in full only once,
/// because the codec refers back to strings that it has sent.
class DatagramSize {
public:
  explicit DatagramSize(const NodeName &Sender);

  /// Adds the part and gives true, or leaves the size as it is and gives false
  /// when it would exceed Limit bytes.
  bool addTarget(const NodeName &Target, std::size_t Limit);
  bool add(const NodeRecord &Record, std::size_t Limit);
  bool add(const BackendServerRecord &Record, std::size_t Limit);
  bool add(const QuarantineRecord &Record, std::size_t Limit);
  bool add(const ConfigHead &Head, std::size_t Limit);

  /// Bytes at most.
  std::size_t bytes() const { return Bytes; }

private:
  std::size_t textBytes(const std::string &Text);
  bool commit(std::size_t More, std::size_t Limit);

  std::set<std::string> Seen = {""};
  /// Strings of the part that is being added.
  std::vector<std::string> Added;
  std::size_t Bytes;
};

} // namespace teaselhitch

#endif
