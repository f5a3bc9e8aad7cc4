/// \file
/// The command `capacity`: memory and processor time of one node at a quarter,
/// a half and the whole of the target size of docs/CAPACITY.md.

#include "Command.h"
#include "SyntheticSet.h"
#include "teaselhitch/Config/Adoption.h"
#include "teaselhitch/Entry/Entry.h"
#include "teaselhitch/Guard/Guard.h"
#include "teaselhitch/Routing/LoadTracker.h"
#include "teaselhitch/Routing/RuleTable.h"
#include "teaselhitch/Support/Random.h"
#include "teaselhitch/Wire/FrameCodec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <malloc.h>
#include <vector>

namespace teaselhitch::bench {

namespace {

constexpr double BytesPerMegabyte = 1e6;
/// Bounds from the users' target for one node.
constexpr double MaxMemoryMb = 64;
constexpr double MaxAdoptionMs = 3000;
constexpr std::uint64_t Seed = 5;
constexpr int RequestCount = 20000;

double allocatedBytes() {
  struct mallinfo2 Info = mallinfo2();
  return static_cast<double>(Info.uordblks) + static_cast<double>(Info.hblkhd);
}

double measureMs(const std::function<void()> &Function) {
  SteadyClock Clock;
  Time Start = Clock.now();
  Function();
  return (Clock.now() - Start).ms();
}

/// Costs of one node at one size.
struct CapacityRow {
  SyntheticSize Size;
  /// Encoded configuration pieces.
  double PiecesMb = 0;
  /// Decoded objects and rule table.
  double ObjectsMb = 0;
  /// Growth of the entry's memory while it handles the requests.
  double LoadMb = 0;
  /// Time to process the pieces of a change of one rule and to build
  /// the new rule table.
  double AdoptionMs = 0;
  /// Bytes of the pieces that a change of one rule transfers.
  double BytesPerChange = 0;
  /// Time per operation: a request at the entry, a request at the guard, and
  /// encoding and decoding a frame.
  double AcceptUs = 0;
  double GuardUs = 0;
  double FrameUs = 0;

