#include "../../tools/teaselhitch-standin/RowStoreServer.h"
#include "teaselhitch/Node/Node.h"
#include "teaselhitch/Platform/HttpCall.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <thread>

using namespace teaselhitch;

namespace {

namespace asio = boost::asio;

constexpr int Nodes = 2;
/// Calls are repeated until they succeed; only a node that never gets ready
/// reaches this bound.
constexpr int MaxTries = 600;
constexpr Duration CallTimeout = Duration(1000);
const char *const Config =
    R"({"Version":"r%","Listeners":[{"Host":"h.example","Rules":[{"Name":"r1",)"
    R"("Kind":"unsafe","SloMs":1000,"Priority":0,"Match":{"Prefix":"/%/"},)"
    R"("Action":{"Service":"s","TimeoutMs":3000,"Attempts":2}}]}],)"
    R"("Clusters":[{"Name":"s","HealthPath":"/health"}]})";

/// A configuration of this version, whose only rule takes "/VERSION/".
std::string config(const std::string &Version) {
  std::string Text = Config;
  for (std::size_t Place = Text.find('%'); Place != std::string::npos;
       Place = Text.find('%'))
    Text.replace(Place, 1, Version);
  return Text;
}

Endpoint freeAddress() {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

/// Store and backend server on one thread.
class Outside {
public:
  Outside()
      : Store(Context),
        Backend(Context, [this](const standin::ExchangePtr &E) { serve(*E); }) {
    StoreAddress = Store.listen({"127.0.0.1", 0}).value();
    BackendAddress = Backend.listen({"127.0.0.1", 0}).value();
    Thread = std::thread([this] { Context.run(); });
  }
  ~Outside() {
    Context.stop();
    Thread.join();
  }
  Outside(const Outside &) = delete;
  Outside &operator=(const Outside &) = delete;

  void publish(const std::string &Version) {
    asio::post(Context,
               [=, this] { Store.put("op", "config", config(Version)); });
  }
  void setFault(standin::RowStoreFault Fault) {
    asio::post(Context, [=, this] { Store.setFault(Fault); });
  }

  Endpoint StoreAddress;
  Endpoint BackendAddress;

private:
  static void serve(standin::Exchange &E) {
    bool IsExpected =
        standin::headerOf(E.request(), "Expect-Instance") == "i-1";
    standin::HttpResponse Answer =
        standin::makeResponse(IsExpected ? 200 : 421, "whole", "text/plain");
    Answer.set("Request-Id", standin::headerOf(E.request(), "Request-Id"));
    Answer.set("Server-Seal", standin::headerOf(E.request(), "Caller-Service"));
    E.answer(std::move(Answer));
  }

  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  standin::RowStoreServer Store;
  standin::HttpServer Backend;
  std::thread Thread;
};

NodeSettings settingsOf(int Index, const Outside &World) {
  NodeSettings S;
  S.Fleet = "test";
  S.Node = NodeName("n" + std::to_string(Index));
  S.Domain = FailureDomain("d");
  S.Region = RegionName("r");
  S.Callers = freeAddress();
  S.BackendServers = freeAddress();
  S.Operators = freeAddress();
  S.Peers = freeAddress();
  S.Secret = "a secret of the test";
  S.PlatformKind = "row-store";
  S.Platform = World.StoreAddress;
  S.PlatformTimeout = Duration(300);
  S.InstanceService = "caller-" + std::to_string(Index);
  S.UploadsAudit = false;
  S.AnnouncementTimeout = Duration::seconds(600);
  S.Balancer = "least-risk";
  S.DrainGrace = Duration(50);
  return S;
}

/// Nodes on threads of this process, stopped by the signal that stops a node.
class RunningFleet {
public:
  explicit RunningFleet(const Outside &World) {
    for (int I = 0; I != Nodes; ++I) {
      Settings.push_back(settingsOf(I, World));
      Members.push_back(Node::create(Settings.back()).value());
    }
    for (auto &Member : Members)
      Threads.emplace_back([&Member] { Member->run(); });
  }
  ~RunningFleet() {
    std::raise(SIGTERM);
    for (std::thread &Thread : Threads)
      Thread.join();
  }
  RunningFleet(const RunningFleet &) = delete;
  RunningFleet &operator=(const RunningFleet &) = delete;

  std::vector<NodeSettings> Settings;

private:
  std::vector<std::unique_ptr<Node>> Members;
  std::vector<std::thread> Threads;
};

HttpAnswer call(const Endpoint &To, const HttpRequest &Request) {
  return handleError([&] { return callHttp(To, Request, CallTimeout); },
                     [](const Error &) { return HttpAnswer(); });
}

/// Calls until the status is the expected one; the last answer.
HttpAnswer callUntil(unsigned Status, const Endpoint &To,
                     const HttpRequest &Request) {
  HttpAnswer Answer;
  for (int Try = 0; Try != MaxTries && Answer.Status != Status; ++Try) {
    Answer = call(To, Request);
    if (Answer.Status != Status)
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return Answer;
}

HttpRequest request(const std::string &Path) {
  return {
      "POST",
      Path,
      {{"Host", "h.example"}, {"Request-Id", "a1"}, {"Deadline-Ms", "3000"}},
      "body"};
}

class EndToEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndToEndTest);
  CPPUNIT_TEST(requestRunsAtTheOtherNode);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a seam that no part test crosses: two nodes find each other
  /// through the store; a request to one runs at the backend server of the
  /// other; a new version takes over; both serve on without the store.
  void requestRunsAtTheOtherNode() {
    Outside World;
    World.publish("3");
    RunningFleet Fleet(World);
    const std::vector<NodeSettings> &Settings = Fleet.Settings;

    std::string Body = R"({"Address":")" + toString(World.BackendAddress) +
                       R"(","born":17,"Info":{"Service":"s","Version":"v1",)"
                       R"("Zone":"d","Slots":2},"Status":{"State":"ready",)"
                       R"("Seq":1}})";
    HttpRequest Announcement{"POST", "/Instances.Heartbeat/i-1", {}, Body};
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[1].BackendServers, Announcement).Status);
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[0].Operators, {"GET", "/readyz", {}, ""})
                  .Status);
    HttpAnswer Answer = callUntil(200, Settings[0].Callers, request("/3/x"));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Answer.Body);
    CPPUNIT_ASSERT_EQUAL(404U,
                         call(Settings[0].Callers, request("/4/x")).Status);

    World.publish("4");
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[0].Callers, request("/4/x")).Status);
    World.setFault(standin::RowStoreFault::Silent);
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[1].Callers, request("/4/x")).Status);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndToEndTest);

} // namespace
