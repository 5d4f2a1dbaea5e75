//===- Choosers.h - Which backend server gets a request -------------------===//
//
// Pure policies over a list of candidates. Each satisfies the Chooser concept,
// so that experiments and daemons run the same code.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_ROUTING_CHOOSERS_H
#define RAGWORT_ROUTING_CHOOSERS_H

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string_view>
#include <variant>

namespace ragwort::routing {

/// Source of randomness, seeded by its owner.
using Random = std::mt19937_64;

/// What a chooser knows of one backend server.
struct Candidate {
  /// Load of the last report, in requests.
  double Active = 0;
  double Queued = 0;
  double Capacity = 1;
  /// Smoothed time that one request holds a slot, in seconds.
  double ServiceSeconds = 0.05;
  /// Requests that this node has sent and that are not answered.
  double Outstanding = 0;
  /// Of those, the ones sent after the last report was made.
  double SentSinceReport = 0;
  /// Likelihood that the request's prefix is cached there, from 0 to 1.
  double Affinity = 0;
  /// Share of successful answers lately, from 0 to 1.
  double SuccessRate = 1;
};

/// What a chooser knows of the request.
struct RequestTraits {
  /// Work that a cached prefix saves, in seconds.
  double PrefillSeconds = 0;
};

/// Chooses an index into a non-empty list of candidates.
template <class T>
concept Chooser = requires(T &C, std::span<const Candidate> List,
                           const RequestTraits &Traits, Random &Rng) {
  { C.choose(List, Traits, Rng) } -> std::same_as<size_t>;
};

/// Expected time in seconds until a new request starts at \p C: the work ahead
/// of it, counting what was sent since the report, over the slots.
double expectedWait(const Candidate &C);

/// Uniformly random; the baseline.
struct RandomChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Each in turn.
struct RoundRobinChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
  size_t Next = 0;
};

/// Fewest requests of this node in progress.
struct LeastOutstandingChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// The less loaded of two random candidates, by the last report.
struct TwoChoicesChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// The smaller expected wait of two random candidates. Two rather than all:
/// nodes that share a stale report would otherwise all choose the same one.
struct ExpectedWaitChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Smallest expected wait plus the prefill that a cached prefix would save,
/// among the likely holders of the prefix and two random candidates.
struct PrefixAffinityChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Smallest expected wait plus prefill, where the work ahead is estimated from
/// this node's own requests in progress. Those are known without lag; reports
/// only tell by how much other nodes add to them on average.
struct OwnLoadChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Backlog differential plus weighted success-rate differential against the
/// mean; a candidate is preferred over a random one only when its score
/// exceeds the margin. After the routing score of DEALS, section 3.2.
struct BackpressureChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
  /// Weight of the success rate, in requests of backlog.
  double QualityWeight = 20;
  /// Least advantage, in requests of backlog for each slot.
  double Margin = 0.1;
};

/// Any of the choosers, selected at run time by its name in the settings.
using AnyChooser =
    std::variant<RandomChooser, RoundRobinChooser, LeastOutstandingChooser,
                 TwoChoicesChooser, ExpectedWaitChooser, PrefixAffinityChooser,
                 BackpressureChooser, OwnLoadChooser>;

/// Chooses with whichever chooser \p Any holds.
size_t choose(AnyChooser &Any, std::span<const Candidate> List,
              const RequestTraits &Traits, Random &Rng);

} // namespace ragwort::routing

#endif
