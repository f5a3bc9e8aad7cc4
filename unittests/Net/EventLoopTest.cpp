#include "teaselhitch/Net/EventLoop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <stdexcept>

using namespace teaselhitch;

namespace {

class EventLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventLoopTest);
  CPPUNIT_TEST(failedHandlerKeepsLoopRunning);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against one unexpected error that ends the whole process.
  void failedHandlerKeepsLoopRunning() {
    EventLoop Loop;
    int Calls = 0;
    Loop.post([] { throw std::length_error("too long"); });
    Loop.post([] { throw std::bad_alloc(); });
    Loop.schedulePeriodic(Duration(1), [&] {
      if (++Calls == 3)
        return Loop.stop();
      throw std::runtime_error("unexpected");
    });
    Loop.schedule(Duration(2000), [&] { Loop.stop(); });
    Loop.run();
    CPPUNIT_ASSERT_EQUAL(3, Calls);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);

} // namespace
