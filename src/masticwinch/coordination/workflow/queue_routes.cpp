#include "masticwinch/coordination/workflow/queue_routes.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace masticwinch::workflow {

namespace {

/// Most tasks of one occurrence; a submission with more is refused as a
/// mistake.
constexpr std::uint64_t MaxTasks = 20'000;

constexpr std::size_t IdLength = 16;

char toLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

/// Compares a stored host with a canonical one without copying the former.
bool isHost(std::string_view stored, std::string_view canonical) {
  if (stored.ends_with('.')) {
    stored.remove_suffix(1);
  }
  return std::equal(stored.begin(), stored.end(), canonical.begin(),
                    canonical.end(),
                    [](char a, char b) { return toLower(a) == b; });
}

bool isHex(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
         (c >= 'A' && c <= 'F');
}

/// Why the client accounts are invalid. Names accounts and never keys.
std::optional<std::string> accountsError(const protocol::CellConfig &config) {
  std::set<std::string_view> names;
  std::map<std::string_view, std::string_view> owners;
  for (const protocol::ClientAccount &it : config.accounts()) {
    if (it.name().empty()) {
      return "a client account has no name";
    }
    if (!names.insert(it.name()).second) {
      return "there are two client accounts " + it.name();
    }
    for (const std::string &key : it.keys()) {
      if (key.empty()) {
        return "client account " + it.name() + " has an empty key";
      }
      const auto [owner, added] = owners.emplace(key, it.name());
      if (!added && owner->second != it.name()) {
        return "client accounts " + std::string(owner->second) + " and " +
               it.name() + " share a key";
      }
    }
  }
  return std::nullopt;
}

} // namespace

std::string canonicalHost(std::string_view host) {
  if (host.ends_with('.')) {
    host.remove_suffix(1);
  }
  std::string canonical(host);
  std::transform(canonical.begin(), canonical.end(), canonical.begin(),
                 toLower);
  return canonical;
}

std::string_view withoutPort(std::string_view host) {
  return host.substr(0, host.find(':'));
}

std::optional<QueueRoute> findRoute(const protocol::CellConfig &config,
                                    std::string_view host,
                                    std::string_view path) {
  const std::string name = canonicalHost(withoutPort(host));
  const protocol::QueueConfig *best = nullptr;
  for (const protocol::QueueConfig &it : config.queues()) {
    if (isHost(it.host(), name) && path.starts_with(it.path_prefix()) &&
        (!best || it.path_prefix().size() > best->path_prefix().size())) {
      best = &it;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return QueueRoute{best, std::string(path.substr(best->path_prefix().size()))};
}

std::string queueId(const protocol::QueueConfig &queue) {
  return canonicalHost(queue.host()) + queue.path_prefix();
}

const protocol::PoolConfig *findPool(const protocol::CellConfig &config,
                                     const std::string &name) {
  const auto &all = config.pools();
  const auto it = std::find_if(all.begin(), all.end(), [&](const auto &pool) {
    return pool.name() == name;
  });
  return it == all.end() ? nullptr : &*it;
}

std::optional<std::string> validationError(const protocol::CellConfig &config) {
  if (config.version() == 0) {
    return "versions begin with 1";
  }
  if (auto problem = accountsError(config)) {
    return problem;
  }
  std::set<std::string> pools;
  for (const protocol::PoolConfig &it : config.pools()) {
    if (!pools.insert(it.name()).second) {
      return "there are two pools " + it.name();
    }
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const protocol::QueueConfig &it : config.queues()) {
    if (!pools.contains(it.pool())) {
      return "queue " + it.name() + " names an unknown pool " + it.pool();
    }
    if (!places.emplace(canonicalHost(it.host()), it.path_prefix()).second) {
      return "queue " + it.name() + " has the host and prefix of another";
    }
    if (it.timeout_ms() == 0) {
      return "queue " + it.name() + " has no time to answer";
    }
  }
  return std::nullopt;
}

std::optional<std::string> validationError(const protocol::WorkflowSpec &spec) {
  if (spec.id().size() != IdLength ||
      !std::all_of(spec.id().begin(), spec.id().end(), isHex)) {
    return "the id must be 16 hexadecimal digits";
  }
  if (spec.steps().empty()) {
    return "there is no step";
  }
  std::uint64_t tasks = 0;
  for (int i = 0; i < spec.steps_size(); ++i) {
    const protocol::StepSpec &step = spec.steps(i);
    tasks += step.count();
    if (step.count() == 0 || tasks > MaxTasks) {
      return "a step has no task, or there are too many tasks";
    }
    for (std::uint32_t before : step.after()) {
      if (before >= static_cast<std::uint32_t>(i)) {
        return "a step may wait for earlier steps only";
      }
    }
  }
  return std::nullopt;
}

} // namespace masticwinch::workflow
