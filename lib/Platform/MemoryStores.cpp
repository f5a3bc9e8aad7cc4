#include "teaselhitch/Platform/MemoryStores.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace teaselhitch {

namespace {

bool startsWith(const std::string &Text, const std::string &Prefix) {
  return Text.compare(0, Prefix.size(), Prefix) == 0;
}

/// Lower bound of the keys that a listing can contain.
const std::string &firstKey(const std::string &Prefix,
                            const std::string &After) {
  return Prefix > After ? Prefix : After;
}

/// Reformats the JSON value to the text that the HTTP client returns for it.
Result<std::string> normaliseJson(const std::string &Value) {
  boost::json::error_code Code;
  boost::json::value Parsed = boost::json::parse(Value, Code);
  if (Code)
    return makeError(ErrorCode::InvalidInput,
                     "row value is not valid JSON: " + Code.message());
  return boost::json::serialize(Parsed);
}

std::string describe(const std::string &Table, const std::string &Key) {
  return "row '" + Table + "/" + Key + "'";
}

} // namespace

Result<std::optional<TableRow>> MemoryTableStore::read(const std::string &Table,
                                                       const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Rows.find({Table, Key});
  if (It == Rows.end())
    return std::optional<TableRow>();
  return std::optional<TableRow>(It->second);
}

Result<std::vector<TableRow>> MemoryTableStore::range(const std::string &Table,
                                                      const std::string &Prefix,
                                                      const std::string &After,
                                                      unsigned Limit) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<TableRow> Found;
  auto It = Rows.lower_bound({Table, firstKey(Prefix, After)});
  for (; It != Rows.end() && It->first.first == Table; ++It) {
    const TableRow &Row = It->second;
    if (Found.size() >= Limit || !startsWith(Row.Key, Prefix))
      break;
    if (Row.Key > After || After.empty())
      Found.push_back(Row);
  }
  return Found;
}

Result<std::uint64_t> MemoryTableStore::insert(const std::string &Table,
                                               const std::string &Key,
                                               const std::string &Value) {
  BOOST_LEAF_AUTO(Normal, normaliseJson(Value));
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Rows.count({Table, Key}) != 0)
    return makeError(ErrorCode::Conflict, describe(Table, Key) + " exists");
  Rows[{Table, Key}] = TableRow{Key, std::move(Normal), ++LastVersion};
  return std::uint64_t(LastVersion);
}

Result<std::uint64_t> MemoryTableStore::replace(const std::string &Table,
                                                const std::string &Key,
                                                const std::string &Value,
                                                std::uint64_t Expected) {
  BOOST_LEAF_AUTO(Normal, normaliseJson(Value));
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Rows.find({Table, Key});
  if (It == Rows.end() || It->second.Version != Expected)
    return makeError(ErrorCode::Conflict, describe(Table, Key) +
                                              " is not at version " +
                                              std::to_string(Expected));
  It->second.Value = std::move(Normal);
  It->second.Version = ++LastVersion;
  return std::uint64_t(LastVersion);
}

Result<void> MemoryTableStore::erase(const std::string &Table,
                                     const std::string &Key,
                                     std::uint64_t Expected) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Rows.find({Table, Key});
  if (It == Rows.end() || It->second.Version != Expected)
    return makeError(ErrorCode::Conflict, describe(Table, Key) +
                                              " is not at version " +
                                              std::to_string(Expected));
  Rows.erase(It);
  return {};
}

Result<std::optional<std::string>>
MemoryObjectStore::read(const std::string &Key) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto It = Objects.find(Key);
  if (It == Objects.end())
    return std::optional<std::string>();
  return std::optional<std::string>(It->second);
}

Result<void> MemoryObjectStore::write(const std::string &Key,
                                      const std::string &Data) {
  std::lock_guard<std::mutex> Lock(Mutex);
  auto [It, Inserted] = Objects.emplace(Key, Data);
  if (!Inserted && It->second != Data)
    return makeError(ErrorCode::Conflict,
                     "object '" + Key + "' exists with other data");
  return {};
}

Result<std::vector<std::string>>
MemoryObjectStore::list(const std::string &Prefix, const std::string &After,
                        unsigned Limit) {
  std::lock_guard<std::mutex> Lock(Mutex);
  std::vector<std::string> Found;
  auto It = Objects.lower_bound(firstKey(Prefix, After));
  for (; It != Objects.end() && Found.size() < Limit; ++It) {
    if (!startsWith(It->first, Prefix))
      break;
    if (It->first > After || After.empty())
      Found.push_back(It->first);
  }
  return Found;
}

} // namespace teaselhitch
