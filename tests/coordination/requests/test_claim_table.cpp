#include "masticwinch/coordination/requests/claim_table.hpp"
#include "masticwinch/coordination/requests/idempotency_key.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;

namespace {

constexpr std::uint64_t Start = 1'000'000'000;

protocol::ClaimOwner owner(const std::string &entry, std::uint64_t request) {
  protocol::ClaimOwner out;
  out.set_entry(entry);
  out.set_incarnation(1);
  out.set_request(request);
  return out;
}

protocol::ClaimId idOf(const std::string &caller, const std::string &key) {
  protocol::ClaimId id;
  id.set_caller(caller);
  id.set_key(key);
  return id;
}

struct Fixture {
  ClaimTable Table{ClaimTableLimits{.WindowMillis = 1000,
                                    .MaxClockSkewMillis = 100,
                                    .MaxClaims = 3,
                                    .MaxAnswerBytes = 4}};
  std::uint64_t Now = Start;
  std::uint64_t Batches = 0;

  std::vector<protocol::ClaimResult>
  apply(const protocol::ClaimChange &change) {
    protocol::ClaimBatch batch;
    *batch.add_changes() = change;
    batch.set_entry("sender");
    batch.set_number(++Batches);
    return Table.apply(batch, Now, [](const protocol::ClaimOwner &it) {
      return it.entry() != "stranger";
    });
  }

  protocol::ClaimResult claim(const protocol::ClaimId &id,
                              const protocol::ClaimOwner &by,
                              std::uint64_t hash = 7,
                              std::uint64_t madeAt = 0) {
    protocol::ClaimChange change;
    *change.mutable_claim()->mutable_id() = id;
    *change.mutable_claim()->mutable_owner() = by;
    change.mutable_claim()->set_body_hash(hash);
    change.mutable_claim()->set_made_at_unix_ms(madeAt);
    return apply(change).at(0);
  }

  void complete(const protocol::ClaimId &id, const protocol::ClaimOwner &by,
                const std::string &body) {
    protocol::ClaimChange change;
    *change.mutable_complete()->mutable_id() = id;
    *change.mutable_complete()->mutable_owner() = by;
    change.mutable_complete()->mutable_answer()->set_status(200);
    change.mutable_complete()->mutable_answer()->set_body(body);
    apply(change);
  }

  void release(const protocol::ClaimId &id, const protocol::ClaimOwner &by) {
    protocol::ClaimChange change;
    *change.mutable_release()->mutable_id() = id;
    *change.mutable_release()->mutable_owner() = by;
    apply(change);
  }
};

} // namespace

TEST_CASE("A key is claimed by one request only", "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  CHECK(f.claim(id, owner("a", 1)).verdict() == protocol::CLAIM_GRANTED);
  CHECK(f.claim(id, owner("a", 1)).verdict() == protocol::CLAIM_GRANTED);
  CHECK(f.claim(id, owner("b", 1)).verdict() == protocol::CLAIM_IN_PROGRESS);
  CHECK(f.claim(id, owner("a", 2)).verdict() == protocol::CLAIM_IN_PROGRESS);
}

TEST_CASE("Equal keys of different callers don't collide",
          "[requests][claims]") {
  Fixture f;
  CHECK(f.claim(idOf("a", "bc"), owner("e", 1)).verdict() ==
        protocol::CLAIM_GRANTED);
  CHECK(f.claim(idOf("ab", "c"), owner("e", 2)).verdict() ==
        protocol::CLAIM_GRANTED);
}

TEST_CASE("A resend gets the stored answer", "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  f.claim(id, owner("a", 1));
  f.complete(id, owner("a", 1), "12");
  f.release(id, owner("a", 1));

  const protocol::ClaimResult again = f.claim(id, owner("b", 9));

  CHECK(again.verdict() == protocol::CLAIM_ANSWERED);
  CHECK(again.answer().body() == "12");
  CHECK(f.claim(id, owner("b", 9), 8).verdict() ==
        protocol::CLAIM_BODY_DIFFERS);
}

TEST_CASE("A long answer is remembered without its body",
          "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  f.claim(id, owner("a", 1));
  f.complete(id, owner("a", 1), "12345");

  const protocol::ClaimResult again = f.claim(id, owner("b", 1));

  CHECK(again.verdict() == protocol::CLAIM_ANSWERED);
  CHECK(again.answer().not_kept());
  CHECK(again.answer().body().empty());
}

TEST_CASE("Only its owner can end a claim", "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  f.claim(id, owner("a", 1));
  f.release(id, owner("b", 1));
  f.complete(id, owner("b", 1), "x");
  CHECK(f.claim(id, owner("c", 1)).verdict() == protocol::CLAIM_IN_PROGRESS);

  f.release(id, owner("a", 1));
  CHECK(f.claim(id, owner("c", 1)).verdict() == protocol::CLAIM_GRANTED);
}

