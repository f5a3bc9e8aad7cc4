#include "../../tools/teaselhitch-bench/LimitsBench.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

/// Target bounds: goodput under overload, time until a refusal, and the served
/// part of the load of an organisation that stays within its share.
constexpr double MinGoodput = 0.95;
constexpr double MaxRefusalMs = 5;
constexpr double MinServed = 0.90;

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(goodputAndSharesHoldUnderOverload);
  CPPUNIT_TEST(starvationIsDetectedWithoutShares);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against goodput that collapses under overload, against late
  /// refusals, and against an organisation that starves others.
  void goodputAndSharesHoldUnderOverload() {
    OverloadOptions Options;
    Options.Length = Duration::seconds(20);
    for (Options.Seed = 1; Options.Seed != 4; ++Options.Seed)
      for (const OverloadRow &R : runOverloadTable(Options)) {
        std::string Text = overloadTableText({R});
        CPPUNIT_ASSERT_MESSAGE(Text, R.Goodput >= MinGoodput);
        CPPUNIT_ASSERT_MESSAGE(Text, R.SlowestRefusal.ms() <= MaxRefusalMs);
        CPPUNIT_ASSERT_MESSAGE(Text, R.WorstServed >= MinServed);
      }
  }

  /// Guards against a simulation that cannot detect starvation: without shares,
  /// it must show starvation.
  void starvationIsDetectedWithoutShares() {
    OverloadOptions Options;
    Options.Length = Duration::seconds(20);
    Options.KnownOrganisations = false;
    CPPUNIT_ASSERT(runOverload(LoadMix::OneNoisy, 10, Options).WorstServed <
                   MinServed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
