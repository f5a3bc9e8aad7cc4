#include "ConfigWatcher.h"

#include "teaselhitch/Support/Log.h"

#include <algorithm>
#include <chrono>
#include <random>

namespace teaselhitch {

namespace {

/// A pause sleeps in steps of this length, so that stop() returns soon.
constexpr Duration PauseStep = Duration(200);

} // namespace

ConfigWatcher::ConfigWatcher(std::unique_ptr<ConfigSource> Source,
                             NodeName Self, SharedState &Shared)
    : Source(std::move(Source)), Self(std::move(Self)), Shared(Shared),
      Random(std::random_device()()), Jitter(Random.uniform()),
      StartedAt(SteadyTime.now()) {}

void ConfigWatcher::start() {
  Thread = std::thread([this] { watch(); });
}

void ConfigWatcher::stop() {
  IsStopping = true;
  if (!Thread.joinable())
    return;
  Source->cancel();
  Thread.join();
}

void ConfigWatcher::watch() {
  while (!IsStopping) {
    std::shared_ptr<const FleetView> View = Shared.View.current();
    WatchPlan Plan = planWatch(Self, View.get(), situation());
    if (!Plan.Wait) {
      pause(Plan.RetryDelay);
      continue;
    }
    LastCall = SteadyTime.now();
    Jitter = Random.uniform();
    if (!readNext(*Plan.Wait))
      pause(Plan.RetryDelay);
  }
}

WatchSituation ConfigWatcher::situation() const {
  Time Now = SteadyTime.now();
  WatchSituation S;
  S.Uptime = Now - StartedAt;
  if (double Contact = Shared.LastPeerContact; Contact > 0)
    S.SincePeerContact = Now - Time(Contact);
  if (LastCall)
    S.SinceLastCall = Now - *LastCall;
  S.HasConfig = Shared.Config.current() != nullptr;
  S.IsOverdue = Shared.IsConfigOverdue;
  S.Jitter = Jitter;
  return S;
}

void ConfigWatcher::pause(Duration Length) {
  for (Duration Remaining = Length; Remaining.ms() > 0 && !IsStopping;
       Remaining = Remaining - PauseStep)
    std::this_thread::sleep_for(std::chrono::milliseconds(
        static_cast<int>(std::min(Remaining, PauseStep).ms())));
}

bool ConfigWatcher::readNext(Duration Wait) {
  std::string Cause;
  bool Answered = false;
  try {
    Answered = readNextUnchecked(Wait, Cause);
  } catch (const std::exception &E) {
    // An entry of the source that cannot be handled must not end the process,
    // which would read it again at its next start.
    Cause = E.what();
    logEvent(LogLevel::Error, "config", "configuration-refused",
             {{"error", Cause}});
  }
  updateSourceState(Answered, Cause);
  return Answered;
}

bool ConfigWatcher::readNextUnchecked(Duration Wait, std::string &Cause) {
  return handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Next, Source->next(Wait));
        if (Next && !Shared.ConfigToPeers.trySend(std::move(*Next)))
          logEvent(LogLevel::Error, "config", "configuration-dropped",
                   {{"cause", "the channel to the peers thread is full"}});
        return true;
      },
      [&](const Error &E) {
        Cause = E.Message;
        if (E.Code == ErrorCode::Corrupt || E.Code == ErrorCode::InvalidInput) {
          logEvent(LogLevel::Error, "config", "configuration-refused",
                   {{"error", E.Message}});
          return true;
        }
        return false;
      });
}

void ConfigWatcher::updateSourceState(bool Answered, const std::string &Cause) {
  if (IsStopping || Answered != IsSourceLost)
    return;
  IsSourceLost = !Answered;
  if (IsSourceLost)
    logEvent(LogLevel::Warning, "config", "source-lost", {{"error", Cause}});
  else
    logEvent(LogLevel::Info, "config", "source-back");
}

} // namespace teaselhitch
