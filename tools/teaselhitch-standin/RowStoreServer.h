#ifndef TEASELHITCH_STANDIN_ROWSTORESERVER_H
#define TEASELHITCH_STANDIN_ROWSTORESERVER_H

/// \file
/// Stand-in for the users' store of rows and objects, in memory, with faults.

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
  /// Answers 503; nothing is done.
  Busy,
  /// Answers 429; nothing is done.
  Many,
  /// Closes the connection; nothing is done.
  Reset,
  /// Takes requests and never answers; nothing is done.
  Silent,
  /// Writes are done and the connection closes without an answer.
  LostAnswer,
};

/// All calls on the thread of Context.
class RowStoreServer {
public:
  explicit RowStoreServer(boost::asio::io_context &Context);

  /// Starts listening; port 0 chooses a free port.
  Result<Endpoint> listen(const Endpoint &Address);

  void setFault(RowStoreFault New) { Fault = New; }
  /// Writes a row as the operator does, whatever the fault.
  void put(const std::string &Table, const std::string &Key,
           const std::string &Bytes);
  /// Forgets the history: watches from before are answered with 410.
  void forgetHistory();

private:
  struct Row {
    /// Base64, as it came.
    std::string Value;
    std::uint64_t Version = 0;
    bool IsRemoved = false;
  };
  using RowName = std::pair<std::string, std::string>;
  /// A watch that waits for a change.
  struct Watch {
    ExchangePtr Caller;
    std::string Table;
    std::uint64_t After = 0;
  };

  void handle(const ExchangePtr &Current);
  void answerWatch(const ExchangePtr &Current);
  void wakeWatches();
  HttpResponse execute(const HttpRequest &Request);
  HttpResponse transact(const std::string &Body);
  HttpResponse readRange(const std::map<std::string, std::string> &Query);
  HttpResponse putObject(const std::string &Name, const HttpRequest &Request);
  bool hasChanged(const Watch &W) const;
  HttpResponse changesFor(const Watch &W) const;

  boost::asio::io_context &Context;
  HttpServer Server;
  RowStoreFault Fault = RowStoreFault::None;
  std::map<RowName, Row> Rows;
  std::map<std::string, std::string> Objects;
  std::uint64_t Version = 0;
  /// Versions up to this one are forgotten.
  std::uint64_t Forgotten = 0;
  std::list<Watch> Watches;
  std::vector<ExchangePtr> Unanswered;
};

} // namespace teaselhitch::standin

#endif
