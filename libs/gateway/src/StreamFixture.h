//===- StreamFixture.h - Servers that spoil or continue streams -----------===//
#ifndef RAGWORT_GATEWAY_STREAMFIXTURE_H
#define RAGWORT_GATEWAY_STREAMFIXTURE_H

#include "GatewayFixture.h"

namespace ragwort::gateway {

class StreamFixture : public GatewayFixture {
protected:
  /// Opens a connection to each server that the gateway keeps.
  void warmUp() {
    for (auto &S : Servers)
      S->Always = served("warm");
    for (int I = 0; !Servers[0]->Connections || !Servers[1]->Connections; ++I) {
      CPPUNIT_ASSERT(I < 100);
      exchange(request("/safe/", "warm" + std::to_string(I)));
    }
    for (auto &S : Servers) {
      S->Always = nullptr;
      S->Requests.clear();
    }
  }

  static std::string events(int From, int To) {
    std::string Text;
    for (int Id = From; Id <= To; ++Id)
      Text += event(Id);
    return Text;
  }

  /// Number of events that the caller has according to its request.
  static int lastEventIdOf(const std::string &Request) {
    size_t At = Request.find("Last-Event-Id: ");
    return At == std::string::npos ? 0 : std::stoi(Request.substr(At + 15));
  }

  /// A server that sends the events up to \p To that the caller lacks.
  static ScriptedServer::Responder continued(int To) {
    return [To](const std::string &R) {
      std::string Rest = events(lastEventIdOf(R) + 1, To);
      return streamHead(idOf(R)) + (Rest.empty() ? "" : chunk(Rest)) +
             "0\r\n\r\n";
    };
  }

  /// A server that sends two events and then \p Rest.
  static ScriptedServer::Responder begun(const std::string &Rest = "") {
    return [Rest](const std::string &R) {
      return streamHead(idOf(R)) + chunk(events(1, 2)) + Rest;
    };
  }

  static void checkStream(const std::string &Got, int Events) {
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, "HTTP/1.1 "));
    CPPUNIT_ASSERT_EQUAL(size_t(1), count(Got, Stamp));
    ResponseParser P;
    P.feed(Got);
    CPPUNIT_ASSERT(P.stage() == ParseStage::Done);
    CPPUNIT_ASSERT_EQUAL(events(1, Events), P.takeBody());
  }

  size_t firstUsed() const { return Servers[0]->Requests.empty() ? 1 : 0; }
};

} // namespace ragwort::gateway

#endif
