#include "../../tools/teaselhitch-standin/BackendServer.h"
#include "../../tools/teaselhitch-standin/HttpClient.h"
#include "../../tools/teaselhitch-standin/JsonMembers.h"
#include "../../tools/teaselhitch-standin/LoadClient.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace teaselhitch;
using namespace teaselhitch::standin;

namespace {

using boost::beast::http::verb;

/// Work time that is longer than any test, so that the work never completes.
constexpr Duration EndlessWork = Duration::seconds(86400);
/// Time limit of calls that are expected to be answered.
constexpr Duration AnswerTimeout = Duration::seconds(60);
/// Time limit of calls that are never answered.
constexpr Duration NoAnswerTimeout(50);

HttpRequest makeRequest(verb Method, const std::string &Target,
                        const std::string &Body = "") {
  HttpRequest Request;
  Request.method(Method);
  Request.target(Target);
  Request.body() = Body;
  return Request;
}

/// The event loop that all servers and clients of a test share, run on the
/// test's thread.
class EventLoop {
public:
  boost::asio::io_context Context{1};

  /// Sends a request and runs the event loop until the call ends.
  CallResult call(HttpClient &Caller, HttpRequest Request,
                  Duration Timeout = AnswerTimeout) {
    std::optional<CallResult> Ended;
    Caller.call(std::move(Request), Timeout,
                [&](CallResult Result) { Ended = std::move(Result); });
    while (!Ended)
      Context.run_one();
    return std::move(*Ended);
  }

  /// Polls a backend server's statistics until Member has Value.
  void waitFor(HttpClient &Caller, const char *Member, int Value) {
    for (;;) {
      auto Ended = call(Caller, makeRequest(verb::get, "/standin/runs"));
      auto Parsed = boost::json::parse(Ended.Answer.body());
      if (Parsed.at(Member).to_number<int>() == Value)
        return;
    }
  }
};

Endpoint listen(HttpServer &Server) {
  return handleError(
      [&] {
        return Server.listen({"127.0.0.1", 0});
      },
      [](const Error &) { return Endpoint(); });
}

/// A backend server that sends its announcements to Listener.
class Backend {
public:
  Backend(EventLoop &Events, Duration Work, HttpServer::Handler Announced)
      : Listener(Events.Context, std::move(Announced)) {
    BackendSettings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.Announce = listen(Listener);
    Settings.Name = "b1";
    Settings.Service = "sheets";
    Settings.Slots = 1;
    Settings.Incarnation = 5;
    Settings.Work = Work;
    Server = std::make_unique<BackendServer>(Events.Context, Settings);
    Address = handleError([&] { return Server->start(); },
                          [](const Error &) { return Endpoint(); });
  }

  HttpServer Listener;
  std::unique_ptr<BackendServer> Server;
  Endpoint Address;
};

void ignoreAnnouncement(const ExchangePtr &Current) {
  Current->answer(makeResponse(204));
}

class StandInTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(StandInTest);
  CPPUNIT_TEST(refusesRequestsBeyondItsSlots);
  CPPUNIT_TEST(closedConnectionFreesTheSlot);
  CPPUNIT_TEST(silentFaultKeepsConnectionsOpen);
  CPPUNIT_TEST(drainFinishesRequestInProgress);
  CPPUNIT_TEST(announcementHasExpectedFormat);
  CPPUNIT_TEST(unknownPaidRequestIsRepeatedOnce);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a stand-in that runs more requests than it has slots, or
  /// that refuses a request without the outcome not-run.
  void refusesRequestsBeyondItsSlots() {
    EventLoop Events;
    Backend Fixture(Events, EndlessWork, ignoreAnnouncement);
    HttpClient Caller(Events.Context, Fixture.Address);
    Caller.call(makeRequest(verb::get, "/x"), AnswerTimeout,
                [](const CallResult &) {});
    Events.waitFor(Caller, "in_progress", 1);
    auto Ended = Events.call(Caller, makeRequest(verb::get, "/x"));
    CPPUNIT_ASSERT_EQUAL(503U, Ended.Answer.result_int());
    CPPUNIT_ASSERT_EQUAL(std::string("not-run"),
                         std::string(Ended.Answer["Teaselhitch-Outcome"]));
  }

  /// Guards against cancelled requests that keep occupying their slots.
  void closedConnectionFreesTheSlot() {
    EventLoop Events;
    Backend Fixture(Events, EndlessWork, ignoreAnnouncement);
    HttpClient Caller(Events.Context, Fixture.Address);
    boost::asio::ip::tcp::socket Socket(Events.Context);
    Socket.connect({boost::asio::ip::make_address(Fixture.Address.Address),
                    Fixture.Address.Port});
    boost::asio::write(
        Socket, boost::asio::buffer(std::string("GET /x HTTP/1.1\r\n\r\n")));
    Events.waitFor(Caller, "in_progress", 1);
    Socket.close();
    Events.waitFor(Caller, "cancelled", 1);
    Events.waitFor(Caller, "in_progress", 0);
  }

