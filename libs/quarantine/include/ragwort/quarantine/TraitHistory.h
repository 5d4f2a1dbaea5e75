//===- TraitHistory.h - What happened to requests with a part
//--------------===//
//
// Counts, for each part of a prompt, the requests of the last minutes and those
// that a server was writing for long enough to show that the part does it no
// harm. Kept in two generations of limited size, so that no entry has to be
// searched for when one must make room.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_QUARANTINE_TRAITHISTORY_H
#define RAGWORT_QUARANTINE_TRAITHISTORY_H

#include "ragwort/base/Time.h"
#include "ragwort/quarantine/PromptParts.h"
#include <unordered_map>

namespace ragwort::quarantine {

struct TraitCounts {
  uint32_t Requests = 0;
  /// Requests whose server survived them.
  uint32_t Survivals = 0;
};

/// \code
///   History.addRequest(Parts, Now);
///   if (History.counts(Part).Survivals == 0) ...
/// \endcode
class TraitHistory {
public:
  /// A generation ends when it has this many parts or this age.
  static constexpr size_t MaxGenerationParts = 2048;
  static constexpr Duration GenerationTime = std::chrono::minutes(5);

  void addRequest(PartKeys Parts, TimePoint Now);
  void addSurvival(PartKeys Parts, TimePoint Now);
  TraitCounts counts(PartKey Part) const;

private:
  using Generation = std::unordered_map<PartKey, TraitCounts>;
  TraitCounts &entry(PartKey Part, TimePoint Now);

  Generation Current;
  Generation Previous;
  TimePoint CurrentSince{};
};

} // namespace ragwort::quarantine

#endif
