#pragma once

#include "masticwinch/settings/settings_reader.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace masticwinch::programs {

/// Settings that every daemon has.
struct ProcessSettings {
  std::string Cluster;
  std::string Name;
  std::string DataCenter;
  /// File for event lines; `-` for standard output, empty for standard error.
  std::string EventsFile;
  /// Address for messages from other processes, `tcp://IP:PORT`.
  std::string InternalAddress;
  /// Address at which other processes reach that one, if a proxy or an address
  /// translation is between; otherwise the same.
  std::string AnnouncedAddress;
};

/// Name and address of another process.
struct PeerSettings {
  std::string Name;
  std::string Address;
};

/// Settings of an HTTP server.
struct HttpSettings {
  std::string Address;
  std::uint16_t Port = 0;
  std::size_t Threads = 1;
  /// See `HttpServerOptions::MaxHeldBytes`; nothing for the default.
  std::optional<std::size_t> MaxHeldBytes = std::nullopt;
};

/// Reads `ProcessSettings` from the top level of a settings file.
ProcessSettings readProcessSettings(SettingsReader &reader);

/// Reads an array of `{name, address}`; reports an empty one as a problem.
std::vector<PeerSettings> readPeerSettings(SettingsReader &reader,
                                           const std::string &key);

/// Reads an object `{address, port, threads}`.
HttpSettings readHttpSettings(SettingsReader &reader, const std::string &key);

/// Reads a required string `IP:PORT`.
HttpSettings readEndpoint(SettingsReader &reader, const std::string &key);

} // namespace masticwinch::programs
