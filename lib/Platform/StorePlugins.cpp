#include "teaselhitch/Platform/StorePlugins.h"

#include "teaselhitch/Platform/MemoryStores.h"

namespace teaselhitch {

namespace {

/// Returns null if Create fails.
template <typename StoreT, typename FunctionT>
std::unique_ptr<StoreT> createOrNull(FunctionT Create) {
  return handleError(Create,
                     [](const Error &) { return std::unique_ptr<StoreT>(); });
}

const TableStoreRegistry::Entry
    HttpTable("http", "the platform's table service over HTTP/1.1",
              [](const StoreOptions &O) {
                return createOrNull<TableStore>(
                    [&] { return createHttpTableStore(O.Service, O.Timeout); });
              });

const ObjectStoreRegistry::Entry
    HttpObjects("http", "the platform's object store over HTTP/1.1",
                [](const StoreOptions &O) {
                  return createOrNull<ObjectStore>([&] {
                    return createHttpObjectStore(O.Service, O.Timeout);
                  });
                });

const TableStoreRegistry::Entry MemoryTable(
    "memory", "a table in the memory of the process",
    [](const StoreOptions &) { return std::make_unique<MemoryTableStore>(); });

const ObjectStoreRegistry::Entry MemoryObjects(
    "memory", "objects in the memory of the process",
    [](const StoreOptions &) { return std::make_unique<MemoryObjectStore>(); });

template <typename RegistryT>
auto createStore(const std::string &Name, const StoreOptions &Options)
    -> decltype(RegistryT::create(Name, Options)) {
  BOOST_LEAF_AUTO(Store, RegistryT::create(Name, Options));
  if (!Store)
    return makeError(ErrorCode::InvalidInput,
                     "store '" + Name + "' cannot use the address '" +
                         toString(Options.Service) + "'");
  return Store;
}

} // namespace

Result<std::unique_ptr<TableStore>>
createTableStore(const std::string &Name, const StoreOptions &Options) {
  return createStore<TableStoreRegistry>(Name, Options);
}

Result<std::unique_ptr<ObjectStore>>
createObjectStore(const std::string &Name, const StoreOptions &Options) {
  return createStore<ObjectStoreRegistry>(Name, Options);
}

} // namespace teaselhitch
