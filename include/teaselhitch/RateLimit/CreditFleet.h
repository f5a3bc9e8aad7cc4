#ifndef TEASELHITCH_RATELIMIT_CREDITFLEET_H
#define TEASELHITCH_RATELIMIT_CREDITFLEET_H

/// \file
/// Which node owns the rate of an organisation, and how much of the fleet a
/// node sees. Every node derives this from its own view; no message is needed.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Model/Records.h"
#include "teaselhitch/Support/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace teaselhitch {

/// The rate of one organisation. Only organisations that have one are limited.
struct RateLimit {
  /// Requests per second of the whole fleet; greater than zero.
  double RatePerS = 0;
  /// Maximum number of unused requests that accumulate; zero means those of one
  /// second.
  double Burst = 0;

  /// Returns the capacity of the token bucket.
  double capacity() const;

  auto operator<=>(const RateLimit &) const = default;
};

/// The organisations that have a rate. Shared by the owner and the entry of a
/// node, because there may be 42,000.
using RateLimits = std::unordered_map<OrganisationName, RateLimit>;
using SharedRateLimits = std::shared_ptr<const RateLimits>;

/// Returns the rates of a configuration.
SharedRateLimits rateLimits(const ObjectSet &Objects);

/// Lifetime of lent credits.
inline constexpr Duration CreditLifetime = Duration::seconds(1);

/// The nodes that lend the credits of an organisation.
struct CreditOwners {
  NodeName Owner;
  /// The node that becomes the owner after the present one, or empty.
  NodeName Deputy;

  auto operator<=>(const CreditOwners &) const = default;
};

/// The nodes that may own rates, as one node knows them.
class CreditFleet {
public:
  explicit CreditFleet(NodeName Self);

  /// Applies a new view. Returns false if its nodes are those of the last one.
  bool update(const FleetView &View, Time Now);

  /// Returns true if this node has announced its shutdown.
  bool isLeaving() const;

  /// Returns the owner and its deputy: the nodes with the two highest scores
  /// for the organisation (rendezvous hashing), without those that are leaving.
  CreditOwners owners(const OrganisationName &Organisation) const;

  /// Returns when a node that precedes this one for the organisation departed
  /// last, or the time origin if none departed within the retention period.
  Time ownedSince(const OrganisationName &Organisation) const;

  /// Returns the share of the known nodes that are alive and not suspected, in
  /// (0, 1]. Nodes that died count as known for 120 s, so that the sides of a
  /// partition together accrue at most the rate.
  double liveShare(Time Now) const;

  /// Returns the number of known nodes; at least 1.
  std::size_t knownNodes(Time Now) const;

private:
  struct Departed {
    std::uint64_t Hash = 0;
    Time At;
    /// False for a planned stop, after which the node lends nothing.
    bool CountsAsKnown = true;
  };

  NodeName Self;
  std::uint64_t SelfHash;
  std::shared_ptr<const std::map<NodeName, NodeRecord>> Nodes;
  /// Names and hashes of the nodes that may own rates.
  std::vector<std::pair<std::uint64_t, NodeName>> Candidates;
  std::map<NodeName, Departed> Gone;
  std::size_t Live = 1;
};

} // namespace teaselhitch

#endif
