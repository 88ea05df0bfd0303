#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "home/home-task.h"
#include "kernel/registry.h"
#include "peer/ownership.h"

namespace bluebellpass {
namespace {

const InstanceId kSelf("i1");
const InstanceId kOwner("i0");
constexpr int kMaxTurns = 200;
constexpr int kBacklog = 2'500;  // more than fits one frame

/// Records what is sent; everything is linked.
class FakeNetwork : public PeerNetwork {
 public:
  FakeNetwork() {
    m_self.id = kSelf;
    m_self.incarnation = Incarnation(7);
    m_self.region = Region("r");
    Member self{m_self, MemberState::kAlive, 0};
    Member owner = self;
    owner.info.id = kOwner;
    owner.info.incarnation = Incarnation(8);
    self.info.is_leaving = true;  // so that the other instance owns all cells
    m_members = {self, owner};
  }

  const InstanceInfo& Self() const override { return m_self; }
  bool Send(const InstanceId& /*to*/, const PeerMessage& message) override {
    if (is_linked) sent.push_back(message);
    return is_linked;
  }
  std::vector<Member> Members() const override { return m_members; }
  bool IsLinked(const InstanceId& /*peer*/) const override { return is_linked; }
  void SetStatus(const PeerStatus& /*status*/) override {}
  void Leave() override {}
  void AddListener(PeerListener* /*listener*/) override {}

  template <class Message>
  int Count() const {
    return static_cast<int>(std::count_if(sent.begin(), sent.end(), [](const PeerMessage& m) {
      return std::holds_alternative<Message>(m);
    }));
  }

  std::vector<PeerMessage> sent;
  bool is_linked = true;

 private:
  InstanceInfo m_self;
  std::vector<Member> m_members;
};

class FakeConfig : public ConfigService {
 public:
  FakeConfig() {
    m_current.version = ObjectVersion(1);
    m_current.config.tiers = {{TierName("urgent"), TierRank(0)}, {TierName("batch"), TierRank(1)}};
    m_current.config.organisations = {{OrganisationId("o")}};
    BackendConfig backend;
    backend.id = BackendId("b");
    backend.kind = "fake";
    backend.pool = PoolName("p");
    backend.region = Region("r");
    m_current.config.backends = {backend};
  }

  const VersionedConfig& Current() const override { return m_current; }
  bool IsFresh() const override { return is_fresh; }
  void NotePause() override { is_fresh = false; }
  void Change(std::function<Result<ClusterConfig>(const ClusterConfig&)> /*edit*/,
              std::function<void(Result<ObjectVersion>)> /*done*/) override {}
  void AddListener(ConfigListener* /*listener*/) override {}

  BackendConfig& Backend() { return m_current.config.backends.front(); }

  bool is_fresh = true;

 private:
  VersionedConfig m_current;
};

class FakeLedger : public Ledger {
 public:
  void Claim(const ClaimKey& /*key*/, const RequestId& /*request*/,
             std::function<void(ClaimOutcome)> done) override {
    claims.push_back(std::move(done));
  }
  void Void(const ClaimKey& /*key*/, const RequestId& request) override {
    voided.push_back(request);
  }
  std::size_t PendingCount() const override { return 0; }

  std::vector<std::function<void(ClaimOutcome)>> claims;
  std::vector<RequestId> voided;
};

/// Runs of the fake kind of backend server, driven by the test.
struct FakeRun {
  RunRequest request;
  RunListener* listener;
};
std::vector<FakeRun> g_runs;

class FakeDriver : public BackendDriver {
 public:
  std::unique_ptr<BackendRun> Start(const RunRequest& request, RunListener& listener) override {
    g_runs.push_back({request, &listener});
    return nullptr;
  }
  std::unique_ptr<BackendRun> Resume(const Address& /*address*/, const std::string& /*stream_id*/,
                                     std::size_t /*offset*/, RunListener& /*listener*/) override {
    return nullptr;
  }
};

const Registration<BackendDriver, DriverContext> kRegistration(
    "fake", [](DriverContext /*context*/) { return std::make_unique<FakeDriver>(); });

class FakeSink : public AnswerSink {
 public:
  void OnHead(const AnswerHead& /*head*/) override { ++heads; }
  void OnData(std::uint64_t offset, std::string_view bytes) override {
    BOOST_TEST(offset == start + answer.size());
    answer.append(bytes);
  }
  void OnEnd(const AnswerEnd& answer_end) override { end = answer_end; }
  bool IsOpen() const override { return is_open; }

  std::size_t start = 0;
  int heads = 0;
  std::string answer;
  std::optional<AnswerEnd> end;
  bool is_open = true;
};

struct Fixture {
  Fixture() { g_runs.clear(); }

  ParsedRequestId Id(const std::string& nonce) { return {home.IssueTicket(), nonce}; }

