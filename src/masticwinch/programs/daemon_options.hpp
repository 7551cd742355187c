#pragma once

#include "masticwinch/http/http_server.hpp"
#include "masticwinch/peers/mailbox.hpp"
#include "masticwinch/programs/endpoint_settings.hpp"

#include <string>
#include <vector>

namespace masticwinch::programs {

/// Addresses of other processes, in the order of the settings.
std::vector<std::string> addressesOf(const std::vector<PeerSettings> &peers);

/// Options of a process's mailbox.
peers::MailboxOptions mailboxOptions(const ProcessSettings &process,
                                     std::uint64_t incarnation);

/// Options of a listening HTTP server. Its connections take no more than half
/// of the descriptors of the process, so that files and calls find some.
HttpServerOptions serverOptions(const HttpSettings &http);

} // namespace masticwinch::programs
