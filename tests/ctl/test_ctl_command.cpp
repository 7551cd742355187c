#include "masticwinch/ctl/ctl_command.hpp"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace masticwinch::ctl;

namespace {

CellRequest buildFrom(const std::vector<std::string> &words,
                      const CtlFlags &flags = {}) {
  CtlArguments arguments;
  const CtlCommand *command = findCommand(words, arguments);
  REQUIRE(command != nullptr);
  return command->Build(arguments, flags);
}

} // namespace

TEST_CASE("Commands become requests to the operators' interface", "[ctl]") {
  CHECK(buildFrom({"profile", "list"}).Path == "/v1/profiles");
  CHECK(buildFrom({"profile", "history", "a"}).Path ==
        "/v1/profiles/a/history");
  const CellRequest drain = buildFrom({"vm", "drain", "worker-1"});
  CHECK(drain.Method == "PUT");
  CHECK(drain.Path == "/v1/vms/worker-1/drain");
}

TEST_CASE("The expected version goes into the query", "[ctl]") {
  CtlFlags flags;
  flags.ExpectVersion = 7;
  CHECK(buildFrom({"profile", "retire", "a"}, flags).Path ==
        "/v1/profiles/a?expect_version=7");
}

TEST_CASE("Names are encoded, so that they can't change the path", "[ctl]") {
  CHECK(buildFrom({"profile", "show", "a/../b?c"}).Path ==
        "/v1/profiles/a%2F..%2Fb%3Fc");
}

TEST_CASE("Unknown commands and wrong numbers of arguments are not found",
          "[ctl]") {
  CtlArguments arguments;
  CHECK(findCommand({"profile"}, arguments) == nullptr);
  CHECK(findCommand({"profile", "show"}, arguments) == nullptr);
  CHECK(findCommand({"profile", "show", "a", "b"}, arguments) == nullptr);
}

TEST_CASE("A file that can't be read is an error", "[ctl]") {
  CHECK_THROWS_AS(buildFrom({"job", "submit", "/nonexistent/job.json"}),
                  std::runtime_error);
}
