#include "RequestReader.h"

#include "Asio.h"
#include "Http.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace teaselhitch {

namespace {

/// Large enough for most headers to arrive with the first read.
constexpr std::size_t HeaderReadBytes = 4096;
constexpr std::size_t MaxReadBytes = 65536;

/// The reason with which a request that cannot be parsed is refused.
Reason refusalReason(ErrorCodeT EC) {
  if (EC == http::error::body_limit)
    return Reason::BodyTooLarge;
  if (EC == http::error::header_limit)
    return Reason::HeaderTooLarge;
  return Reason::BadRequest;
}

/// False for a request whose end is ambiguous, because the bytes after it could
/// be parsed as a separate request (request smuggling), for one without the
/// single `Host` header that HTTP/1.1 requires, and for TRACE with a body.
bool isWellFramed(const http::request<ReceivedBody> &Request) {
  constexpr unsigned Http11 = 11;
  if (Request.version() >= Http11 && Request.count(http::field::host) != 1)
    return false;
  bool HasBody = Request.count(http::field::transfer_encoding) != 0 ||
                 (Request.has_content_length() &&
                  Request[http::field::content_length] != "0");
  // RFC 9110, section 9.3.8.
  if (Request.method() == http::verb::trace && HasBody)
    return false;
  if (Request.count(http::field::transfer_encoding) == 0)
    return true;
  return Request.count(http::field::transfer_encoding) == 1 &&
         beast::iequals(Request[http::field::transfer_encoding], "chunked");
}

/// The bytes of all header fields, with separator and line end.
std::size_t fieldBytes(const http::request<ReceivedBody> &Request) {
  constexpr std::size_t SeparatorBytes = 4;
  std::size_t Bytes = 0;
  for (const auto &Field : Request)
    Bytes += Field.name_string().size() + Field.value().size() + SeparatorBytes;
  return Bytes;
}

} // namespace

void RequestReader::begin() {
  Parser.emplace();
  Parser->header_limit(Limits.MaxHeaderBytes);
  BodyLimit = Limits.MaxBodyBytes;
  Parser->body_limit(BodyLimit);
  Parser->eager(false);
  IsHead = false;
  IsHeaderReported = false;
}

boost::asio::mutable_buffer RequestReader::prepare() {
  std::size_t Wanted = HeaderReadBytes;
  if (IsHeaderReported) {
    constexpr std::uint64_t Unknown = MaxReadBytes;
    std::uint64_t Remaining =
        Parser->content_length_remaining().value_or(Unknown);
    Wanted = static_cast<std::size_t>(
        std::clamp<std::uint64_t>(Remaining, HeaderReadBytes, MaxReadBytes));
  }
  return Buffer.prepare(Wanted);
}

RequestReader::Phase RequestReader::phase() const {
  if (IsHeaderReported)
    return Phase::Body;
  return Buffer.size() == 0 && (!Parser || !Parser->got_some()) ? Phase::Idle
                                                                : Phase::Header;
}

RequestReader::Result RequestReader::refuse(Reason Cause) {
  Refusal = Cause;
  return Result::Refused;
}

RequestReader::Result RequestReader::finishHeader() {
  IsHead = Parser->get().method() == http::verb::head;
  IsHeaderReported = true;
  HeaderBytes = headerBytes();
  if (!isWellFramed(Parser->get()))
    return refuse(Reason::BadRequest);
  Parser->eager(true);
  return Result::HeaderComplete;
}

RequestReader::Result RequestReader::parse() {
  if (!Parser)
    begin();
  while (!Parser->is_done() || !IsHeaderReported) {
    if (Parser->is_header_done() && !IsHeaderReported)
      return finishHeader();
    if (Buffer.size() == 0)
      return Result::NeedsMore;
    ErrorCodeT EC;
    std::size_t Used = Parser->put(Buffer.data(), EC);
    Buffer.consume(Used);
    if (EC == http::error::need_more || (!EC && Used == 0)) {
      // What is not parsed is part of the header, of the header of a chunk or
      // of the trailers, for which the parser has no limit of its own.
      if (Buffer.size() > Limits.MaxHeaderBytes)
        return refuse(Reason::HeaderTooLarge);
      return Result::NeedsMore;
    }
    if (EC)
      return refuse(refusalReason(EC));
  }
  // The parser adds the trailers to the headers without a limit.
  if (Parser->chunked() && fieldBytes(Parser->get()) > Limits.MaxHeaderBytes)
    return refuse(Reason::HeaderTooLarge);
  return Result::Complete;
}

std::uint64_t RequestReader::heldBytes() const {
  return Buffer.size() +
         (IsHeaderReported ? Parser->get().body().size() + HeaderBytes : 0);
}

std::uint64_t RequestReader::maxBodyBytes() const {
  boost::optional<std::uint64_t> Length = Parser->content_length();
  return Length ? *Length : BodyLimit;
}

std::uint64_t RequestReader::headerBytes() const {
  return fieldBytes(Parser->get()) + Parser->get().target().size();
}

bool RequestReader::isChunked() const { return Parser->chunked(); }

void RequestReader::reserveBody(std::uint64_t Bytes) {
  Parser->get().body().reserve(static_cast<std::size_t>(Bytes));
}

void RequestReader::clear() {
  Parser.reset();
  IsHeaderReported = false;
  Buffer.clear();
  Buffer.shrink_to_fit();
}

bool RequestReader::expectsContinue() const {
  return beast::iequals(Parser->get()[http::field::expect], "100-continue");
}

HttpRequest RequestReader::take(MemoryBudget::Reservation Held) {
  HttpRequest Request = toRequest(Parser->release(), std::move(Held));
  Parser.reset();
  IsHeaderReported = false;
  if (Buffer.size() == 0 && Buffer.capacity() > HeaderReadBytes)
    Buffer.shrink_to_fit();
  return Request;
}

} // namespace teaselhitch
