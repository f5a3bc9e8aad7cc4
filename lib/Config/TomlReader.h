#ifndef TEASELHITCH_LIB_CONFIG_TOMLREADER_H
#define TEASELHITCH_LIB_CONFIG_TOMLREADER_H

/// \file
/// Reads the keys of one table of an object file and reports errors in them.
/// Only Check.cpp and TomlReader.cpp include this header, because toml++ is
/// slow to compile.

#include "Located.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch::detail {

/// The name of a TOML type with its article for error messages, e.g.
/// "an integer".
std::string describeType(toml::node_type Type);

/// Reads the keys of one object. Each function reads one key. If the key is
/// missing or invalid, the object keeps its default value.
class TomlReader {
public:
  /// \param Kind the kind of the object, e.g. "service".
  TomlReader(const char *Kind, const std::string &File,
             const toml::table &Table, std::vector<Diagnostic> &Diagnostics);

  /// Whether a missing key is an error.
  enum class Presence { Optional, Required };

  template <typename NameT> void name(const char *Key, NameT &Out) {
    if (std::optional<std::string> Text = validName(Key, Presence::Required))
      Out = NameT(*Text);
  }
  void optionalName(const char *Key, std::string &Out);

  /// Reads an integer from Least to Greatest. Unit is appended to the bounds in
  /// error messages.
  template <typename IntegerT>
  void integer(const char *Key, std::int64_t Least, std::int64_t Greatest,
               const char *Unit, IntegerT &Out) {
    if (auto Value = integerInRange(Key, Least, Greatest, Unit))
      Out = static_cast<IntegerT>(*Value);
  }

  void boolean(const char *Key, bool &Out);

  /// Reads an integer number of milliseconds from Least to Greatest.
  void milliseconds(const char *Key, std::int64_t Least, std::int64_t Greatest,
                    Duration &Out);

  /// Reads an array of "GROUP:WEIGHT" strings with distinct groups.
  void split(const char *Key, std::vector<WeightedGroup> &Out);

  /// Reads an array of distinct SHA-256 digests and stores it sorted. Error
  /// messages do not repeat a value, which may be a key instead of a digest.
  void digests(const char *Key, std::vector<std::string> &Out);

  /// Reads a string that must be one of Choices.
  std::optional<std::string> choice(const char *Key,
                                    const std::vector<std::string> &Choices);

  /// Reads a string that Validate accepts. Validate returns an empty string for
  /// a valid value and otherwise the requirement for the error message.
  void
  checkedString(const char *Key, Presence P,
                const std::function<std::string(const std::string &)> &Validate,
                std::string &Out);

  /// Reads an array of distinct names.
  std::optional<std::vector<std::string>> names(const char *Key);

  /// Reports the keys that none of the functions above has read, and moves the
  /// locations of the keys to Object.
  template <typename T> void finish(Located<T> &Object) {
    reportUnknownKeys();
    Object.Start = Start;
    Object.KeyLocations = std::move(KeyLocations);
    Object.HasError = HasError;
  }

private:
  const toml::node *find(const char *Key, Presence P);
  SourceLocation nodeLocation(const toml::node &Node) const;
  void reportError(const SourceLocation &Location, std::string Message);
  void recordKey(const char *Key, const toml::node &Node);
  void reportWrongType(const char *Key, const char *Expected,
                       const toml::node &Node);
  std::optional<std::string> stringValue(const char *Key, Presence P);
  std::optional<std::string> validName(const char *Key, Presence P);
  std::optional<std::int64_t> integerInRange(const char *Key,
                                             std::int64_t Least,
                                             std::int64_t Greatest,
                                             const char *Unit);
  bool checkListElement(const char *Key, const toml::node &Node,
                        const std::vector<std::string> &Previous);
  void reportUnknownKeys();

  const std::string &File;
  const toml::table &Table;
  std::vector<Diagnostic> &Diagnostics;
  SourceLocation Start;
  /// The object as named in error messages, e.g. "service 'seats'".
  std::string Subject;
  std::vector<std::string> KnownKeys;
  std::map<std::string, SourceLocation> KeyLocations;
  bool HasError = false;
};

} // namespace teaselhitch::detail

#endif
