//===- Standin.h - Interface of the stand-ins -----------------------------===//
//
// Each stand-in answers HTTP requests on one thread. A control endpoint makes
// it fail in the ways that the real system fails.
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

/// A service that a stand-in plays.
class Service {
public:
  virtual ~Service() = default;
  virtual asio::awaitable<void> handle(http::Exchange &X) = 0;
};

/// The platform: table service, object store, weight store, instance list.
std::unique_ptr<Service> makePlatform(asio::io_context &Io);
/// A model engine. \p Options is a JSON object; see Engine.cpp.
std::unique_ptr<Service> makeEngine(asio::io_context &Io, const Json &Options);
/// A plain service with a ledger of executions by key.
std::unique_ptr<Service> makePlain(asio::io_context &Io, const Json &Options);

/// All ranks of a group; rank R is called on \p FirstPort + R.
std::unique_ptr<Service> makeGroup(asio::io_context &Io, const Json &Options,
                                   uint16_t FirstPort);

/// Value of \p Name in the query part of \p Target.
std::string queryValue(std::string_view Target, std::string_view Name);
/// \p Target without its query part.
std::string_view pathOf(std::string_view Target);
/// A JSON response.
http::Response jsonResponse(unsigned Status, const Json &Body);

} // namespace ragwort::standin

#endif
