#ifndef TEASELHITCH_CONFIG_PUBLISHER_H
#define TEASELHITCH_CONFIG_PUBLISHER_H

/// \file
/// Publishes a set of objects through the platform: pieces first, then one
/// conditional write of the head, then the history row.

#include "teaselhitch/Config/Diff.h"
#include "teaselhitch/Config/Head.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace teaselhitch {

/// Who publishes, and on top of what.
struct PublishRequest {
  std::string Who;
  std::string Message;
  /// Unique for each publication, e.g. 128 random bits.
  std::string PublishId;
  /// Wall clock time in milliseconds since the Unix epoch.
  std::uint64_t TimeMs = 0;
  /// The version that the operator edited; 0 is the empty set. Without it, the
  /// head at the start of the publication is taken.
  std::optional<std::uint64_t> Base;
};

enum class PublishStatus : std::uint8_t {
  Published,
  /// The head has this set already.
  Unchanged,
  /// Another publication came after the base.
  LostRace,
  /// The base is above the head.
  UnknownBase,
  /// The texts of the request are not UTF-8.
  InvalidRequest,
  /// The store did not answer in all tries.
  StoreUnavailable,
  /// The store refused, or holds data that does not parse.
  StoreFault,
};
/// "published" and so on, for JSON output.
const char *publishStatusName(PublishStatus Status);

struct PublishOutcome {
  PublishStatus Status = PublishStatus::StoreUnavailable;
  /// Published: the new head. Unchanged, UnknownBase: the head found. LostRace:
  /// the head that won, with who and when.
  PublishedHead Head;
  /// LostRace: from the base to the winner.
  std::vector<Difference> BaseToWinner;
  /// LostRace: false if one of the two sets could not be read.
  bool DifferencesKnown = false;
  /// StoreUnavailable, StoreFault: the head may have been written all the same.
  bool MayHaveTakenEffect = false;
  /// Published: false if the history row is left to the next publisher.
  bool HistoryWritten = false;
  /// Pieces written, the manifest included, and their size.
  std::size_t PiecesWritten = 0;
  std::size_t BytesWritten = 0;
  /// InvalidRequest, StoreUnavailable, StoreFault: the last error.
  std::string Detail;
};

/// Publishes sets. Blocks as long as the stores do.
class ConfigPublisher {
public:
  /// Tries of each operation, and the pause before the second one, which
  /// doubles with each further try.
  static constexpr unsigned MaxTries = 5;
  static constexpr Duration FirstPause = Duration(200);

  /// Pause waits between two tries.
  ConfigPublisher(TableStore &Table, ObjectStore &Objects,
                  std::function<void(Duration)> Pause);

  /// Publishes a set that checkObjects found valid.
  PublishOutcome publish(const ObjectSet &Set, const PublishRequest &Request);

private:
  struct Attempt;

  TableStore &Table;
  ObjectStore &Objects;
  std::function<void(Duration)> Pause;
};

} // namespace teaselhitch

#endif
