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

/// Called once with the outcome of a command.
using CommandDone =
    std::function<void(CellCallOutcome, const protocol::CommandResult &)>;

/// Called once with the outcome of a query.
using QueryDone =
    std::function<void(CellCallOutcome, const protocol::QueryReply &)>;

struct CellClientOptions {
  /// Addresses of the control VMs.
  std::vector<std::string> Controls;
  /// Time to wait for one control VM's answer before the next one is tried.
  Milliseconds AttemptTimeout{400};
  /// Time limit for a command or query over all attempts.
  Milliseconds Timeout{5000};
};

/// Sends commands and queries to the leading control VM, and retries with other
/// control VMs until one answers or the timeout expires. All functions and
/// callbacks run on the control thread. A command whose answer is late is sent
/// again, so it must be idempotent, by its content or by a request id.
class CellClient {
public:
  CellClient(asio::io_context &context, Mailbox &mailbox,
             CellClientOptions options);
  ~CellClient();

  void submit(protocol::Command command, CommandDone done);
  void query(protocol::QueryRequest query, QueryDone done);

  /// Handles an answer; other messages are ignored.
  void receive(const protocol::Envelope &envelope);

  /// The address of the control VM that is assumed to lead.
  const std::string &leader() const { return Leader; }

  /// Assumes that the control VM with this address leads. An address that is
  /// empty or unknown selects the next control VM instead.
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
  /// Starts at the process's incarnation, because the leader may still answer
  /// calls of an earlier one at the same address.
  std::uint64_t NextCall;
  std::unordered_map<std::uint64_t, std::shared_ptr<Call>> Calls;
};

} // namespace masticwinch::peers
