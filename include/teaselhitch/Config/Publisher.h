#ifndef TEASELHITCH_CONFIG_PUBLISHER_H
#define TEASELHITCH_CONFIG_PUBLISHER_H

/// \file
/// Publishes a set of objects through the platform: writes the pieces, then the
/// head with one conditional write, then the history row.

#include "teaselhitch/Config/Diff.h"
#include "teaselhitch/Config/Head.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// The metadata and the base version of a publication.
struct PublishRequest {
  std::string Author;
  std::string Message;
  /// Unique for each publication, e.g. 128 random bits.
  std::string PublishId;
  /// Wall clock time in milliseconds since the Unix epoch.
  std::uint64_t TimeMs = 0;
  /// The version that the operator edited; 0 denotes the empty set. If unset,
  /// the base is the head at the start of the publication.
  std::optional<std::uint64_t> Base;
};

enum class PublishStatus : std::uint8_t {
  Published,
  /// The head already contains this set.
  Unchanged,
  /// The head is newer than the base because of another publication.
  LostRace,
  /// The base is a newer version than the head.
  UnknownBase,
  /// The strings of the request are not valid UTF-8.
  InvalidRequest,
  /// The store was unavailable or timed out in all tries.
  StoreUnavailable,
  /// The store rejected an operation or holds data that cannot be parsed.
  StoreFault,
};
/// Returns the name of a status in JSON output, e.g. "published".
const char *publishStatusName(PublishStatus Status);

struct PublishOutcome {
  PublishStatus Status = PublishStatus::StoreUnavailable;
  /// Published: the new head. Unchanged, UnknownBase: the current head.
  /// LostRace: the head of the other publication, with its author and time.
  PublishedHead Head;
  /// LostRace: the differences between the base and the winning head.
  std::vector<Difference> BaseToWinner;
  /// LostRace: whether BaseToWinner is set. False if the base or the winning
  /// set could not be read.
  bool DifferencesKnown = false;
  /// StoreUnavailable, StoreFault: whether the head may have been written
  /// despite the error.
  bool MayHaveTakenEffect = false;
  /// Published: false if the history row could not be written; the next
  /// publisher writes it.
  bool HistoryWritten = false;
  /// Number and total size of the pieces written, including the manifest.
  std::size_t PiecesWritten = 0;
  std::size_t BytesWritten = 0;
  /// InvalidRequest, StoreUnavailable, StoreFault: the message of the last
  /// error.
  std::string Detail;
};

/// Publishes sets of objects. Calls block while the stores block.
class ConfigPublisher {
public:
  /// Maximum number of tries of each operation, including the first one.
  static constexpr unsigned MaxTries = 5;
  /// Delay before the second try; it doubles with each further try.
  static constexpr Duration InitialBackoff = Duration(200);

  /// \param Sleep blocks for the given duration between two tries.
  ConfigPublisher(TableStore &Table, ObjectStore &Objects,
                  std::function<void(Duration)> Sleep);

  /// Publishes a set that checkObjects() has found valid.
  PublishOutcome publish(const ObjectSet &Set, const PublishRequest &Request);

private:
  struct Attempt;

  TableStore &Table;
  ObjectStore &Objects;
  std::function<void(Duration)> Sleep;
};

} // namespace teaselhitch

#endif
