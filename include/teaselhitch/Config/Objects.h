#ifndef TEASELHITCH_CONFIG_OBJECTS_H
#define TEASELHITCH_CONFIG_OBJECTS_H

/// \file
/// The named configuration objects that operators publish.

#include "teaselhitch/Model/Names.h"
#include "teaselhitch/Support/Clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselhitch {

/// Selects the trade-off between detection time and false ejections.
enum class DetectionPreset : std::uint8_t {
  FewFalseEjections,
  Balanced,
  FastDetection,
};
const char *detectionPresetName(DetectionPreset Preset);

/// A service offered by a set of interchangeable backend servers.
struct Service {
  ServiceName Name;
  /// Minimum number of backend servers in use; ejections never go below it.
  std::uint32_t Floor = 1;
  DetectionPreset Preset = DetectionPreset::Balanced;
  /// Name of the detector plug-in.
  std::string Detector = "sequential";
  /// Path of the health endpoint of the backend servers, or empty.
  std::string HealthPath = {};
  /// Whether backend servers of the service may be ejected. If false, requests
  /// are routed only by the guards' risk estimates, without leases in the table
  /// service.
  bool EjectionsEnabled = true;

  auto operator<=>(const Service &) const = default;
};

/// A group of backend servers of one service, selected by the attributes that
/// they announce.
struct Group {
  GroupName Name;
  ServiceName Service;
  /// Failure domains of the selected backend servers; empty means all.
  std::vector<FailureDomain> Domains;
  /// Announced label to match; empty matches any label.
  std::string Label;
  /// Number of backend servers that the operator expects in the group.
  std::uint32_t ExpectedSize = 1;

  auto operator<=>(const Group &) const = default;
};

/// A group that receives a weighted share of the requests of a rule.
struct WeightedGroup {
  GroupName Group;
  /// Weight relative to the sum of the weights in the rule; at least 1.
  std::uint32_t Weight = 1;

  auto operator<=>(const WeightedGroup &) const = default;
};

/// Formats a weighted group as "GROUP:WEIGHT", the form used in object files.
std::string toString(const WeightedGroup &Share);
/// Parses the output of toString(); nullopt for any other text.
std::optional<WeightedGroup> parseWeightedGroup(std::string_view Text);

/// Routes requests to one group or splits them among several. Rules that match
/// the host of a request take precedence over rules without a host. Among
/// these, the rule with the longest matching path prefix applies, and a rule
/// with a method takes precedence over one without.
struct Rule {
  RuleName Name;
  /// HTTP method; empty matches any method.
  std::string Method;
  /// Starts with '/' and matches whole path segments. A prefix with a trailing
  /// '/' matches only paths that continue after that '/'.
  std::string PathPrefix;
  /// The only target group; empty if Split is set.
  GroupName Group;
  /// Whether a request may be executed more than once.
  bool Idempotent = false;
  /// Whether the requests are queued ahead of other work.
  bool Paid = false;
  /// Maximum time for the whole request; callers may request a shorter one.
  Duration Deadline = Duration::seconds(10);
  /// Time within which a response has its full value; zero means the deadline.
  Duration Objective = {};
  /// Maximum number of backend servers to which one request is sent.
  std::uint32_t MaxAttempts = 4;
  /// Queue priority; 0 is served first.
  std::uint32_t Priority = 0;
  /// Host in lower case without port; empty matches any host.
  std::string Host = {};
  /// Target groups that share the requests in proportion to their weights.
  std::vector<WeightedGroup> Split = {};
  /// Whether requests without a known key are accepted although the listener
  /// requires credentials.
  bool IsPublic = false;

  auto operator<=>(const Rule &) const = default;
};

/// A set of callers that is entitled to a share of each service.
struct Organisation {
  OrganisationName Name;
  /// Weight relative to the other organisations that compete for a service.
  std::uint32_t Share = 1;
  /// Lower-case hexadecimal SHA-256 digests of the organisation's keys, sorted
  /// and distinct. Keys themselves are never stored.
  std::vector<std::string> KeyDigests = {};
  /// Queue priority of the organisation's requests; takes precedence over the
  /// priority of the rule.
  std::optional<std::uint32_t> Priority = {};
  /// Maximum rate over all nodes together, in requests per second; 0 means that
  /// there is no limit.
  std::uint32_t RatePerS = 0;
  /// Number of requests that may exceed the rate in a burst.
  std::uint32_t Burst = 0;

  auto operator<=>(const Organisation &) const = default;
};

/// Limits of a service; at most one object per service.
struct Limit {
  LimitName Name;
  ServiceName Service;
  /// Maximum number of queued requests at a guard per slot of that guard.
  std::uint32_t QueuePerSlot = 4;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// Maximum number of retries as a percentage of requests.
  std::uint32_t RetryPercent = 20;

  auto operator<=>(const Limit &) const = default;
};

/// Limits for connections and requests of callers; at most one object.
struct Listener {
  ListenerName Name;
  std::uint32_t MaxHeaderBytes = 16 * 1024;
  std::uint64_t MaxBodyBytes = 1024ULL * 1024;
  /// Maximum time from the first byte of a request header to its end.
  Duration HeaderTimeout = Duration::seconds(30);
  /// Time after which idle connections are closed.
  Duration IdleTimeout = Duration::seconds(60);
  /// Whether a request must carry a key of an organisation, unless its rule is
  /// public. If no organisation has a key, all requests on other rules are
  /// refused.
  bool RequiresCredentials = false;

  auto operator<=>(const Listener &) const = default;
};

/// Maximum rate and burst of an organisation.
inline constexpr std::uint32_t MaxRate = 1'000'000'000;

/// Returns true if Text is a SHA-256 digest in 64 lower-case hexadecimal
/// digits.
bool isSha256Digest(std::string_view Text);

/// All objects of a configuration; each kind is sorted by name.
struct ObjectSet {
  std::vector<Service> Services;
  std::vector<Group> Groups;
  std::vector<Rule> Rules;
  std::vector<Organisation> Organisations;
  std::vector<Limit> Limits;
  std::vector<Listener> Listeners = {};

  auto operator<=>(const ObjectSet &) const = default;
};

/// A published set of objects that is active on a node.
struct ActiveConfig {
  std::uint64_t Version = 0;
  std::string ManifestHash;
  ObjectSet Objects;
};

} // namespace teaselhitch

#endif
