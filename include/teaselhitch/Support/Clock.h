#ifndef TEASELHITCH_SUPPORT_CLOCK_H
#define TEASELHITCH_SUPPORT_CLOCK_H

/// \file
/// Clocks, and types for points in time and durations in milliseconds.

#include <compare>

namespace teaselhitch {

/// A duration in milliseconds. Fractions of a millisecond are kept because
/// latencies between failure domains are below one millisecond.
class Duration {
public:
  constexpr Duration() = default;
  constexpr explicit Duration(double Ms) : Ms(Ms) {}

  static constexpr Duration seconds(double S) { return Duration(S * 1000.0); }

  /// Returns the duration in milliseconds.
  constexpr double ms() const { return Ms; }

  constexpr auto operator<=>(const Duration &) const = default;
  constexpr Duration operator+(Duration Other) const {
    return Duration(Ms + Other.Ms);
  }
  constexpr Duration operator-(Duration Other) const {
    return Duration(Ms - Other.Ms);
  }
  constexpr Duration operator*(double Factor) const {
    return Duration(Ms * Factor);
  }

private:
  double Ms = 0;
};

/// A point in time in milliseconds since an arbitrary origin that is specific
/// to the process. Values from different processes are not comparable.
class Time {
public:
  constexpr Time() = default;
  constexpr explicit Time(double Ms) : Ms(Ms) {}

  /// Returns the milliseconds since the origin.
  constexpr double ms() const { return Ms; }

  constexpr auto operator<=>(const Time &) const = default;
  constexpr Time operator+(Duration D) const { return Time(Ms + D.ms()); }
  constexpr Time operator-(Duration D) const { return Time(Ms - D.ms()); }
  constexpr Duration operator-(Time Other) const {
    return Duration(Ms - Other.Ms);
  }

private:
  double Ms = 0;
};

/// Source of the current time. Code that makes decisions takes the current time
/// as an argument; only the threads that call this code read a clock.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
};

/// The monotonic clock of the operating system, which is unaffected by
/// adjustments of the wall clock and also counts the time during which the
/// machine is suspended.
class SteadyClock final : public Clock {
public:
  Time now() const override;
};

/// Returns the wall clock time in milliseconds since the Unix epoch. Use it
/// only for timestamps of records in the log and the audit trail and for
/// initial incarnation numbers, never for decisions.
double wallClockMs();

} // namespace teaselhitch

#endif
