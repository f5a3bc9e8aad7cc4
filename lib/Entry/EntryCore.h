#ifndef TEASELHITCH_LIB_ENTRY_ENTRYCORE_H
#define TEASELHITCH_LIB_ENTRY_ENTRYCORE_H

/// \file
/// The implementation of Entry.

#include "RequestTable.h"
#include "ServerSelection.h"
#include "teaselhitch/Detection/Baseline.h"
#include "teaselhitch/Detection/RunTimeModel.h"
#include "teaselhitch/Entry/Claims.h"
#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Entry/RetryBudget.h"

#include <unordered_map>

namespace teaselhitch {

class EntryCore final : public Entry {
public:
  EntryCore(EntrySettings Settings, RandomSource &Random,
            std::unique_ptr<Balancer> Chosen);

  void configure(std::shared_ptr<const ActiveConfig> Config) override;
  void updateView(std::shared_ptr<const FleetView> NewView) override;
  void drain() override { Draining = true; }
  bool isIdle() const override { return Requests.isEmpty() && Mints.empty(); }

  RequestId accept(const CallerRequest &Request, Time Now,
                   EntryActions &Actions) override;
  EntryActions mintKey(std::uint64_t Token, const ServiceName &Service,
                       Time Now) override;
  EntryActions granted(const Grant &Granted, Time Now) override;
  EntryActions answered(const AttemptAnswer &Answer, Time Now) override;
  EntryActions failed(const AttemptFailed &Failure, Time Now) override;
  EntryActions overdue(const AttemptOverdue &Notice, Time Now) override;
  EntryActions keyMinted(const KeyMinted &Minted, Time Now) override;
  EntryActions tableReply(const TableReply &Reply, Time Now) override;
  EntryActions callerGone(const RequestId &Request, Time Now) override;
  EntryActions tick(Time Now) override;

  std::uint64_t strayMessages() const override { return Strays; }

private:
  // Entry.cpp: arrival, claims of keys and the clock.
  std::optional<Reason> refuseEarly(const CallerRequest &Request,
                                    const MatchedRule *Matched) const;
  PendingRequest makePending(const CallerRequest &Request, const Route &Target,
                             Time Now) const;
  void startClaim(PendingRequest &P, Time Now, EntryActions &Actions);
  void applyClaims(ClaimStep Step, Time Now, EntryActions &Actions);
  void expire(PendingRequest &P, Time Now, EntryActions &Actions);
  RetryBudget &budget(const PendingRequest &P);

  // EntryAttempts.cpp: attempts and how they end.
  void startAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  void startGuardKeyAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  /// Offers the request to guards that may queue it.
  void offerLeniently(PendingRequest &P, Time Now, EntryActions &Actions);
  void offer(PendingRequest &P, const Selection &To, Time Now,
             EntryActions &Actions);
  DispatchInfo describe(PendingRequest &P, const RunningAttempt &Attempt,
                        Time Now);
  /// Runs the request on a second backend server; false if there is none.
  bool hedge(PendingRequest &P, Time Now, EntryActions &Actions);
  /// Takes back what is offered but not sent.
  void cancelOffers(PendingRequest &P, EntryActions &Actions);
  void endOverdueOffers(Time Now, EntryActions &Actions);
  void hedgeOverdue(Time Now, EntryActions &Actions);
  RunTimeModel &runTimes(const PendingRequest &P);
  /// Takes an attempt that has ended out of its request; null if the request
  /// does not wait for it.
  PendingRequest *endAttempt(const AttemptId &Attempt, RunningAttempt &Ended);
  void retryOrFail(PendingRequest &P, const RunningAttempt &Ended,
                   const AttemptFailed &Failure, Time Now,
                   EntryActions &Actions);
  void declined(PendingRequest &P, const RunningAttempt &Ended,
                const AttemptFailed &Failure, Time Now, EntryActions &Actions);
  /// Tries again after an error answer; false if that is not possible.
  bool retryAnswer(PendingRequest &P, const RunningAttempt &Ended, Time Now,
                   EntryActions &Actions);
  bool mayRepeat(const PendingRequest &P, const AttemptFailed &Failure,
                 Time Now) const;
  void cancelRunning(PendingRequest &P, EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Outcome Result, Duration RetryAfter,
            Time Now, EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Time Now, EntryActions &Actions);
  void finish(PendingRequest &P, Outcome Result, Time Now,
              EntryActions &Actions);
  BaselineTracker &baseline(const PendingRequest &P) {
    return Baselines[P.Target.To.TargetService->Name];
  }

  EntrySettings Settings;
  RandomSource &Random;
  ServerSelection Servers;
  std::shared_ptr<const RuleTable> Rules;
  std::unordered_map<ServiceName, BaselineTracker> Baselines;
  std::unordered_map<ServiceName, RetryBudget> Budgets;
  /// Time from sending an attempt to its answer, by rule.
  std::unordered_map<RuleName, RunTimeModel> RunTimes;
  RetryBudget::Allowance Allowance;
  RequestTable Requests;
  Claims KeyClaims;
  /// Deadlines of key requests by token.
  std::unordered_map<std::uint64_t, Time> Mints;
  Time PrunedAt;
  std::uint64_t NextSequence = 1;
  std::uint64_t Strays = 0;
  bool Draining = false;
};

} // namespace teaselhitch

#endif
