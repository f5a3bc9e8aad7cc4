#include "../../tools/teaselhitch-standin/RowStoreServer.h"
#include "teaselhitch/Node/Node.h"
#include "teaselhitch/Platform/HttpCall.h"
#include "teaselhitch/Support/Log.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace teaselhitch;

namespace {

namespace asio = boost::asio;

constexpr int NodeCount = 2;
/// Limit on repeated calls. Calls are repeated until they succeed, so only a
/// node that never becomes ready reaches this limit.
constexpr int MaxTries = 600;
constexpr Duration CallTimeout = Duration(1000);
const char *const ConfigTemplate =
    R"({"Version":"r%","Listeners":[{"Host":"h.example","Rules":[{"Name":"r1",)"
    R"("Kind":"unsafe","SloMs":1000,"Priority":0,"Match":{"Prefix":"/%/"},)"
    R"("Action":{"Service":"s","TimeoutMs":3000,"Attempts":2}},{"Name":"r2",)"
    R"("Kind":"safe","SloMs":1000,"Priority":0,"Match":{"Prefix":"/%/read/"},)"
    R"("Action":{"Service":"s","TimeoutMs":3000,"Attempts":2}}]}],)"
    R"("Clusters":[{"Name":"s","HealthPath":"/health"}]})";

/// Returns a configuration of this version. Its rules match the path prefix
/// "/VERSION/" and, for idempotent requests, "/VERSION/read/".
std::string config(const std::string &Version) {
  std::string Text = ConfigTemplate;
  for (std::size_t Pos = Text.find('%'); Pos != std::string::npos;
       Pos = Text.find('%'))
    Text.replace(Pos, 1, Version);
  return Text;
}

/// Returns a configuration with the organisation "firm" and these keys, a JSON
/// array. The rule of "/closed/" needs a key, that of "/open/" does not.
std::string credentialsConfig(const std::string &Version,
                              const std::string &Keys) {
  std::string Rules;
  for (const char *Path : {"closed", "open"})
    Rules += std::string(Rules.empty() ? "" : ",") + R"({"Name":")" + Path +
             R"(","Kind":"unsafe","NoAuth":)" +
             (Path == std::string("open") ? "true" : "false") +
             R"(,"Match":{"Prefix":"/)" + Path +
             R"(/"},"Action":{"Service":"s","TimeoutMs":3000}})";
  return R"({"Version":")" + Version +
         R"(","Listeners":[{"Host":"h.example","Rules":[)" + Rules +
         R"(]}],"Clusters":[{"Name":"s"}],"Tenants":[{"Name":"firm",)"
         R"("ApiKeys":)" +
         Keys + "}]}";
}

Endpoint unusedAddress() {
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor(Context,
                                   {asio::ip::make_address("127.0.0.1"), 0});
  return {"127.0.0.1", Acceptor.local_endpoint().port()};
}

/// The row store and a backend server, both run by one thread.
class PlatformFixture {
public:
  PlatformFixture()
      : Store(Context),
        Backend(Context, [this](const standin::ExchangePtr &E) { serve(E); }) {
    StoreAddress = Store.listen({"127.0.0.1", 0}).value();
    BackendAddress = Backend.listen({"127.0.0.1", 0}).value();
    Thread = std::thread([this] { Context.run(); });
  }
  ~PlatformFixture() {
    Context.stop();
    Thread.join();
  }
  PlatformFixture(const PlatformFixture &) = delete;
  PlatformFixture &operator=(const PlatformFixture &) = delete;

  void publish(const std::string &Version) {
    asio::post(Context,
               [=, this] { Store.put("op", "config", config(Version)); });
  }
  void publishText(const std::string &Text) {
    asio::post(Context, [=, this] { Store.put("op", "config", Text); });
  }
  void setFault(standin::RowStoreFault Fault) {
    asio::post(Context, [=, this] { Store.setFault(Fault); });
  }
  void saveCopy() {
    asio::post(Context, [this] { Store.saveCopy(); });
  }
  void restore() {
    asio::post(Context, [this] { Store.restore(); });
  }
  bool hasRow(const std::string &Table, const std::string &Key) {
    std::promise<bool> Found;
    asio::post(Context, [&] { Found.set_value(Store.hasRow(Table, Key)); });
    return Found.get_future().get();
  }
  /// Waits until a row is in the store.
  bool awaitRow(const std::string &Table, const std::string &Key) {
    for (int Try = 0; Try != MaxTries; ++Try) {
      if (hasRow(Table, Key))
        return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    return false;
  }

  Endpoint StoreAddress;
  Endpoint BackendAddress;

private:
  /// Keeps a request to a path that contains "hold" until the next one to a
  /// path that contains "release".
  void serve(const standin::ExchangePtr &E) {
    std::string Target(E->request().target());
    if (Target.find("hold") != std::string::npos) {
      Held.push_back(E);
      return;
    }
    if (Target.find("release") != std::string::npos)
      for (const standin::ExchangePtr &Each : std::exchange(Held, {}))
        answer(*Each);
    answer(*E);
  }

  /// Answers with the names and values of the headers that concern credentials.
  static void answer(standin::Exchange &E) {
    bool IsExpected =
        standin::headerOf(E.request(), "Expect-Instance") == "i-1";
    std::string Body = "whole";
    for (const char *Name : {"Tenant", "Authorization"})
      if (std::string Value = standin::headerOf(E.request(), Name);
          !Value.empty())
        Body += std::string(" ") + Name + "=" + Value;
    standin::HttpResponse Answer =
        standin::makeResponse(IsExpected ? 200 : 421, Body, "text/plain");
    Answer.set("Request-Id", standin::headerOf(E.request(), "Request-Id"));
    Answer.set("Server-Seal", standin::headerOf(E.request(), "Caller-Service"));
    E.answer(std::move(Answer));
  }

  std::vector<standin::ExchangePtr> Held;
  asio::io_context Context{1};
  asio::executor_work_guard<asio::io_context::executor_type> Work{
      Context.get_executor()};
  standin::RowStoreServer Store;
  standin::HttpServer Backend;
  std::thread Thread;
};

NodeSettings makeSettings(int Index, const PlatformFixture &Platform) {
  NodeSettings S;
  S.Fleet = "test";
  S.Node = NodeName("n" + std::to_string(Index));
  S.Domain = FailureDomain("d");
  S.Region = RegionName("r");
  S.Callers = unusedAddress();
  S.BackendServers = unusedAddress();
  S.Operators = unusedAddress();
  S.Peers = unusedAddress();
  S.Secret = "a secret of the test";
  S.PlatformKind = "row-store";
  S.Platform = Platform.StoreAddress;
  S.PlatformTimeout = Duration(300);
  S.InstanceService = "caller-" + std::to_string(Index);
  S.UploadsAudit = false;
  S.AnnouncementTimeout = Duration::seconds(600);
  S.Balancer = "least-risk";
  S.DrainGrace = Duration(50);
  return S;
}

/// Nodes that run on threads of this process. The destructor stops them with
/// SIGTERM, the signal that stops a node process.
class RunningFleet {
public:
  /// \param HasStoreAccess whether the nodes after the first reach the store.
  explicit RunningFleet(const PlatformFixture &Platform, int Count = NodeCount,
                        bool HasStoreAccess = true) {
    for (int I = 0; I != Count; ++I)
      create(Platform, HasStoreAccess || I == 0);
    for (auto &RunningNode : RunningNodes)
      run(*RunningNode);
  }
  /// Starts one more node.
  void add(const PlatformFixture &Platform) {
    create(Platform);
    run(*RunningNodes.back());
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
  void create(const PlatformFixture &Platform, bool HasStoreAccess = true) {
    Settings.push_back(
        makeSettings(static_cast<int>(Settings.size()), Platform));
    if (!HasStoreAccess) {
      Settings.back().Platform = unusedAddress();
      Settings.back().Seeds = {Settings.front().Peers};
    }
    RunningNodes.push_back(Node::create(Settings.back()).value());
  }
  void run(Node &Started) {
    Threads.emplace_back([&Started] { Started.run(); });
  }

  std::vector<std::unique_ptr<Node>> RunningNodes;
  std::vector<std::thread> Threads;
};

HttpAnswer call(const Endpoint &Server, const HttpRequest &Request) {
  return handleError([&] { return callHttp(Server, Request, CallTimeout); },
                     [](const Error &) { return HttpAnswer(); });
}

/// Repeats a call until it returns Status, at most MaxTries times. Returns the
/// last answer.
HttpAnswer callUntil(unsigned Status, const Endpoint &Server,
                     const HttpRequest &Request) {
  HttpAnswer Answer;
  for (int Try = 0; Try != MaxTries && Answer.Status != Status; ++Try) {
    Answer = call(Server, Request);
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

/// Returns a request that claims to be of another organisation.
HttpRequest requestWithKey(const std::string &Path, const std::string &Key) {
  HttpRequest Request = request(Path);
  Request.Headers.push_back(Header{"Tenant", "other"});
  if (!Key.empty())
    Request.Headers.push_back(Header{"Authorization", "Bearer " + Key});
  return Request;
}

/// Returns the body of an announcement of the backend server.
std::string announcement(const PlatformFixture &Platform, int Sequence) {
  return R"({"Address":")" + toString(Platform.BackendAddress) +
         R"(","born":17,"Info":{"Service":"s","Version":"v1",)"
         R"("Zone":"d","Slots":2},"Status":{"State":"ready",)"
         R"("Seq":)" +
         std::to_string(Sequence) + "}}";
}

std::filesystem::path logPath() {
  return std::filesystem::temp_directory_path() /
         ("credentials-test-" + std::to_string(getpid()) + ".log");
}

/// Returns the contents of a log file and removes it.
std::string takeLog(const std::filesystem::path &Path) {
  std::ifstream File(Path);
  std::string Log((std::istreambuf_iterator<char>(File)),
                  std::istreambuf_iterator<char>());
  std::filesystem::remove(Path);
  return Log;
}

/// Sends two requests in one piece on one connection and returns the bytes of
/// both responses. The second request is received before the first is answered.
std::string callPipelined(const Endpoint &Server, const std::string &FirstPath,
                          const std::string &SecondPath) {
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  Socket.connect({asio::ip::make_address(Server.Address), Server.Port});
  const std::string Headers =
      " HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 3000\r\n"
      "Content-Length: 0\r\n";
  asio::write(Socket, asio::buffer(
                          "POST " + FirstPath + Headers +
                          "Request-Id: p1\r\n\r\nPOST " + SecondPath + Headers +
                          "Request-Id: p2\r\nConnection: close\r\n\r\n"));
  std::string Responses;
  boost::system::error_code EndOfStream;
  asio::read(Socket, asio::dynamic_buffer(Responses), EndOfStream);
  return Responses;
}

class EndToEndTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EndToEndTest);
  CPPUNIT_TEST(requestRunsOnOtherNode);
  CPPUNIT_TEST(pipelinedRequestsFollowTheirRule);
  CPPUNIT_TEST(firstViewIsPublished);
  CPPUNIT_TEST(departureOutlivesRestart);
  CPPUNIT_TEST(keysStayAtTheEntry);
  CPPUNIT_TEST(subRequestsCountForTheirParent);
  CPPUNIT_TEST(rateHoldsOverBothNodes);
  CPPUNIT_TEST(rowsAreWrittenAgainAfterRestores);
  CPPUNIT_TEST(stoppedNodeWritesLostDepartures);
  CPPUNIT_TEST(revocationReachesNodesWithoutStore);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against faults between components, which the tests of single
  /// components do not cover. Two nodes discover each other through the store,
  /// a request to one node runs on the backend server of the other, a new
  /// version of the configuration takes effect, and a node still serves
  /// requests when the store does not answer.
  void requestRunsOnOtherNode() {
    PlatformFixture Platform;
    Platform.publish("3");
    RunningFleet Fleet(Platform);
    const std::vector<NodeSettings> &Settings = Fleet.Settings;

    HttpRequest Announcement{
        "POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)};
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[1].BackendServers, Announcement).Status);
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[0].Operators, {"GET", "/readyz", {}, ""})
                  .Status);
    HttpAnswer Answer = callUntil(200, Settings[0].Callers, request("/3/x"));
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), Answer.Body.str());
    CPPUNIT_ASSERT_EQUAL(404U,
                         call(Settings[0].Callers, request("/4/x")).Status);

    Platform.publish("4");
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[0].Callers, request("/4/x")).Status);
    Platform.setFault(standin::RowStoreFault::Silent);
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings[1].Callers, request("/4/x")).Status);
  }

  /// Guards against a pipelined request that is not idempotent and runs beside
  /// another one of its connection, and against idempotent ones that wait for
  /// each other.
  void pipelinedRequestsFollowTheirRule() {
    PlatformFixture Platform;
    Platform.publish("3");
    RunningFleet Fleet(Platform, 1);
    const NodeSettings &Settings = Fleet.Settings[0];
    HttpRequest Announcement{
        "POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)};
    callUntil(200, Settings.BackendServers, Announcement);
    CPPUNIT_ASSERT_EQUAL(
        200U, callUntil(200, Settings.Callers, request("/3/x")).Status);
    struct Case {
      const char *FirstPath;
      const char *SecondPath;
      /// Values of the counters after the case.
      int Deferred;
      int Pipelined;
    };
    // Behind a request that is not idempotent, the second one is not passed to
    // the handler, so that it counts neither as deferred nor as pipelined.
    const Case Cases[] = {{"/3/x", "/3/x", 0, 0},
                          {"/3/x", "/3/read/x", 0, 0},
                          {"/3/read/x", "/3/x", 1, 0},
                          {"/3/read/x", "/3/read/x", 1, 1}};
    for (const Case &C : Cases) {
      std::string Responses =
          callPipelined(Settings.Callers, C.FirstPath, C.SecondPath);
      std::size_t First = Responses.find("Request-Id: p1");
      std::size_t Second = Responses.find("Request-Id: p2");
      CPPUNIT_ASSERT_MESSAGE(Responses, First < Second);
      CPPUNIT_ASSERT_MESSAGE(Responses, Second != std::string::npos);
      std::string Metrics =
          call(Settings.Operators, {"GET", "/metrics", {}, ""}).Body.str();
      for (const std::string &Line :
           {"\nteaselhitch_deferred_requests_total " +
                std::to_string(C.Deferred) + "\n",
            "\nteaselhitch_pipelined_requests_total " +
                std::to_string(C.Pipelined) + "\n"})
        CPPUNIT_ASSERT_MESSAGE(Line, Metrics.find(Line) != std::string::npos);
    }
  }

  /// Guards against a view of the fleet that is complete when it is built for
  /// the first time, and therefore never reaches the other threads. This
  /// happened in a run under load, in which the records of the other node
  /// arrived before the first tick; a node without other nodes shows it always.
  void firstViewIsPublished() {
    PlatformFixture Platform;
    RunningFleet Fleet(Platform, 1);
    constexpr int Tries = 100;
    std::string Status;
    for (int I = 0;
         I != Tries && Status.find("\"name\":\"n0\"") == std::string::npos;
         ++I) {
      Status = call(Fleet.Settings[0].Operators, {"GET", "/v1/status", {}, ""})
                   .Body.str();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT(Status.find("\"name\":\"n0\"") != std::string::npos);
  }

  /// Guards against a late announcement that puts a departed backend server
  /// into use again after a restart of its node.
  void departureOutlivesRestart() {
    PlatformFixture Platform;
    Platform.publish("3");
    HttpRequest Announcement{
        "POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)};
    {
      RunningFleet Fleet(Platform, 1);
      const Endpoint &Listener = Fleet.Settings[0].BackendServers;
      CPPUNIT_ASSERT_EQUAL(200U, callUntil(200, Listener, Announcement).Status);
      CPPUNIT_ASSERT_EQUAL(
          200U,
          call(Listener, {"POST", "/Instances.Leave/i-1", {}, ""}).Status);
    }
    RunningFleet Fleet(Platform, 1);
    Announcement.Body = announcement(Platform, 2);
    CPPUNIT_ASSERT_EQUAL(
        200U,
        callUntil(200, Fleet.Settings[0].BackendServers, Announcement).Status);
    std::string Status;
    for (int I = 0; I != MaxTries / 4 &&
                    Status.find("\"state\":\"draining\"") == std::string::npos;
         ++I) {
      Status = call(Fleet.Settings[0].Operators, {"GET", "/v1/status", {}, ""})
                   .Body.str();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT_MESSAGE(Status, Status.find("\"state\":\"draining\"") !=
                                       std::string::npos);
  }

  /// Guards against a sub-request that counts for no organisation because the
  /// guard does not tell the entry whose request is running.
  void subRequestsCountForTheirParent() {
    const std::filesystem::path LogPath = logPath();
    configureLogging(LogLevel::Info, LogPath.string());
    {
      PlatformFixture Platform;
      Platform.publishText(credentialsConfig("r3", R"(["k1"])"));
      RunningFleet Fleet(Platform, 1);
      const NodeSettings &Settings = Fleet.Settings[0];
      callUntil(
          200, Settings.BackendServers,
          {"POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)});
      CPPUNIT_ASSERT_EQUAL(200U, callUntil(200, Settings.Callers,
                                           requestWithKey("/closed/x", "k1"))
                                     .Status);
      std::thread Parent([&] {
        HttpRequest Request = requestWithKey("/closed/hold", "k1");
        Request.Headers[1].Value = "parent";
        call(Settings.Callers, Request);
      });
      // The parent is running on the backend server after some of these tries.
      constexpr int Tries = 10;
      for (int I = 0; I != Tries; ++I) {
        HttpRequest Request = request("/open/x");
        Request.Headers[1].Value = "parent." + std::to_string(I);
        call(Settings.Callers, Request);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      call(Settings.Callers, request("/open/release"));
      Parent.join();
    }
    shutdownLogging();
    int Counted = 0;
    std::istringstream Lines(takeLog(LogPath));
    for (std::string Line; std::getline(Lines, Line);)
      if (Line.find("\"caller_id\":\"parent.") != std::string::npos &&
          Line.find("\"organisation\":\"firm\"") != std::string::npos)
        ++Counted;
    CPPUNIT_ASSERT(Counted > 0);
  }

  /// Guards against a rate that each node applies for itself. The bound is that
  /// of a window of 5 s or more: rate and burst with 10% and 20 requests.
  void rateHoldsOverBothNodes() {
    constexpr double Rate = 2, Burst = 4;
    std::string Text = credentialsConfig("r3", R"(["k1"])");
    const std::string Name = R"("Name":"firm")";
    Text.replace(Text.find(Name), Name.size(),
                 Name + R"(,"RatePerS":2,"Burst":4)");
    PlatformFixture Platform;
    Platform.publishText(Text);
    RunningFleet Fleet(Platform);
    callUntil(
        200, Fleet.Settings[1].BackendServers,
        {"POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)});
    SteadyClock Clock;
    Time Start = Clock.now();
    for (const NodeSettings &Settings : Fleet.Settings)
      CPPUNIT_ASSERT_EQUAL(200U, callUntil(200, Settings.Callers,
                                           requestWithKey("/closed/x", "k1"))
                                     .Status);
    int Served = 2, Refused = 0;
    constexpr int Rounds = 50;
    for (int I = 0; I != Rounds; ++I)
      for (const NodeSettings &Settings : Fleet.Settings) {
        HttpAnswer Answer =
            call(Settings.Callers, requestWithKey("/closed/x", "k1"));
        Served += Answer.Status == 200 ? 1 : 0;
        Refused += Answer.Status == 429 ? 1 : 0;
      }
    double Seconds = std::max(5.0, (Clock.now() - Start).ms() / 1000);
    CPPUNIT_ASSERT(Refused > 0);
    CPPUNIT_ASSERT(Served <= (Rate * Seconds + Burst) * 1.1 + 20);
    // Requests without a key on a public rule are not counted.
    CPPUNIT_ASSERT_EQUAL(
        200U, call(Fleet.Settings[0].Callers, request("/open/x")).Status);
    std::string Status;
    for (int Try = 0;
         Try != MaxTries && Status.find(R"("owner":true)") == std::string::npos;
         ++Try) {
      Status.clear();
      for (const NodeSettings &Settings : Fleet.Settings)
        Status += call(Settings.Operators, {"GET", "/v1/status", {}, ""}).Body;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    CPPUNIT_ASSERT(Status.find(R"("owned_rates")") != std::string::npos);
    CPPUNIT_ASSERT(Status.find(R"("owner":true)") != std::string::npos);
  }

  /// Guards against a revoked key that stays valid on a node that does not
  /// reach the store, and against one that works again on a node that restarts
  /// there.
  void revocationReachesNodesWithoutStore() {
    PlatformFixture Platform;
    const HttpRequest Known = requestWithKey("/closed/x", "k1");
    // The second fleet starts while the store has the later version.
    for (bool IsFirst : {true, false}) {
      if (IsFirst)
        Platform.publishText(credentialsConfig("r3", R"(["k1"])"));
      RunningFleet Fleet(Platform, NodeCount, false);
      const Endpoint &Callers = Fleet.Settings[1].Callers;
      callUntil(
          200, Fleet.Settings[1].BackendServers,
          {"POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)});
      if (IsFirst) {
        CPPUNIT_ASSERT_EQUAL(200U, callUntil(200, Callers, Known).Status);
        Platform.publishText(credentialsConfig("r4", R"(["k2"])"));
      }
      HttpAnswer Answer;
      for (int Try = 0; Try != MaxTries && Answer.Status != 401; ++Try) {
        Answer = call(Callers, Known);
        CPPUNIT_ASSERT(IsFirst || Answer.Status != 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
      CPPUNIT_ASSERT_EQUAL(401U, Answer.Status);
    }
  }

  /// Guards against a key that a node passes to a backend server, writes to its
  /// log or shows in its status, against a caller that chooses its
  /// organisation, and against a revoked key that some node still accepts.
  void keysStayAtTheEntry() {
    const std::string Key = "the-key-of-the-firm";
    const std::filesystem::path LogPath = logPath();
    configureLogging(LogLevel::Debug, LogPath.string());
    std::string Shown;
    {
      PlatformFixture Platform;
      Platform.publishText(credentialsConfig("r3", "[\"" + Key + "\"]"));
      RunningFleet Fleet(Platform);
      HttpRequest Announcement{
          "POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)};
      callUntil(200, Fleet.Settings[1].BackendServers, Announcement);
      for (const NodeSettings &Settings : Fleet.Settings) {
        HttpAnswer Answer =
            callUntil(200, Settings.Callers, requestWithKey("/closed/x", Key));
        CPPUNIT_ASSERT_EQUAL(std::string("whole Tenant=firm"),
                             Answer.Body.str());
        for (const char *Other : {"", "wrong"}) {
          CPPUNIT_ASSERT_EQUAL(
              401U, call(Settings.Callers, requestWithKey("/closed/x", Other))
                        .Status);
          Answer = callUntil(200, Settings.Callers,
                             requestWithKey("/open/x", Other));
          CPPUNIT_ASSERT_EQUAL(std::string("whole"), Answer.Body.str());
        }
      }
      Platform.publishText(credentialsConfig("r4", "[]"));
      for (const NodeSettings &Settings : Fleet.Settings) {
        CPPUNIT_ASSERT_EQUAL(401U, callUntil(401, Settings.Callers,
                                             requestWithKey("/closed/x", Key))
                                       .Status);
        for (const char *Path : {"/v1/status", "/metrics", "/v1/audit"})
          Shown += call(Settings.Operators, {"GET", Path, {}, ""}).Body;
      }
    }
    shutdownLogging();
    const std::string Log = takeLog(LogPath);
    CPPUNIT_ASSERT(Log.find("unknown-credential") != std::string::npos);
    CPPUNIT_ASSERT(Shown.find("unknown-credential") != std::string::npos);
    for (const std::string &Text : {Log, Shown})
      CPPUNIT_ASSERT(Text.find(Key) == std::string::npos);
  }

  /// Guards against a departure that stays lost because the node was stopped
  /// right after one or two restores of the store, before it had noticed them.
  void stoppedNodeWritesLostDepartures() {
    for (int Restores : {1, 2}) {
      PlatformFixture Platform;
      Platform.publish("3");
      Platform.saveCopy();
      {
        RunningFleet Fleet(Platform, 1);
        const Endpoint &Listener = Fleet.Settings[0].BackendServers;
        callUntil(200, Listener,
                  {"POST",
                   "/Instances.Heartbeat/i-1",
                   {},
                   announcement(Platform, 1)});
        CPPUNIT_ASSERT_EQUAL(
            200U,
            callUntil(200, Listener, {"POST", "/Instances.Leave/i-1", {}, ""})
                .Status);
        CPPUNIT_ASSERT(Platform.awaitRow("departures", "n0"));
        for (int I = 0; I != Restores; ++I)
          Platform.restore();
        CPPUNIT_ASSERT(!Platform.hasRow("departures", "n0"));
      }
      CPPUNIT_ASSERT(Platform.hasRow("departures", "n0"));
    }
  }

  /// Guards against rows of a node that stay lost after the store was
  /// restored from an older copy, though the node makes no other calls to the
  /// store, and against a configuration that reverts. A second node starts
  /// between two restores and writes its rows again as well.
  void rowsAreWrittenAgainAfterRestores() {
    PlatformFixture Platform;
    Platform.publish("3");
    Platform.saveCopy();
    Platform.publish("4");
    RunningFleet Fleet(Platform, 1);
    const Endpoint &Listener = Fleet.Settings[0].BackendServers;
    CPPUNIT_ASSERT_EQUAL(
        200U,
        callUntil(
            200, Listener,
            {"POST", "/Instances.Heartbeat/i-1", {}, announcement(Platform, 1)})
            .Status);
    CPPUNIT_ASSERT_EQUAL(
        200U, call(Listener, {"POST", "/Instances.Leave/i-1", {}, ""}).Status);
    CPPUNIT_ASSERT(Platform.awaitRow("nodes", "n0"));
    CPPUNIT_ASSERT(Platform.awaitRow("departures", "n0"));
    const auto HasVersion4 = [&] {
      return call(Fleet.Settings[0].Operators, {"GET", "/v1/status", {}, ""})
                 .Body.str()
                 .find("\"configuration_version\":4") != std::string::npos;
    };
    for (int Try = 0; Try != MaxTries && !HasVersion4(); ++Try)
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Platform.restore();
    CPPUNIT_ASSERT(!Platform.hasRow("nodes", "n0"));
    CPPUNIT_ASSERT(Platform.awaitRow("nodes", "n0"));
    CPPUNIT_ASSERT(Platform.awaitRow("departures", "n0"));
    Fleet.add(Platform);
    CPPUNIT_ASSERT(Platform.awaitRow("nodes", "n1"));
    Platform.restore();
    for (const char *Node : {"n0", "n1"})
      CPPUNIT_ASSERT(Platform.awaitRow("nodes", Node));
    CPPUNIT_ASSERT(Platform.awaitRow("departures", "n0"));
    CPPUNIT_ASSERT(HasVersion4());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndToEndTest);

} // namespace
