#include "Options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace teaselhitch {

namespace {

/// Value that popt returns for the first option. Must be positive: 0 and
/// negative values have other meanings in popt.
constexpr int FirstOptionId = 1;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::vector<poptOption> makeTable(const std::vector<OptionSpec> &Specs) {
  std::vector<poptOption> Table;
  int OptionId = FirstOptionId;
  for (const OptionSpec &Spec : Specs) {
    unsigned ArgType = Spec.ArgumentName ? POPT_ARG_STRING : POPT_ARG_NONE;
    Table.push_back(poptOption{Spec.Name, '\0', ArgType, nullptr, OptionId++,
                               Spec.Help, Spec.ArgumentName});
  }
  Table.push_back(poptOption{"help", 'h', POPT_ARG_NONE, nullptr, OptionId,
                             "show this help", nullptr});
  Table.push_back(POPT_TABLEEND);
  return Table;
}

} // namespace

Result<ParsedOptions> parseOptions(const std::string &Name,
                                   const std::vector<std::string> &Args,
                                   const std::vector<OptionSpec> &Specs) {
  std::vector<const char *> Argv = {Name.c_str()};
  for (const std::string &Arg : Args)
    Argv.push_back(Arg.c_str());
  std::vector<poptOption> Table = makeTable(Specs);
  ContextPtr Context(poptGetContext(Name.c_str(), static_cast<int>(Argv.size()),
                                    Argv.data(), Table.data(), 0));
  ParsedOptions Parsed;
  int OptionId = 0;
  while ((OptionId = poptGetNextOpt(Context.get())) > 0) {
    auto Index = static_cast<std::size_t>(OptionId - FirstOptionId);
    if (Index == Specs.size()) {
      poptPrintHelp(Context.get(), stdout, 0);
      Parsed.HelpShown = true;
      return Parsed;
    }
    if (Specs[Index].Flag) {
      *Specs[Index].Flag = true;
      continue;
    }
    char *Text = poptGetOptArg(Context.get());
    *Specs[Index].Value = Text ? Text : "";
    std::free(Text);
  }
  if (OptionId < -1)
    return makeError(ErrorCode::InvalidInput,
                     std::string(poptBadOption(Context.get(), 0)) + ": " +
                         poptStrerror(OptionId));
  while (const char *Arg = poptGetArg(Context.get()))
    Parsed.PositionalArgs.emplace_back(Arg);
  return Parsed;
}

} // namespace teaselhitch
