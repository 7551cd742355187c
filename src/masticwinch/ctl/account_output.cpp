#include "masticwinch/ctl/account_output.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace masticwinch::ctl {

namespace {

double number(const nlohmann::json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_number() ? it->get<double>() : 0;
}

std::string text(const nlohmann::json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_string() ? it->get<std::string>()
                                             : std::string();
}

std::string percent(const nlohmann::json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_number()
             ? fmt::format("{:.1f}%", it->get<double>() * 100)
             : "-";
}

nlohmann::json objectIn(const nlohmann::json &json, const char *key) {
  const auto it = json.find(key);
  return it != json.end() && it->is_object() ? *it : nlohmann::json::object();
}

std::vector<nlohmann::json> accountsOf(const nlohmann::json &page) {
  std::vector<nlohmann::json> accounts;
  const auto found = page.find("accounts");
  if (found != page.end() && found->is_array()) {
    for (const nlohmann::json &it : *found) {
      if (it.is_object()) {
        accounts.push_back(it);
      }
    }
  }
  return accounts;
}

double refusedIn(const nlohmann::json &account) {
  double sum = 0;
  const nlohmann::json refused = objectIn(account, "refused");
  for (const auto &it : refused) {
    sum += it.is_number() ? it.get<double>() : 0;
  }
  return sum;
}

std::string amountsText(const nlohmann::json &amounts) {
  return fmt::format("{:.1f} cores, {:.0f} MB, {:.0f} accelerators",
                     number(amounts, "milli_processors") / 1000,
                     number(amounts, "memory_mb"),
                     number(amounts, "accelerators"));
}

/// As amountsText(), with "none" for a resource without a limit.
std::string capText(const nlohmann::json &cap) {
  const auto limit = [&](const char *key, double unit, const char *name) {
    const double value = number(cap, key);
    return value > 0 ? fmt::format("{:g} {}", value / unit, name)
                     : fmt::format("no limit of {}", name);
  };
  return limit("milli_processors", 1000, "cores") + ", " +
         limit("memory_mb", 1, "MB") + ", " +
         limit("accelerators", 1, "accelerators");
}

} // namespace

std::optional<nlohmann::json> findAccount(const nlohmann::json &page,
                                          const std::string &name) {
  for (nlohmann::json &it : accountsOf(page)) {
    if (text(it, "account") == name) {
      return std::move(it);
    }
  }
  return std::nullopt;
}

std::string accountTable(const nlohmann::json &page) {
  std::vector<nlohmann::json> accounts = accountsOf(page);
  std::stable_sort(accounts.begin(), accounts.end(),
                   [](const nlohmann::json &a, const nlohmann::json &b) {
                     return number(a, "used_share") > number(b, "used_share");
                   });
  std::string table =
      fmt::format("{:<24} {:>6} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9} {:>9}\n",
                  "ACCOUNT", "WEIGHT", "USED", "FAIR", "RUNNING", "WAITING",
                  "LONGEST", "ACCEPTED", "REFUSED");
  for (const nlohmann::json &it : accounts) {
    table += fmt::format(
        "{:<24} {:>6g} {:>7} {:>7} {:>8.0f} {:>8.0f} {:>8.1f}s {:>9.0f} "
        "{:>9.0f}\n",
        text(it, "account"), number(it, "weight"), percent(it, "used_share"),
        percent(it, "fair_share"), number(it, "tasks_running"),
        number(it, "tasks_waiting"), number(it, "longest_wait_ms") / 1000,
        number(it, "accepted"), refusedIn(it));
  }
  return table;
}

std::optional<std::string> accountDetails(const nlohmann::json &page,
                                          const std::string &name) {
  const auto account = findAccount(page, name);
  if (!account) {
    return std::nullopt;
  }
  std::string details;
  const auto add = [&](const char *label, const std::string &value) {
    details += fmt::format("{:<20} {}\n", label, value);
  };
  const auto count = [&](const char *key) {
    return fmt::format("{:.0f}", number(*account, key));
  };
  add("account", name);
  add("leader", text(page, "leader"));
  add("priority", count("priority"));
  add("weight", fmt::format("{:g}", number(*account, "weight")));
  add("cap", capText(objectIn(*account, "cap")));
  add("running", amountsText(objectIn(*account, "running")));
  add("tasks running", count("tasks_running"));
  add("tasks waiting", count("tasks_waiting"));
  add("longest wait",
      fmt::format("{:.1f} s", number(*account, "longest_wait_ms") / 1000));
  add("used share", percent(*account, "used_share"));
  add("fair share", percent(*account, "fair_share"));
  add("unserved lately", percent(*account, "unserved_share"));
  add("submitted", count("submitted"));
  add("accepted", count("accepted"));
  const nlohmann::json refused = objectIn(*account, "refused");
  for (const auto &[reason, value] : refused.items()) {
    const double refusals = value.is_number() ? value.get<double>() : 0;
    if (refusals > 0) {
      add("refused", fmt::format("{:.0f} ({})", refusals, reason));
    }
  }
  for (const char *it : {"on_time", "late", "missed", "failed", "cancelled"}) {
    add(it, count(it));
  }
  return details;
}

} // namespace masticwinch::ctl
