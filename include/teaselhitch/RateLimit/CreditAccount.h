#ifndef TEASELHITCH_RATELIMIT_CREDITACCOUNT_H
#define TEASELHITCH_RATELIMIT_CREDITACCOUNT_H

/// \file
/// The entry side of fleet-wide request rates: credits that an entry has
/// borrowed from the owners of organisations' rates, and requests that wait for
/// one. The code does no I/O; the time is passed in.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/RateLimit/CreditFleet.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// Sends the message to a node, which may be the own one.
struct SendCreditRequest {
  NodeName Node;
  CreditRequest Request;

  auto operator<=>(const SendCreditRequest &) const = default;
};

/// The request of this token may run.
struct CreditGranted {
  std::uint64_t Token = 0;
  /// Until when the credit can be given back; the time origin if it cannot.
  Time Expires;

  auto operator<=>(const CreditGranted &) const = default;
};

/// The request of this token exceeds the rate.
struct CreditDenied {
  std::uint64_t Token = 0;
  /// Time until there may be a credit.
  Duration RetryAfter;

  auto operator<=>(const CreditDenied &) const = default;
};

struct CreditActions {
  std::vector<SendCreditRequest> Messages;
  std::vector<CreditGranted> Granted;
  std::vector<CreditDenied> Denied;
};

/// What an entry believes about one organisation.
struct CreditAccountStatus {
  OrganisationName Organisation;
  NodeName Owner;
  std::uint32_t Credit = 0;
  std::size_t Waiting = 0;
  /// The owner cannot be reached.
  bool IsFallback = false;
};

struct CreditAccountCounters {
  std::uint64_t Granted = 0;
  std::uint64_t Refused = 0;
  /// Requests that were granted from the even share of this node, because the
  /// owner could not be reached.
  std::uint64_t Fallback = 0;
  /// Messages to owners.
  std::uint64_t Messages = 0;
  /// Owners that did not reply in time or whose link was lost.
  std::uint64_t Unreachable = 0;
};

/// The credits of all organisations at one entry.
///
/// Guarantees: each request gets exactly one CreditGranted or CreditDenied,
/// within 150 ms and the interval between two ticks, unless it is cancelled. A
/// credit is used at most once, and only during its lifetime, which counts from
/// the time at which the entry asked for it.
class CreditAccount {
public:
  explicit CreditAccount(NodeName Self);

  /// Applies the rates of a new configuration. Waiting requests of
  /// organisations without a rate are granted.
  void configure(SharedRateLimits NewLimits, CreditActions &Actions);
  void updateView(const FleetView &View, Time Now);

  /// Returns false if no organisation has a rate.
  bool hasLimits() const { return !Limits->empty(); }
  bool isLimited(const OrganisationName &Organisation) const {
    return Limits->count(Organisation) != 0;
  }

  /// Asks for a credit for the request with this token. The organisation must
  /// be limited.
  void request(const OrganisationName &Organisation, std::uint64_t Token,
               Time Now, CreditActions &Actions);
  /// Forgets a request that waits for a credit.
  void cancel(const OrganisationName &Organisation, std::uint64_t Token);
  /// Takes back the credit of a request that did not run.
  void giveBack(const OrganisationName &Organisation, Time Expires, Time Now);

  void handleReply(const NodeName &From, const CreditReply &Reply, Time Now,
                   CreditActions &Actions);
  /// Handles the loss of the link to a node.
  void handleUnreachable(const NodeName &Node, Time Now,
                         CreditActions &Actions);
  /// Ends the wait of requests whose owner does not reply. Must be called at
  /// least every 20 ms.
  void tick(Time Now, CreditActions &Actions);

  /// Returns at most MaxItems accounts.
  std::vector<CreditAccountStatus> status(std::size_t MaxItems) const;
  const CreditAccountCounters &counters() const { return Counters; }

private:
  struct Batch {
    std::uint32_t Amount = 0;
    Time Expires;
  };
  struct Waiter {
    std::uint64_t Token = 0;
    Time Since;
  };
  struct Question {
    NodeName Node;
    Time SentAt;
  };
  /// A node that did not reply.
  struct Outage {
    /// From when the even share accrues.
    Time Since;
    /// The node is not asked before then.
    Time RetryAt;
  };
  struct Account {
    std::deque<Batch> Batches;
    std::deque<Waiter> Waiting;
    /// The message to an owner that is not answered yet.
    std::optional<Question> Pending;
    /// When the last message was sent that was not answered in time.
    Time LateSentAt;
    /// The owner has no credit until then.
    Time DeniedUntil;
    /// Recent requests per second.
    double Demand = 0;
    Time DemandAt;
    bool IsFallback = false;
    /// Credits of the even share, to be used while the owner cannot be reached.
    double Even = 0;
    Time EvenAt;
    /// When a credit of the even share was used last.
    Time EvenUsedAt;
    /// Credits of the even share at the beginning of an outage; at least 0 and
    /// less than 1.
    double EvenStart = 0;
    CreditOwners Owners;
    std::uint64_t ViewNumber = 0;
  };

  /// Brings the owners and the credits up to date.
  void refresh(const OrganisationName &Organisation, Account &A, Time Now);
  bool isReachable(const NodeName &Node, Time Now) const;
  /// \param Since when the even share begins to accrue.
  void markUnreachable(const NodeName &Node, Time Since, Time Now);
  static std::uint32_t credits(const Account &A);
  /// Serves waiting requests from the credits and the even share, and asks for
  /// more credits if needed.
  void serve(const OrganisationName &Organisation, Account &A, Time Now,
             CreditActions &Actions);
  bool takeCredit(Account &A, std::uint64_t Token, CreditActions &Actions);
  Account &findOrCreate(const OrganisationName &Organisation, Time Now);
  /// Starts to accrue the even share from the beginning of the outage on.
  void startFallback(const RateLimit &Limit, Account &A, Time Now);
  double evenShare(const RateLimit &Limit, Time Now) const;
  void accrueEvenShare(const RateLimit &Limit, Account &A, Time Now) const;
  bool takeEvenShare(const RateLimit &Limit, Account &A, std::uint64_t Token,
                     Time Now, CreditActions &Actions);
  void ask(const OrganisationName &Organisation, Account &A, Time Now,
           CreditActions &Actions);
  void denyAll(Account &A, Duration RetryAfter, CreditActions &Actions);
  void returnUnused(const OrganisationName &Organisation, Account &A, Time Now,
                    CreditActions &Actions);

  CreditFleet Fleet;
  NodeName Self;
  /// Never null.
  SharedRateLimits Limits = std::make_shared<RateLimits>();
  std::unordered_map<OrganisationName, Account> Accounts;
  /// Nodes that have not replied since their last outage began.
  std::map<NodeName, Outage> Unreachable;
  std::uint64_t ViewNumber = 1;
  Time CheckedAt;
  CreditAccountCounters Counters;
};

} // namespace teaselhitch

#endif
