#include "GuardFixture.h"
#include "teaselhitch/Support/Random.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

using namespace teaselhitch;

namespace {

/// Callers that send their request again until it is answered, and backend
/// servers that crash and start again, in steps of 10 ms.
class CrashTrial {
public:
  CrashTrial(unsigned Servers, std::uint64_t Seed) : Random(Seed) {
    for (unsigned I = 0; I != Servers; ++I)
      announce("w" + std::to_string(I));
  }

  /// Adds a caller; a crashing request crashes its server at the end of its
  /// run time.
  void addCaller(double RunMs, bool Crashes, double SendAt) {
    std::uint64_t Fingerprint = Callers.size() + 1;
    Callers.push_back({Fingerprint, RunMs, Crashes, SendAt});
  }
  void crashAt(double Ms, const std::string &Server) {
    Waves.emplace(Ms, Server);
  }

  void runUntil(double EndMs) {
    for (; F.Now.ms() < EndMs; F.Now = F.Now + Duration(10)) {
      for (auto &[Name, Server] : Servers) {
        if (F.Now.ms() < Server.UpAt)
          continue;
        Server.UpAt = F.Now.ms() + 1000;
        announce(Name);
      }
      take(F.G->tick(F.Now));
      while (!Waves.empty() && Waves.begin()->first <= F.Now.ms()) {
        crash(Waves.begin()->second);
        Waves.erase(Waves.begin());
      }
      endRuns();
      for (Caller &C : Callers)
        send(C);
    }
  }

  std::size_t unansweredOrdinary() const {
    std::size_t Count = 0;
    for (const Caller &C : Callers)
      Count += !C.Crashes && !C.Answered ? 1 : 0;
    return Count;
  }

  /// Servers lost to crashing requests.
  unsigned Lost = 0;
  std::set<std::uint64_t> Quarantined;

private:
  struct Caller {
    std::uint64_t Fingerprint;
    double RunMs;
    bool Crashes;
    double SendAt;
    bool Answered = false;
    bool Outstanding = false;
  };
  struct Server {
    std::uint64_t Incarnation = 1;
    double UpAt = 0;
  };
  struct Run {
    std::string Server;
    std::size_t Caller;
    double EndMs;
  };

  void announce(const std::string &Name) {
    Server &S = Servers[Name];
    take(F.announce(F.announcement(Name, 3, S.Incarnation)));
  }

  void send(Caller &C) {
    if (C.Answered || C.Outstanding || F.Now.ms() < C.SendAt)
      return;
    DispatchInfo I = F.info(++Sequence);
    I.Fingerprint = C.Fingerprint;
    I.Preferred =
        BackendServerName("w" + std::to_string(Random.below(Servers.size())));
    I.Remaining = Duration::seconds(10);
    C.Outstanding = true;
    CallerOf[Sequence] = C.Fingerprint - 1;
    take(F.dispatch(I));
  }

  void endRuns() {
    std::vector<std::uint64_t> Due;
    for (const auto &[Id, R] : Runs)
      if (R.EndMs <= F.Now.ms())
        Due.push_back(Id);
    for (std::uint64_t Id : Due) {
      auto It = Runs.find(Id);
      if (It == Runs.end())
        continue;
      Run R = It->second;
      if (Callers[R.Caller].Crashes) {
        ++Lost;
        crash(R.Server);
        continue;
      }
      Runs.erase(It);
      Callers[R.Caller].Answered = true;
      take(F.finish(Id));
    }
  }

