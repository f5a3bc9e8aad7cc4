#include "teaselhitch/Net/BackendClient.h"

#include "../../lib/Integration/OwnProtocols.h"
#include "teaselhitch/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <thread>

using namespace teaselhitch;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Reads a request and cuts its connection, then accepts the connection by
/// which the client checks whether the server still works.
class CuttingServer {
public:
  explicit CuttingServer(bool EndsAfterwards)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, EndsAfterwards] { serve(EndsAfterwards); }) {}
  ~CuttingServer() { Thread.join(); }
  CuttingServer(const CuttingServer &) = delete;
  CuttingServer &operator=(const CuttingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  void serve(bool EndsAfterwards) {
    std::array<char, 4096> Bytes{};
    boost::system::error_code Ignored;
    tcp::socket Cut = Acceptor.accept();
    Cut.read_some(asio::buffer(Bytes), Ignored);
    Cut.close(Ignored);
    tcp::socket Check = Acceptor.accept();
    if (EndsAfterwards) {
      Check.close(Ignored);
      Acceptor.close(Ignored);
      return;
    }
    // Returns when the client has decided and closes the connection.
    Check.read_some(asio::buffer(Bytes), Ignored);
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

std::optional<RunEnd> endOfRequestTo(const CuttingServer &Server) {
  EventLoop Loop;
  std::optional<RunEnd> End;
  std::unique_ptr<BackendProtocol> Protocol = createOwnBackendProtocol();
  std::unique_ptr<BackendClient> Client = BackendClient::create(
      Loop, 1024, *Protocol,
      [&](const AttemptId &, const RunResult &Result, const HttpAnswer &) {
        End = Result.End;
        Loop.stop();
      });
  Client->start(AttemptId(), Server.address(), HttpRequest{"GET", "/", {}, ""},
                true);
  Loop.run();
  return End;
}

/// Answers each request twice; the second answer comes at once, or late, when
/// the next request has been sent.
class DoublingServer {
public:
  explicit DoublingServer(bool IsLate)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, IsLate] { serve(IsLate); }) {}
  ~DoublingServer() { Thread.join(); }
  DoublingServer(const DoublingServer &) = delete;
  DoublingServer &operator=(const DoublingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  static std::string answerTo(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: " + Id +
           "\r\nContent-Length: 1\r\n\r\n" + Id;
  }

  /// The id of the next request, or an empty text at the end.
  static std::string readId(tcp::socket &Socket) {
    std::string Text;
    std::array<char, 4096> Bytes{};
    boost::system::error_code Fault;
    while (Text.find("\r\n\r\n") == std::string::npos && !Fault)
      Text.append(Bytes.data(), Socket.read_some(asio::buffer(Bytes), Fault));
    const std::string Key = "Teaselhitch-Request-Id: ";
    std::size_t Place = Text.find(Key);
    return Place == std::string::npos ? "" : Text.substr(Place + Key.size(), 1);
  }

  void serve(bool IsLate) {
    boost::system::error_code Ignored;
    int Served = 0;
    while (Served != 2) {
      tcp::socket Socket = Acceptor.accept();
      std::string Earlier;
      for (std::string Id = readId(Socket); !Id.empty() && Served != 2;
           Id = readId(Socket)) {
        ++Served;
        std::string Text =
            IsLate ? Earlier + answerTo(Id) : answerTo(Id) + answerTo(Id);
        asio::write(Socket, asio::buffer(Text), Ignored);
        Earlier = answerTo(Id);
      }
    }
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

/// The bodies of the answers to the requests 1 and 2.
std::string answersFrom(const DoublingServer &Server) {
  EventLoop Loop;
  std::string Bodies;
  std::unique_ptr<BackendProtocol> Protocol = createOwnBackendProtocol();
  std::unique_ptr<BackendClient> Client;
  auto Start = [&](std::uint64_t Sequence) {
    Client->start(
        {{NodeName("n"), 1, Sequence}, 1}, Server.address(),
        HttpRequest{"GET",
                    "/",
                    {{"Teaselhitch-Request-Id", std::to_string(Sequence)}},
                    ""},
        true);
  };
  Client = BackendClient::create(
      Loop, 1024, *Protocol,
      [&](const AttemptId &Id, const RunResult &, const HttpAnswer &Answer) {
        Bodies += Answer.Body;
        if (Id.Request.Sequence == 2)
          return Loop.stop();
        Loop.post([&] { Start(2); });
      });
  Start(1);
  Loop.run();
  return Bodies;
}

class BackendClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendClientTest);
  CPPUNIT_TEST(endOfTheProcessIsACrash);
  CPPUNIT_TEST(cutConnectionIsNoCrash);
  CPPUNIT_TEST(secondAnswersReachNobody);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a crash that is taken for a lost connection, because the
  /// listening socket closes after the connections: the request would be tried
  /// again and crash further backend servers.
  void endOfTheProcessIsACrash() {
    CuttingServer Server(true);
    CPPUNIT_ASSERT(endOfRequestTo(Server) == RunEnd::Crashed);
  }

  /// Guards against a lost connection that is taken for a crash while the
  /// backend server goes on working.
  void cutConnectionIsNoCrash() {
    CuttingServer Server(false);
    CPPUNIT_ASSERT(endOfRequestTo(Server) == RunEnd::ConnectionLost);
  }

  /// Guards against the answer of one request that reaches the caller of the
  /// next one on the connection.
  void secondAnswersReachNobody() {
    for (bool IsLate : {false, true}) {
      DoublingServer Server(IsLate);
      CPPUNIT_ASSERT_EQUAL(std::string("12"), answersFrom(Server));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace
