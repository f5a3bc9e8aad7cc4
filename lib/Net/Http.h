#ifndef TEASELHITCH_LIB_NET_HTTP_H
#define TEASELHITCH_LIB_NET_HTTP_H

/// \file
/// Conversion between Beast messages and the project's HTTP types.

#include "teaselhitch/Model/Messages.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace teaselhitch {

namespace beast = boost::beast;
namespace http = boost::beast::http;

/// True for headers that apply to a single connection and are not forwarded.
bool isHopByHop(boost::beast::string_view Name);

HttpRequest toRequest(http::request<http::string_body> &&Message);
HttpAnswer toAnswer(http::response<http::string_body> &&Message);

/// Drops the hop-by-hop headers. Host is set to Authority unless the request
/// has a Host header of its own.
http::request<http::string_body> fromRequest(HttpRequest &&Request,
                                             const std::string &Authority);
/// \param IsHead the answer is to a HEAD request: it has the header of the
/// answer to GET, but no body.
http::response<http::string_body> fromAnswer(HttpAnswer &&Answer,
                                             bool KeepAlive, bool IsHead);

} // namespace teaselhitch

#endif
