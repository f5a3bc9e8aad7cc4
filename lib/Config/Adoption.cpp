#include "teaselhitch/Config/Adoption.h"

#include "teaselhitch/Support/Hash.h"

#include <set>
#include <utility>

namespace teaselhitch {

struct ConfigAdoption::Impl {
  /// An outstanding request for a piece.
  struct Request {
    Time Sent;
    /// Whether a response did not match the hash. After a second mismatch the
    /// request is repeated only at the next interval, to avoid a tight loop
    /// with a faulty peer.
    bool HashMismatch = false;
  };

  std::shared_ptr<const ActiveConfig> Active;
  /// Pieces of the active configuration, including its manifest.
  std::map<PieceHash, std::string> ActivePieces;
  /// The head of the configuration being fetched.
  std::optional<ConfigHead> Target;
  /// Verified pieces that are not in ActivePieces. They are kept when the
  /// target changes, because the next set usually shares most of them.
  std::map<PieceHash, std::string> Received;
  /// Pieces of the target that have not been received.
  std::set<PieceHash> Missing;
  std::map<PieceHash, Request> Outstanding;
  /// Highest version that was rejected because its pieces are not a valid set.
  std::uint64_t RejectedVersion = 0;

  ConfigHead head() const {
    return Active ? ConfigHead{Active->Version, Active->ManifestHash}
                  : ConfigHead();
  }

  const std::string *findPiece(const PieceHash &Hash) const {
    for (const auto *Pieces : {&ActivePieces, &Received})
      if (auto It = Pieces->find(Hash); It != Pieces->end())
        return &It->second;
    return nullptr;
  }

  bool isNewer(const ConfigHead &Head) const {
    return Head.Version > head().Version && Head.Version > RejectedVersion &&
           (!Target || Head.Version > Target->Version);
  }

  /// Requests the pieces that the target needs next, or adopts the target if
  /// it is complete.
  void advance(Time Now, AdoptionStep &Step) {
    PieceWalk Walk;
    std::string Reason;
    bool Parsed = handleError(
        [&]() -> Result<bool> {
          Result<PieceWalk> Walked =
              walkPieces(Target->ManifestHash, [this](const PieceHash &Hash) {
                return findPiece(Hash);
              });
          if (!Walked)
            return Walked.error();
          Walk = std::move(*Walked);
          return true;
        },
        [&](const Error &E) {
          Reason = E.Message;
          return false;
        });
    if (!Parsed)
      return reject(Reason, Step);
    Missing = {Walk.Missing.begin(), Walk.Missing.end()};
    if (Missing.empty())
      return adopt(Walk.Present, Step);
    requestMissing(Now, Step);
  }

  /// Requests missing pieces up to MaxOutstanding requests.
  void requestMissing(Time Now, AdoptionStep &Step) {
    for (const PieceHash &Hash : Missing) {
      if (Outstanding.size() >= MaxOutstanding)
        return;
      if (Outstanding.emplace(Hash, Request{Now, false}).second)
        Step.Fetch.push_back(Hash);
    }
  }

  void adopt(const std::vector<PieceHash> &Needed, AdoptionStep &Step) {
    std::vector<PieceHash> Added;
    for (const auto &[Hash, Unused] : Received)
      Added.push_back(Hash);
    ActivePieces.merge(Received);
    std::string Reason;
    std::shared_ptr<const ActiveConfig> NewConfig = handleError(
        [&]() -> Result<std::shared_ptr<const ActiveConfig>> {
          Result<ObjectSet> Set =
              joinPieces(Target->ManifestHash, ActivePieces);
          if (!Set)
            return Set.error();
          return std::make_shared<const ActiveConfig>(ActiveConfig{
              Target->Version, Target->ManifestHash, std::move(*Set)});
        },
        [&](const Error &E) {
          Reason = E.Message;
          return std::shared_ptr<const ActiveConfig>();
        });
    if (!NewConfig) {
      for (const PieceHash &Hash : Added)
        ActivePieces.erase(Hash);
      return reject(Reason, Step);
    }
    Active = std::move(NewConfig);
    prunePieces(Needed);
    resetFetch();
    Step.Adopted = Active;
  }

  /// Rejects the target permanently. Its bytes match the published hashes, so
  /// fetching them again cannot succeed.
  void reject(const std::string &Reason, AdoptionStep &Step) {
    Step.RejectionReason = Reason;
    RejectedVersion = Target->Version;
    resetFetch();
  }

  void resetFetch() {
    Target.reset();
    Received.clear();
    Missing.clear();
    Outstanding.clear();
  }

  /// Removes the pieces that only earlier sets need.
  void prunePieces(const std::vector<PieceHash> &Needed) {
    std::map<PieceHash, std::string> Kept;
    for (const PieceHash &Hash : Needed)
      if (auto Node = ActivePieces.extract(Hash))
        Kept.insert(std::move(Node));
    ActivePieces = std::move(Kept);
  }
};

ConfigAdoption::ConfigAdoption() : State(std::make_unique<Impl>()) {}
ConfigAdoption::~ConfigAdoption() = default;

AdoptionStep ConfigAdoption::handleHead(const ConfigHead &Head, Time Now) {
  AdoptionStep Step;
  if (!State->isNewer(Head))
    return Step;
  State->Target = Head;
  State->Outstanding.clear();
  State->advance(Now, Step);
  return Step;
}

AdoptionStep ConfigAdoption::handleSet(std::uint64_t Version, PieceSet Set,
                                       Time Now) {
  AdoptionStep Step;
  ConfigHead Head{Version, std::move(Set.ManifestHash)};
  bool IsTarget = State->Target && *State->Target == Head;
  if (!IsTarget && !State->isNewer(Head))
    return Step;
  State->Target = Head;
  State->Outstanding.clear();
  State->Received.merge(Set.Pieces);
  State->advance(Now, Step);
  return Step;
}

AdoptionStep ConfigAdoption::handlePiece(const PieceHash &Hash,
                                         std::string Bytes, Time Now) {
  AdoptionStep Step;
  if (State->Missing.count(Hash) == 0)
    return Step;
  if (sha256Hex(Bytes) != Hash) {
    auto It = State->Outstanding.find(Hash);
    if (It == State->Outstanding.end() || It->second.HashMismatch)
      return Step;
    It->second = {Now, true};
    Step.Fetch.push_back(Hash);
    return Step;
  }
  State->Outstanding.erase(Hash);
  State->Received.emplace(Hash, std::move(Bytes));
  State->Missing.erase(Hash);
  if (State->Missing.empty())
    State->advance(Now, Step);
  else
    State->requestMissing(Now, Step);
  return Step;
}

AdoptionStep ConfigAdoption::tick(Time Now) {
  AdoptionStep Step;
  for (auto &[Hash, Request] : State->Outstanding) {
    if (Now - Request.Sent < RefetchInterval)
      continue;
    Request.Sent = Now;
    Step.Fetch.push_back(Hash);
  }
  return Step;
}

bool ConfigAdoption::isFetching() const { return State->Target.has_value(); }

std::shared_ptr<const ActiveConfig> ConfigAdoption::active() const {
  return State->Active;
}

ConfigHead ConfigAdoption::head() const { return State->head(); }

std::optional<std::string> ConfigAdoption::piece(const PieceHash &Hash) const {
  auto It = State->ActivePieces.find(Hash);
  if (It == State->ActivePieces.end())
    return std::nullopt;
  return It->second;
}

} // namespace teaselhitch
