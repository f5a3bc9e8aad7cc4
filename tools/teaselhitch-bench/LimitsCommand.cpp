/// \file
/// The command `limits`: simulates one guard under overload in virtual time.

#include "Command.h"
#include "LimitsBench.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace teaselhitch::bench {

namespace {

/// Target bounds: goodput as a share of the capacity, and the time until a
/// refusal in virtual milliseconds.
constexpr double MinGoodput = 0.95;
constexpr double MaxRefusalMs = 5;

std::string toJson(const std::vector<OverloadRow> &Rows) {
  boost::json::array Items;
  for (const OverloadRow &R : Rows)
    Items.push_back(
        boost::json::object{{"one_noisy", R.Mix == LoadMix::OneNoisy},
                            {"load", R.Load},
                            {"goodput", R.Goodput},
                            {"slowest_refusal_ms", R.SlowestRefusal.ms()},
                            {"worst_served", R.WorstServed},
                            {"noisy_shares", R.NoisyShares}});
  return boost::json::serialize(Items) + "\n";
}

class LimitsCommand final : public Command {
public:
  int run(const CommandOptions &Options) override {
    std::vector<OverloadRow> Rows = runOverloadTable(OverloadOptions());
    std::cout << (Options.Json ? toJson(Rows) : overloadTableText(Rows));
    bool WithinBounds = true;
    for (const OverloadRow &Row : Rows) {
      // At a load of 1, random gaps between arrivals leave slots idle. The
      // bound on the goodput therefore applies only to greater loads.
      bool GoodputOk = Row.Load <= 1 || Row.Goodput >= MinGoodput;
      WithinBounds =
          WithinBounds && GoodputOk && Row.SlowestRefusal.ms() <= MaxRefusalMs;
    }
    if (!WithinBounds)
      std::cerr << "goodput or refusal time is out of bounds\n";
    return WithinBounds ? 0 : 1;
  }
};

const CommandRegistry::Entry
    Registered("limits", "goodput, refusals and fairness of a guard by load",
               [] { return std::make_unique<LimitsCommand>(); });

} // namespace

} // namespace teaselhitch::bench
