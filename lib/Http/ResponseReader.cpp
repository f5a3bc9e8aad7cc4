#include "ResponseReader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

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
/// HTTP/1.1 in Boost.Beast's encoding of versions.
constexpr unsigned Http11 = 11;

/// True if a line starts with a blank. The parser takes it for the continuation
/// of the value before it, which no server may send (RFC 9112, section 5.2); it
/// may as well be a field of its own whose name a fault has shifted.
bool hasContinuedLine(std::string_view Lines) {
  for (std::size_t I = Lines.find('\n'); I != std::string_view::npos;
       I = Lines.find('\n', I + 1))
    if (I + 1 < Lines.size() && (Lines[I + 1] == ' ' || Lines[I + 1] == '\t'))
      return true;
  return false;
}

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
  const auto &Header = Parser->get();
  // The parser accepts any coding and decodes only chunks, but the request asks
  // for no other coding (RFC 9112, section 7.4), and the response is passed on
  // without this field. In HTTP/1.0 the field has no meaning (section 6.1).
  auto Codings = Header.count(http::field::transfer_encoding);
  bool IsChunked =
      Codings == 1 && Header.version() >= Http11 &&
      boost::beast::iequals(Header[http::field::transfer_encoding], "chunked");
  if (Codings != 0 && !IsChunked)
    return http::error::bad_transfer_encoding;
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
    // The parser reads a field together with its continuations, and the
    // trailers in one step with the last chunk, which has no data.
    bool HasReadFields = IsInHeader || (Parser->chunked() && Parser->is_done());
    std::string_view Read(static_cast<const char *>(Buffer.data().data()),
                          Used);
    if (HasReadFields && hasContinuedLine(Read))
      return fail(http::error::bad_value);
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
