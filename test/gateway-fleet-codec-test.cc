#include <boost/test/unit_test.hpp>
#include <random>
#include <tuple>

#include "gateway/fleet/fleet-codec.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kNow{Millis{100'000}};
const InstanceId kHome("home");

RequestInfo SampleRequest() {
  RequestInfo request;
  request.id = AttemptId("a1");
  request.service = ServiceName("s");
  request.organisation = OrganisationId("o");
  request.rank = 2;
  request.arrived = kNow - Millis{30};
  request.latency_objective = Millis{1'000};
  request.max_event_gap = Millis{250};
  request.patience = Millis{4'000};
  request.deadline = kNow + Millis{9'000};
  request.prompt_tokens = 6'610;
  request.output_tokens = 400;
  request.excluded_backends = {BackendId("b1"), BackendId("b2")};
  request.quota_cost = 9'510;
  request.fingerprint = 77;
  request.shared_parts = {Fingerprint(8), Fingerprint(9)};
  request.is_retry = true;
  request.is_retryable = true;
  request.route = "questions";
  request.stream_lifetime = Millis{25'000};
  request.stream = AttemptId("a0");
  request.is_taken_up = true;
  request.version = SoftwareVersion("v2");
  return request;
}

std::vector<FleetMessage> SampleMessages() {
  RunReport report;
  report.outcome = RunOutcome::kLost;
  report.time_to_first_event = Millis{90};
  report.event_gap_ms = 15.5;
  FleetMember member;
  member.id = InstanceId("i");
  member.data_centre = DataCentre("d");
  member.caller_address = {"10.0.0.1", 80};
  member.peer_address = {"10.0.0.1", 81};
  member.registration_revision = 42;
  member.is_alive = true;
  member.has_lost_store = true;
  CrashRecord crash;
  crash.backend = {BackendId("b"), 17};
  crash.at = kNow - Millis{250};
  crash.is_confirmed = true;
  crash.suspects = {Fingerprint(5), Fingerprint(6)};
  return {
      SubmitMessage{SampleRequest()},
      WithdrawMessage{AttemptId("a2")},
      FirstEventMessage{AttemptId("a3"), SoftwareVersion("v2"), Millis{12}},
      ReleaseRunMessage{AttemptId("a4"), report},
      AvoidBackendMessage{BackendId("b"), Millis{500}, true, RejectionReport{3, true}},
      SyncRequestsMessage{{SampleRequest()},
                          {{SampleRequest(), BackendId("b"), false}},
                          {{{OrganisationId("o"), kNow - Millis{600}, 2.5}}, Millis{7'000}, 0.25}},
      GrantedMessage{AttemptId("a5"), BackendId("b"), SoftwareVersion("v3")},
      RefusedMessage{AttemptId("a6"), RefusalReason::kQuota, Millis{321}},
      MembersMessage{{member}},
      ProbeMessage{123'456, true},
      ConfirmMessage{123'456, 9, Millis{40}, 11, Millis{50}},
      ObjectMessage{ObjectKind::kBackends, "e", 12, false, "{}", "[]", 11},
      CrashesMessage{{{crash}, {{Fingerprint(7), kNow - Millis{70}}}}},
      StateRequestMessage{ObjectKind::kRollouts, 5, 30, {{"main", 28}}, true, true},
      StatePieceMessage{ObjectKind::kBackends, 6, 2, 900, std::string("a\0b", 3)},
      StreamsMessage{{{{ServiceName("s"), SoftwareVersion("v1")},
                       {{Fingerprint(~0ULL), kNow + Millis{700}}, {Fingerprint(4), kNow}}}}}};
}

/// Encodes a message and decodes it again.
template <class Message>
Message RoundTrip(const Message& message) {
  const auto decoded = DecodeFleetMessages(EncodeFleetMessages({message}, kNow), kHome, kNow);
  BOOST_REQUIRE(IsOk(decoded));
  return std::get<Message>(std::get<0>(decoded).at(0));
}

}  // namespace

// Guards against fields that are lost or swapped between encoding and decoding.
BOOST_AUTO_TEST_CASE(AllMessagesRoundTrip) {
  const auto decoded =
      DecodeFleetMessages(EncodeFleetMessages(SampleMessages(), kNow), kHome, kNow);
  BOOST_REQUIRE(IsOk(decoded));
  const auto& messages = std::get<0>(decoded);
  BOOST_REQUIRE(messages.size() == SampleMessages().size());
  const RequestInfo& request = std::get<SubmitMessage>(messages[0]).request;
  const RequestInfo expected = SampleRequest();
  BOOST_TEST(request.id == expected.id);
  BOOST_TEST(request.home == kHome);
  BOOST_TEST(request.rank == expected.rank);
  BOOST_TEST((request.arrived == expected.arrived));
  BOOST_TEST((request.deadline == expected.deadline));
  BOOST_TEST((request.patience == expected.patience));
  BOOST_TEST((request.max_event_gap == expected.max_event_gap));
  BOOST_TEST(request.prompt_tokens == expected.prompt_tokens);
  BOOST_TEST(request.output_tokens == expected.output_tokens);
  BOOST_TEST((request.excluded_backends == expected.excluded_backends));
  BOOST_TEST(request.quota_cost == expected.quota_cost);
  BOOST_TEST(request.fingerprint == expected.fingerprint);
  BOOST_TEST((request.shared_parts == expected.shared_parts));
  BOOST_TEST(request.is_retry);
  BOOST_TEST(request.is_retryable);
  BOOST_TEST(request.route == expected.route);
  const auto& event = std::get<FirstEventMessage>(messages[2]);
  BOOST_TEST((event.version == SoftwareVersion("v2")));
  BOOST_TEST((event.time_to_first_event == Millis{12}));
  const RunReport& report = std::get<ReleaseRunMessage>(messages[3]).report;
  BOOST_TEST((report.outcome == RunOutcome::kLost));
  BOOST_TEST((report.time_to_first_event == Millis{90}));
  BOOST_TEST(*report.event_gap_ms == 15.5);
  const auto& avoid = std::get<AvoidBackendMessage>(messages[4]);
  BOOST_TEST(avoid.is_unreachable);
  BOOST_REQUIRE(avoid.rejections.has_value());
  BOOST_TEST((avoid.rejections->limit_per_s == 3));
  BOOST_TEST(avoid.rejections->was_rejected);
  const auto& sync = std::get<SyncRequestsMessage>(messages[5]);
  BOOST_TEST(sync.waiting.size() == 1U);
  BOOST_TEST(!sync.running.at(0).is_prefilling);
  BOOST_TEST(sync.quota_report.granted.at(0).organisation == OrganisationId("o"));
  BOOST_TEST((sync.quota_report.granted.at(0).at == kNow - Millis{600}));
  BOOST_TEST(sync.quota_report.granted.at(0).cost == 2.5);
  BOOST_TEST((sync.quota_report.remembered == Millis{7'000}));
  BOOST_TEST(sync.quota_report.max_omitted_ratio == 0.25);
  BOOST_TEST((std::get<RefusedMessage>(messages[7]).reason == RefusalReason::kQuota));
  const FleetMember& member = std::get<MembersMessage>(messages[8]).members.at(0);
  BOOST_TEST(member.registration_revision == 42U);
  BOOST_TEST(member.has_lost_store);
  BOOST_TEST(!member.is_leaving);
  BOOST_TEST(std::get<ProbeMessage>(messages[9]).has_store_contact);
  BOOST_TEST((std::get<ConfirmMessage>(messages[10]).backends_age == Millis{50}));
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).spec == "{}");
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).patch == "[]");
  BOOST_TEST(std::get<ObjectMessage>(messages[11]).base_revision == 11U);
  const CrashUpdate& crashes = std::get<CrashesMessage>(messages[12]).update;
  const CrashRecord& crash = crashes.records.at(0);
  BOOST_TEST((crash.backend == BackendStart{BackendId("b"), 17}));
  BOOST_TEST((crash.at == kNow - Millis{250}));
  BOOST_TEST(crash.is_confirmed);
  BOOST_TEST((crash.suspects == std::set{Fingerprint(5), Fingerprint(6)}));
  BOOST_TEST((crashes.cleared.at(0).content == Fingerprint(7)));
  BOOST_TEST((crashes.cleared.at(0).at == kNow - Millis{70}));
  const auto& state_request = std::get<StateRequestMessage>(messages[13]);
  BOOST_TEST((state_request.kind == ObjectKind::kRollouts));
  BOOST_TEST(state_request.id == 5U);
  BOOST_TEST(state_request.revision == 30U);
  BOOST_TEST(state_request.held.at(0).name == "main");
  BOOST_TEST(state_request.held.at(0).revision == 28U);
  BOOST_TEST(state_request.holds_all);
  BOOST_TEST(state_request.is_whole);
  const auto& piece = std::get<StatePieceMessage>(messages[14]);
  BOOST_TEST((piece.kind == ObjectKind::kBackends));
  BOOST_TEST(piece.id == 6U);
  BOOST_TEST(piece.index == 2U);
  BOOST_TEST(piece.total_bytes == 900U);
  BOOST_TEST(piece.bytes == std::string("a\0b", 3));
}

// Guards against a stranded instance that others take for one without the store or one that leaves.
BOOST_AUTO_TEST_CASE(StatesOfMembersRoundTrip) {
  for (bool FleetMember::*const state :
       {&FleetMember::is_alive, &FleetMember::is_leaving, &FleetMember::has_lost_store,
        &FleetMember::has_lost_backends, &FleetMember::is_removed}) {
    FleetMember member;
    member.id = InstanceId("i");
    member.*state = true;
    const MembersMessage decoded = RoundTrip(MembersMessage{{member, FleetMember{}}});
    BOOST_REQUIRE(decoded.members.size() == 2U);
    const auto states = [](const FleetMember& of) {
      return std::tuple(of.is_alive, of.is_leaving, of.has_lost_store, of.has_lost_backends,
                        of.is_removed);
    };
    BOOST_TEST((states(decoded.members[0]) == states(member)));
    BOOST_TEST((states(decoded.members[1]) == states(FleetMember{})));
  }
}

// Guards against the same, and against crashes on malformed bytes, in the content of a transfer.
BOOST_AUTO_TEST_CASE(StateContentRoundTrip) {
  StateContent content;
  content.revision = 40;
  content.age = Millis{1'200};
  content.objects = {{ObjectKind::kConfig, "main", 40, false, "", "[]", 28, "{}", 9}};
  content.has_names = true;
  content.names = {"main", "other"};
  const std::string bytes = EncodeStateContent(content);
  const auto decoded = DecodeStateContent(bytes);
  BOOST_REQUIRE(IsOk(decoded));
  const auto& copy = std::get<StateContent>(decoded);
  BOOST_TEST(copy.revision == 40U);
  BOOST_TEST((copy.age == Millis{1'200}));
  BOOST_TEST(copy.objects.at(0).name == "main");
  BOOST_TEST(copy.objects.at(0).patch == "[]");
  BOOST_TEST(copy.objects.at(0).base_revision == 28U);
  BOOST_TEST(copy.objects.at(0).created == 9U);
  BOOST_TEST(copy.has_names);
  BOOST_TEST(copy.names == content.names, boost::test_tools::per_element());
  std::mt19937 random(5);
  for (int round = 0; round < 10'000; ++round) {
    std::string damaged = bytes;
    damaged[random() % damaged.size()] = static_cast<char>(random() % 256);
    if (round % 5 == 0) damaged.resize(random() % damaged.size());
    const auto result = DecodeStateContent(damaged);
    if (IsOk(result)) BOOST_TEST(std::get<0>(result).objects.size() <= damaged.size());
  }
}

// Guards against a stream that is continued elsewhere because its fields were lost or confused on
// the way, and against a version that is set for a request that states none.
BOOST_AUTO_TEST_CASE(StreamFieldsOfRequestsRoundTrip) {
  const RequestInfo request = RoundTrip(SubmitMessage{SampleRequest()}).request;
  BOOST_TEST((request.stream_lifetime == Millis{25'000}));
  BOOST_TEST(request.stream == AttemptId("a0"));
  BOOST_TEST(request.is_taken_up);
  BOOST_TEST((request.version == SoftwareVersion("v2")));
  RequestInfo first;
  first.id = AttemptId("a1");
  first.stream = first.id;
  first.deadline = kNow;
  first.version = SoftwareVersion();
  const RequestInfo unnamed = RoundTrip(SubmitMessage{first}).request;
  BOOST_TEST(unnamed.stream == first.id);
  BOOST_TEST(!unnamed.is_taken_up);
  BOOST_TEST((unnamed.stream_lifetime == Millis{0}));
  BOOST_TEST((unnamed.version == SoftwareVersion()));
  first.version.reset();
  BOOST_TEST(!RoundTrip(SubmitMessage{first}).request.version.has_value());
  GrantedMessage granted{AttemptId("a5"), BackendId("b"), SoftwareVersion("v3")};
  BOOST_TEST((RoundTrip(granted).version == SoftwareVersion("v3")));
  granted.version.reset();
  BOOST_TEST(!RoundTrip(granted).version.has_value());
}

// Guards against streams that change their origin on the way, and against a faulty sender that has
// them kept for longer than any caller can take them up.
BOOST_AUTO_TEST_CASE(StreamsRoundTrip) {
  const StreamOrigin unnamed{ServiceName("s"), SoftwareVersion()};
  const StreamOrigin named{ServiceName("s"), SoftwareVersion("v1")};
  const StreamRecords records =
      RoundTrip(StreamsMessage{{{named,
                                 {{Fingerprint(~0ULL), kNow + Millis{700}},
                                  {Fingerprint(4), kNow - Millis{9}}}},
                                {unnamed, {{Fingerprint(5), kNow + 2 * kMaxStreamLifetime}}}}})
          .records;
  BOOST_REQUIRE(records.size() == 2U);
  const auto& streams = records.at(named);
  BOOST_REQUIRE(streams.size() == 2U);
  BOOST_TEST((streams[0].stream == Fingerprint(~0ULL)));
  BOOST_TEST((streams[0].until == kNow + Millis{700}));
  BOOST_TEST((streams[1].until == kNow));
  BOOST_REQUIRE(records.at(unnamed).size() == 1U);
  BOOST_TEST((records.at(unnamed)[0].until == kNow + kMaxStreamLifetime));
  BOOST_TEST(RoundTrip(StreamsMessage{}).records.empty());
}

// Guards against crashes and out-of-bounds reads on payloads of a faulty sender.
BOOST_AUTO_TEST_CASE(CorruptPayloadsAreRejected) {
  std::mt19937 random(20261204);
  const std::string sample = EncodeFleetMessages(SampleMessages(), kNow);
  for (int round = 0; round < 30'000; ++round) {
    std::string payload = sample;
    const int changes = 1 + static_cast<int>(random() % 6);
    for (int i = 0; i < changes; ++i)
      payload[random() % payload.size()] = static_cast<char>(random() % 256);
    if (round % 5 == 0) payload.resize(random() % payload.size());
    const auto decoded = DecodeFleetMessages(payload, kHome, kNow);
    if (IsOk(decoded)) BOOST_TEST(std::get<0>(decoded).size() <= payload.size());
  }
}

}  // namespace bluebellpass::gateway
