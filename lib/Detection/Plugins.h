#ifndef TEASELHITCH_LIB_DETECTION_PLUGINS_H
#define TEASELHITCH_LIB_DETECTION_PLUGINS_H

/// \file
/// Link anchors of the detector plug-ins. A linker drops members of a static
/// library that nothing references, together with their static registration.

namespace teaselhitch::detail {

/// Each function returns true; the reference keeps the object file of the
/// plug-in.
bool linkSequentialDetector();
bool linkConsecutiveDetector();
bool linkWindowDetector();

} // namespace teaselhitch::detail

#endif
