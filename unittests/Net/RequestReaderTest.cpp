#include "../../lib/Net/RequestReader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstring>
#include <string>

using namespace teaselhitch;

namespace {

using Result = RequestReader::Result;

constexpr std::uint32_t MaxHeaderBytes = 1024;
constexpr const char *ChunkedHeader =
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A reader, and the greatest number of bytes that it offered to read at once.
struct Fixture {
  Fixture() {
    HttpLimits Limits;
    Limits.MaxHeaderBytes = MaxHeaderBytes;
    Reader.setLimits(Limits);
  }

  /// Passes the bytes in pieces and returns the last result.
  Result feed(const std::string &Bytes, std::size_t PieceBytes) {
    Result Last = Result::NeedsMore;
    for (std::size_t I = 0; I < Bytes.size();) {
      auto Space = Reader.prepare();
      std::size_t Count =
          std::min({PieceBytes, Space.size(), Bytes.size() - I});
      std::memcpy(Space.data(), Bytes.data() + I, Count);
      Reader.commit(Count);
      I += Count;
      do
        Last = Reader.parse();
      while (Last == Result::HeaderComplete);
      if (Last != Result::NeedsMore)
        return Last;
    }
    return Last;
  }

  RequestReader Reader;
};

class RequestReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestReaderTest);
  CPPUNIT_TEST(requestsAreReadInPiecesOfAnySize);
  CPPUNIT_TEST(endlessTrailersAreRefused);
  CPPUNIT_TEST(endlessChunkExtensionIsRefused);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against requests that are parsed only if they arrive with certain
  /// boundaries between reads.
  void requestsAreReadInPiecesOfAnySize() {
    const std::string Body(3000, 'b');
    const std::string Plain = "POST /1 HTTP/1.1\r\nHost: h\r\n"
                              "Content-Length: 3000\r\n\r\n" +
                              Body;
    const std::string Chunked =
        std::string(ChunkedHeader) + "7d0;x=y\r\n" + Body.substr(0, 2000) +
        "\r\n3e8\r\n" + Body.substr(2000) + "\r\n0\r\nKept: yes\r\n\r\n";
    for (std::size_t PieceBytes : {1, 2, 3, 7, 100, 65536})
      for (const std::string &Bytes : {Plain, Chunked}) {
        Fixture F;
        for (int Repeat = 0; Repeat < 2; ++Repeat) {
          CPPUNIT_ASSERT(F.Reader.phase() == RequestReader::Phase::Idle);
          CPPUNIT_ASSERT(F.feed(Bytes, PieceBytes) == Result::Complete);
          CPPUNIT_ASSERT(F.Reader.keepAlive());
          CPPUNIT_ASSERT_EQUAL(Body, F.Reader.take({}).Body.str());
        }
      }
  }

  /// Guards against memory that a caller fills with trailers that do not end;
  /// the parser has no limit for them.
  void endlessTrailersAreRefused() {
    std::string Trailers;
    for (int I = 0; I < 1000; ++I)
      Trailers +=
          "T" + std::to_string(I) + ": " + std::string(100, 't') + "\r\n";
    const std::string Start = std::string(ChunkedHeader) + "0\r\n";
    for (std::size_t PieceBytes : {100, 65536}) {
      Fixture F;
      CPPUNIT_ASSERT(F.feed(Start + Trailers, PieceBytes) == Result::Refused);
      CPPUNIT_ASSERT(F.Reader.refusal() == Reason::HeaderTooLarge);
    }
    // Trailers that arrive with one read are bounded as well.
    Fixture F;
    CPPUNIT_ASSERT(F.feed(Start + Trailers.substr(0, 15UL * 106) + "\r\n",
                          65536) == Result::Refused);
  }

  /// Guards against memory that a caller fills with a chunk header that does
  /// not end.
  void endlessChunkExtensionIsRefused() {
    Fixture F;
    CPPUNIT_ASSERT(
        F.feed(std::string(ChunkedHeader) + "5;x=" + std::string(100000, 'x'),
               500) == Result::Refused);
    CPPUNIT_ASSERT(F.Reader.refusal() == Reason::HeaderTooLarge);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestReaderTest);

} // namespace
