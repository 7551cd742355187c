#pragma once

#include "masticwinch/control/command_log.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace masticwinch::control {

/// A log kept by this process alone: each record is synced before it counts as
/// committed. It serves a cell with one control VM.
class LocalLog {
public:
  /// Opens or creates `commands.log` in the folder and hands every whole record
  /// to `applied`. A torn last record, which was never acknowledged, is cut.
  /// Throws `std::runtime_error` on damage and on failures of the disk.
  LocalLog(const std::string &folder, AppliedHandler applied);
  ~LocalLog();
  LocalLog(const LocalLog &) = delete;
  LocalLog &operator=(const LocalLog &) = delete;

  /// Writes and syncs a record, then hands it to the applied handler. A failed
  /// sync ends the process: the file's state is unknown afterwards.
  std::optional<LogPosition> propose(const std::string &record);

  bool isLeader() const { return true; }
  std::string leaderAddress() const { return {}; }

private:
  void replay();

  AppliedHandler Applied;
  int File = -1;
  std::uint64_t NextIndex = 1;
};

static_assert(CommandLog<LocalLog>);

} // namespace masticwinch::control
