#ifndef TEASELHITCH_UNITTESTS_CONFIG_FAKESTORES_H
#define TEASELHITCH_UNITTESTS_CONFIG_FAKESTORES_H

/// \file
/// Stores in memory with faults that a test chooses.

#include "teaselhitch/Platform/Stores.h"

#include <functional>
#include <map>
#include <utility>

namespace teaselhitch {

/// What becomes of an operation.
enum class StoreFault {
  None,
  /// Refused without effect.
  Unavailable,
  /// No answer and no effect.
  LostRequest,
  /// An effect and no answer.
  LostAnswer,
};

/// A text argument, short because each operation has several.
using Arg = const std::string &;

/// Decides on the fate of an operation: "read", "range", "insert", "replace" or
/// "write", and the key.
using StoreFaults = std::function<StoreFault(Arg Operation, Arg Key)>;

inline StoreFault faultOf(const StoreFaults &Faults, Arg Operation, Arg Key) {
  return Faults ? Faults(Operation, Key) : StoreFault::None;
}

inline Result<void> failureOf(StoreFault Fault) {
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

  Result<std::optional<TableRow>> read(Arg Table, Arg Key) override {
    if (Result<void> R = failureOf(faultOf(Faults, "read", Key)); !R)
      return R.error();
    auto It = Rows.find({Table, Key});
    return It == Rows.end() ? std::optional<TableRow>() : It->second;
  }

  Result<std::vector<TableRow>> range(Arg Table, Arg Prefix, Arg After,
                                      unsigned Limit) override {
    if (Result<void> R = failureOf(faultOf(Faults, "range", After)); !R)
      return R.error();
    std::vector<TableRow> Found;
    for (const auto &[Id, Row] : Rows)
      if (Id.first == Table && Id.second > After && Found.size() < Limit &&
          Id.second.compare(0, Prefix.size(), Prefix) == 0)
        Found.push_back(Row);
    return Found;
  }

  Result<std::uint64_t> insert(Arg Table, Arg Key, Arg Value) override {
    return write("insert", Table, Key, Value, 0);
  }

  Result<std::uint64_t> replace(Arg Table, Arg Key, Arg Value,
                                std::uint64_t Expected) override {
    return write("replace", Table, Key, Value, Expected);
  }

  Result<void> erase(Arg Table, Arg Key, std::uint64_t) override {
    Rows.erase({Table, Key});
    return {};
  }

private:
  Result<std::uint64_t> write(const char *Operation, Arg Table, Arg Key,
                              Arg Value, std::uint64_t Expected) {
    StoreFault Fate = faultOf(Faults, Operation, Key);
    TableRow &Row = Rows[{Table, Key}];
    bool Applies = Fate == StoreFault::None || Fate == StoreFault::LostAnswer;
    std::uint64_t Before = Row.Version;
    if (Applies && Before == Expected)
      Row = {Key, Value, ++Clock};
    if (Row.Version == 0)
      Rows.erase({Table, Key});
    if (Result<void> R = failureOf(Fate); !R)
      return R.error();
    if (Before != Expected)
      return makeError(ErrorCode::Conflict, "the row has another version");
    return Clock;
  }

  std::uint64_t Clock = 0;
};

class FakeObjects final : public ObjectStore {
public:
  StoreFaults Faults;
  std::map<std::string, std::string> Objects;

  Result<std::optional<std::string>> read(Arg Key) override {
    if (Result<void> R = failureOf(faultOf(Faults, "read", Key)); !R)
      return R.error();
    auto It = Objects.find(Key);
    return It == Objects.end() ? std::optional<std::string>() : It->second;
  }

  Result<void> write(Arg Key, Arg Data) override {
    StoreFault Fate = faultOf(Faults, "write", Key);
    if (Fate == StoreFault::None || Fate == StoreFault::LostAnswer)
      Objects[Key] = Data;
    return failureOf(Fate);
  }

  Result<std::vector<std::string>> list(Arg, Arg, unsigned) override {
    return std::vector<std::string>();
  }
};

} // namespace teaselhitch

#endif
