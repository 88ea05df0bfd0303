#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

#include "gateway/decisions/coordinator.h"

/// Requests that crash the engines that begin to run them.

namespace bluebellpass::gateway {
namespace {

const TimePoint kStart{Millis{1'000'000}};
// Bounds of the platform: so long after so many crashes, at most so many further sends.
constexpr std::size_t kCrashesBeforeBound = 3;
constexpr std::size_t kPartCrashesBeforeBound = 5;
constexpr Millis kStableWindow{3'000};
constexpr int kMaxLateSends = 3;
constexpr std::uint64_t kSeeds[] = {1, 2, 3};

constexpr Millis kStep{5};
constexpr Millis kPlayLength{24'000};
constexpr int kEngines = 8;
constexpr int kSlots = 6;
constexpr Millis kPrefillTime{60};
constexpr Millis kDecodeTime{100};
constexpr Millis kDownTime{3'200};
constexpr Millis kCrasherPeriod{400};
constexpr double kSoundPerSecond = 240;
constexpr std::uint64_t kCrasher = 99;
constexpr std::uint64_t kCommonParts = 40;

RequestInfo RequestOf(const std::string& id, std::uint64_t fingerprint, TimePoint now = kStart) {
  RequestInfo request;
  request.id = AttemptId(id);
  request.home = InstanceId("home");
  request.service = ServiceName("chat");
  request.arrived = now;
  request.latency_objective = Millis{1'000};
  request.patience = Millis{4'000};
  request.deadline = now + Millis{15'000};
  request.prompt_tokens = 2'000;
  request.output_tokens = 100;
  request.fingerprint = fingerprint;
  return request;
}

Service EngineService() {
  Service service;
  service.name = ServiceName("chat");
  service.engine = EngineProperties{kSlots, 0, 5};
  return service;
}

Backend BackendOf(const std::string& id, int slots) {
  Backend backend;
  backend.id = BackendId(id);
  backend.service = ServiceName("chat");
  backend.slots = slots;
  return backend;
}

/// Simulates engines that read prompts one at a time in order of arrival. An engine that begins the
/// response to the crashing request crashes and comes back some seconds later under a new id.
class CrashSimulation {
 public:
  enum class Cause { kContent, kPart };

  CrashSimulation(std::uint64_t seed, Cause cause) : m_random(seed), m_cause(cause) {
    m_engines.resize(kEngines);
    for (Engine& engine : m_engines) Register(engine);
  }

  void Run() {
    for (; m_now < kStart + kPlayLength; m_now += kStep) {
      AddArrivals();
      for (Engine& engine : m_engines) Advance(engine);
      const Decisions decisions = m_coordinator.Decide(m_now);
      for (const Grant& grant : decisions.grants) Send(grant);
      for (const Refusal& refusal : decisions.refusals)
        if (refusal.reason == RefusalReason::kQuarantined && !IsCrasher(refusal.id))
          ++m_sound_quarantined;
    }
  }

  /// @return number of crashing requests that were sent later than the bound after a crash
  int LateSends(std::size_t crash_number) const {
    if (m_crashes.size() < crash_number) return 0;
    const TimePoint bound = m_crashes[crash_number - 1] + kStableWindow;
    return static_cast<int>(
        std::count_if(m_sends.begin(), m_sends.end(), [&](TimePoint at) { return at > bound; }));
  }
  std::size_t CrashCount() const { return m_crashes.size(); }
  int SoundQuarantined() const { return m_sound_quarantined; }
  int SoundServed() const { return m_sound_served; }

 private:
  struct Engine {
    BackendId id;
    std::optional<TimePoint> back_at;
    std::deque<AttemptId> prefilling;
    TimePoint prefill_end;
    std::map<AttemptId, TimePoint> decoding;  ///< with the time of the last event
  };

  static bool IsCrasher(const AttemptId& id) { return id.Text().starts_with("crasher"); }

  void Register(Engine& engine) {
    engine.id = BackendId("e" + std::to_string(m_next_engine++));
    m_coordinator.RequestScheduler().SetBackend(BackendOf(engine.id.Text(), kSlots), &m_service);
  }

  void Submit(const std::string& id, std::uint64_t fingerprint) {
    RequestInfo request = RequestOf(id, fingerprint, m_now);
    // All requests share the first part, and some the second.
    request.shared_parts = {Fingerprint{1}, Fingerprint{2 + StableHash(id) % kCommonParts}};
    if (m_cause == Cause::kPart && IsCrasher(request.id))
      request.shared_parts.emplace_back(kCrasher);
    m_coordinator.Submit(std::move(request), m_now);
  }

  void AddArrivals() {
    if ((m_now - kStart) % kCrasherPeriod == Millis{0}) {
      const std::string id = "crasher" + std::to_string(++m_next_request);
      Submit(id, m_cause == Cause::kContent ? kCrasher : StableHash(id));
    }
    for (int count = m_sound_arrivals(m_random); count > 0; --count) {
      const std::string id = "sound" + std::to_string(++m_next_request);
      Submit(id, StableHash(id));
    }
  }

  void Send(const Grant& grant) {
    const auto found = std::find_if(m_engines.begin(), m_engines.end(), [&](const Engine& engine) {
      return engine.id == grant.backend;
    });
    BOOST_REQUIRE((found != m_engines.end()));
    if (found->back_at) {
      m_coordinator.ReleaseRun(grant.id, {}, m_now);
      m_coordinator.RequestScheduler().AvoidBackend(grant.backend, m_now + Millis{500});
      return m_coordinator.OnBackendUnreachable(grant.backend, m_now);
    }
    if (IsCrasher(grant.id)) m_sends.push_back(m_now);
    if (found->prefilling.empty()) found->prefill_end = m_now + kPrefillTime;
    found->prefilling.push_back(grant.id);
  }

  void Advance(Engine& engine) {
    if (engine.back_at) {
      if (m_now < *engine.back_at) return;
      m_coordinator.RequestScheduler().RemoveBackend(engine.id);
      engine.back_at.reset();
      Register(engine);
    }
    if (!engine.prefilling.empty() && m_now >= engine.prefill_end) {
      const AttemptId id = engine.prefilling.front();
      if (IsCrasher(id)) return Crash(engine);
      engine.prefilling.pop_front();
      engine.prefill_end = m_now + kPrefillTime;
      engine.decoding.emplace(id, m_now + kDecodeTime);
      m_coordinator.RequestScheduler().RecordFirstEvent(id, kPrefillTime, m_now);
    }
    RunReport report;
    report.outcome = RunOutcome::kCompleted;
    std::erase_if(engine.decoding, [&](const auto& run) {
      if (m_now < run.second) return false;
      m_coordinator.ReleaseRun(run.first, report, m_now);
      ++m_sound_served;
      return true;
    });
  }

  void Crash(Engine& engine) {
    m_crashes.push_back(m_now);
    RunReport report;
    report.outcome = RunOutcome::kFailed;
    for (const auto& [id, end] : engine.decoding) m_coordinator.ReleaseRun(id, report, m_now);
    report.outcome = RunOutcome::kLost;
    // The homes of the runs report in any order.
    std::shuffle(engine.prefilling.begin(), engine.prefilling.end(), m_random);
    for (const AttemptId& id : engine.prefilling) m_coordinator.ReleaseRun(id, report, m_now);
    engine.decoding.clear();
    engine.prefilling.clear();
    engine.back_at = m_now + kDownTime;
  }

  std::mt19937_64 m_random;
  Cause m_cause;
  std::poisson_distribution<int> m_sound_arrivals{kSoundPerSecond * (kStep / Millis{1}) / 1'000};
  Service m_service = EngineService();
  Coordinator m_coordinator;
  std::vector<Engine> m_engines;
  TimePoint m_now = kStart;
  int m_next_engine = 0;
  int m_next_request = 0;
  std::vector<TimePoint> m_crashes;
  std::vector<TimePoint> m_sends;  ///< of the crashing request to engines that run
  int m_sound_quarantined = 0;
  int m_sound_served = 0;
};

void CheckCrashes(std::uint64_t seed, CrashSimulation::Cause cause, std::size_t crash_number) {
  CrashSimulation simulation(seed, cause);
  simulation.Run();
  BOOST_TEST_MESSAGE("seed " << seed << ": crashes " << simulation.CrashCount() << ", late sends "
                             << simulation.LateSends(crash_number) << ", sound requests served "
                             << simulation.SoundServed() << ", quarantined "
                             << simulation.SoundQuarantined());
  BOOST_TEST_CONTEXT("seed " << seed) {
    BOOST_TEST(simulation.CrashCount() >= 1U);
    BOOST_TEST(simulation.LateSends(crash_number) <= kMaxLateSends);
    BOOST_TEST(simulation.SoundServed() > 1'000);
    BOOST_TEST(simulation.SoundQuarantined() == 0);
  }
}

}  // namespace

// Guards against counting a crash against another request than the one that caused it.
BOOST_AUTO_TEST_CASE(CrashingRequestAmongOthersIsQuarantined) {
  for (const std::uint64_t seed : kSeeds)
    CheckCrashes(seed, CrashSimulation::Cause::kContent, kCrashesBeforeBound);
}

// Guards against a part of prompts that crashes engines in one new request after another.
BOOST_AUTO_TEST_CASE(CrashingPartAmongOthersIsQuarantined) {
  for (const std::uint64_t seed : kSeeds)
    CheckCrashes(seed, CrashSimulation::Cause::kPart, kPartCrashesBeforeBound);
}

// Guards against granting a request that was queued before its content was quarantined.
BOOST_AUTO_TEST_CASE(QueuedRequestIsRefusedOnQuarantine) {
  Coordinator coordinator;
  const Service service = EngineService();
  for (const char* id : {"a", "b"})
    coordinator.RequestScheduler().SetBackend(BackendOf(id, 1), &service);
  // Two run, the others wait.
  for (int i = 0; i < 4; ++i) coordinator.Submit(RequestOf("w" + std::to_string(i), 7), kStart);
  const std::vector<Grant> grants = coordinator.Decide(kStart).grants;
  BOOST_REQUIRE(grants.size() == 2U);
  TimePoint now = kStart;
  for (const Grant& grant : grants) {
    now += Millis{500};
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.ReleaseRun(grant.id, report, now);
    coordinator.OnBackendUnreachable(grant.backend, now);
  }
  const Decisions decisions = coordinator.Decide(now);
  BOOST_TEST(decisions.grants.size() == 0U);
  BOOST_REQUIRE(decisions.refusals.size() == 2U);
  for (const Refusal& refusal : decisions.refusals)
    BOOST_TEST((refusal.reason == RefusalReason::kQuarantined));
}

// Guards against merged records that count a crash twice, lose one, or undo a clearance.
BOOST_AUTO_TEST_CASE(MergedRecordsCountEachCrashOnce) {
  const Fingerprint crasher{1};
  const Fingerprint sound{2};
  const BackendStart first{BackendId("a"), 10};
  const BackendStart second{BackendId("b"), 11};
  CrashRecords left;
  CrashRecords right;
  // Each side sees the first crash by a run of its own, and only one sees the second.
  left.OnRunLost(first, AttemptId("r1"), kStart, {crasher}, kStart + Millis{10});
  right.OnRunLost(first, AttemptId("r2"), kStart, {sound}, kStart + Millis{14});
  left.OnBackendUnreachable(first, kStart + Millis{20});
  right.OnRunLost(second, AttemptId("r3"), kStart, {crasher, sound}, kStart + Millis{630});
  right.OnBackendUnreachable(second, kStart + Millis{640});
  const TimePoint now = kStart + Millis{650};
  const CrashUpdate early = right.Snapshot();
  right.OnRunCompleted({sound}, now);
  left.Merge(right.Snapshot(), now);
  right.Merge(left.Snapshot(), now);
  right.Merge(early, now);
  for (const CrashRecords* records : {&left, &right}) {
    BOOST_TEST(records->CrashCount(crasher) == 2U);
    BOOST_TEST(records->CrashCount(sound) == 0U);
  }
  BOOST_TEST(left.TakeChanges().records.size() == 2U);
  left.Merge(right.Snapshot(), now);
  BOOST_TEST(left.TakeChanges().IsEmpty());
}

// Guards against counting a crash twice because a request was still sent to the crashed server.
BOOST_AUTO_TEST_CASE(RunSentToACrashedServerIsNotAnotherCrash) {
  const Fingerprint content{1};
  const BackendStart backend{BackendId("a"), 10};
  CrashRecords records;
  records.OnRunLost(backend, AttemptId("r1"), kStart, {content}, kStart + Millis{100});
  records.OnBackendUnreachable(backend, kStart + Millis{110});
  records.OnRunLost(backend, AttemptId("r2"), kStart + Millis{150}, {content},
                    kStart + Millis{160});
  records.OnBackendUnreachable(backend, kStart + Millis{170});
  BOOST_TEST(records.CrashCount(content) == 1U);
}

// Guards against granting a quarantined request that was waiting for a former coordinator.
BOOST_AUTO_TEST_CASE(ReportedRequestIsRefusedIfQuarantined) {
  Coordinator coordinator;
  const std::uint64_t content = 7;
  CrashUpdate update;
  for (const char* id : {"a", "b"}) {
    const TimePoint at = kStart - (*id == 'a' ? Millis{1'000} : Millis{0});
    update.records.push_back({{BackendId(id), 1}, at, true, at, {}, {Fingerprint(content)}});
  }
  coordinator.MergeCrashes(update, kStart);
  coordinator.Decide(kStart);
  coordinator.SyncRequests(InstanceId("home"), {RequestOf("w", content)}, {}, kStart);
  const Decisions decisions = coordinator.Decide(kStart);
  BOOST_REQUIRE(decisions.refusals.size() == 1U);
  BOOST_TEST((decisions.refusals[0].reason == RefusalReason::kQuarantined));
}

// Guards against quarantining a popular request because several servers were lost at once.
BOOST_AUTO_TEST_CASE(LossOfARackDoesNotQuarantineWhatRanThere) {
  Coordinator coordinator;
  const Service service = EngineService();
  for (const char* id : {"a", "b", "c", "d"})
    coordinator.RequestScheduler().SetBackend(BackendOf(id, 1), &service);
  for (int i = 0; i < 4; ++i) coordinator.Submit(RequestOf("w" + std::to_string(i), 7), kStart);
  for (const Grant& grant : coordinator.Decide(kStart).grants) {
    RunReport report;
    report.outcome = RunOutcome::kLost;
    coordinator.ReleaseRun(grant.id, report, kStart + Millis{100});
    coordinator.OnBackendUnreachable(grant.backend, kStart + Millis{110});
  }
  const TimePoint now = kStart + Millis{4'000};
  coordinator.RequestScheduler().SetBackend(BackendOf("new", 1), &service);
  coordinator.Submit(RequestOf("again", 7, now), now);
  const Decisions decisions = coordinator.Decide(now);
  BOOST_TEST(decisions.refusals.empty());
  BOOST_TEST(decisions.grants.size() == 1U);
}

}  // namespace bluebellpass::gateway
