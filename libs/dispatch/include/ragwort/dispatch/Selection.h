//===- Selection.h - The servers to which a request may be sent -----------===//
#ifndef RAGWORT_DISPATCH_SELECTION_H
#define RAGWORT_DISPATCH_SELECTION_H

#include "ragwort/dispatch/RegionSet.h"
#include <span>
#include <string>
#include <string_view>

namespace ragwort::dispatch {

/// The servers to which a request may be sent.
struct Selection {
  std::string_view Service;
  /// Instances that have already failed or declined the request.
  std::span<const std::string> Excluded;
  /// The regions that the request is confined to; null if it is not. Outlives
  /// the Selection.
  const RegionSet *Regions = nullptr;
};

} // namespace ragwort::dispatch

#endif
