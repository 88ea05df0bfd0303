#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "fakes.h"
#include "gateway-fakes.h"
#include "gateway/decisions/coordinator.h"
#include "gateway/streams/version-record.h"

/// Streams that callers take up, and the software versions that may continue them.

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};
const Millis kInstant{1};
constexpr std::size_t kMaxStreams = 100'000;
constexpr int kProbeCount = 10;
const ServiceName kService("chat");
const SoftwareVersion kOld("v1");
const SoftwareVersion kNew("v2");
const StreamOrigin kOldOrigin{kService, kOld};
const StreamOrigin kNewOrigin{kService, kNew};
const AttemptId kStream("first");

Backend MakeBackend(const std::string& id, const SoftwareVersion& version, int slots = 4) {
  Backend backend;
  backend.id = BackendId(id);
  backend.service = kService;
  backend.version = version;
  backend.revision = 20;
  backend.slots = slots;
  return backend;
}

RequestInfo MakeRequest(const std::string& id) {
  RequestInfo request;
  request.id = AttemptId(id);
  request.home = InstanceId("home");
  request.service = kService;
  request.arrived = kStart;
  request.latency_objective = Millis{1'000};
  request.patience = Millis{10'000};
  request.deadline = kStart + Millis{10'000};
  request.fingerprint = StableHash(id);
  request.stream = request.id;
  request.stream_lifetime = Millis{30'000};
  return request;
}

RequestInfo MakeTakenUp(const std::string& id, const AttemptId& stream) {
  RequestInfo request = MakeRequest(id);
  request.stream = stream;
  request.is_taken_up = true;
  return request;
}

VersionsByService BothVersions() { return {{kService, {kOld, kNew}}}; }
VersionsByService Only(const SoftwareVersion& version) { return {{kService, {version}}}; }

/// Keeps the writes, which the test completes.
class RecordingStore : public FakeStoreClient {
 public:
  void Put(ObjectKind kind, const std::string& name, const nlohmann::json& spec,
           std::function<void(Result<Revision>)> done) override {
    BOOST_TEST((kind == ObjectKind::kFleet));
    BOOST_TEST(name == kVersionRecordObject);
    specs.push_back(spec);
    m_done = std::move(done);
  }
  void Complete(const Result<Revision>& result) {
    const auto done = std::exchange(m_done, nullptr);
    done(result);
  }
  VersionsByService Last() const { return VersionRecord::Decode(specs.back()); }
  std::vector<nlohmann::json> specs;

 private:
  std::function<void(Result<Revision>)> m_done;
};

/// A coordinator with a backend server of each version.
struct CoordinatorFixture {
  CoordinatorFixture() {
    for (const Backend& backend : {MakeBackend("a", kOld, 1), MakeBackend("b", kNew)}) {
      coordinator.RequestScheduler().SetBackend(backend, nullptr);
      coordinator.Versions().SetBackend(backend, kStart);
    }
    coordinator.Versions().SetConfirmed(kStart);
  }
  void Decide() { decisions = coordinator.Decide(kStart); }
  void SubmitAndDecide(const RequestInfo& request) {
    coordinator.Submit(request, kStart);
    Decide();
  }
  /// Runs the first attempt of kStream at the old version.
  void BeginStream() {
    RequestInfo request = MakeRequest(kStream.Text());
    request.excluded_backends = {BackendId("b")};
    SubmitAndDecide(request);
    BOOST_REQUIRE(decisions.grants.size() == 1U);
    BOOST_TEST(!decisions.grants[0].version.has_value());
    coordinator.RecordFirstEvent(kStream, kOld, Millis{1}, kStart);
    coordinator.ReleaseRun(kStream, {}, kStart);
  }
  void CheckGrant(const std::string& backend, const SoftwareVersion& version) const {
    BOOST_REQUIRE(decisions.grants.size() == 1U);
    BOOST_TEST(decisions.grants[0].backend.Text() == backend);
    BOOST_TEST((decisions.grants[0].version == version));
  }
  void CheckRefusal(RefusalReason reason) const {
    BOOST_TEST(decisions.grants.empty());
    BOOST_REQUIRE(decisions.refusals.size() == 1U);
    BOOST_TEST((decisions.refusals[0].reason == reason), NameOf(decisions.refusals[0].reason));
  }

  Coordinator coordinator;
  Decisions decisions;
};

/// A scheduler during a roll-out from the old version, at backend server "a", to the new one.
struct RolloutFixture : AdmissionControl {
  RolloutFixture() {
    scheduler.SetRollouts(&controller);
    controller.SetBounds(RolloutBounds{0.1, 50});
    controller.SetSeenRevision(Revision(10));
    Backend known = old;
    known.revision = 1;
    controller.SetBackend(known, kStart);
    controller.SetRole(true, true, kStart);
    entry.order = {kService, kNew, Millis{12'000}, 11};
    entry.revision = Revision(11);
    controller.SetEntry(entry, kStart);
    controller.SetBackend(target, kStart);
    scheduler.SetBackend(old, nullptr);
    scheduler.SetBackend(target, nullptr);
  }
  bool TryAdmit(const RequestInfo&, TimePoint) override { return true; }
  /// Ends with a budget of requests to the target in the store.
  void StartProbing() {
    now += Millis{100};
    controller.Decide(now);
    Store();
    BOOST_REQUIRE((controller.UseOf(target, now) == VersionUse::kProbe));
  }
  void StartSwitch() {
    entry.status = RolloutStatus{
        kNew, RolloutState::kRunning, RolloutPhase::kSwitching, Millis{7'000}, 0, 0, ""};
    entry.revision = Revision(50);
    controller.SetEntry(entry, kStart);
    controller.SetOldRuns(kService, 1);
    now = kStart + Millis{3'000};
    controller.Decide(now);
    Store();
    BOOST_REQUIRE((controller.UseOf(old, now) == VersionUse::kStreamsOnly));
  }
  /// Executes the status writes that are due, as the store does.
  void Store() {
    for (const RolloutStatusWrite& write : controller.TakeStatusWrites(now)) {
      entry.status = write.status;
      entry.revision = Revision(entry.revision.Value() + 1);
      controller.OnStatusWritten(kService, entry.revision, now);
    }
  }
  /// Adds a request that arrives now.
  void Add(RequestInfo request, std::optional<SoftwareVersion> version = std::nullopt) {
    request.version = std::move(version);
    request.arrived = now;
    request.deadline = now + Millis{10'000};
    scheduler.AddRequest(request);
  }
  /// @return the backend servers by the requests that were granted to them
  std::map<std::string, std::string> Decide() {
    decisions = scheduler.Decide(now, *this);
    std::map<std::string, std::string> backends;
    for (const Grant& grant : decisions.grants) backends[grant.id.Text()] = grant.backend.Text();
    return backends;
  }

  Scheduler scheduler;
  RolloutController controller;
  RolloutEntry entry;
  Backend old = MakeBackend("a", kOld, 100);
  Backend target = MakeBackend("b", kNew, 100);
  TimePoint now = kStart;
  Decisions decisions;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Origins)

// Guards against streams that are remembered after no caller can take them up, or forgotten before,
// and against changes that are sent twice.
BOOST_AUTO_TEST_CASE(StreamIsKnownUntilItsEnd) {
  StreamOrigins streams;
  const TimePoint until = kStart + Millis{5'000};
  streams.RemoveExpired(kStart);
  streams.Record(kStream, kOldOrigin, until);
  BOOST_TEST((streams.Find(kStream, until - kInstant) == kOldOrigin));
  BOOST_TEST(!streams.Find(kStream, until).has_value());
  BOOST_TEST(!streams.Find(AttemptId("other"), kStart).has_value());
  BOOST_TEST(streams.TakeChanges().at(kOldOrigin).size() == 1U);
  BOOST_TEST(streams.TakeChanges().empty());
  BOOST_TEST(streams.Snapshot(until - kInstant).size() == 1U);
  BOOST_TEST(streams.Snapshot(until).empty());
  streams.RemoveExpired(until - kInstant);
  BOOST_TEST(streams.Size() == 1U);
  streams.RemoveExpired(until + Millis{1'000});
  BOOST_TEST(streams.Size() == 0U);
}

// Guards against an old record of another instance that replaces what this one has decided, and
// against records that go back and forth between instances.
BOOST_AUTO_TEST_CASE(OwnRecordsStandAgainstOthers) {
  StreamOrigins streams;
  const AttemptId other("other");
  const TimePoint until = kStart + Millis{5'000};
  const auto merge = [&](const AttemptId& stream, const StreamOrigin& origin) {
    streams.Merge({{origin, {{StreamOrigins::KeyOf(stream), until}}}});
  };
  streams.Record(kStream, kNewOrigin, until);
  merge(kStream, kOldOrigin);
  BOOST_TEST((streams.Find(kStream, kStart) == kNewOrigin));
  merge(other, kOldOrigin);
  merge(other, kNewOrigin);
  BOOST_TEST((streams.Find(other, kStart) == kNewOrigin));
  BOOST_TEST(streams.TakeChanges().at(kNewOrigin).size() == 1U);
  BOOST_TEST(streams.Snapshot(kStart).at(kNewOrigin).size() == 2U);
  streams.Record(other, kOldOrigin, until);
  merge(other, kNewOrigin);
  BOOST_TEST((streams.Find(other, kStart) == kOldOrigin));
  BOOST_TEST(streams.HandOver(kStart).size() == 2U);
  BOOST_TEST(streams.HandOver(kStart).empty());
  merge(kStream, kOldOrigin);
  BOOST_TEST((streams.Find(kStream, kStart) == kOldOrigin));
}

// Guards against memory that grows without bound, and against a bound that keeps known streams from
// being updated.
BOOST_AUTO_TEST_CASE(CountOfStreamsIsBounded) {
  StreamOrigins streams;
  const TimePoint until = kStart + Millis{5'000};
  StreamRecords records;
  for (std::size_t i = 0; i < kMaxStreams + 10; ++i)
    records[kOldOrigin].push_back({Fingerprint(i), until});
  streams.Record(kStream, kOldOrigin, until);
  streams.Merge(records);
  BOOST_TEST(streams.Size() == kMaxStreams);
  streams.Record(AttemptId("late"), kOldOrigin, until);
  BOOST_TEST(streams.Size() == kMaxStreams);
  streams.Record(kStream, kNewOrigin, until);
  BOOST_TEST((streams.Find(kStream, kStart) == kNewOrigin));
  streams.RemoveExpired(until);
  streams.Record(AttemptId("late"), kOldOrigin, until + kInstant);
  BOOST_TEST((streams.Find(AttemptId("late"), until) == kOldOrigin));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Versions)

// Guards against a view of the backend servers that counts as confirmed before it is, or that an
// older confirmation makes older.
BOOST_AUTO_TEST_CASE(OnlyVersionIsConfirmed) {
  ServiceVersions versions;
  versions.SetBackend(MakeBackend("a", kOld), kStart);
  versions.SetBackend(MakeBackend("b", kOld), kStart);
  BOOST_TEST(!versions.IsConfirmedSince(kStart - kMaxStreamLifetime));
  versions.SetConfirmed(kStart);
  versions.SetConfirmed(kStart - Millis{1'500});
  BOOST_TEST(versions.IsConfirmedSince(kStart));
  BOOST_TEST(!versions.IsConfirmedSince(kStart + kInstant));
  BOOST_TEST((versions.OnlyVersion(kService, kStart) == kOld));
  BOOST_TEST(!versions.OnlyVersion(ServiceName("other"), kStart).has_value());
  versions.SetBackend(MakeBackend("b", kNew), kStart);
  BOOST_TEST(!versions.OnlyVersion(kService, kStart).has_value());
}

// Guards against a version that is forgotten with its last server while streams of it may be taken
// up, or kept forever.
BOOST_AUTO_TEST_CASE(VersionThatLeftCountsForALifetime) {
  ServiceVersions versions;
  versions.SetBackend(MakeBackend("a", kOld), kStart);
  BOOST_TEST((versions.All(kStart) == Only(kOld)));
  const TimePoint left = kStart + Millis{10'000};
  versions.SetBackend(MakeBackend("a", kNew), left);
  versions.SetBackend(MakeBackend("a", kNew), left + Millis{1'000});
  const TimePoint end = left + kMaxStreamLifetime;
  versions.SetConfirmed(end);
  BOOST_TEST((versions.All(end - kInstant) == BothVersions()));
  BOOST_TEST(!versions.OnlyVersion(kService, end - kInstant).has_value());
  BOOST_TEST((versions.All(end) == Only(kNew)));
  BOOST_TEST((versions.OnlyVersion(kService, end) == kNew));
  versions.RemoveBackend(BackendId("a"), end);
  versions.RemoveBackend(BackendId("a"), end + Millis{5'000});
  BOOST_TEST((versions.OnlyVersion(kService, end + Millis{1'000}) == kNew));
  versions.SetConfirmed(end + kMaxStreamLifetime);
  BOOST_TEST(!versions.OnlyVersion(kService, end + kMaxStreamLifetime).has_value());
}

// Guards against versions that left while all instances were down, or in another service's name.
BOOST_AUTO_TEST_CASE(RecordedVersionsAndMovedServersCount) {
  ServiceVersions versions;
  versions.SetBackend(MakeBackend("a", kNew), kStart);
  versions.AddRecorded({{kService, {kOld, kNew}}}, kStart);
  BOOST_TEST((versions.All(kStart) == BothVersions()));
  versions.AddRecorded({{kService, {kOld}}}, kStart - Millis{5'000});
  BOOST_TEST((versions.All(kStart + kMaxStreamLifetime - kInstant) == BothVersions()));
  BOOST_TEST((versions.All(kStart + kMaxStreamLifetime) == Only(kNew)));
  Backend moved = MakeBackend("a", kOld);
  moved.service = ServiceName("desk");
  const TimePoint later = kStart + kMaxStreamLifetime;
  versions.SetBackend(moved, later);
  versions.SetConfirmed(later);
  BOOST_TEST((versions.OnlyVersion(kService, later) == kNew));
  BOOST_TEST((versions.OnlyVersion(moved.service, later) == kOld));
}

// Guards against versions that are lost in the store, and against crashes on an object that another
// writer has changed.
BOOST_AUTO_TEST_CASE(RecordIsReadAsWritten) {
  ManualTimers timers;
  RecordingStore store;
  VersionRecord record(timers, store);
  VersionsByService versions = BothVersions();
  versions[ServiceName("desk")] = {SoftwareVersion("7"), SoftwareVersion()};
  record.Update(versions);
  BOOST_REQUIRE(store.specs.size() == 1U);
  BOOST_TEST((store.Last() == versions));
  for (const char* text : {"null", "[]", "5", "{}", R"({"services":[]})", R"({"services":"x"})",
                           R"({"services":{"chat":7,"desk":null}})"})
    BOOST_TEST(VersionRecord::Decode(nlohmann::json::parse(text)).empty(), text);
  const auto odd = nlohmann::json::parse(R"({"services":{"chat":["v1",5,{"a":[]},"v2"],"x":[1]}})");
  BOOST_TEST((VersionRecord::Decode(odd) == BothVersions()));
}

// Guards against a record that is written several times per second, or not again after a failure, a
// change during the write or the loss of the store.
BOOST_AUTO_TEST_CASE(RecordIsWrittenOncePerChange) {
  ManualTimers timers;
  RecordingStore store;
  auto record = std::make_unique<VersionRecord>(timers, store);
  record->Update(BothVersions());
  record->Update({});
  BOOST_TEST(store.specs.size() == 1U);
  store.Complete(Error{ErrorKind::kStoreUncertain, "", ""});
  BOOST_TEST(store.specs.size() == 1U);
  BOOST_REQUIRE(timers.AdvanceToNextTimer().has_value());
  BOOST_TEST(store.specs.size() == 2U);
  BOOST_TEST(store.Last().empty());
  record->Update(BothVersions());
  store.Complete(Revision(5));
  record->Update(BothVersions());
  BOOST_TEST(store.specs.size() == 3U);
  BOOST_TEST((store.Last() == BothVersions()));
  store.Complete(Revision(6));
  record->Update(BothVersions());
  BOOST_TEST(store.specs.size() == 3U);
  record->Reset();
  record->Update(BothVersions());
  BOOST_TEST(store.specs.size() == 4U);
  record.reset();
  store.Complete(Error{ErrorKind::kStoreUncertain, "", ""});
  BOOST_TEST(!timers.AdvanceToNextTimer().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(TakenUp)

// Guards against a stream that goes on at a server of another version, even if its own has no slot.
BOOST_FIXTURE_TEST_CASE(StreamGoesOnAtItsVersion, CoordinatorFixture) {
  BeginStream();
  SubmitAndDecide(MakeTakenUp("second", kStream));
  CheckGrant("a", kOld);
  SubmitAndDecide(MakeTakenUp("third", kStream));
  BOOST_TEST(decisions.grants.empty());
  BOOST_TEST(decisions.refusals.empty());
  coordinator.ReleaseRun(AttemptId("second"), {}, kStart);
  Decide();
  CheckGrant("a", kOld);
}

// Guards against a guess at the version of a stream that is not known, or that a service of another
// name began.
BOOST_FIXTURE_TEST_CASE(StreamOfUnknownVersionIsRefused, CoordinatorFixture) {
  SubmitAndDecide(MakeTakenUp("unknown", kStream));
  CheckRefusal(RefusalReason::kUnknownVersion);
  coordinator.Streams().Record(kStream, {ServiceName("desk"), kOld}, kStart + Millis{5'000});
  SubmitAndDecide(MakeTakenUp("moved", kStream));
  CheckRefusal(RefusalReason::kUnknownVersion);
  coordinator.Versions().RemoveBackend(BackendId("a"), kStart - kMaxStreamLifetime);
  SubmitAndDecide(MakeTakenUp("still moved", kStream));
  CheckRefusal(RefusalReason::kUnknownVersion);
  SubmitAndDecide(MakeTakenUp("only version", AttemptId("other")));
  CheckGrant("b", kNew);
}

// Guards against a stream that goes on at the only version of an older view, as an instance has
// that was cut off or suspended.
BOOST_FIXTURE_TEST_CASE(StreamOfUnknownVersionWaitsForAConfirmedView, CoordinatorFixture) {
  coordinator.Versions().RemoveBackend(BackendId("a"), kStart - kMaxStreamLifetime);
  const TimePoint arrival = kStart + Millis{1};
  const auto submit = [&](const std::string& id) {
    coordinator.Submit(MakeTakenUp(id, kStream), arrival);
    decisions = coordinator.Decide(arrival);
  };
  submit("unseen");
  BOOST_TEST(coordinator.NeedsConfirmation());
  BOOST_TEST((decisions.grants.empty() && decisions.refusals.empty()));
  coordinator.Versions().SetConfirmed(arrival - kInstant);
  decisions = coordinator.Decide(arrival);
  BOOST_TEST((decisions.grants.empty() && decisions.refusals.empty()));
  coordinator.Versions().SetConfirmed(arrival);
  decisions = coordinator.Decide(arrival);
  CheckGrant("b", kNew);
  BOOST_TEST(!coordinator.NeedsConfirmation());
}

// Guards against streams that are refused after the loss of instances because new requests are
// queued before them, and against streams that go before more urgent requests.
BOOST_FIXTURE_TEST_CASE(StreamThatHasBegunGoesBeforeNewRequestsOfItsRank, CoordinatorFixture) {
  coordinator.RequestScheduler().RemoveBackend(BackendId("b"));
  coordinator.RequestScheduler().SetBackend(MakeBackend("a", kOld, 1), nullptr);
  BeginStream();
  SubmitAndDecide(MakeRequest("running"));
  BOOST_REQUIRE(decisions.grants.size() == 1U);
  std::vector requests{MakeRequest("new"), MakeTakenUp("taken up", kStream), MakeRequest("urgent")};
  requests[0].rank = requests[1].rank = requests[2].rank + 1;
  requests[1].arrived += kInstant;
  // It has been interrupted for longer than its objective.
  requests[1].caller_age = requests[1].latency_objective;
  for (const RequestInfo& request : requests) coordinator.Submit(request, kStart);
  Decide();
  const auto granted_next = [&](const std::string& last) {
    coordinator.ReleaseRun(AttemptId(last), {}, kStart);
    Decide();
    return decisions.grants.empty() ? "" : decisions.grants[0].id.Text();
  };
  BOOST_TEST(granted_next("running") == "urgent");
  BOOST_TEST(granted_next("urgent") == "taken up");
  BOOST_TEST(granted_next("taken up") == "new");
}

// Guards against a request that waits without end for a view that is not confirmed, or for one that
// shows two versions, and against one that is decided after its caller has left.
BOOST_FIXTURE_TEST_CASE(WaitForAConfirmedViewIsBounded, CoordinatorFixture) {
  coordinator.Versions().RemoveBackend(BackendId("a"), kStart - kMaxStreamLifetime);
  const TimePoint arrival = kStart + Millis{1};
  for (const char* id : {"late", "withdrawn"})
    coordinator.Submit(MakeTakenUp(id, kStream), arrival);
  coordinator.Withdraw(AttemptId("withdrawn"));
  decisions = coordinator.Decide(arrival);
  BOOST_TEST(decisions.refusals.empty());
  BOOST_REQUIRE(coordinator.NextDecision().has_value());
  decisions = coordinator.Decide(*coordinator.NextDecision());
  CheckRefusal(RefusalReason::kUnknownVersion);
  BOOST_TEST(!coordinator.NeedsConfirmation());

  coordinator.Submit(MakeTakenUp("second", kStream), arrival);
  coordinator.Versions().SetBackend(MakeBackend("a", kOld), arrival);
  decisions = coordinator.Decide(arrival);
  CheckRefusal(RefusalReason::kUnknownVersion);
}

// Guards against a caller that waits for a version which no server has any more.
BOOST_FIXTURE_TEST_CASE(StreamOfAVersionWithoutServersIsRefused, CoordinatorFixture) {
  BeginStream();
  RequestInfo occupying = MakeRequest("occupying");
  occupying.excluded_backends = {BackendId("b")};
  SubmitAndDecide(occupying);
  SubmitAndDecide(MakeTakenUp("waiting", kStream));
  BOOST_TEST(decisions.refusals.empty());
  Backend draining = MakeBackend("a", kOld, 1);
  draining.is_draining = true;
  coordinator.RequestScheduler().SetBackend(draining, nullptr);
  Decide();
  CheckRefusal(RefusalReason::kNoSuchVersion);
  coordinator.RequestScheduler().RemoveBackend(BackendId("a"));
  SubmitAndDecide(MakeTakenUp("later", kStream));
  CheckRefusal(RefusalReason::kNoSuchVersion);
}

// Guards against a coordinator that was paused, grants what has run elsewhere meanwhile, and takes
// that for the beginning of the stream.
BOOST_FIXTURE_TEST_CASE(GrantWithoutAnEventIsNoOrigin, CoordinatorFixture) {
  SubmitAndDecide(MakeRequest(kStream.Text()));
  BOOST_REQUIRE(decisions.grants.size() == 1U);
  BOOST_TEST(!coordinator.Streams().Find(kStream, kStart).has_value());
  SubmitAndDecide(MakeTakenUp("second", kStream));
  CheckRefusal(RefusalReason::kUnknownVersion);
}

// Guards against a stream whose version is forgotten with its backend server's entry, or taken from
// the entry of a server that has started again.
BOOST_FIXTURE_TEST_CASE(OriginIsWhatTheHomeStates, CoordinatorFixture) {
  RequestInfo request = MakeRequest(kStream.Text());
  request.excluded_backends = {BackendId("b")};
  SubmitAndDecide(request);
  BOOST_REQUIRE(decisions.grants.size() == 1U);
  coordinator.RequestScheduler().RemoveBackend(BackendId("a"));
  coordinator.RecordFirstEvent(kStream, kOld, Millis{1}, kStart);
  BOOST_TEST((coordinator.Streams().Find(kStream, kStart) == kOldOrigin));

  RequestInfo running = MakeRequest("running");
  running.version = kOld;
  RequestInfo continued = MakeRequest("continued");
  continued.version = kOld;
  coordinator.SyncRequests(InstanceId("home"), {continued}, {{running, BackendId("b"), false}},
                           kStart);
  for (const AttemptId& stream : {running.id, continued.id})
    BOOST_TEST((coordinator.Streams().Find(stream, kStart) == kOldOrigin), stream.Text());
}

// Guards against a new coordinator that does not know where running streams began, and against
// records of requests that no caller can take up.
BOOST_FIXTURE_TEST_CASE(ReportedStreamsAreKnown, CoordinatorFixture) {
  RequestInfo brief = MakeRequest("brief");
  brief.stream_lifetime = Millis{0};
  RequestInfo endless = MakeRequest("endless");
  endless.arrived = kStart - Millis{10'000};
  endless.stream_lifetime = 10 * kMaxStreamLifetime;
  coordinator.SyncRequests(
      InstanceId("home"), {MakeTakenUp("known", endless.id), MakeTakenUp("unknown", brief.id)},
      {{brief, BackendId("a"), false}, {endless, BackendId("b"), false}}, kStart);
  const TimePoint end = endless.arrived + kMaxStreamLifetime;
  BOOST_TEST(!coordinator.Streams().Find(brief.id, kStart).has_value());
  BOOST_TEST((coordinator.Streams().Find(endless.id, end - kInstant) == kNewOrigin));
  BOOST_TEST(!coordinator.Streams().Find(endless.id, end).has_value());
  Decide();
  CheckGrant("b", kNew);
  BOOST_TEST(decisions.grants[0].id.Text() == "known");
  BOOST_REQUIRE(decisions.refusals.size() == 1U);
  BOOST_TEST(decisions.refusals[0].id.Text() == "unknown");
  BOOST_TEST((decisions.refusals[0].reason == RefusalReason::kUnknownVersion));
}

// Guards against streams of the old version that end when the target takes over, and against new
// requests at the old version.
BOOST_FIXTURE_TEST_CASE(ReplacedVersionContinuesItsStreams, RolloutFixture) {
  StartSwitch();
  Add(MakeRequest("plain"));
  Add(MakeTakenUp("old", kStream), kOld);
  Add(MakeTakenUp("new", kStream), kNew);
  const std::map<std::string, std::string> expected{{"plain", "b"}, {"old", "a"}, {"new", "b"}};
  BOOST_TEST((Decide() == expected));
}

// Guards against streams of the old version that are refused while the target's servers drain.
BOOST_FIXTURE_TEST_CASE(ReplacedVersionContinuesItsStreamsAlone, RolloutFixture) {
  StartSwitch();
  target.is_draining = true;
  scheduler.SetBackend(target, nullptr);
  Add(MakeRequest("plain"));
  Add(MakeTakenUp("old", kStream), kOld);
  const std::map<std::string, std::string> expected{{"old", "a"}};
  BOOST_TEST((Decide() == expected));
  BOOST_REQUIRE(!decisions.refusals.empty());
  for (const Refusal& refusal : decisions.refusals) {
    BOOST_TEST(refusal.id.Text() == "plain");
    BOOST_TEST((refusal.reason == RefusalReason::kNoBackend), NameOf(refusal.reason));
  }
}

// Guards against a stream that the target began and that goes on elsewhere while it is unproven,
// and against streams of the old version that are spent on probes.
BOOST_FIXTURE_TEST_CASE(ProbedVersionContinuesItsStreamsOnly, RolloutFixture) {
  StartProbing();
  for (int i = 0; i < kProbeCount; ++i) {
    Add(MakeTakenUp("new" + std::to_string(i), kStream), kNew);
    Add(MakeTakenUp("old" + std::to_string(i), kStream), kOld);
  }
  const auto backends = Decide();
  BOOST_TEST(backends.size() == 2U * kProbeCount);
  for (const auto& [id, backend] : backends)
    BOOST_TEST(backend == (id.starts_with("new") ? "b" : "a"), id);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace bluebellpass::gateway
