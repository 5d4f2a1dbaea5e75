//===- Main.cpp - Entry point of ragwort-standin --------------------------===//
//
// Simulates one of the platform's services on the loopback interface.
//
//===----------------------------------------------------------------------===//
#include "Standin.h"
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

int main(int Argc, char **Argv) {
  using namespace ragwort;
  cxxopts::Options Options("ragwort-standin",
                           "Simulates a platform service for tests");
  Options.add_options()("kind", "platform, engine, plain or group",
                        cxxopts::value<std::string>())(
      "port", "port on 127.0.0.1; the first one for a group",
      cxxopts::value<uint16_t>()->default_value("0"))(
      "options", "options of the service as a JSON object",
      cxxopts::value<std::string>()->default_value("{}"))("help", "print this");
  try {
    cxxopts::ParseResult Arguments = Options.parse(Argc, Argv);
    if (Arguments.count("help") || !Arguments.count("kind")) {
      std::cout << Options.help();
      return Arguments.count("help") ? 0 : 2;
    }
    std::string Kind = Arguments["kind"].as<std::string>();
    auto ServiceOptions = standin::Json::parse(
        Arguments["options"].as<std::string>(), nullptr, false);
    if (!ServiceOptions.is_object()) {
      std::cerr << "--options: expected a JSON object\n";
      return 2;
    }
    asio::io_context Io(1);
    std::unique_ptr<standin::Service> Service;
    if (Kind == "platform")
      Service = standin::makePlatform(Io);
    else if (Kind == "engine")
      Service = standin::makeEngine(Io, ServiceOptions);
    else if (Kind == "plain")
      Service = standin::makePlain(Io, ServiceOptions);
    else if (Kind == "group")
      Service = standin::makeGroup(Io, ServiceOptions,
                                   Arguments["port"].as<uint16_t>());
    else {
      std::cerr << "--kind: expected platform, engine, plain or group\n";
      return 2;
    }
    http::ServerLimits Limits;
    Limits.MaxBodyBytes = 16 * MiB;
    Limits.IdleTimeout = std::chrono::hours(1);
    uint16_t FirstPort = Arguments["port"].as<uint16_t>();
    int PortCount = Kind == "group" ? ServiceOptions.value("ranks", 4) : 1;
    std::vector<std::unique_ptr<http::Server>> Servers;
    for (int I = 0; I < PortCount; ++I) {
      Servers.push_back(std::make_unique<http::Server>(
          Io, [&](http::Exchange &X) { return Service->handle(X); }, Limits));
      Address ListenAddress{"127.0.0.1", static_cast<uint16_t>(FirstPort + I)};
      absl::Status Listening = Servers.back()->listen(ListenAddress);
      if (!Listening.ok()) {
        std::cerr << std::string(Listening.message()) << "\n";
        return 1;
      }
    }
    std::cout << "port=" << Servers[0]->port() << std::endl;
    asio::signal_set Signals(Io, SIGTERM, SIGINT);
    Signals.async_wait([&](const error_code &, int) { Io.stop(); });
    Io.run();
  } catch (const cxxopts::exceptions::exception &Error) {
    std::cerr << "ragwort-standin: " << Error.what() << "\n";
    return 2;
  }
  return 0;
}
