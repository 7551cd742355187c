#pragma once

#include "masticwinch/coordination/workflow/account_tally.hpp"
#include "masticwinch/metrics/metric_registry.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace masticwinch::workflow {

/// Metrics of client accounts with the label `account`. Accounts beyond the
/// first `MaxAccounts` share one value, labelled `(others)`. The registry's
/// text must be rendered on the thread that calls this object.
class AccountMetrics {
public:
  static constexpr std::size_t MaxAccounts = 64;

  /// `leads` tells whether what was set last still holds.
  AccountMetrics(MetricRegistry &metrics, std::function<bool()> leads)
      : Metrics(metrics), Leads(std::move(leads)) {}
  AccountMetrics(const AccountMetrics &) = delete;
  AccountMetrics &operator=(const AccountMetrics &) = delete;

  /// Counts a submission or its end by what became of it.
  void add(const AccountOutcome &outcome);

  /// Sets what the accounts have running and waiting; 0 for those that are not
  /// listed.
  void set(const std::vector<AccountLoad> &loads);

private:
  std::string labelOf(const std::string &account);
  AccountLoad &shownLoad(const std::string &label);

  MetricRegistry &Metrics;
  std::function<bool()> Leads;
  std::set<std::string> Labels;
  /// By label; the registry's metrics refer to the values.
  std::map<std::string, AccountLoad> Shown;
  std::map<std::pair<std::string, std::string>, Counter *> Counters;
};

} // namespace masticwinch::workflow
