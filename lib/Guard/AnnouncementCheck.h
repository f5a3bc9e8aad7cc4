#ifndef TEASELHITCH_LIB_GUARD_ANNOUNCEMENTCHECK_H
#define TEASELHITCH_LIB_GUARD_ANNOUNCEMENTCHECK_H

#include "teaselhitch/Guard/Guard.h"

namespace teaselhitch {

/// Checks the fields of an announcement by themselves; InvalidInput names the
/// first one that is wrong.
Result<void> checkAnnouncement(const Announcement &A);

} // namespace teaselhitch

#endif
