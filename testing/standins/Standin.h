//===- Standin.h - Stand-ins for the platform's services ------------------===//
//
// Each stand-in serves HTTP on one thread. Most have a /faults endpoint that
// injects the failures of the real service.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_TESTING_STANDIN_H
#define RAGWORT_TESTING_STANDIN_H

#include "ragwort/http/HttpServer.h"
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace ragwort::standin {

using Json = nlohmann::json;

/// Interface of a simulated service.
class Service {
public:
  virtual ~Service() = default;
  virtual asio::awaitable<void> handle(http::Exchange &X) = 0;
};

/// The platform: table service, object store, weight store, instance list; see
/// Platform.cpp.
std::unique_ptr<Service> makePlatform(asio::io_context &Io);
/// A model engine. \p Options is a JSON object; see Engine.cpp.
std::unique_ptr<Service> makeEngine(asio::io_context &Io, const Json &Options);
/// A plain service that counts executions by idempotency key; see Plain.cpp for
/// \p Options.
std::unique_ptr<Service> makePlain(asio::io_context &Io, const Json &Options);

/// All ranks of a group; rank R listens on \p FirstPort + R. See Group.cpp for
/// \p Options.
std::unique_ptr<Service> makeGroup(asio::io_context &Io, const Json &Options,
                                   uint16_t FirstPort);

/// Percent-decoded value of parameter \p Name in the query of \p Target; empty
/// if it is missing.
std::string queryValue(std::string_view Target, std::string_view Name);
/// \p Target without its query.
std::string_view pathOf(std::string_view Target);
/// Response with \p Body as application/json.
http::Response jsonResponse(unsigned Status, const Json &Body);

} // namespace ragwort::standin

#endif
