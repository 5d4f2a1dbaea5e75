//===- Messages.h - Messages between the system's processes ---------------===//
//
// `Message` is sent in frames over TCP, `Heartbeat` over UDP. Each struct lists
// its fields once, in `serialize`, for both directions.
//
//===----------------------------------------------------------------------===//
#ifndef RAGWORT_WIRE_MESSAGES_H
#define RAGWORT_WIRE_MESSAGES_H

#include "ragwort/base/HeaderField.h"
#include "ragwort/base/Ids.h"
#include "ragwort/base/Outcome.h"
#include "ragwort/experts/MapGrant.h"
#include "ragwort/wire/Bounded.h"
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ragwort {

/// Header fields are part of several messages.
template <class Archive> void serialize(Archive &Ar, HeaderField &Field) {
  wire::transferText(Ar, Field.Name, wire::MaxNameBytes);
  wire::transferText(Ar, Field.Value, wire::MaxTextBytes);
}

namespace experts {

/// Grants are part of group messages.
template <class Archive> void serialize(Archive &Ar, Grant &G) {
  Ar(G.Index, G.Version, G.From, G.Through, G.By.Value);
}

} // namespace experts

} // namespace ragwort

namespace ragwort::wire {

/// Version of the frame protocol. Peers with another version are rejected.
inline constexpr uint16_t ProtocolVersion = 1;

/// Load of one backend server as measured by its agent.
struct LoadReport {
  /// Requests that are running, and those that wait in the agent's queue.
  uint32_t Active = 0;
  uint32_t Queued = 0;
  /// Requests that may run concurrently.
  uint32_t Capacity = 0;
  /// Smoothed time that one request holds a slot, in microseconds.
  uint32_t ServiceMicros = 0;
  /// Whether the backend server accepts no new requests.
  bool Leaving = false;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Active, Queued, Capacity, ServiceMicros, Leaving);
  }
};

/// First frame in each direction of a connection.
struct Hello {
  uint16_t Protocol = ProtocolVersion;
  std::string Node;
  uint64_t Incarnation = 0;
  /// Random bytes; both nonces together name the session in every later tag.
  std::string Nonce;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Protocol);
    transferText(Ar, Node, MaxNameBytes);
    Ar(Incarnation);
    transferText(Ar, Nonce, MaxNameBytes);
  }
};

/// Asks the peer to run a request. An agent runs it on its backend server; the
/// owner of a journal shard runs it at most once for its idempotency key.
struct StartRequest {
  uint64_t Stream = 0;
  std::string RequestId;
  AttemptId Attempt;
  /// Incarnation of the agent that may start this attempt; others refuse it.
  uint64_t ToIncarnation = 0;
  std::string Organisation;
  std::string Service;
  std::string IdempotencyKey;
  uint32_t Priority = 0;
  /// Time left until the answer must be complete, in milliseconds.
  uint32_t DeadlineMillis = 0;
  bool NonIdempotent = false;
  bool WantsStream = false;
  std::string Method;
  std::string Target;
  HeaderFields Headers;
  std::string Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream);
    transferText(Ar, RequestId, MaxNameBytes);
    Ar(Attempt.Issuer, Attempt.Number, ToIncarnation);
    transferText(Ar, Organisation, MaxNameBytes);
    transferText(Ar, Service, MaxNameBytes);
    transferText(Ar, IdempotencyKey, MaxNameBytes);
    Ar(Priority, DeadlineMillis, NonIdempotent, WantsStream);
    transferText(Ar, Method, MaxNameBytes);
    transferText(Ar, Target, MaxTextBytes);
    transferList(Ar, Headers, MaxHeaders);
    transferText(Ar, Body, MaxBodyBytes);
  }
};

/// Cancels a request. The peer answers with a Refusal if it never started.
struct CancelRequest {
  uint64_t Stream = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(Stream); }
};

