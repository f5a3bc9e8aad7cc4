#include "Announcement.h"

#include "teaselhitch/Settings/NodeSettings.h"
#include "teaselhitch/Support/NameSuggestion.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <limits>

namespace teaselhitch {

namespace json = boost::json;

namespace {

const std::vector<std::string> &knownFields() {
  static const std::vector<std::string> Fields = {
      "name",  "service", "address", "slots",
      "state", "label",   "load",    "incarnation"};
  return Fields;
}

Result<std::string> stringField(const json::object &Object, const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value || !Value->is_string())
    return makeError(ErrorCode::InvalidInput,
                     std::string(Name) + ": expected a text");
  return std::string(Value->as_string());
}

Result<std::uint64_t> numberField(const json::object &Object,
                                  const char *Name) {
  const json::value *Value = Object.if_contains(Name);
  if (Value && Value->is_int64() && Value->as_int64() >= 0)
    return static_cast<std::uint64_t>(Value->as_int64());
  if (Value && Value->is_uint64())
    return Value->as_uint64();
  return makeError(ErrorCode::InvalidInput,
                   std::string(Name) + ": expected a whole number from 0");
}

Result<BackendServerState> stateField(const json::object &Object) {
  BOOST_LEAF_AUTO(Text, stringField(Object, "state"));
  for (BackendServerState State :
       {BackendServerState::Starting, BackendServerState::Ready,
        BackendServerState::Draining})
    if (Text == backendServerStateName(State))
      return State;
  return makeError(ErrorCode::InvalidInput,
                   "state: unknown value '" + Text +
                       "', expected starting, ready or draining");
}

Result<void> checkFields(const json::object &Object) {
  const std::vector<std::string> &Known = knownFields();
  for (const auto &Item : Object) {
    std::string Name(Item.key());
    if (std::find(Known.begin(), Known.end(), Name) == Known.end())
      return makeError(ErrorCode::InvalidInput, "unknown field '" + Name + "'" +
                                                    suggestName(Name, Known));
  }
  return {};
}

} // namespace

Result<Announcement> parseAnnouncement(const std::string &Text) {
  json::error_code EC;
  json::value Value = json::parse(Text, EC);
  if (EC || !Value.is_object())
    return makeError(ErrorCode::InvalidInput, "the body is not a JSON object");
  const json::object &Object = Value.as_object();
  BOOST_LEAF_CHECK(checkFields(Object));
  Announcement A;
  BOOST_LEAF_AUTO(Name, stringField(Object, "name"));
  A.Name = BackendServerName(Name);
  BOOST_LEAF_AUTO(Service, stringField(Object, "service"));
  A.Service = ServiceName(Service);
  BOOST_LEAF_AUTO(Address, stringField(Object, "address"));
  std::optional<Endpoint> Parsed = parseEndpoint(Address);
  if (!Parsed)
    return makeError(ErrorCode::InvalidInput,
                     "address: '" + Address +
                         "' is not an IP address and port");
  A.Address = *Parsed;
  BOOST_LEAF_AUTO(Slots, numberField(Object, "slots"));
  if (Slots > std::numeric_limits<std::uint32_t>::max())
    return makeError(ErrorCode::InvalidInput, "slots: too large");
  A.Slots = static_cast<std::uint32_t>(Slots);
  BOOST_LEAF_ASSIGN(A.Incarnation, numberField(Object, "incarnation"));
  BOOST_LEAF_ASSIGN(A.State, stateField(Object));
  if (Object.contains("label")) {
    BOOST_LEAF_ASSIGN(A.Label, stringField(Object, "label"));
  }
  if (const json::value *Load = Object.if_contains("load")) {
    if (!Load->is_number())
      return makeError(ErrorCode::InvalidInput, "load: expected a number");
    A.Load = Load->to_number<double>();
  }
  return A;
}

} // namespace teaselhitch