  static RequestId Text(const ParsedRequestId& id) {
    return RequestId(id.ticket.Text() + "." + id.nonce);
  }

  std::shared_ptr<FakeSink> Submit(const ParsedRequestId& id, const std::string& tier = "urgent",
                                   const std::string& key = "", int deadline_ms = 60'000) {
    nlohmann::json body = {{"organisation", "o"},
                           {"tier", tier},
                           {"pool", "p"},
                           {"deadline_ms", deadline_ms},
                           {"prompt", "question"}};
    if (!key.empty()) body["idempotency_key"] = key;
    body["idempotent"] = key.empty();
    auto sink = std::make_shared<FakeSink>();
    home.Submit(id, body.dump(), sink);
    return sink;
  }

  void Grant(const ParsedRequestId& id, std::uint64_t number = 1) {
    home.OnPeerMessage(
        kOwner, GrantMessage{{PoolName("p"), Region("r")}, Text(id), number, BackendId("b")});
  }

  int Released(ReleaseReason reason) const {
    int count = 0;
    for (const PeerMessage& message : network.sent) {
      const auto* release = std::get_if<ReleaseMessage>(&message);
      if (release != nullptr && release->reason == reason) ++count;
    }
    return count;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    for (int turn = 0; turn < kMaxTurns && !condition(); ++turn) loop.RunOnce(Millis{10});
    return condition();
  }

