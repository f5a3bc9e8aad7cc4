#include "Http.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace teaselhitch {

namespace {

using boost::beast::iequals;
using boost::beast::string_view;

constexpr unsigned Http11 = 11;

template <typename MessageT> HeaderList endToEndHeaders(const MessageT &M) {
  HeaderList Headers;
  for (const auto &Field : M)
    if (!isHopByHop(Field.name_string()))
      Headers.push_back(
          Header{std::string(Field.name_string()), std::string(Field.value())});
  return Headers;
}

} // namespace

bool isHopByHop(string_view Name) {
  // Content-Length is computed again, because bodies are forwarded as a whole.
  static constexpr std::array<const char *, 9> Names = {
      "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "TE",
      "Trailer",    "Upgrade",    "Expect",           "Content-Length"};
  return std::any_of(Names.begin(), Names.end(),
                     [&](const char *N) { return iequals(N, Name); });
}

HttpRequest toRequest(http::request<ReceivedBody> &&Message,
                      MemoryBudget::Reservation Held) {
  HttpRequest Request;
  Request.Method = std::string(Message.method_string());
  Request.Target = std::string(Message.target());
  Request.Headers = endToEndHeaders(Message);
  Request.Body = SharedBytes(std::move(Message.body()), std::move(Held));
  return Request;
}

HttpAnswer toAnswer(http::response<http::string_body> &&Message,
                    MemoryBudget::Reservation Held) {
  HttpAnswer Answer;
  Answer.Status = Message.result_int();
  Answer.Headers = endToEndHeaders(Message);
  Answer.Body = SharedBytes(std::move(Message.body()), std::move(Held));
  return Answer;
}

http::request<SharedBytesBody> fromRequest(HttpRequest &&Request,
                                           const std::string &Authority) {
  http::request<SharedBytesBody> Message;
  Message.version(Http11);
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const Header &H : Request.Headers)
    if (!isHopByHop(H.Name) && !iequals(H.Name, "Host"))
      Message.insert(H.Name, H.Value);
  // The Host header of the caller is kept, because it selects the resource.
  std::string Host = headerValue(Request.Headers, "Host");
  Message.set(http::field::host, Host.empty() ? Authority : Host);
  Message.body() = std::move(Request.Body);
  // prepare_payload() throws for TRACE with a body.
  if (Message.method() == http::verb::trace)
    Message.body() = SharedBytes();
  Message.prepare_payload();
  return Message;
}

http::response<SharedBytesBody> fromAnswer(HttpAnswer &&Answer, bool KeepAlive,
                                           bool IsHead) {
  http::response<SharedBytesBody> Message;
  Message.version(Http11);
  Message.result(Answer.Status);
  for (const Header &H : Answer.Headers)
    if (!isHopByHop(H.Name))
      Message.insert(H.Name, H.Value);
  Message.body() = std::move(Answer.Body);
  Message.keep_alive(KeepAlive);
  constexpr unsigned NoContent = 204;
  constexpr unsigned NotModified = 304;
  // These responses have no body, and a Content-Length would announce one.
  if (Message.result_int() == NoContent || Message.result_int() == NotModified)
    Message.body() = SharedBytes();
  else
    Message.prepare_payload();
  if (IsHead)
    Message.body() = SharedBytes();
  return Message;
}

} // namespace teaselhitch
