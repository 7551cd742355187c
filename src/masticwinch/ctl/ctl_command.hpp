#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/ctl/cell_connection.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticwinch::ctl {

/// Command-line flags that affect commands.
struct CtlFlags {
  /// Version that the item must have for a change; nullopt accepts any version.
  std::optional<std::uint64_t> ExpectVersion;
  /// Whether to wait until the change is in force on every entry VM.
  bool Wait = false;
  Milliseconds WaitTimeout{10'000};
  /// Whether accounts are printed as JSON.
  bool Json = false;
};

/// Exit codes of masticwinchctl. They extend those that all programs share.
enum class CtlExit : std::uint8_t {
  Success = 0,
  /// The cell rejected the request; it will never take effect.
  Refused = 1,
  Usage = 2,
  /// No answer: the change may or may not take effect. Send it again with the
  /// same request id.
  Unknown = 3,
  /// Accepted, but not in force everywhere within the time limit.
  NotInForce = 4,
  /// None of the daemons that were asked leads the cell.
  NoLeader = 5,
};

/// Positional arguments that follow the words of a command.
using CtlArguments = std::vector<std::string>;

/// A command of masticwinchctl.
struct CtlCommand {
  /// Words that select the command, such as `profile put`.
  std::string Words;
  /// Names of the positional arguments, in order.
  std::vector<std::string> Arguments;
  std::string Help;
  /// Builds the request. Throws `std::runtime_error` if an input file can't be
  /// read.
  std::function<CellRequest(const CtlArguments &, const CtlFlags &)> Build;
  /// Whether the command changes the configuration, so that `--wait` applies.
  bool ChangesConfiguration = false;
  /// Whether the command reads a control VM's metrics address instead of the
  /// operators' ports. Only the leader's answer counts then.
  bool ReadsMetrics = false;
  /// Prints the answer of such a command.
  std::function<CtlExit(const nlohmann::json &answer, const CtlArguments &,
                        const CtlFlags &)>
      Print = nullptr;
};

/// Returns all commands in the order of the help text.
std::span<const CtlCommand> ctlCommands();

/// Finds the command that matches the leading words and the number of
/// arguments, and stores the arguments in `arguments`. Returns null if there is
/// none.
const CtlCommand *findCommand(const std::vector<std::string> &words,
                              CtlArguments &arguments);

/// Sends the request of a command and prints the answer.
CtlExit runCommand(const CtlCommand &command, const CtlArguments &arguments,
                   const CtlFlags &flags, CellConnection &connection);

/// Returns the help text with all commands.
std::string ctlUsage();

} // namespace masticwinch::ctl
