#include "teaselhitch/Entry/RetryBudget.h"

#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 11;
constexpr std::uint32_t Percent = 20;
const Duration Window = Duration::seconds(10);

class RetryBudgetTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RetryBudgetTest);
  CPPUNIT_TEST(consecutiveFailuresAreRetried);
  CPPUNIT_TEST(noWindowExceedsItsShare);
  CPPUNIT_TEST(fleetStaysWithinItsAllowance);
  CPPUNIT_TEST(unavoidableRetriesArePaidFor);
  CPPUNIT_TEST_SUITE_END();

  /// After a period without failures, a node with few requests must be able to
  /// retry when several backend servers hang within a second.
  void consecutiveFailuresAreRetried() {
    RetryBudget Budget;
    Budget.setAllowance(RetryBudget::nodeAllowance(200, Window, 100, 0));
    Time Now;
    constexpr int Requests = 25;
    for (int I = 0; I != Requests; ++I) {
      Now = Now + Duration(400);
      Budget.recordRequest(Percent, Now);
    }
    for (int I = 0; I != Requests * 20 / 100; ++I)
      CPPUNIT_ASSERT(Budget.tryRetry(Now));
  }

  /// When all requests fail, no window of ten seconds, whatever its start, may
  /// contain more retries than its share of the requests plus the fixed
  /// allowance.
  void noWindowExceedsItsShare() {
    SeededRandom Random(Seed);
    constexpr double Fixed = 4;
    RetryBudget Budget;
    Budget.setAllowance(RetryBudget::nodeAllowance(Fixed * 50, Window, 50, 0));
    std::vector<Time> Requests;
    std::vector<Time> Retries;
    Time Now;
    for (int I = 0; I != 4000; ++I) {
      bool IsBurst = I / 500 % 2 == 1;
      Now = Now + Duration(Random.uniform() * (IsBurst ? 20 : 300));
      Budget.recordRequest(Percent, Now);
      Requests.push_back(Now);
      while (Budget.tryRetry(Now))
        Retries.push_back(Now);
    }
    const auto CountIn = [](const std::vector<Time> &Times, Time End) {
      return std::count_if(Times.begin(), Times.end(), [&](Time T) {
        return T <= End && End - T <= Window;
      });
    };
    for (std::size_t I = 0; I < Retries.size(); I += 7) {
      double Allowed =
          Fixed + 0.2 * static_cast<double>(CountIn(Requests, Retries[I]));
      CPPUNIT_ASSERT(static_cast<double>(CountIn(Retries, Retries[I])) <=
                     Allowed + 1e-9);
    }
  }

  /// Pattern: all entries of a large fleet, each with few requests, meet
  /// failures within one window. Guards against nodes that each round their
  /// part of the fixed allowance up to one retry.
  void fleetStaysWithinItsAllowance() {
    struct Case {
      double FleetRetries;
      std::size_t Nodes;
    };
    const Case Cases[] = {{630, 354}, {24.2, 30}, {12, 24}, {1, 354},
                          {0, 30},    {0.4, 3},   {160, 71}};
    for (const Case &C : Cases) {
      int Retries = 0;
      for (std::size_t Rank = 0; Rank != C.Nodes; ++Rank) {
        RetryBudget Budget;
        Budget.setAllowance(
            RetryBudget::nodeAllowance(C.FleetRetries, Window, C.Nodes, Rank));
        for (int Ms = 0; Ms <= 10000; Ms += 100)
          while (Budget.tryRetry(Time(1e6 + Ms)))
            ++Retries;
      }
      CPPUNIT_ASSERT(Retries <= C.FleetRetries);
      // The allowance is used, not withheld.
      CPPUNIT_ASSERT(Retries >= 2 * (static_cast<int>(C.FleetRetries) / 2) - 1);
    }
  }

  /// Guards against a budget that grants its full share in addition to repeats
  /// that other decisions have caused.
  void unavoidableRetriesArePaidFor() {
    RetryBudget Budget;
    Budget.setAllowance(RetryBudget::nodeAllowance(0, Window, 1, 0));
    Time Now(1e6);
    for (int I = 0; I != 100; ++I)
      Budget.recordRequest(Percent, Now);
    for (int I = 0; I != 12; ++I)
      Budget.recordUnavoidableRetry(Now);
    int Retries = 0;
    while (Budget.tryRetry(Now))
      ++Retries;
    CPPUNIT_ASSERT_EQUAL(8, Retries);
    for (int I = 0; I != 5; ++I)
      Budget.recordUnavoidableRetry(Now);
    for (int I = 0; I != 25; ++I)
      Budget.recordRequest(Percent, Now);
    CPPUNIT_ASSERT(!Budget.tryRetry(Now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryBudgetTest);

} // namespace
