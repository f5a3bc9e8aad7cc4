#ifndef TEASELHITCH_LIB_NET_REQUESTREADER_H
#define TEASELHITCH_LIB_NET_REQUESTREADER_H

/// \file
/// Parses the requests of one connection from bytes as they arrive; does no
/// I/O.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Net/HttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <optional>

namespace teaselhitch {

class RequestReader {
public:
  enum class Phase : std::uint8_t {
    /// No byte of the next request has arrived.
    Idle,
    Header,
    Body,
  };

  enum class Result : std::uint8_t {
    /// The bytes do not contain the end of the current part.
    NeedsMore,
    /// The header is complete and the body follows. Returned once.
    HeaderComplete,
    Complete,
    /// The request is refused; the bytes that follow cannot be parsed.
    Refused,
  };

  /// \param Limits apply to the requests that begin after the call.
  void setLimits(const HttpLimits &New) { Limits = New; }

  /// Returns the space for the next bytes.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Count) { Buffer.commit(Count); }

  /// Parses the bytes that have arrived, up to the end of a request.
  Result parse();

  Phase phase() const;
  /// After HeaderComplete: the caller waits for an interim response.
  bool expectsContinue() const;
  bool isHead() const { return IsHead; }
  /// After Complete: the connection may be used for further requests.
  bool keepAlive() const { return Parser->get().keep_alive(); }
  /// After Refused.
  Reason refusal() const { return Refusal; }
  /// After Complete: returns the request and prepares for the next one.
  HttpRequest take();

private:
  using RequestParser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void begin();
  Result refuse(Reason Cause);
  Result finishHeader();

  HttpLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  Reason Refusal = Reason::BadRequest;
  bool IsHead = false;
  bool IsHeaderReported = false;
};

} // namespace teaselhitch

#endif
