#include <boost/test/unit_test.hpp>
#include <random>

#include "gateway/fleet-codec.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kNow{Millis{100'000}};
const InstanceId kHome("home");

RequestInfo SampleWork() {
  RequestInfo work;
  work.id = AttemptId("a1");
  work.service = ServiceName("s");
  work.organisation = OrganisationId("o");
  work.rank = 2;
  work.arrived = kNow - Millis{30};
  work.latency_objective = Millis{1'000};
  work.max_event_gap = Millis{250};
  work.patience = Millis{4'000};
  work.deadline = kNow + Millis{9'000};
  work.prompt_tokens = 6'610;
  work.output_tokens = 400;
  work.excluded_backends = {BackendId("b1"), BackendId("b2")};
  work.quota_cost = 9'510;
  work.fingerprint = 77;
  work.is_retry = true;
  work.is_retryable = true;
  work.route = "questions";
  return work;
}

std::vector<FleetMessage> Samples() {
  RunReport report;
  report.outcome = RunOutcome::kLost;
  report.first_event = Millis{90};
  report.event_gap_ms = 15.5;
  FleetMember record;
  record.id = InstanceId("i");
  record.data_centre = DataCentre("d");
  record.caller_address = {"10.0.0.1", 80};
  record.peer_address = {"10.0.0.1", 81};
  record.registration_revision = 42;
  record.is_alive = true;
  record.is_detached = true;
  return {SubmitMessage{SampleWork()},
          WithdrawMessage{AttemptId("a2")},
          FirstEventMessage{AttemptId("a3"), Millis{12}},
          ReleaseRunMessage{AttemptId("a4"), report},
          AvoidMessage{BackendId("b"), Millis{500}, true},
          SyncWorkMessage{{SampleWork()}, {{SampleWork(), BackendId("b"), false}}},
          GrantWorkMessage{AttemptId("a5"), BackendId("b")},
          RefuseWorkMessage{AttemptId("a6"), RefusalReason::kQuota, Millis{321}},
          ViewMessage{{record}},
          ProbeMessage{123'456, true},
          ConfirmMessage{123'456, 9, Millis{40}, 11, Millis{50}},
          ObjectMessage{ObjectKind::kBackends, "e", 12, false, "{}", "[]", 11}};
}

}  // namespace

// Guards against a field that is lost or swapped between two instances.
BOOST_AUTO_TEST_CASE(AllMessagesComeBack) {
  const auto decoded = DecodeFleet(EncodeFleet(Samples(), kNow), kHome, kNow);
  BOOST_REQUIRE(IsOk(decoded));
  const auto& messages = std::get<0>(decoded);
  BOOST_REQUIRE(messages.size() == Samples().size());
  const RequestInfo& work = std::get<SubmitMessage>(messages[0]).work;
  const RequestInfo expected = SampleWork();
  BOOST_TEST(work.id == expected.id);
  BOOST_TEST(work.home == kHome);
  BOOST_TEST(work.rank == expected.rank);
  BOOST_TEST((work.arrived == expected.arrived));
  BOOST_TEST((work.deadline == expected.deadline));
  BOOST_TEST((work.patience == expected.patience));
  BOOST_TEST((work.max_event_gap == expected.max_event_gap));
  BOOST_TEST(work.prompt_tokens == expected.prompt_tokens);
  BOOST_TEST(work.output_tokens == expected.output_tokens);
  BOOST_TEST((work.excluded_backends == expected.excluded_backends));
  BOOST_TEST(work.quota_cost == expected.quota_cost);
  BOOST_TEST(work.fingerprint == expected.fingerprint);
  BOOST_TEST(work.is_retry);
  BOOST_TEST(work.is_retryable);
  BOOST_TEST(work.route == expected.route);
  const RunReport& report = std::get<ReleaseRunMessage>(messages[3]).report;
  BOOST_TEST((report.outcome == RunOutcome::kLost));
  BOOST_TEST((report.first_event == Millis{90}));
  BOOST_TEST(*report.event_gap_ms == 15.5);
  BOOST_TEST(std::get<AvoidMessage>(messages[4]).is_unreachable);
  const auto& sync = std::get<SyncWorkMessage>(messages[5]);
  BOOST_TEST(sync.waiting.size() == 1U);
  BOOST_TEST(!sync.running.at(0).is_prefilling);
  BOOST_TEST((std::get<RefuseWorkMessage>(messages[7]).reason == RefusalReason::kQuota));
  const FleetMember& record = std::get<ViewMessage>(messages[8]).records.at(0);
  BOOST_TEST(record.registration_revision == 42U);
  BOOST_TEST(record.is_detached);
  BOOST_TEST(!record.is_leaving);
  BOOST_TEST(std::get<ProbeMessage>(messages[9]).has_store);
  BOOST_TEST((std::get<ConfirmMessage>(messages[10]).backends_age == Millis{50}));
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).spec == "{}");
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).patch == "[]");
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).base_revision == 11U);
}

// Guards against crashes and reads out of bounds on payloads of a faulty sender.
BOOST_AUTO_TEST_CASE(DamagedPayloadsAreRefused) {
  std::mt19937 random(20261204);
  const std::string sample = EncodeFleet(Samples(), kNow);
  for (int round = 0; round < 30'000; ++round) {
    std::string payload = sample;
    const int changes = 1 + static_cast<int>(random() % 6);
    for (int i = 0; i < changes; ++i)
      payload[random() % payload.size()] = static_cast<char>(random() % 256);
    if (round % 5 == 0) payload.resize(random() % payload.size());
    const auto decoded = DecodeFleet(payload, kHome, kNow);
    if (IsOk(decoded)) BOOST_TEST(std::get<0>(decoded).size() <= payload.size());
  }
}

}  // namespace bluebellpass::gateway
