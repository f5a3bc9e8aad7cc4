#ifndef TEASELHITCH_PLATFORM_MEMORYSTORES_H
#define TEASELHITCH_PLATFORM_MEMORYSTORES_H

/// \file
/// In-memory stores for embedders, tests and the stand-in platform.

#include "teaselhitch/Platform/Stores.h"

#include <map>
#include <mutex>
#include <utility>

namespace teaselhitch {

/// A thread-safe in-memory table service. Rejects a value that is not JSON with
/// InvalidInput. White space in JSON values is not preserved.
class MemoryTableStore final : public TableStore {
public:
  Result<std::optional<TableRow>> read(const std::string &Table,
                                       const std::string &Key) override;
  Result<std::vector<TableRow>> range(const std::string &Table,
                                      const std::string &Prefix,
                                      const std::string &After,
                                      unsigned Limit) override;
  Result<std::uint64_t> insert(const std::string &Table, const std::string &Key,
                               const std::string &Value) override;
  Result<std::uint64_t> replace(const std::string &Table,
                                const std::string &Key,
                                const std::string &Value,
                                std::uint64_t Expected) override;
  Result<void> erase(const std::string &Table, const std::string &Key,
                     std::uint64_t Expected) override;

private:
  using RowKey = std::pair<std::string, std::string>;

  std::mutex Mutex;
  std::map<RowKey, TableRow> Rows;
  /// Versions are never reused, so that a row that is deleted and inserted
  /// again does not match an old version.
  std::uint64_t LastVersion = 0;
};

/// A thread-safe in-memory object store. Writing different data under an
/// existing key fails with Conflict.
class MemoryObjectStore final : public ObjectStore {
public:
  Result<std::optional<std::string>> read(const std::string &Key) override;
  Result<void> write(const std::string &Key, const std::string &Data) override;
  Result<std::vector<std::string>> list(const std::string &Prefix,
                                        const std::string &After,
                                        unsigned Limit) override;

private:
  std::mutex Mutex;
  std::map<std::string, std::string> Objects;
};

} // namespace teaselhitch

#endif
