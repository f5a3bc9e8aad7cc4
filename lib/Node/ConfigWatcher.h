#ifndef TEASELHITCH_LIB_NODE_CONFIGWATCHER_H
#define TEASELHITCH_LIB_NODE_CONFIGWATCHER_H

/// \file
/// The thread that waits for new configurations from a configuration source
/// other than the project's object store.

#include "SharedState.h"
#include "teaselhitch/Config/WatchPlan.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/Random.h"

#include <atomic>
#include <memory>
#include <optional>
#include <thread>

namespace teaselhitch {

class ConfigWatcher {
public:
  ConfigWatcher(std::unique_ptr<ConfigSource> Source, NodeName Self,
                SharedState &Shared);
  ~ConfigWatcher() { stop(); }
  ConfigWatcher(const ConfigWatcher &) = delete;
  ConfigWatcher &operator=(const ConfigWatcher &) = delete;

  void start();
  /// Cancels the read that is waiting for the source and joins the thread.
  void stop();

private:
  void watch();
  WatchSituation situation() const;
  /// Waits for the next configuration and passes it to the peers thread.
  /// Returns false if the source could not be reached or did not answer in
  /// time.
  bool readNext(Duration Wait);
  /// Does the work of readNext(), but may throw.
  bool readNextUnchecked(Duration Wait, std::string &Cause);
  void pause(Duration Length);
  /// Logs when the source is lost and when it is back.
  void updateSourceState(bool Answered, const std::string &Cause);

  std::unique_ptr<ConfigSource> Source;
  NodeName Self;
  SharedState &Shared;
  SteadyClock SteadyTime;
  SeededRandom Random;
  double Jitter;
  Time StartedAt;
  std::optional<Time> LastCall;
  std::atomic<bool> IsStopping{false};
  bool IsSourceLost = false;
  std::thread Thread;
};

} // namespace teaselhitch

#endif
