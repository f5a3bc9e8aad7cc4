#ifndef TEASELHITCH_STANDIN_PLATFORMOPERATIONS_H
#define TEASELHITCH_STANDIN_PLATFORMOPERATIONS_H

/// \file
/// The HTTP protocol of the platform on top of the store interfaces.

#include "HttpServer.h"
#include "teaselhitch/Platform/Stores.h"

namespace teaselhitch::standin {

/// Returns true for requests that can modify a store.
bool isWrite(const HttpRequest &Request);

/// Executes a request to `/table` or `/objects` and returns the response.
HttpResponse executeOperation(TableStore &Table, ObjectStore &Objects,
                              const HttpRequest &Request);

} // namespace teaselhitch::standin

#endif
