#include "masticwinch/coordination/cell/configuration.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::cell;

namespace {

protocol::ConfigItem vmItem(const std::string &name, bool draining,
                            std::uint64_t revision = 0) {
  protocol::ConfigItem item;
  item.mutable_vm()->set_name(name);
  item.mutable_vm()->set_draining(draining);
  item.set_revision(revision);
  return item;
}

} // namespace

TEST_CASE("Changes since a revision contain each item once", "[cell]") {
  Configuration configuration;
  configuration.put(vmItem("a", true));
  configuration.put(vmItem("b", true));
  configuration.put(vmItem("a", false));

  const auto changes = configuration.changesSince(1);
  REQUIRE(changes.size() == 2);
  CHECK(changes[0]->vm().name() == "b");
  CHECK(changes[1]->vm().name() == "a");
  CHECK(changes[1]->revision() == 3);
}

TEST_CASE("Late and reordered updates never lower a revision", "[cell]") {
  Configuration configuration;
  REQUIRE(configuration.merge({vmItem("a", false, 5)}, 0, 5));

  CHECK_FALSE(configuration.merge({vmItem("a", true, 3)}, 0, 3));
  CHECK_FALSE(configuration.merge({vmItem("a", true, 5)}, 0, 5));
  CHECK(
      configuration.merge({vmItem("a", true, 4), vmItem("b", true, 6)}, 3, 6));
  CHECK_FALSE(configuration.find({ConfigKind::Vm, "a"})->vm().draining());
  CHECK(configuration.revision() == 6);
}

TEST_CASE("An update that skips earlier changes is not merged", "[cell]") {
  Configuration configuration;
  REQUIRE(configuration.merge({vmItem("a", false, 5)}, 0, 5));

  CHECK_FALSE(configuration.merge({vmItem("b", true, 8)}, 7, 8));
  CHECK(configuration.revision() == 5);
  CHECK(configuration.merge({vmItem("b", true, 8)}, 5, 8));
}
