#include "GuardFixture.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <optional>
#include <set>

using namespace teaselhitch;

namespace {

/// Random events for one guard, and a check of each action. The first broken
/// rule is in Broken.
class InvariantRun {
public:
  /// Changes actions before they are checked, to plant a fault.
  using Fault = std::function<void(GuardActions &)>;

  InvariantRun(std::uint64_t Seed, Fault Planted)
      : Random(Seed), Planted(std::move(Planted)) {}

  std::string run(unsigned Steps) {
    for (unsigned I = 0; I != Steps && Broken.empty(); ++I)
      step();
    take(F.G->drain(F.Now));
    for (unsigned I = 0; I != 200; ++I) {
      F.Now = F.Now + Duration(50);
      take(F.G->tick(F.Now));
      while (!Running.empty())
        finish(Running.begin()->first, RunEnd::Answered);
    }
    check(Waiting.empty(), "an attempt is lost");
    check(F.G->isIdle(), "not idle after the drain");
    return Broken;
  }

private:
  void check(bool Holds, const char *Rule) {
    if (!Holds && Broken.empty())
      Broken = Rule;
  }

  void step() {
    switch (Random.below(12)) {
    case 0:
      return announce();
    case 1:
      return take(F.G->setHealth(
          server(), static_cast<BackendServerHealth>(Random.below(3)),
          static_cast<std::uint32_t>(1 + Random.below(100)), F.Now));
    case 2:
      return take(F.G->cancel(F.id(1 + Random.below(Sequence + 1)), F.Now));
    case 3:
      Keys.push_back(F.G->mintKey({1, ServiceName("s")}, F.Now).Key);
      return F.G->crashMark({1 + Random.below(9), Random.below(9),
                             ServiceName("s"), Random.below(4) == 0},
                            F.Now);
    case 4:
    case 5:
      F.Now = F.Now + Duration(Random.uniform() * 50);
      take(F.G->tick(F.Now));
      for (const auto &[Id, Deadline] : Waiting)
        check(Deadline > F.Now, "an expired attempt waits");
      return;
    case 6:
    case 7:
    case 8:
      if (!Running.empty())
        finish(std::next(Running.begin(), static_cast<std::ptrdiff_t>(
                                              Random.below(Running.size())))
                   ->first,
               static_cast<RunEnd>(Random.below(8)));
      return;
    default:
      return dispatch();
    }
  }

  BackendServerName server() {
    return BackendServerName("w" + std::to_string(Random.below(4)));
  }

  void announce() {
    BackendServerName Name = server();
    Announcement &A = Servers[Name];
    bool Restart = A.Incarnation == 0 || Random.below(8) == 0;
    std::uint64_t Incarnation = A.Incarnation + (Restart ? 1 : 0);
    A = F.announcement(Name.str(),
                       1 + static_cast<std::uint32_t>(Random.below(3)),
                       Incarnation);
    if (Random.below(6) == 0)
      A.State = static_cast<BackendServerState>(Random.below(3));
    take(F.announce(A));
  }

  void dispatch() {
    DispatchInfo I = F.info(++Sequence, Random.below(2) == 0 ? "a" : "c");
    I.Preferred = server();
    I.Idempotent = Random.below(2) == 0;
    I.Paid = Random.below(4) == 0;
    I.Remaining = Duration(Random.uniform() * 400);
    I.Fingerprint = Random.below(30);
    if (!Keys.empty() && Random.below(3) == 0)
      I.GuardKey = Keys[Random.below(Keys.size())];
    Waiting[Sequence] = F.Now + I.Remaining;
    KeyOf[Sequence] = I.GuardKey;
    // A message that arrives twice must change nothing.
    GuardActions First = F.dispatch(I);
    bool Live = only<AttemptFailed>(First).empty();
    take(std::move(First));
    if (Live)
      take(F.dispatch(I));
  }

  void finish(std::uint64_t Id, RunEnd End) {
    --InProgress[Running.at(Id)];
    Running.erase(Id);
    bool IsProof = End == RunEnd::Shed || End == RunEnd::ConnectFailed ||
                   End == RunEnd::OtherServer;
    MayBeNotRun = IsProof ? Id : 0;
    Ended.insert(Id);
    take(F.finish(Id, End));
    MayBeNotRun = 0;
  }

