//===- BackendPool.h - Idle connections to backend servers ----------------===//
//
// Idle connections for reuse, by instance. A connection that receives data
// while it is idle is closed.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_GATEWAY_BACKENDPOOL_H
#define RAGWORT_GATEWAY_BACKENDPOOL_H

#include "ragwort/gateway/StreamSocket.h"
#include <list>
#include <map>
#include <memory>
#include <string>

namespace ragwort::gateway {

class BackendPool {
public:
  /// Maximum number of idle connections to one instance; others are closed.
  static constexpr size_t MaxIdlePerInstance = 32;

  BackendPool();
  ~BackendPool();
  BackendPool(const BackendPool &) = delete;
  BackendPool &operator=(const BackendPool &) = delete;

  /// Removes an idle connection to \p Id that has been idle for at most
  /// \p MaxIdle. \returns it, or null if there is none.
  std::shared_ptr<StreamSocket> take(std::string_view Id, TimePoint Now,
                                     Duration MaxIdle);
  /// Adds a connection whose last answer was complete. \p KeepAlive is the idle
  /// time after which the server closes it, or zero if unknown.
  void keep(std::string Id, std::shared_ptr<StreamSocket> Socket,
            Duration KeepAlive, TimePoint Now);
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
