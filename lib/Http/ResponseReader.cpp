#include "ResponseReader.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace teaselhitch {

namespace http = boost::beast::http;

namespace {

/// Enough for most responses to arrive with the first read.
constexpr std::size_t FirstReadBytes = 4096;
constexpr std::size_t MaxReadBytes = 16UL * 1024;
/// Maximum number of received bytes that are not parsed yet. It bounds parts of
/// a response that have no limit of their own, such as chunk extensions.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;
/// Maximum number of interim responses before a final one. A server that sends
/// more is faulty.
constexpr int MaxInterimResponses = 8;

} // namespace

boost::asio::mutable_buffer ResponseReader::prepare() {
  std::size_t Wanted = FirstReadBytes;
  if (Parser && Parser->is_header_done()) {
    std::uint64_t Remaining =
        Parser->content_length_remaining().value_or(MaxReadBytes);
    Wanted = static_cast<std::size_t>(
        std::clamp<std::uint64_t>(Remaining, FirstReadBytes, MaxReadBytes));
  }
  return Buffer.prepare(std::min(Wanted, MaxUnparsedBytes - Buffer.size()));
}

void ResponseReader::begin() {
  Parser.emplace();
  Parser->body_limit(MaxBodyBytes);
  Parser->skip(IsHead);
}

ResponseReader::Result ResponseReader::fail(boost::beast::error_code Cause) {
  Error = Cause;
  return Cause == http::error::body_limit ? Result::TooLarge
                                          : Result::Malformed;
}

boost::beast::error_code ResponseReader::checkHeader() const {
  // HTTP defines no status codes outside this range.
  constexpr unsigned FirstStatus = 100, LastStatus = 599;
  unsigned Status = Parser->get().result_int();
  if (Status < FirstStatus || Status > LastStatus)
    return http::error::bad_status;
  return {};
}

ResponseReader::Result ResponseReader::parse() {
  constexpr unsigned FirstFinal = 200;
  if (!Parser)
    begin();
  for (;;) {
    if (Buffer.size() == 0)
      return Result::NeedsMore;
    bool IsInHeader = !Parser->is_header_done();
    boost::beast::error_code EC;
    std::size_t Used = Parser->put(Buffer.data(), EC);
    Buffer.consume(Used);
    if (EC == http::error::need_more || (!EC && Used == 0)) {
      if (Buffer.size() >= MaxUnparsedBytes)
        return fail(http::error::buffer_overflow);
      return Result::NeedsMore;
    }
    if (!EC && IsInHeader && Parser->is_header_done())
      EC = checkHeader();
    if (EC)
      return fail(EC);
    if (!Parser->is_done())
      continue;
    if (Parser->get().result_int() >= FirstFinal)
      return Result::Complete;
    if (++InterimResponses > MaxInterimResponses)
      return fail(http::error::bad_status);
    begin();
  }
}

bool ResponseReader::finish() {
  if (!hasBegun())
    return false;
  boost::beast::error_code EC;
  Parser->put_eof(EC);
  return !EC;
}

ResponseReader::Response ResponseReader::take() {
  Response Taken = Parser->release();
  Parser.reset();
  InterimResponses = 0;
  return Taken;
}

} // namespace teaselhitch
