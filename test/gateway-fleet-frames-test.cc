#include <boost/test/unit_test.hpp>

#include "gateway/fleet/fleet-frames.h"

namespace bluebellpass::gateway {
namespace {

const TimePoint kNow{Millis{100'000}};
const InstanceId kHome("home");

/// Encodes messages into frames, as a link does, and decodes them again.
/// @param frame_count number of frames
std::vector<FleetMessage> Transmit(std::vector<FleetMessage> messages, std::size_t oversized = 0,
                                   std::size_t* frame_count = nullptr) {
  const FleetFrames frames = EncodeFleetFrames(std::move(messages), kNow);
  BOOST_TEST(frames.oversized.size() == oversized);
  if (frame_count != nullptr) *frame_count = frames.payloads.size();
  std::vector<FleetMessage> received;
  for (const std::string& payload : frames.payloads) {
    BOOST_TEST(IsOk(EncodeFrame({HybridTime(~0ULL), FleetFrame{payload}})));
    auto decoded = DecodeFleetMessages(payload, kHome, kNow);
    BOOST_REQUIRE(IsOk(decoded));
    for (FleetMessage& message : std::get<0>(decoded)) received.push_back(std::move(message));
  }
  return received;
}

ObjectMessage MakeObject(const std::string& name, std::size_t bytes) {
  return {ObjectKind::kBackends, name, 20, false, std::string(bytes, 'x'), "", 0, "{}", 3};
}

std::vector<RequestInfo> MakeRequests(std::size_t count) {
  std::vector<RequestInfo> requests(count);
  for (std::size_t i = 0; i < count; ++i) {
    requests[i].id = AttemptId("request-" + std::to_string(i));
    requests[i].deadline = kNow;
    requests[i].arrived = kNow;
  }
  return requests;
}

}  // namespace

// Guards against a frame that the link refuses, with messages of sizes around the bound: a refused
// object would count as applied.
BOOST_AUTO_TEST_CASE(ObjectsAroundTheBoundArrive) {
  const std::size_t overhead = EncodeFleetMessages({MakeObject("o", 1'000)}, kNow).size() - 1'000;
  const std::size_t largest = kMaxPayloadBytes - overhead;
  for (const std::size_t size : {largest - 8, largest, largest + 8, 3 * largest}) {
    const bool is_oversized = size > largest;
    const auto received = Transmit({MakeObject("o", size)}, is_oversized ? 1 : 0);
    BOOST_REQUIRE(received.size() == 1U);
    const auto& object = std::get<ObjectMessage>(received[0]);
    BOOST_TEST(object.spec.size() == (is_oversized ? 0U : size));
    BOOST_TEST(object.revision == 20U);
    BOOST_TEST(object.name == "o");
  }
}

// Guards against the loss of all changes of an iteration that together exceed the bound, and of
// messages beside one that does.
BOOST_AUTO_TEST_CASE(MessagesOfAnIterationAreSplit) {
  std::vector<FleetMessage> messages;
  messages.reserve(6);
  for (int i = 0; i < 4; ++i) messages.emplace_back(MakeObject(std::to_string(i), 900'000));
  messages.emplace_back(MakeObject("4", 5'000'000));
  messages.emplace_back(GrantedMessage{AttemptId("a"), BackendId("b")});
  const auto received = Transmit(std::move(messages), 1);
  BOOST_REQUIRE(received.size() == 6U);
  for (int i = 0; i < 5; ++i) {
    const auto& object = std::get<ObjectMessage>(received[static_cast<std::size_t>(i)]);
    BOOST_TEST(object.name == std::to_string(i));
    BOOST_TEST(object.spec.size() == (i < 4 ? 900'000U : 0U));
  }
  BOOST_TEST(std::get<GrantedMessage>(received[5]).id == AttemptId("a"));
}

// Guards against lists that are lost as a whole, or of which parts count as the whole.
BOOST_AUTO_TEST_CASE(LargeListsAreSplit) {
  for (const std::size_t count : {10U, 40'000U}) {
    std::size_t frames = 0;
    std::vector<RunningRequest> running;
    for (RequestInfo& request : MakeRequests(count))
      running.push_back({std::move(request), BackendId("b"), true});
    auto received = Transmit({SyncRequestsMessage{MakeRequests(count), running}}, 0, &frames);
    BOOST_TEST((frames > 1) == (count > 10));
    std::size_t waiting_count = 0;
    std::size_t running_count = 0;
    for (std::size_t i = 0; i < received.size(); ++i) {
      const auto& sync = std::get<SyncRequestsMessage>(received[i]);
      waiting_count += sync.waiting.size();
      running_count += sync.running.size();
      BOOST_TEST(sync.has_more == (i + 1 < received.size()));
    }
    BOOST_TEST(waiting_count == count);
    BOOST_TEST(running_count == count);

    MembersMessage members;
    for (std::size_t i = 0; i < count; ++i)
      members.members.push_back({InstanceId("member-" + std::to_string(i)), DataCentre("d")});
    std::size_t member_count = 0;
    for (const FleetMessage& message : Transmit({members}))
      member_count += std::get<MembersMessage>(message).members.size();
    BOOST_TEST(member_count == count);

    CrashesMessage crashes;
    for (std::size_t i = 0; i < count; ++i) {
      CrashRecord record;
      record.backend = {BackendId("backend-" + std::to_string(i)), 1};
      record.at = kNow;
      crashes.update.records.push_back(record);
      crashes.update.cleared.push_back({Fingerprint(i), kNow});
    }
    std::size_t record_count = 0;
    std::size_t cleared_count = 0;
    for (const FleetMessage& message : Transmit({crashes})) {
      record_count += std::get<CrashesMessage>(message).update.records.size();
      cleared_count += std::get<CrashesMessage>(message).update.cleared.size();
    }
    BOOST_TEST(record_count == count);
    BOOST_TEST(cleared_count == count);
  }
}

// Guards against streams that are lost, doubled or change their origin when a message is split.
BOOST_AUTO_TEST_CASE(LargeStreamListsAreSplit) {
  const ServiceName service("s");
  const std::map<StreamOrigin, std::size_t> counts = {{{service, SoftwareVersion("v1")}, 1},
                                                      {{service, SoftwareVersion("v2")}, 2},
                                                      {{service, SoftwareVersion("v3")}, 60'001},
                                                      {{service, SoftwareVersion("v4")}, 140'000}};
  StreamsMessage message;
  std::uint64_t next = 0;
  for (const auto& [origin, count] : counts)
    for (std::size_t i = 0; i < count; ++i)
      message.records[origin].push_back({Fingerprint(next++), kNow + Millis{500}});
  std::map<Fingerprint, StreamOrigin> received;
  std::size_t frames = 0;
  std::size_t total = 0;
  for (const FleetMessage& part : Transmit({message}, 0, &frames)) {
    for (const auto& [origin, records] : std::get<StreamsMessage>(part).records) {
      total += records.size();
      for (const StreamRecord& record : records) received.emplace(record.stream, origin);
    }
  }
  BOOST_TEST(frames > 1U);
  BOOST_TEST(total == next);
  BOOST_TEST(received.size() == next);
  std::size_t misplaced = 0;
  for (const auto& [origin, records] : message.records)
    for (const StreamRecord& record : records)
      if (received[record.stream] != origin) ++misplaced;
  BOOST_TEST(misplaced == 0U);
}

}  // namespace bluebellpass::gateway
