#include "ConfigWatchDuty.h"

#include "teaselhitch/Config/WatchPlan.h"
#include "teaselhitch/Support/Log.h"

#include <algorithm>
#include <chrono>

namespace teaselhitch {

namespace {

/// A pause is cut into parts of this length, so that a stop does not wait.
constexpr Duration PausePart = Duration(200);

} // namespace

void ConfigWatchDuty::start() {
  Thread = std::thread([this] { watch(); });
}

void ConfigWatchDuty::stop() {
  IsStopping = true;
  if (!Thread.joinable())
    return;
  Source->cancel();
  Thread.join();
}

void ConfigWatchDuty::watch() {
  while (!IsStopping) {
    std::shared_ptr<const FleetView> View = Rings.View.current();
    WatchPlan Plan = planWatch(Self, View.get());
    if (!readNext(Plan.Wait))
      pause(Plan.RetryDelay);
  }
}

void ConfigWatchDuty::pause(Duration Length) {
  for (Duration Left = Length; Left.ms() > 0 && !IsStopping;
       Left = Left - PausePart)
    std::this_thread::sleep_for(std::chrono::milliseconds(
        static_cast<int>(std::min(Left, PausePart).ms())));
}

bool ConfigWatchDuty::readNext(Duration Wait) {
  std::string Cause;
  bool Answered = handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Next, Source->next(Wait));
        if (Next && !Rings.ConfigToPeers.trySend(std::move(*Next)))
          logEvent(LogLevel::Error, "config", "configuration-dropped",
                   {{"cause", "the ring to the peers thread is full"}});
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
  noteAnswer(Answered, Cause);
  return Answered;
}

void ConfigWatchDuty::noteAnswer(bool Answered, const std::string &Cause) {
  if (IsStopping || Answered != IsLost)
    return;
  IsLost = !Answered;
  if (IsLost)
    logEvent(LogLevel::Warning, "config", "source-lost", {{"error", Cause}});
  else
    logEvent(LogLevel::Info, "config", "source-back");
}

} // namespace teaselhitch
