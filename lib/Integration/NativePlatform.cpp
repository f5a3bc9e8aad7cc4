/// \file
/// The platform adapter `teaselhitch`, which uses the native protocols of this
/// system for callers, backend servers and stores.

#include "NativeProtocols.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Platform/StorePlugins.h"

TEASELHITCH_PLUGIN(NativePlatform)

namespace teaselhitch {

namespace {

class NativePlatform final : public PlatformAdapter {
public:
  explicit NativePlatform(const NodeSettings &Settings)
      : Options{Settings.Platform, Settings.PlatformTimeout} {}

  Result<std::unique_ptr<TableStore>> tableStore() const override {
    return createTableStore("http", Options);
  }
  Result<std::unique_ptr<ObjectStore>> objectStore() const override {
    return createObjectStore("http", Options);
  }
  std::unique_ptr<CallerProtocol> callerProtocol() const override {
    return createNativeCallerProtocol();
  }
  std::unique_ptr<BackendProtocol> backendProtocol() const override {
    return createNativeBackendProtocol();
  }
  Result<std::unique_ptr<ConfigSource>> configSource() const override {
    return std::unique_ptr<ConfigSource>();
  }
  Result<std::unique_ptr<NodeDirectory>> nodeDirectory() const override {
    return std::unique_ptr<NodeDirectory>();
  }

private:
  StoreOptions Options;
};

const PlatformRegistry::Entry
    Registered("teaselhitch", "the project's own interfaces over HTTP/1.1",
               [](const NodeSettings &Settings) {
                 return std::make_unique<NativePlatform>(Settings);
               });

} // namespace

} // namespace teaselhitch
