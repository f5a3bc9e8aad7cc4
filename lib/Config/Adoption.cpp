#include "teaselhitch/Config/Adoption.h"

#include "teaselhitch/Support/Hash.h"

#include <set>
#include <utility>

namespace teaselhitch {

struct ConfigAdoption::Impl {
  /// A request for a piece.
  struct Request {
    Time Sent;
    /// Wrong bytes came for it. A second wrong answer waits for the next
    /// interval, so that a broken peer is not asked in a tight loop.
    bool SawWrongBytes = false;
  };

  std::shared_ptr<const ActiveConfig> Active;
  /// Pieces of the active configuration with its manifest.
  std::map<PieceHash, std::string> ActivePieces;
  /// The configuration being fetched.
  std::optional<ConfigHead> Target;
  /// Verified pieces that are not in ActivePieces. They outlive a change of
  /// the target, because the next set shares most of them.
  std::map<PieceHash, std::string> Received;
  /// Pieces to ask for.
  std::set<PieceHash> Missing;
  std::map<PieceHash, Request> Outstanding;
  /// Highest version whose pieces are no valid set.
  std::uint64_t RejectedVersion = 0;

  ConfigHead head() const {
    return Active ? ConfigHead{Active->Version, Active->ManifestHash}
                  : ConfigHead();
  }

  const std::string *stored(const PieceHash &Hash) const {
    for (const auto *Pieces : {&ActivePieces, &Received})
      if (auto It = Pieces->find(Hash); It != Pieces->end())
        return &It->second;
    return nullptr;
  }

  bool isNewer(const ConfigHead &Head) const {
    return Head.Version > head().Version && Head.Version > RejectedVersion &&
           (!Target || Head.Version > Target->Version);
  }

  /// Asks for what the target needs next, or adopts it.
  void proceed(Time Now, AdoptionStep &Step) {
    PieceWalk Walk;
    std::string Fault;
    bool Parsed = handleError(
        [&]() -> Result<bool> {
          Result<PieceWalk> Walked =
              walkPieces(Target->ManifestHash, [this](const PieceHash &Hash) {
                return stored(Hash);
              });
          if (!Walked)
            return Walked.error();
          Walk = std::move(*Walked);
          return true;
        },
        [&](const Error &E) {
          Fault = E.Message;
          return false;
        });
    if (!Parsed)
      return reject(Fault, Step);
    Missing = {Walk.Missing.begin(), Walk.Missing.end()};
    if (Missing.empty())
      return adopt(Walk.Present, Step);
    ask(Now, Step);
  }

  /// Requests missing pieces up to the bound.
  void ask(Time Now, AdoptionStep &Step) {
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
    std::string Fault;
    std::shared_ptr<const ActiveConfig> Next = handleError(
        [&]() -> Result<std::shared_ptr<const ActiveConfig>> {
          Result<ObjectSet> Set =
              joinPieces(Target->ManifestHash, ActivePieces);
          if (!Set)
            return Set.error();
          return std::make_shared<const ActiveConfig>(ActiveConfig{
              Target->Version, Target->ManifestHash, std::move(*Set)});
        },
        [&](const Error &E) {
          Fault = E.Message;
          return std::shared_ptr<const ActiveConfig>();
        });
    if (!Next) {
      for (const PieceHash &Hash : Added)
        ActivePieces.erase(Hash);
      return reject(Fault, Step);
    }
    Active = std::move(Next);
    keepOnly(Needed);
    finishFetch();
    Step.Adopted = Active;
  }

  /// Gives up the target for good: its bytes are as published, so fetching
  /// them again cannot help.
  void reject(const std::string &Fault, AdoptionStep &Step) {
    Step.Rejected = Fault;
    RejectedVersion = Target->Version;
    finishFetch();
  }

  void finishFetch() {
    Target.reset();
    Received.clear();
    Missing.clear();
    Outstanding.clear();
  }

  /// Drops pieces of earlier sets.
  void keepOnly(const std::vector<PieceHash> &Needed) {
    std::map<PieceHash, std::string> Kept;
    for (const PieceHash &Hash : Needed)
      if (auto Node = ActivePieces.extract(Hash))
        Kept.insert(std::move(Node));
    ActivePieces = std::move(Kept);
  }
};

ConfigAdoption::ConfigAdoption() : State(std::make_unique<Impl>()) {}
ConfigAdoption::~ConfigAdoption() = default;

AdoptionStep ConfigAdoption::headSeen(const ConfigHead &Head, Time Now) {
  AdoptionStep Step;
  if (!State->isNewer(Head))
    return Step;
  State->Target = Head;
  State->Outstanding.clear();
  State->proceed(Now, Step);
  return Step;
}

AdoptionStep ConfigAdoption::setRead(std::uint64_t Version, PieceSet Set,
                                     Time Now) {
  AdoptionStep Step;
  ConfigHead Head{Version, std::move(Set.ManifestHash)};
  bool IsTarget = State->Target && *State->Target == Head;
  if (!IsTarget && !State->isNewer(Head))
    return Step;
  State->Target = Head;
  State->Outstanding.clear();
  State->Received.merge(Set.Pieces);
  State->proceed(Now, Step);
  return Step;
}

AdoptionStep ConfigAdoption::pieceArrived(const PieceHash &Hash,
                                          std::string Bytes, Time Now) {
  AdoptionStep Step;
  if (State->Missing.count(Hash) == 0)
    return Step;
  if (sha256Hex(Bytes) != Hash) {
    auto It = State->Outstanding.find(Hash);
    if (It == State->Outstanding.end() || It->second.SawWrongBytes)
      return Step;
    It->second = {Now, true};
    Step.Fetch.push_back(Hash);
    return Step;
  }
  State->Outstanding.erase(Hash);
  State->Received.emplace(Hash, std::move(Bytes));
  State->Missing.erase(Hash);
  if (State->Missing.empty())
    State->proceed(Now, Step);
  else
    State->ask(Now, Step);
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
