#ifndef TEASELHITCH_LIB_ENTRY_ENTRYCORE_H
#define TEASELHITCH_LIB_ENTRY_ENTRYCORE_H

/// \file
/// The implementation of Entry.

#include "RequestTable.h"
#include "ServerSelector.h"
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
            std::unique_ptr<Balancer> Policy);

  void configure(std::shared_ptr<const ActiveConfig> Config) override;
  void updateView(std::shared_ptr<const FleetView> NewView) override;
  void drain() override { Draining = true; }
  bool isIdle() const override {
    return Requests.isEmpty() && MintDeadlines.empty();
  }

  bool requiresCredentials() const override {
    return Rules && Rules->requiresCredentials();
  }
  OrganisationName
  organisationOf(const std::string &CredentialDigest) const override;

  bool isIdempotent(const CallerRequest &Request) const override;
  RequestId accept(const CallerRequest &Request, Time Now,
                   EntryActions &Actions) override;
  EntryActions mintKey(std::uint64_t Token, const ServiceName &Service,
                       Time Now) override;
  EntryActions endRequests(Time Now) override;
  EntryActions handleGrant(const Grant &Granted, Time Now) override;
  EntryActions handleAnswer(const AttemptAnswer &Answer, Time Now) override;
  EntryActions handleFailure(const AttemptFailed &Failure, Time Now) override;
  EntryActions handleOverdue(const AttemptOverdue &Notice, Time Now) override;
  EntryActions handleKeyMinted(const KeyMinted &Minted, Time Now) override;
  EntryActions handleTableReply(const TableReply &Reply, Time Now) override;
  EntryActions handleCreditReply(const NodeName &From, const CreditReply &Reply,
                                 Time Now) override;
  EntryActions handleCreditNodeLost(const NodeName &Node, Time Now) override;
  EntryActions handleCallerGone(const RequestId &Request, Time Now) override;
  EntryActions tick(Time Now) override;

  std::uint64_t strayMessages() const override { return StrayCount; }
  const CreditAccount &credits() const override { return Credits; }

