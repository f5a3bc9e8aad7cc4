#ifndef TEASELHITCH_TOOLS_BENCH_DETECTIONSPEED_H
#define TEASELHITCH_TOOLS_BENCH_DETECTIONSPEED_H

namespace teaselhitch::bench {

/// Runs the speed benchmarks of the Detection module and prints the results.
void runDetectionSpeed();

} // namespace teaselhitch::bench

#endif
