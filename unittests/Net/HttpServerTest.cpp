#include "teaselhitch/Net/HttpServer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <atomic>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

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
  CPPUNIT_TEST(closeBehindUnreadBytesIsDetected);
  CPPUNIT_TEST(pipelinedRequestsRunTogether);
  CPPUNIT_TEST(closeCancelsAllRequests);
  CPPUNIT_TEST(deferredRequestWaits);
  CPPUNIT_TEST(requestsBehindTheEndOfTheConnectionAreDropped);
  CPPUNIT_TEST(malformedPipelinedRequestIsRefusedInOrder);
  CPPUNIT_TEST(drainAnswersPipelinedRequests);
  CPPUNIT_TEST(interimResponseIsNotSentTooEarly);
  CPPUNIT_TEST(requestThatDoesNotFitIsRefused);
  CPPUNIT_TEST(stalledBodiesGiveWay);
  CPPUNIT_TEST(stalledChunkedBodiesGiveWay);
  CPPUNIT_TEST(stalledConnectionsGiveWay);
  CPPUNIT_TEST(memoryIsReleasedAfterEachEnd);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override {
    Handled = 0;
    start(1);
  }

  void start(std::uint32_t MaxPipelinedRequests,
             HttpServerSettings Settings = {}) {
    Settings.MaxPipelinedRequests = MaxPipelinedRequests;
    Settings.Listen = Endpoint{"127.0.0.1", 0};
    Settings.Limits.MaxHeaderBytes = 1024;
    if (!Settings.Memory)
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

  void tearDown() override { stop(); }

  void stop() {
    Loop->stop();
    Thread.join();
    Pending.clear();
    Server.reset();
    Loop.reset();
  }

private:
  void handle(const std::shared_ptr<HttpExchange> &E) {
    ++Handled;
    const HttpRequest &Request = E->request();
    if (Request.Target == "/alone") {
      if (E->hasEarlierRequests())
        return E->defer();
      E->holdLaterRequests();
    }
    if (Request.Target == "/wait" || Request.Target == "/alone") {
      Pending.push_back(E);
      E->onDisconnect([this] { ++Disconnected; });
      return;
    }
    std::string Body = Request.Method + " " + Request.Target;
    for (const Header &H : Request.Headers)
      Body += "\n" + H.Name + "=" + H.Value;
    E->reply(HttpAnswer{200, {}, Body + "\n" + Request.Body.str() + ";end"});
  }

  /// Outlives the loop, whose pending operations may hold reservations.
  MemoryBudget Memory;
  std::unique_ptr<EventLoop> Loop;
  std::unique_ptr<HttpServer> Server;
  std::vector<std::shared_ptr<HttpExchange>> Pending;
  std::thread Thread;
  std::uint16_t Port = 0;
  std::atomic<int> Handled{0};
  std::atomic<int> Disconnected{0};

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
    waitFor(Disconnected, 1);
    CPPUNIT_ASSERT_EQUAL(1, Handled.load());
  }

  static void waitFor(const std::atomic<int> &Counter, int Value) {
    while (Counter < Value)
      std::this_thread::yield();
  }

  /// Answers the I-th request that waits.
  void answer(std::size_t I, const std::string &Body) {
    Loop->post([this, I, Body] {
      Pending.at(I)->reply(HttpAnswer{200, {}, Body});
    });
  }

  /// Returns after the loop has run everything that was posted before.
  void flush() {
    std::atomic<int> Done{0};
    Loop->post([&Done] { ++Done; });
    waitFor(Done, 1);
  }

  /// Guards against requests that are sent to backend servers although their
  /// caller has closed the connection: the close was not detected while bytes
  /// of a further request were unread.
  void closeBehindUnreadBytesIsDetected() {
    for (std::uint32_t MaxPipelined : {1U, 2U}) {
      stop();
      Handled = 0;
      Disconnected = 0;
      start(MaxPipelined);
      {
        RawClient Client(Port);
        for (std::uint32_t I = 0; I < MaxPipelined; ++I)
          Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        waitFor(Handled, static_cast<int>(MaxPipelined));
        Client.send("GET /unread HTTP/1.1\r\nHost: h\r\n\r\n");
      }
      waitFor(Disconnected, static_cast<int>(MaxPipelined));
      flush();
      CPPUNIT_ASSERT_EQUAL(static_cast<int>(MaxPipelined), Handled.load());
    }
  }

  /// Starts a server with a limit of memory.
  void restartWithMemory(std::uint64_t Bytes, std::uint64_t MaxBodyBytes) {
    stop();
    Memory.setLimit(Bytes);
    HttpServerSettings Settings;
    Settings.Memory = &Memory;
    Settings.Limits.MaxBodyBytes = MaxBodyBytes;
    start(1, Settings);
  }

  void waitUntilReleased() const {
    while (Memory.held() != 0)
      std::this_thread::yield();
  }

  static std::string post(const std::string &Target, std::size_t Bytes) {
    return "POST " + Target +
           " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(Bytes) +
           "\r\n\r\n";
  }

  /// Guards against requests that are held without a bound, against a refusal
  /// of a request that is handled nevertheless, and against a connection that
  /// cannot be used after it.
  void requestThatDoesNotFitIsRefused() {
    // Small enough to arrive with one read.
    constexpr std::size_t Bytes = 3000;
    restartWithMemory(5000, Bytes);
    RawClient First(Port);
    First.send(post("/wait", Bytes) + std::string(Bytes, 'a'));
    waitFor(Handled, 1);
    RawClient Second(Port);
    const std::string Request = post("/2", Bytes) + std::string(Bytes, 'b');
    Second.send(Request);
    std::string Refused = Second.readUntil("\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 503"), Refused.substr(0, 12));
    CPPUNIT_ASSERT_EQUAL(1, Handled.load());
    answer(0, "first;");
    First.readUntil("first;");
    Loop->post([this] { Pending.clear(); });
    flush();
    Second.send(Request);
    CPPUNIT_ASSERT(Second.readUntil(";end").find("POST /2") !=
                   std::string::npos);
    waitUntilReleased();
  }

  /// Pattern: callers send large bodies up to the last byte and keep the
  /// connections open. Guards against these taking all memory, and against
  /// ordinary requests and whole large bodies that are not served meanwhile.
  void stalledBodiesGiveWay() {
    constexpr std::size_t Bytes = 400UL * 1024;
    restartWithMemory(1024UL * 1024, Bytes);
    std::vector<std::unique_ptr<RawClient>> Stalled;
    for (int I = 0; I < 6; ++I) {
      Stalled.push_back(std::make_unique<RawClient>(Port));
      Stalled.back()->send(post("/never", Bytes) + std::string(Bytes - 1, 's'));
    }
    RawClient Small(Port);
    Small.send("GET /small HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(Small.readUntil(";end").find("/small") != std::string::npos);
    RawClient Large(Port);
    Large.send(post("/large", Bytes) + std::string(Bytes, 'l'));
    CPPUNIT_ASSERT(Large.readUntil(";end").find("/large") != std::string::npos);
    CPPUNIT_ASSERT(Memory.held() <= Memory.limit());
    CPPUNIT_ASSERT_EQUAL(2, Handled.load());
    Stalled.clear();
    waitUntilReleased();
  }

  /// As stalledBodiesGiveWay, with bodies whose size is not announced.
  void stalledChunkedBodiesGiveWay() {
    constexpr std::size_t Bytes = 400UL * 1024;
    restartWithMemory(1024UL * 1024, Bytes);
    const std::string Header =
        " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n64000\r\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t(0x64000), Bytes);
    std::vector<std::unique_ptr<RawClient>> Stalled;
    for (int I = 0; I < 6; ++I) {
      Stalled.push_back(std::make_unique<RawClient>(Port));
      Stalled.back()->send("POST /never" + Header + std::string(Bytes, 's'));
    }
    RawClient Large(Port);
    Large.send("POST /large" + Header + std::string(Bytes, 'l') +
               "\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(Large.readUntil(";end").find("/large") != std::string::npos);
    CPPUNIT_ASSERT(Memory.held() <= Memory.limit());
    Stalled.clear();
    waitUntilReleased();
  }

  /// Pattern: callers take all connections and send requests that do not end.
  /// Guards against a new ordinary caller that gets no connection.
  void stalledConnectionsGiveWay() {
    stop();
    HttpServerSettings Settings;
    Settings.MaxConnections = 3;
    start(1, Settings);
    RawClient Silent(Port);
    RawClient InHeader(Port);
    InHeader.send("GET /1 HTTP/1.1\r\nHo");
    RawClient InBody(Port);
    InBody.send(post("/1", 10) + "123");
    std::string Text;
    while (Text.empty()) {
      RawClient Ordinary(Port);
      Ordinary.send("GET /ordinary HTTP/1.1\r\nHost: h\r\n\r\n");
      Text = Ordinary.readUntil(";end");
    }
    CPPUNIT_ASSERT(Text.find("/ordinary") != std::string::npos);
  }

  /// Guards against a leak in the accounting, which would in the end cause
  /// every request to be refused.
  void memoryIsReleasedAfterEachEnd() {
    constexpr std::size_t Bytes = 200UL * 1024;
    restartWithMemory(1024UL * 1024, Bytes);
    {
      RawClient Client(Port);
      Client.send(post("/1", Bytes) + std::string(Bytes, 'a'));
      Client.readUntil(";end");
      waitUntilReleased();
      // Closed by the server because of a refusal.
      Client.send(post("/2", Bytes + 1));
      Client.readAll();
      waitUntilReleased();
    }
    {
      // Closed by the caller while the request is handled.
      RawClient Client(Port);
      Client.send(post("/wait", Bytes) + std::string(Bytes, 'a'));
      waitFor(Handled, 2);
      CPPUNIT_ASSERT(Memory.held() >= Bytes);
    }
    waitFor(Disconnected, 1);
    Loop->post([this] { Pending.clear(); });
    waitUntilReleased();
    for (const std::string &Part : {std::string("abc"), std::string(1000, 'a'),
                                    std::string(Bytes - 1, 'a')}) {
      // Closed by the caller within the body.
      {
        RawClient Client(Port);
        Client.send(post("/3", Bytes) + Part);
      }
      waitUntilReleased();
    }
    CPPUNIT_ASSERT_EQUAL(2, Handled.load());
  }

  void restart(std::uint32_t MaxPipelinedRequests) {
    stop();
    start(MaxPipelinedRequests);
  }

  /// Guards against a later request that waits for a slow one although both are
  /// idempotent, and against responses that are sent in the order in which the
  /// requests ended.
  void pipelinedRequestsRunTogether() {
    restart(2);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor(Handled, 2);
    answer(1, "second;");
    flush();
    CPPUNIT_ASSERT_EQUAL(2, Handled.load());
    answer(0, "first;");
    std::string Text = Client.readUntil(";end");
    CPPUNIT_ASSERT(Text.find("first;") < Text.find("second;"));
    CPPUNIT_ASSERT(Text.find("second;") < Text.find("GET /3"));
    CPPUNIT_ASSERT_EQUAL(0, Disconnected.load());
  }

  /// Guards against requests behind the first one that keep running after their
  /// caller has closed the connection.
  void closeCancelsAllRequests() {
    restart(3);
    {
      RawClient Client(Port);
      Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGET /partial");
      waitFor(Handled, 2);
    }
    waitFor(Disconnected, 2);
    CPPUNIT_ASSERT_EQUAL(2, Handled.load());
  }

  /// Guards against a request that is not idempotent and starts before the end
  /// of an earlier one, or is not handled at all, and against later requests
  /// that start before its end.
  void deferredRequestWaits() {
    restart(4);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "POST /alone HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                "\r\nxGET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor(Handled, 2);
    answer(0, "first;");
    Client.readUntil("first;");
    // The deferred request is passed to the handler a second time.
    waitFor(Handled, 3);
    flush();
    CPPUNIT_ASSERT_EQUAL(3, Handled.load());
    CPPUNIT_ASSERT_EQUAL(std::string("x"), Pending.at(1)->request().Body.str());
    answer(1, "second;");
    std::string Text = Client.readUntil(";end");
    CPPUNIT_ASSERT(Text.find("second;") < Text.find("GET /3"));
  }

  /// Guards against responses that follow the announced end of the connection,
  /// and against the handling of requests whose responses cannot be sent.
  void requestsBehindTheEndOfTheConnectionAreDropped() {
    restart(4);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor(Handled, 2);
    answer(0, "first;");
    std::string Text = Client.readAll();
    CPPUNIT_ASSERT(Text.find("first;") < Text.find("GET /2"));
    CPPUNIT_ASSERT(Text.find("GET /3") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(2, Handled.load());
  }

  /// Guards against the refusal of a malformed request that the caller reads as
  /// the response to an earlier request.
  void malformedPipelinedRequestIsRefusedInOrder() {
    restart(4);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\nGARBAGE\r\n\r\n");
    waitFor(Handled, 1);
    flush();
    answer(0, "first;");
    std::string Text = Client.readAll();
    CPPUNIT_ASSERT(Text.find("first;") < Text.find("HTTP/1.1 400"));
    CPPUNIT_ASSERT(Text.find("HTTP/1.1 400") != std::string::npos);
  }

  /// Guards against a planned stop that drops requests which were received.
  void drainAnswersPipelinedRequests() {
    restart(4);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor(Handled, 2);
    Loop->post([this] { Server->drain(); });
    answer(0, "first;");
    answer(1, "second;");
    std::string Text = Client.readAll();
    std::size_t Close = Text.find("Connection: close");
    CPPUNIT_ASSERT(Text.find("first;") < Close);
    CPPUNIT_ASSERT(Close < Text.find("second;"));
    CPPUNIT_ASSERT(Text.find("second;") != std::string::npos);
  }

  /// Guards against an interim response that the caller reads as the one to an
  /// earlier request, and against a caller that never gets it.
  void interimResponseIsNotSentTooEarly() {
    restart(4);
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
                "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"
                "Expect: 100-continue\r\n\r\n");
    waitFor(Handled, 1);
    flush();
    answer(0, "first;");
    std::string Text = Client.readUntil("100 Continue\r\n\r\n");
    CPPUNIT_ASSERT(Text.find("first;") < Text.find("100 Continue"));
    Client.send("x");
    CPPUNIT_ASSERT(Client.readUntil(";end").find("x;end") != std::string::npos);
  }

  /// Guards against a planned shutdown that aborts a request in progress.
  void drainClosesAfterTheResponse() {
    RawClient Client(Port);
    Client.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    while (Handled == 0)
      std::this_thread::yield();
    Loop->post([this] {
      Server->drain();
      Pending.at(0)->reply(HttpAnswer{200, {}, "late;end"});
    });
    std::string Text = Client.readAll();
    CPPUNIT_ASSERT(Text.find("late;end") != std::string::npos);
    CPPUNIT_ASSERT(Text.find("Connection: close") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);

} // namespace
