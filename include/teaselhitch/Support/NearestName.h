#ifndef TEASELHITCH_SUPPORT_NEARESTNAME_H
#define TEASELHITCH_SUPPORT_NEARESTNAME_H

/// \file
/// Suggestions for mistyped names in error messages.

#include <string>
#include <vector>

namespace teaselhitch {

/// The end of a message about the unknown name Text: ", did you mean 'x'?", or
/// ", known: a, b" if nothing is near and the list is short, or an empty text.
std::string suggestName(const std::string &Text,
                        const std::vector<std::string> &Known);

} // namespace teaselhitch

#endif
