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

/// Records that may wait for the log thread.
constexpr unsigned LogQueueLength = 4096;
/// Room in the library's queue beyond that, so that it never blocks a writer.
constexpr unsigned LogQueueReserve = 64;

/// Lines that one process writes in a second at most, after a burst of as many.
/// A request takes about ten lines; a node of the target size has some 90
/// requests a second, of which a part is its own.
constexpr double MaxLinesPerSecond = 2000;

std::atomic<bool> Configured{false};
/// Lines given to the log thread that are not written yet.
std::atomic<unsigned> Waiting{0};
std::atomic<std::uint64_t> Dropped{0};

/// Bounds the lines of a process. Warnings and errors always pass.
class LineBudget {
public:
  bool take() {
    std::lock_guard<std::mutex> Lock(Mutex);
    Time Now = Wall.now();
    constexpr double MsPerSecond = 1000;
    Left =
        std::min(MaxLinesPerSecond, Left + (Now - RefilledAt).ms() /
                                               MsPerSecond * MaxLinesPerSecond);
    RefilledAt = Now;
    if (Left < 1)
      return false;
    Left -= 1;
    return true;
  }

private:
  std::mutex Mutex;
  SteadyClock Wall;
  double Left = MaxLinesPerSecond;
  Time RefilledAt;
};

LineBudget &lineBudget() {
  static LineBudget Budget;
  return Budget;
}

/// False if the line has to be dropped, so that its writer never waits.
bool mayWrite(LogLevel Level) {
  bool HasRoom = Waiting.load() < LogQueueLength;
  bool IsUrgent = Level == LogLevel::Warning || Level == LogLevel::Error;
  if (HasRoom && (IsUrgent || lineBudget().take()))
    return true;
  ++Dropped;
  return false;
}

/// The message is a finished JSON object; the layout ends the line.
class LineLayout final : public log4cplus::Layout {
public:
  void formatAndAppend(log4cplus::tostream &Out,
                       const log4cplus::spi::InternalLoggingEvent &E) override {
    Out << E.getMessage() << '\n';
    --Waiting;
  }
};

log4cplus::Initializer &initializer() {
  static log4cplus::Initializer Instance;
  return Instance;
}

log4cplus::LogLevel toLibraryLevel(LogLevel Level) {
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
  Root.setLogLevel(toLibraryLevel(Level));
  Configured = true;
}

void setLogLevel(LogLevel Level) {
  if (Configured)
    log4cplus::Logger::getRoot().setLogLevel(toLibraryLevel(Level));
}

std::uint64_t droppedLogLines() { return Dropped.load(); }

void shutdownLogging() {
  if (Configured.exchange(false))
    log4cplus::Logger::shutdown();
}

void logEvent(LogLevel Level, std::string_view Module, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  if (!Configured)
    return;
  log4cplus::Logger Root = log4cplus::Logger::getRoot();
  if (!Root.isEnabledFor(toLibraryLevel(Level)) || !mayWrite(Level))
    return;
  boost::json::object Record;
  Record["time_ms"] = static_cast<std::int64_t>(std::floor(wallClockMs()));
  Record["level"] = levelName(Level);
  Record["module"] = Module;
  Record["event"] = Event;
  for (const LogField &Field : Fields)
    Record[Field.Name] = toJson(Field);
  ++Waiting;
  Root.forcedLog(toLibraryLevel(Level), boost::json::serialize(Record));
}

} // namespace teaselhitch
