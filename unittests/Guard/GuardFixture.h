#ifndef TEASELHITCH_UNITTESTS_GUARD_GUARDFIXTURE_H
#define TEASELHITCH_UNITTESTS_GUARD_GUARDFIXTURE_H

#include "teaselhitch/Guard/Guard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace teaselhitch {

/// A guard in virtual time, with helper functions for its events.
class GuardFixture {
public:
  explicit GuardFixture(GuardSettings Settings = settings())
      : G(Guard::create(std::move(Settings)).value()) {
    ActiveConfig C;
    C.Objects.Organisations = {{OrganisationName("a"), 1},
                               {OrganisationName("b"), 3}};
    C.Objects.Limits = {{LimitName("l"), ServiceName("s"), 4}};
    G->configure(std::make_shared<const ActiveConfig>(C), Now);
  }

  static GuardSettings settings() {
    GuardSettings S;
    S.Node = NodeName("n1");
    S.Domain = FailureDomain("d1");
    S.Incarnation = 7;
    S.KeySecret = "secret";
    return S;
  }

  static Announcement announcement(const std::string &Name, std::uint32_t Slots,
                                   std::uint64_t Incarnation = 1) {
    Announcement A;
    A.Name = BackendServerName(Name);
    A.Service = ServiceName("s");
    // Each server has its own address.
    constexpr std::uint16_t FirstPort = 9000;
    A.Address = {"127.0.0.1",
                 static_cast<std::uint16_t>(FirstPort + Name.back())};
    A.Slots = Slots;
    A.Incarnation = Incarnation;
    A.State = BackendServerState::Ready;
    return A;
  }

  GuardActions announce(const Announcement &A) {
    return G->announce(A, Now).value();
  }

  /// The error message of a refused announcement, or "" if it is accepted.
  std::string refusal(const Announcement &A) {
    std::string Message;
    handleError([&] { return G->announce(A, Now); },
                [&](const Error &E) {
                  Message = E.Message;
                  return GuardActions();
                });
    return Message;
  }

  static AttemptId id(std::uint64_t Sequence) {
    return {{NodeName("e"), 1, Sequence}, 1};
  }

  static DispatchInfo info(std::uint64_t Sequence,
                           const std::string &Organisation = "a") {
    DispatchInfo I;
    I.Attempt = id(Sequence);
    I.Service = ServiceName("s");
    I.Preferred = BackendServerName("w1");
    I.Organisation = OrganisationName(Organisation);
    I.Remaining = Duration(1000);
    return I;
  }

  GuardActions dispatch(const DispatchInfo &I) { return G->dispatch(I, Now); }
  GuardActions finish(std::uint64_t Sequence, RunEnd End = RunEnd::Answered) {
    return G->finished(id(Sequence), {End, 200, Duration(100)}, Now);
  }
  GuardActions tickAt(double Ms) {
    Now = Time(Ms);
    return G->tick(Now);
  }

  Time Now;
  std::unique_ptr<Guard> G;
};

template <typename T>
std::vector<T> filterActions(const GuardActions &Actions) {
  std::vector<T> Found;
  for (const GuardAction &A : Actions)
    if (const auto *Match = std::get_if<T>(&A))
      Found.push_back(*Match);
  return Found;
}

/// Short text of the actions, in order and separated by ", ": for example
/// "start 1 w1", "abort 1" or "fail 1 queue-full not-run".
inline std::string text(const GuardActions &Actions) {
  std::string Text;
  const auto Add = [&Text](const std::string &Part) {
    Text += (Text.empty() ? "" : ", ") + Part;
  };
  for (const GuardAction &Action : Actions) {
    if (const auto *S = std::get_if<StartAttempt>(&Action))
      Add("start " + std::to_string(S->Attempt.Request.Sequence) + " " +
          S->Server.str());
    if (const auto *A = std::get_if<AbortAttempt>(&Action))
      Add("abort " + std::to_string(A->Attempt.Request.Sequence));
    if (const auto *F = std::get_if<AttemptFailed>(&Action))
      Add("fail " + std::to_string(F->Attempt.Request.Sequence) + " " +
          reasonInfo(F->Cause).Name + " " + outcomeName(F->Result) +
          (F->Crashed ? " crashed" : ""));
    if (const auto *Q = std::get_if<Quarantine>(&Action))
      Add("quarantine " + std::to_string(Q->Fingerprint));
  }
  return Text;
}

} // namespace teaselhitch

#endif
