//===- Choosers.h - Load-balancing policies -------------------------------===//
//
// Each policy chooses a backend server from a list of candidates and satisfies
// the Chooser concept. The policies do no I/O, so that experiments and daemons
// run the same code.
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

/// Random number generator; the caller seeds it.
using Random = std::mt19937_64;

/// Load and health of one backend server.
struct Candidate {
  /// Requests that occupy a slot, from the last load report.
  double Active = 0;
  /// Requests that wait for a slot, from the last load report.
  double Queued = 0;
  /// Number of slots, from the last load report.
  double Capacity = 1;
  /// Smoothed time for which one request occupies a slot, in seconds.
  double ServiceSeconds = 0.05;
  /// Requests that this node has sent and that have not completed.
  double Outstanding = 0;
  /// Requests that this node has sent since the last load report was made.
  double SentSinceReport = 0;
  /// Likelihood that the request's prefix is in its cache, from 0 to 1.
  double Affinity = 0;
  /// Recent fraction of successful responses, from 0 to 1.
  double SuccessRate = 1;
};

/// Properties of a request that affect the choice.
struct RequestTraits {
  /// Prefill time that a cached prefix saves, in seconds.
  double PrefillSeconds = 0;
};

/// A policy that returns an index into a non-empty list of candidates.
template <class T>
concept Chooser = requires(T &C, std::span<const Candidate> List,
                           const RequestTraits &Traits, Random &Rng) {
  { C.choose(List, Traits, Rng) } -> std::same_as<size_t>;
};

/// Expected time in seconds until a new request starts at \p C: the work ahead
/// of it divided by the number of slots. Includes the requests that this node
/// sent since the last load report, and a small term for utilisation.
double expectedWait(const Candidate &C);

/// Chooses uniformly at random; the baseline of the experiments.
struct RandomChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Chooses each candidate in turn.
struct RoundRobinChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
  size_t Next = 0;
};

/// Chooses the candidate with the fewest outstanding requests of this node.
struct LeastOutstandingChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Chooses the less loaded of two random candidates, by the last load report.
struct TwoChoicesChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Chooses the candidate with the smaller expected wait of two random ones.
/// Comparing all candidates would make nodes that have the same stale report
/// choose the same one.
struct ExpectedWaitChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Chooses the candidate with the smallest sum of expected wait and expected
/// prefill time, among those that probably have the prefix in their cache and
/// two random ones.
struct PrefixAffinityChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Chooses the candidate with the smallest sum of expected wait and expected
/// prefill time, where the wait is estimated from this node's own outstanding
/// requests. Their number is always current; load reports only serve to scale
/// it by the average ratio of total load to this node's load.
struct OwnLoadChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
};

/// Scores each candidate by how far its backlog is below the mean, plus the
/// weighted difference of its success rate from the mean. Chooses the best
/// candidate if its score exceeds the margin, otherwise a random one. Based on
/// the routing score of DEALS, section 3.2.
struct BackpressureChooser {
  size_t choose(std::span<const Candidate> List, const RequestTraits &Traits,
                Random &Rng);
  /// Weight of the success rate, in requests of backlog for each slot.
  double QualityWeight = 20;
  /// Score that the best candidate must exceed, in requests of backlog for each
  /// slot.
  double Margin = 0.1;
};

/// A chooser that is selected at run time by its name in the settings.
using AnyChooser =
    std::variant<RandomChooser, RoundRobinChooser, LeastOutstandingChooser,
                 TwoChoicesChooser, ExpectedWaitChooser, PrefixAffinityChooser,
                 BackpressureChooser, OwnLoadChooser>;

/// Calls choose() of the chooser that \p Any holds.
size_t choose(AnyChooser &Any, std::span<const Candidate> List,
              const RequestTraits &Traits, Random &Rng);

} // namespace ragwort::routing

#endif
