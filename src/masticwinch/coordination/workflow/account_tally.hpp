#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/common/enum_names.hpp"
#include "masticwinch/coordination/workflow/workflow_outcome.hpp"
#include "masticwinch/coordination/workflow/workflow_types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Why a submission of a client account was refused.
enum class AccountRefusal : std::uint8_t {
  /// It waited too long in the leader's queue.
  WaitedTooLong,
  NotStorable,
  /// No runner, or not all runners of the pool together, can run it.
  DoesNotFit,
  WouldEndLate,
  /// Beyond the account's rate of submissions.
  OverRate,
  /// A gang that needs more than the account may ever run.
  WiderThanLimit,
};

} // namespace masticwinch::workflow

namespace masticwinch {

template <> struct EnumNames<workflow::AccountRefusal> {
  using Reason = workflow::AccountRefusal;
  static constexpr std::array Table{
      EnumName<Reason>{Reason::WaitedTooLong, "waited_too_long"},
      EnumName<Reason>{Reason::NotStorable, "not_storable"},
      EnumName<Reason>{Reason::DoesNotFit, "does_not_fit"},
      EnumName<Reason>{Reason::WouldEndLate, "would_end_late"},
      EnumName<Reason>{Reason::OverRate, "over_rate"},
      EnumName<Reason>{Reason::WiderThanLimit, "wider_than_limit"}};
};

} // namespace masticwinch

namespace masticwinch::workflow {

/// What became of an account's submissions.
struct AccountCounts {
  std::uint64_t Accepted = 0;
  /// In the order of the enumerations.
  std::array<std::uint64_t, EnumNames<AccountRefusal>::Table.size()> Refused{};
  std::array<std::uint64_t, EnumNames<OutcomeKind>::Table.size()> Ended{};

  std::uint64_t refused() const;
  /// One that is sent again after a refusal counts again.
  std::uint64_t submitted() const { return Accepted + refused(); }
  std::uint64_t ended(OutcomeKind kind) const {
    return Ended[static_cast<std::size_t>(kind)];
  }
  AccountCounts &operator+=(const AccountCounts &other);
};

/// What is reported of an account, or of several together.
struct AccountLoad {
  std::string Name;
  /// Number of accounts that the figures are of.
  std::size_t Accounts = 1;
  std::uint32_t Priority = 0;
  std::uint64_t WeightPermille = 1000;
  /// 0 is no limit.
  ResourceAmounts Cap;
  AccountCounts Counts;
  std::size_t WaitingTasks = 0;
  std::size_t RunningTasks = 0;
  ResourceAmounts Running;
  /// Average of the account's dominant share, in the pool where it is largest.
  double UsedShare = 0;
  /// The account's part of that pool by weight among the accounts that use it
  /// or wait for capacity in it; negative if the account does neither.
  double FairShare = -1;
  /// Time since the acceptance of the oldest workflow with a waiting task.
  Milliseconds LongestWait{0};
  /// Share of the recent submissions that were refused or ended late or not at
  /// all.
  double UnservedShare = 0;
};

/// A submission to be counted: `accepted`, a reason of refusal, or how it
/// ended.
struct AccountOutcome {
  std::string Account;
  std::string Outcome;
};

/// Counts by client account what became of submissions since this leader took
/// over. Holds at most `MaxAccounts` accounts; further ones are not counted.
class AccountTally {
public:
  static constexpr std::size_t MaxAccounts = 2000;

  void accepted(const std::string &account);
  void refused(const std::string &account, AccountRefusal reason);
  void ended(const std::string &account, OutcomeKind outcome);

  /// Sets the counts and the unserved share of `load`, which states its name.
  void describe(AccountLoad &load) const;

  /// Reduces the weight of what is past in the unserved share, by half in seven
  /// calls, and forgets the accounts that are not known any more.
  void age(const std::function<bool(const std::string &)> &isKnown);

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    AccountCounts Counts;
    double RecentServed = 0;
    double RecentUnserved = 0;
  };

  Entry *entryOf(const std::string &account);

  std::unordered_map<std::string, Entry> Entries;
};

/// Name of the entry for all other accounts, and for work without an account.
inline constexpr const char *OtherAccounts = "(others)";
inline constexpr const char *NoAccount = "(none)";

/// Adds the figures of an account to those of several.
void addTo(AccountLoad &sum, const AccountLoad &load);

/// Selects the accounts with the largest use and those that are served worst,
/// and sums up the rest, so that the number of entries is bounded.
std::vector<AccountLoad> selectReported(std::vector<AccountLoad> all,
                                        std::size_t largest = 16,
                                        std::size_t worst = 8);

/// The fields of a report's line.
std::vector<std::pair<std::string, std::string>>
reportFields(const AccountLoad &load);

} // namespace masticwinch::workflow
