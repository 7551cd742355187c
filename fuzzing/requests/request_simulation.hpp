#pragma once

#include "masticwinch/common/manual_clock.hpp"
#include "masticwinch/coordination/requests/claim_client.hpp"
#include "masticwinch/coordination/requests/claim_table.hpp"
#include "masticwinch/coordination/requests/dispatcher.hpp"

#include "fuzzing/requests/request_oracle.hpp"
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace masticwinch::fuzzing {

/// Kinds of steps of a session. `A` and `B` of a step select among the nodes,
/// messages or connections that exist at the time.
enum class StepKind : std::uint8_t {
  Send,
  SendKeyed,
  Resend,
  CallerLeaves,
  Deliver,
  Duplicate,
  Drop,
  Advance,
  Hello,
  SendClaims,
  UpstreamReceives,
  UpstreamAnswers,
  UpstreamRefuses,
  UpstreamUnreachable,
  AnswerBreaks,
  UpstreamRestarts,
  UpstreamLeaves,
  EntryDies,
  EntryStarts,
  EntryLapses,
  EntryLeaves,
  EntryYields,
  EntryPauses,
  OwnerFallsSilent,
  PeersCut,
  LeaderUnheard,
  Proceed,
};

} // namespace masticwinch::fuzzing

template <> struct masticwinch::EnumNames<masticwinch::fuzzing::StepKind> {
  using Kind = masticwinch::fuzzing::StepKind;
  static constexpr std::array<EnumName<Kind>, 27> Table{{
      {Kind::Send, "send"},
      {Kind::SendKeyed, "send_keyed"},
      {Kind::Resend, "resend"},
      {Kind::CallerLeaves, "caller_leaves"},
      {Kind::Deliver, "deliver"},
      {Kind::Duplicate, "duplicate"},
      {Kind::Drop, "drop"},
      {Kind::Advance, "advance"},
      {Kind::Hello, "hello"},
      {Kind::SendClaims, "send_claims"},
      {Kind::UpstreamReceives, "upstream_receives"},
      {Kind::UpstreamAnswers, "upstream_answers"},
      {Kind::UpstreamRefuses, "upstream_refuses"},
      {Kind::UpstreamUnreachable, "upstream_unreachable"},
      {Kind::AnswerBreaks, "answer_breaks"},
      {Kind::UpstreamRestarts, "upstream_restarts"},
      {Kind::UpstreamLeaves, "upstream_leaves"},
      {Kind::EntryDies, "entry_dies"},
      {Kind::EntryStarts, "entry_starts"},
      {Kind::EntryLapses, "entry_lapses"},
      {Kind::EntryLeaves, "entry_leaves"},
      {Kind::EntryYields, "entry_yields"},
      {Kind::EntryPauses, "entry_pauses"},
      {Kind::OwnerFallsSilent, "owner_falls_silent"},
      {Kind::PeersCut, "peers_cut"},
      {Kind::LeaderUnheard, "leader_unheard"},
      {Kind::Proceed, "proceed"},
  }};
};

namespace masticwinch::fuzzing {

struct Step {
  StepKind Kind = StepKind::Advance;
  std::uint8_t A = 0;
  std::uint8_t B = 0;
};

std::ostream &operator<<(std::ostream &out, const Step &step);

/// Simulates the dispatchers of several entry VMs with a replicated claim
/// table, a network that loses, duplicates and reorders messages, entry VMs
/// that stop for a while, spells without a leader, failing upstreams, and
/// callers that resend. Throws `InvariantViolation` as soon as a guarantee is
/// violated.
class RequestSimulation {
public:
  /// Requests have the given deadline.
  explicit RequestSimulation(Milliseconds deadline);

  void apply(const Step &step);

