#pragma once

#include "masticwinch/settings/settings_reader.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace masticwinch::programs {

/// What every daemon is told about itself.
struct ProcessSettings {
  std::string Cluster;
  std::string Name;
  std::string DataCenter;
  /// File for event lines; empty for standard error.
  std::string EventsFile;
  /// Address for messages of other processes, `tcp://IP:PORT`.
  std::string InternalAddress;
};

/// Another process of the system.
struct PeerSettings {
  std::string Name;
  std::string Address;
};

/// A listening HTTP server.
struct HttpSettings {
  std::string Address;
  std::uint16_t Port = 0;
  std::size_t Threads = 1;
};

/// Reads the keys of `ProcessSettings` from the top of a settings file.
ProcessSettings readProcessSettings(SettingsReader &reader);

/// Reads an array of `{name, address}`; an empty one is a problem.
std::vector<PeerSettings> readPeerSettings(SettingsReader &reader,
                                           const std::string &key);

/// Reads an object `{address, port, threads}`.
HttpSettings readHttpSettings(SettingsReader &reader, const std::string &key);

/// Reads a required string `IP:PORT`.
HttpSettings readEndpoint(SettingsReader &reader, const std::string &key);

} // namespace masticwinch::programs
