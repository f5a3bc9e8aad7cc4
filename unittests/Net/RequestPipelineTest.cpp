#include "../../lib/Net/RequestPipeline.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace teaselhitch;

namespace {

constexpr std::uint32_t MaxRequests = 3;

ReceivedRequest makeRequest(const std::string &Target, bool KeepAlive = true) {
  ReceivedRequest Received;
  Received.Request.Target = Target;
  Received.KeepAlive = KeepAlive;
  return Received;
}

HttpAnswer makeAnswer(const std::string &Body) {
  return HttpAnswer{200, {}, Body};
}

/// Returns the targets of all requests that may be handled now.
std::string takeAll(RequestPipeline &Pipeline) {
  std::string Targets;
  while (auto Ready = Pipeline.takeReady())
    Targets += Ready->Request.Target;
  return Targets;
}

/// Writes the next response and returns its body, or "none".
std::string writeNext(RequestPipeline &Pipeline) {
  auto Response = Pipeline.startWriting(false);
  if (!Response)
    return "none";
  Pipeline.finishWriting();
  return Response->Answer.Body;
}

class RequestPipelineTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RequestPipelineTest);
  CPPUNIT_TEST(responsesKeepTheOrderOfTheRequests);
  CPPUNIT_TEST(requestsAreBounded);
  CPPUNIT_TEST(deferredRequestRunsAlone);
  CPPUNIT_TEST(cancelReportsHandledRequestsOnly);
  CPPUNIT_TEST(lastResponseOfADrainClosesTheConnection);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a caller that gets the response to a later request as the
  /// one to an earlier request, and against a second response to a request.
  void responsesKeepTheOrderOfTheRequests() {
    RequestPipeline Pipeline(MaxRequests);
    Pipeline.add(makeRequest("a"));
    Pipeline.add(makeRequest("b"));
    std::uint64_t First = Pipeline.takeReady()->Serial;
    std::uint64_t Second = Pipeline.takeReady()->Serial;
    CPPUNIT_ASSERT(Pipeline.answer(Second, makeAnswer("b")));
    CPPUNIT_ASSERT_EQUAL(std::string("none"), writeNext(Pipeline));
    CPPUNIT_ASSERT(Pipeline.answer(First, makeAnswer("a")));
    CPPUNIT_ASSERT(!Pipeline.answer(First, makeAnswer("again")));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), writeNext(Pipeline));
    CPPUNIT_ASSERT(!Pipeline.answer(First, makeAnswer("late")));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), writeNext(Pipeline));
    CPPUNIT_ASSERT(Pipeline.isEmpty());
  }

  /// Guards against memory that a caller can fill by sending requests without
  /// reading the responses.
  void requestsAreBounded() {
    RequestPipeline Pipeline(MaxRequests);
    for (std::uint32_t I = 0; I < MaxRequests; ++I) {
      CPPUNIT_ASSERT(Pipeline.canAdd());
      Pipeline.add(makeRequest("a"));
    }
    CPPUNIT_ASSERT(!Pipeline.canAdd());
    Pipeline.answer(Pipeline.takeReady()->Serial, makeAnswer("a"));
    CPPUNIT_ASSERT(Pipeline.startWriting(false));
    CPPUNIT_ASSERT(!Pipeline.canAdd());
    CPPUNIT_ASSERT(!Pipeline.startWriting(false));
    Pipeline.finishWriting();
    CPPUNIT_ASSERT(Pipeline.canAdd());
    // A request that ends the connection is the last one.
    RequestPipeline Ending(MaxRequests);
    Ending.add(makeRequest("a", /*KeepAlive=*/false));
    CPPUNIT_ASSERT(!Ending.canAdd());
  }

  /// Guards against a request that is not idempotent and runs at the same time
  /// as earlier or later requests of its connection: if the connection is lost
  /// meanwhile, the caller cannot tell which of them ran.
  void deferredRequestRunsAlone() {
    RequestPipeline Pipeline(MaxRequests);
    Pipeline.add(makeRequest("a"));
    Pipeline.add(makeRequest("b"));
    Pipeline.add(makeRequest("c"));
    std::uint64_t First = Pipeline.takeReady()->Serial;
    auto Second = Pipeline.takeReady();
    CPPUNIT_ASSERT(!Pipeline.hasEarlier(First));
    CPPUNIT_ASSERT(Pipeline.hasEarlier(Second->Serial));
    Pipeline.defer(std::move(*Second));
    CPPUNIT_ASSERT_EQUAL(std::string(), takeAll(Pipeline));
    Pipeline.answer(First, makeAnswer("a"));
    CPPUNIT_ASSERT_EQUAL(std::string(), takeAll(Pipeline));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), writeNext(Pipeline));
    auto Again = Pipeline.takeReady();
    CPPUNIT_ASSERT_EQUAL(std::string("b"), Again->Request.Target);
    CPPUNIT_ASSERT(!Pipeline.hasEarlier(Again->Serial));
    Pipeline.holdLater(Again->Serial);
    CPPUNIT_ASSERT_EQUAL(std::string(), takeAll(Pipeline));
    Pipeline.answer(Again->Serial, makeAnswer("b"));
    CPPUNIT_ASSERT_EQUAL(std::string(), takeAll(Pipeline));
    CPPUNIT_ASSERT_EQUAL(std::string("b"), writeNext(Pipeline));
    CPPUNIT_ASSERT_EQUAL(std::string("c"), takeAll(Pipeline));
  }

  /// Guards against requests that keep running after their caller has closed
  /// the connection, and against a notice for one that was not handled or is
  /// answered.
  void cancelReportsHandledRequestsOnly() {
    RequestPipeline Pipeline(MaxRequests);
    std::string Cancelled;
    for (const char *Target : {"a", "b", "c"})
      Pipeline.add(makeRequest(Target));
    for (int I = 0; I < 2; ++I) {
      auto Ready = Pipeline.takeReady();
      Pipeline.onDisconnect(
          Ready->Serial,
          [&Cancelled, T = Ready->Request.Target] { Cancelled += T; });
      if (I == 1)
        Pipeline.answer(Ready->Serial, makeAnswer("b"));
    }
    for (const auto &Function : Pipeline.cancel())
      Function();
    CPPUNIT_ASSERT_EQUAL(std::string("a"), Cancelled);
    CPPUNIT_ASSERT(Pipeline.isEmpty());
    CPPUNIT_ASSERT_EQUAL(std::string(), takeAll(Pipeline));
  }

  /// Guards against a planned stop that drops requests which were received, and
  /// against one that keeps the connection open.
  void lastResponseOfADrainClosesTheConnection() {
    RequestPipeline Pipeline(MaxRequests);
    Pipeline.add(makeRequest("a"));
    Pipeline.add(makeRequest("b"));
    for (int I = 0; I < 2; ++I)
      Pipeline.answer(Pipeline.takeReady()->Serial, makeAnswer("x"));
    CPPUNIT_ASSERT(Pipeline.startWriting(/*IsDraining=*/true)->KeepAlive);
    Pipeline.finishWriting();
    CPPUNIT_ASSERT(!Pipeline.startWriting(/*IsDraining=*/true)->KeepAlive);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestPipelineTest);

} // namespace
