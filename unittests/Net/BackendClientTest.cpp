#include "teaselhitch/Net/BackendClient.h"

#include "../../lib/Integration/OwnProtocols.h"
#include "teaselhitch/Net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
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

class BackendClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BackendClientTest);
  CPPUNIT_TEST(endOfTheProcessIsACrash);
  CPPUNIT_TEST(cutConnectionIsNoCrash);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(BackendClientTest);

} // namespace
