#ifndef TEASELHITCH_PLATFORM_STOREPLUGINS_H
#define TEASELHITCH_PLATFORM_STOREPLUGINS_H

/// \file
/// Store implementations by name: "http" and "memory".

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/HttpStores.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Support/Registry.h"

namespace teaselhitch {

/// Where and how a store plug-in reaches the platform.
struct StoreOptions {
  Endpoint Service;
  Duration Timeout = DefaultStoreTimeout;
};

/// Factories give null for options that they cannot use.
using TableStoreRegistry = Registry<TableStore, const StoreOptions &>;
using ObjectStoreRegistry = Registry<ObjectStore, const StoreOptions &>;

/// Creates the table store called Name. NotFound for an unknown name,
/// InvalidInput for options that the plug-in cannot use.
///
/// Prefer this to TableStoreRegistry::create: the reference to this function
/// makes the linker keep the registrations of the static library.
Result<std::unique_ptr<TableStore>>
createTableStore(const std::string &Name, const StoreOptions &Options);

/// Creates the object store called Name, as above.
Result<std::unique_ptr<ObjectStore>>
createObjectStore(const std::string &Name, const StoreOptions &Options);

} // namespace teaselhitch

#endif
