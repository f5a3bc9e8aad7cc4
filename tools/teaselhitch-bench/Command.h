#ifndef TEASELHITCH_TOOLS_BENCH_COMMAND_H
#define TEASELHITCH_TOOLS_BENCH_COMMAND_H

/// \file
/// Interface of the sub-commands of teaselhitch-bench. A command registers
/// itself with a static CommandRegistry::Entry in its source file.

#include "teaselhitch/Support/Registry.h"

#include <string>
#include <vector>

namespace teaselhitch::bench {

struct CommandOptions {
  /// Print JSON instead of tables.
  bool Json = false;
  /// Run the speed benchmarks instead of the tables.
  bool Speed = false;
  /// Use shorter runs, for quick checks during development. The bounds are
  /// still checked, but on fewer samples.
  bool Quick = false;
  /// Number of worker threads.
  unsigned Threads = 4;
  /// Run only the rows whose name contains this text.
  std::string Filter;
};

class Command {
public:
  virtual ~Command() = default;
  /// Runs the command and returns the exit code of the program: 0 if all
  /// bounds hold, 1 if a bound is violated, 2 if the input is invalid.
  virtual int run(const CommandOptions &Options) = 0;
};
using CommandRegistry = Registry<Command>;

} // namespace teaselhitch::bench

#endif