/// A complete answer in one frame.
struct Answer {
  uint64_t Stream = 0;
  uint32_t Status = 0;
  HeaderFields Headers;
  std::string Body;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Status);
    transferList(Ar, Headers, MaxHeaders);
    transferText(Ar, Body, MaxBodyBytes);
    Ar(Load);
  }
};

/// Status and headers of a streamed answer; its body follows in chunks.
struct AnswerHead {
  uint64_t Stream = 0;
  uint32_t Status = 0;
  HeaderFields Headers;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Status);
    transferList(Ar, Headers, MaxHeaders);
  }
};

/// One piece of a streamed answer; `Index` counts from zero without gaps.
struct AnswerChunk {
  uint64_t Stream = 0;
  uint64_t Index = 0;
  std::string Data;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Index);
    transferText(Ar, Data, MaxBodyBytes);
  }
};

/// Explicit end of a streamed answer. Without it the answer is incomplete.
struct AnswerEnd {
  uint64_t Stream = 0;
  uint64_t Chunks = 0;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Chunks, Load);
  }
};

/// The sender has not started the request and never will.
struct Refusal {
  uint64_t Stream = 0;
  RefusalReason Reason = RefusalReason::InternalError;
  uint32_t RetryAfterMillis = 0;
  std::string Detail;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Reason, RetryAfterMillis);
    transferText(Ar, Detail, MaxTextBytes);
    Ar(Load);
  }
};

/// The request started and its answer was lost: it may have run.
struct BrokenAnswer {
  uint64_t Stream = 0;
  /// The sender did not start the request, but could not look up in the journal
  /// whether it had run before.
  bool IsJournalDown = false;
  std::string Detail;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, IsJournalDown);
    transferText(Ar, Detail, MaxTextBytes);
    Ar(Load);
  }
};

/// Asks for the state of an attempt. An agent that has never seen the attempt
/// permanently forbids it before it answers.
struct AttemptQuery {
  uint64_t Stream = 0;
  AttemptId Attempt;
  uint64_t ToIncarnation = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Attempt.Issuer, Attempt.Number, ToIncarnation);
  }
};

/// State of an attempt as known to an agent.
enum class AttemptState : uint8_t {
  NeverStarted,
  Running,
  Completed,
  /// Started, and its answer was lost.
  Broken,
  /// Addressed to another incarnation, whose attempts the agent does not know.
  WrongIncarnation,
};

/// Reply to an AttemptQuery. `Status`, `ContentType` and `Body` are set when
/// the attempt has completed and the agent still stores its answer
/// (`HasAnswer`).
struct AttemptReport {
  uint64_t Stream = 0;
  AttemptState State = AttemptState::WrongIncarnation;
  bool HasAnswer = false;
  uint32_t Status = 0;
  std::string ContentType;
  std::string Body;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, State, HasAnswer, Status);
    transferText(Ar, ContentType, MaxNameBytes);
    transferText(Ar, Body, MaxBodyBytes);
  }
};

/// The owner of a journal shard has received a forwarded request.
struct Accepted {
  uint64_t Stream = 0;
  template <class Archive> void serialize(Archive &Ar) { Ar(Stream); }
};

/// The sender does not own the journal shard; the node `Owner` does.
struct Redirect {
  uint64_t Stream = 0;
  uint64_t OwnerEpoch = 0;
  std::string Owner;
  uint64_t OwnerIncarnation = 0;
  /// Address of the owner as ip:port.
  std::string OwnerAddress;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, OwnerEpoch);
    transferText(Ar, Owner, MaxNameBytes);
    Ar(OwnerIncarnation);
    transferText(Ar, OwnerAddress, MaxNameBytes);
  }
};

/// Asks a peer for the configuration changes after version `HaveVersion`.
struct ConfigFetch {
  uint64_t Stream = 0;
  uint64_t HaveVersion = 0;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, HaveVersion);
  }
};

