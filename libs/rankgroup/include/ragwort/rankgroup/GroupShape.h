//===- GroupShape.h - How the experts of a group are arranged -------------===//
#ifndef RAGWORT_RANKGROUP_GROUPSHAPE_H
#define RAGWORT_RANKGROUP_GROUPSHAPE_H

#include "ragwort/base/Time.h"
#include <cstdint>

namespace ragwort::rankgroup {

/// How a group's experts are arranged, as published by its operators.
struct GroupShape {
  uint32_t Sets = 0;
  uint32_t Experts = 0;
  /// Experts per set that a rank has room for.
  uint32_t Places = 0;
  /// Experts per set that one new map may add to a rank.
  uint32_t Spare = 0;
  /// Longest acceptable gap between two events of a stream. A pass produces one
  /// event of each running stream. Zero if no route has streams.
  Duration TargetGap{0};

  bool isKnown() const { return Sets > 0 && Experts > 0 && Places > 0; }
  friend bool operator==(const GroupShape &, const GroupShape &) = default;
};

} // namespace ragwort::rankgroup

#endif
