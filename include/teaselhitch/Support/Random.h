#ifndef TEASELHITCH_SUPPORT_RANDOM_H
#define TEASELHITCH_SUPPORT_RANDOM_H

/// \file
/// Random numbers that are passed into decisions, so that tests can fix the
/// seed.

#include <cstdint>
#include <random>

namespace teaselhitch {

/// A source of random numbers. Not for secrets.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Uniform over all 64-bit values.
  virtual std::uint64_t next() = 0;

  /// Uniform over [0, Bound). Bound must be positive. The modulo bias is below
  /// 2^-32 for the small bounds used here.
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }

  /// Uniform over [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// A repeatable generator.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace teaselhitch

#endif
