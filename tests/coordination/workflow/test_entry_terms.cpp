#include "masticwinch/coordination/workflow/entry_terms.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

protocol::WorkflowAnswer answerOf(std::uint64_t version,
                                  const std::string &prefix,
                                  std::uint32_t timeoutMs) {
  protocol::WorkflowAnswer answer;
  answer.set_config_version(version);
  answer.mutable_route()->set_host("Host.example.");
  answer.mutable_route()->set_path_prefix(prefix);
  answer.mutable_route()->set_timeout_ms(timeoutMs);
  return answer;
}

protocol::AgentWelcome welcomeOf(std::uint64_t version,
                                 std::uint32_t maxBodyBytes) {
  protocol::AgentWelcome welcome;
  welcome.set_leads(true);
  welcome.set_config_version(version);
  welcome.mutable_limits()->set_max_header_bytes(100);
  welcome.mutable_limits()->set_max_body_bytes(maxBodyBytes);
  return welcome;
}

} // namespace

TEST_CASE(
    "An entry VM applies the timeout of the queue with the longest prefix",
    "[workflow]") {
  EntryTerms terms;
  CHECK_FALSE(terms.timeout("host.example", "/a/x"));
  terms.learn(answerOf(3, "/a/", 700));
  terms.learn(answerOf(3, "/a/b/", 300));
  CHECK(terms.timeout("host.example:80", "/a/x") == Milliseconds(700));
  CHECK(terms.timeout("HOST.example", "/a/b/x") == Milliseconds(300));
  // A queue with a longer prefix may be there that no call has named yet.
  CHECK_FALSE(terms.timeout("host.example", "/a/c/x"));
  CHECK_FALSE(terms.timeout("host.example", "/b/x"));
  CHECK_FALSE(terms.timeout("other.example", "/a/x"));
}

// Guards against a changed timeout that is confirmed and not in force.
TEST_CASE("A timeout of an older configuration is no longer applied",
          "[workflow]") {
  EntryTerms terms;
  terms.learn(answerOf(3, "/a/", 700));
  terms.learn(welcomeOf(4, 1000));
  CHECK_FALSE(terms.timeout("host.example", "/a/x"));
  terms.learn(answerOf(3, "/a/", 700));
  CHECK_FALSE(terms.timeout("host.example", "/a/x"));
  terms.learn(answerOf(4, "/a/", 900));
  CHECK(terms.timeout("host.example", "/a/x") == Milliseconds(900));
}

TEST_CASE("A request above a configured limit is recognized", "[workflow]") {
  EntryTerms terms;
  CHECK_FALSE(terms.exceededLimit(1'000'000, 1'000'000));
  protocol::AgentWelcome unconfigured = welcomeOf(0, 10);
  terms.learn(unconfigured);
  CHECK_FALSE(terms.exceededLimit(1'000'000, 1'000'000));
  unconfigured.clear_limits();
  terms.learn(unconfigured);
  CHECK_FALSE(terms.exceededLimit(1'000'000, 1'000'000));
  terms.learn(welcomeOf(3, 1000));
  CHECK_FALSE(terms.exceededLimit(100, 1000));
  CHECK(terms.exceededLimit(101, 0) == ExceededLimit::HeaderBytes);
  CHECK(terms.exceededLimit(0, 1001) == ExceededLimit::BodyBytes);
  terms.learn(welcomeOf(2, 10));
  CHECK_FALSE(terms.exceededLimit(0, 1000));
  terms.learn(welcomeOf(4, 0));
  CHECK_FALSE(terms.exceededLimit(0, 1'000'000));
}

TEST_CASE("The timeouts of connections are those of the configuration",
          "[workflow]") {
  EntryTerms terms;
  CHECK_FALSE(terms.callerTimeouts());
  protocol::AgentWelcome welcome;
  welcome.set_leads(true);
  welcome.set_config_version(3);
  welcome.mutable_limits()->set_header_timeout_ms(2000);
  terms.learn(welcome);
  CHECK(terms.callerTimeouts() ==
        CallerTimeouts{Milliseconds(2000), Milliseconds(0)});
  welcome.set_config_version(4);
  welcome.mutable_limits()->set_idle_timeout_ms(5000);
  terms.learn(welcome);
  CHECK(terms.callerTimeouts() ==
        CallerTimeouts{Milliseconds(2000), Milliseconds(5000)});
}

// Guards against callers that are turned away by a queue's former terms.
TEST_CASE("A queue is known to need a key by the newest configuration only",
          "[workflow]") {
  EntryTerms terms;
  CHECK_FALSE(terms.isKeyRequired("host.example", "/a/x"));
  protocol::WorkflowAnswer closed = answerOf(3, "/a/", 700);
  closed.mutable_route()->set_key_required(true);
  terms.learn(closed);
  CHECK(terms.isKeyRequired("HOST.example:80", "/a/x"));
  CHECK_FALSE(terms.isKeyRequired("host.example", "/b/x"));
  // A queue with a longer prefix may be public.
  CHECK_FALSE(terms.isKeyRequired("host.example", "/a/b/x"));
  terms.learn(welcomeOf(4, 1000));
  CHECK_FALSE(terms.isKeyRequired("host.example", "/a/x"));
  terms.learn(closed);
  CHECK_FALSE(terms.isKeyRequired("host.example", "/a/x"));
  terms.learn(answerOf(4, "/a/", 700));
  CHECK_FALSE(terms.isKeyRequired("host.example", "/a/x"));
}
