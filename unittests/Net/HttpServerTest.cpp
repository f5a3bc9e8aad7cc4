#include "teaselhitch/Net/HttpServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace teaselhitch;

namespace {

/// A blocking connection that sends raw bytes.
class RawClient {
public:
  explicit RawClient(std::uint16_t Port)
      : Socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(0, ::connect(Socket,
                                      reinterpret_cast<sockaddr *>(&Address),
                                      sizeof(Address)));
  }
  ~RawClient() { ::close(Socket); }
  RawClient(const RawClient &) = delete;
  RawClient &operator=(const RawClient &) = delete;

  void send(const std::string &Bytes) const {
    // The result is ignored because the server may close the connection early;
    // the tests check its response.
    (void)::send(Socket, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /// Reads until Delimiter has arrived or the server closes the connection.
  std::string readUntil(const std::string &Delimiter) const {
    std::string Text;
    char Buffer[4096];
    while (Text.find(Delimiter) == std::string::npos) {
      ssize_t Count = ::recv(Socket, Buffer, sizeof(Buffer), 0);
      if (Count <= 0)
        break;
      Text.append(Buffer, static_cast<std::size_t>(Count));
    }
    return Text;
  }

  /// Returns true if the server closes the connection, and false if it has not
  /// done so within 30 s.
  bool isClosed() const {
    timeval Limit{30, 0};
    ::setsockopt(Socket, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
    char Byte = 0;
    return ::recv(Socket, &Byte, 1, 0) == 0;
  }

  /// Reads everything that the server sends until it closes the connection.
  std::string readAll() const { return readUntil(std::string("\0\0", 2)); }

private:
  int Socket;
};

class HttpServerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(answersSeveralRequestsOnOneConnection);
  CPPUNIT_TEST(refusesMalformedRequests);
  CPPUNIT_TEST(answersToHeadHaveNoBody);
  CPPUNIT_TEST(dropsHopByHopHeaders);
  CPPUNIT_TEST(reportsClientDisconnect);
  CPPUNIT_TEST(drainClosesAfterTheResponse);
  CPPUNIT_TEST(incompleteHeaderTimesOut);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Handled = 0;
    HttpServerSettings Settings;
    Settings.Listen = Endpoint{"127.0.0.1", 0};
    Settings.Limits.MaxHeaderBytes = 1024;
    Settings.Limits.MaxBodyBytes = 100;
    Settings.Limits.HeaderTimeout = Duration::seconds(1);
    Settings.Limits.IdleTimeout = Duration::seconds(3600);
    Loop = std::make_unique<EventLoop>();
    handleError(
        [&]() -> Result<int> {
          BOOST_LEAF_ASSIGN(
              Server,
              HttpServer::create(
                  *Loop, Settings,
                  [this](const std::shared_ptr<HttpExchange> &E) { handle(E); },
                  [](Reason Cause) {
                    return HttpAnswer{
                        reasonInfo(Cause).Status,
                        {{"Teaselhitch-Reason", reasonInfo(Cause).Name}},
                        ""};
                  }));
          return 0;
        },
        [](const Error &E) {
          CPPUNIT_FAIL(E.Message);
          return 0;
        });
    Port = Server->port();
    Thread = std::thread([this] { Loop->run(); });
  }

  void tearDown() override {
    Loop->stop();
    Thread.join();
    Pending.reset();
    Server.reset();
    Loop.reset();
  }

private:
  void handle(const std::shared_ptr<HttpExchange> &E) {
    ++Handled;
    const HttpRequest &Request = E->request();
    if (Request.Target == "/wait") {
      Pending = E;
      E->onDisconnect([this] { Disconnected = true; });
      return;
    }
    std::string Body = Request.Method + " " + Request.Target;
    for (const Header &H : Request.Headers)
      Body += "\n" + H.Name + "=" + H.Value;
    E->reply(HttpAnswer{200, {}, Body + "\n" + Request.Body.str() + ";end"});
  }

  std::unique_ptr<EventLoop> Loop;
  std::unique_ptr<HttpServer> Server;
  std::shared_ptr<HttpExchange> Pending;
  std::thread Thread;
  std::uint16_t Port = 0;
  std::atomic<int> Handled{0};
  std::atomic<bool> Disconnected{false};

  /// Guards against responses that are sent for the wrong request of a
  /// connection.
  void answersSeveralRequestsOnOneConnection() {
    RawClient Client(Port);
    // The second request is pipelined behind the first one.
    Client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    std::string Text = Client.readUntil("abc;end");
    CPPUNIT_ASSERT(Text.find("GET /1") < Text.find("POST /2"));
    CPPUNIT_ASSERT(Text.find("POST /2") != std::string::npos);
  }

  /// Guards against request smuggling, oversized input and input that hangs the
  /// server. Each such request gets its documented status, the connection is
  /// closed, and the handler is not called.
  void refusesMalformedRequests() {
    struct Case {
      std::string Bytes;
      const char *Status;
    };
    const Case Cases[] = {
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
         "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
         "Content-Length: 4\r\n\r\nabcd",
         "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", "400"},
        {"GARBAGE\r\n\r\n", "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nA: " + std::string(2000, 'a') +
             "\r\n\r\n",
         "431"},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n"
         "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n",
         "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, "
         "chunked\r\n\r\n0\r\n\r\n",
         "400"},
        {"GET / HTTP/1.1\r\n\r\n", "400"},
        // The conversion of such a request for a backend server failed.
        {"TRACE / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", "400"},
        {"GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n", "400"},
        {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", "413"},
        {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
         "65\r\n" +
             std::string(101, 'a') + "\r\n0\r\n\r\n",
         "413"},
    };
    for (const Case &C : Cases) {
      RawClient Client(Port);
      Client.send(C.Bytes);
      std::string Text = Client.readAll();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(C.Bytes, std::string("HTTP/1.1 ") + C.Status,
                                   Text.substr(0, 12));
      CPPUNIT_ASSERT(Text.find("Teaselhitch-Reason") != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(0, Handled.load());
  }

  /// Guards against the body of a refusal of a HEAD request, which the caller
  /// would read as the start of the answer to its next request.
  void answersToHeadHaveNoBody() {
    RawClient Client(Port);
    Client.send("HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string Head = Client.readUntil("\r\n\r\n");
    CPPUNIT_ASSERT(Head.find("Content-Length: ") != std::string::npos);
    CPPUNIT_ASSERT(Head.find("Content-Length: 0") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::string("\r\n\r\n"), Head.substr(Head.size() - 4));
    Client.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::string Next = Client.readUntil(";end");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), Next.substr(0, 12));
    CPPUNIT_ASSERT(Next.find("HEAD") == std::string::npos);
  }

  /// Guards against hop-by-hop headers of a caller that are forwarded to a
  /// backend server.
  void dropsHopByHopHeaders() {
    RawClient Client(Port);
    Client.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n"
                "Upgrade: x\r\nKept: yes\r\n\r\n");
    std::string Text = Client.readUntil(";end");
    CPPUNIT_ASSERT(Text.find("Kept=yes") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("Upgrade=") == std::string::npos);
    CPPUNIT_ASSERT(Text.find("Connection=") == std::string::npos);
  }

  /// Guards against connections that are held open by callers that never
  /// complete a header. The idle timeout of the fixture is one hour, so that
  /// only the header timeout can close the connection.
  void incompleteHeaderTimesOut() {
    RawClient Client(Port);
    Client.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    Client.readUntil(";end");
    Client.send("GET /2 HTTP/1.1\r\nHo");
    CPPUNIT_ASSERT(Client.isClosed());
    CPPUNIT_ASSERT_EQUAL(1, Handled.load());
  }

  /// Guards against work on requests of callers that have disconnected.
  void reportsClientDisconnect() {
    {
      RawClient Client(Port);
      Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
      while (Handled == 0)
        std::this_thread::yield();
    }
    while (!Disconnected)
      std::this_thread::yield();
    CPPUNIT_ASSERT_EQUAL(1, Handled.load());
  }

  /// Guards against a planned shutdown that aborts a request in progress.
  void drainClosesAfterTheResponse() {
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    while (Handled == 0)
      std::this_thread::yield();
    Loop->post([this] {
      Server->drain();
      Pending->reply(HttpAnswer{200, {}, "late;end"});
    });
    std::string Text = Client.readAll();
    CPPUNIT_ASSERT(Text.find("late;end") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("Connection: close") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
