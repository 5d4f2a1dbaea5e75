//===- Asio.h - The parts of Boost.Asio that the system uses --------------===//
//
// Boost 1.74 needs <utility> and <coroutine> before its own headers. Every
// file includes Asio through this one.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TRANSPORT_ASIO_H
#define RAGWORT_TRANSPORT_ASIO_H

#include <coroutine>
#include <utility>

#include "ragwort/base/Address.h"
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace ragwort {

namespace asio = boost::asio;
using boost::system::error_code;

/// The endpoint of \p Protocol for \p A, whose Ip must be a valid IP address.
template <class Protocol>
typename Protocol::endpoint endpointOf(const Address &A) {
  error_code Error;
  auto Ip = asio::ip::make_address(A.Ip, Error);
  return {Ip, A.Port};
}

/// The address of an endpoint.
template <class Endpoint> Address addressOf(const Endpoint &E) {
  return {E.address().to_string(), E.port()};
}

/// Suspends the calling coroutine for \p Delay, on its own executor.
inline asio::awaitable<void> sleepFor(std::chrono::microseconds Delay) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Delay);
  error_code Error;
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Error));
}

} // namespace ragwort

#endif
