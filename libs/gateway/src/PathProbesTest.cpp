//===- PathProbesTest.cpp - Servers behind a lost path --------------------===//
//
// A gateway on loopback and the servers of two data centres. Those of one do
// not accept connections, as behind a path that loses all packets.
//
//===----------------------------------------------------------------------===//
#include "LoopbackPeers.h"
#include <cppunit/extensions/HelperMacros.h>

namespace ragwort::gateway {

/// An address at which connections are never accepted: its queue of one is
/// full, so that further packets that open a connection are dropped.
class DeafServer {
public:
  explicit DeafServer(asio::io_context &Io) : Acceptor(Io) {
    Acceptor.open(asio::ip::tcp::v4());
    Acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    Acceptor.listen(0);
    for (int I = 0; I < 4; ++I) {
      Queue.emplace_back(Io);
      Queue.back().open(asio::ip::tcp::v4());
      // Not waited for: those beyond the queue never open.
      Queue.back().async_connect(Acceptor.local_endpoint(), [](error_code) {});
    }
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  /// Accepts connections from now on, and closes them.
  void open() {
    Acceptor.async_accept([this](error_code Error, asio::ip::tcp::socket) {
      if (!Error)
        open();
    });
  }

private:
  asio::ip::tcp::acceptor Acceptor;
  std::deque<asio::ip::tcp::socket> Queue;
};

class PathProbesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PathProbesTest);
  CPPUNIT_TEST(requestsWhenAPathIsLostGoElsewhereUntilAProbeOpens);
  CPPUNIT_TEST_SUITE_END();

  static constexpr size_t PerDataCentre = 4;
  asio::io_context Io{1};
  MetricsRegistry Metrics;
  Gateway Node{Io, loopbackOptions(/*RetryAllowance=*/1000), ProtocolNames(),
               Metrics};
  std::vector<std::unique_ptr<ScriptedServer>> Near;
  std::vector<std::unique_ptr<DeafServer>> Far;

public:
  void setUp() override {
    CPPUNIT_ASSERT(Node.listen().ok());
    auto Config = std::make_shared<TrafficConfig>();
    Config->Version = 1;
    Route R;
    R.Name = "r";
    R.Host = "h";
    R.PathPrefix = "/";
    R.IsPublic = true;
    R.Repeat = Repeatability::AtMostOnce;
    R.MaxAttempts = 1;
    R.Timeout = std::chrono::seconds(4);
    R.Split.push_back({"s", 1});
    Config->addRoute(R);
    Node.applyConfig(std::move(Config));
    std::vector<dispatch::BackendInstance> List;
    auto Add = [&](const std::string &DataCentre, const std::string &Address) {
      dispatch::BackendInstance B;
      B.Id = DataCentre + std::to_string(List.size());
      B.Service = "s";
      B.Address = Address;
      B.DataCentre = DataCentre;
      B.Slots = 10;
      List.push_back(B);
    };
    for (size_t I = 0; I < PerDataCentre; ++I) {
      Near.push_back(std::make_unique<ScriptedServer>(Io));
      Near.back()->Always = [](const std::string &Request) {
        return answer("200 OK", idOf(Request), Stamp, "body");
      };
      Add("near", Near.back()->address());
      Far.push_back(std::make_unique<DeafServer>(Io));
      Add("far", Far.back()->address());
    }
    Node.directory().replaceAll(List, {0, 1}, std::nullopt);
    Node.onDirectoryChanged();
  }

private:
  /// Sends a request that must be served; returns how long it took.
  Duration timeOfRequest() {
    Caller C(Io);
    C.ToSend = "GET / HTTP/1.1\r\nHost: h\r\nRagwort-Request-Id: r\r\n\r\n";
    TimePoint Begun = SteadyClock().now();
    C.Socket->connect(endpointOf<asio::ip::tcp>({"127.0.0.1", Node.port()}),
                      std::chrono::seconds(5));
    runLoopUntil(Io,
                 [&] { return C.Received.find("body") != std::string::npos; });
    CPPUNIT_ASSERT(C.Received.starts_with("HTTP/1.1 200 "));
    return SteadyClock().now() - Begun;
  }
  dispatch::PathState pathToFar() {
    return Node.dispatcher().loadTracker().paths().state("far");
  }

public:
  // Even requests that may run only once are served, as a connection that does
  // not open has not run them.
  void requestsWhenAPathIsLostGoElsewhereUntilAProbeOpens() {
    size_t Delayed = 0;
    for (int I = 0; I < 40; ++I)
      Delayed += timeOfRequest() > std::chrono::milliseconds(300);
    CPPUNIT_ASSERT(pathToFar() == dispatch::PathState::Lost);
    // One request finds the first silent server; a probe the second.
    CPPUNIT_ASSERT(Delayed <= 2);
    CPPUNIT_ASSERT_EQUAL(size_t(1),
                         Node.dispatcher().loadTracker().paths().count(
                             dispatch::PathState::Lost));
    for (auto &Server : Far)
      Server->open();
    runLoopUntil(Io, [&] { return pathToFar() == dispatch::PathState::Good; });
    CPPUNIT_ASSERT_EQUAL(
        size_t(0),
        Node.dispatcher().loadTracker().counts(SteadyClock().now()).Ejected);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathProbesTest);

} // namespace ragwort::gateway
