#include "HttpServerState.h"

#include "HttpSession.h"

#include <utility>

namespace teaselhitch {

namespace {

constexpr Duration SweepInterval = Duration(100);
/// A request that has made no progress for less than this is not closed in
/// favour of others: the rest of an ordinary request arrives within some round
/// trips, or within one retransmission.
constexpr Duration MinStall = Duration(500);

} // namespace

bool HttpServerState::evictStalled(HttpServerEvent Event,
                                   const HttpSession *Except,
                                   std::uint64_t MinBytes) {
  // Delayed sessions are closed last: they stopped because of the server.
  auto Rank = [](const HttpSession &S) {
    return std::pair(S.isDelayed(), S.progressAt());
  };
  HttpSession *Victim = nullptr;
  for (HttpSession *S : Sessions)
    if (S != Except && S->isReceiving() && S->heldBytes() >= MinBytes &&
        (!Victim || Rank(*S) < Rank(*Victim)))
      Victim = S;
  if (!Victim || Monotonic.now() - Victim->progressAt() < MinStall)
    return false;
  std::shared_ptr<HttpSession> Kept = Victim->shared_from_this();
  notify(Event);
  Kept->abort();
  return true;
}

void HttpServerState::delay(std::shared_ptr<HttpSession> Session) {
  notify(HttpServerEvent::BodyDelayed);
  Delayed.push_back(std::move(Session));
  startTimer();
}

void HttpServerState::drain() {
  Draining = true;
  sweep();
}

void HttpServerState::close() {
  Timer.cancel();
  Delayed.clear();
  for (HttpSession *S : std::unordered_set<HttpSession *>(Sessions))
    S->close();
}

void HttpServerState::startTimer() {
  if (IsTimerRunning)
    return;
  IsTimerRunning = true;
  Timer.expires_after(toChrono(SweepInterval));
  Timer.async_wait([this](ErrorCodeT EC) {
    if (EC)
      return;
    IsTimerRunning = false;
    sweep();
  });
}

void HttpServerState::sweep() {
  if (Draining)
    for (HttpSession *S : std::unordered_set<HttpSession *>(Sessions))
      S->closeIfIdle();
  resumeDelayed();
  if (Draining || !Delayed.empty())
    startTimer();
}

void HttpServerState::resumeDelayed() {
  // The first one is not overtaken by those that need less.
  while (!Delayed.empty()) {
    std::shared_ptr<HttpSession> First = Delayed.front();
    if (!First->tryResume() &&
        !(evictStalled(HttpServerEvent::EvictedForMemory, First.get(),
                       MemoryBudget::LargeBytes + 1) &&
          First->tryResume()))
      return;
    Delayed.pop_front();
  }
}

} // namespace teaselhitch
