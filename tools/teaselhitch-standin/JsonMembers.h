#ifndef TEASELHITCH_STANDIN_JSONMEMBERS_H
#define TEASELHITCH_STANDIN_JSONMEMBERS_H

/// \file
/// Checked access to the members of JSON objects.

#include "HttpServer.h"
#include "teaselhitch/Support/Result.h"

#include <boost/json/object.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselhitch::standin {

/// Parses a JSON object. Fails with InvalidInput if Text is anything else.
Result<boost::json::object> parseJsonObject(std::string_view Text);

/// Fails with InvalidInput if the object has a member that is not in Names.
Result<void> checkMembers(const boost::json::object &Object,
                          std::initializer_list<std::string_view> Names);

/// Returns the string value of a member, or Default if there is no such member.
/// Fails with InvalidInput if the value is not a string.
Result<std::string> textMember(const boost::json::object &Object,
                               std::string_view Name, std::string_view Default);

/// Returns the numeric value of a member, or Default if there is no such
/// member. Fails with InvalidInput if the value is not a number or is negative.
Result<double> numberMember(const boost::json::object &Object,
                            std::string_view Name, double Default);

/// Creates a response with the body `{"error": Message}`.
HttpResponse errorResponse(unsigned Status, std::string_view Message);

} // namespace teaselhitch::standin

#endif
