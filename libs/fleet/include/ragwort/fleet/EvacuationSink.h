//===- EvacuationSink.h - Applies operators' evacuations to the gateway ---===//
#ifndef RAGWORT_FLEET_EVACUATIONSINK_H
#define RAGWORT_FLEET_EVACUATIONSINK_H

#include "ragwort/fleet/TableFollower.h"
#include "ragwort/gateway/Gateway.h"

namespace ragwort::fleet {

/// The data centre whose evacuation the row with \p Key asks for; nothing if
/// the row is about something else.
using EvacuationKeyDecoder =
    std::function<std::optional<std::string>(std::string_view Key)>;

/// Keeps the gateway's evacuations up to date with the operators' table. Rows
/// of unknown data centres are logged and take no effect.
class EvacuationSink {
public:
  EvacuationSink(gateway::Gateway &Node, EvacuationKeyDecoder Decode)
      : Node(Node), Decode(std::move(Decode)) {}

  void onList(RowList List, std::optional<TimePoint> GraceUntil);
  void onChanges(RowChanges Changes, std::optional<TimePoint> GraceUntil);

private:
  /// The data centre that \p Row is about, if it is about one.
  std::optional<std::string> dataCentreOf(const StoredRow &Row) const;

  gateway::Gateway &Node;
  const EvacuationKeyDecoder Decode;
};

/// Passes what a follower reads first to one sink and then to another.
///
/// \code
///   SinkPair Both(Evacuations, Configs);
///   TableFollower Follower(Io, Store, "op", Both, Timing, Seed);
/// \endcode
template <TableSink First, TableSink Second> class SinkPair {
public:
  SinkPair(First &A, Second &B) : A(A), B(B) {}

  void onList(RowList List, std::optional<TimePoint> GraceUntil) {
    A.onList(List, GraceUntil);
    B.onList(std::move(List), GraceUntil);
  }
  void onChanges(RowChanges Changes, std::optional<TimePoint> GraceUntil) {
    A.onChanges(Changes, GraceUntil);
    B.onChanges(std::move(Changes), GraceUntil);
  }

private:
  First &A;
  Second &B;
};

} // namespace ragwort::fleet

#endif
