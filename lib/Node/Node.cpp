#include "teaselhitch/Node/Node.h"

#include "BackendsDuty.h"
#include "CallersDuty.h"
#include "ConfigWatchDuty.h"
#include "OperatorsDuty.h"
#include "PeersDuty.h"
#include "PlatformDuty.h"
#include "teaselhitch/Support/Log.h"

#include <csignal>

namespace teaselhitch {

namespace {

constexpr Duration DrainCheckInterval = Duration(50);
/// How often the settings file is looked at; it may change without a signal.
constexpr Duration SettingsCheckInterval = Duration::seconds(1);

/// Copies what a running node can change. True if nothing else differs.
bool applyLive(const NodeSettings &New, NodeSettings &Current) {
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
    // A later start has a higher incarnation. If the wall clock was set back,
    // the membership raises the incarnation above the one that peers know.
    auto Incarnation = static_cast<std::uint64_t>(wallClockMs());
    BOOST_LEAF_ASSIGN(
        Adapter, PlatformRegistry::create(Settings.PlatformKind, Settings));
    BOOST_LEAF_AUTO(Source, Adapter->configSource());
    BOOST_LEAF_ASSIGN(
        Platform, PlatformDuty::create(Settings, *Adapter, Incarnation, Rings));
    BOOST_LEAF_ASSIGN(Peers, PeersDuty::create(Settings, Source == nullptr,
                                               Incarnation, Rings));
    if (Source)
      Watch = std::make_unique<ConfigWatchDuty>(std::move(Source),
                                                Settings.Node, Rings);
    BOOST_LEAF_ASSIGN(
        Backends, BackendsDuty::create(Settings, *Adapter, Incarnation, Rings));
    BOOST_LEAF_ASSIGN(
        Callers, CallersDuty::create(Settings, *Adapter, Incarnation, Rings));
    BOOST_LEAF_ASSIGN(Operators,
                      OperatorsDuty::create(Settings, Incarnation, Rings));
    return {};
  }

  bool run() override {
    Main.onSignal([this](int Number) {
      if (Number == SIGHUP)
        reload("signal");
      else
        drain();
    });
    if (Source)
      Main.every(SettingsCheckInterval, [this] { reload("file"); });
    for (Duty *D : duties())
      D->start();
    if (Watch)
      Watch->start();
    logEvent(LogLevel::Info, "node", "started",
             {{"node", Settings.Node.str()},
              {"callers", toString(Settings.Callers)}});
    Main.run();
    stopAll();
    logEvent(LogLevel::Info, "node", "stopped", {{"graceful", Graceful}});
    return Graceful;
  }

private:
  std::vector<Duty *> duties() {
    return {Platform.get(), Peers.get(), Backends.get(), Callers.get(),
            Operators.get()};
  }

  void stopAll() {
    if (Watch)
      Watch->stop();
    for (Duty *D : duties())
      if (D)
        D->stop();
  }

  void reload(const char *Cause) {
    if (!Source)
      return;
    handleError(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(Changed, Source->changed());
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
    bool IsComplete = applyLive(New, Settings);
    setLogLevel(Settings.Level);
    logEvent(LogLevel::Info, "node", "settings-reloaded",
             {{"cause", Cause}, {"needs_restart", !IsComplete}});
    Rings.Audit.record("settings-reloaded", Settings.Node.str(),
                       IsComplete ? "in force" : "the rest at the next start");
  }

  void drain() {
    if (DrainStarted > Time())
      return;
    DrainStarted = Wall.now();
    logEvent(LogLevel::Info, "node", "draining",
             {{"node", Settings.Node.str()}});
    Rings.Audit.record("node-draining", Settings.Node.str(), "signal");
    Operators->drain();
    Peers->leave();
    Platform->leave();
    Backends->drain();
    Callers->drain(Settings.DrainGrace);
    Main.every(DrainCheckInterval, [this] { checkDrained(); });
  }

  void checkDrained() {
    Duration Elapsed = Wall.now() - DrainStarted;
    bool IsIdle = Callers->isIdle() && Backends->isIdle();
    // Two checks after the grace time, so that requests taken at its very end
    // are seen.
    if (Elapsed > Settings.DrainGrace + DrainCheckInterval * 2 && IsIdle)
      return finish(true);
    if (Elapsed > Settings.DrainGrace + Settings.DrainTimeout)
      finish(false);
  }

  void finish(bool Done) {
    Graceful = Done;
    Main.stop();
  }

  NodeSettings Settings;
  std::unique_ptr<SettingsSource> Source;
  std::unique_ptr<PlatformAdapter> Adapter;
  Channels Rings;
  EventLoop Main;
  SteadyClock Wall;
  Time DrainStarted;
  bool Graceful = false;
  std::unique_ptr<PlatformDuty> Platform;
  std::unique_ptr<ConfigWatchDuty> Watch;
  std::unique_ptr<PeersDuty> Peers;
  std::unique_ptr<BackendsDuty> Backends;
  std::unique_ptr<CallersDuty> Callers;
  std::unique_ptr<OperatorsDuty> Operators;
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
