#include "teaselhitch/Entry/Claims.h"

#include "teaselhitch/Support/Hash.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <optional>

namespace teaselhitch {

namespace json = boost::json;

/// The value of a row.
struct Claims::Row {
  std::string Claimant;
  bool Released = false;

  static std::string serialize(const RequestId &Request, bool Released) {
    json::object Value;
    Value["claimant"] = toString(Request);
    Value["state"] = Released ? "released" : "claimed";
    return json::serialize(Value);
  }

  /// Returns std::nullopt if the text is not a claim. The key of such a row
  /// counts as used.
  static std::optional<Row> parse(const std::string &Text) {
    json::error_code ParseError;
    json::value Value = json::parse(Text, ParseError);
    if (ParseError || !Value.is_object())
      return std::nullopt;
    const json::value *Claimant = Value.as_object().if_contains("claimant");
    const json::value *State = Value.as_object().if_contains("state");
    if (!Claimant || !Claimant->is_string() || !State || !State->is_string())
      return std::nullopt;
    return Row{std::string(Claimant->as_string()),
               State->as_string() == "released"};
  }
};

std::string Claims::rowKey(const OrganisationName &Organisation,
                           const RuleName &Rule, const std::string &Key) {
  return sha256Hex(Organisation.str() + "\n" + Rule.str() + "\n" + Key);
}

ClaimOutput Claims::claim(const RequestId &Request, const std::string &RowKey) {
  ClaimOutput Out;
  send(Claim{Request, RowKey, Step::Insert, 0}, Step::Insert,
       Row::serialize(Request, false), 0, Out);
  return Out;
}

ClaimOutput Claims::release(const RequestId &Request,
                            const std::string &RowKey) {
  ClaimOutput Out;
  // Read the row first: the release needs its version, and the claim may never
  // have taken effect.
  send(Claim{Request, RowKey, Step::ReleaseRead, 0}, Step::ReleaseRead, "", 0,
       Out);
  return Out;
}

ClaimOutput Claims::reply(const TableReply &Reply, Time Now) {
  ClaimOutput Out;
  auto It = InProgress.find(Reply.Token);
  if (It == InProgress.end())
    return Out;
  Claim C = std::move(It->second);
  InProgress.erase(It);
  switch (C.Current) {
  case Step::Insert:
  case Step::TakeOver:
    onWritten(std::move(C), Reply, Out);
    break;
  case Step::Read:
    onRead(std::move(C), Reply, Out);
    break;
  case Step::ReleaseRead:
    onReleaseRead(std::move(C), Reply, Now, Out);
    break;
  case Step::Release:
    // After a conflict or an unknown result, read the row again.
    if (Reply.Status != TableStatus::Ok)
      retryRelease(std::move(C), Now);
    break;
  }
  return Out;
}

ClaimOutput Claims::tick(Time Now) {
  ClaimOutput Out;
  std::vector<PendingRelease> Due;
  std::erase_if(PendingReleases, [&](PendingRelease &P) {
    if (P.RetryAt > Now)
      return false;
    Due.push_back(std::move(P));
    return true;
  });
  for (PendingRelease &P : Due)
    send(std::move(P.Target), Step::ReleaseRead, "", 0, Out);
  return Out;
}

void Claims::send(Claim C, Step Next, const std::string &Value,
                  std::uint64_t ExpectedVersion, ClaimOutput &Out) {
  TableRequest Request;
  Request.Token = NextToken++;
  Request.Table = TableName;
  Request.Key = C.RowKey;
  Request.Value = Value;
  Request.ExpectedVersion = ExpectedVersion;
  switch (Next) {
  case Step::Insert:
    Request.Operation = TableOperation::Insert;
    break;
  case Step::Read:
  case Step::ReleaseRead:
    Request.Operation = TableOperation::Read;
    break;
  case Step::TakeOver:
  case Step::Release:
    Request.Operation = TableOperation::Replace;
    break;
  }
  C.Current = Next;
  ++C.Operations;
  InProgress.emplace(Request.Token, std::move(C));
  Out.Requests.push_back(std::move(Request));
}

void Claims::decide(const Claim &C, ClaimOutcome Result, ClaimOutput &Out) {
  Out.Decisions.push_back(ClaimDecision{C.Request, C.RowKey, Result});
}

void Claims::onWritten(Claim C, const TableReply &Reply, ClaimOutput &Out) {
  if (Reply.Status == TableStatus::Ok)
    return decide(C, ClaimOutcome::Held, Out);
  if (Reply.Status == TableStatus::Unavailable || C.Operations >= MaxOperations)
    return decide(C, ClaimOutcome::Unavailable, Out);
  // After a conflict, read who holds the key. After an unknown result, read
  // whether the write took effect.
  send(std::move(C), Step::Read, "", 0, Out);
}

void Claims::onRead(Claim C, const TableReply &Reply, ClaimOutput &Out) {
  bool Answered =
      Reply.Status == TableStatus::Ok || Reply.Status == TableStatus::NotFound;
  if (!Answered || C.Operations >= MaxOperations)
    return decide(C, ClaimOutcome::Unavailable, Out);
  std::string OwnValue = Row::serialize(C.Request, false);
  if (Reply.Status == TableStatus::NotFound)
    return send(std::move(C), Step::Insert, OwnValue, 0, Out);
  std::optional<Row> R = Row::parse(Reply.Row.Value);
  if (!R)
    return decide(C, ClaimOutcome::AlreadyUsed, Out);
  if (R->Released)
    return send(std::move(C), Step::TakeOver, OwnValue, Reply.Row.Version, Out);
  bool IsOwn = R->Claimant == toString(C.Request);
  decide(C, IsOwn ? ClaimOutcome::Held : ClaimOutcome::AlreadyUsed, Out);
}

void Claims::onReleaseRead(Claim C, const TableReply &Reply, Time Now,
                           ClaimOutput &Out) {
  // A delayed insert may still create the claim later. The key then counts as
  // used although nothing ran, which is safe.
  if (Reply.Status == TableStatus::NotFound)
    return;
  if (Reply.Status != TableStatus::Ok)
    return retryRelease(std::move(C), Now);
  std::optional<Row> R = Row::parse(Reply.Row.Value);
  if (!R || R->Released || R->Claimant != toString(C.Request))
    return;
  std::string Value = Row::serialize(C.Request, true);
  send(std::move(C), Step::Release, Value, Reply.Row.Version, Out);
}

void Claims::retryRelease(Claim C, Time Now) {
  if (PendingReleases.size() >= MaxPendingReleases)
    return;
  PendingReleases.push_back(
      PendingRelease{std::move(C), Now + ReleaseRetryInterval});
}

} // namespace teaselhitch
