#ifndef TEASELHITCH_SUPPORT_LOG_H
#define TEASELHITCH_SUPPORT_LOG_H

/// \file
/// Structured logging: each line is a JSON object with the time, level, module,
/// event and fields of a record. Secrets and bodies must never be logged.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace teaselhitch {

enum class LogLevel { Debug, Info, Warning, Error };

/// A named value in a log record.
struct LogField {
  template <typename T>
  LogField(std::string_view Name, const T &V) : Name(Name) {
    if constexpr (std::is_same_v<T, bool>)
      Value = V;
    else if constexpr (std::is_integral_v<T>)
      Value = static_cast<std::int64_t>(V);
    else if constexpr (std::is_floating_point_v<T>)
      Value = static_cast<double>(V);
    else
      Value = std::string(V);
  }

  std::string_view Name;
  std::variant<std::int64_t, double, bool, std::string> Value;
};

/// Configures logging for the process. Path is the path of a file, "-" for
/// standard error, or "stdout" for standard output. Records below Level are
/// discarded.
void configureLogging(LogLevel Level, const std::string &Path);

/// Changes the minimum level at run time. Has no effect while logging is not
/// configured.
void setLogLevel(LogLevel Level);

/// Flushes and closes the log.
void shutdownLogging();

/// Returns the number of log lines that were dropped because the rate limit was
/// exceeded or the queue was full.
std::uint64_t droppedLogLines();

/// Writes a log record. Module and Event are stable lower-case identifiers.
void logEvent(LogLevel Level, std::string_view Module, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace teaselhitch

#endif