/// One accepted change of a configuration document: the bytes from `Offset`
/// to `Offset + Removed` of the document are replaced by `Inserted`.
struct ConfigChange {
  uint64_t Version = 0;
  std::string ChangeId;
  std::string Document;
  uint64_t Offset = 0;
  uint64_t Removed = 0;
  std::string Inserted;
  /// 128-bit hash of the document after the change, to detect divergence.
  std::string ResultHash;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Version);
    transferText(Ar, ChangeId, MaxNameBytes);
    transferText(Ar, Document, MaxNameBytes);
    Ar(Offset, Removed);
    transferText(Ar, Inserted, MaxBodyBytes);
    transferText(Ar, ResultHash, MaxNameBytes);
  }
};

/// A complete configuration document.
struct ConfigDocument {
  std::string Name;
  std::string Text;
  template <class Archive> void serialize(Archive &Ar) {
    transferText(Ar, Name, MaxNameBytes);
    transferText(Ar, Text, MaxBodyBytes);
  }
};

/// Answer to a ConfigFetch: the changes after the requested version when the
/// sender still has them, otherwise the complete documents.
struct ConfigReply {
  uint64_t Stream = 0;
  uint64_t Version = 0;
  std::vector<ConfigChange> Changes;
  std::vector<ConfigDocument> Documents;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Version);
    transferList(Ar, Changes, MaxListLength);
    transferList(Ar, Documents, MaxListLength);
  }
};

/// One message of the agreement protocol for expert maps between the agents of
/// a group. `Kind` determines which fields are used.
struct GroupMessage {
  enum class Type : uint8_t {
    PromiseRequest,
    PromiseReply,
    AcceptRequest,
    AcceptReply,
    CommitNotice,
    /// Asks to load the weights of map `Version`, placed as in `Placement`.
    StageRequest,
    /// `IsGranted` says whether the weights are loaded.
    StageReply,
  };
  uint64_t Stream = 0;
  Type Kind = Type::PromiseRequest;
  std::string Group;
  /// Epoch of the controller; in a promise reply, the promised epoch.
  uint64_t By = 0;
  /// Incarnation of the sender of a reply, or of the addressee of a request.
  uint64_t Incarnation = 0;
  bool IsGranted = false;
  uint64_t Index = 0;
  uint64_t Step = 0;
  uint64_t Version = 0;
  std::vector<experts::Grant> Chain;
  /// Expert in each slot, ordered by rank.
  std::vector<uint16_t> Placement;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Stream, Kind);
    transferText(Ar, Group, MaxNameBytes);
    Ar(By, Incarnation, IsGranted, Index, Step, Version);
    transferList(Ar, Chain, MaxHeaders);
    transferList(Ar, Placement, MaxListLength);
  }
};

/// Any message of a TCP connection.
using Message =
    std::variant<Hello, StartRequest, CancelRequest, Answer, AnswerHead,
                 AnswerChunk, AnswerEnd, Refusal, BrokenAnswer, AttemptQuery,
                 AttemptReport, ConfigFetch, ConfigReply, Accepted, Redirect,
                 GroupMessage>;

/// The stream that \p M belongs to, or zero for a Hello.
uint64_t streamOf(const Message &M);

/// Role of the sender of a heartbeat.
enum class NodeRole : uint8_t { Entry, Agent };

/// Periodic liveness message. An entry node sends it to the agents of its
/// subset as a subscription; an agent answers its subscribers with its load.
struct Heartbeat {
  NodeRole Role = NodeRole::Entry;
  std::string Node;
  uint64_t Incarnation = 0;
  uint64_t Sequence = 0;
  /// Name of the intended receiver, as an address may move to another node.
  std::string ToNode;
  uint64_t ConfigVersion = 0;
  LoadReport Load;
  template <class Archive> void serialize(Archive &Ar) {
    Ar(Role);
    transferText(Ar, Node, MaxNameBytes);
    Ar(Incarnation, Sequence);
    transferText(Ar, ToNode, MaxNameBytes);
    Ar(ConfigVersion, Load);
  }
};

} // namespace ragwort::wire

#endif
