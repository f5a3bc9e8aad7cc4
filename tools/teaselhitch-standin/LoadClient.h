#ifndef TEASELHITCH_STANDIN_LOADCLIENT_H
#define TEASELHITCH_STANDIN_LOADCLIENT_H

/// \file
/// Open-loop load generator: the request rate does not depend on the answers.

#include "HttpClient.h"
#include "LoadSummary.h"
#include "RequestPlan.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/uuid/random_generator.hpp>

#include <memory>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace teaselhitch::standin {

/// Source of the idempotency keys of paid requests.
enum class KeyKind {
  /// `POST /.teaselhitch/keys` on the node that receives the request.
  Guard,
  /// A random UUID chosen by the client.
  Own,
};

struct LoadSettings {
  std::vector<Endpoint> Nodes;
  RequestPlan Plan;
  Duration RunTime;
  /// Value of `Teaselhitch-Deadline-Ms`.
  Duration Deadline;
  KeyKind Keys = KeyKind::Guard;
  std::uint64_t Seed = 1;
  /// Headers added to each request.
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// All calls must be made on the thread of Context.
class LoadClient {
public:
  /// \param Records receives one line for each try.
  LoadClient(boost::asio::io_context &Context, LoadSettings Settings,
             std::ostream &Records);

  /// Starts sending. Context has no more work when the last request has ended.
  void start();

  const LoadSummary &summary() const { return Summary; }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void scheduleNext();
  void startRequest();
  void requestKey(const RequestPtr &Current);
  void handleKey(const RequestPtr &Current, const CallResult &Call);
  void sendTry(const RequestPtr &Current);
  void finishTry(const RequestPtr &Current, const CallResult &Call);
  static void readAnswer(Request &Current, const HttpResponse &Answer);
  /// Prepares the second try of the request, on a newly chosen node.
  void prepareRetry(Request &Current);
  void write(const RequestPtr &Current, bool IsLast);
  HttpRequest makeRequest(const Request &Current);
  HttpClient &chooseNode();

  boost::asio::io_context &Context;
  LoadSettings Settings;
  std::ostream &Records;
  SteadyClock Clock;
  SeededRandom Random;
  boost::uuids::random_generator NewUuid;
  std::vector<std::unique_ptr<HttpClient>> Nodes;
  boost::asio::steady_timer Timer;
  /// No request is scheduled after this time.
  Time End;
  /// Scheduled time of the next request.
  Time Due;
  std::uint64_t LastRequest = 0;
  unsigned InProgress = 0;
  LoadSummary Summary;
};

} // namespace teaselhitch::standin

#endif
