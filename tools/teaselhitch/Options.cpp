#include "Options.h"

#include <popt.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace teaselhitch {

namespace {

constexpr int FirstOption = 1;

struct ContextDeleter {
  void operator()(poptContext Context) const { poptFreeContext(Context); }
};
using ContextPtr =
    std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::vector<poptOption> makeTable(const std::vector<OptionSpec> &Specs) {
  std::vector<poptOption> Table;
  int Number = FirstOption;
  for (const OptionSpec &Spec : Specs) {
    unsigned Kind = Spec.Argument ? POPT_ARG_STRING : POPT_ARG_NONE;
    Table.push_back(poptOption{Spec.Name, '\0', Kind, nullptr, Number++,
                               Spec.Help, Spec.Argument});
  }
  Table.push_back(poptOption{"help", 'h', POPT_ARG_NONE, nullptr, Number,
                             "show this help", nullptr});
  Table.push_back(POPT_TABLEEND);
  return Table;
}

} // namespace

Result<ReadOptions> readOptions(const std::string &Name,
                                const std::vector<std::string> &Args,
                                const std::vector<OptionSpec> &Specs) {
  std::vector<const char *> Argv = {Name.c_str()};
  for (const std::string &Arg : Args)
    Argv.push_back(Arg.c_str());
  std::vector<poptOption> Table = makeTable(Specs);
  ContextPtr Context(poptGetContext(Name.c_str(), static_cast<int>(Argv.size()),
                                    Argv.data(), Table.data(), 0));
  ReadOptions Read;
  int Number = 0;
  while ((Number = poptGetNextOpt(Context.get())) > 0) {
    auto Index = static_cast<std::size_t>(Number - FirstOption);
    if (Index == Specs.size()) {
      poptPrintHelp(Context.get(), stdout, 0);
      Read.HelpShown = true;
      return Read;
    }
    if (Specs[Index].Flag) {
      *Specs[Index].Flag = true;
      continue;
    }
    char *Text = poptGetOptArg(Context.get());
    *Specs[Index].Text = Text ? Text : "";
    std::free(Text);
  }
  if (Number < -1)
    return makeError(ErrorCode::InvalidInput,
                     std::string(poptBadOption(Context.get(), 0)) + ": " +
                         poptStrerror(Number));
  while (const char *Rest = poptGetArg(Context.get()))
    Read.Rest.emplace_back(Rest);
  return Read;
}

} // namespace teaselhitch
