//===- ConfigReplicaTest.cpp - Tests of ConfigReplica.h -------------------===//
#include "ragwort/config/ConfigReplica.h"
#include "ragwort/config/TextChange.h"
#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

namespace ragwort::config {

class ConfigReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigReplicaTest);
  CPPUNIT_TEST(replicaWhenReplyHasLowerVersionIsUnchanged);
  CPPUNIT_TEST(replicaWhenChangesHaveAGapNeedsFullDocuments);
  CPPUNIT_TEST(replicaWhenFarBehindGetsFullDocuments);
  CPPUNIT_TEST(replicasWhenGossipIsRandomConvergeAndNeverDecrease);
  CPPUNIT_TEST_SUITE_END();

  /// A writer that keeps a reply with each of its changes.
  struct Writer {
    ConfigReplica Replica;
    std::vector<wire::ConfigReply> Replies;

    void write(const std::string &Name, const std::string &Text) {
      wire::ConfigChange Change =
          makeChange(Replica.document(Name).value_or(""), Text);
      Change.Version = Replica.version() + 1;
      Change.Document = Name;
      wire::ConfigReply Reply;
      Reply.Version = Change.Version;
      Reply.Changes = {Change};
      CPPUNIT_ASSERT(Replica.merge(Reply) == MergeResult::Advanced);
      Replies.push_back(Reply);
    }
  };

  Writer Source;

public:
  void replicaWhenReplyHasLowerVersionIsUnchanged() {
    Source.write("base", "share: 10%");
    Source.write("base", "share: 20%");
    CPPUNIT_ASSERT(Source.Replica.merge(Source.Replies[0]) ==
                   MergeResult::Unchanged);
    wire::ConfigReply Old;
    Old.Version = 1;
    Old.Documents = {{"base", "share: 10%"}};
    CPPUNIT_ASSERT(Source.Replica.merge(Old) == MergeResult::Unchanged);
    CPPUNIT_ASSERT_EQUAL(std::string("share: 20%"),
                         std::string(*Source.Replica.document("base")));
  }

  void replicaWhenChangesHaveAGapNeedsFullDocuments() {
    Source.write("base", "a");
    Source.write("base", "ab");
    ConfigReplica Late;
    CPPUNIT_ASSERT(Late.merge(Source.Replies[1]) ==
                   MergeResult::NeedsFullDocuments);
    CPPUNIT_ASSERT_EQUAL(uint64_t(0), Late.version());
  }

  void replicaWhenFarBehindGetsFullDocuments() {
    for (int I = 0; I < 300; ++I)
      Source.write("base", std::string(I, 'x'));
    wire::ConfigReply Reply = Source.Replica.replyTo({1, 3});
    CPPUNIT_ASSERT(Reply.Changes.empty());
    ConfigReplica Late;
    CPPUNIT_ASSERT(Late.merge(Reply) == MergeResult::Advanced);
    CPPUNIT_ASSERT_EQUAL(uint64_t(300), Late.version());
    CPPUNIT_ASSERT_EQUAL(size_t(5),
                         Source.Replica.replyTo({1, 295}).Changes.size());
  }

  void replicasWhenGossipIsRandomConvergeAndNeverDecrease() {
    for (uint64_t Seed = 1; Seed <= 30; ++Seed) {
      std::mt19937_64 Random(Seed);
      Writer Origin;
      std::vector<ConfigReplica> Nodes(8);
      std::vector<wire::ConfigReply> InFlight;
      for (int Step = 0; Step < 800; ++Step) {
        if (Step < 400 && Random() % 8 == 0)
          Origin.write(
              Random() % 2 ? "base" : "overlay/x",
              std::string(Random() % 9, static_cast<char>('a' + Random() % 3)));
        ConfigReplica &Node = Nodes[Random() % Nodes.size()];
        if (Random() % 40 == 0)
          Node = ConfigReplica(); // The node restarts and loses its replica.
        const ConfigReplica &Peer =
            Random() % 4 == 0 ? Origin.Replica : Nodes[Random() % Nodes.size()];
        InFlight.push_back(Peer.replyTo({1, Node.version()}));
        // Replies are delayed, duplicated and reordered.
        const wire::ConfigReply &Any = InFlight[Random() % InFlight.size()];
        uint64_t Before = Node.version();
        MergeResult Result = Node.merge(Any);
        CPPUNIT_ASSERT(Node.version() >= Before);
        if (Result == MergeResult::NeedsFullDocuments)
          Node.merge(Peer.replyTo({1, 0}));
        CPPUNIT_ASSERT(Node.version() >= Before);
      }
      for (ConfigReplica &Node : Nodes) {
        if (Node.merge(Origin.Replica.replyTo({1, Node.version()})) ==
            MergeResult::NeedsFullDocuments)
          Node.merge(Origin.Replica.replyTo({1, 0}));
        CPPUNIT_ASSERT_EQUAL(Origin.Replica.version(), Node.version());
        for (const char *Name : {"base", "overlay/x"})
          CPPUNIT_ASSERT(Origin.Replica.document(Name) == Node.document(Name));
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ConfigReplicaTest);

} // namespace ragwort::config