  double memoryMb() const { return PiecesMb + ObjectsMb + LoadMb; }
};

/// Passes \p Adoption all pieces that it requests. Returns their total size in
/// bytes.
double deliverPieces(ConfigAdoption &Adoption, const PieceSet &Pieces,
                     std::uint64_t Version) {
  double Bytes = 0;
  AdoptionStep Step =
      Adoption.handleHead(ConfigHead{Version, Pieces.ManifestHash}, Time());
  std::vector<PieceHash> Missing = Step.Fetch;
  while (!Missing.empty()) {
    PieceHash Hash = Missing.back();
    Missing.pop_back();
    const std::string &Data = Pieces.Pieces.at(Hash);
    Bytes += static_cast<double>(Data.size());
    Step = Adoption.handlePiece(Hash, Data, Time());
    Missing.insert(Missing.end(), Step.Fetch.begin(), Step.Fetch.end());
  }
  return Bytes;
}

void measureConfig(CapacityRow &Row) {
  ObjectSet Objects = makeObjects(Row.Size);
  PieceSet First = splitIntoPieces(Objects);
  Objects.Rules[Objects.Rules.size() / 2].Paid = true;
  Objects.Rules[Objects.Rules.size() / 2].Idempotent = false;
  PieceSet Second = splitIntoPieces(Objects);
  double Before = allocatedBytes();
  ConfigAdoption Adoption;
  deliverPieces(Adoption, First, 1);
  double PieceBytes = 0;
  for (const auto &[Hash, Data] : First.Pieces)
    PieceBytes += static_cast<double>(Data.size());
  auto Table = std::make_unique<RuleTable>(Adoption.active());
  Row.PiecesMb = PieceBytes / BytesPerMegabyte;
  Row.ObjectsMb =
      std::max(0.0, allocatedBytes() - Before - PieceBytes) / BytesPerMegabyte;
  Row.AdoptionMs = measureMs([&] {
    Row.BytesPerChange = deliverPieces(Adoption, Second, 2);
    Table = std::make_unique<RuleTable>(Adoption.active());
  });
}

std::unique_ptr<Entry> makeEntry(RandomSource &Random) {
  EntrySettings Settings;
  Settings.Node = NodeName("node-0");
  Settings.Domain = FailureDomain("domain-0");
  return handleError([&] { return Entry::create(Settings, Random); },
                     [](const Error &E) {
                       std::cerr << E.Message << '\n';
                       return std::unique_ptr<Entry>();
                     });
}

/// Measures requests to random rules. The entry accepts and sends each request,
/// and the answer is passed in before the next request.
void measureEntry(CapacityRow &Row) {
  SeededRandom Random(Seed);
  std::unique_ptr<Entry> Core = makeEntry(Random);
  if (!Core)
    return;
  auto Config = std::make_shared<ActiveConfig>();
  Config->Objects = makeObjects(Row.Size);
  auto View = makeView(Row.Size);
  Core->configure(Config);
  Core->updateView(View);
  double BeforeLoad = allocatedBytes();
  double Ms = measureMs([&] {
    for (int I = 0; I != RequestCount; ++I) {
      CallerRequest Request;
      Request.Method = "GET";
      Request.Path = rulePath(Random.uniformInt(Row.Size.Rules));
      Request.Organisation =
          organisationName(Random.uniformInt(Row.Size.Organisations));
      EntryActions Actions;
      Core->accept(Request, Time(I), Actions);
      const auto *Sent = std::get_if<SendAttempt>(&Actions.front());
      if (!Sent)
        continue;
      AttemptAnswer Answer;
      Answer.Attempt = Sent->Info.Attempt;
      Answer.Server = Sent->Info.Preferred;
      Answer.RunTime = Duration(5);
      Answer.Answer.Status = 200;
      Core->handleAnswer(Answer, Time(I + 5));
    }
  });
  Row.LoadMb = std::max(0.0, allocatedBytes() - BeforeLoad) / BytesPerMegabyte;
  Row.AcceptUs = Ms * 1000 / RequestCount;
}

void measureGuard(CapacityRow &Row) {
  constexpr int ServersPerNode = 13;
  GuardSettings Settings;
  Settings.Node = NodeName("node-0");
  Settings.Domain = FailureDomain("domain-0");
  Settings.Incarnation = 1;
  Settings.KeySecret = "0123456789abcdef";
  std::unique_ptr<Guard> Core =
      handleError([&] { return Guard::create(Settings); },
                  [](const Error &E) {
                    std::cerr << E.Message << '\n';
                    return std::unique_ptr<Guard>();
                  });
  if (!Core)
    return;
  auto Config = std::make_shared<ActiveConfig>();
  Config->Objects = makeObjects(Row.Size);
  Core->configure(Config, Time());
  for (int I = 0; I != ServersPerNode; ++I) {
    Announcement A;
    A.Name = BackendServerName("server-" + std::to_string(I));
    A.Service = serviceName(static_cast<std::size_t>(I) % Row.Size.Services);
    A.Address = Endpoint{"127.0.0.1", static_cast<std::uint16_t>(9000 + I)};
    A.Slots = 4;
    A.Incarnation = 1;
    A.State = BackendServerState::Ready;
    handleError([&] { return Core->announce(A, Time()); },
                [](const Error &E) {
                  std::cerr << E.Message << '\n';
                  return GuardActions();
                });
  }
  double Ms = measureMs([&] {
    for (int I = 0; I != RequestCount; ++I) {
      DispatchInfo Info;
      Info.Attempt.Request.Sequence = static_cast<std::uint64_t>(I);
      Info.Service =
          serviceName(static_cast<std::size_t>(I) %
                      std::min<std::size_t>(ServersPerNode, Row.Size.Services));
      Info.Organisation = organisationName(static_cast<std::size_t>(I) %
                                           Row.Size.Organisations);
      Info.Remaining = Duration::seconds(1);
      Info.Fingerprint = static_cast<std::uint64_t>(I);
      // The virtual time must stay below the announcement timeout, since the
      // servers are announced only once.
      Time Now(I * 0.1);
      Core->dispatch(Info, Now);
      RunResult Result;
      Result.Status = 200;
      Result.RunTime = Duration(5);
      Core->finished(Info.Attempt, Result, Now);
    }
  });
  Row.GuardUs = Ms * 1000 / RequestCount;
}

/// Measures encoding and decoding of a dispatch with a body of 1,024 bytes.
void measureFrames(CapacityRow &Row) {
  constexpr std::size_t BodyBytes = 1024;
  Dispatch Message;
  Message.Info.Service = serviceName(0);
  Message.Request.Method = "POST";
  Message.Request.Target = rulePath(0);
  Message.Request.Headers = {{"Accept", "application/json"},
                             {"Content-Type", "application/json"}};
  Message.Request.Body = std::string(BodyBytes, 'x');
  FrameReader Reader;
  double Ms = measureMs([&] {
    for (int I = 0; I != RequestCount; ++I)
      handleError(
          [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(Frame, encodeFrame(Message));
            Reader.append(Frame.Head);
            Reader.append(Frame.Body.str());
            BOOST_LEAF_AUTO(Read, Reader.next());
            return Read.has_value();
          },
          [](const Error &) { return false; });
  });
  Row.FrameUs = Ms * 1000 / RequestCount;
}

void printText(const std::vector<CapacityRow> &Rows) {
  std::printf("%8s %9s %6s %8s %9s %10s %8s %9s %10s %10s %9s %9s\n",
              "services", "rules", "orgs", "servers", "pieces MB", "objects MB",
              "load MB", "adopt ms", "bytes/chg", "accept us", "guard us",
              "frame us");
  for (const CapacityRow &R : Rows)
    std::printf("%8zu %9zu %6zu %8zu %9.2f %10.2f %8.2f %9.1f %10.0f %10.1f "
                "%9.1f %9.1f\n",
                R.Size.Services, R.Size.Rules, R.Size.Organisations,
                R.Size.Servers, R.PiecesMb, R.ObjectsMb, R.LoadMb, R.AdoptionMs,
                R.BytesPerChange, R.AcceptUs, R.GuardUs, R.FrameUs);
}

void printJson(const std::vector<CapacityRow> &Rows) {
  boost::json::array Items;
  for (const CapacityRow &R : Rows)
    Items.push_back(boost::json::object{{"services", R.Size.Services},
                                        {"rules", R.Size.Rules},
                                        {"organisations", R.Size.Organisations},
                                        {"servers", R.Size.Servers},
                                        {"pieces_mb", R.PiecesMb},
                                        {"objects_mb", R.ObjectsMb},
                                        {"load_mb", R.LoadMb},
                                        {"adoption_ms", R.AdoptionMs},
                                        {"bytes_per_change", R.BytesPerChange},
                                        {"accept_us", R.AcceptUs},
                                        {"guard_us", R.GuardUs},
                                        {"frame_us", R.FrameUs}});
  std::cout << boost::json::serialize(Items) << '\n';
}

class CapacityCommand final : public Command {
public:
  int run(const CommandOptions &Options) override {
    std::vector<CapacityRow> Rows;
    for (double Share : {0.25, 0.5, 1.0}) {
      CapacityRow Row;
      Row.Size = SyntheticSize::target(Share);
      measureConfig(Row);
      measureEntry(Row);
      measureGuard(Row);
      measureFrames(Row);
      Rows.push_back(Row);
    }
    if (Options.Json)
      printJson(Rows);
    else
      printText(Rows);
    const CapacityRow &Full = Rows.back();
    bool WithinBounds =
        Full.memoryMb() < MaxMemoryMb && Full.AdoptionMs < MaxAdoptionMs;
    if (!WithinBounds)
      std::cerr
          << "memory or adoption time exceeds its bound at the target size\n";
    return WithinBounds ? 0 : 1;
  }
};

const CommandRegistry::Entry
    Registered("capacity", "memory and processor time of one node by size",
               [] { return std::make_unique<CapacityCommand>(); });

} // namespace

} // namespace teaselhitch::bench
