#ifndef TEASELHITCH_DETECTION_HEALTHMONITOR_H
#define TEASELHITCH_DETECTION_HEALTHMONITOR_H

/// \file
/// Decides on the health of the backend servers of one guard. Pure: events and
/// the time go in, actions come out.

#include "teaselhitch/Config/Objects.h"
#include "teaselhitch/Detection/Detector.h"
#include "teaselhitch/Detection/EjectionLeases.h"
#include "teaselhitch/Model/Messages.h"
#include "teaselhitch/Model/Records.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace teaselhitch {

/// How a request ended, as far as detection is concerned.
enum class SampleEnd : std::uint8_t {
  /// A whole answer with a status below 500.
  Succeeded,
  /// A status of 500 and above, a lost connection, a refused connection, or a
  /// deadline that passed while the request ran.
  Failed,
  /// The backend server shed the request. No sign of a gray failure.
  Shed,
  /// The backend server crashed.
  Crashed,
  /// The caller cancelled. Says nothing.
  CallerGone,
};

/// A request that ended at an own backend server.
struct RunSample {
  ServiceName Service;
  BackendServerName Server;
  /// The entry that sent the request, and its failure domain.
  NodeName Entry;
  FailureDomain EntryDomain;
  OrganisationName Organisation;
  SampleEnd End = SampleEnd::Succeeded;
  Duration RunTime;
  /// The fingerprint is known to crash backend servers.
  bool MarkedRequest = false;

  auto operator<=>(const RunSample &) const = default;
};

/// Set the health of an own backend server, as in Guard::setHealth.
struct SetHealth {
  BackendServerName Server;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  /// Percent. While ejected, HealthSettings::HoldWeight means no requests and a
  /// greater weight means trial requests up to that share.
  std::uint32_t Weight = 100;
  /// For the audit trail and the status, one line.
  std::string Why;

  auto operator<=>(const SetHealth &) const = default;
};

/// Ask for a lease.
struct WantEjection {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const WantEjection &) const = default;
};

/// Withdraw the wish or give the lease back.
struct WantReadmission {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const WantReadmission &) const = default;
};

using HealthAction = std::variant<SetHealth, WantEjection, WantReadmission>;
using HealthActions = std::vector<HealthAction>;

struct HealthSettings {
  NodeName Node;
  /// Weight in percent of a suspected backend server.
  std::uint32_t SuspectedWeight = 10;
  /// Weight of an ejected one during the hold time.
  std::uint32_t HoldWeight = 1;
  /// Weight of an ejected one that gets trial requests.
  std::uint32_t TrialWeight = 10;
  /// A suspicion lowers the weight only after this time and this many samples,
  /// because evidence comes ten times as slowly at a tenth of the requests.
  Duration SuspicionDelay = Duration::seconds(1);
  std::uint32_t SuspicionSamples = 10;
  /// While the figures of the peers rest on fewer requests of the last seconds,
  /// a failing backend server is ejected only after this time, and only if few
  /// others look bad: with many entries that each send few requests, an
  /// overload of the whole service shows in the others' health first.
  double EnoughPeerRequests = 8;
  Duration SparseDelay = Duration::seconds(3);
  /// Share of the others that may look bad then, and a number that always may.
  double SparseBadShare = 0.1;
  std::uint32_t SparseBadCount = 1;
  /// Time without requests after an ejection; doubles with each relapse.
  Duration FirstHold = Duration::seconds(5);
  Duration LongestHold = Duration::seconds(300);
  /// An ejection this soon after a readmission is a relapse.
  Duration RelapseTime = Duration::seconds(600);
  /// Successes in a row that end an ejection.
  std::uint32_t TrialSuccesses = 8;
  /// From readmission to full weight.
  Duration SlowStart = Duration::seconds(10);
  /// For this long after its start a backend server counts as cold.
  Duration ColdTime = Duration::seconds(30);
  /// Weight of samples during cold and slow start.
  double ColdSampleWeight = 0.25;
};

/// One backend server, for operators.
struct MonitoredServer {
  BackendServerName Server;
  ServiceName Service;
  Verdict Found = Verdict::Healthy;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  std::uint32_t Weight = 100;
  double Score = 0;
  std::string Evidence;

  auto operator<=>(const MonitoredServer &) const = default;
};

/// The health of the backend servers of one guard.
class HealthMonitor {
public:
  static Result<std::unique_ptr<HealthMonitor>> create(HealthSettings Settings);
  virtual ~HealthMonitor() = default;

  /// Puts detectors and presets in force. NotFound names a detector that does
  /// not exist; then nothing changes.
  virtual Result<void> configure(const ObjectSet &Objects, Time Now) = 0;

  /// An own backend server announced its state. \p Incarnation grows with each
  /// of its starts.
  virtual HealthActions announced(const ServiceName &Service,
                                  const BackendServerName &Server,
                                  BackendServerState State,
                                  std::uint64_t Incarnation, Time Now) = 0;

  virtual void view(const ServiceName &Service,
                    std::shared_ptr<const ServiceView> View) = 0;

  /// The figures that came with a dispatch.
  virtual void baseline(const ServiceName &Service, const NodeName &Entry,
                        const ServiceBaseline &Figures, Time Now) = 0;

  virtual HealthActions sample(const RunSample &S, Time Now) = 0;

  /// The lease is held.
  virtual HealthActions ejected(const BackendServerName &Server, Time Now) = 0;
  /// The lease ended.
  virtual HealthActions readmitted(const BackendServerName &Server,
                                   ReadmitReason Why, Time Now) = 0;

  /// Call at least every 50 ms.
  virtual HealthActions tick(Time Now) = 0;

  virtual std::vector<MonitoredServer> status(Time Now) const = 0;
};

} // namespace teaselhitch

#endif
