#pragma once

#include "masticwinch/common/clock.hpp"
#include "masticwinch/protocol/workflow.pb.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace masticwinch::workflow {

/// Limit of callers' requests that a request exceeds.
enum class ExceededLimit : std::uint8_t { HeaderBytes, BodyBytes };

/// How long a caller's connection may take for a request's headers, and be
/// without a request; 0 limits nothing.
struct CallerTimeouts {
  Milliseconds Header{0};
  Milliseconds Idle{0};

  bool operator==(const CallerTimeouts &) const = default;
};

/// What an entry VM knows of the configuration: the limits of requests, and the
/// terms of the queues that it has forwarded calls to. It learns both from the
/// leader's messages; those about an older version than the newest known one
/// are ignored.
class EntryTerms {
public:
  /// Learns the limits from a leader's welcome.
  void learn(const protocol::AgentWelcome &welcome);

  /// Learns the terms of the queue that handled a call.
  void learn(const protocol::WorkflowAnswer &answer);

  /// Version of the configuration; 0 if none is known.
  std::uint64_t version() const { return Version; }

  /// Timeout of the queue with this address; nothing if it isn't known.
  std::optional<Milliseconds> timeout(std::string_view host,
                                      std::string_view path) const;

  /// Whether the queue with this address is known to need the key of a client
  /// account.
  bool isKeyRequired(std::string_view host, std::string_view path) const;

  /// The first limit that a request exceeds; nothing while no limits are known.
  /// A limit of 0 limits nothing.
  std::optional<ExceededLimit> exceededLimit(std::size_t headerBytes,
                                             std::size_t bodyBytes) const;

  /// The timeouts of connections; nothing while no limits are known.
  std::optional<CallerTimeouts> callerTimeouts() const;

private:
  /// Most queues whose terms are kept.
  static constexpr std::size_t MaxQueues = 1024;

  struct QueueTerms {
    Milliseconds Timeout{0};
    bool KeyRequired = false;
  };

  bool advance(std::uint64_t version);
  const QueueTerms *find(std::string_view host, std::string_view path) const;

  std::uint64_t Version = 0;
  std::optional<protocol::CallerLimits> Limits;
  /// By canonical host and path prefix.
  std::map<std::pair<std::string, std::string>, QueueTerms> Queues;
};

} // namespace masticwinch::workflow