  /// Stops injecting faults, runs all open requests to completion and checks
  /// the final state.
  void runToCompletion();

private:
  struct Node {
    std::string Name;
    std::uint64_t Incarnation = 0;
    std::unique_ptr<Dispatcher> EntryDispatcher;
    std::unique_ptr<ClaimClient> Claims;
    /// End of the serving lease by the node's account.
    SteadyTime ServingUntil{};
    /// Earliest time at which the leader may declare the node lapsed.
    SteadyTime LeaseEnd{};
    std::map<RequestNumber, ArrivalId> Requests;
    bool Member = false;
    bool Leaving = false;
    /// Until then, the process is stopped.
    SteadyTime PausedUntil{};
    /// Until then, the leader's answers to the process are lost.
    SteadyTime UnheardUntil{};
    /// Messages that arrived while the process was stopped.
    std::vector<std::function<void()>> HeldMessages;
    /// Results of connections that closed while the process was stopped.
    std::vector<std::function<void()>> HeldResults;
  };
  struct Connection {
    std::string Node;
    std::uint64_t Incarnation = 0;
    DispatchNumber Number = 0;
    ArrivalId Arrival = 0;
    std::uint64_t Logical = 0;
    std::string Upstream;
    std::uint64_t UpstreamIncarnation = 0;
    SteadyTime TimeoutAt{};
    bool Received = false;
  };
  struct RunningUpstream {
    std::uint64_t Incarnation = 0;
    std::uint32_t Slots = 0;
    bool Announced = false;
    SteadyTime LeftAt{};
  };
  struct SimulatedRequest {
    std::uint64_t Logical = 0;
    std::string Key;
    bool Billed = false;
  };

  SteadyTime now() const { return Clock.now(); }
  std::uint64_t wallMillis() const;
  Node *runningNode(std::uint8_t choice);
  Node *findNode(const std::string &name, std::uint64_t incarnation);

  void post(std::function<void()> message);
  bool isPaused(const Node &node) const { return node.PausedUntil > now(); }
  bool hasLeader() const { return LeaderBackAt <= now(); }
  void pause(Node &node, Milliseconds duration);
  void proceed(std::uint8_t ended, std::uint8_t delivered);
  void ownerFallsSilent(std::uint8_t upstream, std::uint8_t duration);
  static void resume(Node &node, std::vector<std::function<void()>> &network);
  void deliver(std::size_t index, bool keep);
  void advance(Milliseconds by);
  void collect(Node &node);
  void performEffect(Node &node, const RequestEffect &effect);
  void startDispatch(Node &node, const StartDispatch &start);
  void cancelDispatch(Node &node, DispatchNumber number);
  void sendPeer(const Node &node, const PeerMessage &message);
  void receivePeer(const EntryIncarnation &from, const PeerMessage &message);
  void receiveUpdate(const EntryIncarnation &to, SteadyTime helloAt,
                     const std::vector<protocol::ConfigItem> &items);

  void send(std::uint8_t node, const SimulatedRequest &request);
  void callerLeaves(std::uint8_t choice);
  void hello(Node &node);
  void update(const std::string &name, std::uint64_t incarnation,
              SteadyTime helloAt);
  void sendClaims(Node &node);
  void applyClaims(const protocol::ClaimBatch &batch);
  Connection *chooseConnection(std::uint8_t choice);
  void receive(Connection &connection);
  void end(std::size_t index, DispatchResult result);
  void ended(const Connection &connection, DispatchResult result);
  void upstreamRestarts(std::uint8_t choice, bool announce);
  void announce(const std::string &name);
  void entryDies(Node &node);
  void entryStarts(std::uint8_t choice);
  void entryLapses(std::uint8_t choice);
  void entryYields(std::uint8_t choice);
  void entryLeaves(Node &node);
  void removeEntry(Node &node);
  protocol::ConfigItem &change(const std::string &name);
  void checkSlots() const;
  std::size_t indexOf(const Connection &connection) const;

  ManualClock Clock;
  RequestOracle Oracle;
  ClaimTable Table;
  std::vector<Node> Nodes;
  std::map<std::string, RunningUpstream> Upstreams;
  std::vector<Connection> Connections;
  std::vector<std::function<void()>> Network;
  std::vector<SimulatedRequest> Sent;
  /// Latest item of each name as known to the leader.
  std::map<std::string, protocol::ConfigItem> Config;
  /// Until then, messages between two entry VMs are lost.
  std::map<std::set<std::string>, SteadyTime> CutUntil;
  /// Until then, no control VM leads.
  SteadyTime LeaderBackAt{};
  std::uint64_t Revision = 0;
  std::uint64_t LastLogical = 0;
  std::uint64_t LastIncarnation = 0;
};

/// Runs the steps in a new simulation, then runs it to completion.
void runSession(const std::vector<Step> &steps,
                Milliseconds deadline = Milliseconds(2000));

} // namespace masticwinch::fuzzing
