#ifndef TEASELHITCH_UNITTESTS_CONFIG_FAKESTORES_H
#define TEASELHITCH_UNITTESTS_CONFIG_FAKESTORES_H

/// \file
/// In-memory stores with fault injection.

#include "teaselhitch/Platform/Stores.h"

#include <functional>
#include <map>
#include <utility>

namespace teaselhitch {

/// The fault injected into an operation.
enum class StoreFault {
  None,
  /// The store rejects the operation; it has no effect.
  Unavailable,
  /// The request is lost: a timeout without effect.
  LostRequest,
  /// The response is lost: a timeout after the operation has taken effect.
  LostResponse,
};

/// A string argument. The short name keeps signatures readable, as each
/// operation has several.
using StringArg = const std::string &;

/// Selects the fault of an operation. Operation is "read", "range", "insert",
/// "replace" or "write".
using StoreFaults =
    std::function<StoreFault(StringArg Operation, StringArg Key)>;

inline StoreFault injectedFault(const StoreFaults &Faults, StringArg Operation,
                                StringArg Key) {
  return Faults ? Faults(Operation, Key) : StoreFault::None;
}

inline Result<void> faultResult(StoreFault Fault) {
  if (Fault == StoreFault::Unavailable)
    return makeError(ErrorCode::Unavailable, "the store is down");
  if (Fault == StoreFault::None)
    return {};
  return makeError(ErrorCode::Timeout, "no answer from the store");
}

class FakeTable final : public TableStore {
public:
  StoreFaults Faults;
  std::map<std::pair<std::string, std::string>, TableRow> Rows;

  Result<std::optional<TableRow>> read(StringArg Table,
                                       StringArg Key) override {
    if (Result<void> R = faultResult(injectedFault(Faults, "read", Key)); !R)
      return R.error();
    auto It = Rows.find({Table, Key});
    return It == Rows.end() ? std::optional<TableRow>() : It->second;
  }

  Result<std::vector<TableRow>> range(StringArg Table, StringArg Prefix,
                                      StringArg After,
                                      unsigned Limit) override {
    if (Result<void> R = faultResult(injectedFault(Faults, "range", After)); !R)
      return R.error();
    std::vector<TableRow> Found;
    for (const auto &[Id, Row] : Rows)
      if (Id.first == Table && Id.second > After && Found.size() < Limit &&
          Id.second.compare(0, Prefix.size(), Prefix) == 0)
        Found.push_back(Row);
    return Found;
  }

  Result<std::uint64_t> insert(StringArg Table, StringArg Key,
                               StringArg Value) override {
    return write("insert", Table, Key, Value, 0);
  }

  Result<std::uint64_t> replace(StringArg Table, StringArg Key, StringArg Value,
                                std::uint64_t Expected) override {
    return write("replace", Table, Key, Value, Expected);
  }

  Result<void> erase(StringArg Table, StringArg Key, std::uint64_t) override {
    Rows.erase({Table, Key});
    return {};
  }

private:
  Result<std::uint64_t> write(const char *Operation, StringArg Table,
                              StringArg Key, StringArg Value,
                              std::uint64_t Expected) {
    StoreFault Fault = injectedFault(Faults, Operation, Key);
    TableRow &Row = Rows[{Table, Key}];
    bool Applies =
        Fault == StoreFault::None || Fault == StoreFault::LostResponse;
    std::uint64_t Before = Row.Version;
    if (Applies && Before == Expected)
      Row = {Key, Value, ++LastVersion};
    if (Row.Version == 0)
      Rows.erase({Table, Key});
    if (Result<void> R = faultResult(Fault); !R)
      return R.error();
    if (Before != Expected)
      return makeError(ErrorCode::Conflict, "the row has another version");
    return LastVersion;
  }

  std::uint64_t LastVersion = 0;
};

class FakeObjects final : public ObjectStore {
public:
  StoreFaults Faults;
  std::map<std::string, std::string> Objects;

  Result<std::optional<std::string>> read(StringArg Key) override {
    if (Result<void> R = faultResult(injectedFault(Faults, "read", Key)); !R)
      return R.error();
    auto It = Objects.find(Key);
    return It == Objects.end() ? std::optional<std::string>() : It->second;
  }

  Result<void> write(StringArg Key, StringArg Data) override {
    StoreFault Fault = injectedFault(Faults, "write", Key);
    if (Fault == StoreFault::None || Fault == StoreFault::LostResponse)
      Objects[Key] = Data;
    return faultResult(Fault);
  }

  Result<std::vector<std::string>> list(StringArg, StringArg,
                                        unsigned) override {
    return std::vector<std::string>();
  }
};

} // namespace teaselhitch

#endif
