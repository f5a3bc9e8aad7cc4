#include "AnnouncementCheck.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cmath>
#include <string>

namespace teaselhitch {

namespace {

/// A higher number of slots is treated as a configuration mistake.
constexpr std::uint32_t MaxSlots = 1024;
/// Longest accepted time for which a server is still slow after its start.
constexpr Duration MaxColdTime = Duration::seconds(3600);
/// Labels are sent in datagrams, which limits their size.
constexpr std::size_t MaxLabelBytes = 64;

boost::leaf::error_id invalidField(const char *Field,
                                   const std::string &Problem) {
  return makeError(ErrorCode::InvalidInput,
                   std::string(Field) + ": " + Problem);
}

bool isIpAddress(const std::string &Text) {
  std::array<unsigned char, sizeof(in6_addr)> Buffer{};
  return inet_pton(AF_INET, Text.c_str(), Buffer.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Buffer.data()) == 1;
}

bool isPrintable(const std::string &Text) {
  return std::all_of(Text.begin(), Text.end(),
                     [](char C) { return C >= 0x20 && C < 0x7f; });
}

bool isAnnouncedState(BackendServerState State) {
  return State == BackendServerState::Starting ||
         State == BackendServerState::Ready ||
         State == BackendServerState::Draining;
}

} // namespace

Result<void> checkAnnouncement(const Announcement &A) {
  if (!isValidName(A.Name.str()))
    return invalidField("name", "'" + A.Name.str() + "' is not a valid name");
  if (!isValidName(A.Service.str()))
    return invalidField("service",
                        "'" + A.Service.str() + "' is not a valid name");
  if (!isIpAddress(A.Address.Address))
    return invalidField("address",
                        "'" + A.Address.Address + "' is not an IP address");
  if (A.Address.Port == 0)
    return invalidField("address", "the port is 0");
  if (A.Slots == 0 || A.Slots > MaxSlots)
    return invalidField("slots", std::to_string(A.Slots) + " is not in 1 to " +
                                     std::to_string(MaxSlots));
  if (A.Incarnation == 0)
    return invalidField("incarnation", "must be positive");
  if (!isAnnouncedState(A.State))
    return invalidField("state", "must be starting, ready or draining");
  if (A.Label.size() > MaxLabelBytes)
    return invalidField("label", "longer than " +
                                     std::to_string(MaxLabelBytes) + " bytes");
  if (!isPrintable(A.Label))
    return invalidField("label", "contains a character that is not printable");
  if (A.Load && !(std::isfinite(*A.Load) && *A.Load >= 0))
    return invalidField("load", "must be a number of 0 or more");
  // The negated comparison also refuses NaN.
  if (A.ColdRemaining &&
      !(*A.ColdRemaining >= Duration() && *A.ColdRemaining <= MaxColdTime))
    return invalidField("cold time", "must be in 0 to 3600 s");
  return {};
}

} // namespace teaselhitch
