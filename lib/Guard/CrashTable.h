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
/// A crash marks the fingerprints of all attempts that ran on the server. A
/// marked fingerprint that is answered is cleared, because a crashing request
/// never gets an answer; one that was answered lately is not marked at first. A
/// second crash counts only if the attempt started after the first one was
/// known, that is, if the request was sent again. The fingerprint is then held
/// until crashes have stopped for a moment, and quarantined unless they were a
/// wave that other causes must have had a part in.
///
/// The owner runs at most one marked attempt at a time, so that two marked
/// requests never share a crash.
class CrashTable {
public:
  /// How long a crash is remembered for telling waves.
  static constexpr Duration CrashMemory = Duration::seconds(60);

  explicit CrashTable(const GuardSettings &Settings) : Settings(Settings) {}

  /// An attempt that was in progress at a crash.
  struct Ran {
    std::uint64_t Fingerprint = 0;
    ServiceName Service;
    Time StartedAt;
  };

  enum class Standing : std::uint8_t {
    Clear,
    /// Marked: may run when no other marked attempt does.
    Suspect,
    /// Held or quarantined.
    Refused,
  };
  Standing standing(std::uint64_t Fingerprint) const;

  /// Time until a refused fingerprint may be tried again.
  Duration refusedFor(std::uint64_t Fingerprint, Time Now) const;

  /// A backend server of this guard crashed, fell silent or started again
  /// without draining. Crash identifies the server and its incarnation; calls
  /// for the same crash are merged.
  void crashed(std::uint64_t Crash, const std::vector<Ran> &Running, Time Now,
               GuardActions &Out);

  /// An attempt with this fingerprint got its whole answer.
  void answered(std::uint64_t Fingerprint);

  void heardMark(const CrashMark &Mark, Time Now);
  void heardQuarantine(const Quarantine &Q, Time Now);

  /// Decides on held fingerprints and forgets old ones. Servers is the number
  /// of backend servers of this guard that were heard within CrashMemory.
  void tick(std::size_t Servers, Time Now, GuardActions &Out);

  std::size_t size() const { return Entries.size(); }

private:
  enum class Stage : std::uint8_t { Marked, Held, HeldByOther, Quarantined };
  struct Entry {
    Stage Is = Stage::Marked;
    ServiceName Service;
    std::uint64_t FirstCrash = 0;
    /// Set while held and after.
    std::uint64_t SecondCrash = 0;
    /// A wave was found at an earlier repetition.
    bool WasInWave = false;
    /// When this guard knew of the newest crash.
    Time MarkedAt;
    /// End of the stage.
    Time Until;
  };
  struct Crashed {
    std::uint64_t Id = 0;
    bool Own = false;
    Time At;
    ServiceName Service;
    std::set<std::uint64_t> Fingerprints;
  };

  /// After a repeated crash the fingerprint is refused for this long before it
  /// is judged. Crashes that are no further apart form a burst: servers that
  /// fail for a common reason fail within a few seconds of each other. It is
  /// above the announcement timeout, because the crash of an idle server shows
  /// only in its silence.
  Duration confirmTime() const {
    return Settings.AnnouncementTimeout + Duration(500);
  }

  Entry *find(std::uint64_t Fingerprint);
  void mark(std::uint64_t Crash, const Ran &R, Time Now, GuardActions &Out);
  Entry &insert(std::uint64_t Fingerprint, Time Now);
  void evictOne();
  Crashed &crash(std::uint64_t Id, bool Own, const ServiceName &Service,
                 Time Now);
  bool isInCrash(std::uint64_t Id, std::uint64_t Fingerprint) const;
  std::set<std::uint64_t> explainedWithout(std::uint64_t Fingerprint) const;
  /// The crashes around one of them that are close to each other.
  std::vector<const Crashed *> burstAround(std::uint64_t Id) const;
  bool isWave(std::uint64_t Fingerprint, const Entry &E,
              std::size_t Servers) const;
  /// The second crash does not count; the next one will be the second.
  void backToMarked(Entry &E, Time Now);
  void judge(std::uint64_t Fingerprint, Entry &E, std::size_t Servers, Time Now,
             GuardActions &Out);

  const GuardSettings &Settings;
  std::map<std::uint64_t, Entry> Entries;
  /// The latest crashes, for telling waves from crashing requests.
  std::deque<Crashed> Crashes;
  /// Fingerprints that were answered lately, oldest first, and as a set.
  std::deque<std::uint64_t> AnsweredOrder;
  std::multiset<std::uint64_t> Answered;
};

} // namespace teaselhitch

#endif
