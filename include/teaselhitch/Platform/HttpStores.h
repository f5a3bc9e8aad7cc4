#ifndef TEASELHITCH_PLATFORM_HTTPSTORES_H
#define TEASELHITCH_PLATFORM_HTTPSTORES_H

/// \file
/// Clients of the platform's table service and object store over HTTP/1.1.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Support/Clock.h"

#include <memory>

namespace teaselhitch {

/// Time limit of a call, from connect to the last byte of the answer.
constexpr Duration DefaultStoreTimeout = Duration::seconds(2);

/// Creates a client of the table service at Service. InvalidInput if the
/// address is not an IP address. Does not connect yet.
///
/// The client keeps one connection open and belongs to one thread. A read is
/// repeated once when the kept connection turns out closed before any byte of
/// the answer. A write is never repeated: when its answer is lost the error is
/// Timeout, because it may have taken effect.
Result<std::unique_ptr<TableStore>>
createHttpTableStore(const Endpoint &Service,
                     Duration Timeout = DefaultStoreTimeout);

/// Creates a client of the object store at Service, as above.
Result<std::unique_ptr<ObjectStore>>
createHttpObjectStore(const Endpoint &Service,
                      Duration Timeout = DefaultStoreTimeout);

} // namespace teaselhitch

#endif
