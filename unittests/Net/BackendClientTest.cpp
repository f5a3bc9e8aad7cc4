#include "teaselhitch/Net/BackendClient.h"

#include "../../lib/Integration/NativeProtocols.h"
#include "teaselhitch/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace teaselhitch;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// Connects to a server and closes the connection; ignores errors.
void connectTo(const Endpoint &Server) {
  asio::io_context Context;
  tcp::socket Socket(Context);
  boost::system::error_code Ignored;
  Socket.connect({asio::ip::make_address(Server.Address), Server.Port},
                 Ignored);
}

/// Reads a request, sends Bytes and closes its connection without the rest of
/// the response, then accepts the probe connection by which the client checks
/// whether the server still works. With StopsListening, closes the probe
/// connection and the listening socket as an exiting process does. With
/// KeepsConnection, the client has to close its connection.
class DisconnectingServer {
public:
  explicit DisconnectingServer(bool StopsListening, std::string Bytes = "",
                               bool KeepsConnection = false)
      : Bytes(std::move(Bytes)), KeepsConnection(KeepsConnection),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, StopsListening] { serve(StopsListening); }) {}
  ~DisconnectingServer() {
    // Ends the wait for a probe connection.
    connectTo(Address);
    Thread.join();
  }
  DisconnectingServer(const DisconnectingServer &) = delete;
  DisconnectingServer &operator=(const DisconnectingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  void serve(bool StopsListening) {
    std::array<char, 4096> Input{};
    boost::system::error_code Ignored;
    tcp::socket Connection = Acceptor.accept();
    Connection.read_some(asio::buffer(Input), Ignored);
    asio::write(Connection, asio::buffer(Bytes), Ignored);
    if (KeepsConnection)
      Connection.read_some(asio::buffer(Input), Ignored);
    Connection.close(Ignored);
    tcp::socket Probe = Acceptor.accept();
    if (StopsListening) {
      Probe.close(Ignored);
      Acceptor.close(Ignored);
      return;
    }
    // Returns when the client has reached its result and closes the connection.
    Probe.read_some(asio::buffer(Input), Ignored);
  }

  std::string Bytes;
  bool KeepsConnection;
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
  explicit DuplicatingServer(bool IsLate, bool NamesRequest = true)
      : NamesRequest(NamesRequest),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this, IsLate] { serve(IsLate); }) {}
  ~DuplicatingServer() { Thread.join(); }
  DuplicatingServer(const DuplicatingServer &) = delete;
  DuplicatingServer &operator=(const DuplicatingServer &) = delete;

  Endpoint address() const { return Address; }

private:
  std::string responseFor(const std::string &Id) const {
    std::string Header =
        NamesRequest ? "Teaselhitch-Request-Id: " + Id + "\r\n" : "";
    return "HTTP/1.1 200 OK\r\n" + Header + "Content-Length: 1\r\n\r\n" + Id;
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

  bool NamesRequest;
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
        Bodies += Answer.Body.str();
        if (Id.Request.Sequence == 2)
          return Loop.stop();
        Loop.post([&] { Start(2); });
      });
  Start(1);
  Loop.run();
  return Bodies;
}

/// Answers each request with Start and then Repeated without end, until the
/// client closes the connection.
class EndlessServer {
public:
  EndlessServer(const std::string &Start, const std::string &Repeated,
                int Connections)
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}) {
    for (int I = 0; I != Connections; ++I)
      Threads.emplace_back([this, Start, Repeated] { serve(Start, Repeated); });
  }
  ~EndlessServer() {
    for (std::thread &T : Threads)
      T.join();
  }
  EndlessServer(const EndlessServer &) = delete;
  EndlessServer &operator=(const EndlessServer &) = delete;

  Endpoint address() const { return Address; }

private:
  void serve(const std::string &Start, const std::string &Repeated) {
    std::array<char, 4096> Bytes{};
    boost::system::error_code EC;
    tcp::socket Connection(Context);
    {
      std::lock_guard<std::mutex> Lock(AcceptorMutex);
      Connection = Acceptor.accept();
    }
    Connection.read_some(asio::buffer(Bytes), EC);
    asio::write(Connection, asio::buffer(Start), EC);
    std::string Block;
    while (Block.size() < 4096)
      Block += Repeated;
    while (!EC)
      asio::write(Connection, asio::buffer(Block), EC);
  }

  asio::io_context Context;
  std::mutex AcceptorMutex;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::vector<std::thread> Threads;
};

