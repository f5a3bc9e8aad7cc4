#include "ObjectJson.h"

#include <boost/json/array.hpp>

#include <stdexcept>

namespace teaselhitch::detail {

namespace {

using boost::json::value;

std::string stringField(const value &V, const char *Key) {
  const boost::json::string &Text = V.at(Key).as_string();
  return {Text.data(), Text.size()};
}

/// Reads the name of an object or of a referenced object.
template <typename NameT> NameT nameField(const value &V, const char *Key) {
  std::string Text = stringField(V, Key);
  if (!isValidName(Text))
    throw std::invalid_argument("invalid name");
  return NameT(std::move(Text));
}

std::uint32_t uint32Field(const value &V, const char *Key) {
  return V.at(Key).to_number<std::uint32_t>();
}

bool hasField(const value &V, const char *Key) {
  return V.as_object().contains(Key);
}

std::vector<WeightedGroup> parseSplit(const boost::json::array &Shares) {
  std::vector<WeightedGroup> Parsed;
  for (const value &Share : Shares) {
    const boost::json::string &Text = Share.as_string();
    std::optional<WeightedGroup> Weighted =
        parseWeightedGroup(std::string_view(Text.data(), Text.size()));
    if (!Weighted)
      throw std::invalid_argument("invalid share of a split");
    Parsed.push_back(std::move(*Weighted));
  }
  return Parsed;
}

std::vector<std::string> parseDigests(const boost::json::array &Digests) {
  std::vector<std::string> Parsed;
  for (const value &Digest : Digests) {
    const boost::json::string &Text = Digest.as_string();
    std::string Next(Text.data(), Text.size());
    if (!isSha256Digest(Next) || (!Parsed.empty() && Next <= Parsed.back()))
      throw std::invalid_argument("invalid list of key digests");
    Parsed.push_back(std::move(Next));
  }
  return Parsed;
}

DetectionPreset parsePreset(const std::string &Text) {
  for (DetectionPreset Preset :
       {DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
        DetectionPreset::FastDetection})
    if (Text == detectionPresetName(Preset))
      return Preset;
  throw std::invalid_argument("unknown detection preset");
}

} // namespace

// Keys that have their default value in most objects are written only if the
// value differs from the default. This keeps sets with thousands of rules
// small.
boost::json::object toJson(const Service &S) {
  boost::json::object Object{{"name", S.Name.str()},
                             {"floor", S.Floor},
                             {"detection", detectionPresetName(S.Preset)},
                             {"detector", S.Detector}};
  if (!S.HealthPath.empty())
    Object["health_path"] = S.HealthPath;
  if (!S.EjectionsEnabled)
    Object["ejections"] = false;
  return Object;
}

boost::json::object toJson(const Group &G) {
  boost::json::array Domains;
  for (const FailureDomain &Domain : G.Domains)
    Domains.emplace_back(Domain.str());
  return {{"name", G.Name.str()},
          {"service", G.Service.str()},
          {"failure_domains", std::move(Domains)},
          {"label", G.Label},
          {"expected_size", G.ExpectedSize}};
}

boost::json::object toJson(const Rule &R) {
  const Rule Default;
  boost::json::object Object{
      {"name", R.Name.str()},
      {"method", R.Method},
      {"path_prefix", R.PathPrefix},
      {"group", R.Group.str()},
      {"idempotent", R.Idempotent},
      {"paid", R.Paid},
      {"deadline_ms", static_cast<std::uint64_t>(R.Deadline.ms())}};
  if (R.Objective != Default.Objective)
    Object["objective_ms"] = static_cast<std::uint64_t>(R.Objective.ms());
  if (R.MaxAttempts != Default.MaxAttempts)
    Object["attempts"] = R.MaxAttempts;
  if (R.Priority != Default.Priority)
    Object["priority"] = R.Priority;
  if (!R.Host.empty())
    Object["host"] = R.Host;
  if (!R.Split.empty()) {
    boost::json::array Split;
    for (const WeightedGroup &Share : R.Split)
      Split.emplace_back(toString(Share));
    Object["split"] = std::move(Split);
    Object.erase("group");
  }
  if (R.IsPublic)
    Object["public"] = true;
  return Object;
}

boost::json::object toJson(const Organisation &O) {
  boost::json::object Object{{"name", O.Name.str()}, {"share", O.Share}};
  if (!O.KeyDigests.empty())
    Object["key_digests"] =
        boost::json::array(O.KeyDigests.begin(), O.KeyDigests.end());
  if (O.Priority)
    Object["priority"] = *O.Priority;
  if (O.RatePerS != 0)
    Object["rate_per_s"] = O.RatePerS;
  if (O.Burst != 0)
    Object["burst"] = O.Burst;
  return Object;
}

boost::json::object toJson(const Limit &L) {
  return {{"name", L.Name.str()},
          {"service", L.Service.str()},
          {"queue_per_slot", L.QueuePerSlot},
          {"max_body_bytes", L.MaxBodyBytes},
          {"retry_percent", L.RetryPercent}};
}

boost::json::object toJson(const Listener &L) {
  boost::json::object Object{
      {"name", L.Name.str()},
      {"max_header_bytes", L.MaxHeaderBytes},
      {"max_body_bytes", L.MaxBodyBytes},
      {"header_timeout_ms", static_cast<std::uint64_t>(L.HeaderTimeout.ms())},
      {"idle_timeout_ms", static_cast<std::uint64_t>(L.IdleTimeout.ms())}};
  if (L.RequiresCredentials)
    Object["requires_credentials"] = true;
  return Object;
}

void fromJson(const value &V, Service &S) {
  S.Name = nameField<ServiceName>(V, "name");
  S.Floor = uint32Field(V, "floor");
  S.Preset = parsePreset(stringField(V, "detection"));
  S.Detector = stringField(V, "detector");
  if (hasField(V, "health_path"))
    S.HealthPath = stringField(V, "health_path");
  if (hasField(V, "ejections"))
    S.EjectionsEnabled = V.at("ejections").as_bool();
}

void fromJson(const value &V, Group &G) {
  G.Name = nameField<GroupName>(V, "name");
  G.Service = nameField<ServiceName>(V, "service");
  for (const value &Domain : V.at("failure_domains").as_array()) {
    const boost::json::string &Text = Domain.as_string();
    G.Domains.emplace_back(std::string(Text.data(), Text.size()));
  }
  G.Label = stringField(V, "label");
  G.ExpectedSize = uint32Field(V, "expected_size");
}

void fromJson(const value &V, Rule &R) {
  R.Name = nameField<RuleName>(V, "name");
  R.Method = stringField(V, "method");
  R.PathPrefix = stringField(V, "path_prefix");
  if (hasField(V, "split"))
    R.Split = parseSplit(V.at("split").as_array());
  else
    R.Group = nameField<GroupName>(V, "group");
  R.Idempotent = V.at("idempotent").as_bool();
  R.Paid = V.at("paid").as_bool();
  R.Deadline = Duration(uint32Field(V, "deadline_ms"));
  if (hasField(V, "objective_ms"))
    R.Objective = Duration(uint32Field(V, "objective_ms"));
  if (hasField(V, "attempts"))
    R.MaxAttempts = uint32Field(V, "attempts");
  if (hasField(V, "priority"))
    R.Priority = uint32Field(V, "priority");
  if (hasField(V, "host"))
    R.Host = stringField(V, "host");
  if (hasField(V, "public"))
    R.IsPublic = V.at("public").as_bool();
}

void fromJson(const value &V, Organisation &O) {
  O.Name = nameField<OrganisationName>(V, "name");
  O.Share = uint32Field(V, "share");
  if (hasField(V, "key_digests"))
    O.KeyDigests = parseDigests(V.at("key_digests").as_array());
  if (hasField(V, "priority"))
    O.Priority = uint32Field(V, "priority");
  if (hasField(V, "rate_per_s"))
    O.RatePerS = uint32Field(V, "rate_per_s");
  if (hasField(V, "burst"))
    O.Burst = uint32Field(V, "burst");
}

void fromJson(const value &V, Limit &L) {
  L.Name = nameField<LimitName>(V, "name");
  L.Service = nameField<ServiceName>(V, "service");
  L.QueuePerSlot = uint32Field(V, "queue_per_slot");
  L.MaxBodyBytes = V.at("max_body_bytes").to_number<std::uint64_t>();
  L.RetryPercent = uint32Field(V, "retry_percent");
}

void fromJson(const value &V, Listener &L) {
  L.Name = nameField<ListenerName>(V, "name");
  L.MaxHeaderBytes = uint32Field(V, "max_header_bytes");
  L.MaxBodyBytes = V.at("max_body_bytes").to_number<std::uint64_t>();
  L.HeaderTimeout = Duration(uint32Field(V, "header_timeout_ms"));
  L.IdleTimeout = Duration(uint32Field(V, "idle_timeout_ms"));
  if (hasField(V, "requires_credentials"))
    L.RequiresCredentials = V.at("requires_credentials").as_bool();
}

} // namespace teaselhitch::detail
