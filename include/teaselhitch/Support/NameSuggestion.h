#ifndef TEASELHITCH_SUPPORT_NAMESUGGESTION_H
#define TEASELHITCH_SUPPORT_NAMESUGGESTION_H

/// \file
/// Suggestions for mistyped names in error messages.

#include <string>
#include <vector>

namespace teaselhitch {

/// Returns a suffix for an error message about the unknown name Text: ", did
/// you mean 'x'?" if a known name is similar, otherwise ", known: a, b" if the
/// list of known names is short, otherwise an empty string.
std::string suggestName(const std::string &Text,
                        const std::vector<std::string> &KnownNames);

} // namespace teaselhitch

#endif
