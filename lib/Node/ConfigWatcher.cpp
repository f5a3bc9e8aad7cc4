#include "ConfigWatcher.h"

#include "teaselhitch/Config/WatchPlan.h"
#include "teaselhitch/Support/Log.h"

#include <algorithm>
#include <chrono>

namespace teaselhitch {

namespace {

/// A pause sleeps in steps of this length, so that stop() returns soon.
constexpr Duration PauseStep = Duration(200);

} // namespace

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
    WatchPlan Plan = planWatch(Self, View.get());
    if (!readNext(Plan.Wait))
      pause(Plan.RetryDelay);
  }
}

void ConfigWatcher::pause(Duration Length) {
  for (Duration Remaining = Length; Remaining.ms() > 0 && !IsStopping;
       Remaining = Remaining - PauseStep)
    std::this_thread::sleep_for(std::chrono::milliseconds(
        static_cast<int>(std::min(Remaining, PauseStep).ms())));
}

bool ConfigWatcher::readNext(Duration Wait) {
  std::string Cause;
  bool Answered = handleError(
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
  updateSourceState(Answered, Cause);
  return Answered;
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
