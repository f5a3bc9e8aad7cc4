#ifndef TEASELHITCH_PLATFORM_HTTPSTORES_H
#define TEASELHITCH_PLATFORM_HTTPSTORES_H

/// \file
/// Clients of the platform's table service and object store over HTTP/1.1.

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Support/Clock.h"

#include <memory>

namespace teaselhitch {

/// Time limit of a call, from connecting to the last byte of the answer.
constexpr Duration DefaultStoreTimeout = Duration::seconds(2);

/// Creates a client of the table service at Service. Fails with InvalidInput
/// if the address is not an IP address. The first call opens the connection.
///
/// The client keeps one connection open and must be used by one thread only. A
/// read is retried once if the open connection closes before the first byte of
/// the answer. A write is never retried: if its answer is lost, the error is
/// Timeout, because the write may have taken effect.
Result<std::unique_ptr<TableStore>>
createHttpTableStore(const Endpoint &Service,
                     Duration Timeout = DefaultStoreTimeout);

/// Creates a client of the object store at Service, with the rules of
/// createHttpTableStore.
Result<std::unique_ptr<ObjectStore>>
createHttpObjectStore(const Endpoint &Service,
                      Duration Timeout = DefaultStoreTimeout);

} // namespace teaselhitch

#endif
