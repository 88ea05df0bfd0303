#include "config/config-task.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "bluebellpass/event.h"

namespace bluebellpass {
namespace {

constexpr Millis kStep{10};
constexpr Millis kStoreDelay{5};

class ManualTimers : public TimerService {
 public:
  TimePoint Now() const override { return m_now; }
  TimerId RunAfter(Millis delay, std::function<void()> function) override {
    m_timers[{m_now + delay, ++m_last}] = std::move(function);
    return m_last;
  }
  void Cancel(TimerId id) override {
    std::erase_if(m_timers, [&](const auto& timer) { return timer.first.second == id; });
  }
  void Advance(Millis span) {
    for (const TimePoint end = m_now + span; m_now < end; m_now += kStep) RunDue();
    RunDue();
  }

 private:
  void RunDue() {
    while (!m_timers.empty() && m_timers.begin()->first.first <= m_now) {
      auto node = m_timers.extract(m_timers.begin());
      node.mapped()();
    }
  }
  TimePoint m_now{std::chrono::hours(100)};
  TimerId m_last = 0;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_timers;
};

/// A store with one versioned object. Responds after kStoreDelay, or as the fault demands.
class FakeStore : public ObjectStore {
 public:
  explicit FakeStore(ManualTimers& timers) : m_timers(timers) {}
  enum class Fault { kNone, kUnavailable, kNoResponse, kLoseRequest, kLoseResponse, kDelayWrite };

  template <class Done, class T>
  void Respond(Done done, T result) {
    m_timers.RunAfter(kStoreDelay, [done, result] { done(result); });
  }
  void Get(const std::string& /*key*/, std::function<void(Result<VersionedObject>)> done) override {
    ++gets;
    if (fault == Fault::kNoResponse) return;
    if (fault == Fault::kUnavailable) {
      Respond(done, Result<VersionedObject>(Error{ErrorKind::kStoreUnavailable}));
    } else {
      Respond(done, version == 0
                        ? Result<VersionedObject>(Error{ErrorKind::kNotFound})
                        : Result<VersionedObject>(VersionedObject{value, ObjectVersion(version)}));
    }
  }
  void Put(const std::string& /*key*/, std::string text, ObjectVersion expected,
           std::function<void(Result<ObjectVersion>)> done) override {
    const Fault write_fault = std::exchange(put_fault, Fault::kNone);
    using R = Result<ObjectVersion>;
    if (fault != Fault::kNone) return Respond(done, R(Error{ErrorKind::kStoreUnavailable}));
    if (write_fault == Fault::kDelayWrite) {
      m_timers.RunAfter(Millis{700}, [this, text, expected] { ApplyWrite(text, expected); });
    }
    if (write_fault == Fault::kLoseRequest || write_fault == Fault::kDelayWrite)
      return Respond(done, R(Error{ErrorKind::kStoreUncertain}));
    const bool is_written = ApplyWrite(text, expected);
    if (write_fault == Fault::kLoseResponse)
      return Respond(done, R(Error{ErrorKind::kStoreUncertain}));
    Respond(done, is_written ? R(ObjectVersion(version)) : R(Error{ErrorKind::kConflict}));
  }
  void Delete(const std::string&, ObjectVersion, std::function<void(Result<Ok>)>) override {}
  void List(const std::string&, std::function<void(Result<std::vector<ObjectEntry>>)>) override {}
  void Watch(const std::string& /*key*/, ObjectVersion after, Millis wait,
             std::function<void(Result<std::optional<VersionedObject>>)> done) override {
    if (wait == Millis{0}) return ReadIfNewer(after, done);
    ++watches;  // Stays pending, so that the tests observe reads only.
  }
  /// A conditional read: the response has no document unless the version is newer than `after`.
  void ReadIfNewer(ObjectVersion after,
                   const std::function<void(Result<std::optional<VersionedObject>>)>& done) {
    using R = Result<std::optional<VersionedObject>>;
    ++gets;
    if (fault == Fault::kNoResponse) return;
    if (fault == Fault::kUnavailable) return Respond(done, R(Error{ErrorKind::kStoreUnavailable}));
    if (version <= after.Value()) return Respond(done, R(std::optional<VersionedObject>{}));
    ++documents_sent;
    Respond(done, R(std::optional(VersionedObject{value, ObjectVersion(version)})));
  }
  bool ApplyWrite(const std::string& text, ObjectVersion expected) {
    if (expected.Value() != version) return false;
    value = text;
    ++version;
    ++writes;
    return true;
  }

