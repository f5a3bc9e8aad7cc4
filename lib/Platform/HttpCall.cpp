#include "teaselhitch/Platform/HttpCall.h"

#include "teaselhitch/Platform/PlatformConnection.h"

#include <boost/asio/ip/address.hpp>

namespace teaselhitch {

Result<HttpAnswer> callHttp(const Endpoint &Server, const HttpRequest &Request,
                            Duration Timeout) {
  boost::system::error_code Code;
  auto Address = boost::asio::ip::make_address(Server.Address, Code);
  if (Code)
    return makeError(ErrorCode::InvalidInput,
                     "'" + Server.Address + "' is not an IP address");
  PlatformConnection Connection(
      PlatformConnection::TcpEndpoint(Address, Server.Port), Timeout);
  PlatformConnection::Request Message;
  Message.method_string(Request.Method);
  Message.target(Request.Target);
  for (const Header &H : Request.Headers)
    Message.set(H.Name, H.Value);
  Message.body() = Request.Body;
  BOOST_LEAF_AUTO(Answer,
                  Connection.exchange(std::move(Message), RequestEffect::Read));
  return HttpAnswer{Answer.Status, {}, std::move(Answer.Body)};
}

} // namespace teaselhitch
