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

constexpr Duration Step = Duration(10);
constexpr Duration AnnouncementInterval = Duration::seconds(1);
/// From a crash to the first announcement of the next incarnation.
constexpr Duration RestartTime = Duration(400);
constexpr Duration CrashingRunTime = Duration(30);
constexpr Duration FastRunTime = Duration(20);
constexpr Duration SlowRunTime = Duration::seconds(1);
/// Ordinary requests are first sent within this time, the first crashing one in
/// the middle of it, and a wave begins at its end.
constexpr Duration ArrivalTime = Duration::seconds(1);
constexpr Duration MinRetry = Duration(10);
constexpr Duration CallerDeadline = Duration::seconds(10);

class CrashRun {
public:
  explicit CrashRun(const CrashOptions &Options)
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
      Callers.push_back({CrashingRunTime, true,
                         Time() + ArrivalTime * (0.5 + I * Random.uniform())});
    for (unsigned I = 0; I != Options.OrdinaryRequests; ++I)
      Callers.push_back({I % 2 == 0 ? FastRunTime : SlowRunTime, false,
                         Time() + ArrivalTime * Random.uniform()});
  }

  CrashResult run() {
    unsigned Crashed = Options.WaveSpacing ? 0 : Options.Servers;
    for (; Now.ms() < Options.Length.ms(); Now = Now + Step) {
      announceDue();
      take(G->tick(Now));
      while (Crashed != Options.Servers &&
             Now >= Time() + ArrivalTime + *Options.WaveSpacing * Crashed)
        crash(server(Crashed++));
      endRuns();
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
    Time SendAt;
    bool Answered = false;
    bool Outstanding = false;
  };
  struct Server {
    std::uint64_t Incarnation = 1;
    Time AnnounceAt;
  };
  struct Run {
    BackendServerName Server;
    std::size_t Caller = 0;
    Time EndsAt;
  };

  static BackendServerName server(unsigned Index) {
    return BackendServerName("server-" + std::to_string(Index));
  }

  /// No two servers share an address.
  static Endpoint addressOf(const BackendServerName &Name) {
    constexpr int FirstPort = 9000;
    std::string Index = Name.str().substr(Name.str().rfind('-') + 1);
    return {"127.0.0.1",
            static_cast<std::uint16_t>(FirstPort + std::stoi(Index))};
  }

  static AttemptId attempt(std::uint64_t Sequence) {
    return {{NodeName("entry"), 1, Sequence}, 1};
  }

  void announceDue() {
    for (auto &[Name, S] : Servers) {
      if (Now < S.AnnounceAt)
        continue;
      S.AnnounceAt = Now + AnnouncementInterval;
      Announcement A;
      A.Name = Name;
      A.Service = ServiceName("service");
      A.Address = addressOf(Name);
      A.Slots = Options.Slots;
      A.Incarnation = S.Incarnation;
      A.State = BackendServerState::Ready;
      take(G->announce(A, Now).value());
    }
  }

  void send(std::size_t Index) {
    Caller &C = Callers[Index];
    if (C.Answered || C.Outstanding || Now < C.SendAt)
      return;
    C.Outstanding = true;
    CallerOf[++Sequence] = Index;
    DispatchInfo Info;
    Info.Attempt = attempt(Sequence);
    Info.Service = ServiceName("service");
    Info.Preferred =
        server(static_cast<unsigned>(Random.uniformInt(Options.Servers)));
    Info.Remaining = CallerDeadline;
    Info.Fingerprint = Index + 1;
    take(G->dispatch(Info, Now));
  }

  void endRuns() {
    std::vector<std::uint64_t> Due;
    for (const auto &[Id, R] : Runs)
      if (R.EndsAt <= Now)
        Due.push_back(Id);
    for (std::uint64_t Id : Due)
      endRun(Id);
  }

  void endRun(std::uint64_t Id) {
    auto It = Runs.find(Id);
    // Its server has crashed in this step.
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
    take(G->finished(attempt(Id), {RunEnd::Answered, 200, {}}, Now));
  }

  void crash(const BackendServerName &Name) {
    ++Servers[Name].Incarnation;
    Servers[Name].AnnounceAt = Now + RestartTime;
    std::vector<std::uint64_t> Ended;
    for (const auto &[Id, R] : Runs)
      if (R.Server == Name)
        Ended.push_back(Id);
    for (std::uint64_t Id : Ended)
      Runs.erase(Id);
    for (std::uint64_t Id : Ended)
      take(G->finished(attempt(Id), {RunEnd::Crashed, 0, {}}, Now));
  }

  void take(const GuardActions &Actions) {
    for (const GuardAction &Action : Actions) {
      if (const auto *S = std::get_if<StartAttempt>(&Action)) {
        std::uint64_t Id = S->Attempt.Request.Sequence;
        std::size_t C = CallerOf.at(Id);
        Runs[Id] = {S->Server, C, Now + Callers[C].RunTime};
      }
      if (const auto *F = std::get_if<AttemptFailed>(&Action)) {
        Caller &C = Callers[CallerOf.at(F->Attempt.Request.Sequence)];
        C.Outstanding = false;
        C.SendAt = Now + std::max(MinRetry, F->RetryAfter);
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
  std::map<std::uint64_t, std::size_t> CallerOf;
  std::map<std::uint64_t, Run> Runs;
  std::uint64_t Sequence = 0;
  Time Now;
  CrashResult Result;
};

/// Spacings of waves, up to this far apart.
constexpr unsigned SpacingStepMs = 50;
constexpr unsigned SpacingSteps = 20;
/// Waves are over at least this many servers; two servers cannot show more than
/// two crashes, which is what a crashing request does.
constexpr unsigned MinWaveServers = 3;
constexpr unsigned MaxServers = 13;

CrashOptions scenario(unsigned Crashing, bool Wave, unsigned Run) {
  CrashOptions O;
  O.Seed = Run + 1;
  O.CrashingRequests = Crashing;
  unsigned Min = Wave ? MinWaveServers : 2;
  // Two crashing requests need a guard on which they are not most servers.
  if (Crashing > 1)
    Min = MaxServers;
  O.Servers = Min + Run % (MaxServers - Min + 1);
  O.OrdinaryRequests = O.Slots * O.Servers;
  if (Wave)
    O.WaveSpacing = Duration(Run * 7 % SpacingSteps * SpacingStepMs);
  return O;
}

CrashRow runScenario(const char *Name, unsigned Crashing, bool Wave,
                     unsigned Runs) {
  CrashRow Row{Name, Runs, Crashing, {}};
  Row.Worst.CrashingQuarantined = Crashing;
  for (unsigned I = 0; I != Runs; ++I) {
    CrashResult R = runCrashTrial(scenario(Crashing, Wave, I));
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
  return CrashRun(Options).run();
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