TEST_CASE("The outcomes of a dead entry VM's claims are unknown",
          "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  f.claim(id, owner("a", 1));
  f.Table.markClaimsUnknown("a", 1);
  CHECK(f.claim(id, owner("b", 1)).verdict() == protocol::CLAIM_UNKNOWN);

  SECTION("but its late answer is still stored") {
    f.complete(id, owner("a", 1), "x");
    CHECK(f.claim(id, owner("b", 1)).verdict() == protocol::CLAIM_ANSWERED);
  }
}

TEST_CASE("A resent batch is not applied again", "[requests][claims]") {
  ClaimTable table;
  protocol::ClaimBatch first;
  first.set_entry("a");
  first.set_number(1);
  *first.add_changes()->mutable_claim()->mutable_id() = idOf("c", "k");
  protocol::ClaimBatch second = first;
  second.set_number(2);
  *second.mutable_changes(0)->mutable_release()->mutable_id() = idOf("c", "k");
  const auto anyone = [](const protocol::ClaimOwner &) { return true; };
  REQUIRE(table.apply(first, Start, anyone).size() == 1);
  CHECK(table.apply(first, Start, anyone).size() == 1);
  table.apply(second, Start, anyone);

  CHECK(table.apply(first, Start, anyone).empty());
  CHECK(table.size() == 0);
}

TEST_CASE("Only members of the cell can claim keys", "[requests][claims]") {
  Fixture f;
  CHECK(f.claim(idOf("c", "k"), owner("stranger", 1)).verdict() ==
        protocol::CLAIM_OWNER_GONE);
  CHECK(f.Table.size() == 0);
}

TEST_CASE("A key with a creation time is never granted again after its record "
          "expired",
          "[requests][claims]") {
  Fixture f;
  const auto id = idOf("coulee", "k");
  const std::uint64_t madeAt = Start + GENERATE(0, 60, 100);
  REQUIRE(f.claim(id, owner("a", 1), 7, madeAt).verdict() ==
          protocol::CLAIM_GRANTED);
  f.complete(id, owner("a", 1), "x");
  bool expired = false;
  for (std::uint64_t passed = 0; passed <= 2000; passed += 10) {
    f.Now = Start + passed;
    const auto verdict = f.claim(id, owner("b", passed), 7, madeAt).verdict();
    expired = expired || verdict == protocol::CLAIM_OUTSIDE_WINDOW;
    CHECK(verdict != protocol::CLAIM_GRANTED);
  }
  CHECK(expired);
}

TEST_CASE("A full table refuses new keys and keeps the existing ones",
          "[requests][claims]") {
  Fixture f;
  for (const char *key : {"1", "2", "3"}) {
    f.claim(idOf("c", key), owner("a", 1));
  }
  CHECK(f.claim(idOf("c", "4"), owner("a", 2)).verdict() ==
        protocol::CLAIM_TABLE_FULL);
  CHECK(f.claim(idOf("c", "1"), owner("a", 2)).verdict() ==
        protocol::CLAIM_IN_PROGRESS);
}

TEST_CASE("A restored table behaves like the original", "[requests][claims]") {
  Fixture f;
  f.claim(idOf("c", "1"), owner("a", 1));
  f.complete(idOf("c", "1"), owner("a", 1), "x");
  f.Now += 500;
  f.claim(idOf("c", "2"), owner("a", 2));
  protocol::CellSnapshot snapshot;
  f.Table.save(snapshot);
  Fixture g;
  g.Table.restore(snapshot);
  g.Batches = f.Batches;
  g.Now = f.Now = Start + 1200;

  for (const char *key : {"1", "2", "3"}) {
    CHECK(f.claim(idOf("c", key), owner("b", 1)).SerializeAsString() ==
          g.claim(idOf("c", key), owner("b", 1)).SerializeAsString());
  }
  CHECK(f.Table.size() == g.Table.size());
}

TEST_CASE("The creation time is read from version 7 UUIDs and leading digits",
          "[requests][claims]") {
  CHECK(keyCreationTime("018bcfe5-6800-7abc-8000-000000000000") ==
        std::uint64_t{0x018bcfe56800});
  CHECK(keyCreationTime("1700000000000-order-17") ==
        std::uint64_t{1700000000000});
  CHECK_FALSE(keyCreationTime("018bcfe5-6800-4abc-8000-000000000000"));
  CHECK_FALSE(keyCreationTime("order-17"));
  CHECK_FALSE(keyCreationTime(""));
}
