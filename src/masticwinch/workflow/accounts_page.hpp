#pragma once

#include "masticwinch/coordination/workflow/account_tally.hpp"
#include "masticwinch/http/http_message.hpp"

#include <string>
#include <vector>

namespace masticwinch::workflow {

/// The response to `GET /accounts`: the accounts' figures as JSON. Never
/// contains keys. `process` is the name of the VM that leads.
HttpResponse accountsPage(const std::string &process,
                          const std::vector<AccountLoad> &loads);

/// The response of a VM that doesn't lead: 503 with the leader's name, if it is
/// known.
HttpResponse accountsNotLeading(const std::string &leader);

} // namespace masticwinch::workflow