  void take(GuardActions Actions) {
    if (Planted)
      Planted(Actions);
    for (const StartAttempt &S : only<StartAttempt>(Actions))
      started(S.Attempt.Request.Sequence, S.Server);
    for (const AttemptFailed &Failed : only<AttemptFailed>(Actions))
      failed(Failed);
    for (const AbortAttempt &A : only<AbortAttempt>(Actions)) {
      std::uint64_t Id = A.Attempt.Request.Sequence;
      check(Running.count(Id) != 0, "an attempt is aborted that does not run");
      check(Aborted.insert(Id).second, "an attempt is aborted twice");
    }
  }

  void started(std::uint64_t Id, const BackendServerName &Name) {
    check(Waiting.erase(Id) == 1, "an attempt starts twice or after refusal");
    Running[Id] = Name;
    check(++InProgress[Name] <= Servers[Name].Slots, "slots are exceeded");
    check(Servers[Name].State == BackendServerState::Ready,
          "an attempt starts on a server that is not ready");
    const std::string &Key = KeyOf[Id];
    check(Key.empty() || UsedKeys.insert(Key).second, "a key starts twice");
  }

  void failed(const AttemptFailed &Failed) {
    std::uint64_t Id = Failed.Attempt.Request.Sequence;
    bool NotRun = Failed.Result == Outcome::NotRun;
    check(Failed.Result == reasonInfo(Failed.Why).Result,
          "reason and outcome differ");
    check(Reported.insert(Id).second, "an attempt is reported twice");
    if (Waiting.erase(Id) == 1) {
      bool KeyRefused = !KeyOf[Id].empty() && !NotRun;
      check(NotRun || KeyRefused, "a refusal claims that it may have run");
      return;
    }
    check(Running.count(Id) != 0 || Ended.count(Id) != 0,
          "a report of an unknown attempt");
    check(!NotRun || Id == MayBeNotRun, "not-run after a start");
  }

  GuardFixture F;
  SeededRandom Random;
  Fault Planted;
  std::uint64_t Sequence = 0;
  std::uint64_t MayBeNotRun = 0;
  std::map<BackendServerName, Announcement> Servers;
  std::map<BackendServerName, std::uint32_t> InProgress;
  std::map<std::uint64_t, Time> Waiting;
  std::map<std::uint64_t, BackendServerName> Running;
  std::map<std::uint64_t, std::string> KeyOf;
  std::set<std::uint64_t> Reported;
  std::set<std::uint64_t> Aborted;
  std::set<std::uint64_t> Ended;
  std::vector<std::string> Keys;
  std::set<std::string> UsedKeys;
  std::string Broken;
};

class InvariantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InvariantsTest);
  CPPUNIT_TEST(randomEventsKeepInvariants);
  CPPUNIT_TEST(plantedFaultsAreFound);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against orders of events that no single test thinks of.
  void randomEventsKeepInvariants() {
    for (std::uint64_t Seed = 1; Seed != 101; ++Seed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Seed),
                                   std::string(),
                                   InvariantRun(Seed, {}).run(2000));
  }

  /// Guards against a check that sees nothing: each fault must be found.
  void plantedFaultsAreFound() {
    int Count = 0;
    const auto Every = [&Count](int N) { return ++Count % N == 0; };
    const std::vector<std::pair<std::string, InvariantRun::Fault>> Faults = {
        {"an attempt starts twice or after refusal",
         [&](GuardActions &Actions) {
           std::vector<StartAttempt> Starts = only<StartAttempt>(Actions);
           if (!Starts.empty() && Every(50))
             Actions.emplace_back(Starts[0]);
         }},
        {"an expired attempt waits",
         [&](GuardActions &Actions) {
           if (Every(50))
             std::erase_if(Actions, [](const GuardAction &A) {
               return std::holds_alternative<AttemptFailed>(A);
             });
         }},
        {"slots are exceeded",
         [&](GuardActions &Actions) {
           for (GuardAction &A : Actions)
             if (auto *S = std::get_if<StartAttempt>(&A))
               S->Server = BackendServerName("w1");
         }},
        {"reason and outcome differ", [&](GuardActions &Actions) {
           for (GuardAction &A : Actions)
             if (auto *Failed = std::get_if<AttemptFailed>(&A))
               Failed->Result = Outcome::NotRun;
         }}};
    for (const auto &[Rule, Fault] : Faults)
      CPPUNIT_ASSERT_EQUAL(Rule, InvariantRun(1, Fault).run(2000));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(InvariantsTest);

} // namespace
