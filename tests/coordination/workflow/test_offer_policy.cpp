#include "masticwinch/coordination/workflow/offer_policy.hpp"

#include <catch2/catch.hpp>

using namespace masticwinch;
using namespace masticwinch::workflow;

namespace {

constexpr SteadyTime Start{std::chrono::seconds(100)};

protocol::WorkflowCall submissionOf(std::size_t payloadBytes) {
  protocol::WorkflowCall call;
  call.mutable_submit()->set_payload(std::string(payloadBytes, 'p'));
  return call;
}

OfferPolicy policyAfter(int refused, int accepted) {
  OfferPolicy policy;
  for (int i = 0; i < refused; ++i) {
    policy.answered(protocol::VERDICT_REFUSED, Start);
  }
  for (int i = 0; i < accepted; ++i) {
    policy.answered(protocol::VERDICT_OK, Start);
  }
  return policy;
}

} // namespace

TEST_CASE("Submissions are offered while half of the latest ones are refused",
          "[workflow]") {
  CHECK(policyAfter(4, 4).applies(submissionOf(2400), Start));
  CHECK(policyAfter(8, 0).applies(submissionOf(2400), Start));
  CHECK_FALSE(policyAfter(4, 5).applies(submissionOf(2400), Start));
  // Too few answers to tell.
  CHECK_FALSE(policyAfter(7, 0).applies(submissionOf(2400), Start));
}

TEST_CASE("Answers of more than a second ago don't cause offers",
          "[workflow]") {
  OfferPolicy policy = policyAfter(20, 0);
  CHECK(policy.applies(submissionOf(2400), Start + Milliseconds(1000)));
  CHECK_FALSE(policy.applies(submissionOf(2400), Start + Milliseconds(1001)));
}

TEST_CASE("Small payloads and other calls than submissions are not offered",
          "[workflow]") {
  OfferPolicy policy = policyAfter(20, 0);
  CHECK(policy.applies(submissionOf(512), Start));
  CHECK_FALSE(policy.applies(submissionOf(511), Start));
  protocol::WorkflowCall cancel;
  cancel.mutable_cancel();
  CHECK_FALSE(policy.applies(cancel, Start));
}

TEST_CASE("The number of answers that an entry VM remembers is bounded",
          "[workflow]") {
  OfferPolicyOptions options;
  options.MaxAnswers = 16;
  OfferPolicy policy(options);
  for (int i = 0; i < 1000; ++i) {
    policy.answered(protocol::VERDICT_OK, Start);
  }
  for (int i = 0; i < 8; ++i) {
    policy.answered(protocol::VERDICT_REFUSED, Start);
  }
  CHECK(policy.applies(submissionOf(2400), Start));
}

TEST_CASE("An offer states the size of the payload that it leaves out",
          "[workflow]") {
  protocol::WorkflowCall call = submissionOf(2400);
  call.mutable_submit()->add_steps()->set_count(3);
  removePayload(call);
  CHECK(call.offer());
  CHECK(call.payload_bytes() == 2400);
  CHECK(call.submit().payload().empty());
  CHECK(call.submit().steps_size() == 1);
}
