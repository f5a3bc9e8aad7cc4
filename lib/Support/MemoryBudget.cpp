#include "teaselhitch/Support/MemoryBudget.h"

#include <utility>

namespace teaselhitch {

namespace {

/// Reserved for small requests: 1/8 holds hundreds of them on the smallest
/// instance and leaves room for a body of 64 MiB.
constexpr std::uint64_t SmallPartDivisor = 8;

} // namespace

MemoryBudget::Reservation::Reservation(Reservation &&Other) noexcept
    : Budget(std::exchange(Other.Budget, nullptr)),
      Bytes(std::exchange(Other.Bytes, 0)) {}

MemoryBudget::Reservation &
MemoryBudget::Reservation::operator=(Reservation &&Other) noexcept {
  if (this != &Other) {
    release();
    Budget = std::exchange(Other.Budget, nullptr);
    Bytes = std::exchange(Other.Bytes, 0);
  }
  return *this;
}

bool MemoryBudget::Reservation::resize(std::uint64_t NewBytes) {
  if (!Budget || NewBytes == Bytes)
    return true;
  if (!Budget->change(Bytes, NewBytes, false))
    return false;
  Bytes = NewBytes;
  return true;
}

void MemoryBudget::Reservation::force(std::uint64_t NewBytes) {
  if (!Budget || NewBytes == Bytes)
    return;
  Budget->change(Bytes, NewBytes, true);
  Bytes = NewBytes;
}

void MemoryBudget::Reservation::release() noexcept { force(0); }

void MemoryBudget::setLimit(std::uint64_t NewLimit) {
  std::lock_guard<std::mutex> Lock(Mutex);
  Limit = NewLimit;
}

std::optional<MemoryBudget::Reservation>
MemoryBudget::reserve(std::uint64_t Bytes) {
  Reservation Reserved(*this);
  if (!Reserved.resize(Bytes))
    return std::nullopt;
  return Reserved;
}

std::uint64_t MemoryBudget::limit() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Limit;
}

std::uint64_t MemoryBudget::held() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return SmallHeld + LargeHeld;
}

std::uint64_t MemoryBudget::refusals() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Refusals;
}

std::uint64_t MemoryBudget::smallPart() const {
  return Limit / SmallPartDivisor;
}

bool MemoryBudget::fits(std::uint64_t OldBytes, std::uint64_t NewBytes) const {
  if (Limit == 0 || NewBytes <= OldBytes)
    return true;
  std::uint64_t Small = SmallHeld - (isLarge(OldBytes) ? 0 : OldBytes);
  std::uint64_t Large = LargeHeld - (isLarge(OldBytes) ? OldBytes : 0);
  bool IsWithinLimit = NewBytes <= Limit && Small + Large <= Limit - NewBytes;
  if (!isLarge(NewBytes))
    return IsWithinLimit;
  if (Large == 0 && Small <= smallPart())
    return true;
  return IsWithinLimit && Large + NewBytes <= Limit - smallPart();
}

bool MemoryBudget::change(std::uint64_t OldBytes, std::uint64_t NewBytes,
                          bool IsForced) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (!IsForced && !fits(OldBytes, NewBytes)) {
    ++Refusals;
    return false;
  }
  (isLarge(OldBytes) ? LargeHeld : SmallHeld) -= OldBytes;
  (isLarge(NewBytes) ? LargeHeld : SmallHeld) += NewBytes;
  return true;
}

} // namespace teaselhitch
