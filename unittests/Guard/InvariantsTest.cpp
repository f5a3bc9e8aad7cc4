#include "GuardFixture.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <optional>
#include <set>

using namespace teaselhitch;

namespace {

/// Sends random events to one guard and checks each action. Violation names the
/// first violated rule.
class InvariantRun {
public:
  /// Changes actions before they are checked, to inject a fault.
  using Fault = std::function<void(GuardActions &)>;

  InvariantRun(std::uint64_t Seed, Fault InjectedFault)
      : Random(Seed), InjectedFault(std::move(InjectedFault)) {}

  std::string run(unsigned Steps) {
    for (unsigned I = 0; I != Steps && Violation.empty(); ++I)
      step();
    process(F.G->drain(F.Now));
    for (unsigned I = 0; I != 200; ++I) {
      F.Now = F.Now + Duration(50);
      process(F.G->tick(F.Now));
      while (!Running.empty())
        finish(Running.begin()->first, RunEnd::Answered);
    }
    check(Waiting.empty(), "an attempt is lost");
    check(F.G->isIdle(), "not idle after the drain");
    return Violation;
  }

private:
  void check(bool Holds, const char *Rule) {
    if (!Holds && Violation.empty())
      Violation = Rule;
  }

  void step() {
    switch (Random.uniformInt(12)) {
    case 0:
      return announce();
    case 1:
      return process(F.G->setHealth(
          server(), static_cast<BackendServerHealth>(Random.uniformInt(3)),
          static_cast<std::uint32_t>(1 + Random.uniformInt(100)), F.Now));
    case 2:
      return process(
          F.G->cancel(F.id(1 + Random.uniformInt(Sequence + 1)), F.Now));
    case 3:
      Keys.push_back(F.G->mintKey({1, ServiceName("s")}, F.Now).Key);
      return F.G->receiveCrashMark({1 + Random.uniformInt(9),
                                    Random.uniformInt(9), ServiceName("s"),
                                    Random.uniformInt(4) == 0},
                                   F.Now);
    case 4:
    case 5:
      F.Now = F.Now + Duration(Random.uniform() * 50);
      process(F.G->tick(F.Now));
      for (const auto &[Id, Deadline] : Waiting)
        check(Deadline > F.Now, "an expired attempt waits");
      return;
    case 6:
    case 7:
    case 8:
      if (!Running.empty())
        finish(
            std::next(Running.begin(), static_cast<std::ptrdiff_t>(
                                           Random.uniformInt(Running.size())))
                ->first,
            static_cast<RunEnd>(Random.uniformInt(8)));
      return;
    default:
      return dispatch();
    }
  }

  BackendServerName server() {
    return BackendServerName("w" + std::to_string(Random.uniformInt(4)));
  }

  void announce() {
    BackendServerName Name = server();
    Announcement &A = Servers[Name];
    bool Restart = A.Incarnation == 0 || Random.uniformInt(8) == 0;
    std::uint64_t Incarnation = A.Incarnation + (Restart ? 1 : 0);
    A = F.announcement(Name.str(),
                       1 + static_cast<std::uint32_t>(Random.uniformInt(3)),
                       Incarnation);
    if (Random.uniformInt(6) == 0)
      A.State = static_cast<BackendServerState>(Random.uniformInt(3));
    process(F.announce(A));
  }

  void dispatch() {
    DispatchInfo I = F.info(++Sequence, Random.uniformInt(2) == 0 ? "a" : "c");
    I.Preferred = server();
    I.Idempotent = Random.uniformInt(2) == 0;
    I.Paid = Random.uniformInt(4) == 0;
    I.Remaining = Duration(Random.uniform() * 400);
    I.Fingerprint = Random.uniformInt(30);
    if (!Keys.empty() && Random.uniformInt(3) == 0)
      I.GuardKey = Keys[Random.uniformInt(Keys.size())];
    Waiting[Sequence] = F.Now + I.Remaining;
    AttemptKeys[Sequence] = I.GuardKey;
    // A duplicate message must have no effect.
    GuardActions First = F.dispatch(I);
    bool Accepted = filterActions<AttemptFailed>(First).empty();
    process(std::move(First));
    if (Accepted)
      process(F.dispatch(I));
  }