  void crash(const std::string &Name) {
    ++Servers[Name].Incarnation;
    Servers[Name].UpAt = F.Now.ms() + 400;
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, R] : Runs)
      if (R.Server == Name)
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      Runs.erase(Id);
    for (std::uint64_t Id : Ended)
      take(F.finish(Id, RunEnd::Crashed));
  }

  void take(const GuardActions &Actions) {
    for (const auto &S : only<StartAttempt>(Actions)) {
      std::uint64_t Id = S.Attempt.Request.Sequence;
      std::size_t C = CallerOf.at(Id);
      Runs[Id] = {S.Server.str(), C, F.Now.ms() + Callers[C].RunMs};
    }
    for (const auto &Failed : only<AttemptFailed>(Actions)) {
      Caller &C = Callers[CallerOf.at(Failed.Attempt.Request.Sequence)];
      C.Outstanding = false;
      C.SendAt = F.Now.ms() + std::max(10.0, Failed.RetryAfter.ms());
    }
    for (const Quarantine &Q : only<Quarantine>(Actions))
      Quarantined.insert(Q.Fingerprint);
  }

  GuardFixture F;
  SeededRandom Random;
  std::map<std::string, Server> Servers;
  std::multimap<double, std::string> Waves;
  std::vector<Caller> Callers;
  std::map<std::uint64_t, std::size_t> CallerOf;
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t Sequence = 0;
};

class CrashTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CrashTest);
  CPPUNIT_TEST(crashingRequestLosesTwoServers);
  CPPUNIT_TEST(twoCrashingRequests);
  CPPUNIT_TEST(wavesQuarantineNothing);
  CPPUNIT_TEST(crashingRequestInWave);
  CPPUNIT_TEST(answeredRequestsAreNotMarked);
  CPPUNIT_TEST(otherGuardsAreBelieved);
  CPPUNIT_TEST(tableIsBounded);
  CPPUNIT_TEST_SUITE_END();

  /// Adds ordinary callers; half of them are slow, so that they are in progress
  /// when servers crash, and are sent again beside the crashing request.
  static void addOrdinary(CrashTrial &T, unsigned Count, SeededRandom &R) {
    for (unsigned I = 0; I != Count; ++I)
      T.addCaller(I % 2 == 0 ? 20 : 1000, false,
                  static_cast<double>(R.below(1000)));
  }

  /// Guards against a crashing request that takes a third server, and against
  /// ordinary requests that are blamed because they ran beside it.
  void crashingRequestLosesTwoServers() {
    for (std::uint64_t Seed = 1; Seed != 61; ++Seed) {
      SeededRandom R(Seed);
      CrashTrial T(2 + Seed % 6, Seed);
      T.addCaller(30, true, 200);
      addOrdinary(T, 12, R);
      T.runUntil(30000);
      CPPUNIT_ASSERT_EQUAL(2U, T.Lost);
      CPPUNIT_ASSERT(std::set<std::uint64_t>{1} == T.Quarantined);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), T.unansweredOrdinary());
    }
  }

  /// Guards against two crashing requests that pass for a wave and so protect
  /// each other.
  void twoCrashingRequests() {
    for (std::uint64_t Seed = 1; Seed != 61; ++Seed) {
      SeededRandom R(Seed);
      CrashTrial T(13, Seed);
      T.addCaller(30, true, 200);
      T.addCaller(30, true, 200 + static_cast<double>(R.below(3000)));
      addOrdinary(T, 12, R);
      T.runUntil(40000);
      CPPUNIT_ASSERT(T.Lost <= 4);
      CPPUNIT_ASSERT((std::set<std::uint64_t>{1, 2}) == T.Quarantined);
    }
  }

  /// Guards against ordinary requests that are quarantined because all servers
  /// crash, at once or one after the other, while callers send again.
  void wavesQuarantineNothing() {
    for (std::uint64_t Seed = 1; Seed != 61; ++Seed) {
      SeededRandom R(Seed);
      unsigned Servers = 3 + Seed % 11;
      CrashTrial T(Servers, Seed);
      addOrdinary(T, 3 * Servers, R);
      double Spacing = static_cast<double>(R.below(20)) * 50;
      for (unsigned I = 0; I != Servers; ++I)
        T.crashAt(1000 + I * Spacing, "w" + std::to_string(I));
      T.runUntil(40000);
      CPPUNIT_ASSERT(T.Quarantined.empty());
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), T.unansweredOrdinary());
    }
  }

  /// Guards against a crashing request that escapes for good because a wave
  /// hides it, and against ordinary requests that are blamed then. The wave may
  /// cost one server more.
  void crashingRequestInWave() {
    for (std::uint64_t Seed = 1; Seed != 61; ++Seed) {
      SeededRandom R(Seed);
      CrashTrial T(8, Seed);
      T.addCaller(30, true, 800);
      addOrdinary(T, 24, R);
      for (unsigned I = 0; I != 8; ++I)
        T.crashAt(1000 + I * 300, "w" + std::to_string(I));
      T.runUntil(40000);
      CPPUNIT_ASSERT(T.Lost <= 3);
      CPPUNIT_ASSERT(std::set<std::uint64_t>{1} == T.Quarantined);
      CPPUNIT_ASSERT_EQUAL(std::size_t(0), T.unansweredOrdinary());
    }
  }

  /// Guards against popular requests that wait for each other after one crash.
  void answeredRequestsAreNotMarked() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    DispatchInfo I = F.info(1);
    I.Fingerprint = 5;
    F.dispatch(I);
    F.finish(1);
    I.Attempt = F.id(2);
    F.dispatch(I);
    I.Attempt = F.id(3);
    F.dispatch(I);
    CPPUNIT_ASSERT(only<CrashMark>(F.finish(2, RunEnd::Crashed)).empty());
    F.finish(3, RunEnd::Crashed);
    F.announce(F.announcement("w1", 4, 2));
    I.Attempt = F.id(4);
    F.dispatch(I);
    CPPUNIT_ASSERT(only<CrashMark>(F.finish(4, RunEnd::Crashed)).size() == 1);
  }

  /// Guards against a request that takes two servers at each guard.
  void otherGuardsAreBelieved() {
    GuardFixture F;
    F.announce(F.announcement("w1", 4));
    std::uint64_t Sequence = 0;
    const auto Send = [&](std::uint64_t Fingerprint) {
      DispatchInfo I = F.info(++Sequence);
      I.Fingerprint = Fingerprint;
      return text(F.dispatch(I));
    };
    F.G->crashMark({5, 77, ServiceName("s"), false}, F.Now);
    F.G->crashMark({6, 78, ServiceName("s"), true}, F.Now);
    F.G->quarantine({7, Duration(3000)}, F.Now);
    CPPUNIT_ASSERT_EQUAL(std::string("start 1 w1"), Send(5));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 2 quarantined not-run"), Send(6));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 3 quarantined not-run"), Send(7));
    std::vector<CrashMark> Marks =
        only<CrashMark>(F.finish(1, RunEnd::Crashed));
    CPPUNIT_ASSERT(Marks.size() == 1 && Marks[0].Repeated);
    CPPUNIT_ASSERT_EQUAL(std::string("fail 4 quarantined not-run"), Send(5));
    F.announce(F.announcement("w1", 4, 2));
    F.tickAt(3000);
    F.announce(F.announcement("w1", 4, 2));
    CPPUNIT_ASSERT_EQUAL(std::string("quarantine 5"), text(F.tickAt(3510)));
    CPPUNIT_ASSERT_EQUAL(std::string("start 5 w1"), Send(7));
    CPPUNIT_ASSERT_EQUAL(std::string("fail 6 quarantined not-run"), Send(5));
  }

  /// Guards against a table that a flood of marks fills without bound or that
  /// drops quarantines for marks.
  void tableIsBounded() {
    GuardSettings Settings = GuardFixture::settings();
    Settings.MaxFingerprints = 10;
    GuardFixture F(Settings);
    F.announce(F.announcement("w1", 4));
    F.G->quarantine({1000, Duration::seconds(600)}, F.Now);
    for (std::uint64_t I = 1; I != 100; ++I)
      F.G->crashMark({I, I, ServiceName("s"), true}, F.Now);
    DispatchInfo I = F.info(1);
    I.Fingerprint = 1000;
    CPPUNIT_ASSERT_EQUAL(std::string("fail 1 quarantined not-run"),
                         text(F.dispatch(I)));
    I.Fingerprint = 1;
    CPPUNIT_ASSERT_EQUAL(std::string("start 1 w1"), text(F.dispatch(I)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashTest);

} // namespace
