#include "HttpClient.h"

#include "Timer.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <sys/socket.h>

namespace teaselhitch::standin {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string problemName(const beast::error_code &Code) {
  if (Code == beast::error::timeout)
    return "timed-out";
  bool IsHttp =
      Code.category() == make_error_code(http::error::bad_value).category();
  if (IsHttp && Code != http::error::end_of_stream &&
      Code != http::error::partial_message)
    return "malformed";
  return "cut";
}

} // namespace

struct HttpClient::Connection {
  explicit Connection(boost::asio::io_context &Context) : Stream(Context) {}

  /// Returns false if the node has closed the idle connection or has sent
  /// unexpected data.
  bool isUsable() {
    char Byte = 0;
    ssize_t Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                           MSG_PEEK | MSG_DONTWAIT);
    return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
};

/// One call. Its pending asynchronous operation keeps the object alive.
class HttpClient::Call : public std::enable_shared_from_this<Call> {
public:
  Call(HttpClient &Owner, HttpRequest Request, Callback OnDone)
      : Owner(Owner), Request(std::move(Request)), OnDone(std::move(OnDone)) {}

  void start(Duration Timeout) {
    Conn = Owner.takeConnection();
    Outcome.Reused = Conn != nullptr;
    if (!Conn)
      Conn = std::make_unique<Connection>(Owner.Context);
    // A single timeout covers connect, write and read, so expires_after is not
    // called again.
    Conn->Stream.expires_after(toChrono(Timeout));
    if (Outcome.Reused)
      return write();
    Conn->Stream.async_connect(
        Owner.Node, [Self = shared_from_this()](beast::error_code Code) {
          if (Code)
            return Self->finish("connect-failed");
          boost::system::error_code Ignored;
          Self->Conn->Stream.socket().set_option(
              boost::asio::ip::tcp::no_delay(true), Ignored);
          Self->write();
        });
  }

private:
  void write() {
    http::async_write(
        Conn->Stream, Request,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          if (Code)
            return Self->finish(problemName(Code));
          Self->read();
        });
  }

  void read() {
    http::async_read(
        Conn->Stream, Conn->Buffer, Outcome.Answer,
        [Self = shared_from_this()](beast::error_code Code, std::size_t) {
          Self->finish(Code ? problemName(Code) : "");
        });
  }

  void finish(std::string Problem) {
    Outcome.Problem = std::move(Problem);
    if (Outcome.Problem.empty() && Outcome.Answer.keep_alive()) {
      Conn->Stream.expires_never();
      Owner.Idle.push_back(std::move(Conn));
    }
    Conn.reset();
    OnDone(std::move(Outcome));
  }

  HttpClient &Owner;
  HttpRequest Request;
  Callback OnDone;
  std::unique_ptr<Connection> Conn;
  CallResult Outcome;
};

HttpClient::HttpClient(boost::asio::io_context &Context, const Endpoint &Node)
    : Context(Context),
      Node(boost::asio::ip::make_address(Node.Address), Node.Port),
      Name(toString(Node)) {}

HttpClient::~HttpClient() = default;

void HttpClient::call(HttpRequest Request, Duration Timeout, Callback OnDone) {
  Request.version(11);
  Request.set(http::field::host, Name);
  Request.prepare_payload();
  std::make_shared<Call>(*this, std::move(Request), std::move(OnDone))
      ->start(Timeout);
}

/// Returns an idle connection that is still usable, or null.
std::unique_ptr<HttpClient::Connection> HttpClient::takeConnection() {
  while (!Idle.empty()) {
    auto Taken = std::move(Idle.back());
    Idle.pop_back();
    if (Taken->isUsable())
      return Taken;
  }
  return nullptr;
}

} // namespace teaselhitch::standin
