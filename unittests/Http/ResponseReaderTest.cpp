#include "../../lib/Http/ResponseReader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstring>
#include <string>

using namespace teaselhitch;

namespace {

using Result = ResponseReader::Result;

constexpr std::uint64_t MaxBodyBytes = 64UL * 1024;

/// Passes the bytes in pieces up to the end of a response and returns the last
/// result.
Result feed(ResponseReader &Reader, const std::string &Bytes,
            std::size_t PieceBytes) {
  Result Last = Result::NeedsMore;
  for (std::size_t I = 0; I < Bytes.size() && Last == Result::NeedsMore;) {
    auto Space = Reader.prepare();
    std::size_t Count = std::min({PieceBytes, Space.size(), Bytes.size() - I});
    std::memcpy(Space.data(), Bytes.data() + I, Count);
    Reader.commit(Count);
    I += Count;
    Last = Reader.parse();
  }
  return Last;
}

class ResponseReaderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ResponseReaderTest);
  CPPUNIT_TEST(responsesAreReadInPiecesOfAnySize);
  CPPUNIT_TEST(continuedLinesAreMalformed);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against responses that are parsed only if they arrive with certain
  /// boundaries between reads.
  void responsesAreReadInPiecesOfAnySize() {
    const std::string Body(3000, 'b');
    const std::string Interim = "HTTP/1.1 100 Continue\r\n\r\n"
                                "HTTP/1.1 103 X\r\nLink: a\r\n\r\n";
    const std::string Plain =
        Interim + "HTTP/1.1 200 OK\r\nX: 1\r\nContent-Length: 3000\r\n\r\n" +
        Body;
    const std::string Chunked =
        "HTTP/1.1 200 OK\r\nX: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3e8;a=b\r\n" +
        Body.substr(2000) + "\r\n7D0\r\n" + Body.substr(1000) +
        "\r\n0\r\nT: 1\r\n\r\n";
    const std::string Unframed = "HTTP/1.1 200 OK\r\nX: 1\r\n\r\n" + Body;
    for (std::size_t Size : {1, 2, 3, 7, 100, 100000}) {
      ResponseReader Reader(MaxBodyBytes, /*IsHead=*/false);
      for (const std::string &Bytes : {Plain, Chunked}) {
        CPPUNIT_ASSERT(feed(Reader, Bytes, Size) == Result::Complete);
        CPPUNIT_ASSERT(Reader.keepsAlive() && !Reader.hasUnparsedBytes());
        ResponseReader::Response Response = Reader.take();
        CPPUNIT_ASSERT(Response["X"] == "1");
        CPPUNIT_ASSERT_EQUAL(Body, Response.body());
      }
      CPPUNIT_ASSERT(feed(Reader, Unframed, Size) == Result::NeedsMore);
      CPPUNIT_ASSERT(Reader.finish() && !Reader.keepsAlive());
      CPPUNIT_ASSERT_EQUAL(Body, Reader.take().body());
    }
  }

  /// Guards against a line that starts with a blank and that is found only if
  /// it arrives in certain pieces, and against a body that is taken for one.
  void continuedLinesAreMalformed() {
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string Chunk = "5\r\na\r\n b\r\n0\r\n";
    for (std::size_t Size : {1, 2, 3, 7, 100}) {
      for (const std::string &Bytes :
           {Ok + " A: b\r\n\r\n", Ok + "A: b\r\n Content-Length: 1\r\n\r\nx",
            Ok + "A: b\r\n\t\r\n\r\n", Ok + "A:\r\n b\r\n\r\n",
            "HTTP/1.1 103 X\r\nA: b\r\n c\r\n\r\n" + Ok + "\r\n",
            Chunked + Chunk + "A: b\r\n c\r\n\r\n",
            Chunked + Chunk + " A: b\r\n\r\n"}) {
        ResponseReader Reader(MaxBodyBytes, /*IsHead=*/false);
        CPPUNIT_ASSERT_MESSAGE(Bytes,
                               feed(Reader, Bytes, Size) == Result::Malformed);
      }
      ResponseReader Reader(MaxBodyBytes, /*IsHead=*/false);
      CPPUNIT_ASSERT(feed(Reader, Chunked + Chunk + "A: b\r\n\r\n", Size) ==
                     Result::Complete);
      CPPUNIT_ASSERT_EQUAL(std::string("a\r\n b"), Reader.take().body());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ResponseReaderTest);

} // namespace
