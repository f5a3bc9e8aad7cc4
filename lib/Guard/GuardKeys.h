#ifndef TEASELHITCH_LIB_GUARD_GUARDKEYS_H
#define TEASELHITCH_LIB_GUARD_GUARDKEYS_H

#include "teaselhitch/Guard/Guard.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <variant>

namespace teaselhitch {

/// The guard-bound keys that this guard issued and that have not expired. A key
/// is either free, held by one waiting attempt, or used for good.
class GuardKeys {
public:
  explicit GuardKeys(const GuardSettings &Settings) : Settings(Settings) {}

  /// Issues a key; empty if MaxKeys keys have not expired. Keys are counted
  /// when issued, not when used, so that an issued key can always be used.
  std::string mint(Time Now);

  /// The sequence number of a free key, or why the key cannot be used.
  std::variant<std::uint64_t, Reason> check(std::string_view Text,
                                            Time Now) const;

  /// The key belongs to a waiting attempt; others are refused.
  void hold(std::uint64_t Sequence) { set(Sequence, State::Held); }
  /// The attempt that held the key was refused before it started.
  void release(std::uint64_t Sequence) { set(Sequence, State::Free); }
  /// The attempt that held the key starts.
  void use(std::uint64_t Sequence) { set(Sequence, State::Used); }

  /// Forgets expired keys; `check` refuses them by their expiry.
  void expire(Time Now);

private:
  enum class State : std::uint8_t { Free, Held, Used };
  struct Issued {
    std::uint64_t ExpiryMs = 0;
    State Now = State::Free;
  };

  void set(std::uint64_t Sequence, State NewState);

  const GuardSettings &Settings;
  /// In order of sequence, which is also the order of expiry.
  std::deque<Issued> Keys;
  /// Sequence of the first element of Keys.
  std::uint64_t FirstSequence = 1;
};

} // namespace teaselhitch

#endif
