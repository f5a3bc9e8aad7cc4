#ifndef TEASELHITCH_ENTRY_CLAIMS_H
#define TEASELHITCH_ENTRY_CLAIMS_H

/// \file
/// Claims of caller-supplied keys in the platform's table. Pure.
///
/// A key has at most one claimant at a time. A claim passes to another request
/// only after its claimant wrote that all its attempts were proved not run. A
/// claim never expires into a second run, so a paused claimant does no harm.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Platform/Requests.h"
#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselhitch {

enum class ClaimOutcome : std::uint8_t {
  /// The request holds the key and may be dispatched.
  Held,
  /// Another request holds or held the key.
  AlreadyUsed,
  /// The table service did not answer; the request must not be dispatched.
  Unavailable,
};

struct ClaimDecision {
  RequestId Request;
  std::string RowKey;
  ClaimOutcome Result = ClaimOutcome::Unavailable;

  auto operator<=>(const ClaimDecision &) const = default;
};

/// What to do after an event: table operations to send and claims that were
/// decided.
struct ClaimStep {
  std::vector<TableRequest> Requests;
  std::vector<ClaimDecision> Decisions;
};

class Claims {
public:
  static constexpr const char *TableName = "claims";
  /// Table operations for one claim before it counts as unavailable.
  static constexpr unsigned MaxOperations = 6;
  /// How often a failed release is tried again.
  static constexpr Duration ReleaseInterval = Duration::seconds(1);
  /// Releases that may wait for the table service; more are given up, and their
  /// keys stay used.
  static constexpr std::size_t MaxReleases = 4096;

  /// The row of a key: a hash of organisation, rule and key.
  static std::string rowKey(const OrganisationName &Organisation,
                            const RuleName &Rule, const std::string &Key);

  ClaimStep claim(const RequestId &Request, const std::string &RowKey);

  /// Gives up a claim whose request was proved not run, so that a repeat can
  /// run. Also for a claim whose outcome is not known.
  ClaimStep release(const RequestId &Request, const std::string &RowKey);

  ClaimStep reply(const TableReply &Reply, Time Now);

  /// Tries releases again.
  ClaimStep tick(Time Now);

  /// Claims and releases in progress.
  std::size_t size() const { return InProgress.size() + Waiting.size(); }

private:
  enum class Step : std::uint8_t { Insert, Read, Take, ReleaseRead, Release };

  struct Claim {
    RequestId Request;
    std::string RowKey;
    Step Now = Step::Insert;
    unsigned Operations = 0;
  };

  struct Row;
  struct PendingRelease {
    Claim Of;
    Time NotBefore;
  };

  void send(Claim C, Step Next, const std::string &Value,
            std::uint64_t Expected, ClaimStep &Out);
  void decide(const Claim &C, ClaimOutcome Result, ClaimStep &Out);
  void onWritten(Claim C, const TableReply &Reply, ClaimStep &Out);
  void onRead(Claim C, const TableReply &Reply, ClaimStep &Out);
  void onReleaseRead(Claim C, const TableReply &Reply, Time Now,
                     ClaimStep &Out);
  void retryRelease(Claim C, Time Now);

  std::uint64_t NextToken = 1;
  std::map<std::uint64_t, Claim> InProgress;
  std::vector<PendingRelease> Waiting;
};

} // namespace teaselhitch

#endif
