#ifndef TEASELHITCH_ENTRY_ENTRY_H
#define TEASELHITCH_ENTRY_ENTRY_H

/// \file
/// Handles requests at the node that received them: routing, key claims,
/// attempts, retries and outcomes. This code does no I/O: events and the time
/// are its input, actions are its output. Request and answer bodies are stored
/// elsewhere.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/TableRequests.h"
#include "teaselhitch/RateLimit/CreditAccount.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Support/Result.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace teaselhitch {

/// The properties of a caller's request that the entry needs.
struct CallerRequest {
  std::string Method;
  /// Host name in lower case, without the port; may be empty.
  std::string Host;
  /// Path without the query.
  std::string Path;
  /// Organisation that the caller names; unused if the listener requires
  /// credentials.
  OrganisationName Organisation;
  /// Hexadecimal SHA-256 digest of the key that the caller sent; empty if it
  /// sent none.
  std::string CredentialDigest;
  /// Organisation of the parent request, if it is known and this request is a
  /// sub-request without a key.
  std::optional<OrganisationName> ParentOrganisation;
  /// Value of `Idempotency-Key`, or empty.
  std::string Key;
  /// Request id that the caller assigned, or empty. Log records include it so
  /// that they can be matched with the caller's own records.
  std::string CallerId;
  /// For a sub-request: the caller's id of the parent request, which holds a
  /// slot until it has the answer to this one. Empty if a client sent the
  /// request.
  std::string ParentId;
  /// Queue priority of the parent request, if known.
  std::optional<std::uint32_t> ParentPriority;
  /// The parent request runs again after an earlier attempt reached a backend
  /// server, so this request repeats one of that attempt.
  bool IsParentRepeated = false;
  /// Time until the caller stops waiting, if the caller stated it.
  std::optional<Duration> Deadline;
  /// Time between the arrival of the request and the call of Entry::accept(),
  /// which counts against the deadline and the objective.
  Duration Waited;
  std::uint64_t BodyBytes = 0;
  std::uint64_t BodyHash = 0;

  auto operator<=>(const CallerRequest &) const = default;
};

/// Offers the attempt to the guard, without the HTTP request.
struct SendOffer {
  NodeName Guard;
  DispatchInfo Info;

  auto operator<=>(const SendOffer &) const = default;
};

/// Sends the attempt, with the HTTP request of its request id, to the guard
/// that granted the offer.
struct SendAttempt {
  NodeName Guard;
  DispatchInfo Info;

  auto operator<=>(const SendAttempt &) const = default;
};

struct SendCancel {
  NodeName Guard;
  AttemptId Attempt;

  auto operator<=>(const SendCancel &) const = default;
};

struct SendMintKey {
  NodeName Guard;
  MintKey Request;

  auto operator<=>(const SendMintKey &) const = default;
};

/// Forwards the answer of this attempt to the caller.
struct ReplyAnswer {
  AttemptId Attempt;

  auto operator<=>(const ReplyAnswer &) const = default;
};

/// Keeps the error answer of this attempt in case no other attempt returns a
/// better one. If the request then fails, the caller gets the kept answer.
struct KeepAnswer {
  AttemptId Attempt;

  auto operator<=>(const KeepAnswer &) const = default;
};

/// Tells the caller that the request failed without an answer.
struct ReplyFailure {
  RequestId Request;
  Reason Cause = Reason::Overloaded;
  Outcome Result = Outcome::Unknown;
  /// Time after which a retry may succeed; zero if unknown.
  Duration RetryAfter;

  auto operator<=>(const ReplyFailure &) const = default;
};

/// Answers a request for a guard-bound key. The key is empty on failure.
struct ReplyKey {
  std::uint64_t Token = 0;
  std::string Key;
  Duration ValidFor;

  auto operator<=>(const ReplyKey &) const = default;
};

using EntryAction =
    std::variant<SendOffer, SendAttempt, SendCancel, SendMintKey, KeepAnswer,
                 ReplyAnswer, ReplyFailure, ReplyKey, TableRequest,
                 SendCreditRequest>;
using EntryActions = std::vector<EntryAction>;

