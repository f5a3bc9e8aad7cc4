#ifndef TEASELHITCH_LIB_NET_REQUESTPIPELINE_H
#define TEASELHITCH_LIB_NET_REQUESTPIPELINE_H

/// \file
/// The requests of one connection that were received and whose responses are
/// not yet written. Decides which request may be handled and which response may
/// be written; does no I/O.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Support/Clock.h"
#include "teaselhitch/Support/MemoryBudget.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace teaselhitch {

/// A received request.
struct ReceivedRequest {
  HttpRequest Request;
  Time ReceivedAt;
  /// The memory of the request without its body.
  MemoryBudget::Reservation Held;
  bool IsHead = false;
  /// The connection may be used for further requests after this one.
  bool KeepAlive = true;
};

/// A response that is to be written.
struct PendingResponse {
  HttpAnswer Answer;
  bool IsHead = false;
  bool KeepAlive = true;
};

/// Requests are identified by serial numbers, which are unique within the
/// connection. Calls with the number of a request that is no longer present
/// have no effect.
class RequestPipeline {
public:
  /// \param MaxRequests maximum number of requests, at least 1.
  explicit RequestPipeline(std::uint32_t MaxRequests)
      : MaxRequests(MaxRequests) {}

  bool isEmpty() const { return Entries.empty(); }
  std::size_t size() const { return Entries.size(); }
  /// True while a response is being written.
  bool isWriting() const { return IsWriting; }
  bool hasUnanswered() const;
  /// True if a further request may be received: the bound is not reached, no
  /// response is being written, and no earlier request ends the connection.
  bool canAdd() const;

  /// Adds a request that waits for takeReady().
  void add(ReceivedRequest Received);
  /// Adds a request that is answered already and is not handled.
  void addAnswered(HttpAnswer Answer, bool IsHead, bool KeepAlive);

  struct Ready {
    std::uint64_t Serial = 0;
    HttpRequest Request;
    Time ReceivedAt;
    MemoryBudget::Reservation Held;
  };
  /// Returns the next request that may be handled now, or nothing. A request
  /// waits while one before it waits or holds later ones, and a deferred one
  /// until it is the first.
  std::optional<Ready> takeReady();

  /// True if the responses to earlier requests are not completely written.
  bool hasEarlier(std::uint64_t Serial) const;
  /// Makes all later requests wait until the response to this one is written.
  void holdLater(std::uint64_t Serial);
  /// Returns a request that is being handled; it becomes ready again when it is
  /// the first.
  void defer(Ready Request);
  void onDisconnect(std::uint64_t Serial, std::function<void()> Function);
  /// Sets the response to a request that is being handled. Returns false if the
  /// request is not present or answered already.
  bool answer(std::uint64_t Serial, HttpAnswer Answer);

  /// Returns the next response to write, or nothing if the response to the
  /// first request is missing or being written.
  /// \param IsDraining the last response closes the connection.
  std::optional<PendingResponse> startWriting(bool IsDraining);
  /// Removes the request whose response was written.
  void finishWriting();

  /// Removes all requests. Returns the functions to be called for those that
  /// were being handled.
  std::vector<std::function<void()>> cancel();

private:
  enum class State : std::uint8_t { Waiting, Handled, Answered };

  struct Entry {
    std::uint64_t Serial = 0;
    State Current = State::Waiting;
    ReceivedRequest Received;
    HttpAnswer Answer;
    std::function<void()> OnDisconnect;
    bool IsDeferred = false;
    bool HoldsLater = false;
  };

  /// Returns a request that is being handled, or null.
  Entry *findHandled(std::uint64_t Serial);

  std::uint32_t MaxRequests;
  std::uint64_t NextSerial = 1;
  std::deque<Entry> Entries;
  bool IsWriting = false;
};

} // namespace teaselhitch

#endif
