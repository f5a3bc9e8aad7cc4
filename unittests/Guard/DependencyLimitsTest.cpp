#include "../../lib/Guard/DependencyLimits.h"

#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <queue>
#include <vector>

using namespace teaselhitch;

namespace {

constexpr std::uint64_t Seed = 3;
const RuleName Booking("booking");
constexpr std::size_t Slots = 5;

/// Guards whose requests each make one sub-request to a service that has
/// capacity for only some of them.
class SaturatedFleet {
public:
  /// \param Burst number of sub-requests that the queues of the called service
  /// can absorb at once.
  explicit SaturatedFleet(double CapacityPerSecond, std::size_t Count = 20,
                          double Burst = 5)
      : CapacityPerSecond(CapacityPerSecond), Burst(Burst), Guards(Count) {}

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
      Capacity = std::min(Capacity + CapacityPerSecond / 1000, Burst);
      endRuns(Result);
      // At most one request in each tenth of a millisecond.
      for (int I = 0; I != 10; ++I)
        if (Random.uniform() < RequestsPerSecond / 10000)
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
    RequestId Request{NodeName("e"), 1, ++LastSequence};
    for (int I = 0; I != MaxOffers; ++I) {
      Guard &G = Guards[Random.uniformInt(Guards.size())];
      if (G.Ends.size() >= Slots)
        continue;
      if (!G.Limits.admit(Booking, Request, Now))
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
  double Burst;
  double Capacity = 0;
  std::uint64_t LastSequence = 0;
  Time Now;
  SeededRandom Random{Seed};
  std::vector<Guard> Guards;
};

class DependencyLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DependencyLimitsTest);
  CPPUNIT_TEST(fewRequestsFailUnderCongestion);
  CPPUNIT_TEST(uncongestedServiceIsNotLimited);
  CPPUNIT_TEST(limitEndsAfterBurst);
  CPPUNIT_TEST(minimumShareIsAdmitted);
  CPPUNIT_TEST(thinEvidenceLimitsLittle);
  CPPUNIT_TEST(offersDoNotMultiplyTheLimit);
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

  /// Pattern: 173 guards that each see a few sub-requests per second, and a
  /// called service whose capacity is a tenth too small. Guards against limits
  /// that each answer a single refusal with a cut and together refuse far more
  /// requests than the missing capacity.
  void thinEvidenceLimitsLittle() {
    constexpr double Capacity = 900;
    constexpr double Rate = 1000;
    SaturatedFleet Fleet(Capacity, 173, 200);
    for (int I = 0; I != 5; ++I)
      Fleet.runSecond(Rate);
    SaturatedFleet::Second Sum;
    constexpr int Seconds = 10;
    for (int I = 0; I != Seconds; ++I) {
      SaturatedFleet::Second Each = Fleet.runSecond(Rate);
      Sum.Started += Each.Started;
      Sum.Failed += Each.Failed;
    }
    std::string Figures = std::to_string(Sum.Started) + " started, " +
                          std::to_string(Sum.Failed) + " failed";
    // Nine in ten can be served; nearly all of these are.
    CPPUNIT_ASSERT_MESSAGE(Figures, Sum.Started - Sum.Failed >=
                                        0.95 * Capacity * Seconds);
  }

  /// Pattern: a service with many busy guards, where a request is offered to
  /// several of them before one has a free slot. Each guard refuses a tenth.
  /// Guards against a request that has to pass the limit at each guard, so that
  /// five offers refuse four in ten requests.
  void offersDoNotMultiplyTheLimit() {
    std::vector<DependencyLimits> Guards(5);
    constexpr int Requests = 1000;
    for (DependencyLimits &Limits : Guards)
      for (int I = 0; I != 100; ++I)
        Limits.subRequestEnded(Booking, I % 25 == 0, Time(1000));
    int Admitted = 0;
    for (int I = 0; I != Requests; ++I)
      Admitted +=
          std::all_of(Guards.begin(), Guards.end(),
                      [&](DependencyLimits &Limits) {
                        return Limits.admit(Booking, request(I), Time(1000));
                      })
              ? 1
              : 0;
    CPPUNIT_ASSERT(Admitted >= 0.85 * Requests);
    CPPUNIT_ASSERT(Admitted <= 0.95 * Requests);
  }

  static void refuseRepeatedly(DependencyLimits &Limits) {
    for (Time Now; Now <= Last; Now = Now + Duration(300))
      Limits.subRequestEnded(Booking, true, Now);
  }

  static RequestId request(int I) {
    return {NodeName("e"), 1, static_cast<std::uint64_t>(I)};
  }

  static int countAdmitted(int Requests, DependencyLimits &Limits, Time Now) {
    int Admitted = 0;
    for (int I = 0; I != Requests; ++I)
      Admitted += Limits.admit(Booking, request(I), Now) ? 1 : 0;
    return Admitted;
  }

  static constexpr Time Last = Time(9000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(DependencyLimitsTest);

} // namespace
