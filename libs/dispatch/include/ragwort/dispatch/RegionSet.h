//===- RegionSet.h - Regions that a request is confined to ----------------===//
#ifndef RAGWORT_DISPATCH_REGIONSET_H
#define RAGWORT_DISPATCH_REGIONSET_H

#include <functional>
#include <set>
#include <string>

namespace ragwort::dispatch {

/// Names of regions; each data centre is in one.
using RegionSet = std::set<std::string, std::less<>>;

} // namespace ragwort::dispatch

#endif
