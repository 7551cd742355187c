#pragma once

#include <algorithm>
#include <cstdint>

namespace masticwinch::workflow {

/// Connections that a runner takes if its pool's configuration doesn't say.
constexpr std::uint32_t DefaultRunnerConnections = 64;

/// One part in this many of a runner's connections may be open to one VM. A VM
/// that lost its power or its network leaves its connections behind until the
/// runner closes them, so that after several changes of leader a runner holds
/// the connections of all who led in the meantime.
constexpr std::uint32_t ConnectionShares = 16;

/// Fewest connections of a VM: one for the long poll and one for orders.
constexpr std::uint32_t MinConnectionsPerVm = 2;

/// Connections that one VM may have open to a runner that takes this many; 0 if
/// that isn't known.
constexpr std::uint32_t connectionsPerVm(std::uint32_t runnerConnections) {
  const std::uint32_t all =
      runnerConnections == 0 ? DefaultRunnerConnections : runnerConnections;
  return std::max(all / ConnectionShares, MinConnectionsPerVm);
}

} // namespace masticwinch::workflow
