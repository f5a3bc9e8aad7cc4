#include "CommandLine.h"

#include <boost/asio/ip/address.hpp>
#include <popt.h>

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>

namespace teaselhitch::standin {

namespace {

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};

} // namespace

void CommandLine::add(const char *Option, std::string &Variable,
                      const char *Help, const char *Argument) {
  StringOptions.push_back(StringOption{nullptr, &Variable});
  Options.push_back(
      {Option, POPT_ARG_STRING, &StringOptions.back().Value, Help, Argument});
}

void CommandLine::add(const char *Option, long &Variable, const char *Help) {
  Options.push_back({Option, POPT_ARG_LONG | POPT_ARGFLAG_SHOW_DEFAULT,
                     &Variable, Help, "N"});
}

void CommandLine::add(const char *Option, double &Variable, const char *Help) {
  Options.push_back({Option, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT,
                     &Variable, Help, "X"});
}

Result<void> CommandLine::parse(int Argc, const char **Argv) {
  std::vector<poptOption> Table;
  for (const Option &O : Options)
    Table.push_back({O.Name, 0, O.Type, O.Target, 0, O.Help, O.Argument});
  poptOption Autohelp[] = {POPT_AUTOHELP POPT_TABLEEND};
  Table.push_back(Autohelp[0]);
  Table.push_back(POPT_TABLEEND);
  std::vector<const char *> Arguments(Argv, Argv + Argc);
  Arguments[0] = Name.c_str(); // Shown by --help.
  std::unique_ptr<poptContext_s, ContextDeleter> Context(
      poptGetContext(Name.c_str(), Argc, Arguments.data(), Table.data(), 0));
  int Code = poptGetNextOpt(Context.get());
  for (const StringOption &Text : StringOptions) {
    if (Text.Value)
      *Text.Variable = Text.Value;
    std::free(Text.Value);
  }
  if (Code < -1)
    return makeError(ErrorCode::InvalidInput,
                     std::string(poptBadOption(Context.get(), 0)) + ": " +
                         poptStrerror(Code));
  if (const char *Extra = poptGetArg(Context.get()))
    return makeError(ErrorCode::InvalidInput,
                     "unexpected argument '" + std::string(Extra) + "'");
  return {};
}

int reportError(const Error &E) {
  std::cerr << "teaselhitch-standin: " << E.Message << '\n';
  return E.Code == ErrorCode::InvalidInput ? ExitUsage : ExitFailure;
}

Result<Endpoint> parseEndpoint(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  std::string_view Port =
      Colon == std::string_view::npos ? "" : Text.substr(Colon + 1);
  Endpoint Parsed;
  Parsed.Address = std::string(Text.substr(0, Colon));
  boost::system::error_code Code;
  boost::asio::ip::make_address(Parsed.Address, Code);
  auto [End, Status] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Parsed.Port);
  if (Code || Port.empty() || Status != std::errc() ||
      End != Port.data() + Port.size())
    return makeError(ErrorCode::InvalidInput,
                     "'" + std::string(Text) +
                         "' is not of the form ADDRESS:PORT");
  return Parsed;
}

std::vector<std::string> splitList(std::string_view Text, char Separator) {
  std::vector<std::string> Parts;
  while (!Text.empty()) {
    std::size_t End = Text.find(Separator);
    if (End != 0)
      Parts.emplace_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Parts;
}

} // namespace teaselhitch::standin
