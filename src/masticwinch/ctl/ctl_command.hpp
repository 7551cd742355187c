#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/ctl/cell_connection.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace masticwinch::ctl {

/// Flags that commands read.
struct CtlFlags {
  /// Version that a change is based on; nothing takes any version.
  std::optional<std::uint64_t> ExpectVersion;
  /// Wait until the change is in force on every entry VM.
  bool Wait = false;
  Milliseconds WaitTimeout{10'000};
};

/// Exit codes of the command line, after those of all programs.
enum class CtlExit : std::uint8_t {
  Success = 0,
  /// The cell refused; it will never take effect.
  Refused = 1,
  Usage = 2,
  /// No answer: the change may or may not take effect. Send it again with the
  /// same request id.
  Unknown = 3,
  /// Accepted, but not in force everywhere within the time limit.
  NotInForce = 4,
};

/// Arguments behind a command's words.
using CtlArguments = std::vector<std::string>;

/// One command of the command line.
struct CtlCommand {
  /// Words such as `profile put`.
  std::string Words;
  /// Names of the arguments, in order.
  std::vector<std::string> Arguments;
  std::string Help;
  /// Builds the request; a file that can't be read throws
  /// `std::runtime_error`.
  std::function<CellRequest(const CtlArguments &, const CtlFlags &)> Build;
  /// Whether `--wait` applies.
  bool ChangesConfiguration = false;
};

/// Every command, in the order of the help text.
std::span<const CtlCommand> ctlCommands();

/// The command whose words the command line starts with; null if none has
/// them. The arguments behind them are stored in `arguments`.
const CtlCommand *findCommand(const std::vector<std::string> &words,
                              CtlArguments &arguments);

/// Carries a command out and prints the answer.
CtlExit runCommand(const CtlCommand &command, const CtlArguments &arguments,
                   const CtlFlags &flags, CellConnection &connection);

/// The help text over all commands.
std::string ctlUsage();

} // namespace masticwinch::ctl
