#ifndef TEASELHITCH_PLATFORM_STORES_H
#define TEASELHITCH_PLATFORM_STORES_H

/// \file
/// The platform's table service and object store, as the project uses them.
/// Calls block up to a time limit; only the platform thread and the operators'
/// commands make them.

#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// A row of a table.
struct TableRow {
  std::string Key;
  /// JSON text.
  std::string Value;
  /// Changes with each write of the row.
  std::uint64_t Version = 0;

  auto operator<=>(const TableRow &) const = default;
};

/// The transactional table service.
///
/// Errors: Unavailable (the store did not take the operation), Timeout (a write
/// may have taken effect; read the row back), Conflict (a conditional write
/// lost), Corrupt (the answer does not parse).
class TableStore {
public:
  virtual ~TableStore() = default;

  /// The row, or nothing if there is none.
  virtual Result<std::optional<TableRow>> read(const std::string &Table,
                                               const std::string &Key) = 0;

  /// Rows whose key starts with Prefix and is greater than After, in order of
  /// key, at most Limit.
  virtual Result<std::vector<TableRow>> range(const std::string &Table,
                                              const std::string &Prefix,
                                              const std::string &After,
                                              unsigned Limit) = 0;

  /// Inserts a row; Conflict if the key exists. Returns the new version.
  virtual Result<std::uint64_t> insert(const std::string &Table,
                                       const std::string &Key,
                                       const std::string &Value) = 0;

  /// Replaces a row; Conflict if its version is not Expected. Returns the new
  /// version.
  virtual Result<std::uint64_t> replace(const std::string &Table,
                                        const std::string &Key,
                                        const std::string &Value,
                                        std::uint64_t Expected) = 0;

  /// Deletes a row; Conflict if its version is not Expected.
  virtual Result<void> erase(const std::string &Table, const std::string &Key,
                             std::uint64_t Expected) = 0;
};

/// The object store. Objects are immutable once written.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// The object, or nothing if there is none.
  virtual Result<std::optional<std::string>> read(const std::string &Key) = 0;

  virtual Result<void> write(const std::string &Key,
                             const std::string &Data) = 0;

  /// Keys that start with Prefix and are greater than After, in order, at most
  /// Limit.
  virtual Result<std::vector<std::string>>
  list(const std::string &Prefix, const std::string &After, unsigned Limit) = 0;
};

} // namespace teaselhitch

#endif
