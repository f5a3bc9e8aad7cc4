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

/// The longest tick interval that Guard allows.
constexpr Duration TickInterval = Duration(50);
constexpr Duration AnnouncementInterval = Duration::seconds(1);
/// Length of the warm-up, as a fraction of the measured time.
constexpr double WarmUpFraction = 0.1;
constexpr unsigned PaidPercent = 10;
/// Deadlines in multiples of the mean run time. Tight deadlines, which
/// TightPercent of the requests have, are only slightly longer than a full
/// queue takes to drain. Loose deadlines are much longer.
constexpr unsigned TightPercent = 30;
constexpr double MinTightDeadline = 4;
constexpr double MaxTightDeadline = 10;
constexpr double MinLooseDeadline = 50;
constexpr double MaxLooseDeadline = 250;

class OverloadSimulation {
public:
  OverloadSimulation(LoadMix Mix, double Load, const OverloadOptions &Options)
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
    MeasureStart = Time() + Options.Length * WarmUpFraction;
    MeasureEnd = MeasureStart + Options.Length;
    while (Events.top().DueTime < MeasureEnd) {
      Event E = Events.top();
      Events.pop();
      Now = E.DueTime;
      handle(E);
    }
    summarise();
    return Row;
  }

private:
  struct Event {
    enum Kind : std::uint8_t { Arrival, End, Tick, Announce };
    Time DueTime;
    Kind Type;
    /// Index of the organisation for Arrival, id of the request for End.
    std::uint64_t Value;

    bool operator<(const Event &Other) const { return DueTime > Other.DueTime; }
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
      handleActions(G->announce(A, Now).value());
    }
  }

  static BackendServerName server(unsigned Index) {
    return BackendServerName("server-" + std::to_string(Index));
  }

  void push(Duration Delay, Event::Kind Kind, std::uint64_t Value) {
    Events.push({Now + Delay, Kind, Value});
  }

  void scheduleArrival(unsigned Organisation) {
    if (Rates[Organisation] <= 0)
      return;
    double Gap = -std::log(1 - Random.uniform()) / Rates[Organisation];
    push(Duration(Gap), Event::Arrival, Organisation);
  }

  void handle(const Event &E) {
    switch (E.Type) {
    case Event::Arrival:
      handleArrival(static_cast<unsigned>(E.Value));
      scheduleArrival(static_cast<unsigned>(E.Value));
      return;
    case Event::End:
      handleEnd(E.Value);
      return;
    case Event::Tick:
      handleActions(G->tick(Now));
      push(TickInterval, Event::Tick, 0);
      return;
    case Event::Announce:
      announce();
      push(AnnouncementInterval, Event::Announce, 0);
      return;
    }
  }

  bool isMeasuring() const { return Now >= MeasureStart; }

  double randomBetween(double From, double To) {
    return From + (To - From) * Random.uniform();
  }

  void handleArrival(unsigned Organisation) {
    Request R;
    R.Organisation = Organisation;
    R.ArrivedAt = Now;
    R.RunTime = Options.MeanRunTime * randomBetween(0.25, 1.75);
    bool Tight = Random.uniformInt(100) < TightPercent;
    double Deadline = Tight ? randomBetween(MinTightDeadline, MaxTightDeadline)
                            : randomBetween(MinLooseDeadline, MaxLooseDeadline);
    DispatchInfo Info;
    Info.Attempt = {{NodeName("entry"), 1, ++Sequence}, 1};
    Info.Service = ServiceName("service");
    Info.Preferred =
        server(static_cast<unsigned>(Random.uniformInt(Options.Servers)));
    Info.Organisation = organisation(Organisation);
    Info.Paid = Random.uniformInt(100) < PaidPercent;
    Info.Remaining = Options.MeanRunTime * Deadline;
    Requests.emplace(Sequence, R);
    if (isMeasuring())
      ++Offered[Organisation];
    handleActions(G->dispatch(Info, Now));
  }

  void handleEnd(std::uint64_t Id) {
    auto It = Requests.find(Id);
    // The request was aborted before its run ended.
    if (It == Requests.end())
      return;
    const Request &R = It->second;
    if (isMeasuring()) {
      ++Row.Answered;
      ++Served[R.Organisation];
      GoodputTime = GoodputTime + (Now - std::max(R.StartedAt, MeasureStart));
    }
    AttemptId Attempt{{NodeName("entry"), 1, Id}, 1};
    RunResult Result{RunEnd::Answered, 200, R.RunTime};
    Requests.erase(It);
    handleActions(G->finished(Attempt, Result, Now));
  }

  void handleActions(const GuardActions &Actions) {
    for (const GuardAction &Action : Actions) {
      if (const auto *S = std::get_if<StartAttempt>(&Action)) {
        std::uint64_t Id = S->Attempt.Request.Sequence;
        Requests.at(Id).StartedAt = Now;
        push(Requests.at(Id).RunTime, Event::End, Id);
      }
      if (const auto *F = std::get_if<AttemptFailed>(&Action))
        handleFailure(*F);
      if (const auto *A = std::get_if<AbortAttempt>(&Action))
        handleActions(G->finished(A->Attempt, {RunEnd::Aborted, 0, {}}, Now));
    }
  }

  /// Counts a failed request by its reason.
  void handleFailure(const AttemptFailed &F) {
    auto It = Requests.find(F.Attempt.Request.Sequence);
    Duration Elapsed = Now - It->second.ArrivedAt;
    Requests.erase(It);
    if (!isMeasuring())
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
    Row.SlowestRefusal = std::max(Row.SlowestRefusal, Elapsed);
  }

  void summarise() {
    // Of the requests that are still running, the time until the end of the
    // measurement counts. Correspondingly, requests that were running at its
    // start count from there.
    for (const auto &[Id, R] : Requests)
      if (R.StartedAt > Time())
        GoodputTime =
            GoodputTime + (MeasureEnd - std::max(R.StartedAt, MeasureStart));
    double SlotTime = Options.Servers * Options.Slots * Options.Length.ms();
    Row.Goodput = GoodputTime.ms() / SlotTime;
    for (unsigned I = 0; I != Options.Organisations; ++I) {
      bool WithinShare = Rates[I] * Options.Organisations <= Capacity * 1.0001;
      if (WithinShare && Offered[I] != 0)
        Row.WorstServed =
            std::min(Row.WorstServed, static_cast<double>(Served[I]) /
                                          static_cast<double>(Offered[I]));
    }
  }

  const OverloadOptions &Options;
  SeededRandom Random;
  std::unique_ptr<Guard> G;
  OverloadRow Row;
  /// Capacity of all slots together in requests per millisecond.
  double Capacity = 0;
  /// Offered load of each organisation in requests per millisecond.
  std::vector<double> Rates;
  /// Numbers of requests sent and answered during the measurement, by
  /// organisation.
  std::vector<std::uint64_t> Offered;
  std::vector<std::uint64_t> Served;
  std::priority_queue<Event> Events;
  std::map<std::uint64_t, Request> Requests;
  std::uint64_t Sequence = 0;
  /// Slot time of answered requests during the measurement.
  Duration GoodputTime;
  Time Now;
  Time MeasureStart;
  Time MeasureEnd;
};

std::string formatNumber(const char *Format, double Value) {
  char Buffer[32];
  std::snprintf(Buffer, sizeof Buffer, Format, Value);
  return Buffer;
}

} // namespace

OverloadRow runOverload(LoadMix Mix, double Load,
                        const OverloadOptions &Options) {
  return OverloadSimulation(Mix, Load, Options).run();
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
    Text += "| " + formatNumber("%.2f", R.Load);
    Text += " | " + formatNumber("%.1f", R.NoisyShares);
    Text += " | " + formatNumber("%.1f%%", R.Goodput * 100);
    for (std::uint64_t Count :
         {R.Answered, R.QueueFull, R.OverShare, R.Expired, R.ExpiredRunning})
      Text += " | " + std::to_string(Count);
    Text += " | " + formatNumber("%.1f", R.SlowestRefusal.ms());
    Text += " | " + formatNumber("%.1f%%", R.WorstServed * 100) + " |\n";
  }
  return Text;
}

} // namespace teaselhitch
