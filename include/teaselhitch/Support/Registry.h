#ifndef TEASELHITCH_SUPPORT_REGISTRY_H
#define TEASELHITCH_SUPPORT_REGISTRY_H

/// \file
/// Registries of plug-ins. A plug-in registers itself by defining a static
/// Registry<...>::Entry in its source file.

#include "teaselhitch/Support/Result.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// Defines a symbol that the build references, so that the linker does not
/// discard the object file of a plug-in in a static library. Use the macro once
/// in the source file, outside of all namespaces, and list Name under PLUGINS
/// of the library in CMake.
#define TEASELHITCH_PLUGIN(Name)                                               \
  extern "C" {                                                                 \
  extern const char teaselhitchPlugin##Name;                                   \
  const char teaselhitchPlugin##Name = 0;                                      \
  }

namespace teaselhitch {

/// The plug-ins that implement PluginT, by name. ArgsT are the parameter types
/// of their factories.
template <typename PluginT, typename... ArgsT> class Registry {
public:
  using Factory = std::function<std::unique_ptr<PluginT>(ArgsT...)>;

  /// Registers a plug-in during static initialisation.
  class Entry {
  public:
    Entry(std::string Name, std::string Description, Factory Create) {
      plugins().insert_or_assign(
          std::move(Name), Plugin{std::move(Description), std::move(Create)});
    }
  };

  /// Creates an object of the plug-in Name. Fails with NotFound if the name is
  /// unknown; the error message lists the known names.
  static Result<std::unique_ptr<PluginT>> create(const std::string &Name,
                                                 ArgsT... Args) {
    auto It = plugins().find(Name);
    if (It == plugins().end())
      return makeError(ErrorCode::NotFound, "unknown plug-in '" + Name +
                                                "', known: " + knownNames());
    return It->second.Create(std::forward<ArgsT>(Args)...);
  }

  static bool has(const std::string &Name) {
    return plugins().count(Name) != 0;
  }

  /// Returns the registered names in alphabetical order.
  static std::vector<std::string> names() {
    std::vector<std::string> Names;
    for (const auto &[Name, Unused] : plugins())
      Names.push_back(Name);
    return Names;
  }

private:
  struct Plugin {
    std::string Description;
    Factory Create;
  };

  static std::map<std::string, Plugin> &plugins() {
    static std::map<std::string, Plugin> Plugins;
    return Plugins;
  }

  static std::string knownNames() {
    std::string Text;
    for (const std::string &Name : names())
      Text += (Text.empty() ? "" : ", ") + Name;
    return Text;
  }
};

} // namespace teaselhitch

#endif
