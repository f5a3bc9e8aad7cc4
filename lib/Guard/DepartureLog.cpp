#include "teaselhitch/Guard/DepartureLog.h"

#include "teaselhitch/Support/Log.h"

#include <boost/json.hpp>

namespace teaselhitch {

namespace {

constexpr const char *DeparturesTable = "departures";
constexpr const char *ServersField = "servers";
constexpr const char *NameField = "server";
constexpr const char *IncarnationField = "incarnation";
/// Distinguishes the tokens of these requests from those of other senders in
/// the same thread.
constexpr std::uint64_t TokenPrefix = std::uint64_t(1) << 63;
/// Delay before a failed request is repeated.
constexpr Duration RetryDelay = Duration::seconds(1);
/// A request without a reply for this long was dropped.
constexpr Duration ReplyTimeout = Duration::seconds(10);

std::string encode(const DepartureSet &Servers) {
  boost::json::array List;
  for (const DepartedServer &S : Servers.servers()) {
    boost::json::object Item{{NameField, S.Name.str()}};
    if (S.Incarnation)
      Item[IncarnationField] = *S.Incarnation;
    List.push_back(std::move(Item));
  }
  return boost::json::serialize(boost::json::object{{ServersField, List}});
}

std::optional<DepartedServer> decodeItem(const boost::json::value &Item) {
  const boost::json::object *Object = Item.if_object();
  const boost::json::value *Name =
      Object ? Object->if_contains(NameField) : nullptr;
  if (!Name || !Name->is_string() ||
      !isValidName(std::string(Name->get_string())))
    return std::nullopt;
  DepartedServer S{BackendServerName(std::string(Name->get_string())), {}};
  if (const boost::json::value *Value = Object->if_contains(IncarnationField)) {
    boost::json::error_code Code;
    S.Incarnation = Value->to_number<std::uint64_t>(Code);
    if (Code)
      return std::nullopt;
  }
  return S;
}

/// Items that cannot be read are skipped.
std::vector<DepartedServer> decode(const std::string &Text) {
  boost::json::error_code Code;
  const boost::json::value Row = boost::json::parse(Text, Code);
  const boost::json::object *Object = Code ? nullptr : Row.if_object();
  const boost::json::value *List =
      Object ? Object->if_contains(ServersField) : nullptr;
  std::vector<DepartedServer> Found;
  if (!List || !List->is_array()) {
    logEvent(LogLevel::Warning, "guard", "departures-row-refused",
             {{"expected", "an object with the array 'servers'"}});
    return Found;
  }
  for (const boost::json::value &Item : List->get_array())
    if (std::optional<DepartedServer> S = decodeItem(Item))
      Found.push_back(std::move(*S));
  return Found;
}

} // namespace

std::optional<TableRequest> DepartureLog::tick(Time Now) {
  if (InFlight && Now - InFlight->SentAt > ReplyTimeout) {
    InFlight.reset();
    RowVersion.reset();
  }
  if (InFlight || Now < NextTryAt || (RowVersion && isSaved()))
    return std::nullopt;
  TableRequest Next;
  Next.Token = TokenPrefix | ++LastToken;
  Next.Table = DeparturesTable;
  Next.Key = Node.str();
  if (RowVersion) {
    Next.Operation =
        *RowVersion == 0 ? TableOperation::Insert : TableOperation::Replace;
    Next.ExpectedVersion = *RowVersion;
    Next.Value = encode(All);
  }
  InFlight = Request{Next.Token, Now, Next.Operation, All};
  return Next;
}

std::vector<DepartedServer> DepartureLog::reply(const TableReply &Reply,
                                                Time Now) {
  if (Reply.Status == TableStatus::StoreRestored) {
    forgetStore();
    return {};
  }
  if (!InFlight || InFlight->Token != Reply.Token)
    return {};
  Request Done = std::move(*InFlight);
  InFlight.reset();
  bool IsRead = Done.Operation == TableOperation::Read;
  if (Reply.Status == TableStatus::NotFound && IsRead) {
    RowVersion = 0;
    HasRead = true;
    Saved.clear();
    return {};
  }
  if (Reply.Status != TableStatus::Ok) {
    // A write that failed may have taken effect, so the row is read again.
    RowVersion.reset();
    if (IsRead || Reply.Status != TableStatus::Conflict)
      NextTryAt = Now + RetryDelay;
    return {};
  }
  RowVersion = Reply.Row.Version;
  if (IsRead)
    return merge(Reply.Row.Value);
  Saved = std::move(Done.Servers);
  return {};
}

/// Called when the store was restored from an older copy.
void DepartureLog::forgetStore() {
  IgnoresUnnamed = IgnoresUnnamed || HasRead;
  RowVersion.reset();
  InFlight.reset();
  Saved.clear();
}

/// Returns the departures that only the row contains, and adds them.
std::vector<DepartedServer> DepartureLog::merge(const std::string &Row) {
  HasRead = true;
  Saved = DepartureSet(decode(Row));
  std::vector<DepartedServer> Restored;
  DepartureSet Merged;
  for (const DepartedServer &S : Saved.servers()) {
    if (All.covers(S) || (IgnoresUnnamed && !S.Incarnation))
      continue;
    Merged.join(S);
    Restored.push_back(S);
  }
  // The own departures are newer, so that they are dropped last.
  for (const DepartedServer &S : All.servers())
    Merged.join(S);
  All = std::move(Merged);
  return Restored;
}

} // namespace teaselhitch
