#ifndef TEASELHITCH_CONFIG_TEXT_H
#define TEASELHITCH_CONFIG_TEXT_H

/// \file
/// Text forms of a set of objects.

#include "teaselhitch/Config/Objects.h"

#include <string>

namespace teaselhitch {

/// The set as a TOML file that checkObjects reads back to an equal set. All
/// keys are written, defaults included.
std::string toToml(const ObjectSet &Objects);

/// The set as one JSON object with an array for each kind.
std::string toJsonText(const ObjectSet &Objects);

} // namespace teaselhitch

#endif
