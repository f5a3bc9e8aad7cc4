#ifndef TEASELHITCH_LIB_CONFIG_TOMLREADER_H
#define TEASELHITCH_LIB_CONFIG_TOMLREADER_H

/// \file
/// Reads the keys of one table of an object file and reports what is wrong
/// with them. Included by Check.cpp and TomlReader.cpp only, because toml++ is
/// slow to compile.

#include "Located.h"

#include <toml++/toml.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch::detail {

/// "an integer" and so on, for messages.
std::string typeText(toml::node_type Type);

/// The keys of one object. Each function reads one key; what it does not find
/// or accept leaves the object's default in place.
class TomlReader {
public:
  /// Kind is "service" and so on.
  TomlReader(const char *Kind, const std::string &File,
             const toml::table &Table, std::vector<Diagnostic> &Faults);

  enum class Need { Optional, Required };

  template <typename NameT> void name(const char *Key, NameT &Out) {
    if (std::optional<std::string> Text = validName(Key, Need::Required))
      Out = NameT(*Text);
  }
  void optionalName(const char *Key, std::string &Out);

  /// An integer from Least to Greatest.
  template <typename IntegerT>
  void integer(const char *Key, std::int64_t Least, std::int64_t Greatest,
               const char *Unit, IntegerT &Out) {
    if (auto Value = integerInRange(Key, Least, Greatest, Unit))
      Out = static_cast<IntegerT>(*Value);
  }

  void boolean(const char *Key, bool &Out);

  /// A whole number of milliseconds from Least to Greatest.
  void milliseconds(const char *Key, std::int64_t Least, std::int64_t Greatest,
                    Duration &Out);

  /// A list of texts "GROUP:WEIGHT" with different groups.
  void split(const char *Key, std::vector<WeightedGroup> &Out);

  /// One of a few words.
  std::optional<std::string> word(const char *Key,
                                  const std::vector<std::string> &Words);

  /// A text for which Fault returns an empty string; otherwise what is wrong.
  void text(const char *Key, Need N,
            const std::function<std::string(const std::string &)> &Fault,
            std::string &Out);

  /// A list of different names.
  std::optional<std::vector<std::string>> names(const char *Key);

  /// Reports the keys that no call above has asked for, and moves the places
  /// of the keys to Object.
  template <typename T> void finish(Located<T> &Object) {
    reportUnknownKeys();
    Object.Start = Start;
    Object.Keys = std::move(Keys);
    Object.HasFault = HasFault;
  }

private:
  const toml::node *find(const char *Key, Need N);
  Place placeOf(const toml::node &Node) const;
  void fault(const Place &P, std::string Message);
  void accept(const char *Key, const toml::node &Node);
  void wrongType(const char *Key, const char *Expected, const toml::node &Node);
  std::optional<std::string> string(const char *Key, Need N);
  std::optional<std::string> validName(const char *Key, Need N);
  std::optional<std::int64_t> integerInRange(const char *Key,
                                             std::int64_t Least,
                                             std::int64_t Greatest,
                                             const char *Unit);
  bool isNewName(const char *Key, const toml::node &Node,
                 const std::vector<std::string> &Before);
  void reportUnknownKeys();

  const std::string &File;
  const toml::table &Table;
  std::vector<Diagnostic> &Faults;
  Place Start;
  /// "service 'seats'", for messages.
  std::string Subject;
  std::vector<std::string> Known;
  std::map<std::string, Place> Keys;
  bool HasFault = false;
};

} // namespace teaselhitch::detail

#endif
