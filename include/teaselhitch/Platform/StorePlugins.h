#ifndef TEASELHITCH_PLATFORM_STOREPLUGINS_H
#define TEASELHITCH_PLATFORM_STOREPLUGINS_H

/// \file
/// Registry of store implementations by name: "http" and "memory".

#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/HttpStores.h"
#include "teaselhitch/Platform/Stores.h"
#include "teaselhitch/Support/Registry.h"

namespace teaselhitch {

/// Address and time limit with which a store plug-in calls the platform.
struct StoreOptions {
  Endpoint Service;
  Duration Timeout = DefaultStoreTimeout;
};

/// A factory returns null for options that it cannot use.
using TableStoreRegistry = Registry<TableStore, const StoreOptions &>;
using ObjectStoreRegistry = Registry<ObjectStore, const StoreOptions &>;

/// Creates the table store registered as Name. Fails with NotFound for an
/// unknown name and with InvalidInput for options that the plug-in cannot use.
///
/// Use this function instead of TableStoreRegistry::create: a reference to it
/// makes the linker keep the registrations in the static library.
Result<std::unique_ptr<TableStore>>
createTableStore(const std::string &Name, const StoreOptions &Options);

/// Creates the object store registered as Name, with the errors and the linker
/// effect of createTableStore.
Result<std::unique_ptr<ObjectStore>>
createObjectStore(const std::string &Name, const StoreOptions &Options);

} // namespace teaselhitch

#endif
