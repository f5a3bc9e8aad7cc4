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

/// Twenty guards whose requests each make one sub-request to a service that
/// has room for a part of them.
class Saturated {
public:
  explicit Saturated(double RoomPerSecond) : RoomPerSecond(RoomPerSecond) {}

  /// Started and failed requests of one second.
  struct Second {
    int Started = 0;
    int Failed = 0;
  };

  Second play(double RequestsPerSecond) {
    Second Result;
    Time End = Now + Duration::seconds(1);
    while (Now < End) {
      Now = Now + Duration(1);
      Room = std::min(Room + RoomPerSecond / 1000, 5.0);
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
    constexpr int Offers = 5;
    for (int I = 0; I != Offers; ++I) {
      Guard &G = Guards[Random.below(Guards.size())];
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
        bool HasRoom = Room >= 1;
        Room -= HasRoom ? 1 : 0;
        Result.Failed += HasRoom ? 0 : 1;
        G.Limits.subRequestEnded(Booking, !HasRoom, Now);
      }
  }

  static constexpr Duration RunTime = Duration(400);
  double RoomPerSecond;
  double Room = 0;
  Time Now;
  SeededRandom Random{Seed};
  std::vector<Guard> Guards{20};
};

class DependencyLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(DependencyLimitsTest);
  CPPUNIT_TEST(fewRequestsFailForWantOfRoom);
  CPPUNIT_TEST(calmServiceIsNotLimited);
  CPPUNIT_TEST(limitEndsAfterTheLoad);
  CPPUNIT_TEST(someAreAlwaysAdmitted);
  CPPUNIT_TEST_SUITE_END();

  /// Load: requests come twice as fast as the service behind has room for
  /// their sub-requests. Without the limit half of them fail after they have
  /// run; at most one in five may, while the room is used.
  void fewRequestsFailForWantOfRoom() {
    constexpr double Room = 100;
    Saturated Fleet(Room);
    for (int I = 0; I != 3; ++I)
      Fleet.play(2 * Room);
    Saturated::Second Sum;
    constexpr int Seconds = 10;
    for (int I = 0; I != Seconds; ++I) {
      Saturated::Second Each = Fleet.play(2 * Room);
      Sum.Started += Each.Started;
      Sum.Failed += Each.Failed;
    }
    CPPUNIT_ASSERT(5 * Sum.Failed <= Sum.Started);
    CPPUNIT_ASSERT(Sum.Started - Sum.Failed >= 0.8 * Room * Seconds);
  }

  /// Guards against a limit where there is room.
  void calmServiceIsNotLimited() {
    Saturated Fleet(1000);
    for (int I = 0; I != 5; ++I) {
      Saturated::Second Each = Fleet.play(200);
      CPPUNIT_ASSERT(Each.Started >= 160);
      CPPUNIT_ASSERT_EQUAL(0, Each.Failed);
    }
  }

  /// Guards against a service that stays closed after a burst.
  void limitEndsAfterTheLoad() {
    DependencyLimits Limits;
    refuseForLong(Limits);
    CPPUNIT_ASSERT(admittedOf(100, Limits, Last) <= 30);
    CPPUNIT_ASSERT(admittedOf(100, Limits, Last + Duration::seconds(3)) >= 40);
    CPPUNIT_ASSERT_EQUAL(100,
                         admittedOf(100, Limits, Last + Duration::seconds(6)));
  }

  /// Guards against a rule that gets no chance to show that there is room.
  void someAreAlwaysAdmitted() {
    DependencyLimits Limits;
    refuseForLong(Limits);
    CPPUNIT_ASSERT(admittedOf(100, Limits, Last) >= 5);
  }

  static void refuseForLong(DependencyLimits &Limits) {
    for (Time Now; Now <= Last; Now = Now + Duration(300))
      Limits.subRequestEnded(Booking, true, Now);
  }

  static int admittedOf(int Requests, DependencyLimits &Limits, Time Now) {
    int Admitted = 0;
    for (int I = 0; I != Requests; ++I)
      Admitted += Limits.admit(Booking, Now) ? 1 : 0;
    return Admitted;
  }

  static constexpr Time Last = Time(9000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(DependencyLimitsTest);

} // namespace
