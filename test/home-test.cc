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
constexpr int kMaxIterations = 200;
constexpr int kBacklogSize = 2'500;  // requests; more than one sync message may contain

/// Records the sent messages. All instances are linked unless is_linked is false.
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
    self.info.is_leaving = true;  // the other instance owns all cells
    m_members = {self, owner};
  }

  const InstanceInfo& Self() const override { return m_self; }
  bool Send(const InstanceId& /*to*/, const PeerMessage& message) override {
    if (is_linked) sent_messages.push_back(message);
    return is_linked;
  }
  std::vector<Member> Members() const override { return m_members; }
  bool IsLinked(const InstanceId& /*peer*/) const override { return is_linked; }
  void SetStatus(const PeerStatus& /*status*/) override {}
  void Leave() override {}
  void AddListener(PeerListener* /*listener*/) override {}

  template <class Message>
  int CountSent() const {
    return static_cast<int>(
        std::count_if(sent_messages.begin(), sent_messages.end(),
                      [](const PeerMessage& m) { return std::holds_alternative<Message>(m); }));
  }

  std::vector<PeerMessage> sent_messages;
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
  bool IsRecentlyConfirmed() const override { return is_recently_confirmed; }
  void OnPause() override { is_recently_confirmed = false; }
  void ChangeConfig(std::function<Result<ClusterConfig>(const ClusterConfig&)> /*edit*/,
                    std::function<void(Result<ObjectVersion>)> /*done*/) override {}
  void AddListener(ConfigListener* /*listener*/) override {}

  BackendConfig& Backend() { return m_current.config.backends.front(); }

  bool is_recently_confirmed = true;

 private:
  VersionedConfig m_current;
};

class FakeLedger : public Ledger {
 public:
  void Claim(const ClaimKey& /*key*/, const RequestId& /*request*/,
             std::function<void(ClaimOutcome)> done) override {
    claim_callbacks.push_back(std::move(done));
  }
  void Void(const ClaimKey& /*key*/, const RequestId& request) override {
    voided_requests.push_back(request);
  }
  std::size_t PendingCount() const override { return 0; }

  std::vector<std::function<void(ClaimOutcome)>> claim_callbacks;
  std::vector<RequestId> voided_requests;
};

/// A run on a fake backend server; the test calls its listener.
struct FakeRun {
  RunRequest request;
  RunListener* listener;
};
std::vector<FakeRun> g_runs;

class FakeDriver : public BackendDriver {
 public:
  std::unique_ptr<BackendRun> StartRun(const RunRequest& request, RunListener& listener) override {
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
  void OnHead(const AnswerHead& /*head*/) override { ++head_count; }
  void OnData(std::uint64_t offset, std::string_view bytes) override {
    BOOST_TEST(offset == start_offset + answer.size());
    answer.append(bytes);
  }
  void OnEnd(const AnswerEnd& answer_end) override { end = answer_end; }
  bool IsOpen() const override { return is_open; }

  std::size_t start_offset = 0;
  int head_count = 0;
  std::string answer;
  std::optional<AnswerEnd> end;
  bool is_open = true;
};

struct Fixture {
  Fixture() { g_runs.clear(); }

  ParsedRequestId MakeId(const std::string& nonce) { return {home.IssueTicket(), nonce}; }

