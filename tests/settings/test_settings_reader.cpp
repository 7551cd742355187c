#include "masticwinch/settings/settings_reader.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

std::vector<SettingsProblem> problemsOf(const char *text) {
  const nlohmann::json json = nlohmann::json::parse(text);
  std::vector<SettingsProblem> problems;
  SettingsReader reader(json, "", problems);
  reader.requiredString("name");
  reader.requiredInteger("port", {1, 65535});
  reader.object("limits", [](SettingsReader &nested) {
    nested.optionalMilliseconds("timeout_ms", {1, 1000}, Milliseconds(10));
  });
  reader.finish();
  return problems;
}

} // namespace

TEST_CASE("Valid settings have no problems", "[settings]") {
  CHECK(problemsOf(R"({"name":"a","port":80})").empty());
}

TEST_CASE("Every problem is reported with its key path", "[settings]") {
  const auto problems = problemsOf(
      R"({"name":3,"port":70000,"limits":{"timeout_ms":"x","more":1},"odd":1})");
  std::vector<std::string> paths;
  for (const SettingsProblem &it : problems) {
    paths.push_back(it.KeyPath);
  }
  CHECK(paths == std::vector<std::string>{"/name", "/port",
                                          "/limits/timeout_ms", "/limits/more",
                                          "/odd"});
}

// Guards against a setting of another type or range that is taken as a number.
TEST_CASE("A number with a fraction is checked for its type and range",
          "[settings]") {
  const auto read = [](const char *text) {
    const nlohmann::json json = nlohmann::json::parse(text);
    std::vector<SettingsProblem> problems;
    SettingsReader reader(json, "", problems);
    const double value = reader.optionalDecimal("link", 0, 100, 7);
    return std::pair(value, problems.empty() ? "" : problems[0].Reason);
  };
  CHECK(read(R"({"link":1.5})") == std::pair(1.5, std::string()));
  CHECK(read(R"({"link":2})") == std::pair(2.0, std::string()));
  CHECK(read("{}") == std::pair(7.0, std::string()));
  CHECK(read(R"({"link":"2"})").second == "must be a number");
  CHECK(read(R"({"link":-1})").second == "must be from 0 to 100");
  CHECK(read(R"({"link":1e300})").second == "must be from 0 to 100");
}

TEST_CASE("A number beyond 64 bits is out of range", "[settings]") {
  const auto problems =
      problemsOf(R"({"name":"a","port":18446744073709551615})");
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].Reason == "must be from 1 to 65535");
}
