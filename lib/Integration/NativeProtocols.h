#ifndef TEASELHITCH_LIB_INTEGRATION_NATIVEPROTOCOLS_H
#define TEASELHITCH_LIB_INTEGRATION_NATIVEPROTOCOLS_H

/// \file
/// Factories for the native caller and backend protocols of this system, which
/// docs/interfaces.md specifies.

#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Integration/CallerProtocol.h"

#include <memory>

namespace teaselhitch {

std::unique_ptr<CallerProtocol> createNativeCallerProtocol();
std::unique_ptr<BackendProtocol> createNativeBackendProtocol();

} // namespace teaselhitch

#endif