  void finish(std::uint64_t Id, RunEnd End) {
    --InProgress[Running.at(Id)];
    Running.erase(Id);
    bool IsNotRun = End == RunEnd::Shed || End == RunEnd::ConnectFailed ||
                    End == RunEnd::OtherServer;
    ProvedNotRun = IsNotRun ? Id : 0;
    Ended.insert(Id);
    process(F.finish(Id, End));
    ProvedNotRun = 0;
  }

  void process(GuardActions Actions) {
    if (InjectedFault)
      InjectedFault(Actions);
    for (const StartAttempt &S : filterActions<StartAttempt>(Actions))
      checkStart(S.Attempt.Request.Sequence, S.Server);
    for (const AttemptFailed &Failed : filterActions<AttemptFailed>(Actions))
      checkFailure(Failed);
    for (const AbortAttempt &A : filterActions<AbortAttempt>(Actions)) {
      std::uint64_t Id = A.Attempt.Request.Sequence;
      check(Running.count(Id) != 0, "an attempt is aborted that does not run");
      check(Aborted.insert(Id).second, "an attempt is aborted twice");
    }
  }

  void checkStart(std::uint64_t Id, const BackendServerName &Name) {
    check(Waiting.erase(Id) == 1, "an attempt starts twice or after refusal");
    Running[Id] = Name;
    check(++InProgress[Name] <= Servers[Name].Slots, "slots are exceeded");
    check(Servers[Name].State == BackendServerState::Ready,
          "an attempt starts on a server that is not ready");
    const std::string &Key = AttemptKeys[Id];
    check(Key.empty() || UsedKeys.insert(Key).second, "a key starts twice");
  }

  void checkFailure(const AttemptFailed &Failed) {
    std::uint64_t Id = Failed.Attempt.Request.Sequence;
    bool NotRun = Failed.Result == Outcome::NotRun;
    check(Failed.Result == reasonInfo(Failed.Cause).Result,
          "reason and outcome differ");
    check(Reported.insert(Id).second, "an attempt is reported twice");
    if (Waiting.erase(Id) == 1) {
      bool KeyRefused = !AttemptKeys[Id].empty() && !NotRun;
      check(NotRun || KeyRefused, "a refusal claims that it may have run");
      return;
    }
    check(Running.count(Id) != 0 || Ended.count(Id) != 0,
          "a report of an unknown attempt");
    check(!NotRun || Id == ProvedNotRun, "not-run after a start");
  }

  GuardFixture F;
  SeededRandom Random;
  Fault InjectedFault;
  std::uint64_t Sequence = 0;
  std::uint64_t ProvedNotRun = 0;
  std::map<BackendServerName, Announcement> Servers;
  std::map<BackendServerName, std::uint32_t> InProgress;
  std::map<std::uint64_t, Time> Waiting;
  std::map<std::uint64_t, BackendServerName> Running;
  std::map<std::uint64_t, std::string> AttemptKeys;
  std::set<std::uint64_t> Reported;
  std::set<std::uint64_t> Aborted;
  std::set<std::uint64_t> Ended;
  std::vector<std::string> Keys;
  std::set<std::string> UsedKeys;
  std::string Violation;
};

class InvariantsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(InvariantsTest);
  CPPUNIT_TEST(randomEventsKeepInvariants);
  CPPUNIT_TEST(injectedFaultsAreDetected);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against sequences of events that no other test covers.
  void randomEventsKeepInvariants() {
    for (std::uint64_t Seed = 1; Seed != 101; ++Seed)
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(Seed),
                                   std::string(),
                                   InvariantRun(Seed, {}).run(2000));
  }

  /// Guards against a checker that detects nothing: each injected fault must be
  /// found.
  void injectedFaultsAreDetected() {
    int Count = 0;
    const auto Every = [&Count](int N) { return ++Count % N == 0; };
    const std::vector<std::pair<std::string, InvariantRun::Fault>> Faults = {
        {"an attempt starts twice or after refusal",
         [&](GuardActions &Actions) {
           std::vector<StartAttempt> Starts =
               filterActions<StartAttempt>(Actions);
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
