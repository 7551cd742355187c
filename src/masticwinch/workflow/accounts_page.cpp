#include "masticwinch/workflow/accounts_page.hpp"

#include <nlohmann/json.hpp>

namespace masticwinch::workflow {

namespace {

nlohmann::json jsonOf(const ResourceAmounts &amounts) {
  return {{"milli_processors", amounts.MilliProcessors},
          {"memory_mb", amounts.MemoryMb},
          {"accelerators", amounts.Accelerators}};
}

nlohmann::json jsonOf(const AccountLoad &load) {
  nlohmann::json refused = nlohmann::json::object();
  for (const auto &it : EnumNames<AccountRefusal>::Table) {
    refused[std::string(it.Name)] =
        load.Counts.Refused[static_cast<std::size_t>(it.Value)];
  }
  nlohmann::json json{{"account", load.Name},
                      {"priority", load.Priority},
                      {"weight", double(load.WeightPermille) / 1000},
                      {"cap", jsonOf(load.Cap)},
                      {"running", jsonOf(load.Running)},
                      {"tasks_running", load.RunningTasks},
                      {"tasks_waiting", load.WaitingTasks},
                      {"longest_wait_ms", load.LongestWait.count()},
                      {"used_share", load.UsedShare},
                      {"fair_share", load.FairShare < 0
                                         ? nlohmann::json(nullptr)
                                         : nlohmann::json(load.FairShare)},
                      {"unserved_share", load.UnservedShare},
                      {"submitted", load.Counts.submitted()},
                      {"accepted", load.Counts.Accepted},
                      {"refused", refused}};
  for (const auto &it : EnumNames<OutcomeKind>::Table) {
    if (it.Value != OutcomeKind::Refused) {
      json[std::string(it.Name)] = load.Counts.ended(it.Value);
    }
  }
  return json;
}

} // namespace

HttpResponse accountsPage(const std::string &process,
                          const std::vector<AccountLoad> &loads) {
  nlohmann::json accounts = nlohmann::json::array();
  for (const AccountLoad &it : loads) {
    accounts.push_back(jsonOf(it));
  }
  HttpResponse response;
  response.Headers.add("Content-Type", "application/json");
  // Names may be any bytes.
  response.Body =
      nlohmann::json{{"leader", process}, {"accounts", std::move(accounts)}}
          .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

HttpResponse accountsNotLeading(const std::string &leader) {
  return errorResponse(503, "not_leading",
                       leader.empty()
                           ? "no leader is known"
                           : "this VM does not lead; " + leader + " does");
}

} // namespace masticwinch::workflow
