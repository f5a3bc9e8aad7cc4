#include "../../tools/teaselhitch-bench/LimitsBench.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace teaselhitch;

namespace {

/// Bounds of the target: goodput at overload, time of a refusal, and how much
/// of its load an organisation that keeps to its share gets through.
constexpr double MinGoodput = 0.95;
constexpr double MaxRefusalMs = 5;
constexpr double MinServed = 0.90;

class OverloadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OverloadTest);
  CPPUNIT_TEST(goodputHoldsAndSharesAreKept);
  CPPUNIT_TEST(tableShowsStarvation);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against goodput that collapses under overload, against refusals
  /// that come late, and against an organisation that starves others.
  void goodputHoldsAndSharesAreKept() {
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

  /// Guards against a trial that cannot see starvation: without shares it must
  /// show it.
  void tableShowsStarvation() {
    OverloadOptions Options;
    Options.Length = Duration::seconds(20);
    Options.KnownOrganisations = false;
    CPPUNIT_ASSERT(runOverload(LoadMix::OneNoisy, 10, Options).WorstServed <
                   MinServed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);

} // namespace
