#pragma once

#include "masticwinch/coordination/workflow/client_accounts.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace masticwinch::benchmarks {

/// A client account and its part of the arrivals at all queues.
struct ModelAccount {
  /// Relative to those of the other accounts.
  double Share = 1;
  /// Submissions per second that it is entitled to.
  double Weight = 1;
  /// Factor of its arrivals from second SurgeBegin to second SurgeEnd.
  double SurgeFactor = 1;
  double SurgeBegin = 0;
  double SurgeEnd = 0;

  double shareAt(double second) const {
    const bool surge = second >= SurgeBegin && second < SurgeEnd;
    return Share * (surge ? SurgeFactor : 1);
  }
};

/// The client accounts of a model. Without any, the model has one kind of
/// caller and no keys.
struct AccountLoad {
  std::vector<ModelAccount> Accounts;
  /// Whether the configuration declares the accounts; if not, they only
  /// determine the arrivals.
  bool Declared = false;

  /// Arrivals at this time, relative to those when no account surges.
  double factorAt(double second) const {
    if (Accounts.empty()) {
      return 1;
    }
    double usual = 0;
    double now = 0;
    for (const ModelAccount &it : Accounts) {
      usual += it.Share;
      now += it.shareAt(second);
    }
    return now / usual;
  }

  /// Draws the account of an arrival; 0 without accounts.
  std::size_t draw(double second, std::mt19937_64 &engine) const {
    if (Accounts.empty()) {
      return 0;
    }
    std::vector<double> shares;
    for (const ModelAccount &it : Accounts) {
      shares.push_back(it.shareAt(second));
    }
    std::discrete_distribution<std::size_t> drawn(shares.begin(), shares.end());
    return drawn(engine);
  }

  static std::string keyOf(std::size_t account) {
    return "key-" + std::to_string(account);
  }

  void configure(protocol::CellConfig &config) const {
    config.set_accounts_declared(Declared);
    for (std::size_t i = 0; Declared && i < Accounts.size(); ++i) {
      protocol::ClientAccount *account = config.add_accounts();
      account->set_name("account-" + std::to_string(i));
      account->add_keys(keyOf(i));
      account->set_weight_permille(std::uint64_t(Accounts[i].Weight * 1000));
    }
  }
};

} // namespace masticwinch::benchmarks
