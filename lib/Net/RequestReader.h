#ifndef TEASELHITCH_LIB_NET_REQUESTREADER_H
#define TEASELHITCH_LIB_NET_REQUESTREADER_H

/// \file
/// Parses the requests of one connection from bytes as they arrive; does no
/// I/O.

#include "Http.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Outcome.h"
#include "teaselhitch/Net/HttpServer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

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

  /// Bytes of the request that is arriving, parsed or not.
  std::uint64_t heldBytes() const;
  /// After Complete.
  std::uint64_t bodyBytes() const { return Parser->get().body().size(); }
  std::uint64_t headerBytes() const;
  /// In the phase Body: greatest size that the body can reach.
  std::uint64_t maxBodyBytes() const;
  bool isChunked() const;
  /// In the phase Body: allocates the memory for a body of this size, so that
  /// it is not copied as it grows.
  void reserveBody(std::uint64_t Bytes);
  /// Frees all memory. Nothing can be parsed afterwards.
  void clear();
  /// After clear(): returns space for bytes that are not used.
  boost::asio::mutable_buffer prepareDiscard(std::size_t Count) {
    return Buffer.prepare(Count);
  }

  /// After Complete: returns the request and prepares for the next one.
  /// \param Held accounts for the body.
  HttpRequest take(MemoryBudget::Reservation Held);

private:
  using RequestParser = boost::beast::http::request_parser<ReceivedBody>;

  void begin();
  Result refuse(Reason Cause);
  Result finishHeader();

  HttpLimits Limits;
  boost::beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  std::uint64_t BodyLimit = 0;
  /// Bytes of the header of the request whose body is being received.
  std::uint64_t HeaderBytes = 0;
  Reason Refusal = Reason::BadRequest;
  bool IsHead = false;
  bool IsHeaderReported = false;
};

} // namespace teaselhitch

#endif
