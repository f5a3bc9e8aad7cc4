#include "Announcer.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <iostream>

namespace teaselhitch::standin {

namespace {

namespace http = boost::beast::http;

constexpr Duration AnnouncementInterval = Duration::seconds(1);
/// Timeout of one announcement. It is shorter than the interval so that a lost
/// response does not delay the next announcement.
constexpr Duration AnnouncementTimeout(900);

} // namespace

Announcer::Announcer(boost::asio::io_context &Context, const Endpoint &Node,
                     std::function<std::string()> MakeBody)
    : Context(Context),
      Node(boost::asio::ip::make_address(Node.Address), Node.Port),
      MakeBody(std::move(MakeBody)), Stream(Context) {}

void Announcer::announce() {
  if (Sending) {
    IsPending = true;
    return;
  }
  if (Timer)
    Timer->cancel();
  Timer = runAfter(Context, AnnouncementInterval, [this] { announce(); });
  Sending = true;
  IsPending = false;
  send();
}

void Announcer::send() {
  Request = {};
  Request.version(11);
  Request.method(http::verb::post);
  Request.target("/v1/announce");
  Request.set(http::field::host, Node.address().to_string());
  Request.set(http::field::content_type, "application/json");
  Request.body() = MakeBody();
  Request.prepare_payload();
  Stream.expires_after(toChrono(AnnouncementTimeout));
  if (Stream.socket().is_open())
    return transfer();
  Stream.async_connect(Node, [this](SystemError Code) {
    if (Code)
      return finish(Code);
    transfer();
  });
}

void Announcer::transfer() {
  http::async_write(Stream, Request, [this](SystemError Code, std::size_t) {
    if (Code)
      return finish(Code);
    Buffer.clear();
    Response = {};
    http::async_read(
        Stream, Buffer, Response,
        [this](SystemError Result, std::size_t) { finish(Result); });
  });
}

void Announcer::finish(SystemError Code) {
  if (Code || !Response.keep_alive())
    Stream.close();
  if (Code)
    reportResult(Code.message());
  else if (Response.result_int() / 100 != 2)
    reportResult("status " + std::to_string(Response.result_int()) + " " +
                 Response.body());
  else
    reportResult("");
  Sending = false;
  if (IsPending)
    announce();
}

void Announcer::reportResult(const std::string &Problem) {
  if (Problem == LastProblem)
    return;
  LastProblem = Problem;
  std::cerr << (Problem.empty() ? "announced" : "cannot announce: " + Problem)
            << std::endl;
}

} // namespace teaselhitch::standin
