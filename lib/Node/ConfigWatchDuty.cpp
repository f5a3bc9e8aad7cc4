#include "ConfigWatchDuty.h"

#include "teaselhitch/Support/Log.h"

#include <chrono>

namespace teaselhitch {

namespace {

/// Longest wait in one call. A connection that went silent, and a store that is
/// back, are noticed when it is over; with 5 s, a version that was written a
/// second after the store's return came too late into force.
constexpr Duration LongestWait = Duration::seconds(3);
/// Pause after a call that failed: a store that is back is used soon, and a
/// fleet of a thousand nodes makes at most some thousand calls a second.
constexpr Duration RetryPause = Duration(400);

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
    if (readNext() || IsStopping)
      continue;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(static_cast<int>(RetryPause.ms())));
  }
}

bool ConfigWatchDuty::readNext() {
  std::string Cause;
  bool Answered = handleError(
      [&]() -> Result<bool> {
        BOOST_LEAF_AUTO(Next, Source->next(LongestWait));
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
