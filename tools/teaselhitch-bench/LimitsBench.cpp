#include "LimitsBench.h"

#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Support/Random.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>
#include <memory>
#include <queue>
#include <utility>

namespace teaselhitch {

namespace {

/// Interval of ticks, the longest that Guard allows.
constexpr Duration TickInterval = Duration(50);
constexpr Duration AnnouncementInterval = Duration::seconds(1);
/// Uncounted time before, as a part of the counted time.
constexpr double WarmUpPart = 0.1;
constexpr unsigned PaidPercent = 10;
/// Deadlines in mean run times: some callers wait for little more than a full
/// queue takes, the others for long.
constexpr unsigned TightPercent = 30;
constexpr double TightFrom = 4;
constexpr double TightTo = 10;
constexpr double LooseFrom = 50;
constexpr double LooseTo = 250;

class OverloadRun {
public:
  OverloadRun(LoadMix Mix, double Load, const OverloadOptions &Options)
      : Options(Options), Random(Options.Seed), G(makeGuard(Options)),
        Offered(Options.Organisations), Served(Options.Organisations) {
    Row.Mix = Mix;
    Row.Load = Load;
    Capacity = Options.Servers * Options.Slots / Options.MeanRunTime.ms();
    double Share = Capacity / Options.Organisations;
    for (unsigned I = 0; I != Options.Organisations; ++I)
      Rates.push_back(Mix == LoadMix::Even ? Share * Load : Share);
    if (Mix == LoadMix::OneNoisy)
      Rates[0] = Capacity * Load - Share * (Options.Organisations - 1);
    Row.NoisyShares = Rates[0] / Share;
  }

  OverloadRow run() {
    configure();
    announce();
    for (unsigned I = 0; I != Options.Organisations; ++I)
      scheduleArrival(I);
    push(TickInterval, Event::Tick, 0);
    push(AnnouncementInterval, Event::Announce, 0);
    CountFrom = Time() + Options.Length * WarmUpPart;
    CountTo = CountFrom + Options.Length;
    while (Events.top().At < CountTo) {
      Event E = Events.top();
      Events.pop();
      Now = E.At;
      handle(E);
    }
    summarise();
    return Row;
  }

private:
  struct Event {
    enum Kind : std::uint8_t { Arrival, End, Tick, Announce };
    Time At;
    Kind Is;
    std::uint64_t Value;

    bool operator<(const Event &Other) const { return At > Other.At; }
  };
  struct Request {
    unsigned Organisation = 0;
    Time ArrivedAt;
    Time StartedAt;
    Duration RunTime;
  };

  static std::unique_ptr<Guard> makeGuard(const OverloadOptions &) {
    GuardSettings S;
    S.Node = NodeName("bench");
    S.Domain = FailureDomain("bench");
    S.Incarnation = 1;
    S.KeySecret = "bench";
    return Guard::create(std::move(S)).value();
  }

  static OrganisationName organisation(unsigned Index) {
    return OrganisationName("organisation-" + std::to_string(100 + Index));
  }

  void configure() {
    auto Config = std::make_shared<ActiveConfig>();
    if (Options.KnownOrganisations)
      for (unsigned I = 0; I != Options.Organisations; ++I)
        Config->Objects.Organisations.push_back({organisation(I), 1});
    G->configure(std::move(Config), Now);
  }

  void announce() {
    for (unsigned I = 0; I != Options.Servers; ++I) {
      Announcement A;
      A.Name = server(I);
      A.Service = ServiceName("service");
      A.Address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + I)};
      A.Slots = Options.Slots;
      A.Incarnation = 1;
      A.State = BackendServerState::Ready;
      take(G->announce(A, Now).value());
    }
  }

  static BackendServerName server(unsigned Index) {
    return BackendServerName("server-" + std::to_string(Index));
  }

  void push(Duration After, Event::Kind Kind, std::uint64_t Value) {
    Events.push({Now + After, Kind, Value});
  }

  void scheduleArrival(unsigned Organisation) {
    if (Rates[Organisation] <= 0)
      return;
    double Gap = -std::log(1 - Random.uniform()) / Rates[Organisation];
    push(Duration(Gap), Event::Arrival, Organisation);
  }

  void handle(const Event &E) {
    switch (E.Is) {
    case Event::Arrival:
      arrive(static_cast<unsigned>(E.Value));
      scheduleArrival(static_cast<unsigned>(E.Value));
      return;
    case Event::End:
      end(E.Value);
      return;
    case Event::Tick:
      take(G->tick(Now));
      push(TickInterval, Event::Tick, 0);
      return;
    case Event::Announce:
      announce();
      push(AnnouncementInterval, Event::Announce, 0);
      return;
    }
  }

  bool isCounted() const { return Now >= CountFrom; }

  double between(double From, double To) {
    return From + (To - From) * Random.uniform();
  }

  void arrive(unsigned Organisation) {
    Request R;
    R.Organisation = Organisation;
    R.ArrivedAt = Now;
    R.RunTime = Options.MeanRunTime * between(0.25, 1.75);
    bool Tight = Random.uniformInt(100) < TightPercent;
    double Deadline =
        Tight ? between(TightFrom, TightTo) : between(LooseFrom, LooseTo);
    DispatchInfo Info;
    Info.Attempt = {{NodeName("entry"), 1, ++Sequence}, 1};
    Info.Service = ServiceName("service");
    Info.Preferred =
        server(static_cast<unsigned>(Random.uniformInt(Options.Servers)));
    Info.Organisation = organisation(Organisation);
    Info.Paid = Random.uniformInt(100) < PaidPercent;
    Info.Remaining = Options.MeanRunTime * Deadline;
    Requests.emplace(Sequence, R);
    if (isCounted())
      ++Offered[Organisation];
    take(G->dispatch(Info, Now));
  }

