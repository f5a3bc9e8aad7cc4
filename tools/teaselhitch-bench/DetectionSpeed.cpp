/// \file
/// Measures the processing time of one sample in each detector and in
/// GrayFailureControl.

#include "DetectionSpeed.h"

#include "teaselhitch/Detection/GrayFailureControl.h"

#include <benchmark/benchmark.h>

namespace teaselhitch::bench {

namespace {

void observeSample(benchmark::State &State, const std::string &Name) {
  auto Created = createDetector(Name, DetectionPreset::Balanced);
  Detector &D = **Created;
  const ServiceBaseline Peers{0.001, 50, 500};
  double Ms = 0;
  for (auto Unused : State) {
    (void)Unused;
    Ms += 1;
    D.observe({true, Duration(40), 1}, Peers, Time(Ms));
    benchmark::DoNotOptimize(D.verdict(Time(Ms)));
  }
}

void controlSample(benchmark::State &State) {
  HealthSettings Health;
  Health.Node = NodeName("n1");
  EjectionSettings Leases;
  Leases.Node = Health.Node;
  auto Created = GrayFailureControl::create(Health, Leases);
  GrayFailureControl &Control = **Created;
  RunSample S;
  S.Service = ServiceName("tickets");
  S.Server = BackendServerName("a");
  S.Entry = NodeName("n2");
  S.EntryDomain = FailureDomain("d1");
  S.Organisation = OrganisationName("guests");
  S.RunTime = Duration(40);
  Control.announced(S.Service, S.Server, BackendServerState::Ready, 1, Time());
  double Ms = 0;
  for (auto Unused : State) {
    (void)Unused;
    Ms += 200;
    Control.dispatched(S.Service, S.Entry, {0.001, 50, 500}, Time(Ms));
    benchmark::DoNotOptimize(Control.sample(S, Time(Ms)));
  }
}

} // namespace

void runDetectionSpeed() {
  for (const char *Name : {"sequential", "consecutive", "window"})
    benchmark::RegisterBenchmark(
        (std::string("observe/") + Name).c_str(),
        [Name](benchmark::State &State) { observeSample(State, Name); });
  benchmark::RegisterBenchmark("control/dispatch-and-sample", controlSample);
  benchmark::RunSpecifiedBenchmarks();
}

} // namespace teaselhitch::bench
