#include "RequestPipeline.h"

#include <algorithm>

namespace teaselhitch {

bool RequestPipeline::hasUnanswered() const {
  return std::any_of(Entries.begin(), Entries.end(), [](const Entry &E) {
    return E.Current != State::Answered;
  });
}

bool RequestPipeline::canAdd() const {
  return !IsWriting && Entries.size() < MaxRequests &&
         (Entries.empty() || Entries.back().Received.KeepAlive);
}

void RequestPipeline::add(ReceivedRequest Received) {
  Entry &Added = Entries.emplace_back();
  Added.Serial = NextSerial++;
  Added.Received = std::move(Received);
}

void RequestPipeline::addAnswered(HttpAnswer Answer, bool IsHead,
                                  bool KeepAlive) {
  ReceivedRequest Received;
  Received.IsHead = IsHead;
  Received.KeepAlive = KeepAlive;
  add(std::move(Received));
  Entries.back().Current = State::Answered;
  Entries.back().Answer = std::move(Answer);
}

std::optional<RequestPipeline::Ready> RequestPipeline::takeReady() {
  for (Entry &E : Entries) {
    if (E.Current == State::Waiting) {
      if (E.IsDeferred && E.Serial != Entries.front().Serial)
        return std::nullopt;
      E.Current = State::Handled;
      return Ready{E.Serial, std::move(E.Received.Request),
                   E.Received.ReceivedAt, std::move(E.Received.Held)};
    }
    if (E.HoldsLater)
      return std::nullopt;
  }
  return std::nullopt;
}

RequestPipeline::Entry *RequestPipeline::findHandled(std::uint64_t Serial) {
  auto It = std::find_if(Entries.begin(), Entries.end(), [&](const Entry &E) {
    return E.Serial == Serial && E.Current == State::Handled;
  });
  return It == Entries.end() ? nullptr : &*It;
}

bool RequestPipeline::hasEarlier(std::uint64_t Serial) const {
  return !Entries.empty() && Entries.front().Serial < Serial;
}

void RequestPipeline::holdLater(std::uint64_t Serial) {
  if (Entry *E = findHandled(Serial))
    E->HoldsLater = true;
}

void RequestPipeline::defer(Ready Request) {
  Entry *E = findHandled(Request.Serial);
  if (!E)
    return;
  E->Current = State::Waiting;
  E->IsDeferred = true;
  E->Received.Request = std::move(Request.Request);
  E->Received.Held = std::move(Request.Held);
}

void RequestPipeline::onDisconnect(std::uint64_t Serial,
                                   std::function<void()> Function) {
  if (Entry *E = findHandled(Serial))
    E->OnDisconnect = std::move(Function);
}

bool RequestPipeline::answer(std::uint64_t Serial, HttpAnswer Answer) {
  Entry *E = findHandled(Serial);
  if (!E)
    return false;
  E->Current = State::Answered;
  E->Answer = std::move(Answer);
  E->OnDisconnect = nullptr;
  return true;
}

std::optional<PendingResponse> RequestPipeline::startWriting(bool IsDraining) {
  if (IsWriting || Entries.empty() ||
      Entries.front().Current != State::Answered)
    return std::nullopt;
  IsWriting = true;
  Entry &First = Entries.front();
  bool EndsConnection = IsDraining && Entries.size() == 1;
  return PendingResponse{std::move(First.Answer), First.Received.IsHead,
                         First.Received.KeepAlive && !EndsConnection};
}

void RequestPipeline::finishWriting() {
  IsWriting = false;
  Entries.pop_front();
}

std::vector<std::function<void()>> RequestPipeline::cancel() {
  std::vector<std::function<void()>> Functions;
  for (Entry &E : Entries)
    if (E.OnDisconnect)
      Functions.push_back(std::move(E.OnDisconnect));
  Entries.clear();
  return Functions;
}

} // namespace teaselhitch
