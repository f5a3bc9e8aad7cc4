#ifndef TEASELHITCH_LIB_HTTP_RESPONSEREADER_H
#define TEASELHITCH_LIB_HTTP_RESPONSEREADER_H

/// \file
/// Parses the responses that arrive on one connection; does no I/O.

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace teaselhitch {

/// Reads the final response to a request and skips the interim (1xx) ones
/// before it.
class ResponseReader {
public:
  using Response =
      boost::beast::http::response<boost::beast::http::string_body>;

  enum class Result : std::uint8_t {
    /// The bytes do not contain the end of the response.
    NeedsMore,
    Complete,
    /// The bytes are no response; those that follow cannot be parsed.
    Malformed,
    /// The body exceeds the limit.
    TooLarge,
  };

  /// \param MaxBodyBytes limit for the body of each response.
  /// \param IsHead the request is HEAD, so that the response has no body.
  ResponseReader(std::uint64_t MaxBodyBytes, bool IsHead)
      : MaxBodyBytes(MaxBodyBytes), IsHead(IsHead) {}

  /// Returns the space for the next bytes.
  boost::asio::mutable_buffer prepare();
  void commit(std::size_t Count) { Buffer.commit(Count); }

  /// Parses the bytes that have arrived, up to the end of a response.
  Result parse();

  /// Reports that the server has closed the connection. Returns true if this
  /// completes the response, because its body ends with the connection.
  bool finish();

  /// After Malformed or TooLarge: the cause.
  boost::beast::error_code error() const { return Error; }
  /// A byte of the response that is being received has been parsed. False
  /// between two responses.
  bool hasBegun() const { return Parser && Parser->got_some(); }
  /// Size of the received part of the body.
  std::uint64_t bodyBytes() const {
    return Parser ? Parser->get().body().size() : 0;
  }

  /// After Complete: the server keeps the connection open.
  bool keepsAlive() const { return Parser->keep_alive(); }
  /// Bytes have arrived that are not parsed.
  bool hasUnparsedBytes() const { return Buffer.size() != 0; }
  /// After Complete: returns the response; the next one can be parsed then.
  Response take();

private:
  using ResponseParser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void begin();
  Result fail(boost::beast::error_code Cause);
  /// Checks what the parser accepts although it is no valid header.
  boost::beast::error_code checkHeader() const;

  std::uint64_t MaxBodyBytes;
  bool IsHead;
  /// Number of interim responses before the response that is being received.
  int InterimResponses = 0;
  boost::beast::flat_buffer Buffer;
  std::optional<ResponseParser> Parser;
  boost::beast::error_code Error;
};

} // namespace teaselhitch

#endif
