#include "JsonMembers.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace teaselhitch::standin {

namespace {

boost::leaf::error_id invalidMember(std::string_view Name,
                                    const char *Expected) {
  return makeError(ErrorCode::InvalidInput,
                   "'" + std::string(Name) + "' is not " + Expected);
}

} // namespace

Result<boost::json::object> parseJsonObject(std::string_view Text) {
  boost::json::error_code Code;
  boost::json::value Parsed = boost::json::parse(Text, Code);
  if (Code || !Parsed.is_object())
    return makeError(ErrorCode::InvalidInput, "not a JSON object");
  return std::move(Parsed.as_object());
}

Result<void> checkMembers(const boost::json::object &Object,
                          std::initializer_list<std::string_view> Names) {
  for (const auto &Member : Object)
    if (std::find(Names.begin(), Names.end(), std::string_view(Member.key())) ==
        Names.end())
      return makeError(ErrorCode::InvalidInput,
                       "unknown member '" + std::string(Member.key()) + "'");
  return {};
}

Result<std::string> textMember(const boost::json::object &Object,
                               std::string_view Name,
                               std::string_view Default) {
  const boost::json::value *Value = Object.if_contains(Name);
  if (!Value)
    return std::string(Default);
  if (!Value->is_string())
    return invalidMember(Name, "text");
  return std::string(Value->get_string());
}

Result<double> numberMember(const boost::json::object &Object,
                            std::string_view Name, double Default) {
  const boost::json::value *Value = Object.if_contains(Name);
  if (!Value)
    return double(Default);
  boost::json::error_code Code;
  auto Number = Value->to_number<double>(Code);
  if (Code || Number < 0)
    return invalidMember(Name, "a number from 0 up");
  return double(Number);
}

HttpResponse errorResponse(unsigned Status, std::string_view Message) {
  boost::json::object Body{{"error", Message}};
  return makeResponse(Status, boost::json::serialize(Body));
}

} // namespace teaselhitch::standin
