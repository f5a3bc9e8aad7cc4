#include "CrashBench.h"

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Support/Random.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace teaselhitch {

namespace {

constexpr Duration TimeStep = Duration(10);
constexpr Duration AnnouncementInterval = Duration::seconds(1);
/// Time from a crash to the first announcement of the next incarnation.
constexpr Duration RestartTime = Duration(400);
constexpr Duration CrashingRunTime = Duration(30);
constexpr Duration FastRunTime = Duration(20);
constexpr Duration SlowRunTime = Duration::seconds(1);
/// Ordinary requests are first sent at random times within this period, the
/// first crashing request in the middle of the period. A wave begins at its
/// end.
constexpr Duration ArrivalPeriod = Duration::seconds(1);
constexpr Duration MinRetryDelay = Duration(10);
constexpr Duration CallerDeadline = Duration::seconds(10);

class CrashSimulation {
public:
  explicit CrashSimulation(const CrashOptions &Options)
      : Options(Options), Random(Options.Seed) {
    GuardSettings S;
    S.Node = NodeName("bench");
    S.Domain = FailureDomain("bench");
    S.Incarnation = 1;
    S.KeySecret = "bench";
    G = Guard::create(std::move(S)).value();
    for (unsigned I = 0; I != Options.Servers; ++I)
      Servers[server(I)] = {};
    for (unsigned I = 0; I != Options.CrashingRequests; ++I)
      Callers.push_back(
          {CrashingRunTime, true,
           Time() + ArrivalPeriod * (0.5 + I * Random.uniform())});
    for (unsigned I = 0; I != Options.OrdinaryRequests; ++I)
      Callers.push_back({I % 2 == 0 ? FastRunTime : SlowRunTime, false,
                         Time() + ArrivalPeriod * Random.uniform()});
  }

  CrashResult run() {
    unsigned Crashed = Options.WaveInterval ? 0 : Options.Servers;
    for (; Now.ms() < Options.Length.ms(); Now = Now + TimeStep) {
      sendAnnouncements();
      handleActions(G->tick(Now));
      while (Crashed != Options.Servers &&
             Now >= Time() + ArrivalPeriod + *Options.WaveInterval * Crashed)
        crash(server(Crashed++));
      finishDueRuns();
      for (std::size_t I = 0; I != Callers.size(); ++I)
        send(I);
    }
    for (const Caller &C : Callers)
      Result.OrdinaryUnanswered += !C.Crashes && !C.Answered ? 1 : 0;
    return Result;
  }

private:
  struct Caller {
    Duration RunTime;
    bool Crashes = false;
    Time NextSend;
    bool Answered = false;
    bool Outstanding = false;
  };
  struct Server {
    std::uint64_t Incarnation = 1;
    Time NextAnnouncement;
  };
  struct Run {
    BackendServerName Server;
    std::size_t Caller = 0;
    Time EndTime;
  };

  static BackendServerName server(unsigned Index) {
    return BackendServerName("server-" + std::to_string(Index));
  }

  /// Returns an address that no other server has.
  static Endpoint addressOf(const BackendServerName &Name) {
    constexpr int FirstPort = 9000;
    std::string Index = Name.str().substr(Name.str().rfind('-') + 1);
    return {"127.0.0.1",
            static_cast<std::uint16_t>(FirstPort + std::stoi(Index))};
  }

  static AttemptId attemptId(std::uint64_t Sequence) {
    return {{NodeName("entry"), 1, Sequence}, 1};
  }

  void sendAnnouncements() {
    for (auto &[Name, S] : Servers) {
      if (Now < S.NextAnnouncement)
        continue;
      S.NextAnnouncement = Now + AnnouncementInterval;
      Announcement A;
      A.Name = Name;
      A.Service = ServiceName("service");
      A.Address = addressOf(Name);
      A.Slots = Options.Slots;
      A.Incarnation = S.Incarnation;
      A.State = BackendServerState::Ready;
      handleActions(G->announce(A, Now).value());
    }
  }

  void send(std::size_t Index) {
    Caller &C = Callers[Index];
    if (C.Answered || C.Outstanding || Now < C.NextSend)
      return;
    C.Outstanding = true;
    CallerIndices[++Sequence] = Index;
    DispatchInfo Info;
    Info.Attempt = attemptId(Sequence);
    Info.Service = ServiceName("service");
    Info.Preferred =
        server(static_cast<unsigned>(Random.uniformInt(Options.Servers)));
    Info.Remaining = CallerDeadline;
    Info.Fingerprint = Index + 1;
    handleActions(G->dispatch(Info, Now));
  }

  void finishDueRuns() {
    std::vector<std::uint64_t> Due;
    for (const auto &[Id, R] : Runs)
      if (R.EndTime <= Now)
        Due.push_back(Id);
    for (std::uint64_t Id : Due)
      finishRun(Id);
  }

  void finishRun(std::uint64_t Id) {
    auto It = Runs.find(Id);
    // The run is already removed if its server crashed in this time step.
    if (It == Runs.end())
      return;
    Run R = It->second;
    if (Callers[R.Caller].Crashes) {
      ++Result.ServersLost;
      crash(R.Server);
      return;
    }
    Runs.erase(It);
    Callers[R.Caller].Answered = true;
    handleActions(G->finished(attemptId(Id), {RunEnd::Answered, 200, {}}, Now));
  }

  void crash(const BackendServerName &Name) {
    ++Servers[Name].Incarnation;
    Servers[Name].NextAnnouncement = Now + RestartTime;
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, R] : Runs)
      if (R.Server == Name)
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      Runs.erase(Id);
    for (std::uint64_t Id : Ended)
      handleActions(G->finished(attemptId(Id), {RunEnd::Crashed, 0, {}}, Now));
  }

  void handleActions(const GuardActions &Actions) {
    for (const GuardAction &Action : Actions) {
      if (const auto *S = std::get_if<StartAttempt>(&Action)) {
        std::uint64_t Id = S->Attempt.Request.Sequence;
        std::size_t C = CallerIndices.at(Id);
        Runs[Id] = {S->Server, C, Now + Callers[C].RunTime};
      }
      if (const auto *F = std::get_if<AttemptFailed>(&Action)) {
        Caller &C = Callers[CallerIndices.at(F->Attempt.Request.Sequence)];
        C.Outstanding = false;
        C.NextSend = Now + std::max(MinRetryDelay, F->RetryAfter);
      }
      if (const auto *Q = std::get_if<Quarantine>(&Action)) {
        bool Crashing = Q->Fingerprint <= Options.CrashingRequests;
        ++(Crashing ? Result.CrashingQuarantined : Result.OrdinaryQuarantined);
      }
    }
  }

  const CrashOptions &Options;
  SeededRandom Random;
  std::unique_ptr<Guard> G;
  std::map<BackendServerName, Server> Servers;
  std::vector<Caller> Callers;
  /// Index in Callers, by sequence number of the attempt.
  std::map<std::uint64_t, std::size_t> CallerIndices;
  /// Attempts in progress, by sequence number.
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t Sequence = 0;
  Time Now;
  CrashResult Result;
};

