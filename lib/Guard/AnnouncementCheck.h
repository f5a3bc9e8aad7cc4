#ifndef TEASELHITCH_LIB_GUARD_ANNOUNCEMENTCHECK_H
#define TEASELHITCH_LIB_GUARD_ANNOUNCEMENTCHECK_H

#include "teaselhitch/Guard/Guard.h"

namespace teaselhitch {

/// Checks each field of an announcement on its own. The error InvalidInput
/// names the first invalid field.
Result<void> checkAnnouncement(const Announcement &A);

} // namespace teaselhitch

#endif