  static RequestId FullId(const ParsedRequestId& id) {
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

  void SendGrant(const ParsedRequestId& id, std::uint64_t grant_number = 1) {
    home.OnPeerMessage(
        kOwner,
        GrantMessage{{PoolName("p"), Region("r")}, FullId(id), grant_number, BackendId("b")});
  }

  int CountReleases(ReleaseReason reason) const {
    int count = 0;
    for (const PeerMessage& message : network.sent_messages) {
      const auto* release = std::get_if<ReleaseMessage>(&message);
      if (release != nullptr && release->reason == reason) ++count;
    }
    return count;
  }

  bool RunUntil(const std::function<bool()>& condition) {
    for (int iteration = 0; iteration < kMaxIterations && !condition(); ++iteration)
      loop.RunOnce(Millis{10});
    return condition();
  }

  EventLoop loop;
  FakeNetwork network;
  FakeConfig config;
  FakeLedger ledger;
  ResumeTokenSigner tokens{{"a-key-for-tests-only"}};
  Metrics metrics;
  std::unique_ptr<Ownership> ownership = MakeOwnership(OwnershipKind::kSingleOwner, kSelf);
  HomeTask home{
      HomeContext{loop, network, config, ledger, {nullptr, &loop}, tokens, metrics, *ownership}};
};

ErrorKind ErrorKindOf(const FakeSink& sink) { return sink.end->error->kind; }

}  // namespace

// Guards against a second dispatch when the same request id is submitted again while the request
// waits, runs or has ended.
BOOST_FIXTURE_TEST_CASE(SameIdIsDispatchedOnce, Fixture) {
  const auto id = MakeId("n");
  const auto first = Submit(id);
  const auto waiting = Submit(id);
  SendGrant(id);
  const auto running = Submit(id);
  BOOST_REQUIRE(g_runs.size() == 1U);
  g_runs[0].listener->OnStarted("stream");
  g_runs[0].listener->OnData("ans");
  g_runs[0].listener->OnData("wer");
  g_runs[0].listener->OnEnd({});
  const auto ended = Submit(id);
  SendGrant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
  for (const auto& sink : {first, waiting, running, ended}) {
    BOOST_TEST(sink->answer == "answer");
    BOOST_TEST((sink->end->outcome == Outcome::kCompleted));
    BOOST_TEST(sink->end->length == 6U);
  }
  BOOST_TEST(CountReleases(ReleaseReason::kNotUsed) == 1);
}

// Guards against a faulty backend server whose answer without end fills the memory or drives out
// the answers of other requests.
BOOST_FIXTURE_TEST_CASE(EndlessAnswerEndsItsRequestOnly, Fixture) {
  const auto sound = MakeId("sound");
  const auto faulty = MakeId("faulty");
  Submit(sound);
  SendGrant(sound);
  g_runs[0].listener->OnStarted("stream");
  g_runs[0].listener->OnData("answer");
  g_runs[0].listener->OnEnd({});
  const auto sink = Submit(faulty);
  SendGrant(faulty, 2);
  RunListener& listener = *g_runs[1].listener;
  listener.OnStarted("stream");
  const std::string chunk(1U << 20U, 'x');
  int chunks = 0;
  while (!sink->end && chunks < 64) {
    listener.OnData(chunk);
    ++chunks;
  }
  BOOST_REQUIRE(sink->end.has_value());
  BOOST_TEST((ErrorKindOf(*sink) == ErrorKind::kBackendLost));
  BOOST_TEST(chunks <= 17);
  BOOST_TEST(CountReleases(ReleaseReason::kUnreachable) == 1);
  // What the run had received before it was stopped.
  listener.OnData(chunk);
  listener.OnEnd({});
  BOOST_TEST(CountReleases(ReleaseReason::kCompleted) == 1);
  BOOST_TEST(Submit(sound)->answer == "answer");
}

// Guards against answers that together take more memory than the limit while their runs go on and
// their readers do not read.
BOOST_FIXTURE_TEST_CASE(RunningAnswersShareTheMemory, Fixture) {
  struct SlowSink : FakeSink {
    bool IsReady() const override { return false; }
  };
  const std::string chunk(1U << 20U, 'x');
  const std::size_t count = 40;
  std::vector<std::shared_ptr<SlowSink>> sinks;
  for (std::size_t i = 0; i < count; ++i) {
    const auto id = MakeId("n" + std::to_string(i));
    Submit(id);
    sinks.push_back(std::make_shared<SlowSink>());
    home.Fetch(id, 0, sinks.back());
    SendGrant(id, i + 1);
    g_runs[i].listener->OnStarted("stream");
  }
  // 40 answers of 10 MB; the limit is 256 MB.
  for (int n = 0; n < 10; ++n)
    for (std::size_t i = 0; i < count; ++i) g_runs[i].listener->OnData(chunk);
  const auto ended = std::count_if(sinks.begin(), sinks.end(),
                                   [](const auto& sink) { return sink->end.has_value(); });
  BOOST_TEST(ended >= 14);
  BOOST_TEST(ended < 40);
}

// Guards against a second dispatch when a request gets two grants. Two instances may own its cell
// for a moment, and each may grant.
BOOST_FIXTURE_TEST_CASE(SecondGrantIsReturned, Fixture) {
  const auto id = MakeId("n");
  Submit(id);
  SendGrant(id, 1);
  SendGrant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
  BOOST_TEST(CountReleases(ReleaseReason::kNotUsed) == 1);
}

// Guards against the dispatch of a non-idempotent request before the claim of its idempotency key
// is durable.
BOOST_FIXTURE_TEST_CASE(NoDispatchBeforeClaimIsConfirmed, Fixture) {
  const auto id = MakeId("n");
  Submit(id, "urgent", "key");
  BOOST_TEST(network.CountSent<ReserveMessage>() + network.CountSent<SyncMessage>() == 0);
  SendGrant(id);
  BOOST_TEST(g_runs.empty());
  ledger.claim_callbacks.at(0)(ClaimConfirmed{});
  SendGrant(id, 2);
  BOOST_TEST(g_runs.size() == 1U);
}

// Guards against a second run for an idempotency key claimed by another request, and against an
// answer other than that of the other request.
BOOST_FIXTURE_TEST_CASE(ClaimedKeyReturnsAnswerOfItsHolder, Fixture) {
  const auto holder = MakeId("holder");
  Submit(holder, "urgent", "key");
  ledger.claim_callbacks.at(0)(ClaimConfirmed{});
  SendGrant(holder);
  const auto second = MakeId("second");
  const auto sink = Submit(second, "urgent", "key");
  ledger.claim_callbacks.at(1)(ClaimTaken{FullId(holder)});
  SendGrant(second, 2);
  BOOST_REQUIRE(g_runs.size() == 1U);
  g_runs[0].listener->OnData("booked");
  g_runs[0].listener->OnEnd({});
  BOOST_TEST(sink->answer == "booked");
  BOOST_TEST(ledger.voided_requests.empty());
}

// Guards against a claim that is kept for a request that was not run, which would block the
// idempotency key for a day.
BOOST_FIXTURE_TEST_CASE(ClaimOfRefusedRequestIsVoided, Fixture) {
  const auto id = MakeId("n");
  const auto sink = Submit(id, "urgent", "key");
  ledger.claim_callbacks.at(0)(ClaimConfirmed{});
  home.OnPeerMessage(
      kOwner, RefuseMessage{{PoolName("p"), Region("r")}, FullId(id), ErrorKind::kOverloaded});
  BOOST_TEST((ErrorKindOf(*sink) == ErrorKind::kOverloaded));
  BOOST_TEST(ledger.voided_requests.size() == 1U);
}

// Guards against the dispatch of a request that was reported to its caller as not run.
BOOST_FIXTURE_TEST_CASE(NotRunIsFinal, Fixture) {
  const auto id = MakeId("n");
  const auto sink = Submit(id, "urgent", "", 30);
  BOOST_REQUIRE(RunUntil([&] { return sink->end.has_value(); }));
  BOOST_TEST((ErrorKindOf(*sink) == ErrorKind::kDeadlineExceeded));
  SendGrant(id);
  const auto again = Submit(id);
  BOOST_TEST((ErrorKindOf(*again) == ErrorKind::kDeadlineExceeded));
  SendGrant(id, 2);
  BOOST_TEST(g_runs.empty());
  BOOST_TEST(CountReleases(ReleaseReason::kNotUsed) == 2);
}

// Guards against a dispatch to a leaving backend server, or with a configuration that may be
// outdated.
BOOST_FIXTURE_TEST_CASE(GrantIsCheckedAgainstTheConfiguration, Fixture) {
  const auto id = MakeId("n");
  Submit(id);
  config.is_recently_confirmed = false;
  SendGrant(id, 1);
  config.is_recently_confirmed = true;
  config.Backend().state = BackendState::kLeaving;
  SendGrant(id, 2);
  BOOST_TEST(g_runs.empty());
  BOOST_TEST(CountReleases(ReleaseReason::kNotUsed) == 2);
  config.Backend().state = BackendState::kActive;
  BOOST_REQUIRE(RunUntil([&] { return network.CountSent<ReserveMessage>() > 0; }));
  SendGrant(id, 3);
  BOOST_TEST(g_runs.size() == 1U);
}

// Guards against sending a request to a backend server that was drained, or after the deadline,
// when this happens between the grant and the connection.
BOOST_FIXTURE_TEST_CASE(ChecksAgainBeforeSending, Fixture) {
  const auto id = MakeId("n");
  const auto sink = Submit(id);
  SendGrant(id);
  BOOST_REQUIRE(g_runs.size() == 1U);
  BOOST_TEST(g_runs[0].request.may_send());
  config.Backend().state = BackendState::kLeaving;
  BOOST_TEST(!g_runs[0].request.may_send());
  g_runs[0].listener->OnFailure(RunFailure::kWithdrawn, "withdrawn");
  BOOST_TEST(!sink->end.has_value());
  BOOST_TEST(home.WaitingRequests().size() == 1U);
}

// Guards against the report "not run" for a request that the backend server may have run.
BOOST_FIXTURE_TEST_CASE(LostRunHasUnknownOutcome, Fixture) {
  const auto id = MakeId("n");
  const auto sink = Submit(id, "urgent", "key");
  ledger.claim_callbacks.at(0)(ClaimConfirmed{});
  SendGrant(id);
  g_runs.at(0).listener->OnFailure(RunFailure::kBackendDied, "gone");
  BOOST_TEST((sink->end->outcome == Outcome::kUnknown));
  BOOST_TEST(ledger.voided_requests.empty());
  BOOST_TEST(CountReleases(ReleaseReason::kBackendLost) == 1);
}

// Guards against the quarantine of a content whose backend server was unreachable but had not died.
BOOST_FIXTURE_TEST_CASE(UnreachableServerIsNotReportedAsLost, Fixture) {
  const auto id = MakeId("n");
  const auto sink = Submit(id);
  SendGrant(id);
  g_runs.at(0).listener->OnFailure(RunFailure::kContactLost, "silent");
  BOOST_TEST((sink->end->outcome == Outcome::kUnknown));
  BOOST_TEST(CountReleases(ReleaseReason::kBackendLost) == 0);
  BOOST_TEST(CountReleases(ReleaseReason::kUnreachable) == 1);
}

// Guards against undispatched requests that are kept or admitted below a promised shed floor.
BOOST_FIXTURE_TEST_CASE(ShedFloorRefusesTiersBelow, Fixture) {
  const auto urgent = Submit(MakeId("u"));
  const auto batch = Submit(MakeId("b"), "batch");
  const auto claiming = Submit(MakeId("c"), "batch", "key");
  home.OnPeerMessage(kOwner, FloorAskMessage{5, PoolName("p"), TierRank(0), Millis{10'000}});
  BOOST_TEST(!urgent->end.has_value());
  BOOST_TEST((ErrorKindOf(*batch) == ErrorKind::kOverloaded));
  BOOST_TEST((ErrorKindOf(*claiming) == ErrorKind::kOverloaded));
  BOOST_TEST(ledger.voided_requests.size() == 1U);
  BOOST_TEST(network.CountSent<FloorAckMessage>() == 1);
  BOOST_TEST((ErrorKindOf(*Submit(MakeId("late"), "batch")) == ErrorKind::kOverloaded));
  BOOST_TEST(!Submit(MakeId("more"))->end.has_value());
}

// Guards against the dispatch of a request id from another incarnation, which may have run the
// request, or with a ticket that was not issued yet.
BOOST_FIXTURE_TEST_CASE(ForeignTicketIsNotDispatched, Fixture) {
  auto id = MakeId("n");
  id.ticket.incarnation = Incarnation(6);
  BOOST_TEST((ErrorKindOf(*Submit(id)) == ErrorKind::kHomeUnreachable));
  auto future = MakeId("m");
  future.ticket.issued_s += 1'000;
  BOOST_TEST((ErrorKindOf(*Submit(future)) == ErrorKind::kBadRequestId));
  BOOST_TEST(home.WaitingRequests().empty());
}

// Guards against missing or repeated bytes when a reader fetches the answer from an offset.
BOOST_FIXTURE_TEST_CASE(FetchStartsAtTheOffset, Fixture) {
  const auto id = MakeId("n");
  Submit(id);
  SendGrant(id);
  g_runs.at(0).listener->OnData("abc");
  auto sink = std::make_shared<FakeSink>();
  sink->start_offset = 2;
  home.Fetch(id, 2, sink);
  g_runs.at(0).listener->OnData("def");
  g_runs.at(0).listener->OnEnd({});
  BOOST_TEST(sink->answer == "cdef");
  BOOST_TEST(sink->end->length == 6U);
}

// Guards against unlimited memory for retained answers, and against a wrong error for the fetch of
// an answer that was discarded.
BOOST_FIXTURE_TEST_CASE(MemoryOfRetainedAnswersIsLimited, Fixture) {
  HomeTask small_home(
      HomeContext{loop, network, config, ledger, {nullptr, &loop}, tokens, metrics, *ownership, 4});
  const ParsedRequestId id{small_home.IssueTicket(), "n"};
  const std::string body =
      R"({"organisation":"o","tier":"urgent","pool":"p","deadline_ms":60000,"prompt":"x"})";
  small_home.Submit(id, body, std::make_shared<FakeSink>());
  small_home.OnPeerMessage(
      kOwner, GrantMessage{{PoolName("p"), Region("r")}, FullId(id), 1, BackendId("b")});
  g_runs.at(0).listener->OnData("answer");
  g_runs.at(0).listener->OnEnd({});
  auto late = std::make_shared<FakeSink>();
  BOOST_REQUIRE(RunUntil([&] {
    late = std::make_shared<FakeSink>();
    small_home.Fetch(id, 0, late);
    return late->end->error.has_value();
  }));
  BOOST_TEST((ErrorKindOf(*late) == ErrorKind::kAnswerExpired));
}

// Guards against reservations and runs that the owner does not know after its link was replaced.
BOOST_FIXTURE_TEST_CASE(RequestsAreSyncedOverANewLink, Fixture) {
  const auto running = MakeId("r");
  Submit(running);
  SendGrant(running);
  Submit(MakeId("w"));
  const int before = network.CountSent<SyncMessage>();
  home.OnLinkDown(kOwner);
  home.OnLinkUp(kOwner, Incarnation(8));
  BOOST_REQUIRE(network.CountSent<SyncMessage>() == before + 1);
  const auto sync = std::get<SyncMessage>(network.sent_messages.back());
  BOOST_TEST(sync.waiting.size() == 1U);
  BOOST_TEST(sync.running.size() == 1U);
}

// Guards against requests that are never reserved because their sync would exceed the frame limit.
BOOST_FIXTURE_TEST_CASE(LargeBacklogIsSyncedInParts, Fixture) {
  network.is_linked = false;
  for (int i = 0; i < kBacklogSize; ++i) Submit(MakeId("n" + std::to_string(i)));
  network.is_linked = true;
  home.OnLinkUp(kOwner, Incarnation(8));
  BOOST_REQUIRE(network.CountSent<SyncMessage>() == 1);
  const auto sync = std::get<SyncMessage>(network.sent_messages.front());
  BOOST_TEST(sync.waiting.size() < static_cast<std::size_t>(kBacklogSize));
  const int reserved = network.CountSent<ReserveMessage>();
  BOOST_TEST(static_cast<int>(sync.waiting.size()) + reserved == kBacklogSize);
}

// Guards against requests that are accepted after the signal to stop.
BOOST_FIXTURE_TEST_CASE(StoppingHomeRefusesNewRequests, Fixture) {
  const auto kept = Submit(MakeId("kept"));
  home.BeginStop();
  BOOST_TEST((ErrorKindOf(*Submit(MakeId("new"))) == ErrorKind::kStopping));
  BOOST_TEST(!home.IsIdle());
  home.RefuseUndispatched();
  BOOST_TEST((kept->end->outcome == Outcome::kNotRun));
  BOOST_TEST(home.IsIdle());
}

}  // namespace bluebellpass
