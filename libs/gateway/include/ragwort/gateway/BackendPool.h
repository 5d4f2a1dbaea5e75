//===- BackendPool.h - Kept connections to backend servers ----------------===//
//
// Connections that wait for their next request, by instance. A connection on
// which anything arrives while nothing is asked is closed.
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
  /// Kept connections to one instance beyond this are closed.
  static constexpr size_t MaxIdlePerInstance = 32;

  BackendPool();
  ~BackendPool();
  BackendPool(const BackendPool &) = delete;
  BackendPool &operator=(const BackendPool &) = delete;

  /// A kept connection to \p Id that has been idle for at most \p MaxIdle, or
  /// null.
  std::shared_ptr<StreamSocket> take(std::string_view Id, TimePoint Now,
                                     Duration MaxIdle);
  /// Keeps a connection whose last answer was whole. \p KeepAlive is the time
  /// for which the server keeps it, or zero when the server did not say.
  void keep(std::string Id, std::shared_ptr<StreamSocket> Socket,
            Duration KeepAlive, TimePoint Now);
  void closeAll();
  /// Closes connections that the server is about to close.
  void expire(TimePoint Now);
  size_t size() const;

private:
  class Kept;
  using Connections = std::list<std::unique_ptr<Kept>>;
  void drop(Kept *Connection);

  std::map<std::string, Connections, std::less<>> ByInstance;
};

} // namespace ragwort::gateway

#endif