/// The wave intervals of the scenarios are from 0 to WaveIntervalSteps - 1
/// steps of this length.
constexpr unsigned WaveIntervalStepMs = 50;
constexpr unsigned WaveIntervalSteps = 20;
/// Minimum number of servers in a scenario with a wave. With two servers, a
/// wave causes at most two crashes, which is what a single crashing request
/// causes.
constexpr unsigned MinWaveServers = 3;
constexpr unsigned MaxServers = 13;

CrashOptions scenarioOptions(unsigned Crashing, bool Wave, unsigned Run) {
  CrashOptions O;
  O.Seed = Run + 1;
  O.CrashingRequests = Crashing;
  unsigned Min = Wave ? MinWaveServers : 2;
  // Two crashing requests must not be able to crash the majority of the servers
  // of the guard.
  if (Crashing > 1)
    Min = MaxServers;
  O.Servers = Min + Run % (MaxServers - Min + 1);
  O.OrdinaryRequests = O.Slots * O.Servers;
  if (Wave)
    O.WaveInterval = Duration(Run * 7 % WaveIntervalSteps * WaveIntervalStepMs);
  return O;
}

CrashRow runScenario(const char *Name, unsigned Crashing, bool Wave,
                     unsigned Runs) {
  CrashRow Row{Name, Runs, Crashing, {}};
  Row.Worst.CrashingQuarantined = Crashing;
  for (unsigned I = 0; I != Runs; ++I) {
    CrashResult R = runCrashTrial(scenarioOptions(Crashing, Wave, I));
    Row.Worst.ServersLost = std::max(Row.Worst.ServersLost, R.ServersLost);
    Row.Worst.CrashingQuarantined =
        std::min(Row.Worst.CrashingQuarantined, R.CrashingQuarantined);
    Row.Worst.OrdinaryQuarantined += R.OrdinaryQuarantined;
    Row.Worst.OrdinaryUnanswered += R.OrdinaryUnanswered;
  }
  return Row;
}

} // namespace

CrashResult runCrashTrial(const CrashOptions &Options) {
  return CrashSimulation(Options).run();
}

std::vector<CrashRow> runCrashTable(unsigned Runs) {
  return {runScenario("one crashing request", 1, false, Runs),
          runScenario("two crashing requests", 2, false, Runs),
          runScenario("wave over all servers", 0, true, Runs),
          runScenario("crashing request in a wave", 1, true, Runs)};
}

std::string crashTableText(const std::vector<CrashRow> &Rows) {
  std::string Text =
      "| scenario | runs | most servers lost | fewest crashing requests "
      "quarantined | ordinary requests quarantined | ordinary requests "
      "unanswered |\n|---|---|---|---|---|---|\n";
  for (const CrashRow &R : Rows) {
    Text += "| " + R.Scenario;
    for (unsigned Value :
         {R.Runs, R.Worst.ServersLost, R.Worst.CrashingQuarantined,
          R.Worst.OrdinaryQuarantined, R.Worst.OrdinaryUnanswered})
      Text += " | " + std::to_string(Value);
    Text += " |\n";
  }
  return Text;
}

} // namespace teaselhitch
