//===- Listen.h - Opening of listening sockets ----------------------------===//
#ifndef RAGWORT_TRANSPORT_LISTEN_H
#define RAGWORT_TRANSPORT_LISTEN_H

#include "ragwort/transport/Asio.h"
#include <absl/status/status.h>

namespace ragwort {

/// Opens, binds and listens. Port 0 takes any free port.
absl::Status listenOn(asio::ip::tcp::acceptor &Acceptor, const Address &Local);

} // namespace ragwort

#endif
