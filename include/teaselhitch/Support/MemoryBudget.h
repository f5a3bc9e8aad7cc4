#ifndef TEASELHITCH_SUPPORT_MEMORYBUDGET_H
#define TEASELHITCH_SUPPORT_MEMORYBUDGET_H

/// \file
/// Limit of the bytes that a process holds for requests and answers.

#include <cstdint>
#include <mutex>
#include <optional>

namespace teaselhitch {

/// Accounts for held bytes. Without a limit, bytes are counted and none are
/// refused. Thread-safe; must outlive its reservations.
///
/// A reservation above LargeBytes is large. Large reservations together leave
/// an eighth of the limit to small ones. A large reservation also fits,
/// whatever its size, if it is the only large one and small ones hold at most
/// their part, so that a body of the largest permitted size is never refused by
/// an otherwise empty process.
class MemoryBudget {
public:
  static constexpr std::uint64_t LargeBytes = 64ULL * 1024;

  /// Bytes that are held for one purpose until it is destroyed. Move-only. One
  /// reservation is used by one thread at a time.
  class Reservation {
  public:
    Reservation() = default;
    ~Reservation() { release(); }
    Reservation(Reservation &&Other) noexcept;
    Reservation &operator=(Reservation &&Other) noexcept;
    Reservation(const Reservation &) = delete;
    Reservation &operator=(const Reservation &) = delete;

    /// Changes the number of held bytes. Returns false, with nothing changed,
    /// if the new number does not fit. A lower number always fits. Without a
    /// budget, the bytes are neither counted nor refused.
    [[nodiscard]] bool resize(std::uint64_t NewBytes);
    /// Like resize(), by additional bytes.
    [[nodiscard]] bool grow(std::uint64_t MoreBytes) {
      return resize(Bytes + MoreBytes);
    }
    /// Changes the number of held bytes without a check, for bytes that are in
    /// memory already.
    void force(std::uint64_t NewBytes);
    void release() noexcept;
    std::uint64_t bytes() const { return Bytes; }

  private:
    friend class MemoryBudget;
    explicit Reservation(MemoryBudget &Owner) : Budget(&Owner) {}

    MemoryBudget *Budget = nullptr;
    std::uint64_t Bytes = 0;
  };

  /// \param Limit maximum number of held bytes; 0 for no limit.
  explicit MemoryBudget(std::uint64_t Limit = 0) : Limit(Limit) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  /// Sets the limit for later reservations; 0 for no limit.
  void setLimit(std::uint64_t NewLimit);

  /// Returns a reservation of no bytes, which can grow.
  Reservation open() { return Reservation(*this); }
  /// Returns nothing if the bytes do not fit.
  std::optional<Reservation> reserve(std::uint64_t Bytes);

  std::uint64_t limit() const;
  std::uint64_t held() const;
  /// Number of changes that were refused because they did not fit.
  std::uint64_t refusals() const;

private:
  static bool isLarge(std::uint64_t Bytes) { return Bytes > LargeBytes; }
  /// Part of the limit that large reservations leave to small ones.
  std::uint64_t smallPart() const;
  bool fits(std::uint64_t OldBytes, std::uint64_t NewBytes) const;
  bool change(std::uint64_t OldBytes, std::uint64_t NewBytes, bool IsForced);

  mutable std::mutex Mutex;
  std::uint64_t Limit;
  std::uint64_t SmallHeld = 0;
  std::uint64_t LargeHeld = 0;
  std::uint64_t Refusals = 0;
};

} // namespace teaselhitch

#endif
