#include <boost/test/unit_test.hpp>
#include <csignal>
#include <nlohmann/json.hpp>
#include <set>

#include "gateway-process.h"
#include "platform/names.h"
#include "soak/engine-standin.h"
#include "soak/store-standin.h"
#include "standins/proxy.h"

/// Streams while backend servers of several software versions serve, whose texts do not fit
/// together.

namespace bluebellpass::test {
namespace {

namespace names = platform::names;
using nlohmann::json;

constexpr char kResumes[] = "Resumes";
constexpr Millis kStepTimeout{5'000};
// Until views are confirmed over the links, and long links count as such.
constexpr Millis kSettleTime{2'000};
// Until a change is read, and confirmed over a link.
constexpr Millis kConfirmTime{400};
// Longer than a watch waits, and than instances wait for a coordinator.
constexpr Millis kPause{2'500};
constexpr int kStreams = 12;

/// A stream as its caller sees it.
struct Stream {
  std::string id;  ///< of the attempt that brought its first event
  std::string version;
  std::unique_ptr<PendingCall> call;
  std::string taken_up_as;  ///< attempt that takes it up
};

struct Fixture : ClientFixture {
  StoreStandin store{loop, 1};
  Address store_address = store.Listen();
  std::string folder = MakeLogFolder("gateway-stream-version");
  std::vector<std::unique_ptr<GatewayProcess>> gateways;
  std::vector<std::unique_ptr<EngineStandin>> engines;
  std::map<std::string, std::string> version_of;  ///< by engine
  std::map<std::string, Address> address_of;      ///< by engine
  std::vector<SoakRun> runs;
  int request_count = 0;

  Fixture() {
    store.Put(names::kConfigKind, names::kConfigName,
              {{"version", 1},
               {"routes",
                {{{"name", "r"},
                  {"host", "h"},
                  {"path_prefix", "/stream/"},
                  {"type", "stream"},
                  {"resumable", true},
                  {"service", "s"},
                  {"attempts", 3},
                  {"goal_ms", 1'000},
                  {"gap_aim_ms", 500},
                  {"public", true}}}},
               {"services", {{{"name", "s"}, {"engine", {{"slots", 40}, {"stride", 1}}}}}}});
    for (const char* id : {"a", "b", "c"})
      gateways.push_back(std::make_unique<GatewayProcess>(folder, id, store_address));
  }

  /// @param id of equal engines, that with the lowest one gets the first requests
  void AddEngine(const std::string& id, const std::string& version) {
    engines.push_back(std::make_unique<EngineStandin>(
        loop, id, 40, [this](const SoakRun& run) { runs.push_back(run); }));
    version_of[id] = version;
    address_of[id] = engines.back()->Listen();
    Register(*engines.back(), version, 1);
  }
  /// @param report number of the engine's report, which rises with each
  void Register(const EngineStandin& engine, const std::string& version, int report) {
    store.Put(names::kBackendKind, engine.Id(),
              {{"service", "s"},
               {"addr", address_of.at(engine.Id()).Text()},
               {"slots", 40},
               {"state", "ready"},
               {"version", version},
               {"seq", report},
               {"born", 1'700'000'000'000}});
  }
  /// Starts gateways one after the other, so that the first one coordinates.
  void StartGateways() {
    for (const auto& gateway : gateways) StartGateway(*gateway);
    RunFor(kSettleTime);
  }
  void KillGateway(std::size_t index) { gateways[index]->process.Kill(); }

  /// Ends an engine with all its runs.
  void CrashEngine(std::size_t index) {
    store.Delete(names::kBackendKind, engines[index]->Id());
    engines[index]->Restart("gone");
  }

  /// Begins streams at a gateway and waits until each has events.
  std::vector<Stream> BeginStreams(std::size_t gateway, int count = kStreams) {
    std::vector<Stream> streams;
    while (static_cast<int>(streams.size()) < count) {
      Stream stream;
      stream.id = "s" + std::to_string(++request_count);
      // Short ones could end before they break off.
      if (EngineStandin::EventCountOf(stream.id) < 10) continue;
      stream.call = Send(gateways[gateway]->front, "POST", "/stream/x",
                         {{"Host", "h"}, {names::kAttempt, stream.id}, {"Content-Length", "0"}});
      streams.push_back(std::move(stream));
    }
    for (Stream& stream : streams) {
      BOOST_REQUIRE(RunUntil([&] { return stream.call->body.find("id: 2\n") != std::string::npos; },
                             kStepTimeout));
      stream.version = VersionsOfRuns(stream.id).empty() ? "" : *VersionsOfRuns(stream.id).begin();
    }
    return streams;
  }
  std::set<std::string> VersionsOfRuns(const std::string& request) const {
    std::set<std::string> versions;
    for (const SoakRun& run : runs)
      if (run.request_id == request) versions.insert(version_of.at(run.engine));
    return versions;
  }
  /// Takes streams up again at a gateway, as their callers do after a broken connection, and checks
  /// that none is joined from two versions.
  /// @return number of streams that go on
  int TakeUp(std::vector<Stream>& streams, std::size_t gateway) {
    int served = 0;
    for (Stream& stream : streams) {
      SendTakenUp(stream, gateway);
      served += CheckTakenUp(stream);
    }
    return served;
  }
  void SendTakenUp(Stream& stream, std::size_t gateway, bool use_new_connection = true) {
    stream.taken_up_as = "t" + std::to_string(++request_count);
    stream.call = Send(gateways[gateway]->front, "POST", "/stream/x",
                       {{"Host", "h"},
                        {names::kAttempt, stream.taken_up_as},
                        {names::kLastEventId, "2"},
                        {kResumes, stream.id},
                        {"Content-Length", "0"}},
                       use_new_connection);
  }
  /// @return 1 if the stream goes on
  int CheckTakenUp(const Stream& stream) {
    BOOST_TEST(RunUntil([&] { return stream.call->result.has_value(); }, kStepTimeout));
    const std::set<std::string> versions = VersionsOfRuns(stream.taken_up_as);
    const bool is_joined = !versions.empty() && versions != std::set{stream.version};
    BOOST_TEST(!is_joined, "stream " << stream.id << " of " << stream.version << " goes on at "
                                     << *versions.begin());
    BOOST_TEST((stream.call->Status() == 200 || stream.call->Status() == 503));
    return stream.call->Status() == 200 ? 1 : 0;
  }
  static void Disconnect(std::vector<Stream>& streams) {
    for (Stream& stream : streams) stream.call.reset();
  }
};

/// Two versions serve side by side, each at two engines.
struct MixedFixture : Fixture {
  MixedFixture() {
    for (const char* id : {"old-0", "old-1"}) AddEngine(id, "1");
    StartGateways();
  }
  /// Begins streams of both versions. Without regard to these, all would be taken up by the new
  /// one.
  std::vector<Stream> BeginStreamsOfBothVersions(std::size_t gateway) {
    std::vector<Stream> streams = BeginStreams(gateway, kStreams / 2);
    for (const char* id : {"new-0", "new-1"}) AddEngine(id, "2");
    RunFor(kSettleTime);
    for (Stream& stream : BeginStreams(gateway, kStreams / 2)) streams.push_back(std::move(stream));
    BOOST_REQUIRE(streams.front().version == "1");
    BOOST_REQUIRE(streams.back().version == "2");
    return streams;
  }
};

/// Two instances, of which the second one can be cut off from the first one and from the store.
struct CutFixture : Fixture {
  standin::Proxy store_proxy{loop, store_address};
  standin::Proxy link_proxy{loop, {"127.0.0.1", gateways[0]->peer_port}};

  CutFixture() {
    gateways[1] = std::make_unique<GatewayProcess>(
        folder, "b", std::get<Address>(store_proxy.Listen({"127.0.0.1", 0})));
    gateways.pop_back();
    AddEngine("old", "1");
    StartGateway(*gateways[0]);
    store.Put(names::kInstanceKind, "a",
              {{"data_centre", ""},
               {"caller_address", gateways[0]->front.Text()},
               {"peer_address", std::get<Address>(link_proxy.Listen({"127.0.0.1", 0})).Text()}});
    StartGateway(*gateways[1]);
    RunFor(kSettleTime);
  }
  /// Has the first instance, and over its link the second one, confirm its view anew.
  void ConfirmViews() {
    for (const int report : {2, 3}) {
      Register(*engines.front(), "1", report);
      RunFor(kConfirmTime);
    }
  }
  void Cut() {
    link_proxy.SetMode(standin::ProxyMode::kCut);
    store_proxy.SetMode(standin::ProxyMode::kSilent);
  }
};

}  // namespace

// Guards against an answer that goes on at another version when its server crashes.
BOOST_FIXTURE_TEST_CASE(AnswerIsNotContinuedByAnotherVersion, Fixture) {
  AddEngine("e0", "1");
  AddEngine("e1", "2");
  StartGateways();
  const auto streams = BeginStreams(1);
  CrashEngine(0);
  for (const Stream& stream : streams) {
    BOOST_TEST(RunUntil([&] { return stream.call->result.has_value(); }, kStepTimeout));
    BOOST_TEST(VersionsOfRuns(stream.id) == std::set<std::string>{"1"});
    BOOST_TEST((stream.call->result == PooledCallResult::kConnectionBroken));
  }
}

// Guards against an answer that breaks off though a server of its version could continue it.
BOOST_FIXTURE_TEST_CASE(AnswerIsContinuedByItsVersion, Fixture) {
  for (const char* id : {"e0", "e2"}) AddEngine(id, "1");
  AddEngine("e1", "2");
  StartGateways();
  const auto streams = BeginStreams(1);
  CrashEngine(0);
  for (const Stream& stream : streams) {
    BOOST_TEST(RunUntil([&] { return stream.call->result.has_value(); }, kStepTimeout));
    BOOST_TEST((stream.call->result == PooledCallResult::kComplete));
    BOOST_TEST(VersionsOfRuns(stream.id) == std::set<std::string>{"1"});
  }
}

// Guards against a stream that is taken up at another instance and goes on at another version.
BOOST_FIXTURE_TEST_CASE(StreamIsTakenUpByItsVersion, MixedFixture) {
  auto streams = BeginStreamsOfBothVersions(1);
  Disconnect(streams);
  BOOST_TEST(TakeUp(streams, 2) == kStreams);
}

// Guards against the same, and against streams that are lost, when the instance is lost that knew
// where they began.
BOOST_FIXTURE_TEST_CASE(StreamsOutliveTheCoordinator, MixedFixture) {
  auto streams = BeginStreamsOfBothVersions(0);
  KillGateway(0);
  Disconnect(streams);
  BOOST_TEST(TakeUp(streams, 2) == kStreams);
}

// Guards against the same when all instances are lost at once.
BOOST_FIXTURE_TEST_CASE(StreamsAreNotJoinedAfterLossOfAllInstances, MixedFixture) {
  auto streams = BeginStreamsOfBothVersions(1);
  for (std::size_t i = 0; i < gateways.size(); ++i) KillGateway(i);
  Disconnect(streams);
  StartGateways();
  TakeUp(streams, 2);
}

// Guards against the same when the version that began them has left meanwhile.
BOOST_FIXTURE_TEST_CASE(StreamsAreNotJoinedAfterTheirVersionHasLeft, MixedFixture) {
  auto streams = BeginStreamsOfBothVersions(1);
  for (std::size_t i = 0; i < gateways.size(); ++i) KillGateway(i);
  Disconnect(streams);
  for (const char* engine : {"old-0", "old-1"}) store.Delete(names::kBackendKind, engine);
  StartGateways();
  TakeUp(streams, 2);
}

// Guards against the same when another version comes and the first one leaves meanwhile.
BOOST_FIXTURE_TEST_CASE(StreamsAreNotJoinedAfterTheVersionIsReplaced, Fixture) {
  AddEngine("old", "1");
  StartGateways();
  auto streams = BeginStreams(1);
  for (std::size_t i = 0; i < gateways.size(); ++i) KillGateway(i);
  Disconnect(streams);
  store.Delete(names::kBackendKind, "old");
  AddEngine("new", "2");
  StartGateways();
  TakeUp(streams, 2);
}

// Guards against a stream that goes on at the only version that an instance knows, which was cut
// off while the version that began it came.
BOOST_FIXTURE_TEST_CASE(InstanceOutOfStepDoesNotJoinVersions, CutFixture) {
  ConfirmViews();
  Cut();
  AddEngine("new", "2");
  RunFor(kConfirmTime);
  auto streams = BeginStreams(0);
  BOOST_REQUIRE(streams.front().version == "2");
  Disconnect(streams);
  TakeUp(streams, 1);
}

// Guards against the same at a coordinator that stood still. What it reads first when it goes on
// has come later than its clock says.
BOOST_FIXTURE_TEST_CASE(InstanceThatStoodStillDoesNotJoinVersions, Fixture) {
  AddEngine("old", "1");
  StartGateways();
  // Their connections are kept.
  for (const Stream& stream : BeginStreams(0))
    BOOST_REQUIRE(RunUntil([&] { return stream.call->result.has_value(); }, kStepTimeout));
  gateways[0]->process.Signal(SIGSTOP);
  // Its watch is answered, without a change, and the others find a new coordinator.
  RunFor(kPause);
  AddEngine("new", "2");
  RunFor(kConfirmTime);
  auto streams = BeginStreams(1);
  BOOST_REQUIRE(streams.front().version == "2");
  Disconnect(streams);
  for (Stream& stream : streams) SendTakenUp(stream, 0, false);
  RunFor(kConfirmTime);
  gateways[0]->process.Signal(SIGCONT);
  for (const Stream& stream : streams) CheckTakenUp(stream);
}

// Guards against streams that are lost with all instances though there is only one version.
BOOST_FIXTURE_TEST_CASE(StreamsOfOneVersionOutliveAllInstances, Fixture) {
  for (const char* id : {"e0", "e1"}) AddEngine(id, "1");
  StartGateways();
  auto streams = BeginStreams(1);
  for (std::size_t i = 0; i < gateways.size(); ++i) KillGateway(i);
  Disconnect(streams);
  StartGateways();
  BOOST_TEST(TakeUp(streams, 2) == kStreams);
}

}  // namespace bluebellpass::test
