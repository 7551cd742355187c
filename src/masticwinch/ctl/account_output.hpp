#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace masticwinch::ctl {

/// The accounts of a leader's page of accounts as a table with one line each,
/// those with the largest use first. Fields that are missing or of another type
/// are shown as 0 or left empty.
std::string accountTable(const nlohmann::json &page);

/// All figures of one account, one a line; nothing if the page doesn't list it.
std::optional<std::string> accountDetails(const nlohmann::json &page,
                                          const std::string &name);

/// The entry of one account; nothing if the page doesn't list it.
std::optional<nlohmann::json> findAccount(const nlohmann::json &page,
                                          const std::string &name);

} // namespace masticwinch::ctl
