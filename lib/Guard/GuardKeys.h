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
/// is free, held by one waiting attempt, or permanently used.
class GuardKeys {
public:
  explicit GuardKeys(const GuardSettings &Settings) : Settings(Settings) {}

  /// Issues a key. The result is empty if there are MaxKeys unexpired keys.
  /// Keys are counted when they are issued, not when they are used, so that
  /// each issued key can be used.
  std::string mint(Time Now);

  /// Returns the sequence number of a free key, or the reason why the key
  /// cannot be used.
  std::variant<std::uint64_t, Reason> check(std::string_view Text,
                                            Time Now) const;

  /// Binds the key to a waiting attempt; other attempts with the key are
  /// refused.
  void hold(std::uint64_t Sequence) { set(Sequence, State::Held); }
  /// Frees the key because the attempt that held it was refused before it
  /// started.
  void release(std::uint64_t Sequence) { set(Sequence, State::Free); }
  /// Marks the key as used because the attempt that held it starts.
  void use(std::uint64_t Sequence) { set(Sequence, State::Used); }

  /// Removes expired keys; `check` refuses them by their expiry.
  void expire(Time Now);

private:
  enum class State : std::uint8_t { Free, Held, Used };
  struct IssuedKey {
    std::uint64_t ExpiryMs = 0;
    State CurrentState = State::Free;
  };

  void set(std::uint64_t Sequence, State NewState);

  const GuardSettings &Settings;
  /// Ordered by sequence number, which is also the order of expiry.
  std::deque<IssuedKey> Keys;
  /// Sequence number of the first element of Keys.
  std::uint64_t FirstSequence = 1;
};

} // namespace teaselhitch

#endif
