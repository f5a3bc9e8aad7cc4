#ifndef TEASELHITCH_LIB_NODE_CONFIGWATCHDUTY_H
#define TEASELHITCH_LIB_NODE_CONFIGWATCHDUTY_H

/// \file
/// The thread that waits for configurations of a source outside of the
/// project's object store.

#include "Channels.h"
#include "teaselhitch/Support/Clock.h"

#include <atomic>
#include <memory>
#include <thread>

namespace teaselhitch {

class ConfigWatchDuty {
public:
  ConfigWatchDuty(std::unique_ptr<ConfigSource> Source, NodeName Self,
                  Channels &Rings)
      : Source(std::move(Source)), Self(std::move(Self)), Rings(Rings) {}
  ~ConfigWatchDuty() { stop(); }
  ConfigWatchDuty(const ConfigWatchDuty &) = delete;
  ConfigWatchDuty &operator=(const ConfigWatchDuty &) = delete;

  void start();
  /// Ends the wait for the source.
  void stop();

private:
  void watch();
  /// False if the source did not answer within the wait.
  bool readNext(Duration Wait);
  void pause(Duration Length);
  void noteAnswer(bool Answered, const std::string &Cause);

  std::unique_ptr<ConfigSource> Source;
  NodeName Self;
  Channels &Rings;
  std::atomic<bool> IsStopping{false};
  bool IsLost = false;
  std::thread Thread;
};

} // namespace teaselhitch

#endif
