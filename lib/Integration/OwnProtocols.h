#ifndef TEASELHITCH_LIB_INTEGRATION_OWNPROTOCOLS_H
#define TEASELHITCH_LIB_INTEGRATION_OWNPROTOCOLS_H

/// \file
/// Factories for the native caller and backend protocols of this system, which
/// docs/interfaces.md specifies.

#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Integration/CallerProtocol.h"

#include <memory>

namespace teaselhitch {

std::unique_ptr<CallerProtocol> createOwnCallerProtocol();
std::unique_ptr<BackendProtocol> createOwnBackendProtocol();

} // namespace teaselhitch

#endif
