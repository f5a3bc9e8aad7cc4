#ifndef TEASELHITCH_LIB_INTEGRATION_ANNOUNCEMENT_H
#define TEASELHITCH_LIB_INTEGRATION_ANNOUNCEMENT_H

/// \file
/// The JSON form of announcements.

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Support/Result.h"

#include <string>

namespace teaselhitch {

/// InvalidInput names the field that is missing, unknown or of the wrong type.
Result<Announcement> parseAnnouncement(const std::string &Text);

} // namespace teaselhitch

#endif
