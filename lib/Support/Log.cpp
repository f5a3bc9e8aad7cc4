#include "teaselhitch/Support/Log.h"

#include "teaselhitch/Support/Clock.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>
#include <log4cplus/appender.h>
#include <log4cplus/asyncappender.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <memory>
#include <mutex>

namespace teaselhitch {

namespace {

/// Maximum number of lines that are queued for the log thread.
constexpr unsigned LogQueueLength = 4096;
/// Additional capacity of the log4cplus queue beyond LogQueueLength, so that
/// the queue never blocks the calling thread.
constexpr unsigned LogQueueReserve = 64;

/// Maximum number of lines that a process writes per second; a burst can have
/// as many lines. A request writes about ten lines, and a node of the target
/// size has about 90 requests per second, of which a part is its own.
constexpr double MaxLinesPerSecond = 2000;

std::atomic<bool> Configured{false};
/// Number of lines that are queued for the log thread and not written yet.
std::atomic<unsigned> QueuedLines{0};
std::atomic<std::uint64_t> DroppedLines{0};

/// Token bucket that limits the rate of log lines of the process. Warnings and
/// errors are exempt from the limit.
class LineRateLimiter {
public:
  bool tryAcquire() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Time Now = MonotonicClock.now();
    constexpr double MsPerSecond = 1000;
    Tokens = std::min(MaxLinesPerSecond, Tokens + (Now - LastRefill).ms() /
                                                      MsPerSecond *
                                                      MaxLinesPerSecond);
    LastRefill = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  std::mutex Mutex;
  SteadyClock MonotonicClock;
  double Tokens = MaxLinesPerSecond;
  Time LastRefill;
};

LineRateLimiter &lineRateLimiter() {
  static LineRateLimiter Limiter;
  return Limiter;
}

/// Returns true if a line of this level may be written. Otherwise counts the
/// line as dropped and returns false, so that the calling thread never blocks.
bool admitLine(LogLevel Level) {
  bool HasCapacity = QueuedLines.load() < LogQueueLength;
  bool IsUrgent = Level == LogLevel::Warning || Level == LogLevel::Error;
  if (HasCapacity && (IsUrgent || lineRateLimiter().tryAcquire()))
    return true;
  ++DroppedLines;
  return false;
}

/// Writes the message, which is a complete JSON object, and a line feed.
class LineLayout final : public log4cplus::Layout {
public:
  void formatAndAppend(log4cplus::tostream &Out,
                       const log4cplus::spi::InternalLoggingEvent &E) override {
    Out << E.getMessage() << '\n';
    --QueuedLines;
  }
};

log4cplus::Initializer &initializer() {
  static log4cplus::Initializer Instance;
  return Instance;
}

log4cplus::LogLevel toLog4cplusLevel(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cplus::DEBUG_LOG_LEVEL;
  case LogLevel::Info:
    return log4cplus::INFO_LOG_LEVEL;
  case LogLevel::Warning:
    return log4cplus::WARN_LOG_LEVEL;
  case LogLevel::Error:
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

const char *levelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "info";
}

boost::json::value toJson(const LogField &Field) {
  return std::visit(
      [](const auto &V) -> boost::json::value {
        return boost::json::value_from(V);
      },
      Field.Value);
}

} // namespace

void configureLogging(LogLevel Level, const std::string &Path) {
  initializer();
  log4cplus::SharedAppenderPtr Sink;
  if (Path == "stdout")
    Sink = new log4cplus::ConsoleAppender(false, true);
  else if (Path == "-")
    Sink = new log4cplus::ConsoleAppender(true, true);
  else
    Sink = new log4cplus::FileAppender(Path, std::ios_base::app);
  Sink->setLayout(std::make_unique<LineLayout>());
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  Root.removeAllAppenders();
  Root.addAppender(log4cplus::SharedAppenderPtr(
      new log4cplus::AsyncAppender(Sink, LogQueueLength + LogQueueReserve)));
  Root.setLogLevel(toLog4cplusLevel(Level));
  Configured = true;
}

void setLogLevel(LogLevel Level) {
  if (Configured)
    log4cplus::Logger::getRoot().setLogLevel(toLog4cplusLevel(Level));
}

std::uint64_t droppedLogLines() { return DroppedLines.load(); }

void shutdownLogging() {
  if (Configured.exchange(false))
    log4cplus::Logger::shutdown();
}

void logEvent(LogLevel Level, std::string_view Module, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!Configured)
    return;
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(toLog4cplusLevel(Level)) || !admitLine(Level))
    return;
  boost::json::object Record;
  Record["time_ms"] = static_cast<std::int64_t>(std::floor(wallClockMs()));
  Record["level"] = levelName(Level);
  Record["module"] = Module;
  Record["event"] = Event;
  for (const LogField &Field : Fields)
    Record[Field.Name] = toJson(Field);
  ++QueuedLines;
  Root.forcedLog(toLog4cplusLevel(Level), boost::json::serialize(Record));
}

} // namespace teaselhitch
