#include "masticwinch/programs/endpoint_settings.hpp"

#include <charconv>
#include <set>

namespace masticwinch::programs {

namespace {

constexpr SettingsRange PortRange{0, 65'535};
constexpr SettingsRange ThreadRange{1, 64};

void checkInternalAddress(SettingsReader &reader, const std::string &key,
                          const std::string &address) {
  if (!address.empty() && !address.starts_with("tcp://")) {
    reader.report(key, "must be tcp://IP:PORT");
  }
}

} // namespace

ProcessSettings readProcessSettings(SettingsReader &reader) {
  ProcessSettings process;
  process.Cluster = reader.requiredString("cluster");
  process.Name = reader.requiredString("name");
  process.DataCenter = reader.requiredString("data_center");
  process.EventsFile = reader.optionalString("events_file", "");
  process.InternalAddress = reader.requiredString("internal_address");
  checkInternalAddress(reader, "internal_address", process.InternalAddress);
  process.AnnouncedAddress =
      reader.optionalString("announced_address", process.InternalAddress);
  checkInternalAddress(reader, "announced_address", process.AnnouncedAddress);
  return process;
}

std::vector<PeerSettings> readPeerSettings(SettingsReader &reader,
                                           const std::string &key) {
  std::vector<PeerSettings> peers;
  std::set<std::string> names;
  reader.eachObject(key, [&](SettingsReader &nested) {
    PeerSettings peer;
    peer.Name = nested.requiredString("name");
    peer.Address = nested.requiredString("address");
    checkInternalAddress(nested, "address", peer.Address);
    if (!names.insert(peer.Name).second) {
      nested.report("name", "is listed twice");
    }
    peers.push_back(std::move(peer));
  });
  if (peers.empty()) {
    reader.report(key, "must list at least one process");
  }
  return peers;
}

HttpSettings readHttpSettings(SettingsReader &reader, const std::string &key) {
  HttpSettings http;
  reader.object(key, [&](SettingsReader &nested) {
    http.Address = nested.optionalString("address", "127.0.0.1");
    http.Port =
        static_cast<std::uint16_t>(nested.requiredInteger("port", PortRange));
    http.Threads = static_cast<std::size_t>(
        nested.optionalInteger("threads", ThreadRange, 1));
  });
  return http;
}

HttpSettings readEndpoint(SettingsReader &reader, const std::string &key) {
  HttpSettings http;
  const std::string text = reader.requiredString(key);
  const std::size_t colon = text.rfind(':');
  const std::string port =
      colon == std::string::npos ? "" : text.substr(colon + 1);
  const char *last = port.data() + port.size();
  const auto [end, ec] = std::from_chars(port.data(), last, http.Port);
  if (ec != std::errc() || end != last) {
    reader.report(key, "must be IP:PORT");
    return http;
  }
  http.Address = text.substr(0, colon);
  return http;
}

} // namespace masticwinch::programs
