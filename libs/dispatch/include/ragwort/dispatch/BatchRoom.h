//===- BatchRoom.h - How many requests a batching server may run ----------===//
//
// A batching server works in passes that write one event of every running
// stream, so each further request lengthens the pauses of all streams. From the
// published speed of a service's engines and the pauses that nodes observe,
// tells how many requests a server can have while pauses stay within the target
// gap. See docs/design/scarce-room.md.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_BATCHROOM_H
#define RAGWORT_DISPATCH_BATCHROOM_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <limits>

namespace ragwort::dispatch {

/// Speed of a service's engines and the usual size of its requests, as its
/// operators publish them.
struct EngineSpeed {
  /// Time of one step of a pass without requests, and for each request that
  /// writes, in milliseconds.
  double StepMillis = 0;
  double RequestMillis = 0;
  /// Time of one step for each 1,000 tokens of a request's context.
  double ContextMillis = 0;
  /// Prompt tokens read in a millisecond.
  double ReadPerMilli = 0;
  uint32_t StepsPerPass = 1;
  /// Mean number of tokens of a prompt and of an answer.
  double UsualPrompt = 0;
  double UsualAnswer = 0;

  bool isKnown() const { return StepMillis > 0 && RequestMillis > 0; }
  /// Time for reading a prompt of \p Tokens alone.
  double readMillis(double Tokens) const {
    return ReadPerMilli > 0 ? Tokens / ReadPerMilli : 0;
  }
  /// By how much a request with these numbers of tokens lengthens the passes of
  /// its server in all.
  double requestMillis(double Prompt, double Answer) const {
    double Context = (Prompt + Answer / 2) / 1000;
    return readMillis(Prompt) +
           Answer * (RequestMillis + ContextMillis * Context);
  }
};

/// The loads and pauses that nodes observe at a service.
struct ObservedPauses {
  /// Mean requests that run at each usable server.
  double Requests = 0;
  /// Mean gap between the events of its streams, in milliseconds; 0 if unknown.
  double GapMillis = 0;
  /// The gap that few are longer than; 0 if unknown.
  double LongGapMillis = 0;
};

/// Stands for any number of requests.
inline constexpr uint32_t NoRoomLimit = std::numeric_limits<uint32_t>::max();

/// Requests that a server with \p Slots may have if \p Fitting fit within the
/// target gap: at most \p Extra beyond the slots, and at least half of them.
uint32_t roomOf(uint32_t Slots, uint32_t Extra, uint32_t Fitting);

/// \code
///   uint32_t Fitting = BatchRoom(Speed, TargetGap).fitting(Observed);
///   if (InFlight < roomOf(Server.Slots, Extra, Fitting)) send();
/// \endcode
class BatchRoom {
public:
  /// \p TargetGap is the longest pause between two events with which a stream
  /// is on time; zero if there is none.
  BatchRoom(const EngineSpeed &Speed, Duration TargetGap)
      : Speed(Speed), TargetGap(TargetGap) {}

  /// Whether room is limited by more than the slots.
  bool isLimited() const { return Speed.isKnown() && TargetGap.count() > 0; }
  /// Predicted mean time of a pass in milliseconds with \p Requests at each
  /// server, without correction.
  double passMillis(double Requests) const;
  /// How many times longer long gaps are than predicted; 1 if unknown.
  double correction(const ObservedPauses &Observed) const;
  /// Requests that each server can have while pauses stay within the target
  /// gap; NoRoomLimit if that is not limited.
  uint32_t fitting(const ObservedPauses &Observed) const;

private:
  EngineSpeed Speed;
  Duration TargetGap;
};

} // namespace ragwort::dispatch

#endif
