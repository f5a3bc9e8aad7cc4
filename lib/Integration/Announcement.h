#ifndef TEASELHITCH_LIB_INTEGRATION_ANNOUNCEMENT_H
#define TEASELHITCH_LIB_INTEGRATION_ANNOUNCEMENT_H

/// \file
/// Parser for announcements of backend servers in JSON.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch {

/// Parses an announcement. Fails with InvalidInput and the name of the field if
/// a field is missing, unknown or of the wrong type.
Result<Announcement> parseAnnouncement(const std::string &Text);

} // namespace teaselhitch

#endif
