#ifndef TEASELHITCH_ENTRY_CLAIMS_H
#define TEASELHITCH_ENTRY_CLAIMS_H

/// \file
/// Claims caller-supplied keys in the platform's table. This code does no I/O;
/// it returns the table operations to send.
///
/// A key has at most one claimant at a time. Another request can take over a
/// claim only after the claimant has recorded that all its attempts were proved
/// not run. A claim never expires in a way that permits a second run, so a
/// paused claimant does no harm.

#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Platform/TableRequests.h"
#include "teaselhitch/Support/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace teaselhitch {

enum class ClaimOutcome : std::uint8_t {
  /// The request holds the key and may be dispatched.
  Held,
  /// Another request holds the key or held it before.
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

/// The result of an event: table operations to send and claims that were
/// decided.
struct ClaimOutput {
  std::vector<TableRequest> Requests;
  std::vector<ClaimDecision> Decisions;
};

class Claims {
public:
  static constexpr const char *TableName = "claims";
  /// Maximum number of table operations for one claim. A claim that needs more
  /// counts as unavailable.
  static constexpr unsigned MaxOperations = 6;
  /// Delay before a failed release is retried.
  static constexpr Duration ReleaseRetryInterval = Duration::seconds(1);
  /// Maximum number of failed releases that wait for a retry. Further failed
  /// releases are dropped, and their keys stay used.
  static constexpr std::size_t MaxPendingReleases = 4096;

  /// Returns the row key: a hash of organisation, rule and caller-supplied key.
  static std::string rowKey(const OrganisationName &Organisation,
                            const RuleName &Rule, const std::string &Key);

  ClaimOutput claim(const RequestId &Request, const std::string &RowKey);

  /// Releases the claim of a request that was proved not run, so that a repeat
  /// of the request can run. Also valid for a claim whose outcome is unknown.
  ClaimOutput release(const RequestId &Request, const std::string &RowKey);

  ClaimOutput reply(const TableReply &Reply, Time Now);

  /// Retries the releases that are due.
  ClaimOutput tick(Time Now);

  /// Number of claims and releases in progress.
  std::size_t size() const {
    return InProgress.size() + PendingReleases.size();
  }

private:
  enum class Step : std::uint8_t {
    Insert,
    Read,
    TakeOver,
    ReleaseRead,
    Release
  };

  struct Claim {
    RequestId Request;
    std::string RowKey;
    Step Current = Step::Insert;
    unsigned Operations = 0;
  };

  struct Row;
  struct PendingRelease {
    Claim Target;
    Time RetryAt;
  };

  void send(Claim C, Step Next, const std::string &Value,
            std::uint64_t ExpectedVersion, ClaimOutput &Out);
  void decide(const Claim &C, ClaimOutcome Result, ClaimOutput &Out);
  void onWritten(Claim C, const TableReply &Reply, ClaimOutput &Out);
  void onRead(Claim C, const TableReply &Reply, ClaimOutput &Out);
  void onReleaseRead(Claim C, const TableReply &Reply, Time Now,
                     ClaimOutput &Out);
  void retryRelease(Claim C, Time Now);

  std::uint64_t NextToken = 1;
  std::map<std::uint64_t, Claim> InProgress;
  std::vector<PendingRelease> PendingReleases;
};

} // namespace teaselhitch

#endif
