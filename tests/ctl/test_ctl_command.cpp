#include "masticwinch/ctl/ctl_command.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace masticwinch::ctl;

namespace {

CellRequest buildRequest(const std::vector<std::string> &words,
                         const CtlFlags &flags = {}) {
  CtlArguments arguments;
  const CtlCommand *command = findCommand(words, arguments);
  REQUIRE(command != nullptr);
  return command->Build(arguments, flags);
}

} // namespace

TEST_CASE("Commands are translated to requests of the operators' interface",
          "[ctl]") {
  CHECK(buildRequest({"profile", "list"}).Path == "/v1/profiles");
  CHECK(buildRequest({"profile", "history", "a"}).Path ==
        "/v1/profiles/a/history");
  const CellRequest drain = buildRequest({"vm", "drain", "worker-1"});
  CHECK(drain.Method == "PUT");
  CHECK(drain.Path == "/v1/vms/worker-1/drain");
}

TEST_CASE("The expected version is sent in the query string", "[ctl]") {
  CtlFlags flags;
  flags.ExpectVersion = 7;
  CHECK(buildRequest({"profile", "retire", "a"}, flags).Path ==
        "/v1/profiles/a?expect_version=7");
}

TEST_CASE("Names are percent-encoded in paths", "[ctl]") {
  CHECK(buildRequest({"profile", "show", "a/../b?c"}).Path ==
        "/v1/profiles/a%2F..%2Fb%3Fc");
}

TEST_CASE("Unknown commands and wrong numbers of arguments match no command",
          "[ctl]") {
  CtlArguments arguments;
  CHECK(findCommand({"profile"}, arguments) == nullptr);
  CHECK(findCommand({"profile", "show"}, arguments) == nullptr);
  CHECK(findCommand({"profile", "show", "a", "b"}, arguments) == nullptr);
}

TEST_CASE("A file that can't be read is an error", "[ctl]") {
  CHECK_THROWS_AS(buildRequest({"job", "submit", "/nonexistent/job.json"}),
                  std::runtime_error);
}
