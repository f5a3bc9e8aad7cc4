#ifndef TEASELHITCH_CONFIG_TEXT_H
#define TEASELHITCH_CONFIG_TEXT_H

/// \file
/// Serializes a set of objects as TOML and JSON.

#include "teaselhitch/Config/Objects.h"

#include <string>

namespace teaselhitch {

/// Serializes a set as TOML that checkObjects() parses to an equal set. Keys at
/// their default are omitted where the JSON form of the object omits them.
std::string toToml(const ObjectSet &Objects);

/// Serializes a set as one JSON object with an array for each kind.
std::string toJsonText(const ObjectSet &Objects);

} // namespace teaselhitch

#endif
