//===- CrashDetector.h - Tells crashed servers from broken connections ----===//
//
// A connection may break for many reasons. After one has broken, a single
// connect to the server's address shows whether that run of the server has
// ended: then nobody listens there.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_CRASHDETECTOR_H
#define RAGWORT_GATEWAY_CRASHDETECTOR_H

#include "ragwort/dispatch/BackendDirectory.h"
#include "ragwort/dispatch/SelfReports.h"
#include "ragwort/gateway/StreamSocket.h"
#include "ragwort/quarantine/RequestTraits.h"
#include <functional>
#include <map>

namespace ragwort::gateway {

/// \code
///   CrashDetector Detector(Io, [](const ServerRun &Run,
///                                 const quarantine::RequestTraits &Traits)
///                                 {});
///   Detector.onBroken(Server, Traits, Now);
/// \endcode
class CrashDetector {
public:
  /// Receives the traits of a request that was at a server when it ended.
  using Listener = std::function<void(const dispatch::ServerRun &,
                                      const quarantine::RequestTraits &)>;

  static constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
  /// Time for which the result of a check holds for further connections of the
  /// same run.
  static constexpr Duration VerdictLifetime = std::chrono::milliseconds(1000);
  /// Maximum number of checks that are in progress or remembered. Connections
  /// that break beyond it are not checked.
  static constexpr size_t MaxChecks = 64;

  CrashDetector(asio::io_context &Io, Listener OnCrash)
      : Io(Io), OnCrash(std::move(OnCrash)) {}
  ~CrashDetector();

  /// The connection of a request with \p Traits to \p Server has broken.
  void onBroken(const dispatch::BackendInstance &Server,
                const quarantine::RequestTraits &Traits, TimePoint Now);

private:
  class Check;
  void onVerdict(const Check &Done, bool HasEnded);

  asio::io_context &Io;
  const Listener OnCrash;
  // By the server's id.
  std::map<std::string, std::shared_ptr<Check>, std::less<>> Checks;
};

} // namespace ragwort::gateway

#endif
