#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/envelope.pb.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace asio {
class io_context;
}

namespace masticwinch::peers {

class Mailbox;

/// How a command or query to the cell's leader ended.
enum class CellCallOutcome : std::uint8_t {
  /// The leader answered.
  Answered,
  /// No answer within the time limit. A command may still take effect.
  Unknown,
};

/// Called once with the end of a command.
using CommandDone =
    std::function<void(CellCallOutcome, const protocol::CommandResult &)>;

/// Called once with the end of a query.
using QueryDone =
    std::function<void(CellCallOutcome, const protocol::QueryReply &)>;

struct CellClientOptions {
  /// Addresses of the control VMs.
  std::vector<std::string> Controls;
  /// One control VM is given this long before the next is asked.
  Milliseconds AttemptTimeout{400};
  /// Limit for a whole command or query.
  Milliseconds Timeout{5000};
};

/// Sends commands and queries to whichever control VM leads, and tries again
/// elsewhere until one answers or the time is over. All functions and callbacks
/// run on the control thread. A command is sent again when its answer is late,
/// so it must be idempotent, by its content or by a request id.
class CellClient {
public:
  CellClient(asio::io_context &context, Mailbox &mailbox,
             CellClientOptions options);
  ~CellClient();

  void submit(protocol::Command command, CommandDone done);
  void query(protocol::QueryRequest query, QueryDone done);

  /// Takes in an answer; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// The control VM that is believed to lead.
  const std::string &leader() const { return Leader; }

  /// Believes that the address leads; an empty one moves on to the next
  /// control VM.
  void suggestLeader(const std::string &address);

private:
  struct Call;

  void start(std::shared_ptr<Call> call);
  void attempt(std::uint64_t id);
  void retryAfter(Call &call, Milliseconds delay);
  void finish(std::uint64_t id, CellCallOutcome kind,
              const protocol::Envelope &answer);

  asio::io_context &Context;
  Mailbox &Outbox;
  CellClientOptions Options;
  std::string Leader;
  std::uint64_t NextCall = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Call>> Calls;
};

} // namespace masticwinch::peers
