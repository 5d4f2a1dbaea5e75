//===- Listen.cpp - Opening of listening sockets --------------------------===//
#include "ragwort/transport/Listen.h"

namespace ragwort {

absl::Status listenOn(asio::ip::tcp::acceptor &Acceptor, const Address &Local) {
  auto Endpoint = endpointOf<asio::ip::tcp>(Local);
  error_code Error;
  Acceptor.open(Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error)
    Acceptor.bind(Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return absl::UnavailableError("cannot listen on " + toString(Local) + ": " +
                                  Error.message());
  return absl::OkStatus();
}

} // namespace ragwort
