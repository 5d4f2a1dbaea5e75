//===- BackendPool.h - Idle connections to backend servers ----------------===//
//
// Idle connections for reuse, by instance. A connection that receives data
// while it is idle is closed. None carries two requests with the same id.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_BACKENDPOOL_H
#define RAGWORT_GATEWAY_BACKENDPOOL_H

#include "ragwort/gateway/CarriedIds.h"
#include "ragwort/gateway/StreamSocket.h"
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace ragwort::gateway {

/// An open connection to a backend server.
struct KeptConnection {
  std::shared_ptr<StreamSocket> Socket;
  CarriedIds Carried;
};

class BackendPool {
public:
  /// Maximum number of idle connections to one instance; others are closed.
  static constexpr size_t MaxIdlePerInstance = 32;

  BackendPool();
  ~BackendPool();
  BackendPool(const BackendPool &) = delete;
  BackendPool &operator=(const BackendPool &) = delete;

  /// Removes a connection to \p Id that has been idle for at most \p MaxIdle
  /// and has not carried \p RequestId. \returns it, or nothing if there is
  /// none.
  std::optional<KeptConnection> take(std::string_view Id,
                                     std::string_view RequestId, TimePoint Now,
                                     Duration MaxIdle);
  /// Adds a connection whose last answer was complete, or closes it if it has
  /// carried as many requests as it may. \p KeepAlive is the idle time after
  /// which the server closes it, or zero if unknown.
  void keep(std::string Id, KeptConnection Connection, Duration KeepAlive,
            TimePoint Now);
  void closeAll();
  /// Closes the connections to \p Id.
  void closeAll(std::string_view Id);
  /// Closes connections that the server is about to close.
  void expire(TimePoint Now);
  size_t size() const;

private:
  class IdleConnection;
  using Connections = std::list<std::unique_ptr<IdleConnection>>;
  void drop(IdleConnection *Connection);

  std::map<std::string, Connections, std::less<>> ByInstance;
};

} // namespace ragwort::gateway

#endif