  std::string value;
  std::uint64_t version = 0;
  Fault fault = Fault::kNone;
  Fault put_fault = Fault::kNone;  ///< applies to the next write only
  int gets = 0, documents_sent = 0, watches = 0, writes = 0;

 private:
  ManualTimers& m_timers;
};

class FakeNetwork : public PeerNetwork {
 public:
  explicit FakeNetwork(const std::string& self) { Add(self); }
  void Add(const std::string& id) {
    members.push_back({.info = {.id = InstanceId(id), .data_centre = DataCentre("dc1")}});
  }
  const InstanceInfo& Self() const override { return members.front().info; }
  bool Send(const InstanceId& to, const PeerMessage& message) override {
    sent.emplace_back(to, std::get<ConfigMessage>(message).version);
    return true;
  }
  std::vector<Member> Members() const override { return members; }
  bool IsLinked(const InstanceId& peer) const override { return !unlinked.contains(peer.Text()); }
  void SetStatus(const PeerStatus& new_status) override { status = new_status; }
  void Leave() override {}
  void AddListener(PeerListener*) override {}

  std::vector<Member> members;
  std::set<std::string> unlinked;
  std::vector<std::pair<InstanceId, ObjectVersion>> sent;
  PeerStatus status;
};

std::string MakeDocument(const std::string& tier) {
  ClusterConfig config;
  config.tiers.push_back({.name = TierName(tier)});
  return FormatClusterConfig(config);
}

struct RecordingListener : ConfigListener {
  void OnConfigApplied(const VersionedConfig& config) override {
    versions.push_back(config.version.Value());
  }
  std::vector<std::uint64_t> versions;
};

struct Fixture {
  explicit Fixture(const std::string& self = "a", const std::vector<std::string>& others = {}) {
    network.members.clear();
    network.Add(self);
    for (const std::string& id : others) network.Add(id);
    store.value = MakeDocument("v1");
    store.version = 1;
    task.AddListener(&applied);
    task.Start();
    timers.Advance(Millis{20});
  }
  void DeliverStatus(const std::string& peer, std::uint64_t version, Millis age) {
    task.OnPeerStatus(InstanceId(peer), {ObjectVersion(version), true, age});
  }
  /// Starts a change that adds a tier. Its result is appended to `results`.
  void AddTier(const std::string& name, std::uint32_t rank) {
    task.ChangeConfig(
        [=](ClusterConfig config) -> Result<ClusterConfig> {
          config.tiers.push_back({.name = TierName(name), .rank = TierRank(rank)});
          return config;
        },
        [this](Result<ObjectVersion> done) { results.push_back(done); });
  }
  ErrorKind ErrorKindAt(std::size_t index) { return ErrorOf(results.at(index)).kind; }

