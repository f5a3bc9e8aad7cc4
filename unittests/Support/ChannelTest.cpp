#include "teaselhitch/Support/Channel.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

using namespace teaselhitch;

namespace {

class ChannelTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ChannelTest);
  CPPUNIT_TEST(fullRingRefusesAndKeepsMessage);
  CPPUNIT_TEST(wakesOnceUntilDrained);
  CPPUNIT_TEST(throwingHandlerLosesNothing);
  CPPUNIT_TEST(keepsOrderBetweenThreads);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against the loss of a message that is sent while the ring buffer is
  /// full.
  void fullRingRefusesAndKeepsMessage() {
    Channel<std::unique_ptr<int>> Ring(1);
    CPPUNIT_ASSERT(Ring.trySend(std::make_unique<int>(1)));
    auto Second = std::make_unique<int>(2);
    CPPUNIT_ASSERT(!Ring.trySend(Second));
    CPPUNIT_ASSERT(Second && *Second == 2);
  }

  /// Guards against a wake-up for every message, and against a missing wake-up
  /// for the first message after drain().
  void wakesOnceUntilDrained() {
    Channel<int> Ring(8);
    int Wakes = 0;
    Ring.setWakeCallback([&] { ++Wakes; });
    CPPUNIT_ASSERT(Ring.trySend(1));
    CPPUNIT_ASSERT(Ring.trySend(2));
    CPPUNIT_ASSERT_EQUAL(1, Wakes);
    int Sum = 0;
    Ring.drain([&](int V) { Sum += V; });
    CPPUNIT_ASSERT_EQUAL(3, Sum);
    CPPUNIT_ASSERT(Ring.trySend(3));
    CPPUNIT_ASSERT_EQUAL(2, Wakes);
  }

  /// Guards against a handler that throws and thereby leads to a second use of
  /// a message that is freed already, or to the loss of the messages after it.
  void throwingHandlerLosesNothing() {
    Channel<std::string> Ring(8);
    int Wakes = 0;
    Ring.setWakeCallback([&] { ++Wakes; });
    for (const char *Text : {"a", "b", "c"})
      CPPUNIT_ASSERT(Ring.trySend(Text));
    std::string Handled;
    auto Handle = [&](const std::string &Text) {
      Handled += Text;
      if (Text == "b")
        throw std::invalid_argument(Text);
    };
    CPPUNIT_ASSERT_THROW(Ring.drain(Handle), std::invalid_argument);
    CPPUNIT_ASSERT_EQUAL(2, Wakes);
    Ring.drain(Handle);
    CPPUNIT_ASSERT_EQUAL(std::string("abc"), Handled);
  }

  /// Guards against messages that are reordered or lost between the producer
  /// thread and the consumer thread.
  void keepsOrderBetweenThreads() {
    constexpr int Count = 20000;
    Channel<int> Ring(64);
    std::thread Producer([&] {
      for (int I = 0; I != Count; ++I)
        while (!Ring.trySend(I))
          std::this_thread::yield();
    });
    int Next = 0;
    bool InOrder = true;
    while (Next != Count)
      Ring.drain([&](int V) { InOrder = InOrder && V == Next++; });
    Producer.join();
    CPPUNIT_ASSERT(InOrder);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ChannelTest);

} // namespace
