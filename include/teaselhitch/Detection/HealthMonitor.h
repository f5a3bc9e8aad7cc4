#ifndef TEASELHITCH_DETECTION_HEALTHMONITOR_H
#define TEASELHITCH_DETECTION_HEALTHMONITOR_H

/// \file
/// Determines the health of the backend servers of one guard. Performs no I/O
/// and reads no clock; the caller passes in events and the time and executes
/// the returned actions.

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

/// Outcome of a request, classified for failure detection.
enum class SampleOutcome : std::uint8_t {
  /// A complete response with a status below 500.
  Succeeded,
  /// A response with a status of 500 or above, a lost or refused connection, or
  /// a deadline that expired while the request was running.
  Failed,
  /// The backend server shed the request, which is no evidence of a gray
  /// failure.
  Shed,
  /// The backend server crashed.
  Crashed,
  /// The caller cancelled the request, which is no evidence either way.
  Cancelled,
};

/// The result of a request to a backend server of this guard.
struct RunSample {
  ServiceName Service;
  BackendServerName Server;
  /// The entry that sent the request, and its failure domain.
  NodeName Entry;
  FailureDomain EntryDomain;
  OrganisationName Organisation;
  SampleOutcome Outcome = SampleOutcome::Succeeded;
  Duration RunTime;
  /// Requests with this fingerprint are known to crash backend servers.
  bool CrashingRequest = false;

  auto operator<=>(const RunSample &) const = default;
};

/// Sets the health of a backend server of this guard, as Guard::setHealth does.
struct SetHealth {
  BackendServerName Server;
  BackendServerHealth Health = BackendServerHealth::Healthy;
  /// In percent. While the backend server is ejected,
  /// HealthSettings::HoldWeight means no requests, and a greater weight means
  /// trial requests up to that share.
  std::uint32_t Weight = 100;
  /// One-line reason for the audit trail and the status.
  std::string Reason;

  auto operator<=>(const SetHealth &) const = default;
};

/// Requests an ejection lease.
struct RequestEjection {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const RequestEjection &) const = default;
};

/// Cancels a pending ejection or releases the lease.
struct RequestReadmission {
  ServiceName Service;
  BackendServerName Server;

  auto operator<=>(const RequestReadmission &) const = default;
};

using HealthAction =
    std::variant<SetHealth, RequestEjection, RequestReadmission>;
using HealthActions = std::vector<HealthAction>;

struct HealthSettings {
  NodeName Node;
  /// Weight, in percent, of a suspected backend server.
  std::uint32_t SuspectedWeight = 10;
  /// Weight, in percent, of an ejected backend server during its hold time.
  std::uint32_t HoldWeight = 1;
  /// Weight, in percent, of an ejected backend server that receives trial
  /// requests, and the initial weight of the slow start.
  std::uint32_t TrialWeight = 10;
  /// The weight of a suspected backend server is lowered only after this time
  /// and this many samples, because at a tenth of the requests further evidence
  /// arrives ten times as slowly.
  Duration SuspicionDelay = Duration::seconds(1);
  std::uint32_t SuspicionSamples = 10;
  /// While the statistics of the peers are based on fewer requests of the last
  /// seconds than MinPeerRequests, a failing backend server is ejected only
  /// after SparseDelay and only if few others are unhealthy. With many entries
  /// that each send few requests, an overload of the whole service becomes
  /// visible in the health of the other backend servers first.
  double MinPeerRequests = 8;
  Duration SparseDelay = Duration::seconds(3);
  /// Greatest share of unhealthy backend servers of the service that permits
  /// such an ejection, not counting the failing one, and a number of them that
  /// always does.
  double SparseUnhealthyShare = 0.1;
  std::uint32_t SparseUnhealthyCount = 1;
  /// Time without requests after an ejection. Doubles with each relapse and
  /// with each failed trial request, up to MaxHold.
  Duration InitialHold = Duration::seconds(5);
  Duration MaxHold = Duration::seconds(300);
  /// An ejection within this time after a readmission is a relapse.
  Duration RelapsePeriod = Duration::seconds(600);
  /// Number of consecutive successful trial requests that end an ejection.
  std::uint32_t TrialSuccesses = 8;
  /// Time from readmission to full weight.
  Duration SlowStart = Duration::seconds(10);
  /// A backend server counts as cold for this long after it becomes ready.
  Duration ColdPeriod = Duration::seconds(30);
  /// Weight of samples during cold start and slow start.
  double ColdSampleWeight = 0.25;
};

/// Status of one backend server, for operators.
struct MonitoredServer {
  BackendServerName Server;
  ServiceName Service;
  Verdict DetectorVerdict = Verdict::Healthy;
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

  /// Applies detectors and presets. Returns NotFound, with the name, if a
  /// detector does not exist; the previous configuration then stays in effect.
  virtual Result<void> configure(const ObjectSet &Objects, Time Now) = 0;

  /// A backend server of this guard announced its state.
  /// \param Incarnation increases with each start of the backend server.
  virtual HealthActions announced(const ServiceName &Service,
                                  const BackendServerName &Server,
                                  BackendServerState State,
                                  std::uint64_t Incarnation, Time Now) = 0;

  virtual void view(const ServiceName &Service,
                    std::shared_ptr<const ServiceView> View) = 0;

  /// Stores the statistics that an entry sent with a dispatch.
  virtual void baseline(const ServiceName &Service, const NodeName &Entry,
                        const ServiceBaseline &Statistics, Time Now) = 0;

  virtual HealthActions sample(const RunSample &S, Time Now) = 0;

  /// The ejection lease was acquired.
  virtual HealthActions ejected(const BackendServerName &Server, Time Now) = 0;
  /// The ejection lease ended.
  virtual HealthActions readmitted(const BackendServerName &Server,
                                   ReadmitReason Reason, Time Now) = 0;

  /// Must be called at least every 50 ms.
  virtual HealthActions tick(Time Now) = 0;

  virtual std::vector<MonitoredServer> status(Time Now) const = 0;
};

} // namespace teaselhitch

#endif
