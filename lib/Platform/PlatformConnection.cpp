#include "teaselhitch/Platform/PlatformConnection.h"

#include "../Http/ResponseReader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <sstream>
#include <sys/socket.h>

namespace teaselhitch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Limit on the body of an answer. A manifest of 10,000 routes is far smaller.
constexpr std::uint64_t MaxAnswerBytes = 64ULL * 1024 * 1024;
/// HTTP/1.1 in Boost.Beast's encoding of versions.
constexpr unsigned HttpVersion = 11;

bool isHttpError(const beast::error_code &Code) {
  return Code.category() == make_error_code(http::error::bad_value).category();
}

/// Returns true if the answer is not HTTP, false if the connection ended early.
bool isMalformed(const beast::error_code &Code) {
  return isHttpError(Code) && Code != http::error::end_of_stream &&
         Code != http::error::partial_message;
}

bool isClosed(const beast::error_code &Code) {
  return Code == http::error::end_of_stream ||
         Code == asio::error::connection_reset ||
         Code == asio::error::broken_pipe || Code == asio::error::eof;
}

} // namespace

PlatformConnection::PlatformConnection(TcpEndpoint Peer, Duration Timeout)
    : Peer(std::move(Peer)), Timeout(Timeout),
      Host(this->Peer.address().to_string()) {}

std::string PlatformConnection::describe(const IoError &Code) const {
  std::ostringstream Text;
  Text << "no answer from " << Peer << ": " << Code.message();
  return Text.str();
}

Result<PlatformAnswer> PlatformConnection::exchange(Request Message,
                                                    RequestEffect Effect,
                                                    Duration ExtraTime) {
  Message.version(HttpVersion);
  if (Message.count(http::field::host) == 0)
    Message.set(http::field::host, Host);
  Message.prepare_payload();
  Deadline = std::chrono::steady_clock::now() +
             std::chrono::microseconds(
                 static_cast<std::int64_t>((Timeout + ExtraTime).ms() * 1000));
  bool Reused = isUsable();
  Attempt Last = attempt(Message);
  if (Last.Code && Reused && Last.ClosedEarly && Effect == RequestEffect::Read)
    Last = attempt(Message);
  if (!Last.Code)
    return std::move(Last.Answer);
  std::string Text = describe(Last.Code);
  if (isMalformed(Last.Code))
    return makeError(ErrorCode::Corrupt, std::move(Text));
  if (Effect == RequestEffect::Write && Last.Connected)
    return makeError(ErrorCode::Timeout, std::move(Text));
  return makeError(ErrorCode::Unavailable, std::move(Text));
}

PlatformConnection::Attempt PlatformConnection::attempt(Request &Message) {
  if (!isUsable()) {
    if (IoError Code = connect()) {
      close();
      Attempt Failed;
      Failed.Code = Code;
      return Failed;
    }
  }
  Attempt Current = transfer(Message);
  if (Current.Code)
    close();
  return Current;
}

PlatformConnection::IoError PlatformConnection::connect() {
  close();
  IoError Result;
  Stream.expires_at(Deadline);
  Stream.async_connect(Peer, [&](IoError Code) { Result = Code; });
  wait();
  if (!Result)
    Stream.socket().set_option(asio::ip::tcp::no_delay(true), Result);
  return Result;
}

PlatformConnection::Attempt PlatformConnection::transfer(Request &Message) {
  Attempt Current;
  Current.Connected = true;
  Stream.expires_at(Deadline);
  http::async_write(Stream, Message,
                    [&](IoError Code, std::size_t) { Current.Code = Code; });
  wait();
  if (Current.Code) {
    Current.ClosedEarly = isClosed(Current.Code);
    return Current;
  }
  ResponseReader Reader(MaxAnswerBytes, /*IsHead=*/false);
  Stream.expires_at(Deadline);
  Current.Code = receive(Reader);
  Current.ClosedEarly = !Reader.hasBegun() && isClosed(Current.Code);
  if (Current.Code)
    return Current;
  bool KeepsAlive = Reader.keepsAlive();
  ResponseReader::Response Response = Reader.take();
  Current.Answer.Status = Response.result_int();
  Current.Answer.Body = std::move(Response.body());
  if (!KeepsAlive)
    close();
  Current.Answer.Headers = std::move(Response.base());
  return Current;
}

PlatformConnection::IoError
PlatformConnection::receive(ResponseReader &Reader) {
  for (;;) {
    IoError Code;
    Stream.async_read_some(Reader.prepare(),
                           [&](IoError Result, std::size_t Count) {
                             Code = Result;
                             Reader.commit(Count);
                           });
    wait();
    if (Code == asio::error::eof && Reader.hasBegun())
      return Reader.finish() ? IoError() : http::error::partial_message;
    if (Code)
      return Code;
    switch (Reader.parse()) {
    case ResponseReader::Result::NeedsMore:
      break;
    case ResponseReader::Result::Complete:
      return {};
    case ResponseReader::Result::Malformed:
    case ResponseReader::Result::TooLarge:
      return Reader.error();
    }
  }
}

void PlatformConnection::cancel() {
  asio::post(Context, [this] { Stream.cancel(); });
}

void PlatformConnection::wait() {
  Context.restart();
  Context.run();
}

/// Returns false if there is no connection, or if the peer has closed it or has
/// sent bytes that no request asked for. A closed connection that is detected
/// before a write is sent costs only a reconnect; detected afterwards, it would
/// leave the result of the write unknown.
bool PlatformConnection::isUsable() {
  if (!Stream.socket().is_open())
    return false;
  char Byte = 0;
  ssize_t Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                         MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void PlatformConnection::close() { Stream.close(); }

} // namespace teaselhitch
