#include "ObjectJson.h"

#include <boost/json/array.hpp>

#include <stdexcept>

namespace teaselhitch::detail {

namespace {

using boost::json::value;

std::string text(const value &V, const char *Key) {
  const boost::json::string &Text = V.at(Key).as_string();
  return {Text.data(), Text.size()};
}

/// The name of an object or of one that it refers to.
template <typename NameT> NameT name(const value &V, const char *Key) {
  std::string Text = text(V, Key);
  if (!isValidName(Text))
    throw std::invalid_argument("invalid name");
  return NameT(std::move(Text));
}

std::uint32_t number(const value &V, const char *Key) {
  return V.at(Key).to_number<std::uint32_t>();
}

bool has(const value &V, const char *Key) {
  return V.as_object().contains(Key);
}

std::vector<WeightedGroup> split(const boost::json::array &Shares) {
  std::vector<WeightedGroup> Parsed;
  for (const value &Share : Shares) {
    const boost::json::string &Text = Share.as_string();
    std::optional<WeightedGroup> One =
        parseWeightedGroup(std::string_view(Text.data(), Text.size()));
    if (!One)
      throw std::invalid_argument("invalid share of a split");
    Parsed.push_back(std::move(*One));
  }
  return Parsed;
}

DetectionPreset preset(const std::string &Text) {
  for (DetectionPreset Preset :
       {DetectionPreset::FewFalseEjections, DetectionPreset::Balanced,
        DetectionPreset::FastDetection})
    if (Text == detectionPresetName(Preset))
      return Preset;
  throw std::invalid_argument("unknown detection preset");
}

} // namespace

// Keys that most objects leave at their defaults are written only where they
// differ: pieces of thousands of rules stay small.
boost::json::object toJson(const Service &S) {
  boost::json::object Object{{"name", S.Name.str()},
                             {"floor", S.Floor},
                             {"detection", detectionPresetName(S.Preset)},
                             {"detector", S.Detector}};
  if (!S.HealthPath.empty())
    Object["health_path"] = S.HealthPath;
  if (!S.Ejections)
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
  if (R.Attempts != Default.Attempts)
    Object["attempts"] = R.Attempts;
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
  return Object;
}

boost::json::object toJson(const Organisation &O) {
  return {{"name", O.Name.str()}, {"share", O.Share}};
}

boost::json::object toJson(const Limit &L) {
  return {{"name", L.Name.str()},
          {"service", L.Service.str()},
          {"queue_per_slot", L.QueuePerSlot},
          {"max_body_bytes", L.MaxBodyBytes},
          {"retry_percent", L.RetryPercent}};
}

boost::json::object toJson(const Listener &L) {
  return {
      {"name", L.Name.str()},
      {"max_header_bytes", L.MaxHeaderBytes},
      {"max_body_bytes", L.MaxBodyBytes},
      {"header_timeout_ms", static_cast<std::uint64_t>(L.HeaderTimeout.ms())},
      {"idle_timeout_ms", static_cast<std::uint64_t>(L.IdleTimeout.ms())}};
}

void fromJson(const value &V, Service &S) {
  S.Name = name<ServiceName>(V, "name");
  S.Floor = number(V, "floor");
  S.Preset = preset(text(V, "detection"));
  S.Detector = text(V, "detector");
  if (has(V, "health_path"))
    S.HealthPath = text(V, "health_path");
  if (has(V, "ejections"))
    S.Ejections = V.at("ejections").as_bool();
}

void fromJson(const value &V, Group &G) {
  G.Name = name<GroupName>(V, "name");
  G.Service = name<ServiceName>(V, "service");
  for (const value &Domain : V.at("failure_domains").as_array()) {
    const boost::json::string &Text = Domain.as_string();
    G.Domains.emplace_back(std::string(Text.data(), Text.size()));
  }
  G.Label = text(V, "label");
  G.ExpectedSize = number(V, "expected_size");
}

void fromJson(const value &V, Rule &R) {
  R.Name = name<RuleName>(V, "name");
  R.Method = text(V, "method");
  R.PathPrefix = text(V, "path_prefix");
  if (has(V, "split"))
    R.Split = split(V.at("split").as_array());
  else
    R.Group = name<GroupName>(V, "group");
  R.Idempotent = V.at("idempotent").as_bool();
  R.Paid = V.at("paid").as_bool();
  R.Deadline = Duration(number(V, "deadline_ms"));
  if (has(V, "objective_ms"))
    R.Objective = Duration(number(V, "objective_ms"));
  if (has(V, "attempts"))
    R.Attempts = number(V, "attempts");
  if (has(V, "priority"))
    R.Priority = number(V, "priority");
  if (has(V, "host"))
    R.Host = text(V, "host");
}

void fromJson(const value &V, Organisation &O) {
  O.Name = name<OrganisationName>(V, "name");
  O.Share = number(V, "share");
}

void fromJson(const value &V, Limit &L) {
  L.Name = name<LimitName>(V, "name");
  L.Service = name<ServiceName>(V, "service");
  L.QueuePerSlot = number(V, "queue_per_slot");
  L.MaxBodyBytes = V.at("max_body_bytes").to_number<std::uint64_t>();
  L.RetryPercent = number(V, "retry_percent");
}

void fromJson(const value &V, Listener &L) {
  L.Name = name<ListenerName>(V, "name");
  L.MaxHeaderBytes = number(V, "max_header_bytes");
  L.MaxBodyBytes = V.at("max_body_bytes").to_number<std::uint64_t>();
  L.HeaderTimeout = Duration(number(V, "header_timeout_ms"));
  L.IdleTimeout = Duration(number(V, "idle_timeout_ms"));
}

} // namespace teaselhitch::detail
