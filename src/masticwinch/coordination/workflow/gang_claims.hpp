#pragma once

#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/runner_registry.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Room on runners that a waiting gang holds until all its tasks can start.
struct GangClaim {
  ResourceAmounts Needs;
  /// Number of tasks to be placed on each runner, by its id.
  std::map<std::string, std::size_t> Places;
  SteadyTime Since{};
  /// When the gang is expected to have all its room; until then, what it holds
  /// may be lent. Nothing once it may start at any moment.
  std::optional<SteadyTime> ReadyAt = std::nullopt;

  std::size_t placeCount() const;
  std::int64_t milliProcessors() const;
};

/// Why a claim ended.
enum class ClaimEnd : std::uint8_t {
  /// The gang started.
  Started,
  /// Its room is no longer expected soon enough.
  Receded,
  /// Runners are drained for the gang instead.
  Drained,
  /// The step was not tried in the last pass, or waits no longer.
  NotTried,
  /// None of the room was left.
  Empty,
  /// The gang no longer fits below the cap of its account.
  AccountFull,
};

/// A claim that has ended, as it was last updated.
struct EndedClaim {
  StepKey Step;
  GangClaim Claim;
  ClaimEnd End = ClaimEnd::Started;
};

/// The room that waiting gangs hold, kept from one scheduling pass to the next.
/// Answers the load of wide gangs on a full fleet: the room for all members
/// frees up piece by piece, and without a claim smaller tasks take each piece.
class GangClaims {
public:
  /// The claim of a step; null if it has none.
  const GangClaim *find(const StepKey &step) const;

  /// Replaces the claim of a step; removes it if it holds no places.
  void update(const StepKey &step, const ResourceAmounts &needs,
              std::map<std::string, std::size_t> places, SteadyTime now,
              std::optional<SteadyTime> readyAt = std::nullopt);
  void remove(const StepKey &step, ClaimEnd end);

  /// Reduces each claim to the places that `keep` returns for a runner.
  void reduce(const std::function<std::size_t(const std::string &runner,
                                              const ResourceAmounts &needs,
                                              std::size_t places)> &keep);

  /// Begins a scheduling pass: removes the claims of steps that don't wait any
  /// more or that the last pass did not update.
  void beginPass(const std::function<bool(const StepKey &)> &waits);

  std::size_t size() const { return Claims.size(); }
  const std::map<StepKey, GangClaim> &all() const { return Claims; }

  /// Returns the claims that have ended since the last call.
  std::vector<EndedClaim> takeEnded() { return std::exchange(Ended, {}); }

private:
  std::map<StepKey, GangClaim> Claims;
  /// Steps whose claims the current pass has updated.
  std::set<StepKey> Updated;
  std::vector<EndedClaim> Ended;
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::ClaimEnd> {
  using End = workflow::ClaimEnd;
  static constexpr std::array Table{
      EnumName<End>{End::Started, "started"},
      EnumName<End>{End::Receded, "receded"},
      EnumName<End>{End::Drained, "drained"},
      EnumName<End>{End::NotTried, "not_tried"},
      EnumName<End>{End::Empty, "empty"},
      EnumName<End>{End::AccountFull, "account_full"}};
};

} // namespace masticwinch
