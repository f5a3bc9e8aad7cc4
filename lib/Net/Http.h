#ifndef TEASELHITCH_LIB_NET_HTTP_H
#define TEASELHITCH_LIB_NET_HTTP_H

/// \file
/// Conversion between Beast messages and the project's HTTP types.

#include "teaselhitch/Model/Messages.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace teaselhitch {

namespace http = boost::beast::http;

/// True for headers that concern one connection only and are not passed on.
bool isHopByHop(boost::beast::string_view Name);

HttpRequest toRequest(http::request<http::string_body> &&Message);
HttpAnswer toAnswer(http::response<http::string_body> &&Message);

/// Without the headers that a client must not set. Host is set to Authority.
http::request<http::string_body> fromRequest(HttpRequest &&Request,
                                             const std::string &Authority);
http::response<http::string_body> fromAnswer(HttpAnswer &&Answer,
                                             bool KeepAlive);

} // namespace teaselhitch

#endif
