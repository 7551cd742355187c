#include "masticwinch/http/internal/host_calls.hpp"

#include <asio/io_context.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace masticwinch::internal {

namespace {

/// Host and port of a URL.
std::string authorityOf(const std::string &url) {
  constexpr std::string_view Separator = "://";
  const std::size_t scheme = url.find(Separator);
  const std::size_t begin =
      scheme == std::string::npos ? 0 : scheme + Separator.size();
  return url.substr(begin, url.find('/', begin) - begin);
}

} // namespace

HostCalls::HostCalls(asio::io_context &context, StartHandler onStart,
                     ExpiryHandler onExpiry)
    : Context(context), OnStart(std::move(onStart)),
      OnExpiry(std::move(onExpiry)) {}

void HostCalls::add(HttpCallId id, HttpCall call, HttpCallDone done) {
  if (call.MaxCallsToHost == 0) {
    OnStart(id, std::move(call), std::move(done));
    return;
  }
  const std::string host = authorityOf(call.Url);
  Host &entry = Hosts[host];
  if (entry.Running < call.MaxCallsToHost) {
    start(host, id, std::move(call), std::move(done));
    return;
  }
  WaitingHosts.emplace(id, host);
  entry.Waiting.push_back({id, std::move(call), std::move(done),
                           std::make_unique<asio::steady_timer>(Context)});
  expireLater(entry.Waiting.back());
}

void HostCalls::start(const std::string &host, HttpCallId id, HttpCall call,
                      HttpCallDone done) {
  Hosts[host].Running += 1;
  RunningHosts.emplace(id, host);
  OnStart(id, std::move(call), std::move(done));
}

void HostCalls::expireLater(WaitingCall &waiting) {
  waiting.Expiry->expires_after(waiting.Call.MaxQueueTime);
  waiting.Expiry->async_wait(
      [this, id = waiting.Id](const std::error_code &ec) {
        if (!ec) {
          expire(id);
        }
      });
}

void HostCalls::expire(HttpCallId id) {
  if (HttpCallDone done = remove(id)) {
    OnExpiry(std::move(done));
  }
}

HttpCallDone HostCalls::remove(HttpCallId id) {
  const auto host = WaitingHosts.extract(id);
  if (host.empty()) {
    return {};
  }
  auto &waiting = Hosts[host.mapped()].Waiting;
  const auto it =
      std::find_if(waiting.begin(), waiting.end(),
                   [&](const WaitingCall &call) { return call.Id == id; });
  HttpCallDone done = std::move(it->Done);
  waiting.erase(it);
  return done;
}

void HostCalls::ended(HttpCallId id) {
  const auto host = RunningHosts.extract(id);
  if (host.empty()) {
    return;
  }
  Host &entry = Hosts[host.mapped()];
  entry.Running -= 1;
  startWaiting(host.mapped());
  if (entry.Running == 0 && entry.Waiting.empty()) {
    Hosts.erase(host.mapped());
  }
}

void HostCalls::startWaiting(const std::string &host) {
  Host &entry = Hosts[host];
  while (!entry.Waiting.empty() &&
         entry.Running < entry.Waiting.front().Call.MaxCallsToHost) {
    WaitingCall next = std::move(entry.Waiting.front());
    entry.Waiting.pop_front();
    WaitingHosts.erase(next.Id);
    start(host, next.Id, std::move(next.Call), std::move(next.Done));
  }
}

} // namespace masticwinch::internal
