#ifndef TEASELHITCH_SUPPORT_CLOCK_H
#define TEASELHITCH_SUPPORT_CLOCK_H

/// \file
/// The project's clock types: points in time and durations in milliseconds.

#include <compare>

namespace teaselhitch {

/// A span of time in milliseconds. Fractions are kept, because latencies
/// between failure domains are below one millisecond.
class Duration {
public:
  constexpr Duration() = default;
  constexpr explicit Duration(double Ms) : Ms(Ms) {}

  static constexpr Duration seconds(double S) { return Duration(S * 1000.0); }

  /// The span in milliseconds.
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

/// A point in time in milliseconds since an arbitrary origin of the process.
/// Values of different processes cannot be compared.
class Time {
public:
  constexpr Time() = default;
  constexpr explicit Time(double Ms) : Ms(Ms) {}

  /// Milliseconds since the origin.
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

/// Source of the current time. Decisions take the time as an argument; only
/// the threads around them read a clock.
class Clock {
public:
  virtual ~Clock() = default;
  virtual Time now() const = 0;
};

/// The monotonic clock of the operating system. Steps of the wall clock do
/// not change it.
class SteadyClock final : public Clock {
public:
  Time now() const override;
};

/// Wall clock time in milliseconds since the Unix epoch. For log records, the
/// audit trail and first incarnations only, never for decisions.
double wallClockMs();

} // namespace teaselhitch

#endif
