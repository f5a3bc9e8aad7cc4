#ifndef TEASELHITCH_LIB_NODE_CALLERSTHREAD_H
#define TEASELHITCH_LIB_NODE_CALLERSTHREAD_H

/// \file
/// The thread that serves callers: it runs the HTTP listener for callers and
/// the entry.

#include "CreditReport.h"
#include "EventLoopThread.h"
#include "SharedState.h"
#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Net/HttpServer.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace teaselhitch {

class CallersThread final : public EventLoopThread {
public:
  static Result<std::unique_ptr<CallersThread>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, SharedState &Shared);

  /// Accepts requests for the grace time, then refuses new ones.
  void drain(Duration Grace);
  /// Ends all requests that are left when the time for the drain is over.
  void endRequests();
  /// Returns true if no request is in progress and, while draining, all
  /// connections are closed. Safe to call from any thread.
  bool isIdle() const { return Idle; }

private:
  CallersThread(const NodeSettings &Settings, SharedState &Shared);

  /// A request that has not been answered yet.
  struct PendingRequest {
    std::shared_ptr<HttpExchange> Exchange;
    /// Request id that the caller supplied, or empty.
    std::string CallerId;
    /// Organisation of the key that the caller sent, or empty.
    OrganisationName Organisation;
    /// Error answer of an attempt, returned to the caller if no other attempt
    /// gets a better one.
    std::optional<HttpAnswer> FallbackAnswer;
    Time ReceivedAt;
    /// Rule of the parent request, which waits for this sub-request. Empty if
    /// there is none.
    RuleName ParentRule;
    /// The request was sent to a guard that had granted it a slot.
    bool IsSent = false;
  };

  void handle(std::shared_ptr<HttpExchange> Exchange);
  /// Returns the refusal of a request that was not assigned a request id.
  HttpAnswer refuse(Reason Cause, const std::string &CallerId = "");
  /// Orders the requests of a connection on which the caller sends further
  /// requests before it has received the responses: one that is not idempotent,
  /// or of which this is not known, runs neither before the end of earlier ones
  /// nor at the same time as later ones. Returns false if the request must
  /// wait.
  bool mayRunNow(HttpExchange &Exchange);
  /// Logs and counts what the server did because of its limits.
  void record(HttpServerEvent Event);
  void handleRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Finds the parent request, which waits for this sub-request, and copies its
  /// priority into Request. Returns the rule of the parent, or an empty name.
  RuleName resolveParent(CallerRequest &Request);
  /// Tells the guard of this node whether a sub-request got a slot.
  void reportSubRequestEnd(const PendingRequest &Ended, bool Congested);
  void notifyBackends(SubRequestNotice Notice);
  /// Ends a request whose caller closed its connection.
  void handleCallerGone(const RequestId &Id);
  void receive(const RunChange &Change);
  /// Answers a request for a new idempotency key.
  void handleKeyRequest(std::shared_ptr<HttpExchange> Exchange);
  void receive(EntryMessage Message);
  void logFailure(const AttemptFailed &M) const;
  void execute(EntryActions Actions);
  void perform(SendOffer Action);
  void perform(SendAttempt Action);
  void perform(const SendCancel &Action);
  void perform(const SendMintKey &Action);
  void perform(const ReplyFailure &Action);
  void perform(const ReplyKey &Action);
  void perform(TableRequest Action);
  void perform(const SendCreditRequest &Action);
  void receive(const CreditMessage &Message);
  void handleAnswer(AttemptAnswer Answer);
  /// Stores an error answer, in case no other attempt gets a better one.
  void keepAnswer(const AttemptAnswer &Answer);
  void finish(const RequestId &Id, HttpAnswer Answer, Outcome Result,
              const char *ReasonName);
  /// Sends a message to the guard of a node. Returns false if the channel is
  /// full.
  bool sendToGuard(const NodeName &Guard, GuardMessage Message);
  /// Returns true if no request is in progress and, while stopping, no
  /// connection is open.
  bool hasFinished() const;
  /// Applies a new configuration or fleet view, if one was published.
  void refresh();
  void publishStatus();

  NodeSettings Settings;
  SharedState &Shared;
  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<CallerProtocol> Protocol;
  /// Routes requests; this thread performs the actions that it returns.
  /// Of the last reply of the platform thread.
  std::uint64_t StoreIncarnation = 0;
  std::unique_ptr<Entry> Core;
  std::unordered_map<std::uint64_t, PendingRequest> Requests;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpExchange>> KeyRequests;
  std::uint64_t NextKeyToken = 1;
  /// Requests that are running on backend servers of this node, by the id that
  /// the caller supplied.
  std::unordered_map<std::string, RunChange> Runs;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ViewGeneration = 0;
  std::atomic<bool> Idle{true};
  bool IsStopping = false;
  bool IsListenerClosed = false;
  LatencyHistogram &Latency;
  CreditAccountReport CreditReport;
  Counter &PipelinedRequests;
  Counter &DeferredRequests;
  // Last member, so that connections are destroyed before the members that
  // their handlers use.
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif
