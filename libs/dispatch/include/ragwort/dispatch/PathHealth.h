//===- PathHealth.h - A node's paths to the data centres ------------------===//
//
// Tells a lost path to a data centre from servers that fail, by which attempts
// to reach its servers remain without any sign of life. What the states change
// is in docs/design/paths.md.
//
// Pure: without sockets, clocks and threads.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_DISPATCH_PATHHEALTH_H
#define RAGWORT_DISPATCH_PATHHEALTH_H

#include "ragwort/base/Time.h"
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ragwort::dispatch {

/// A node's path to a data centre.
enum class PathState : uint8_t { Good, Doubtful, Lost };

std::string_view toString(PathState Value);

/// What remained without a sign of life.
enum class Silence : uint8_t {
  /// An attempt to connect, which any running server answers.
  Connect,
  /// A send. The server may also be slow.
  Send,
};

/// \code
///   Paths.onSilence("zone-b", "server-7", Silence::Connect, Begun, Now);
///   if (Paths.state("zone-b") == PathState::Lost) ...
///   for (const std::string &DataCentre : Paths.takeProbes(Now)) probe(...);
/// \endcode
class PathHealth {
public:
  /// Time between two probes of a path that is not good.
  static constexpr Duration ProbeInterval = std::chrono::milliseconds(500);
  /// Number of silent servers from which on a path is lost.
  static constexpr size_t LostFrom = 2;

  /// A server showed that an attempt begun at \p Begun has reached it. \returns
  /// the servers whose silence is explained by the path if it was lost and is
  /// good now.
  std::vector<std::string> onReached(std::string_view DataCentre,
                                     TimePoint Begun, TimePoint Now);
  /// An attempt begun at \p Begun to reach \p Server remained without a sign of
  /// life until \p Now.
  void onSilence(std::string_view DataCentre, std::string_view Server,
                 Silence Kind, TimePoint Begun, TimePoint Now);

  PathState state(std::string_view DataCentre) const;
  /// Whether all paths are good.
  bool areAllGood() const { return NotGood == 0; }
  /// The data centres of which a server is to be probed now.
  std::vector<std::string> takeProbes(TimePoint Now);
  size_t count(PathState State) const;

private:
  struct SilentServer {
    Silence Kind = Silence::Send;
    TimePoint Begun;
  };
  struct Path {
    // When the last attempt that reached a server was begun.
    TimePoint ReachedBegun{};
    // Servers with an attempt begun after ReachedBegun. Invariant: at most
    // MaxSilent.
    std::map<std::string, SilentServer, std::less<>> Silent;
    PathState State = PathState::Good;
    TimePoint Since{};
    TimePoint NextProbe{};
  };
  static constexpr size_t MaxSilent = 64;

  void update(std::string_view DataCentre, Path &P, TimePoint Now);

  std::map<std::string, Path, std::less<>> Paths;
  // Number of paths that are not good.
  size_t NotGood = 0;
};

} // namespace ragwort::dispatch

#endif