  /// Guards against a fault `silent` that closes connections, which is easy to
  /// detect, instead of leaving them open and unresponsive.
  void silentFaultKeepsConnectionsOpen() {
    EventLoop Events;
    Backend Fixture(Events, Duration(), ignoreAnnouncement);
    HttpClient ReusedCaller(Events.Context, Fixture.Address);
    HttpClient NewCaller(Events.Context, Fixture.Address);
    Events.call(ReusedCaller, makeRequest(verb::get, "/x"));
    auto FaultReply =
        Events.call(NewCaller, makeRequest(verb::put, "/standin/faults",
                                           "{\"mode\":\"silent\"}"));
    CPPUNIT_ASSERT_EQUAL(204U, FaultReply.Answer.result_int());
    auto Ended = Events.call(ReusedCaller, makeRequest(verb::get, "/x"),
                             NoAnswerTimeout);
    CPPUNIT_ASSERT(Ended.Reused);
    CPPUNIT_ASSERT_EQUAL(std::string("timed-out"), Ended.Problem);
    Ended = Events.call(ReusedCaller, makeRequest(verb::get, "/x"));
    CPPUNIT_ASSERT(!Ended.Reused);
    CPPUNIT_ASSERT_EQUAL(200U, Ended.Answer.result_int());
  }

  /// Guards against a drain that aborts the request in progress. The request
  /// must run until its deadline.
  void drainFinishesRequestInProgress() {
    EventLoop Events;
    Backend Fixture(Events, EndlessWork, ignoreAnnouncement);
    HttpClient Caller(Events.Context, Fixture.Address);
    HttpRequest Request = makeRequest(verb::get, "/x");
    Request.set("Teaselhitch-Deadline-Ms", "50");
    unsigned Status = 0;
    Caller.call(
        std::move(Request), AnswerTimeout,
        [&](const CallResult &Result) { Status = Result.Answer.result_int(); });
    Events.waitFor(Caller, "max_in_progress", 1);
    Fixture.Server->drain();
    Events.Context.run();
    CPPUNIT_ASSERT_EQUAL(504U, Status);
  }

  /// Guards against announcements in a format that a node refuses.
  void announcementHasExpectedFormat() {
    EventLoop Events;
    std::string Body;
    Backend Fixture(Events, EndlessWork, [&](const ExchangePtr &Current) {
      Body = Current->request().body();
      Current->answer(makeResponse(204));
    });
    while (Body.empty())
      Events.Context.run_one();
    CPPUNIT_ASSERT_EQUAL(
        "{\"name\":\"b1\",\"service\":\"sheets\",\"address\":\"" +
            toString(Fixture.Address) +
            "\",\"slots\":1,\"incarnation\":5,\"state\":\"ready\","
            "\"load\":0E0}",
        Body);
  }

  /// Handler of a simulated node: grants a key and then answers the requests
  /// with Outcomes in order. "cut" closes the connection without an answer.
  static HttpServer::Handler
  nodeHandler(const std::vector<std::string> &Outcomes) {
    auto Next = std::make_shared<std::size_t>(0);
    return [Next, Outcomes](const ExchangePtr &Current) {
      const HttpRequest &Request = Current->request();
      if (Request.target() == "/.teaselhitch/keys?service=bookings")
        return Current->answer(makeResponse(
            201, "{\"key\":\"guard-key\",\"expires_in_ms\":600000}"));
      const std::string &Outcome = Outcomes.at((*Next)++);
      if (Outcome == "cut")
        return Current->drop();
      HttpResponse Response = makeResponse(
          200, "{\"request_id\":\"r\",\"nonce\":\"" +
                   standin::headerOf(Request, "Standin-Nonce") + "\"}");
      Response.set("Teaselhitch-Request-Id", "r");
      Response.set("Teaselhitch-Outcome", Outcome);
      Current->answer(std::move(Response));
    };
  }

  /// Returns the tries that the load client records for one paid request when
  /// the node answers with Outcomes.
  static std::string recordTries(const std::vector<std::string> &Outcomes) {
    EventLoop Events;
    HttpServer Node(Events.Context, nodeHandler(Outcomes));
    LoadSettings Settings;
    Settings.Nodes = {listen(Node)};
    Settings.Plan.Paid = {{"/bookings", "bookings"}};
    Settings.Plan.Rate = 1000;
    // With this seed, exactly one request starts within the run time.
    Settings.RunTime = Duration(0.9);
    Settings.Deadline = AnswerTimeout;
    Settings.Seed = 3;
    std::ostringstream Records;
    LoadClient Client(Events.Context, Settings, Records);
    Client.start();
    while (Client.summary().toJson().at("requests").as_uint64() == 0)
      Events.Context.run_one();
    std::string Text;
    std::istringstream Lines(Records.str());
    for (std::string Line; std::getline(Lines, Line);) {
      auto Record = handleError([&] { return parseTryRecord(Line); },
                                [](const Error &) { return TryRecord(); });
      Text += std::to_string(Record.Try) + " " + Record.Key + " " +
              Record.Outcome + Record.Problem +
              (Record.Matches.value_or(false) ? " own;" : ";");
    }
    return Text;
  }

  /// Guards against a load client that does not repeat paid requests with the
  /// same key after an unknown outcome. The guarantees of the system are about
  /// these repeats.
  void unknownPaidRequestIsRepeatedOnce() {
    CPPUNIT_ASSERT_EQUAL(
        std::string("1 guard-key unknown own;2 guard-key completed own;"),
        recordTries({"unknown", "completed"}));
    CPPUNIT_ASSERT_EQUAL(
        std::string("1 guard-key cut;2 guard-key unknown own;"),
        recordTries({"cut", "unknown"}));
    CPPUNIT_ASSERT_EQUAL(std::string("1 guard-key not-run own;"),
                         recordTries({"not-run"}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandInTest);

} // namespace
