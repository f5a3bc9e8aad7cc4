#include "teaselhitch/Net/BackendClient.h"

#include "../../lib/Integration/NativeProtocols.h"
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

/// Reads a request and closes its connection without a response, then accepts
/// the probe connection by which the client checks whether the server still
/// works. With StopsListening, closes the probe connection and the listening
/// socket as an exiting process does.
class DisconnectingServer {
public:
  explicit DisconnectingServer(bool StopsListening)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, StopsListening] { serve(StopsListening); }) {}
  ~DisconnectingServer() { Thread.join(); }
  DisconnectingServer(const DisconnectingServer &) = delete;
  DisconnectingServer &operator=(const DisconnectingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  void serve(bool StopsListening) {
    std::array<char, 4096> Bytes{};
    boost::system::error_code Ignored;
    tcp::socket Connection = Acceptor.accept();
    Connection.read_some(asio::buffer(Bytes), Ignored);
    Connection.close(Ignored);
    tcp::socket Probe = Acceptor.accept();
    if (StopsListening) {
      Probe.close(Ignored);
      Acceptor.close(Ignored);
      return;
    }
    // Returns when the client has reached its result and closes the connection.
    Probe.read_some(asio::buffer(Bytes), Ignored);
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

std::optional<RunEnd> requestEnd(const DisconnectingServer &Server) {
  EventLoop Loop;
  std::optional<RunEnd> End;
  std::unique_ptr<BackendProtocol> Protocol = createNativeBackendProtocol();
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

/// Sends each response twice. The duplicate follows immediately or, if IsLate
/// is set, after the next request has been received.
class DuplicatingServer {
public:
  explicit DuplicatingServer(bool IsLate)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, IsLate] { serve(IsLate); }) {}
  ~DuplicatingServer() { Thread.join(); }
  DuplicatingServer(const DuplicatingServer &) = delete;
  DuplicatingServer &operator=(const DuplicatingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  static std::string responseFor(const std::string &Id) {
    return "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: " + Id +
           "\r\nContent-Length: 1\r\n\r\n" + Id;
  }

  /// The id of the next request, or an empty string when the connection ends.
  static std::string readId(tcp::socket &Socket) {
    std::string Text;
    std::array<char, 4096> Bytes{};
    boost::system::error_code EC;
    while (Text.find("\r\n\r\n") == std::string::npos && !EC)
      Text.append(Bytes.data(), Socket.read_some(asio::buffer(Bytes), EC));
    const std::string Key = "Teaselhitch-Request-Id: ";
    std::size_t Position = Text.find(Key);
    return Position == std::string::npos
               ? ""
               : Text.substr(Position + Key.size(), 1);
  }

  void serve(bool IsLate) {
    boost::system::error_code Ignored;
    int Served = 0;
    while (Served != 2) {
      tcp::socket Socket = Acceptor.accept();
      std::string Duplicate;
      for (std::string Id = readId(Socket); !Id.empty() && Served != 2;
           Id = readId(Socket)) {
        ++Served;
        std::string Text = IsLate ? Duplicate + responseFor(Id)
                                  : responseFor(Id) + responseFor(Id);
        asio::write(Socket, asio::buffer(Text), Ignored);
        Duplicate = responseFor(Id);
      }
    }
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

/// Sends requests 1 and 2 and returns the concatenated bodies of the responses.
std::string responseBodies(const DuplicatingServer &Server) {
  EventLoop Loop;
  std::string Bodies;
  std::unique_ptr<BackendProtocol> Protocol = createNativeBackendProtocol();
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
  CPPUNIT_TEST(processExitIsACrash);
  CPPUNIT_TEST(closedConnectionIsNoCrash);
  CPPUNIT_TEST(duplicateResponsesAreDiscarded);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a crash that is classified as a lost connection because the
  /// listening socket closes after the connections. The request would be
  /// retried and crash further backend servers.
  void processExitIsACrash() {
    DisconnectingServer Server(true);
    CPPUNIT_ASSERT(requestEnd(Server) == RunEnd::Crashed);
  }

  /// Guards against a lost connection that is classified as a crash although
  /// the backend server still works.
  void closedConnectionIsNoCrash() {
    DisconnectingServer Server(false);
    CPPUNIT_ASSERT(requestEnd(Server) == RunEnd::ConnectionLost);
  }

  /// Guards against a duplicate response to one request that is delivered to
  /// the caller of the next request on the same connection.
  void duplicateResponsesAreDiscarded() {
    for (bool IsLate : {false, true}) {
      DuplicatingServer Server(IsLate);
      CPPUNIT_ASSERT_EQUAL(std::string("12"), responseBodies(Server));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace
