#pragma once

#include "masticwinch/common/clock.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace masticwinch::workflow {

/// What a VM offers to relay.
enum class RelayRole : std::uint8_t {
  /// An entry VM: all orders.
  EntryVm,
  /// A control VM that doesn't lead: start orders, if the links of the entry
  /// VMs are small.
  ControlVm,
};

struct RelaySelectionOptions {
  /// A relay that has sent nothing for this long gets no orders.
  Milliseconds Timeout{1500};
  /// The same for start orders through control VMs, each of which carries those
  /// of many runners.
  Milliseconds ControlTimeout{700};
  /// Entry VMs are relieved of start orders if their links have less than this
  /// on average, in kbit/s.
  std::uint32_t SmallLinkKbps = 20'000;
  /// And if the link of the control VM has at least this many times as much.
  std::uint32_t LinkRatio = 20;
  /// Start orders that one control VM relays within a second, so that it stays
  /// able to lead: a relayed start takes about 0.2 ms of a processor.
  std::uint32_t StartsPerSecond = 400;
  /// A control VM that left this many start orders in a row unanswered gets no
  /// more until its next offer.
  std::uint32_t MaxUnanswered = 3;
};

/// Selects the VM that relays an order of the leader to a runner. Load: a surge
/// in which callers fill the links of the entry VMs. Start orders carry the
/// payloads of submissions, a copy for each task, and would be late there;
/// control VMs that don't lead have large links and little to do. Polls and
/// stops are small and stay with the entry VMs, each runner with one of them by
/// a rendezvous hash. State machine without I/O.
class RelaySelection {
public:
  explicit RelaySelection(RelaySelectionOptions options = {})
      : Options(options) {}

  /// Handles an offer of a VM. `linkKbps` is 0 if it doesn't state its link.
  void offered(const std::string &address, RelayRole role,
               std::uint32_t linkKbps, SteadyTime now);

  /// Returns the relay for a poll or stop; null if there is none.
  const std::string *relayFor(const std::string &runner, SteadyTime now);

  /// Returns the relay for a start order; null if there is none.
  const std::string *relayForStart(const std::string &runner, SteadyTime now);

  /// Handles whether a relay has answered a start order in time.
  void startEnded(const std::string &address, bool answered);

private:
  struct Relay {
    SteadyTime OfferedAt{};
    std::uint32_t LinkKbps = 0;
    std::uint32_t Unanswered = 0;
    /// Starts since `CountedSince`.
    std::uint32_t Starts = 0;
    SteadyTime CountedSince{};
  };
  using Relays = std::map<std::string, Relay>;

  static void expire(Relays &relays, SteadyTime oldest);
  bool mayRelayStarts(const Relay &control, SteadyTime now) const;

  RelaySelectionOptions Options;
  Relays EntryVms;
  Relays ControlVms;
  /// Sum of the links of the entry VMs, in kbit/s; 0 if one is not known.
  std::uint64_t EntryLinks = 0;
};

} // namespace masticwinch::workflow
