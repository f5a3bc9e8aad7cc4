#ifndef TEASELHITCH_SUPPORT_SHAREDBYTES_H
#define TEASELHITCH_SUPPORT_SHAREDBYTES_H

/// \file
/// Immutable bytes that are stored once.

#include "teaselhitch/Support/MemoryBudget.h"

#include <compare>
#include <memory>
#include <string>
#include <utility>

namespace teaselhitch {

/// A body of a request or an answer. Copies share the bytes, and the
/// reservation that accounts for them, across threads; the last one releases
/// both.
class SharedBytes {
public:
  SharedBytes() = default;
  // Implicit, so that a string can be used where a body is expected.
  SharedBytes(std::string Bytes)
      : SharedBytes(std::move(Bytes), MemoryBudget::Reservation()) {}
  SharedBytes(const char *Text) : SharedBytes(std::string(Text)) {}
  SharedBytes(std::string Bytes, MemoryBudget::Reservation Held)
      : Data(Bytes.empty() ? nullptr
                           : std::make_shared<const Storage>(std::move(Bytes),
                                                             std::move(Held))) {
  }

  const std::string &str() const {
    static const std::string Empty;
    return Data ? Data->Bytes : Empty;
  }
  operator const std::string &() const { return str(); }
  std::size_t size() const { return str().size(); }
  bool empty() const { return Data == nullptr; }

  friend bool operator==(const SharedBytes &A, const SharedBytes &B) {
    return A.Data == B.Data || A.str() == B.str();
  }
  friend std::strong_ordering operator<=>(const SharedBytes &A,
                                          const SharedBytes &B) {
    return A.str() <=> B.str();
  }

private:
  struct Storage {
    Storage(std::string &&Bytes, MemoryBudget::Reservation &&Held)
        : Bytes(std::move(Bytes)), Held(std::move(Held)) {}

    std::string Bytes;
    MemoryBudget::Reservation Held;
  };

  std::shared_ptr<const Storage> Data;
};

} // namespace teaselhitch

#endif
