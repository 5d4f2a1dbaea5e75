//===- BatchRoom.cpp - How many requests a batching server may run --------===//
#include "ragwort/dispatch/BatchRoom.h"
#include <algorithm>

namespace ragwort::dispatch {

namespace {

// Bounds of the correction. A single slow rank lengthens all passes of its
// group; sending its group less does not help beyond that.
constexpr double MinCorrection = 1.0;
constexpr double MaxCorrection = 2.0;
// A server may always use its slots divided by this: in smaller batches the
// step that all requests share costs more than the pauses are worth.
constexpr uint32_t MinRoomDivisor = 2;

} // namespace

double BatchRoom::passMillis(double Requests) const {
  double Context = (Speed.UsualPrompt + Speed.UsualAnswer / 2) / 1000;
  double Step = Speed.StepMillis + Requests * (Speed.RequestMillis +
                                               Speed.ContextMillis * Context);
  double Steps = std::max(1u, Speed.StepsPerPass);
  // Requests that end are replaced by others, whose prompts are read.
  double Ending =
      Speed.UsualAnswer > 0 ? std::min(1.0, Steps / Speed.UsualAnswer) : 0.0;
  return Steps * Step + Requests * Ending * Speed.readMillis(Speed.UsualPrompt);
}

double BatchRoom::correction(const ObservedPauses &Observed) const {
  double Gap = std::max(Observed.GapMillis, Observed.LongGapMillis);
  if (Gap <= 0 || Observed.Requests <= 0)
    return 1;
  return std::clamp(Gap / passMillis(std::max(1.0, Observed.Requests)),
                    MinCorrection, MaxCorrection);
}

uint32_t BatchRoom::fitting(const ObservedPauses &Observed) const {
  if (!isLimited())
    return NoRoomLimit;
  double Target = static_cast<double>(TargetGap.count()) / 1000.0;
  double Empty = passMillis(0);
  double Each = passMillis(1) - Empty;
  double Fitting = (Target / correction(Observed) - Empty) / Each;
  return static_cast<uint32_t>(std::max(0.0, Fitting));
}

uint32_t roomOf(uint32_t Slots, uint32_t Extra, uint32_t Fitting) {
  return std::clamp(Fitting, std::max(1u, Slots / MinRoomDivisor),
                    Slots + Extra);
}

} // namespace ragwort::dispatch
