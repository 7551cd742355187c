#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch::programs {

/// Addresses of the peers, in the order of the settings.
std::vector<std::string> addressesOf(const std::vector<PeerSettings> &peers);

/// Mailbox options of a process.
peers::MailboxOptions mailboxOptions(const ProcessSettings &process,
                                     std::uint64_t incarnation);

/// Number of a process's descriptors that the connections of callers may use.
std::uint64_t descriptorsForCallers(std::uint64_t limit);

/// Options of an HTTP server. Its connections are limited to half of the file
/// descriptors of the process, which leaves the rest for files and outgoing
/// calls.
HttpServerOptions serverOptions(const HttpSettings &http);

/// Options of an HTTP server for health checks and metrics, whose requests are
/// small.
HttpServerOptions probeServerOptions(const HttpSettings &http);

} // namespace masticwinch::programs
