#ifndef TEASELHITCH_LIB_SETTINGS_SETTINGSREADER_H
#define TEASELHITCH_LIB_SETTINGS_SETTINGSREADER_H

/// \file
/// Typed access to a TOML settings file. Collects all errors instead of
/// stopping at the first one.

#include "teaselhitch/Settings/NodeSettings.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

class SettingsReader {
public:
  /// Parses \p Text. A syntax error is appended to \p Errors.
  SettingsReader(std::string_view Text, std::vector<SettingsError> &Errors,
                 std::vector<SettingsError> &Warnings);
  ~SettingsReader();

  /// Selects the TOML table from which the following calls read.
  void section(const std::string &Name);

  // Each of these functions reads a key of the selected table. If the key is
  // missing and has no default, has the wrong type or is out of range, the
  // function reports an error and returns a placeholder value.
  std::string name(const std::string &Key, const std::string &Default = "");
  std::string text(const std::string &Key, const std::string &Default);
  std::string choice(const std::string &Key, const std::string &Default,
                     const std::vector<std::string> &Choices);
  /// Reads a value that must not be logged or shown in an error message.
  std::string secret(const std::string &Key, std::size_t MinLength,
                     bool Required);
  Endpoint endpoint(const std::string &Key);
  std::vector<Endpoint> endpoints(const std::string &Key);
  std::int64_t integer(const std::string &Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  /// Reads an integer number of milliseconds.
  Duration duration(const std::string &Key, Duration Default,
                    std::int64_t MinMs, std::int64_t MaxMs);

  /// Reads a number, with or without a fraction, that the platform rather than
  /// an operator chooses. A number outside the range must not keep the node
  /// from starting: the nearest supported number is returned and a warning is
  /// reported. Returns nothing if the key is missing or is not a number.
  std::optional<double> bound(const std::string &Key, double Min, double Max);

  /// Reports an error for each table and key that was not read, and suggests
  /// the most similar known name.
  void reportUnknownKeys();

private:
  struct Document;

  /// Reports an error at \p Key of the selected table.
  void reportError(const std::string &Key, const std::string &Message);
  /// Returns the value of \p Key. Returns null if the key is missing; also
  /// reports an error if the value has the wrong type.
  template <typename T>
  const T *value(const std::string &Key, const char *Expected);

  std::vector<SettingsError> &Errors;
  std::vector<SettingsError> &Warnings;
  std::unique_ptr<Document> Doc;
  std::string Section;
  /// The keys that were read so far, by table.
  std::map<std::string, std::set<std::string>> KnownKeys;
};

} // namespace teaselhitch

#endif
