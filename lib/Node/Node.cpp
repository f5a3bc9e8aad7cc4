#include "teaselhitch/Node/Node.h"

#include "BackendsThread.h"
#include "CallersThread.h"
#include "ConfigWatcher.h"
#include "OperatorsThread.h"
#include "PeersThread.h"
#include "PlatformThread.h"
#include "teaselhitch/Support/Log.h"

#include <csignal>
#include <malloc.h>
#include <utility>

namespace teaselhitch {

namespace {

constexpr Duration DrainCheckInterval = Duration(50);
/// How long the responses to requests that were ended may take to be sent. It
/// is part of the second that the settings reserve for the exit.
constexpr Duration FlushTime = Duration(200);
/// How long the end of a process that is drained may be delayed until the
/// departures of its backend servers are recorded. In calm it takes
/// milliseconds; without the platform's store, other nodes keep the departures.
constexpr Duration RecordTime = Duration::seconds(1);
/// How often the settings file is checked; it may change without a signal.
constexpr Duration SettingsCheckInterval = Duration::seconds(1);

/// Copies the settings that can change without a restart. Returns true if no
/// other setting differs.
bool applyReloadable(const NodeSettings &New, NodeSettings &Current) {
  Current.DrainTimeout = New.DrainTimeout;
  Current.DrainGrace = New.DrainGrace;
  Current.Level = New.Level;
  return New == Current;
}

class NodeImpl final : public Node {
public:
  NodeImpl(const NodeSettings &Settings, std::unique_ptr<SettingsSource> Source)
      : Settings(Settings), Source(std::move(Source)) {}

  ~NodeImpl() override { stopAll(); }

  Result<void> open() {
    // A restarted node gets a higher incarnation. If the wall clock was set
    // back, the membership raises the incarnation above the one that peers
    // know.
    auto Incarnation = static_cast<std::uint64_t>(wallClockMs());
    limitMemory();
    BOOST_LEAF_ASSIGN(
        Adapter, PlatformRegistry::create(Settings.PlatformKind, Settings));
    BOOST_LEAF_AUTO(Source, Adapter->configSource());
    BOOST_LEAF_ASSIGN(Platform, PlatformThread::create(Settings, *Adapter,
                                                       Incarnation, Shared));
    BOOST_LEAF_ASSIGN(Peers, PeersThread::create(Settings, Source == nullptr,
                                                 Incarnation, Shared));
    if (Source)
      Watcher = std::make_unique<ConfigWatcher>(std::move(Source),
                                                Settings.Node, Shared);
    BOOST_LEAF_ASSIGN(Backends, BackendsThread::create(Settings, *Adapter,
                                                       Incarnation, Shared));
    BOOST_LEAF_ASSIGN(Callers, CallersThread::create(Settings, *Adapter,
                                                     Incarnation, Shared));
    BOOST_LEAF_ASSIGN(Operators,
                      OperatorsThread::create(Settings, Incarnation, Shared));
    return {};
  }

  bool run() override {
    MainLoop.onSignal([this](int SignalNumber) {
      if (SignalNumber == SIGHUP)
        reload("signal");
      else
        drain();
    });
    if (Source)
      MainLoop.schedulePeriodic(SettingsCheckInterval,
                                [this] { reload("file"); });
    for (EventLoopThread *T : threads())
      T->start();
    if (Watcher)
      Watcher->start();
    logEvent(LogLevel::Info, "node", "started",
             {{"node", Settings.Node.str()},
              {"callers", toString(Settings.Callers)}});
    MainLoop.run();
    stopAll();
    logEvent(LogLevel::Info, "node", "stopped", {{"graceful", IsGraceful}});
    return IsGraceful;
  }

  void onEnd(std::function<void(bool)> Function) override {
    OnEnd = std::move(Function);
  }

private:
  std::vector<EventLoopThread *> threads() {
    return {Platform.get(), Peers.get(), Backends.get(), Callers.get(),
            Operators.get()};
  }

  void limitMemory() {
    Shared.Memory.setLimit(heldBytesLimit(Settings));
    if (Settings.MemoryBytes == 0)
      return;
    // By default, the allocator raises this threshold to the size of a freed
    // block, up to 32 MiB, and then keeps freed bodies resident.
    constexpr int MapThresholdBytes = 128 * 1024;
    mallopt(M_MMAP_THRESHOLD, MapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, MapThresholdBytes);
  }

  void stopAll() {
    if (Watcher)
      Watcher->stop();
    for (EventLoopThread *T : threads())
      if (T)
        T->stop();
  }

