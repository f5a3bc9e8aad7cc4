#include "GuardKeys.h"

#include "teaselhitch/Guard/GuardKey.h"
#include "teaselhitch/Support/Hash.h"

#include <cmath>
#include <optional>

namespace teaselhitch {

namespace {

bool isExpired(std::uint64_t ExpiryMs, Time Now) {
  return static_cast<double>(ExpiryMs) <= Now.ms();
}

} // namespace

std::string GuardKeys::mint(Time Now) {
  expire(Now);
  if (Keys.size() >= Settings.MaxKeys)
    return {};
  GuardKey Key;
  Key.Node = Settings.Node;
  Key.Incarnation = Settings.Incarnation;
  Key.Sequence = FirstSequence + Keys.size();
  Key.ExpiryMs =
      static_cast<std::uint64_t>(std::ceil((Now + Settings.KeyLifetime).ms()));
  Key.Mac = hmacSha256Hex(Settings.KeySecret, signedPart(Key));
  Keys.push_back({Key.ExpiryMs, State::Free});
  return toString(Key);
}

std::variant<std::uint64_t, Reason> GuardKeys::check(std::string_view Text,
                                                     Time Now) const {
  std::optional<GuardKey> Key = parseGuardKey(Text);
  if (!Key)
    return Reason::BadRequest;
  std::string Mac = hmacSha256Hex(Settings.KeySecret, signedPart(*Key));
  if (!equalConstantTime(Mac, Key->Mac))
    return Reason::BadRequest;
  if (Key->Node != Settings.Node || Key->Incarnation != Settings.Incarnation)
    return Reason::KeyOwnerGone;
  if (isExpired(Key->ExpiryMs, Now))
    return Reason::KeyExpired;
  // The key can only have been issued by another process of the same name and
  // incarnation.
  if (Key->Sequence < FirstSequence ||
      Key->Sequence - FirstSequence >= Keys.size())
    return Reason::KeyOwnerGone;
  if (Keys[Key->Sequence - FirstSequence].CurrentState != State::Free)
    return Reason::KeyAlreadyUsed;
  return Key->Sequence;
}

void GuardKeys::expire(Time Now) {
  while (!Keys.empty() && isExpired(Keys.front().ExpiryMs, Now)) {
    Keys.pop_front();
    ++FirstSequence;
  }
}

void GuardKeys::set(std::uint64_t Sequence, State NewState) {
  // The key may have expired while the attempt was waiting.
  if (Sequence >= FirstSequence)
    Keys[Sequence - FirstSequence].CurrentState = NewState;
}

} // namespace teaselhitch