  ManualTimers timers;
  FakeStore store{timers};
  FakeNetwork network{"a"};
  RecordingListener applied;
  ConfigTask task{store, network, timers};
  std::vector<Result<ObjectVersion>> results;
};

using Versions = std::vector<std::uint64_t>;

/// Instance c, which is not a poller because the ids a and b sort before it. It reads the store
/// only if the reports of a and b are too old.
struct NonPollerFixture : Fixture {
  NonPollerFixture() : Fixture("c", {"a", "b"}) {}
};

/// The same with members that send no reports, so that no majority can confirm the configuration.
struct MinorityFixture : Fixture {
  MinorityFixture() : Fixture("c", {"a", "b", "d", "e", "f"}) {}
};

}  // namespace

// Guards against applying an older version, or another document of the same version, from a peer.
BOOST_FIXTURE_TEST_CASE(OlderVersionsAreNeverApplied, Fixture) {
  task.OnPeerMessage(InstanceId("b"), ConfigMessage{ObjectVersion(5), MakeDocument("v5")});
  task.OnPeerMessage(InstanceId("b"), ConfigMessage{ObjectVersion(4), MakeDocument("v4")});
  task.OnPeerMessage(InstanceId("b"), ConfigMessage{ObjectVersion(5), MakeDocument("other")});
  timers.Advance(Millis{3000});
  BOOST_TEST(applied.versions == (Versions{1, 5}), boost::test_tools::per_element());
  BOOST_TEST(task.Current().config.tiers.front().name.Text() == "v5");
}

// Guards against an invalid document that is applied in part, is logged at each poll, or blocks
// later valid versions.
BOOST_FIXTURE_TEST_CASE(InvalidDocumentsAreRejectedCompletely, Fixture) {
  store.value = R"({"tiers":[{"name":"v2","rank":0}],"colour":1})";
  store.version = 2;
  const std::string before = RecordedEvents(0, 20'000);
  timers.Advance(Millis{5000});
  BOOST_TEST(task.Current().version.Value() == 1U);
  BOOST_TEST(task.IsRecentlyConfirmed());
  const std::string events = RecordedEvents(0, 20'000).substr(before.size());
  const std::size_t first = events.find("colour: is not a known field");
  BOOST_REQUIRE(first != std::string::npos);
  BOOST_TEST(events.find("colour: is not a known field", first + 1) == std::string::npos);
  store.value = MakeDocument("v3");
  store.version = 3;
  timers.Advance(Millis{1500});
  BOOST_TEST(task.Current().version.Value() == 3U);
}

// Guards against dispatch with a configuration that no read of the store has confirmed for 2 s.
BOOST_FIXTURE_TEST_CASE(ConfirmationExpiresAfterTwoSeconds, MinorityFixture) {
  BOOST_TEST(task.IsRecentlyConfirmed());
  store.fault = FakeStore::Fault::kNoResponse;
  timers.Advance(Millis{1900});
  BOOST_TEST(task.IsRecentlyConfirmed());
  timers.Advance(Millis{300});
  BOOST_TEST(!task.IsRecentlyConfirmed());
  DeliverStatus("a", 1, Millis{1000});  // A peer's read, at most 1.05 s old.
  BOOST_TEST(task.IsRecentlyConfirmed());
  timers.Advance(Millis{1000});
  store.fault = FakeStore::Fault::kNone;
  DeliverStatus("a", 1, Millis{1960});
  BOOST_TEST(network.status.confirmation_age.count() >= 2000);
}

// Guards against a peer's report of a newer version that confirms the older local version, and
// against waiting for a second report after the newer version has been applied.
BOOST_FIXTURE_TEST_CASE(ReportOfANewerVersionCountsOnceApplied, MinorityFixture) {
  store.fault = FakeStore::Fault::kNoResponse;
  timers.Advance(Millis{2300});
  DeliverStatus("a", 2, Millis{0});
  BOOST_TEST(!task.IsRecentlyConfirmed());
  task.OnPeerMessage(InstanceId("a"), ConfigMessage{ObjectVersion(2), MakeDocument("v2")});
  BOOST_TEST(task.IsRecentlyConfirmed());
}

// Guards against dispatch by a minority while the store is unreachable. Dead members count as
// members; otherwise each side of a partition would be a majority.
BOOST_FIXTURE_TEST_CASE(MajorityIsRequiredWithoutStore, NonPollerFixture) {
  network.Add("d");
  network.members.back().state = MemberState::kDead;
  store.fault = FakeStore::Fault::kUnavailable;
  timers.Advance(Millis{4000});
  DeliverStatus("a", 1, Millis{60'000});
  BOOST_TEST(!task.IsRecentlyConfirmed());  // 2 of 4
  DeliverStatus("b", 1, Millis{60'000});
  BOOST_TEST(task.IsRecentlyConfirmed());  // 3 of 4
  DeliverStatus("b", 2, Millis{60'000});
  BOOST_TEST(!task.IsRecentlyConfirmed());  // b has a newer version.
  DeliverStatus("b", 1, Millis{60'000});
  timers.Advance(Millis{2100});
  BOOST_TEST(!task.IsRecentlyConfirmed());
}

// Guards against dispatch after a pause based on a confirmation from before it, or on heartbeats
// that were buffered in a socket during the pause.
BOOST_FIXTURE_TEST_CASE(PauseRequiresNewConfirmation, NonPollerFixture) {
  const int gets = store.gets;
  task.OnPause();
  DeliverStatus("a", 1, Millis{0});
  BOOST_TEST(!task.IsRecentlyConfirmed());
  timers.Advance(Millis{0});
  BOOST_TEST(store.gets == gets + 1);
  DeliverStatus("a", 1, Millis{0});
  BOOST_TEST(!task.IsRecentlyConfirmed());
  timers.Advance(Millis{20});
  BOOST_TEST(task.IsRecentlyConfirmed());
  store.fault = FakeStore::Fault::kUnavailable;
  task.OnPause();
  timers.Advance(Millis{60});
  DeliverStatus("a", 1, Millis{0});
  DeliverStatus("b", 1, Millis{0});
  BOOST_TEST(!task.IsRecentlyConfirmed());
  task.OnLinkUp(InstanceId("a"), Incarnation(2));
  timers.Advance(Millis{10});
  DeliverStatus("a", 1, Millis{0});
  BOOST_TEST(task.IsRecentlyConfirmed());  // By majority: the link was established after the pause.
}

// Guards against calls to the object API whose number grows with the fleet.
BOOST_FIXTURE_TEST_CASE(OnlyTwoInstancesOfADataCentrePoll, NonPollerFixture) {
  const int before = store.gets;
  for (int i = 0; i < 20; ++i) {
    DeliverStatus("a", 1, Millis{500});
    timers.Advance(Millis{500});
  }
  BOOST_TEST(store.gets == before);
  BOOST_TEST(store.watches == 0);
  network.members[1].state = MemberState::kDead;
  task.OnMembersChanged();
  timers.Advance(Millis{10'000});
  BOOST_TEST(store.watches == 1);
  BOOST_TEST(store.gets - before >= 9);
  BOOST_TEST(store.gets - before <= 11);
}

// Guards against polls that transfer an unchanged document, which would cost each poller up to a
// megabyte per second.
BOOST_FIXTURE_TEST_CASE(PollsTransferOnlyNewDocuments, Fixture) {
  task.Start();
  timers.Advance(Millis{5'000});
  const int before = store.documents_sent;
  const int gets = store.gets;
  timers.Advance(Millis{10'000});
  BOOST_TEST(store.gets > gets + 5);
  BOOST_TEST(store.documents_sent == before);
  BOOST_TEST(store.ApplyWrite(store.value, ObjectVersion(store.version)));
  timers.Advance(Millis{3'000});
  BOOST_TEST(store.documents_sent == before + 1);
}

// Guards against linked peers that keep an old version, because they had no link when a new version
// was sent or because that message was lost.
BOOST_FIXTURE_TEST_CASE(OutdatedPeersReceiveNewVersions, NonPollerFixture) {
  network.sent.clear();
  network.unlinked = {"b"};
  task.OnPeerMessage(InstanceId("a"), ConfigMessage{ObjectVersion(2), MakeDocument("v2")});
  BOOST_TEST(network.sent.empty());  // a has the version, b has no link.
  DeliverStatus("b", 1, Millis{0});
  BOOST_REQUIRE_EQUAL(network.sent.size(), 1U);
  BOOST_TEST(network.sent.front().second.Value() == 2U);
  DeliverStatus("b", 1, Millis{0});
  BOOST_TEST(network.sent.size() == 1U);
  timers.Advance(Millis{2000});
  DeliverStatus("b", 1, Millis{0});
  BOOST_TEST(network.sent.size() == 2U);
}

// Guards against a change that is reported as complete before all members report the new version,
// and against an endless wait for members that do not.
BOOST_FIXTURE_TEST_CASE(ChangeWaitsForMembers, NonPollerFixture) {
  AddTier("new", 1);
  timers.Advance(Millis{100});
  BOOST_TEST(task.Current().version.Value() == 2U);
  DeliverStatus("a", 2, Millis{0});
  BOOST_TEST(results.empty());
  DeliverStatus("b", 2, Millis{0});
  BOOST_REQUIRE_EQUAL(results.size(), 1U);
  BOOST_TEST(std::get<0>(results[0]).Value() == 2U);
  AddTier("newer", 2);
  timers.Advance(Millis{2900});
  BOOST_TEST(results.size() == 1U);
  timers.Advance(Millis{200});
  BOOST_TEST(results.size() == 2U);
}

// Guards against two changes of the same version that both succeed or both fail.
BOOST_FIXTURE_TEST_CASE(OfTwoConflictingChangesOneWins, Fixture) {
  AddTier("first", 1);
  AddTier("second", 1);
  timers.Advance(Millis{1000});
  BOOST_REQUIRE_EQUAL(results.size(), 2U);
  BOOST_TEST(IsOk(results[0]) != IsOk(results[1]));
  const Error& error = ErrorOf(IsOk(results[0]) ? results[1] : results[0]);
  BOOST_TEST((error.kind == ErrorKind::kConflict));
  BOOST_TEST(error.message.find("version 1, but version 2") != std::string::npos);
  BOOST_TEST(store.writes == 1);
  // Equal changes result in documents that differ only in their tokens.
  AddTier("third", 2);
  AddTier("third", 2);
  timers.Advance(Millis{1000});
  BOOST_REQUIRE_EQUAL(results.size(), 4U);
  BOOST_TEST(IsOk(results[2]) != IsOk(results[3]));
}

// Guards against reporting a conflict, that is, nothing written, if the response to a write was
// lost and another change has replaced the written version.
BOOST_FIXTURE_TEST_CASE(ReplacedWriteStaysUncertain, Fixture) {
  store.put_fault = FakeStore::Fault::kLoseResponse;
  AddTier("new", 1);
  store.ApplyWrite(MakeDocument("v3"), ObjectVersion(2));
  timers.Advance(Millis{100});
  BOOST_REQUIRE_EQUAL(results.size(), 1U);
  BOOST_TEST((ErrorKindAt(0) == ErrorKind::kStoreUncertain));
}

// Guards against a wrong result of a change whose write got no definite response. The write must be
// found by reading back, repeated without a second effect, or reported as uncertain.
BOOST_AUTO_TEST_CASE(LostResponsesToAChangeAreReadBack) {
  using Fault = FakeStore::Fault;
  for (const Fault fault : {Fault::kLoseResponse, Fault::kLoseRequest, Fault::kDelayWrite}) {
    Fixture fixture;
    fixture.store.put_fault = fault;
    fixture.AddTier("new", 1);
    fixture.timers.Advance(Millis{5000});
    BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
    BOOST_REQUIRE(IsOk(fixture.results[0]));
    BOOST_TEST(std::get<0>(fixture.results[0]).Value() == 2U);
    BOOST_TEST(fixture.store.writes == 1);
  }
  Fixture fixture;
  fixture.store.put_fault = Fault::kLoseResponse;
  fixture.AddTier("new", 1);
  fixture.store.fault = Fault::kUnavailable;
  fixture.timers.Advance(Millis{11'000});
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 1U);
  BOOST_TEST((fixture.ErrorKindAt(0) == ErrorKind::kStoreUncertain));
  fixture.AddTier("other", 1);
  fixture.timers.Advance(Millis{100});
  BOOST_REQUIRE_EQUAL(fixture.results.size(), 2U);
  BOOST_TEST((fixture.ErrorKindAt(1) == ErrorKind::kStoreUnavailable));
}

// Guards against writing the result of an edit that is not a valid configuration.
BOOST_FIXTURE_TEST_CASE(InvalidChangeIsNotWritten, Fixture) {
  AddTier("v1", 1);
  timers.Advance(Millis{100});
  BOOST_REQUIRE_EQUAL(results.size(), 1U);
  BOOST_TEST((ErrorKindAt(0) == ErrorKind::kInvalidConfig));
  BOOST_TEST(ErrorOf(results[0]).field == "tiers[1].name");
  BOOST_TEST(store.writes == 0);
}

}  // namespace bluebellpass