/// Starts requests at the same time and returns how they end.
std::vector<RunEnd> endsOfRequests(const Endpoint &Server, int Requests,
                                   std::uint64_t MaxAnswerBytes) {
  EventLoop Loop;
  std::vector<RunEnd> Ends;
  std::unique_ptr<BackendProtocol> Protocol = createNativeBackendProtocol();
  std::unique_ptr<BackendClient> Client = BackendClient::create(
      Loop, MaxAnswerBytes, *Protocol,
      [&](const AttemptId &, const RunResult &Result, const HttpAnswer &) {
        Ends.push_back(Result.End);
        if (Ends.size() == static_cast<std::size_t>(Requests))
          Loop.stop();
      });
  for (int I = 1; I <= Requests; ++I)
    Client->start({{NodeName("n"), 1, static_cast<std::uint64_t>(I)}, 1},
                  Server, HttpRequest{"GET", "/", {}, ""}, true);
  Loop.run();
  return Ends;
}

/// Refuses each request on a connection as not run until it has answered a
/// request on another connection. Sends the refusal once more in front of the
/// response to the next request on the same connection, which it runs.
class RepeatedRefusalServer {
public:
  RepeatedRefusalServer()
      : Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { serve(); }) {}
  ~RepeatedRefusalServer() { Thread.join(); }
  RepeatedRefusalServer(const RepeatedRefusalServer &) = delete;
  RepeatedRefusalServer &operator=(const RepeatedRefusalServer &) = delete;

  Endpoint address() const { return Address; }

private:
  static bool readRequest(tcp::socket &Socket) {
    std::array<char, 4096> Bytes{};
    boost::system::error_code EC;
    return Socket.read_some(asio::buffer(Bytes), EC) != 0 && !EC;
  }

  void serve() {
    const std::string Refusal =
        "HTTP/1.1 503 X\r\nTeaselhitch-Request-Id: 1\r\n"
        "Teaselhitch-Outcome: not-run\r\n"
        "Content-Length: 0\r\n\r\n";
    const std::string Answer =
        "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: 1\r\n"
        "Content-Length: 0\r\n\r\n";
    boost::system::error_code Ignored;
    tcp::socket First = Acceptor.accept();
    readRequest(First);
    asio::write(First, asio::buffer(Refusal), Ignored);
    // The next request comes on this connection or on a new one.
    Acceptor.non_blocking(true);
    First.non_blocking(true);
    std::array<char, 1> Byte{};
    for (;;) {
      boost::system::error_code EC;
      tcp::socket Second = Acceptor.accept(EC);
      if (!EC) {
        Second.non_blocking(false);
        readRequest(Second);
        asio::write(Second, asio::buffer(Answer), Ignored);
        return;
      }
      First.receive(asio::buffer(Byte), tcp::socket::message_peek, EC);
      if (EC == asio::error::would_block) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
        continue;
      }
      asio::write(First, asio::buffer(Refusal + Answer), Ignored);
      return;
    }
  }

  asio::io_context Context;
  tcp::acceptor Acceptor;
  Endpoint Address{"127.0.0.1", Acceptor.local_endpoint().port()};
  std::thread Thread;
};

class BackendClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendClientTest);
  CPPUNIT_TEST(processExitIsACrash);
  CPPUNIT_TEST(exitWhileRespondingIsACrash);
  CPPUNIT_TEST(closedConnectionIsNoCrash);
  CPPUNIT_TEST(duplicateResponsesAreDiscarded);
  CPPUNIT_TEST(unattributableCopyIsNotDelivered);
  CPPUNIT_TEST(repeatedRefusalIsNotBelieved);
  CPPUNIT_TEST(truncatedHeadIsNoAnswer);
  CPPUNIT_TEST(invalidStatusIsNoAnswer);
  CPPUNIT_TEST(endlessBytesEndTheAttempt);
  CPPUNIT_TEST(endlessBodiesShareOneLimit);
  CPPUNIT_TEST(largestResponseGivesWay);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a crash that is classified as a lost connection because the
  /// listening socket closes after the connections. The request would be
  /// retried and crash further backend servers.
  void processExitIsACrash() {
    DisconnectingServer Server(true);
    CPPUNIT_ASSERT(requestEnd(Server) == RunEnd::Crashed);
  }

  /// Guards against a crash that is classified as a lost connection because the
  /// server had begun to respond. The request would never be quarantined.
  void exitWhileRespondingIsACrash() {
    for (const char *Bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "HTTP/1.1 2"}) {
      DisconnectingServer Server(true, Bytes);
      CPPUNIT_ASSERT(requestEnd(Server) == RunEnd::Crashed);
    }
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

  /// Guards against a copy without a request id, for example of a server that
  /// does not repeat ids, that is delivered to the caller of the next request
  /// on the same connection.
  void unattributableCopyIsNotDelivered() {
    DuplicatingServer Server(true, false);
    CPPUNIT_ASSERT_EQUAL(std::string("12"), responseBodies(Server));
  }

  /// Guards against a late copy of a refusal that is taken for the response to
  /// the next attempt of the same request. The caller would be told that the
  /// request was not run although the server runs it.
  void repeatedRefusalIsNotBelieved() {
    RepeatedRefusalServer Server;
    EventLoop Loop;
    std::vector<RunEnd> Ends;
    std::unique_ptr<BackendProtocol> Protocol = createNativeBackendProtocol();
    std::unique_ptr<BackendClient> Client;
    auto Start = [&](std::uint32_t Attempt) {
      Client->start(
          {{NodeName("n"), 1, 1}, Attempt}, Server.address(),
          HttpRequest{"GET", "/", {{"Teaselhitch-Request-Id", "1"}}, ""}, true);
    };
    Client = BackendClient::create(
        Loop, 1024, *Protocol,
        [&](const AttemptId &, const RunResult &Result, const HttpAnswer &) {
          Ends.push_back(Result.End);
          if (Ends.size() == 2)
            return Loop.stop();
          Loop.post([&] { Start(2); });
        });
    Start(1);
    Loop.run();
    CPPUNIT_ASSERT(Ends.at(0) == RunEnd::Shed);
    CPPUNIT_ASSERT(Ends.at(1) == RunEnd::Answered);
  }

  /// Guards against a server that stops in the middle of the header of its
  /// response, which must not become a response with an empty or short body.
  void truncatedHeadIsNoAnswer() {
    for (const char *Bytes :
         {"HTTP/1.1 200", "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: 1\r\nContent-Le",
          "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: 1\r\n",
          "HTTP/1.1 200 OK\r\nTeaselhitch-Request-Id: 1\r\n\r",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx",
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx"}) {
      DisconnectingServer Server(false, Bytes);
      std::optional<RunEnd> End = requestEnd(Server);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::string(Bytes), std::string(runEndName(RunEnd::ConnectionLost)),
          std::string(runEndName(End.value())));
    }
  }

  /// Guards against a caller that gets a response with a status that HTTP does
  /// not define, such as 000, or that does not parse.
  void invalidStatusIsNoAnswer() {
    for (const std::string StatusLine :
         {"HTTP/1.1 000 X", "HTTP/1.1 001 X", "HTTP/1.1 099 X",
          "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 0 X", "HTTP/1.1 1 X",
          "HTTP/1.1 99 X", "HTTP/1.1 2000 X", "HTTP/1.1 0200 X",
          "HTTP/1.1 -20 X", "HTTP/1.1 20x X", "HTTP/1.1  200 X", "HTTP/1.1 OK",
          "HTTP/1.1 ", "HTTP/1.1", "HTTP/2.0 200 OK", "200 OK", "000"}) {
      for (const char *Rest :
           {"\r\n\r\n",
            "\r\nTeaselhitch-Request-Id: n.0.0\r\nContent-Length: 1\r\n\r\nx",
            "\r\nConnection: close\r\n\r\nbody"}) {
        DisconnectingServer Server(false, StatusLine + Rest);
        std::optional<RunEnd> End = requestEnd(Server);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            StatusLine, std::string(runEndName(RunEnd::ConnectionLost)),
            std::string(runEndName(End.value())));
      }
    }
  }

  /// Guards against a faulty server that holds an attempt and fills the memory
  /// with bytes that are no response and do not end. The test hangs if the
  /// client waits for the end.
  void endlessBytesEndTheAttempt() {
    struct Case {
      const char *Start;
      const char *Repeated;
      RunEnd Expected;
    };
    const std::string Ok = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Ok + "Transfer-Encoding: chunked\r\n\r\n";
    const Case Cases[] = {
        {"", "x", RunEnd::ConnectionLost},
        {"HTTP/1.1 200 ", "x", RunEnd::ConnectionLost},
        {Ok.c_str(), "A: b\r\n", RunEnd::ConnectionLost},
        {"", "HTTP/1.1 100 Continue\r\n\r\n", RunEnd::ConnectionLost},
        {"", "\r\n", RunEnd::ConnectionLost},
        {"HTTP/1.1 200 OK\r\n\r\n", "x", RunEnd::TooLarge},
        {Chunked.c_str(), "1\r\nx\r\n", RunEnd::TooLarge},
        {Chunked.c_str(), "x", RunEnd::ConnectionLost},
        {Chunked.c_str(), "1", RunEnd::ConnectionLost},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x",
         RunEnd::ConnectionLost},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "A: b\r\n", RunEnd::ConnectionLost},
    };
    for (const Case &C : Cases) {
      EndlessServer Server(C.Start, C.Repeated, 1);
      std::vector<RunEnd> Ends =
          endsOfRequests(Server.address(), 1, 64UL * 1024);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(C.Start) + C.Repeated,
                                   std::string(runEndName(C.Expected)),
                                   std::string(runEndName(Ends.at(0))));
    }
  }

  /// Guards against several endless bodies that each stay below the limit but
  /// together fill the memory of the instance.
  void endlessBodiesShareOneLimit() {
    constexpr int Requests = 4;
    EndlessServer Server("HTTP/1.1 200 OK\r\n\r\n", "x", Requests);
    for (RunEnd End : endsOfRequests(Server.address(), Requests, 1024UL * 1024))
      CPPUNIT_ASSERT(End == RunEnd::TooLarge);
  }

  /// Guards against a faulty server that sends almost as much as is permitted
  /// and stops, so that the responses of other servers do not fit any more.
  void largestResponseGivesWay() {
    constexpr std::uint64_t Limit = 1024UL * 1024;
    for (bool HasBudget : {false, true}) {
      DisconnectingServer Faulty(
          /*StopsListening=*/false,
          "HTTP/1.1 200 OK\r\n\r\n" + std::string(Limit - 1000, 'x'),
          /*KeepsConnection=*/true);
      DisconnectingServer Sound(false, "HTTP/1.1 200 OK\r\n\r\n" +
                                           std::string(Limit / 4, 'y'));
      MemoryBudget Budget(Limit);
      EventLoop Loop;
      std::map<std::uint64_t, RunEnd> Ends;
      std::unique_ptr<BackendProtocol> Protocol = createNativeBackendProtocol();
      std::unique_ptr<BackendClient> Client = BackendClient::create(
          Loop, HasBudget ? 2 * Limit : Limit, *Protocol,
          [&](const AttemptId &Id, const RunResult &Result,
              const HttpAnswer &) {
            Ends[Id.Request.Sequence] = Result.End;
            if (Id.Request.Sequence == 2)
              Loop.stop();
          },
          HasBudget ? &Budget : nullptr);
      Client->start({{NodeName("n"), 1, 1}, 1}, Faulty.address(),
                    HttpRequest{"GET", "/", {}, ""}, true);
      // The faulty server has sent its part when the other one is asked.
      Loop.schedulePeriodic(Duration(100), [&, IsSent = false]() mutable {
        if (!std::exchange(IsSent, true))
          Client->start({{NodeName("n"), 1, 2}, 1}, Sound.address(),
                        HttpRequest{"GET", "/", {}, ""}, true);
      });
      Loop.run();
      CPPUNIT_ASSERT_EQUAL(std::string(runEndName(RunEnd::Answered)),
                           std::string(runEndName(Ends.at(2))));
      CPPUNIT_ASSERT_EQUAL(std::string(runEndName(RunEnd::TooLarge)),
                           std::string(runEndName(Ends.at(1))));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace
