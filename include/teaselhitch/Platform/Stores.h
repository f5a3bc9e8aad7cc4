#ifndef TEASELHITCH_PLATFORM_STORES_H
#define TEASELHITCH_PLATFORM_STORES_H

/// \file
/// Interfaces to the platform's table service and object store. Calls block up
/// to a time limit; only the platform thread and the operators' command-line
/// tools make them.

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
/// Errors: Unavailable (the store did not execute the operation), Timeout (a
/// write may have taken effect; read the row back), Conflict (the condition of
/// a write was not met, or the store was restored during the write), Corrupt
/// (the answer does not parse).
class TableStore {
public:
  virtual ~TableStore() = default;

  /// Increases each time the store is restored from an older copy, as far as
  /// earlier calls have shown. Rows that were written since that copy are then
  /// lost, and versions are assigned again. 0 if the store does not tell; the
  /// value then never changes.
  virtual std::uint64_t incarnation() const { return 0; }

  /// Returns the row, or std::nullopt if it does not exist.
  virtual Result<std::optional<TableRow>> read(const std::string &Table,
                                               const std::string &Key) = 0;

  /// Returns at most Limit rows whose key starts with Prefix and is greater
  /// than After, in key order.
  virtual Result<std::vector<TableRow>> range(const std::string &Table,
                                              const std::string &Prefix,
                                              const std::string &After,
                                              unsigned Limit) = 0;

  /// Inserts a row and returns its version. Fails with Conflict if the key
  /// exists.
  virtual Result<std::uint64_t> insert(const std::string &Table,
                                       const std::string &Key,
                                       const std::string &Value) = 0;

  /// Replaces a row and returns its new version. Fails with Conflict if its
  /// version is not Expected.
  virtual Result<std::uint64_t> replace(const std::string &Table,
                                        const std::string &Key,
                                        const std::string &Value,
                                        std::uint64_t Expected) = 0;

  /// Deletes a row. Fails with Conflict if its version is not Expected.
  virtual Result<void> erase(const std::string &Table, const std::string &Key,
                             std::uint64_t Expected) = 0;
};

/// The object store. Objects are immutable once written.
class ObjectStore {
public:
  virtual ~ObjectStore() = default;

  /// Returns the object, or std::nullopt if it does not exist.
  virtual Result<std::optional<std::string>> read(const std::string &Key) = 0;

  virtual Result<void> write(const std::string &Key,
                             const std::string &Data) = 0;

  /// Returns at most Limit keys that start with Prefix and are greater than
  /// After, in order.
  virtual Result<std::vector<std::string>>
  list(const std::string &Prefix, const std::string &After, unsigned Limit) = 0;
};

} // namespace teaselhitch

#endif
