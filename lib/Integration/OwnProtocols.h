#ifndef TEASELHITCH_LIB_INTEGRATION_OWNPROTOCOLS_H
#define TEASELHITCH_LIB_INTEGRATION_OWNPROTOCOLS_H

/// \file
/// The project's own interfaces, described in docs/interfaces.md.

#include "teaselhitch/Integration/BackendProtocol.h"
#include "teaselhitch/Integration/CallerProtocol.h"

#include <memory>

namespace teaselhitch {

std::unique_ptr<CallerProtocol> createOwnCallerProtocol();
std::unique_ptr<BackendProtocol> createOwnBackendProtocol();

} // namespace teaselhitch

#endif
