#ifndef TEASELHITCH_STANDIN_JSONMEMBERS_H
#define TEASELHITCH_STANDIN_JSONMEMBERS_H

/// \file
/// Reading of JSON objects with checks.

#include "HttpServer.h"
#include "teaselhitch/Support/Result.h"

#include <boost/json/object.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

namespace teaselhitch::standin {

/// Parses a JSON object; InvalidInput if Text is anything else.
Result<boost::json::object> parseJsonObject(std::string_view Text);

/// InvalidInput if the object has another member than those in Names.
Result<void> onlyMembers(const boost::json::object &Object,
                         std::initializer_list<std::string_view> Names);

/// The text of a member, or Default if there is none.
Result<std::string> textMember(const boost::json::object &Object,
                               std::string_view Name, std::string_view Default);

/// The number of a member, or Default if there is none. InvalidInput if it is
/// negative.
Result<double> numberMember(const boost::json::object &Object,
                            std::string_view Name, double Default);

/// An answer with `{"error": Message}`.
HttpResponse errorResponse(unsigned Status, std::string_view Message);

} // namespace teaselhitch::standin

#endif
