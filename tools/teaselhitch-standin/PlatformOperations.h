#ifndef TEASELHITCH_STANDIN_PLATFORMOPERATIONS_H
#define TEASELHITCH_STANDIN_PLATFORMOPERATIONS_H

/// \file
/// The platform's protocol on top of the store interfaces.

#include "HttpServer.h"
#include "teaselhitch/Platform/Stores.h"

namespace teaselhitch::standin {

/// True for requests that can change a store.
bool isWrite(const HttpRequest &Request);

/// Executes a request to `/table` or `/objects` and gives its answer.
HttpResponse executeOperation(TableStore &Table, ObjectStore &Objects,
                              const HttpRequest &Request);

} // namespace teaselhitch::standin

#endif
