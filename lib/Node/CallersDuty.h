#ifndef TEASELHITCH_LIB_NODE_CALLERSDUTY_H
#define TEASELHITCH_LIB_NODE_CALLERSDUTY_H

/// \file
/// The thread that serves callers: caller listener and entry.

#include "Channels.h"
#include "Duty.h"
#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Integration/PlatformAdapter.h"
#include "teaselhitch/Net/HttpServer.h"
#include "teaselhitch/Settings/NodeSettings.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace teaselhitch {

class CallersDuty final : public Duty {
public:
  static Result<std::unique_ptr<CallersDuty>>
  create(const NodeSettings &Settings, const PlatformAdapter &Platform,
         std::uint64_t Incarnation, Channels &Rings);

  /// Keeps taking requests for the grace time, then refuses them.
  void drain(Duration Grace);
  /// True when no request is in progress. Safe to call from any thread.
  bool isIdle() const { return Idle; }

private:
  CallersDuty(const NodeSettings &Settings, Channels &Rings);

  /// A caller's request whose answer is open.
  struct Waiting {
    std::shared_ptr<HttpExchange> Exchange;
    HttpRequest Request;
    /// Id that the caller gave, or empty.
    std::string CallerId;
    /// An error answer, for the case that no other attempt brings a better one.
    std::optional<HttpAnswer> Kept;
    Time Since;
    /// Rule of the request that waits for this one; empty if there is none.
    RuleName ParentRule;
    /// It was sent to a guard that had a slot.
    bool IsSent = false;
  };

  void handle(std::shared_ptr<HttpExchange> Exchange);
  /// The answer to a request that got no request id.
  HttpAnswer refuse(Reason Why, const std::string &CallerId = "");
  void handleRequest(const std::shared_ptr<HttpExchange> &Exchange);
  /// Finds the rank of the request that waits for this one. Returns its rule,
  /// or an empty name.
  RuleName noteParent(CallerRequest &Request);
  /// Tells the guard of this node whether a sub-request found room.
  void noteSubRequestEnd(const Waiting &Ended);
  void tellBackends(SubRequestNotice Notice);
  /// The caller has closed its connection.
  void callerGone(const RequestId &Id);
  void receive(const RunChange &Change);
  void handleMint(std::shared_ptr<HttpExchange> Exchange);
  void receive(EntryMessage Message);
  void logFailure(const AttemptFailed &M) const;
  void run(EntryActions Actions);
  void perform(SendOffer Action);
  void perform(SendAttempt Action);
  void perform(const SendCancel &Action);
  void perform(const SendMintKey &Action);
  void perform(const ReplyFailure &Action);
  void perform(const ReplyKey &Action);
  void perform(TableRequest Action);
  void answer(AttemptAnswer Answer);
  void keep(const AttemptAnswer &Answer);
  void finish(const RequestId &Id, HttpAnswer Answer, Outcome Result,
              const char *ReasonName);
  bool sendTo(const NodeName &Guard, GuardMessage Message);
  /// Nothing is in progress, and while stopping no connection is open.
  bool hasFinished() const;
  void refresh();
  void publishStatus();

  NodeSettings Settings;
  Channels &Rings;
  std::unique_ptr<RandomSource> Random;
  std::unique_ptr<CallerProtocol> Protocol;
  std::unique_ptr<Entry> Core;
  std::unordered_map<std::uint64_t, Waiting> Requests;
  std::unordered_map<std::uint64_t, std::shared_ptr<HttpExchange>> Mints;
  std::uint64_t NextMint = 1;
  /// The requests that run on backend servers of this node, by the ids that
  /// their callers gave them.
  std::unordered_map<std::string, RunChange> Runs;
  std::uint64_t ConfigGeneration = 0;
  std::uint64_t ConfigVersion = 0;
  std::uint64_t ViewGeneration = 0;
  std::atomic<bool> Idle{true};
  bool IsStopping = false;
  bool HasStopped = false;
  LatencyHistogram &Latency;
  // Last, so that no connection outlives what its handlers use.
  std::unique_ptr<HttpServer> Server;
};

} // namespace teaselhitch

#endif