  EventLoop loop;
  FakeNetwork network;
  FakeConfig config;
  FakeLedger ledger;
  ResumeTokenSigner tokens{{"a-key-for-tests-only"}};
  Metrics metrics;
  std::unique_ptr<Ownership> ownership = MakeOwnership(OwnershipKind::kShared, kSelf);
  HomeTask home{
      HomeContext{loop, network, config, ledger, {nullptr, &loop}, tokens, metrics, *ownership}};
};

ErrorKind KindOf(const FakeSink& sink) { return sink.end->error->kind; }

}  // namespace

// Guards against a second dispatch when an id is submitted again, at any phase.
BOOST_FIXTURE_TEST_CASE(SameIdIsDispatchedOnce, Fixture) {
  const auto id = Id("n");
  const auto first = Submit(id);
  const auto waiting = Submit(id);
  Grant(id);
  const auto running = Submit(id);
  BOOST_REQUIRE(g_runs.size() == 1U);
  g_runs[0].listener->OnStarted("stream");
  g_runs[0].listener->OnData("ans");
  g_runs[0].listener->OnData("wer");
  g_runs[0].listener->OnEnd({});
  const auto ended = Submit(id);
  Grant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
  for (const auto& sink : {first, waiting, running, ended}) {
    BOOST_TEST(sink->answer == "answer");
    BOOST_TEST((sink->end->outcome == Outcome::kCompleted));
    BOOST_TEST(sink->end->length == 6U);
  }
  BOOST_TEST(Released(ReleaseReason::kNotUsed) == 1);
}

// Guards against a dispatch for each of several grants, as two owners may give them.
BOOST_FIXTURE_TEST_CASE(SecondGrantIsReturned, Fixture) {
  const auto id = Id("n");
  Submit(id);
  Grant(id, 1);
  Grant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
  BOOST_TEST(Released(ReleaseReason::kNotUsed) == 1);
}

// Guards against a booking that is dispatched before its claim is durable.
BOOST_FIXTURE_TEST_CASE(NoDispatchBeforeTheClaim, Fixture) {
  const auto id = Id("n");
  Submit(id, "urgent", "key");
  BOOST_TEST(network.Count<ReserveMessage>() + network.Count<SyncMessage>() == 0);
  Grant(id);
  BOOST_TEST(g_runs.empty());
  ledger.claims.at(0)(ClaimConfirmed{});
  Grant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
}

// Guards against a second execution of a key that another request has claimed, and against an
// answer other than that request's own.
BOOST_FIXTURE_TEST_CASE(TakenKeyLeadsToItsHolder, Fixture) {
  const auto holder = Id("holder");
  Submit(holder, "urgent", "key");
  ledger.claims.at(0)(ClaimConfirmed{});
  Grant(holder);
  const auto second = Id("second");
  const auto sink = Submit(second, "urgent", "key");
  ledger.claims.at(1)(ClaimTaken{Text(holder)});
  Grant(second, 2);
  BOOST_REQUIRE(g_runs.size() == 1U);
  g_runs[0].listener->OnData("booked");
  g_runs[0].listener->OnEnd({});
  BOOST_TEST(sink->answer == "booked");
  BOOST_TEST(ledger.voided.empty());
}

// Guards against a claim that outlives a request which was not run, and blocks its key for a day.
BOOST_FIXTURE_TEST_CASE(ClaimOfRefusedBookingIsVoided, Fixture) {
  const auto id = Id("n");
  const auto sink = Submit(id, "urgent", "key");
  ledger.claims.at(0)(ClaimConfirmed{});
  home.OnPeerMessage(kOwner,
                     RefuseMessage{{PoolName("p"), Region("r")}, Text(id), ErrorKind::kOverloaded});
  BOOST_TEST((KindOf(*sink) == ErrorKind::kOverloaded));
  BOOST_TEST(ledger.voided.size() == 1U);
}

// Guards against running a request after its caller was told that it was not run.
BOOST_FIXTURE_TEST_CASE(NotRunIsFinal, Fixture) {
  const auto id = Id("n");
  const auto sink = Submit(id, "urgent", "", 30);
  BOOST_REQUIRE(RunUntil([&] { return sink->end.has_value(); }));
  BOOST_TEST((KindOf(*sink) == ErrorKind::kDeadlineExceeded));
  Grant(id);
  const auto again = Submit(id);
  BOOST_TEST((KindOf(*again) == ErrorKind::kDeadlineExceeded));
  Grant(id, 2);
  BOOST_TEST(g_runs.empty());
  BOOST_TEST(Released(ReleaseReason::kNotUsed) == 2);
}

// Guards against a dispatch to a leaving backend server, or on a configuration that may be old.
BOOST_FIXTURE_TEST_CASE(GrantIsCheckedAgainstTheConfiguration, Fixture) {
  const auto id = Id("n");
  Submit(id);
  config.is_fresh = false;
  Grant(id, 1);
  config.is_fresh = true;
  config.Backend().state = BackendState::kLeaving;
  Grant(id, 2);
  BOOST_TEST(g_runs.empty());
  BOOST_TEST(Released(ReleaseReason::kNotUsed) == 2);
  config.Backend().state = BackendState::kActive;
  BOOST_REQUIRE(RunUntil([&] { return network.Count<ReserveMessage>() > 0; }));
  Grant(id, 3);
  BOOST_TEST(g_runs.size() == 1U);
}

// Guards against bytes that leave after the server was drained or the deadline has passed between
// the grant and the connection.
BOOST_FIXTURE_TEST_CASE(LastCheckBeforeSending, Fixture) {
  const auto id = Id("n");
  const auto sink = Submit(id);
  Grant(id);
  BOOST_REQUIRE(g_runs.size() == 1U);
  BOOST_TEST(g_runs[0].request.may_send());
  config.Backend().state = BackendState::kLeaving;
  BOOST_TEST(!g_runs[0].request.may_send());
  g_runs[0].listener->OnFailure(RunFailure::kWithdrawn, "withdrawn");
  BOOST_TEST(!sink->end.has_value());
  BOOST_TEST(home.WaitingRequests().size() == 1U);
}

// Guards against "not run" for a request whose backend server may have run it.
BOOST_FIXTURE_TEST_CASE(LostRunIsUnknown, Fixture) {
  const auto id = Id("n");
  const auto sink = Submit(id, "urgent", "key");
  ledger.claims.at(0)(ClaimConfirmed{});
  Grant(id);
  g_runs.at(0).listener->OnFailure(RunFailure::kBackendDied, "gone");
  BOOST_TEST((sink->end->outcome == Outcome::kUnknown));
  BOOST_TEST(ledger.voided.empty());
  BOOST_TEST(Released(ReleaseReason::kBackendLost) == 1);
}

// Guards against a quarantine of content whose backend server was only out of reach.
BOOST_FIXTURE_TEST_CASE(UnreachableServerIsNoDeath, Fixture) {
  const auto id = Id("n");
  const auto sink = Submit(id);
  Grant(id);
  g_runs.at(0).listener->OnFailure(RunFailure::kContactLost, "silent");
  BOOST_TEST((sink->end->outcome == Outcome::kUnknown));
  BOOST_TEST(Released(ReleaseReason::kBackendLost) == 0);
  BOOST_TEST(Released(ReleaseReason::kUnreachable) == 1);
}

// Guards against lower-tier work that is kept, or admitted, below a promised floor.
BOOST_FIXTURE_TEST_CASE(FloorShedsAndRefusesBelow, Fixture) {
  const auto urgent = Submit(Id("u"));
  const auto batch = Submit(Id("b"), "batch");
  const auto claiming = Submit(Id("c"), "batch", "key");
  home.OnPeerMessage(kOwner, FloorAskMessage{5, PoolName("p"), TierRank(0), Millis{10'000}});
  BOOST_TEST(!urgent->end.has_value());
  BOOST_TEST((KindOf(*batch) == ErrorKind::kOverloaded));
  BOOST_TEST((KindOf(*claiming) == ErrorKind::kOverloaded));
  BOOST_TEST(ledger.voided.size() == 1U);
  BOOST_TEST(network.Count<FloorAckMessage>() == 1);
  BOOST_TEST((KindOf(*Submit(Id("late"), "batch")) == ErrorKind::kOverloaded));
  BOOST_TEST(!Submit(Id("more"))->end.has_value());
}

// Guards against ids of another incarnation, which may have run there.
BOOST_FIXTURE_TEST_CASE(ForeignTicketIsNotDispatched, Fixture) {
  auto id = Id("n");
  id.ticket.incarnation = Incarnation(6);
  BOOST_TEST((KindOf(*Submit(id)) == ErrorKind::kHomeUnreachable));
  auto future = Id("m");
  future.ticket.issued_s += 1'000;
  BOOST_TEST((KindOf(*Submit(future)) == ErrorKind::kBadRequestId));
  BOOST_TEST(home.WaitingRequests().empty());
}

// Guards against a gap or a repeated byte when a reader comes back with an offset.
BOOST_FIXTURE_TEST_CASE(FetchResumesAtTheOffset, Fixture) {
  const auto id = Id("n");
  Submit(id);
  Grant(id);
  g_runs.at(0).listener->OnData("abc");
  auto sink = std::make_shared<FakeSink>();
  sink->start = 2;
  home.Fetch(id, 2, sink);
  g_runs.at(0).listener->OnData("def");
  g_runs.at(0).listener->OnEnd({});
  BOOST_TEST(sink->answer == "cdef");
  BOOST_TEST(sink->end->length == 6U);
}

// Guards against memory that grows with answers which nobody fetches, and against a caller that is
// told anything but the truth about an answer that was dropped.
BOOST_FIXTURE_TEST_CASE(KeptAnswersAreBounded, Fixture) {
  HomeTask small(
      HomeContext{loop, network, config, ledger, {nullptr, &loop}, tokens, metrics, *ownership, 4});
  const ParsedRequestId id{small.IssueTicket(), "n"};
  const std::string body =
      R"({"organisation":"o","tier":"urgent","pool":"p","deadline_ms":60000,"prompt":"x"})";
  small.Submit(id, body, std::make_shared<FakeSink>());
  small.OnPeerMessage(kOwner,
                      GrantMessage{{PoolName("p"), Region("r")}, Text(id), 1, BackendId("b")});
  g_runs.at(0).listener->OnData("answer");
  g_runs.at(0).listener->OnEnd({});
  auto late = std::make_shared<FakeSink>();
  BOOST_REQUIRE(RunUntil([&] {
    late = std::make_shared<FakeSink>();
    small.Fetch(id, 0, late);
    return late->end->error.has_value();
  }));
  BOOST_TEST((KindOf(*late) == ErrorKind::kAnswerExpired));
}

// Guards against reservations that are lost with their owner or the link to it.
BOOST_FIXTURE_TEST_CASE(WorkIsSyncedAfterANewLink, Fixture) {
  const auto running = Id("r");
  Submit(running);
  Grant(running);
  Submit(Id("w"));
  const int before = network.Count<SyncMessage>();
  home.OnLinkDown(kOwner);
  home.OnLinkUp(kOwner, Incarnation(8));
  BOOST_REQUIRE(network.Count<SyncMessage>() == before + 1);
  const auto sync = std::get<SyncMessage>(network.sent.back());
  BOOST_TEST(sync.waiting.size() == 1U);
  BOOST_TEST(sync.running.size() == 1U);
}

// Guards against a backlog that is too large for one frame and is then never reserved.
BOOST_FIXTURE_TEST_CASE(LargeBacklogIsSyncedInParts, Fixture) {
  network.is_linked = false;
  for (int i = 0; i < kBacklog; ++i) Submit(Id("n" + std::to_string(i)));
  network.is_linked = true;
  home.OnLinkUp(kOwner, Incarnation(8));
  BOOST_REQUIRE(network.Count<SyncMessage>() == 1);
  const auto sync = std::get<SyncMessage>(network.sent.front());
  BOOST_TEST(sync.waiting.size() < static_cast<std::size_t>(kBacklog));
  const int rest = network.Count<ReserveMessage>();
  BOOST_TEST(static_cast<int>(sync.waiting.size()) + rest == kBacklog);
}

// Guards against work that is taken after the signal to stop.
BOOST_FIXTURE_TEST_CASE(StoppingHomeTakesNothingNew, Fixture) {
  const auto kept = Submit(Id("kept"));
  home.BeginStop();
  BOOST_TEST((KindOf(*Submit(Id("new"))) == ErrorKind::kStopping));
  BOOST_TEST(!home.IsIdle());
  home.RefuseUndispatched();
  BOOST_TEST((kept->end->outcome == Outcome::kNotRun));
  BOOST_TEST(home.IsIdle());
}

}  // namespace bluebellpass
