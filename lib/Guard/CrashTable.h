#ifndef TEASELHITCH_LIB_GUARD_CRASHTABLE_H
#define TEASELHITCH_LIB_GUARD_CRASHTABLE_H

#include "teaselhitch/Guard/Guard.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace teaselhitch {

/// Finds the requests that crash backend servers.
///
/// A crash marks the fingerprints of all attempts that were running on the
/// server. An answer to a request clears its mark, because a crashing request
/// is never answered. A fingerprint that was answered recently is not marked by
/// its first crash. A second crash counts only if the attempt started after the
/// first crash was known, that is, if the request was retried. The fingerprint
/// is then refused until no further crash has occurred for a short time. After
/// that it is quarantined, unless the crashes belong to a wave: a series of
/// crashes for which the request alone cannot be the cause.
///
/// The owner runs at most one marked attempt at a time, so that two marked
/// requests never share a crash.
class CrashTable {
public:
  /// Time for which a crash is kept to detect waves.
  static constexpr Duration CrashRetention = Duration::seconds(60);

  explicit CrashTable(const GuardSettings &Settings) : Settings(Settings) {}

  /// An attempt that was in progress when its server crashed.
  struct RunningAttempt {
    std::uint64_t Fingerprint = 0;
    ServiceName Service;
    Time StartedAt;
  };

  enum class Status : std::uint8_t {
    Clear,
    /// Marked: may run while no other marked attempt is running.
    Suspect,
    /// Refused while a quarantine is pending, or quarantined.
    Refused,
  };
  Status status(std::uint64_t Fingerprint) const;

  /// Time until a refused fingerprint may be retried.
  Duration retryAfter(std::uint64_t Fingerprint, Time Now) const;

  /// Records that a backend server of this guard crashed, fell silent or
  /// restarted without draining. Crash identifies the server and its
  /// incarnation; repeated calls for the same crash are merged.
  void recordCrash(std::uint64_t Crash,
                   const std::vector<RunningAttempt> &Running, Time Now,
                   GuardActions &Out);

  /// Records that an attempt with this fingerprint received its complete
  /// answer.
  void recordAnswer(std::uint64_t Fingerprint);

  void receiveMark(const CrashMark &Mark, Time Now);
  void receiveQuarantine(const Quarantine &Q, Time Now);

  /// Decides on held fingerprints and removes expired entries. Servers is the
  /// number of backend servers of this guard that sent an announcement within
  /// CrashRetention.
  void tick(std::size_t Servers, Time Now, GuardActions &Out);

  std::size_t size() const { return Entries.size(); }

private:
  enum class Stage : std::uint8_t { Marked, Held, HeldRemotely, Quarantined };
  struct Entry {
    Stage CurrentStage = Stage::Marked;
    ServiceName Service;
    std::uint64_t FirstCrash = 0;
    /// Set when the fingerprint is held, and kept afterwards.
    std::uint64_t SecondCrash = 0;
    /// A wave was detected at an earlier repeated crash.
    bool WasInWave = false;
    /// When this guard learned of the latest crash.
    Time MarkedAt;
    /// When the current stage ends.
    Time ExpiresAt;
  };
  struct CrashRecord {
    std::uint64_t Id = 0;
    bool IsLocal = false;
    Time RecordedAt;
    ServiceName Service;
    std::set<std::uint64_t> Fingerprints;
  };

  /// Time for which a fingerprint is refused after a repeated crash before the
  /// guard decides on a quarantine. Crashes with at most this time between them
  /// form a burst, since servers that fail for a common reason fail within a
  /// few seconds of each other. It exceeds the announcement timeout because the
  /// crash of an idle server is detected only by its missing announcements.
  Duration confirmTime() const {
    return Settings.AnnouncementTimeout + Duration(500);
  }

  Entry *find(std::uint64_t Fingerprint);
  void mark(std::uint64_t Crash, const RunningAttempt &R, Time Now,
            GuardActions &Out);
  Entry &insert(std::uint64_t Fingerprint, Time Now);
  void evictOne();
  CrashRecord &findOrAddCrash(std::uint64_t Id, bool IsLocal,
                              const ServiceName &Service, Time Now);
  bool isInCrash(std::uint64_t Id, std::uint64_t Fingerprint) const;
  std::set<std::uint64_t> explainedCrashes(std::uint64_t Fingerprint) const;
  /// Returns the crashes of the burst that contains this crash.
  std::vector<const CrashRecord *> findBurst(std::uint64_t Id) const;
  bool isWave(std::uint64_t Fingerprint, const Entry &E,
              std::size_t Servers) const;
  /// Keeps the second crash as the first one, so that the next crash counts as
  /// the second.
  void returnToMarked(Entry &E, Time Now);
  void decideQuarantine(std::uint64_t Fingerprint, Entry &E,
                        std::size_t Servers, Time Now, GuardActions &Out);

  const GuardSettings &Settings;
  std::map<std::uint64_t, Entry> Entries;
  /// Recent crashes, for distinguishing waves from crashing requests.
  std::deque<CrashRecord> Crashes;
  /// Fingerprints that were answered recently, ordered from the oldest and as a
  /// set.
  std::deque<std::uint64_t> AnsweredOrder;
  std::multiset<std::uint64_t> Answered;
};

} // namespace teaselhitch

#endif