private:
  // Entry.cpp: arrival of requests, key claims and periodic work.
  const MatchedRule *match(const CallerRequest &Request) const;
  /// \param Owner organisation of the request's key, or null.
  std::optional<Reason> refusalReason(const CallerRequest &Request,
                                      const MatchedRule *Matched,
                                      const Organisation *Owner) const;
  PendingRequest makePendingRequest(const CallerRequest &Request,
                                    const Route &Target,
                                    const Organisation *Owner, Time Now) const;
  /// Ends the requests whose key the current configuration does not contain,
  /// unless they were sent to a guard.
  void endRevoked(Time Now, EntryActions &Actions);
  void startClaim(PendingRequest &P, Time Now, EntryActions &Actions);
  void applyClaimOutput(ClaimOutput Output, Time Now, EntryActions &Actions);
  void expire(PendingRequest &P, Time Now, EntryActions &Actions);
  RetryBudget &budget(const PendingRequest &P);
  /// Starts the claim or the first attempt of a request that may run.
  void start(PendingRequest &P, Time Now, EntryActions &Actions);

  // EntryCredit.cpp: rates of organisations.
  /// Returns true if the request uses up a part of its organisation's rate.
  /// \param Owner organisation of the request's key, or null.
  bool isCounted(const CallerRequest &Request, const Organisation *Owner) const;
  /// Asks for a credit, without which the request does not start.
  void requestCredit(PendingRequest &P, Time Now, EntryActions &Actions);
  /// Gives the credit of a request that ends back if the request did not run.
  void releaseCredit(const PendingRequest &P, Outcome Result, Time Now);
  void applyCreditActions(CreditActions Output, Time Now,
                          EntryActions &Actions);
  void tickCredits(Time Now, EntryActions &Actions);
  void updateCreditView(Time Now);

  // EntryAttempts.cpp: attempts and their results.
  void startAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  void startGuardKeyAttempt(PendingRequest &P, Time Now, EntryActions &Actions);
  /// Offers the request to guards that may queue it.
  void sendQueueableOffers(PendingRequest &P, Time Now, EntryActions &Actions);
  void sendOffer(PendingRequest &P, const Selection &Chosen, Time Now,
                 EntryActions &Actions);
  DispatchInfo makeDispatchInfo(PendingRequest &P,
                                const RunningAttempt &Attempt, Time Now);
  /// Offers the request to a second backend server while the first attempt
  /// runs. Returns false if the request cannot be hedged.
  bool hedge(PendingRequest &P, Time Now, EntryActions &Actions);
  /// Returns how many strict offers are worthwhile, given how many of the
  /// recent ones met a guard without a free slot.
  std::size_t maxStrictOffers(const PendingRequest &P) const;
  /// Records the result of a strict offer.
  void recordStrictOffer(const PendingRequest &P, bool WasBusy);
  /// Cancels the offers whose request was not sent.
  void cancelOffers(PendingRequest &P, EntryActions &Actions);
  void expireOffers(Time Now, EntryActions &Actions);
  void hedgeOverdue(Time Now, EntryActions &Actions);
  RunTimeModel &runTimeModel(const PendingRequest &P);
  /// Removes an attempt that has ended from its request. Returns null if the
  /// attempt is not in progress.
  PendingRequest *endAttempt(const AttemptId &Attempt, RunningAttempt &Ended);
  void retryOrFail(PendingRequest &P, const RunningAttempt &Ended,
                   const AttemptFailed &Failure, Time Now,
                   EntryActions &Actions);
  void handleRefusal(PendingRequest &P, const RunningAttempt &Ended,
                     const AttemptFailed &Failure, Time Now,
                     EntryActions &Actions);
  /// Retries after an error answer or waits for the other running attempt.
  /// Returns false if neither is possible.
  bool retryErrorAnswer(PendingRequest &P, const RunningAttempt &Ended,
                        Time Now, EntryActions &Actions);
  bool canRetry(const PendingRequest &P, const AttemptFailed &Failure,
                Time Now) const;
  void cancelRunning(PendingRequest &P, EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Outcome Result, Duration RetryAfter,
            Time Now, EntryActions &Actions);
  void fail(PendingRequest &P, Reason Why, Time Now, EntryActions &Actions);
  void finish(PendingRequest &P, Outcome Result, Time Now,
              EntryActions &Actions);
  BaselineTracker &baseline(const PendingRequest &P) {
    return Baselines[P.Target.Dest.TargetService->Name];
  }

  EntrySettings Settings;
  RandomSource &Random;
  ServerSelector Selector;
  std::shared_ptr<const RuleTable> Rules;
  std::unordered_map<ServiceName, BaselineTracker> Baselines;
  std::unordered_map<ServiceName, RetryBudget> Budgets;
  /// Time from sending an attempt to its answer, by rule.
  std::unordered_map<RuleName, RunTimeModel> RunTimes;
  /// Share of the recent strict offers of each service that were declined for
  /// lack of a free slot.
  std::unordered_map<ServiceName, double> BusyShares;
  RetryBudget::Allowance Allowance;
  RequestTable Requests;
  Claims KeyClaims;
  CreditAccount Credits;
  /// Output of a change of the configuration, performed at the next tick.
  CreditActions CreditOutput;
  /// A view that Credits have not been told of, or null.
  std::shared_ptr<const FleetView> CreditView;
  /// Deadlines of requests for guard-bound keys, by token.
  std::unordered_map<std::uint64_t, Time> MintDeadlines;
  Time PrunedAt;
  std::uint64_t NextSequence = 1;
  std::uint64_t StrayCount = 0;
  bool Draining = false;
  /// A configuration was applied after the last tick.
  bool IsNewlyConfigured = false;
};

} // namespace teaselhitch

#endif
