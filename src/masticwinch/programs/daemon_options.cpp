#include "masticwinch/programs/daemon_options.hpp"

#include "masticwinch/metrics/process_metrics.hpp"

#include <algorithm>

namespace masticwinch::programs {

std::vector<std::string> addressesOf(const std::vector<PeerSettings> &peers) {
  std::vector<std::string> addresses;
  for (const PeerSettings &it : peers) {
    addresses.push_back(it.Address);
  }
  return addresses;
}

peers::MailboxOptions mailboxOptions(const ProcessSettings &process,
                                     std::uint64_t incarnation) {
  peers::MailboxOptions options;
  options.Cluster = process.Cluster;
  options.Process = process.Name;
  options.Incarnation = incarnation;
  options.Address = process.AnnouncedAddress;
  options.ListenAddress = process.InternalAddress;
  return options;
}

HttpServerOptions serverOptions(const HttpSettings &http) {
  HttpServerOptions options;
  options.Address = http.Address;
  options.Port = http.Port;
  options.Threads = http.Threads;
  if (const std::uint64_t limit = descriptorLimit(); limit > 0) {
    options.MaxConnections =
        std::min<std::size_t>(options.MaxConnections, limit / 2);
  }
  return options;
}

} // namespace masticwinch::programs