struct EntrySettings {
  NodeName Node;
  FailureDomain Domain;
  /// Increases with each start of the node; part of request ids.
  std::uint64_t Incarnation = 0;
  /// Name of the balancer plug-in.
  std::string Balancer = "two-choices";
  /// Retries that the whole fleet may make for a service in each RetryWindow,
  /// in addition to the percentage in the Limit object of the service. They are
  /// divided among the nodes. If this is not set, each node may make one per
  /// second.
  std::optional<double> FleetRetries;
  Duration RetryWindow = Duration::seconds(10);
  /// Maximum number of requests in progress.
  std::uint32_t MaxRequests = 8192;
  /// Maximum age of a claim at a dispatch; an older claim is not used. Rows of
  /// claims must be kept much longer.
  Duration ClaimLifetime = Duration::seconds(60);
  Duration MintTimeout = Duration::seconds(2);
};

/// Handles the requests that callers send to one node.
///
/// Guarantees: Each request gets exactly one ReplyAnswer or ReplyFailure,
/// unless its caller is gone. An attempt that is not idempotent is followed by
/// another one only after proof that it was not run. NotRun is reported only if
/// every attempt was proved not run.
class Entry {
public:
  /// Returns NotFound if there is no balancer with the given name.
  /// \param Random must outlive the entry.
  static Result<std::unique_ptr<Entry>> create(EntrySettings Settings,
                                               RandomSource &Random);
  virtual ~Entry() = default;

  virtual void configure(std::shared_ptr<const ActiveConfig> Config) = 0;
  virtual void updateView(std::shared_ptr<const FleetView> View) = 0;
  /// Refuses all further requests with Reason::Draining.
  virtual void drain() = 0;
  virtual bool isIdle() const = 0;
  /// Ends all requests at the end of a planned stop: those that may have run
  /// with an unknown outcome, the others as refused.
  virtual EntryActions endRequests(Time Now) = 0;

  /// Returns true if the configuration requires callers to send a key.
  virtual bool requiresCredentials() const = 0;
  /// Returns the organisation that has the key with this digest, or an empty
  /// name.
  virtual OrganisationName
  organisationOf(const std::string &CredentialDigest) const = 0;
  /// Returns true if the rule for the request permits that it runs several
  /// times; false if there is no rule. Reads only the method, the host and the
  /// path.
  virtual bool isIdempotent(const CallerRequest &Request) const = 0;

  /// Handles a new request and returns its id. The actions may already end the
  /// request.
  virtual RequestId accept(const CallerRequest &Request, Time Now,
                           EntryActions &Actions) = 0;
  /// Requests a guard-bound key for a service on behalf of a caller.
  virtual EntryActions mintKey(std::uint64_t Token, const ServiceName &Service,
                               Time Now) = 0;

  virtual EntryActions handleGrant(const Grant &Granted, Time Now) = 0;
  virtual EntryActions handleAnswer(const AttemptAnswer &Answer, Time Now) = 0;
  virtual EntryActions handleFailure(const AttemptFailed &Failure,
                                     Time Now) = 0;
  /// Handles the notice that an attempt runs longer than usual; it may be
  /// hedged.
  virtual EntryActions handleOverdue(const AttemptOverdue &Notice,
                                     Time Now) = 0;
  virtual EntryActions handleKeyMinted(const KeyMinted &Minted, Time Now) = 0;
  virtual EntryActions handleTableReply(const TableReply &Reply, Time Now) = 0;
  virtual EntryActions handleCreditReply(const NodeName &From,
                                         const CreditReply &Reply,
                                         Time Now) = 0;
  /// Handles the loss of the link to a node that may lend credits.
  virtual EntryActions handleCreditNodeLost(const NodeName &Node, Time Now) = 0;
  virtual EntryActions handleCallerGone(const RequestId &Request, Time Now) = 0;

  /// Ends requests past their deadline. Must be called at least every 20 ms.
  virtual EntryActions tick(Time Now) = 0;

  /// Number of answers and failures that matched no attempt in progress.
  virtual std::uint64_t strayMessages() const = 0;

  /// The credits of the organisations that have a rate.
  virtual const CreditAccount &credits() const = 0;
};

} // namespace teaselhitch

#endif
