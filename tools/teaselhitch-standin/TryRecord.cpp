#include "TryRecord.h"

#include "JsonMembers.h"

#include <boost/json/serialize.hpp>

namespace teaselhitch::standin {

namespace {

Result<std::optional<bool>> matchesMember(const boost::json::object &Object) {
  const boost::json::value *Value = Object.if_contains("matches");
  if (!Value || Value->is_null())
    return std::optional<bool>();
  if (!Value->is_bool())
    return makeError(ErrorCode::InvalidInput, "'matches' is not a boolean");
  return std::optional<bool>(Value->get_bool());
}

Result<TryRecord> parseMembers(std::string_view Line) {
  BOOST_LEAF_AUTO(Object, parseJsonObject(Line));
  for (const char *Name : {"request", "try", "outcome", "key", "request_id"})
    if (!Object.contains(Name))
      return makeError(ErrorCode::InvalidInput,
                       "missing member '" + std::string(Name) + "'");
  TryRecord R;
  BOOST_LEAF_AUTO(Request, numberMember(Object, "request", 0));
  BOOST_LEAF_AUTO(Try, numberMember(Object, "try", 1));
  BOOST_LEAF_AUTO(Status, numberMember(Object, "status", 0));
  R.Request = static_cast<std::uint64_t>(Request);
  R.Try = static_cast<std::uint64_t>(Try);
  R.Status = static_cast<unsigned>(Status);
  BOOST_LEAF_ASSIGN(R.TimeMs, numberMember(Object, "time_ms", 0));
  BOOST_LEAF_ASSIGN(R.Kind, textMember(Object, "kind", ""));
  BOOST_LEAF_ASSIGN(R.Path, textMember(Object, "path", ""));
  BOOST_LEAF_ASSIGN(R.Node, textMember(Object, "node", ""));
  BOOST_LEAF_ASSIGN(R.Organisation, textMember(Object, "organisation", ""));
  BOOST_LEAF_ASSIGN(R.Key, textMember(Object, "key", ""));
  BOOST_LEAF_ASSIGN(R.Outcome, textMember(Object, "outcome", ""));
  BOOST_LEAF_ASSIGN(R.Reason, textMember(Object, "reason", ""));
  BOOST_LEAF_ASSIGN(R.RequestId, textMember(Object, "request_id", ""));
  BOOST_LEAF_ASSIGN(R.Server, textMember(Object, "server", ""));
  BOOST_LEAF_ASSIGN(R.Matches, matchesMember(Object));
  BOOST_LEAF_ASSIGN(R.LatencyMs, numberMember(Object, "latency_ms", 0));
  BOOST_LEAF_ASSIGN(R.Problem, textMember(Object, "problem", ""));
  const boost::json::value *Reused = Object.if_contains("reused");
  R.Reused = Reused && Reused->is_bool() && Reused->get_bool();
  return R;
}

} // namespace

std::string toJsonLine(const TryRecord &R) {
  boost::json::object Object{{"request", R.Request},
                             {"try", R.Try},
                             {"time_ms", static_cast<std::int64_t>(R.TimeMs)},
                             {"kind", R.Kind},
                             {"path", R.Path},
                             {"node", R.Node},
                             {"organisation", R.Organisation},
                             {"key", R.Key},
                             {"status", R.Status},
                             {"outcome", R.Outcome},
                             {"reason", R.Reason},
                             {"request_id", R.RequestId},
                             {"server", R.Server},
                             {"matches", nullptr},
                             {"latency_ms", R.LatencyMs},
                             {"problem", R.Problem},
                             {"reused", R.Reused}};
  if (R.Matches)
    Object["matches"] = *R.Matches;
  return boost::json::serialize(Object);
}

Result<TryRecord> parseTryRecord(std::string_view Line) {
  std::optional<Error> Problem;
  TryRecord Parsed = handleError([&] { return parseMembers(Line); },
                                 [&](const Error &E) {
                                   Problem = E;
                                   return TryRecord();
                                 });
  if (Problem)
    return makeError(ErrorCode::Corrupt,
                     "not a try record: " + Problem->Message);
  return Parsed;
}

} // namespace teaselhitch::standin
