//===- RequestTraits.h - What can make requests crash servers -------------===//
//
// A failure that follows requests from server to server follows one of their
// traits: a part of the prompt that several requests share, or everything that
// one request asks for each time it comes again.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_QUARANTINE_REQUESTTRAITS_H
#define RAGWORT_QUARANTINE_REQUESTTRAITS_H

#include "ragwort/quarantine/PromptParts.h"
#include <compare>

namespace ragwort::quarantine {

/// A hash of what a request asks for, equal for its repeats.
using Fingerprint = uint64_t;

enum class TraitKind : uint8_t {
  /// Key is a PartKey.
  PromptPart,
  /// Key is a Fingerprint.
  WholeRequest,
};

struct Trait {
  TraitKind Kind = TraitKind::PromptPart;
  uint64_t Key = 0;

  friend auto operator<=>(const Trait &, const Trait &) = default;
};

inline std::string_view toString(TraitKind Kind) {
  return Kind == TraitKind::WholeRequest ? "request" : "part";
}

/// The traits of one request.
///
/// \code
///   RequestTraits Traits(fingerprintOf(Message, Organisation),
///                        sharedPartsOf("5c1e:800,e440:250"));
/// \endcode
class RequestTraits {
public:
  RequestTraits() : RequestTraits(0, {}) {}
  RequestTraits(Fingerprint Whole, PartKeys SharedParts) {
    All.reserve(SharedParts.size() + 1);
    All.push_back({TraitKind::WholeRequest, Whole});
    for (PartKey Part : SharedParts)
      All.push_back({TraitKind::PromptPart, Part});
  }

  Fingerprint fingerprint() const { return All.front().Key; }
  std::span<const Trait> all() const { return All; }
  std::span<const Trait> parts() const { return all().subspan(1); }

private:
  // Invariant: the first one is the whole request, the others are parts.
  std::vector<Trait> All;
};

} // namespace ragwort::quarantine

#endif
