#ifndef TEASELHITCH_STANDIN_ROWSTORESERVER_H
#define TEASELHITCH_STANDIN_ROWSTORESERVER_H

/// \file
/// Simulated store of rows and objects: an in-memory implementation of the
/// users' store with fault injection.

#include "HttpServer.h"
#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace teaselhitch::standin {

enum class RowStoreFault {
  None,
  /// Answers with status 503 without executing the request.
  Busy,
  /// Answers with status 429 without executing the request.
  Many,
  /// Closes the connection without executing the request.
  Reset,
  /// Reads requests and neither executes nor answers them.
  Silent,
  /// Executes the request and closes the connection without an answer.
  LostAnswer,
};

/// All calls must be made on the thread of Context.
class RowStoreServer {
public:
  explicit RowStoreServer(boost::asio::io_context &Context);

  /// Starts listening. Port 0 selects a free port.
  Result<Endpoint> listen(const Endpoint &Address);

  void setFault(RowStoreFault NewFault) { Fault = NewFault; }
  /// Writes a row as an operator does. The current fault has no effect.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Bytes);
  /// Discards the change history. Pending watches, and later watches that start
  /// at an earlier version, are answered with status 410.
  void compactHistory();

  /// Keeps a copy of all rows and objects for restore().
  void saveCopy() { Copy = Contents; }
  /// Goes back to the copy of the last call of saveCopy(): later writes are
  /// lost, their versions are assigned again, and the era increases by one.
  /// Closes the connections of pending watches, unless KeepsWatches is set:
  /// then they are answered in the new era.
  void restore(bool KeepsWatches = false);
  bool hasRow(const std::string &Table, const std::string &Key) const {
    auto It = Contents.Rows.find({Table, Key});
    return It != Contents.Rows.end() && !It->second.IsRemoved;
  }
  bool hasPendingWatch() const { return !Watches.empty(); }
  /// Stops or resumes sending the era in responses.
  void sendEra(bool IsSent) { SendsEra = IsSent; }

private:
  struct Row {
    /// The Base64 text as received from the client.
    std::string Value;
    std::uint64_t Version = 0;
    bool IsRemoved = false;
  };
  using RowName = std::pair<std::string, std::string>;
  /// A long poll that waits for a change of a table.
  struct Watch {
    ExchangePtr Pending;
    std::string Table;
    /// The client has seen all changes up to this version.
    std::uint64_t SeenVersion = 0;
  };

  void handle(const ExchangePtr &Current);
  /// Sends a response with the era.
  void answer(Exchange &Current, HttpResponse Response) const;
  void handleWatch(const ExchangePtr &Current);
  void notifyWatches();
  HttpResponse execute(const HttpRequest &Request);
  HttpResponse transact(const std::string &Body);
  HttpResponse readRange(const std::map<std::string, std::string> &Query);
  HttpResponse putObject(const std::string &Name, const HttpRequest &Request);
  bool hasChanged(const Watch &W) const;
  HttpResponse changesResponse(const Watch &W) const;

  boost::asio::io_context &Context;
  HttpServer Server;
  RowStoreFault Fault = RowStoreFault::None;
  /// What a copy of the store contains.
  struct State {
    std::map<RowName, Row> Rows;
    std::map<std::string, std::string> Objects;
    std::uint64_t Version = 0;
    /// The change history up to this version is discarded.
    std::uint64_t CompactedVersion = 0;
  };
  State Contents;
  State Copy;
  std::uint64_t Era = 1;
  bool SendsEra = true;
  std::list<Watch> Watches;
  /// Requests received during the fault Silent, which are never answered.
  std::vector<ExchangePtr> Unanswered;
};

} // namespace teaselhitch::standin

#endif