  void reload(const char *Cause) {
    if (!Source)
      return;
    handleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(Changed, Source->pollChanges());
          if (Changed)
            apply(*Changed, Cause);
          return true;
        },
        [&](const Error &E) {
          logEvent(LogLevel::Error, "node", "settings-refused",
                   {{"cause", Cause}, {"error", E.Message}});
          return false;
        });
  }

  void apply(const NodeSettings &New, const char *Cause) {
    bool IsComplete = applyReloadable(New, Settings);
    setLogLevel(Settings.Level);
    logEvent(LogLevel::Info, "node", "settings-reloaded",
             {{"cause", Cause}, {"needs_restart", !IsComplete}});
    Shared.Audit.record("settings-reloaded", Settings.Node.str(),
                        IsComplete ? "in force" : "the rest at the next start");
  }

  void drain() {
    if (DrainStarted > Time())
      return;
    DrainStarted = SteadyTime.now();
    logEvent(LogLevel::Info, "node", "draining",
             {{"node", Settings.Node.str()}});
    Shared.Audit.record("node-draining", Settings.Node.str(), "signal");
    Operators->drain();
    Peers->leave();
    Platform->leave();
    Backends->drain();
    Callers->drain(Settings.DrainGrace);
    MainLoop.schedulePeriodic(DrainCheckInterval, [this] { checkDrained(); });
  }

  void checkDrained() {
    Duration Elapsed = SteadyTime.now() - DrainStarted;
    bool IsIdle = Callers->isIdle() && Backends->isIdle();
    // Waits two check intervals after the grace time, so that requests accepted
    // at its very end are counted as in progress.
    if (Elapsed > Settings.DrainGrace + DrainCheckInterval * 2 && IsIdle &&
        hasRecordedDepartures())
      return finish(true);
    Duration Overtime = Elapsed - Settings.DrainGrace - Settings.DrainTimeout;
    if (Overtime.ms() > 0 && !HasEndedRequests) {
      HasEndedRequests = true;
      logEvent(LogLevel::Warning, "node", "requests-ended",
               {{"cause", "the time for the drain is over"}});
      Callers->endRequests();
    }
    if (Overtime > FlushTime)
      finish(IsIdle);
  }

  /// Returns true once all departures are in the platform's store or RecordTime
  /// is over. The store is checked first, because a restore may have lost some.
  bool hasRecordedDepartures() {
    if (DrainedAt == Time()) {
      DrainedAt = SteadyTime.now();
      Platform->checkStore();
      return false;
    }
    // The notice of a restore may be on its way when the store is checked.
    bool WasRecorded =
        std::exchange(IsRecorded, Platform->isStoreChecked() &&
                                      Backends->hasRecordedDepartures());
    if (WasRecorded && IsRecorded)
      return true;
    if (SteadyTime.now() - DrainedAt <= RecordTime)
      return false;
    logEvent(LogLevel::Warning, "node", "departures-not-recorded",
             {{"waited_ms", RecordTime.ms()}});
    return true;
  }

  void finish(bool Done) {
    IsGraceful = Done && !HasEndedRequests;
    if (OnEnd)
      std::exchange(OnEnd, nullptr)(IsGraceful);
    MainLoop.stop();
  }

  NodeSettings Settings;
  std::unique_ptr<SettingsSource> Source;
  std::unique_ptr<PlatformAdapter> Adapter;
  SharedState Shared;
  EventLoop MainLoop;
  SteadyClock SteadyTime;
  Time DrainStarted;
  /// When all requests had ended after the drain.
  Time DrainedAt;
  /// Whether all departures were recorded at the last check.
  bool IsRecorded = false;
  bool IsGraceful = false;
  /// The time for the drain was over while requests were in progress.
  bool HasEndedRequests = false;
  std::function<void(bool)> OnEnd;
  std::unique_ptr<PlatformThread> Platform;
  std::unique_ptr<ConfigWatcher> Watcher;
  std::unique_ptr<PeersThread> Peers;
  std::unique_ptr<BackendsThread> Backends;
  std::unique_ptr<CallersThread> Callers;
  std::unique_ptr<OperatorsThread> Operators;
};

} // namespace

Result<std::unique_ptr<Node>>
Node::create(const NodeSettings &Settings,
             std::unique_ptr<SettingsSource> Source) {
  auto Created = std::make_unique<NodeImpl>(Settings, std::move(Source));
  BOOST_LEAF_CHECK(Created->open());
  return std::unique_ptr<Node>(std::move(Created));
}

} // namespace teaselhitch