  void end(std::uint64_t Id) {
    auto It = Requests.find(Id);
    // Aborted before it ended.
    if (It == Requests.end())
      return;
    const Request &R = It->second;
    if (isCounted()) {
      ++Row.Answered;
      ++Served[R.Organisation];
      GoodTime = GoodTime + (Now - std::max(R.StartedAt, CountFrom));
    }
    AttemptId Attempt{{NodeName("entry"), 1, Id}, 1};
    RunResult Result{RunEnd::Answered, 200, R.RunTime};
    Requests.erase(It);
    take(G->finished(Attempt, Result, Now));
  }

  void take(const GuardActions &Actions) {
    for (const GuardAction &Action : Actions) {
      if (const auto *S = std::get_if<StartAttempt>(&Action)) {
        std::uint64_t Id = S->Attempt.Request.Sequence;
        Requests.at(Id).StartedAt = Now;
        push(Requests.at(Id).RunTime, Event::End, Id);
      }
      if (const auto *F = std::get_if<AttemptFailed>(&Action))
        fail(*F);
      if (const auto *A = std::get_if<AbortAttempt>(&Action))
        take(G->finished(A->Attempt, {RunEnd::Aborted, 0, {}}, Now));
    }
  }

  void fail(const AttemptFailed &F) {
    auto It = Requests.find(F.Attempt.Request.Sequence);
    Duration Took = Now - It->second.ArrivedAt;
    Requests.erase(It);
    if (!isCounted())
      return;
    switch (F.Cause) {
    case Reason::DeadlineExpired:
      ++Row.Expired;
      return;
    case Reason::DeadlineExpiredRunning:
      ++Row.ExpiredRunning;
      return;
    case Reason::OverShare:
      ++Row.OverShare;
      break;
    default:
      ++Row.QueueFull;
      break;
    }
    Row.SlowestRefusal = std::max(Row.SlowestRefusal, Took);
  }

  void summarise() {
    // Requests that still run count up to the end, as those that were running
    // at the start count from there.
    for (const auto &[Id, R] : Requests)
      if (R.StartedAt > Time())
        GoodTime = GoodTime + (CountTo - std::max(R.StartedAt, CountFrom));
    double SlotTime = Options.Servers * Options.Slots * Options.Length.ms();
    Row.Goodput = GoodTime.ms() / SlotTime;
    for (unsigned I = 0; I != Options.Organisations; ++I) {
      bool AtShare = Rates[I] * Options.Organisations <= Capacity * 1.0001;
      if (AtShare && Offered[I] != 0)
        Row.WorstServed =
            std::min(Row.WorstServed, static_cast<double>(Served[I]) /
                                          static_cast<double>(Offered[I]));
    }
  }

  const OverloadOptions &Options;
  SeededRandom Random;
  std::unique_ptr<Guard> G;
  OverloadRow Row;
  /// Requests per millisecond that all slots together can run.
  double Capacity = 0;
  /// Requests per millisecond of each organisation.
  std::vector<double> Rates;
  std::vector<std::uint64_t> Offered;
  std::vector<std::uint64_t> Served;
  std::priority_queue<Event> Events;
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t Sequence = 0;
  Duration GoodTime;
  Time Now;
  Time CountFrom;
  Time CountTo;
};

std::string format(const char *Format, double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, Format, Value);
  return Buffer;
}

} // namespace

OverloadRow runOverload(LoadMix Mix, double Load,
                        const OverloadOptions &Options) {
  return OverloadRun(Mix, Load, Options).run();
}

std::vector<OverloadRow> runOverloadTable(const OverloadOptions &Options) {
  std::vector<OverloadRow> Rows;
  for (LoadMix Mix : {LoadMix::Even, LoadMix::OneNoisy})
    for (double Load : {1.0, 2.0, 5.0, 10.0})
      Rows.push_back(runOverload(Mix, Load, Options));
  double Others = Options.Organisations - 1;
  Rows.push_back(runOverload(LoadMix::OneNoisy,
                             (Others + 20) / Options.Organisations, Options));
  return Rows;
}

std::string overloadTableText(const std::vector<OverloadRow> &Rows) {
  std::string Text =
      "| mix | load | noisy, in shares | goodput | answered | queue-full | "
      "over-share | expired waiting | expired running | slowest refusal, ms | "
      "worst served at share "
      "|\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const OverloadRow &R : Rows) {
    Text += R.Mix == LoadMix::Even ? "| even " : "| one noisy ";
    Text += "| " + format("%.2f", R.Load);
    Text += " | " + format("%.1f", R.NoisyShares);
    Text += " | " + format("%.1f%%", R.Goodput * 100);
    for (std::uint64_t Count :
         {R.Answered, R.QueueFull, R.OverShare, R.Expired, R.ExpiredRunning})
      Text += " | " + std::to_string(Count);
    Text += " | " + format("%.1f", R.SlowestRefusal.ms());
    Text += " | " + format("%.1f%%", R.WorstServed * 100) + " |\n";
  }
  return Text;
}

} // namespace teaselhitch
