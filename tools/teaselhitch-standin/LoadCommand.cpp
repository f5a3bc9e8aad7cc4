/// \file
/// `teaselhitch-standin load`: sends requests to nodes at a given rate.

#include "CommandLine.h"
#include "Commands.h"
#include "LoadClient.h"

#include <boost/json/serialize.hpp>

#include <fstream>
#include <iostream>

namespace teaselhitch::standin {

namespace {

/// Values of the command-line options.
struct LoadOptions {
  std::string Nodes;
  std::string Paths;
  std::string Organisations;
  std::string KeyKind = "guard";
  std::string Header;
  std::string Out;
  double Rate = 10;
  double DurationS = 10;
  double PaidShare = 0;
  long DeadlineMs = 2000;
  long Seed = 1;
};

void addOptions(CommandLine &Line, LoadOptions &O) {
  Line.add("nodes", O.Nodes, "addresses of the caller listeners of the nodes",
           "ADDRESS:PORT,...");
  Line.add("rate", O.Rate, "total requests per second");
  Line.add("duration-s", O.DurationS, "duration of the load in seconds");
  Line.add("paths", O.Paths, "paths of idempotent and paid requests",
           "get:/PATH,paid:/PATH[@SERVICE],...");
  Line.add("organisations", O.Organisations,
           "organisations for which requests are sent", "NAME,...");
  Line.add("paid-share", O.PaidShare,
           "fraction of requests that are paid, 0 to 1");
  Line.add(
      "key-kind", O.KeyKind,
      "source of the keys of paid requests: a guard (default) or the client",
      "guard|own");
  Line.add("header", O.Header, "header added to each request", "NAME:VALUE");
  Line.add("deadline-ms", O.DeadlineMs, "deadline of each request");
  Line.add("out", O.Out, "file to which the records are written", "FILE.jsonl");
  Line.add("seed", O.Seed, "seed of the random number generator");
}

Result<KeyKind> parseKeyKind(const std::string &Text) {
  if (Text == "guard")
    return KeyKind::Guard;
  if (Text == "own")
    return KeyKind::Own;
  return makeError(ErrorCode::InvalidInput,
                   "--key-kind is '" + Text + "', expected guard or own");
}

Result<LoadSettings> checkOptions(const LoadOptions &O) {
  LoadSettings S;
  for (const std::string &Text : splitList(O.Nodes)) {
    BOOST_LEAF_AUTO(Node, parseEndpoint(Text));
    S.Nodes.push_back(Node);
  }
  if (S.Nodes.empty() || O.Out.empty())
    return makeError(ErrorCode::InvalidInput, "--nodes and --out are required");
  if (O.Rate <= 0 || O.DurationS <= 0 || O.DeadlineMs <= 0)
    return makeError(ErrorCode::InvalidInput,
                     "--rate, --duration-s and --deadline-ms must be positive");
  if (O.PaidShare < 0 || O.PaidShare > 1)
    return makeError(ErrorCode::InvalidInput,
                     "--paid-share must be between 0 and 1");
  BOOST_LEAF_CHECK(parsePaths(O.Paths, S.Plan));
  if (O.PaidShare > 0 && S.Plan.Paid.empty())
    return makeError(ErrorCode::InvalidInput, "--paths contains no paid path");
  BOOST_LEAF_ASSIGN(S.Keys, parseKeyKind(O.KeyKind));
  std::size_t Colon = O.Header.find(':');
  if (!O.Header.empty() && Colon == std::string::npos)
    return makeError(ErrorCode::InvalidInput,
                     "--header is not of the form NAME:VALUE");
  if (!O.Header.empty())
    S.Headers.emplace_back(O.Header.substr(0, Colon),
                           O.Header.substr(Colon + 1));
  S.Plan.Organisations = splitList(O.Organisations);
  S.Plan.PaidShare = O.PaidShare;
  S.Plan.Rate = O.Rate;
  S.RunTime = Duration::seconds(O.DurationS);
  S.Deadline = Duration(static_cast<double>(O.DeadlineMs));
  S.Seed = static_cast<std::uint64_t>(O.Seed);
  return S;
}

Result<int> sendLoad(const LoadSettings &Settings, const std::string &Out) {
  std::ofstream Records(Out);
  boost::asio::io_context Context(1);
  LoadClient Client(Context, Settings, Records);
  Client.start();
  Context.run();
  Records.close();
  if (!Records)
    return makeError(ErrorCode::Unavailable, "cannot write '" + Out + "'");
  std::cout << boost::json::serialize(Client.summary().toJson()) << '\n';
  return int(ExitSuccess);
}

} // namespace

int runLoad(int Argc, const char **Argv) {
  LoadOptions Options;
  CommandLine Line("teaselhitch-standin load");
  addOptions(Line, Options);
  return handleError(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(Line.parse(Argc, Argv));
        BOOST_LEAF_AUTO(Settings, checkOptions(Options));
        return sendLoad(Settings, Options.Out);
      },
      reportError);
}

} // namespace teaselhitch::standin
