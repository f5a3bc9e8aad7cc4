#ifndef TEASELHITCH_RATELIMIT_CREDITOWNER_H
#define TEASELHITCH_RATELIMIT_CREDITOWNER_H

/// \file
/// The owner side of fleet-wide request rates: token buckets of the
/// organisations that a node owns, from which it lends credits to entries. The
/// code does no I/O; the time is passed in.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/RateLimit/CreditFleet.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// What an owner believes about one organisation.
struct CreditOwnerStatus {
  OrganisationName Organisation;
  double RatePerS = 0;
  /// Credits in the bucket.
  double Credit = 0;
  /// Since when this node is the owner, as far as it knows.
  Time Since;
  /// False if the node only lends the spare credits of a deputy.
  bool IsOwner = true;
};

struct CreditOwnerCounters {
  std::uint64_t Lent = 0;
  std::uint64_t Returned = 0;
  /// Requests for credits that were answered with none.
  std::uint64_t Denied = 0;
  /// Credits that were lent from the spare bucket of a deputy or new owner.
  std::uint64_t Spare = 0;
  /// Stalls and losses of contact, after which all buckets start empty.
  std::uint64_t Resets = 0;
};

/// Lends the credits of the organisations that a node owns.
///
/// Guarantees: credits that were lent are spent until their entry returns them,
/// and at most those that were lent in the last lifetime can be returned. A
/// bucket starts empty when the node becomes the owner, and after a stall or a
/// loss of contact with the fleet, because another node may have lent its
/// credits meanwhile.
class CreditOwner {
public:
  CreditOwner(NodeName Self, Time Now);

  /// Applies the rates of a new configuration. A lowered burst takes effect at
  /// once.
  void configure(SharedRateLimits NewLimits, Time Now);
  /// Returns false if no organisation has a rate.
  bool hasLimits() const { return !Limits->empty(); }
  void updateView(const FleetView &View, Time Now);
  /// Reports whether the node has recently heard from another one. Without
  /// contact it accrues only the share of a single node.
  void setContact(bool IsInContact, Time Now);

  /// Detects stalls of the process and removes unused buckets. Must be called
  /// at least every 200 ms.
  void tick(Time Now);

  /// Handles a request of an entry. Returns no reply if the request only
  /// returns credits.
  std::optional<CreditReply> handle(const CreditRequest &Request, Time Now);

  /// Returns at most MaxItems buckets.
  std::vector<CreditOwnerStatus> status(std::size_t MaxItems, Time Now) const;
  const CreditOwnerCounters &counters() const { return Counters; }

private:
  struct Bucket {
    double Credits = 0;
    Time UpdatedAt;
    Time Since;
    Time UsedAt;
    bool IsOwner = false;
    /// Until when the node lends the credits that it has left, after it stopped
    /// to be the owner because it leaves.
    Time HandOverEnd;
    /// Credits that may be lent while the state of the rate is not known.
    double Spare = 0;
    Time SpareAt;
    /// Credits lent in the current and in the previous period of a lifetime.
    std::array<double, 2> Lent{};
    Time LentPeriodStart;
  };

  double accrualShare(Time Now) const;
  /// Empties all buckets.
  void reset(Time Now);
  /// Detects a stall, which ends all that was believed before it.
  void checkStall(Time Now);
  Bucket &findOrCreate(const OrganisationName &Organisation, Time Now);
  /// Adds the credits that accrued since the last call.
  void accrue(Bucket &B, const RateLimit &Limit, Time Now) const;
  static void advanceLentPeriod(Bucket &B, Time Now);
  void takeBack(Bucket &B, const RateLimit &Limit, std::uint32_t Amount);
  std::uint32_t lend(Bucket &B, std::uint32_t Amount, Time Now);

  CreditFleet Fleet;
  NodeName Self;
  /// Never null.
  SharedRateLimits Limits = std::make_shared<RateLimits>();
  /// When organisations got a rate that they had not before.
  std::unordered_map<OrganisationName, Time> LimitedSince;
  std::unordered_map<OrganisationName, Bucket> Buckets;
  /// Start of the process, or end of the last stall or loss of contact.
  Time Start;
  Time LastTick;
  Time PrunedAt;
  bool IsInContact = true;
  bool IsConfigured = false;
  CreditOwnerCounters Counters;
};

} // namespace teaselhitch

#endif
