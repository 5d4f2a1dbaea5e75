//===- TraitHistory.h - What happened to requests with a trait ------------===//
//
// Counts, for each trait, the requests of the last minutes and those that a
// server was writing for long enough to show that the trait does it no harm.
// Kept in two generations of limited size, so that no entry has to be searched
// for when one must make room. Whole requests are kept apart from parts, since
// nearly each request is a new one and would push the parts out.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_QUARANTINE_TRAITHISTORY_H
#define RAGWORT_QUARANTINE_TRAITHISTORY_H

#include "ragwort/base/Time.h"
#include "ragwort/quarantine/RequestTraits.h"
#include <array>
#include <unordered_map>

namespace ragwort::quarantine {

struct TraitCounts {
  uint32_t Requests = 0;
  /// Requests whose server survived them.
  uint32_t Survivals = 0;
};

/// \code
///   History.addRequest(Traits, Now);
///   if (History.counts(T).Survivals == 0) ...
/// \endcode
class TraitHistory {
public:
  /// A generation ends when it has this many traits or this age.
  static constexpr size_t MaxGenerationTraits = 2048;
  static constexpr Duration GenerationTime = std::chrono::minutes(5);

  void addRequest(const RequestTraits &Traits, TimePoint Now);
  void addSurvival(const RequestTraits &Traits, TimePoint Now);
  TraitCounts counts(const Trait &T) const;

private:
  using Generation = std::unordered_map<uint64_t, TraitCounts>;
  struct Generations {
    Generation Current;
    Generation Previous;
    TimePoint CurrentSince{};
  };
  TraitCounts &entry(const Trait &T, TimePoint Now);

  // By kind.
  std::array<Generations, 2> Kinds;
};

} // namespace ragwort::quarantine

#endif
