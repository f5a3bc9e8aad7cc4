#ifndef TEASELHITCH_ENTRY_ENTRY_H
#define TEASELHITCH_ENTRY_ENTRY_H

/// \file
/// The life of requests at the node that received them: route, claim of the
/// key, attempts, retries, outcome. Pure: events and the time go in, actions
/// come out. Bodies stay outside.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Platform/Requests.h"
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

/// What the entry needs to know of a caller's request.
struct CallerRequest {
  std::string Method;
  /// In lower case, without the port; may be empty.
  std::string Host;
  /// Path without the query.
  std::string Path;
  OrganisationName Organisation;
  /// Value of `Idempotency-Key`, or empty.
  std::string Key;
  /// Id that the caller gave to the request, or empty. It ties log records to
  /// the caller's own.
  std::string CallerId;
  /// The caller's id of the request whose run makes this one and holds a slot
  /// until it has the answer; empty if a client made it.
  std::string ParentId;
  /// Rank of that request, if it is known.
  std::optional<std::uint32_t> ParentPriority;
  /// How long the caller waits, if it told so.
  std::optional<Duration> Deadline;
  std::uint64_t BodyBytes = 0;
  std::uint64_t BodyHash = 0;

  auto operator<=>(const CallerRequest &) const = default;
};

/// Offer the attempt to this node, without the HTTP request.
struct SendOffer {
  NodeName Guard;
  DispatchInfo Info;

  auto operator<=>(const SendOffer &) const = default;
};

/// The offer was granted: send the attempt with the HTTP request of its request
/// id to this node.
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

/// Pass the answer of this attempt to the caller.
struct ReplyAnswer {
  AttemptId Attempt;

  auto operator<=>(const ReplyAnswer &) const = default;
};

/// Keep this error answer for the case that no other attempt brings a better
/// one; the failure of the request is then answered with it.
struct KeepAnswer {
  AttemptId Attempt;

  auto operator<=>(const KeepAnswer &) const = default;
};

/// Tell the caller that there is no answer.
struct ReplyFailure {
  RequestId Request;
  Reason Why = Reason::Overloaded;
  Outcome Result = Outcome::Unknown;
  /// Zero if unknown.
  Duration RetryAfter;

  auto operator<=>(const ReplyFailure &) const = default;
};

/// Answer the request for a guard-bound key; the key is empty on failure.
struct ReplyKey {
  std::uint64_t Token = 0;
  std::string Key;
  Duration ValidFor;

  auto operator<=>(const ReplyKey &) const = default;
};

using EntryAction =
    std::variant<SendOffer, SendAttempt, SendCancel, SendMintKey, KeepAnswer,
                 ReplyAnswer, ReplyFailure, ReplyKey, TableRequest>;
using EntryActions = std::vector<EntryAction>;

struct EntrySettings {
  NodeName Node;
  FailureDomain Domain;
  /// Grows with each start of the node; part of request ids.
  std::uint64_t Incarnation = 0;
  /// Name of a balancer plug-in.
  std::string Balancer = "two-choices";
  /// Retries that the whole fleet may make for a service in each
  /// RetryWindow, beyond the share in its Limit object; divided evenly among
  /// the nodes. If zero, each node may make one each second.
  std::uint32_t FleetRetries = 0;
  Duration RetryWindow = Duration::seconds(10);
  /// Greatest number of requests in progress.
  std::uint32_t MaxRequests = 8192;
  /// A claim of a key that is older is not used for a dispatch. Rows of claims
  /// must be kept much longer.
  Duration ClaimLifetime = Duration::seconds(60);
  Duration MintTimeout = Duration::seconds(2);
};

/// The entry of a node.
///
/// Guarantees: each request gets exactly one ReplyAnswer or ReplyFailure,
/// unless its caller is gone; an attempt that is not idempotent is followed by
/// another one only after a proof that it was not run; NotRun is reported only
/// if every attempt was proved not run.
class Entry {
public:
  /// \param Random must outlive the entry. NotFound if there is no such
  /// balancer.
  static Result<std::unique_ptr<Entry>> create(EntrySettings Settings,
                                               RandomSource &Random);
  virtual ~Entry() = default;

  virtual void configure(std::shared_ptr<const ActiveConfig> Config) = 0;
  virtual void updateView(std::shared_ptr<const FleetView> View) = 0;
  /// From now on new requests are refused with Draining.
  virtual void drain() = 0;
  virtual bool isIdle() const = 0;

  /// A request arrived. Returns its id; actions may already end it.
  virtual RequestId accept(const CallerRequest &Request, Time Now,
                           EntryActions &Actions) = 0;
  /// A caller asks for a guard-bound key for a service.
  virtual EntryActions mintKey(std::uint64_t Token, const ServiceName &Service,
                               Time Now) = 0;

  virtual EntryActions granted(const Grant &Granted, Time Now) = 0;
  virtual EntryActions answered(const AttemptAnswer &Answer, Time Now) = 0;
  virtual EntryActions failed(const AttemptFailed &Failure, Time Now) = 0;
  /// An attempt runs longer than usual; it may be hedged.
  virtual EntryActions overdue(const AttemptOverdue &Notice, Time Now) = 0;
  virtual EntryActions keyMinted(const KeyMinted &Minted, Time Now) = 0;
  virtual EntryActions tableReply(const TableReply &Reply, Time Now) = 0;
  virtual EntryActions callerGone(const RequestId &Request, Time Now) = 0;

  /// Ends requests past their deadline. Call at least every 20 ms.
  virtual EntryActions tick(Time Now) = 0;

  /// Answers and failures that belonged to no attempt in progress.
  virtual std::uint64_t strayMessages() const = 0;
};

} // namespace teaselhitch

#endif
