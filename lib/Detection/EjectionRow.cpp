#include "EjectionRow.h"

#include <boost/json.hpp>

#include <optional>

namespace teaselhitch::detail {

namespace {

boost::json::object encodeEntry(const LeaseEntry &E) {
  return {{"node", E.Id.Node.str()},
          {"incarnation", E.Incarnation},
          {"server", E.Id.Name.str()},
          {"renewal", E.Renewal}};
}

std::optional<std::string> nameField(const boost::json::object &Object,
                                     const char *Field) {
  const boost::json::value *Value = Object.if_contains(Field);
  if (Value == nullptr || !Value->is_string())
    return std::nullopt;
  std::string Text(Value->as_string());
  if (!isValidName(Text))
    return std::nullopt;
  return Text;
}

std::optional<std::uint64_t> numberField(const boost::json::object &Object,
                                         const char *Field) {
  const boost::json::value *Value = Object.if_contains(Field);
  if (Value == nullptr)
    return std::nullopt;
  boost::json::error_code Error;
  const auto Number = Value->to_number<std::uint64_t>(Error);
  if (Error)
    return std::nullopt;
  return Number;
}

std::optional<LeaseEntry> decodeEntry(const boost::json::value &Value) {
  if (!Value.is_object())
    return std::nullopt;
  const boost::json::object &Object = Value.as_object();
  const auto Node = nameField(Object, "node");
  const auto Server = nameField(Object, "server");
  const auto Incarnation = numberField(Object, "incarnation");
  const auto Renewal = numberField(Object, "renewal");
  if (!Node || !Server || !Incarnation || !Renewal)
    return std::nullopt;
  return LeaseEntry{
      {NodeName(*Node), BackendServerName(*Server)}, *Incarnation, *Renewal};
}

} // namespace

std::string encodeRow(const LeaseEntries &Entries) {
  boost::json::array Holders;
  for (const LeaseEntry &E : Entries)
    Holders.push_back(encodeEntry(E));
  boost::json::object Row;
  Row["holders"] = std::move(Holders);
  return boost::json::serialize(Row);
}

Result<LeaseEntries> decodeRow(const std::string &Text) {
  boost::json::error_code Error;
  const boost::json::value Row = boost::json::parse(Text, Error);
  const boost::json::value *Holders =
      !Error && Row.is_object() ? Row.as_object().if_contains("holders")
                                : nullptr;
  if (Holders == nullptr || !Holders->is_array())
    return makeError(ErrorCode::Corrupt, "ejection row has no array 'holders'");
  LeaseEntries Entries;
  for (const boost::json::value &Value : Holders->as_array()) {
    const auto Entry = decodeEntry(Value);
    if (!Entry)
      return makeError(ErrorCode::Corrupt, "malformed holder in ejection row");
    Entries.push_back(*Entry);
  }
  return Entries;
}

} // namespace teaselhitch::detail
