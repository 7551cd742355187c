#include "masticwinch/programs/daemon_options.hpp"

#include "masticwinch/http/http_client.hpp"
#include "masticwinch/metrics/process_metrics.hpp"

#include <algorithm>

namespace masticwinch::programs {

namespace {

/// Descriptors that a server leaves to others beside the calls of an HTTP
/// client: to files, of which the users' platform reserves 200; to peers,
/// operators and metrics; and to connections of its own that are being closed.
constexpr std::uint64_t ReservedDescriptors =
    200 + 56 + ConnectionsInPassing + MaxLingeringConnections;

} // namespace

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

std::uint64_t descriptorsForCallers(std::uint64_t limit) {
  const std::uint64_t others =
      limit / HttpClientDescriptorDivisor + ReservedDescriptors;
  return limit - std::min(limit / 2, others);
}

HttpServerOptions serverOptions(const HttpSettings &http) {
  HttpServerOptions options;
  options.Address = http.Address;
  options.Port = http.Port;
  options.Threads = http.Threads;
  if (const std::uint64_t limit = descriptorLimit(); limit > 0) {
    options.MaxConnections = std::min<std::size_t>(
        options.MaxConnections, descriptorsForCallers(limit));
  }
  options.MaxHeldBytes = http.MaxHeldBytes.value_or(options.MaxHeldBytes);
  return options;
}

HttpServerOptions probeServerOptions(const HttpSettings &http) {
  constexpr std::size_t MaxBodyBytes = 16UL * 1024;
  constexpr std::size_t MaxHeldBytes = 4UL * 1024 * 1024;
  HttpServerOptions options = serverOptions(http);
  options.MaxBodyBytes = MaxBodyBytes;
  options.MaxHeldBytes = MaxHeldBytes;
  return options;
}

} // namespace masticwinch::programs
