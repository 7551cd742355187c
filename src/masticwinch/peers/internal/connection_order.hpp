#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <utility>

namespace masticwinch::peers::internal {

/// Identifies a connection among those that one process has opened.
struct ConnectionId {
  /// The sender's process and the address that it connected to.
  std::string Sender;
  /// Rises with each connection of the sender.
  std::uint64_t Number = 0;
};

/// The latest connection of each sender. A sender that gives up a connection
/// opens another one, while what it wrote to the first may still be on its way.
/// Once the second has delivered a message, those of the first are outdated, so
/// that a sender's messages arrive in order or not at all. Remembers the
/// senders that have opened a connection last, up to a fixed number. State
/// machine without I/O.
class ConnectionOrder {
public:
  explicit ConnectionOrder(std::size_t maxSenders = 4096)
      : MaxSenders(maxSenders) {}

  /// Handles the first message of a connection. Returns false if a later one of
  /// its sender is known.
  bool opened(const ConnectionId &connection);

  /// Whether no later connection of the sender is known.
  bool isLatest(const ConnectionId &connection) const;

  std::size_t size() const { return Latest.size(); }

private:
  struct Entry {
    std::uint64_t Number = 0;
    std::list<std::string>::iterator Position;
  };

  const std::size_t MaxSenders;
  std::unordered_map<std::string, Entry> Latest;
  /// The senders, the one that has opened a connection last at the end.
  std::list<std::string> ByAge;
};

} // namespace masticwinch::peers::internal
