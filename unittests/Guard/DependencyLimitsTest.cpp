#include "../../lib/Guard/DependencyLimits.h"

#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <queue>
#include <vector>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 3;
const RuleName Booking("booking");
constexpr std::size_t Slots = 5;

/// Twenty guards whose requests each make one sub-request to a service that has
/// capacity for only some of them.
class SaturatedFleet {
public:
  explicit SaturatedFleet(double CapacityPerSecond)
      : CapacityPerSecond(CapacityPerSecond) {}

  /// Number of requests started and failed in one second.
  struct Second {
    int Started = 0;
    int Failed = 0;
  };

  Second runSecond(double RequestsPerSecond) {
    Second Result;
    Time End = Now + Duration::seconds(1);
    while (Now < End) {
      Now = Now + Duration(1);
      Capacity = std::min(Capacity + CapacityPerSecond / 1000, 5.0);
      endRuns(Result);
      if (Random.uniform() < RequestsPerSecond / 1000)
        offer(Result);
    }
    return Result;
  }

private:
  struct Guard {
    DependencyLimits Limits;
    std::priority_queue<double, std::vector<double>, std::greater<>> Ends;
  };

  void offer(Second &Result) {
    constexpr int MaxOffers = 5;
    for (int I = 0; I != MaxOffers; ++I) {
      Guard &G = Guards[Random.uniformInt(Guards.size())];
      if (G.Ends.size() >= Slots)
        continue;
      if (!G.Limits.admit(Booking, Now))
        return;
      G.Ends.push((Now + RunTime).ms());
      ++Result.Started;
      return;
    }
  }

  void endRuns(Second &Result) {
    for (Guard &G : Guards)
      while (!G.Ends.empty() && G.Ends.top() <= Now.ms()) {
        G.Ends.pop();
        bool HasCapacity = Capacity >= 1;
        Capacity -= HasCapacity ? 1 : 0;
        Result.Failed += HasCapacity ? 0 : 1;
        G.Limits.subRequestEnded(Booking, !HasCapacity, Now);
      }
  }

  static constexpr Duration RunTime = Duration(400);
  double CapacityPerSecond;
  double Capacity = 0;
  Time Now;
  SeededRandom Random{Seed};
  std::vector<Guard> Guards{20};
};

class DependencyLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DependencyLimitsTest);
  CPPUNIT_TEST(fewRequestsFailUnderCongestion);
  CPPUNIT_TEST(uncongestedServiceIsNotLimited);
  CPPUNIT_TEST(limitEndsAfterBurst);
  CPPUNIT_TEST(minimumShareIsAdmitted);
  CPPUNIT_TEST_SUITE_END();

  /// Load: requests arrive at twice the rate for which the dependency has
  /// capacity for their sub-requests. Without the limit, half of the requests
  /// fail after they have run. With it, at most one in five may fail, while the
  /// capacity is still used.
  void fewRequestsFailUnderCongestion() {
    constexpr double Capacity = 100;
    SaturatedFleet Fleet(Capacity);
    for (int I = 0; I != 3; ++I)
      Fleet.runSecond(2 * Capacity);
    SaturatedFleet::Second Sum;
    constexpr int Seconds = 10;
    for (int I = 0; I != Seconds; ++I) {
      SaturatedFleet::Second Each = Fleet.runSecond(2 * Capacity);
      Sum.Started += Each.Started;
      Sum.Failed += Each.Failed;
    }
    CPPUNIT_ASSERT(5 * Sum.Failed <= Sum.Started);
    CPPUNIT_ASSERT(Sum.Started - Sum.Failed >= 0.8 * Capacity * Seconds);
  }

  /// Guards against a limit while capacity is available.
  void uncongestedServiceIsNotLimited() {
    SaturatedFleet Fleet(1000);
    for (int I = 0; I != 5; ++I) {
      SaturatedFleet::Second Each = Fleet.runSecond(200);
      CPPUNIT_ASSERT(Each.Started >= 160);
      CPPUNIT_ASSERT_EQUAL(0, Each.Failed);
    }
  }

  /// Guards against a limit that remains after a burst.
  void limitEndsAfterBurst() {
    DependencyLimits Limits;
    refuseRepeatedly(Limits);
    CPPUNIT_ASSERT(countAdmitted(100, Limits, Last) <= 30);
    CPPUNIT_ASSERT(countAdmitted(100, Limits, Last + Duration::seconds(3)) >=
                   40);
    CPPUNIT_ASSERT_EQUAL(
        100, countAdmitted(100, Limits, Last + Duration::seconds(6)));
  }

  /// Guards against a rule that admits no request, which could never show that
  /// capacity is available again.
  void minimumShareIsAdmitted() {
    DependencyLimits Limits;
    refuseRepeatedly(Limits);
    CPPUNIT_ASSERT(countAdmitted(100, Limits, Last) >= 5);
  }

  static void refuseRepeatedly(DependencyLimits &Limits) {
    for (Time Now; Now <= Last; Now = Now + Duration(300))
      Limits.subRequestEnded(Booking, true, Now);
  }

  static int countAdmitted(int Requests, DependencyLimits &Limits, Time Now) {
    int Admitted = 0;
    for (int I = 0; I != Requests; ++I)
      Admitted += Limits.admit(Booking, Now) ? 1 : 0;
    return Admitted;
  }

  static constexpr Time Last = Time(9000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(DependencyLimitsTest);

} // namespace
