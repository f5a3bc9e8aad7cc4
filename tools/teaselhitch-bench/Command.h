#ifndef TEASELHITCH_TOOLS_BENCH_COMMAND_H
#define TEASELHITCH_TOOLS_BENCH_COMMAND_H

/// \file
/// Sub-commands of teaselhitch-bench. A command registers itself with a static
/// CommandRegistry::Entry in its own source file.

#include "teaselhitch/Support/Registry.h"

#include <string>
#include <vector>

namespace teaselhitch::bench {

struct CommandOptions {
  bool Json = false;
  /// Run speed benchmarks instead of decision tables.
  bool Speed = false;
  /// Shorter runs, for a look while working. Bounds are checked as well, on
  /// fewer samples.
  bool Quick = false;
  unsigned Threads = 4;
  /// Show rows whose name contains this only.
  std::string Filter;
};

class Command {
public:
  virtual ~Command() = default;
  /// Exit code: 0 all bounds hold, 1 a bound fails, 2 bad input.
  virtual int run(const CommandOptions &Options) = 0;
};
using CommandRegistry = Registry<Command>;

} // namespace teaselhitch::bench

#endif
