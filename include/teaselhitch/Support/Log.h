#ifndef TEASELHITCH_SUPPORT_LOG_H
#define TEASELHITCH_SUPPORT_LOG_H

/// \file
/// Structured logs: one JSON object a line with time, level, module, event and
/// fields. Secrets and bodies are never logged.

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>
#include <variant>

namespace teaselhitch {

enum class LogLevel { Debug, Info, Warning, Error };

/// A named value of a log record.
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

/// Sets up logging for the process. Path is a file, or "-" for standard error.
/// Records below Level are dropped.
void configureLogging(LogLevel Level, const std::string &Path);

/// Changes the level of a running log.
void setLogLevel(LogLevel Level);

/// Flushes and closes the log.
void shutdownLogging();

/// Lines that were dropped because too many were written at once.
std::uint64_t droppedLogLines();

/// Writes a record. Module and Event are stable lower-case identifiers.
void logEvent(LogLevel Level, std::string_view Module, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace teaselhitch

#endif
