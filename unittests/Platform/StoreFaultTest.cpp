#include "StandInPlatform.h"
#include "teaselhitch/Platform/HttpCall.h"
#include "teaselhitch/Platform/HttpStores.h"
#include "teaselhitch/Platform/TableRequests.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <vector>

using namespace teaselhitch;

namespace {

namespace asio = boost::asio;
using standin::PlatformFaultMode;

/// A server that accepts one connection after the other and answers its
/// requests with scripted texts, so that a test controls every byte of an
/// answer. An empty text closes the connection without an answer.
class ScriptedServer {
public:
  using Connections = std::vector<std::vector<std::string>>;

  explicit ScriptedServer(Connections Script)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, Script = std::move(Script)] {
          for (std::size_t Index = 0; Index < Script.size() && !Stopping;
               ++Index) {
            serve(Script[Index]);
            if (Index == 0)
              FirstClosed.set_value();
          }
        }) {}
  ~ScriptedServer() {
    // Unblocks accept() if a failed test did not open all scripted connections.
    Stopping = true;
    boost::system::error_code Ignored;
    asio::ip::tcp::socket(Context).connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
  }
  ScriptedServer(const ScriptedServer &) = delete;
  ScriptedServer &operator=(const ScriptedServer &) = delete;

  Endpoint address() const {
    return {"127.0.0.1", Acceptor.local_endpoint().port()};
  }

  /// Waits until the first connection is closed.
  void waitForClose() { FirstClosed.get_future().wait(); }

private:
  void serve(const std::vector<std::string> &Answers) {
    boost::system::error_code Ignored;
    asio::ip::tcp::socket Socket(Context);
    Acceptor.accept(Socket, Ignored);
    if (Stopping)
      return;
    boost::beast::flat_buffer Buffer;
    for (const std::string &Answer : Answers) {
      standin::HttpRequest Request;
      boost::beast::http::read(Socket, Buffer, Request, Ignored);
      asio::write(Socket, asio::buffer(Answer), Ignored);
    }
    Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
    while (isUnacknowledged(Socket))
      std::this_thread::yield();
  }

  /// Returns true until the client's kernel has acknowledged the end of the
  /// connection.
  static bool isUnacknowledged(asio::ip::tcp::socket &Socket) {
    tcp_info Info{};
    socklen_t Size = sizeof(Info);
    ::getsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_INFO, &Info, &Size);
    return Info.tcpi_state == TCP_FIN_WAIT1;
  }

  asio::io_context Context{1};
  asio::ip::tcp::acceptor Acceptor;
  std::promise<void> FirstClosed;
  std::atomic<bool> Stopping{false};
  std::thread Thread;
};

const std::string RowAnswer = "HTTP/1.1 200 x\r\nContent-Length: 33\r\n\r\n"
                              "{\"key\":\"k\",\"value\":1,\"version\":1}";

std::unique_ptr<TableStore>
createTable(const Endpoint &Service, Duration Timeout = DefaultStoreTimeout) {
  return handleError([&] { return createHttpTableStore(Service, Timeout); },
                     [](const Error &) { return nullptr; });
}

std::string runOperation(TableStore &Table, TableOperation Operation) {
  TableRequest Request{7, Operation, "t", "k", "1", 1};
  TableReply Reply = runTableRequest(Table, Request);
  CPPUNIT_ASSERT_EQUAL(Request.Token, Reply.Token);
  switch (Reply.Status) {
  case TableStatus::Ok:
    return "ok";
  case TableStatus::NotFound:
    return "not-found";
  case TableStatus::Conflict:
    return "conflict";
  case TableStatus::Unavailable:
    return "unavailable";
  case TableStatus::Unknown:
    return "unknown";
  case TableStatus::StoreRestored:
    return "store-restored";
  }
  return "";
}

class StoreFaultTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StoreFaultTest);
  CPPUNIT_TEST(badAnswersAreClassified);
  CPPUNIT_TEST(lateAnswerEndsNoOtherRequest);
  CPPUNIT_TEST(interimAnswersAreSkipped);
  CPPUNIT_TEST(refusedConnectHasNoEffect);
  CPPUNIT_TEST(refusedConnectErrorHasAddress);
  CPPUNIT_TEST(silentServerTimesOut);
  CPPUNIT_TEST(lostAnswerIsUnknown);
  CPPUNIT_TEST(readSurvivesClosedConnection);
  CPPUNIT_TEST(writeIsNotRepeated);
  CPPUNIT_TEST(writeAfterIdleCloseReconnects);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a write that may have taken effect but is reported as
  /// without effect, or the reverse, for each kind of bad answer.
  void badAnswersAreClassified() {
    struct Case {
      const char *Answer;
      const char *Read;
      const char *Write;
    };
    const Case Cases[] = {
        {"HTTP/1.1 503 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unavailable"},
        {"HTTP/1.1 500 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unknown"},
        {"HTTP/1.1 400 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unavailable"},
        {"HTTP/1.1 412 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "conflict", "conflict"},
        // Not a response of HTTP, so nothing is known about the write.
        {"HTTP/1.1 000 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unknown"},
        {"HTTP/1.1 099 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unknown"},
        {"HTTP/1.1 199 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unknown"},
        {"HTTP/1.1 999 x\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
         "unavailable", "unknown"},
        {"HTTP/1.1 1 x\r\n\r\n", "unavailable", "unknown"},
        {"HTTP/1.1 2000 x\r\n\r\n", "unavailable", "unknown"},
        {"HTTP/1.1 OK\r\n\r\n", "unavailable", "unknown"},
        {"", "unavailable", "unknown"},
        {"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: "
         "9\r\n\r\n{\"ver",
         "unavailable", "unknown"},
        {"not HTTP\r\n\r\n", "unavailable", "unknown"},
        // A shifted field name and a coding that no request asks for.
        {"HTTP/1.1 200 x\r\nX: y\r\n Content-Length: 9\r\n\r\n"
         "{\"key\":\"k\",\"value\":1,\"version\":1}",
         "unavailable", "unknown"},
        {"HTTP/1.1 200 x\r\nTransfer-Encoding: gzip\r\n\r\n"
         "{\"key\":\"k\",\"value\":1,\"version\":1}",
         "unavailable", "unknown"},
        {"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: 2\r\n\r\n[]",
         "unavailable", "unknown"},
        {"HTTP/1.1 200 x\r\nConnection: close\r\nContent-Length: "
         "15\r\n\r\n{\"version\":-12}",
         "unavailable", "unknown"},
    };
    for (const Case &C : Cases) {
      ScriptedServer Server({{C.Answer}, {C.Answer}, {C.Answer}});
      auto Table = createTable(Server.address());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(C.Answer, std::string(C.Read),
                                   runOperation(*Table, TableOperation::Read));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          C.Answer, std::string(C.Write),
          runOperation(*Table, TableOperation::Insert));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          C.Answer, std::string(C.Write),
          runOperation(*Table, TableOperation::Replace));
    }
  }

  /// Guards against an interim answer that ends its request, so that the final
  /// answer, which comes later, is taken for the answer to the next request on
  /// the connection.
  void lateAnswerEndsNoOtherRequest() {
    ScriptedServer Server({{"HTTP/1.1 100 Continue\r\n\r\n",
                            "HTTP/1.1 412 x\r\nContent-Length: 0\r\n\r\n"},
                           {RowAnswer}});
    auto Table = createTable(Server.address(), Duration(200));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         runOperation(*Table, TableOperation::Insert));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
  }

  /// Guards against a store whose interim answers make each request fail.
  void interimAnswersAreSkipped() {
    ScriptedServer Server(
        {{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 x\r\nLink: a\r\n\r\n" +
          RowAnswer}});
    auto Table = createTable(Server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
  }

  /// Guards against a write that is reported as unknown although the connection
  /// to the platform was refused and the write was never sent.
  void refusedConnectHasNoEffect() {
    Endpoint Unused;
    {
      ScriptedServer Server({});
      Unused = Server.address();
    }
    auto Table = createTable(Unused);
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         runOperation(*Table, TableOperation::Insert));
  }

  /// Guards against an error message that does not tell which of several
  /// processes on one IP address did not answer.
  void refusedConnectErrorHasAddress() {
    Endpoint Closed = ScriptedServer({}).address();
    std::string Message = handleError(
        [&]() -> Result<std::string> {
          BOOST_LEAF_CHECK(callHttp(Closed, HttpRequest{"GET", "/", {}, ""},
                                    Duration::seconds(5)));
          return std::string("answered");
        },
        [](const Error &E) { return E.Message; });
    CPPUNIT_ASSERT_EQUAL(
        "no answer from " + toString(Closed) + ": Connection refused", Message);
  }

  /// Guards against a call that blocks the platform thread forever. The server
  /// never answers, so that only the time limit can end the call.
  void silentServerTimesOut() {
    StandInPlatform Platform;
    Platform.setFaults({PlatformFaultMode::Slow, Duration::seconds(86400), 1});
    auto Table = createTable(Platform.address(), Duration(50));
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         runOperation(*Table, TableOperation::Read));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         runOperation(*Table, TableOperation::Insert));
  }

  /// Guards against a client that reports a write whose answer is lost as
  /// without effect, or that repeats such a write.
  void lostAnswerIsUnknown() {
    StandInPlatform Platform;
    auto Table = createTable(Platform.address());
    CPPUNIT_ASSERT_EQUAL(std::string("not-found"),
                         runOperation(*Table, TableOperation::Read));
    Platform.setFaults({PlatformFaultMode::LostAnswer, Duration(), 1});
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         runOperation(*Table, TableOperation::Insert));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
    Platform.setFaults({PlatformFaultMode::Down, Duration(), 1});
    CPPUNIT_ASSERT_EQUAL(std::string("unavailable"),
                         runOperation(*Table, TableOperation::Read));
    Platform.setFaults({});
    CPPUNIT_ASSERT_EQUAL(std::string("conflict"),
                         runOperation(*Table, TableOperation::Insert));
  }

  /// Guards against a read that fails because the service closed the open
  /// connection before or after the request was sent.
  void readSurvivesClosedConnection() {
    ScriptedServer Server({{RowAnswer}, {RowAnswer, ""}, {RowAnswer}});
    auto Table = createTable(Server.address());
    for (int Count = 0; Count < 3; ++Count)
      CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                           runOperation(*Table, TableOperation::Read));
  }

  /// Guards against a write that is sent twice when the open connection closes
  /// without an answer. A repeated write would receive the answer that the
  /// second connection holds for the read.
  void writeIsNotRepeated() {
    ScriptedServer Server({{RowAnswer, ""}, {RowAnswer}});
    auto Table = createTable(Server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         runOperation(*Table, TableOperation::Replace));
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
  }

  /// Guards against a write that is reported as unknown only because the
  /// service closed the open connection while it was idle.
  void writeAfterIdleCloseReconnects() {
    ScriptedServer Server({{RowAnswer}, {RowAnswer}});
    auto Table = createTable(Server.address());
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Read));
    Server.waitForClose();
    CPPUNIT_ASSERT_EQUAL(std::string("ok"),
                         runOperation(*Table, TableOperation::Replace));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreFaultTest);

} // namespace
