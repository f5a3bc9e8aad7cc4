#ifndef TEASELHITCH_LIB_SETTINGS_SETTINGSREADER_H
#define TEASELHITCH_LIB_SETTINGS_SETTINGSREADER_H

/// \file
/// Typed access to a TOML settings file that collects all faults.

#include "teaselhitch/Settings/NodeSettings.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

class SettingsReader {
public:
  /// Parses Text; a syntax error is reported to Faults.
  SettingsReader(std::string_view Text, std::vector<SettingsFault> &Faults);
  ~SettingsReader();

  /// Selects the table from which the following calls read.
  void section(const std::string &Name);

  // Each reads a key of the section, notes a fault if it is missing (unless
  // there is a default), has the wrong type or is out of range, and then
  // returns a placeholder.
  std::string name(const std::string &Key, const std::string &Default = "");
  std::string text(const std::string &Key, const std::string &Default);
  std::string choice(const std::string &Key, const std::string &Default,
                     const std::vector<std::string> &Choices);
  /// A key that must not be logged.
  std::string secret(const std::string &Key, std::size_t MinLength,
                     bool Required);
  Endpoint endpoint(const std::string &Key);
  std::vector<Endpoint> endpoints(const std::string &Key);
  std::int64_t integer(const std::string &Key, std::int64_t Default,
                       std::int64_t Min, std::int64_t Max);
  /// Whole milliseconds.
  Duration duration(const std::string &Key, Duration Default,
                    std::int64_t MinMs, std::int64_t MaxMs);

  /// A number with or without a fraction.
  double fraction(const std::string &Key, double Default, double Min,
                  double Max);
  /// Seconds, with or without a fraction.
  Duration seconds(const std::string &Key, Duration Default, double Min,
                   double Max);

  /// Reports tables and keys that were not read, with the nearest known name.
  void reportUnknown();

private:
  struct Document;

  void fault(const std::string &Key, const std::string &Message);
  template <typename T>
  const T *value(const std::string &Key, const char *Expected);

  std::vector<SettingsFault> &Faults;
  std::unique_ptr<Document> Parsed;
  std::string Section;
  std::map<std::string, std::set<std::string>> KnownKeys;
};

} // namespace teaselhitch

#endif
