#include "masticwinch/coordination/workflow/entry_terms.hpp"

#include "masticwinch/coordination/workflow/queue_routes.hpp"

namespace masticwinch::workflow {

/// Forgets what a newer version may have changed. Returns whether the version
/// is the newest known one.
bool EntryTerms::advance(std::uint64_t version) {
  if (version > Version) {
    Version = version;
    Queues.clear();
    Limits.reset();
  }
  return version == Version;
}

void EntryTerms::learn(const protocol::AgentWelcome &welcome) {
  if (welcome.leads() && welcome.config_version() == 0) {
    // The cell was founded anew.
    *this = EntryTerms();
    return;
  }
  if (welcome.leads() && advance(welcome.config_version()) &&
      welcome.has_limits()) {
    Limits = welcome.limits();
  }
}

void EntryTerms::learn(const protocol::WorkflowAnswer &answer) {
  if (!advance(answer.config_version()) || !answer.has_route() ||
      Queues.size() >= MaxQueues) {
    return;
  }
  const protocol::RouteTerms &route = answer.route();
  Queues[{canonicalHost(route.host()), route.path_prefix()}] = {
      Milliseconds(route.timeout_ms()), route.key_required()};
}

/// Null if the queue with this address isn't known.
const EntryTerms::QueueTerms *EntryTerms::find(std::string_view host,
                                               std::string_view path) const {
  const std::string name = canonicalHost(withoutPort(host));
  const QueueTerms *found = nullptr;
  std::size_t longest = 0;
  for (auto it = Queues.lower_bound({name, ""});
       it != Queues.end() && it->first.first == name; ++it) {
    const std::string &prefix = it->first.second;
    // A further segment may belong to a queue with a longer prefix that is not
    // known.
    const bool covers = path.starts_with(prefix) &&
                        path.find('/', prefix.size()) == std::string_view::npos;
    if (covers && prefix.size() >= longest) {
      found = &it->second;
      longest = prefix.size();
    }
  }
  return found;
}

std::optional<Milliseconds> EntryTerms::timeout(std::string_view host,
                                                std::string_view path) const {
  const QueueTerms *queue = find(host, path);
  return queue ? std::optional(queue->Timeout) : std::nullopt;
}

bool EntryTerms::isKeyRequired(std::string_view host,
                               std::string_view path) const {
  const QueueTerms *queue = find(host, path);
  return queue && queue->KeyRequired;
}

std::optional<ExceededLimit>
EntryTerms::exceededLimit(std::size_t headerBytes,
                          std::size_t bodyBytes) const {
  const auto exceeds = [](std::size_t bytes, std::uint32_t limit) {
    return limit > 0 && bytes > limit;
  };
  if (Limits && exceeds(headerBytes, Limits->max_header_bytes())) {
    return ExceededLimit::HeaderBytes;
  }
  if (Limits && exceeds(bodyBytes, Limits->max_body_bytes())) {
    return ExceededLimit::BodyBytes;
  }
  return std::nullopt;
}

std::optional<CallerTimeouts> EntryTerms::callerTimeouts() const {
  if (!Limits) {
    return std::nullopt;
  }
  return CallerTimeouts{Milliseconds(Limits->header_timeout_ms()),
                        Milliseconds(Limits->idle_timeout_ms())};
}

} // namespace masticwinch::workflow
