#include "teaselhitch/Guard/DepartureLog.h"

#include "teaselhitch/Support/Log.h"

#include <boost/json.hpp>

#include <algorithm>

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
/// Bounds the row. An instance has about 13 backend servers, and only those
/// that left in the last seconds matter.
constexpr std::size_t MaxEntries = 64;

std::string encode(const std::vector<DepartedServer> &Servers) {
  boost::json::array List;
  for (const DepartedServer &S : Servers) {
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

void DepartureLog::record(const DepartedServer &Server) {
  auto It = std::find_if(Entries.begin(), Entries.end(), [&](const Entry &E) {
    return E.Server.Name == Server.Name;
  });
  if (It != Entries.end() && It->Server == Server)
    return;
  if (It != Entries.end())
    Entries.erase(It);
  else if (Entries.size() == MaxEntries)
    Entries.erase(Entries.begin());
  Entries.push_back({Server, false});
}

bool DepartureLog::isUnsaved(const BackendServerName &Server) const {
  return std::any_of(Entries.begin(), Entries.end(), [&](const Entry &E) {
    return E.Server.Name == Server && !E.IsSaved;
  });
}

bool DepartureLog::hasUnsaved() const {
  return std::any_of(Entries.begin(), Entries.end(),
                     [](const Entry &E) { return !E.IsSaved; });
}

std::optional<TableRequest> DepartureLog::tick(Time Now) {
  if (InFlight && Now - InFlight->SentAt > ReplyTimeout) {
    InFlight.reset();
    RowVersion.reset();
  }
  if (InFlight || Now < NextTryAt || (RowVersion && !hasUnsaved()))
    return std::nullopt;
  TableRequest Next;
  Next.Token = TokenPrefix | ++LastToken;
  Next.Table = DeparturesTable;
  Next.Key = Node.str();
  std::vector<DepartedServer> Written;
  if (RowVersion) {
    for (const Entry &E : Entries)
      Written.push_back(E.Server);
    Next.Operation =
        *RowVersion == 0 ? TableOperation::Insert : TableOperation::Replace;
    Next.ExpectedVersion = *RowVersion;
    Next.Value = encode(Written);
  }
  InFlight = Request{Next.Token, Now, Next.Operation, std::move(Written)};
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
  for (Entry &E : Entries)
    if (std::find(Done.Servers.begin(), Done.Servers.end(), E.Server) !=
        Done.Servers.end())
      E.IsSaved = true;
  return {};
}

/// Called when the store was restored from an older copy.
void DepartureLog::forgetStore() {
  IgnoresOthers = IgnoresOthers || HasRead;
  RowVersion.reset();
  InFlight.reset();
  for (Entry &E : Entries)
    E.IsSaved = false;
}

/// Marks the entries that the row holds as saved. The first time, also adds the
/// others of the row, except those of servers that have departed again since.
std::vector<DepartedServer> DepartureLog::merge(const std::string &Row) {
  std::vector<DepartedServer> Restored;
  std::vector<Entry> Merged;
  for (DepartedServer &S : decode(Row)) {
    auto Known =
        std::find_if(Entries.begin(), Entries.end(),
                     [&](const Entry &E) { return E.Server.Name == S.Name; });
    if (Known == Entries.end()) {
      if (IgnoresOthers)
        continue;
      Merged.push_back({S, true});
      Restored.push_back(std::move(S));
    } else if (Known->Server == S) {
      Known->IsSaved = true;
    }
  }
  Merged.insert(Merged.end(), Entries.begin(), Entries.end());
  if (Merged.size() > MaxEntries)
    Merged.erase(Merged.begin(),
                 Merged.end() - static_cast<std::ptrdiff_t>(MaxEntries));
  Entries = std::move(Merged);
  HasRead = true;
  return Restored;
}

} // namespace teaselhitch
