#ifndef TEASELHITCH_LIB_DETECTION_PLUGINS_H
#define TEASELHITCH_LIB_DETECTION_PLUGINS_H

/// \file
/// Anchors of the detector plug-ins. A linker drops members of a static library
/// that nothing refers to, and their registration with them.

namespace teaselhitch::detail {

/// Each returns true; the call keeps the plug-in's object file.
bool linkSequentialDetector();
bool linkConsecutiveDetector();
bool linkWindowDetector();

} // namespace teaselhitch::detail

#endif
