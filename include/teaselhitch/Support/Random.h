#ifndef TEASELHITCH_SUPPORT_RANDOM_H
#define TEASELHITCH_SUPPORT_RANDOM_H

/// \file
/// Sources of random numbers. Code that makes random decisions takes a source
/// as an argument, so that tests can use a fixed seed.

#include <cstdint>
#include <random>

namespace teaselhitch {

/// A random number generator. Not suitable for generating secrets.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Returns a value from a uniform distribution over all 64-bit values.
  virtual std::uint64_t next() = 0;

  /// Returns an integer from a uniform distribution over [0, Bound). Bound must
  /// be positive. The modulo bias is below 2^-32 for the small bounds used in
  /// this project.
  std::uint64_t uniformInt(std::uint64_t Bound) { return next() % Bound; }

  /// Returns a value from a uniform distribution over [0, 1).
  double uniform() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }
};

/// A generator that returns the same sequence for the same seed.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed) : Engine(Seed) {}
  std::uint64_t next() override { return Engine(); }

private:
  std::mt19937_64 Engine;
};

} // namespace teaselhitch

#endif
