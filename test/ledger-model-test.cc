#include <boost/test/unit_test.hpp>
#include <iostream>
#include <memory>
#include <set>
#include <unordered_set>

#include "bluebellpass/event.h"
#include "fakes.h"
#include "ledger/document.h"
#include "ledger/store-ledger.h"

/// Explores all schedules of several ledgers over one store. Every call is a separate step to the
/// store and back, and answers can be lost, writes delayed and writers killed at any step. A
/// schedule in which a writer takes no step for a while is a pause of its process. Timers fire at
/// once: a delay is the same as a later step of the call that follows.

namespace bluebellpass {
namespace {

constexpr const char* kKey = "k";
constexpr const char* kObject = "ledger/0";
// No schedule without a repetition is as long, so a longer one makes no progress.
constexpr std::size_t kMaxDepth = 150;
constexpr std::int64_t kNow = 1'700'000'000'000;

enum class Fault {
  kNone,
  kLostIsAbsent,   ///< a lost answer to a write is reported as "not written"
  kNoCondition,    ///< the store ignores the condition of a write
  kDispatchEarly,  ///< the home dispatches without waiting for the claim
};

struct Scenario {
  std::vector<std::vector<std::string>> requests;  ///< of each writer, all for the same key
  bool is_parallel = false;  ///< a writer claims its next request before the last one has ended
  int losses = 0;            ///< calls that are delayed or whose answers are lost
  int refusals = 0;          ///< writes that fail without effect
  int crashes = 0;
  int voids = 0;
  Fault fault = Fault::kNone;
  bool is_store_checked = true;  ///< false leaves only what homes do to be checked
};

enum class Phase { kNew, kClaiming, kConfirmed, kTaken, kVoided, kDispatched };

struct Request {
  std::string id;
  Phase phase = Phase::kNew;
};

enum class StepKind { kClaim, kDispatch, kApply, kDeliver, kLose, kRefuse, kVoid, kCrash, kLate };

struct Step {
  StepKind kind;
  std::size_t writer = 0;
  std::size_t index = 0;  ///< of the request or of the delayed write
};

/// A process: a home that dispatches confirmed claims, and its ledger.
struct Writer {
  Writer(FakeObjects& objects, std::size_t number) : store(objects) {
    ledger = std::make_unique<StoreLedger>(
        store, timers, "w" + std::to_string(number), [] { return kNow; }, random,
        StoreLedgerOptions{.shards = 1});
  }

  ManualTimers timers;
  std::mt19937_64 random{1};
  FakeStore store;
  std::vector<Request> requests;
  std::uint64_t history = StableHash("");  ///< of all that the ledger has been told so far
  std::unique_ptr<StoreLedger> ledger;     ///< null after a crash
};

/// One state of the model. It cannot be copied, and is rebuilt by repeating its steps.
class World {
 public:
  explicit World(const Scenario& scenario)
      : m_scenario(scenario),
        m_losses(scenario.losses),
        m_refusals(scenario.refusals),
        m_crashes(scenario.crashes),
        m_voids(scenario.voids) {
    m_objects.is_condition_checked = scenario.fault != Fault::kNoCondition;
    for (std::size_t i = 0; i < scenario.requests.size(); ++i) {
      auto writer = std::make_unique<Writer>(m_objects, i);
      for (const auto& id : scenario.requests[i]) writer->requests.push_back({.id = id});
      if (scenario.fault == Fault::kLostIsAbsent) {
        writer->store.lost_write_answer = ErrorKind::kStoreUnavailable;
      }
      m_writers.push_back(std::move(writer));
    }
  }

  /// @return true when nothing but faults and withdrawals can happen
  bool IsAtRest() const {
    for (std::size_t w = 0; w < m_writers.size(); ++w) {
      if (!RegularSteps(w).empty()) return false;
    }
    return true;
  }

  /// Steps to explore from here. As long as a writer has no call that the store has yet to apply,
  /// its steps touch only itself and commute with those of all others; then it is enough to explore
  /// this writer's steps, since each schedule has an equivalent one that begins with one of them.
  std::vector<Step> NextSteps() const {
    std::vector<Step> all;
    for (std::size_t w = 0; w < m_writers.size(); ++w) {
      auto steps = RegularSteps(w);
      const bool is_regular = !steps.empty();
      const auto faults = OptionalSteps(w);
      steps.insert(steps.end(), faults.begin(), faults.end());
      const auto& calls = m_writers[w]->store.calls;
      if (is_regular && (calls.empty() || calls.front().IsApplied())) return steps;
      all.insert(all.end(), steps.begin(), steps.end());
    }
    for (std::size_t i = 0; i < m_objects.late.size(); ++i) all.push_back({StepKind::kLate, 0, i});
    return all;
  }

  void Take(const Step& step) {
    if (step.kind == StepKind::kLate) return m_objects.ApplyLate(step.index);
    Writer& writer = *m_writers[step.writer];
    Remember(writer,
             std::to_string(static_cast<int>(step.kind)) + "," + std::to_string(step.index));
    switch (step.kind) {
      case StepKind::kClaim:
        Claim(writer, writer.requests[step.index]);
        break;
      case StepKind::kDispatch:
        Dispatch(writer.requests[step.index]);
        break;
      case StepKind::kApply:
        writer.store.Apply();
        break;
      case StepKind::kDeliver:
        Remember(writer, AnswerText(writer.store.calls.front()));
        writer.store.Deliver();
        break;
      case StepKind::kLose:
        --m_losses;
        writer.store.Fail(ErrorKind::kStoreUncertain);
        break;
      case StepKind::kRefuse:
        --m_refusals;
        writer.store.Fail(ErrorKind::kStoreUnavailable);
        break;
      case StepKind::kVoid:
        --m_voids;
        writer.requests[step.index].phase = Phase::kVoided;
        writer.ledger->Void({OrganisationId("o"), kKey}, RequestId(writer.requests[step.index].id));
        break;
      case StepKind::kCrash:
        --m_crashes;
        writer.ledger.reset();
        writer.store.Abandon();
        break;
      case StepKind::kLate:
        break;
    }
    while (writer.timers.FireNext()) {
    }
  }

  /// @return the invariant that does not hold in this state; empty when all do
  std::string Violation(bool is_at_rest) const {
    if (m_dispatched > 1) return "a key was dispatched twice";
    if (m_is_void_ignored) return "a voided request was reported or dispatched";
    const std::string stored = StoredRequest();
    for (const auto& writer : m_writers) {
      if (!writer->ledger) continue;
      const bool is_idle = writer->ledger->PendingCount() == 0;
      if (is_at_rest && !is_idle) return "a claim or void is never resolved";
      for (const Request& request : writer->requests) {
        const bool is_gone = request.phase == Phase::kVoided && is_idle;
        if (is_gone && stored == request.id) return "the claim of a voided request is stored";
        const bool is_claimed =
            request.phase == Phase::kConfirmed || request.phase == Phase::kDispatched;
        if (m_scenario.is_store_checked && is_claimed && stored != request.id)
          return "a confirmed claim is not stored";
        if (is_at_rest && request.phase == Phase::kClaiming) return "a claim has no outcome";
      }
    }
    return "";
  }

  /// @return a hash of all that later steps depend on
  std::uint64_t Hash() const {
    std::string text;
    for (const auto& [key, object] : m_objects.objects) text += ObjectText(object);
    std::multiset<std::string> late;
    for (const FakePut& put : m_objects.late) {
      late.insert(put.value + "@" + std::to_string(put.expected.Value()));
    }
    for (const auto& put : late) text += "|late " + put;
    for (const auto& writer : m_writers) {
      text += "|" + std::to_string(writer->history);
      for (const auto& call : writer->store.calls) text += AnswerText(call);
    }
    text += "|" + std::to_string(m_dispatched) + "," + std::to_string(m_is_void_ignored);
    for (const int left : {m_losses, m_refusals, m_crashes, m_voids}) {
      text += "," + std::to_string(left);
    }
    return StableHash(text);
  }

 private:
  static void Remember(Writer& writer, const std::string& text) {
    writer.history = StableHash(";" + text, writer.history);
  }
  static std::string ObjectText(const VersionedObject& object) {
    return object.value + "@" + std::to_string(object.version.Value());
  }
  static std::string AnswerText(const FakeStore::Call& call) {
    if (call.write_result) {
      return IsOk(*call.write_result)
                 ? "written " + std::to_string(std::get<0>(*call.write_result).Value())
                 : "conflict";
    }
    if (!call.read_result) return "open";
    return IsOk(*call.read_result) ? ObjectText(std::get<0>(*call.read_result)) : "none";
  }

  /// Steps of a writer that happen without a fault.
  std::vector<Step> RegularSteps(std::size_t w) const {
    const Writer& writer = *m_writers[w];
    std::vector<Step> steps;
    if (!writer.ledger) return steps;
    for (std::size_t i = 0; i < writer.requests.size(); ++i) {
      const Phase phase = writer.requests[i].phase;
      if (phase == Phase::kNew && MayClaim(writer, i)) steps.push_back({StepKind::kClaim, w, i});
      if (phase == Phase::kConfirmed) steps.push_back({StepKind::kDispatch, w, i});
    }
    if (writer.store.calls.empty()) return steps;
    const bool is_applied = writer.store.calls.front().IsApplied();
    steps.push_back({is_applied ? StepKind::kDeliver : StepKind::kApply, w});
    return steps;
  }

  /// Faults and withdrawals of a writer that may happen now.
  std::vector<Step> OptionalSteps(std::size_t w) const {
    const Writer& writer = *m_writers[w];
    std::vector<Step> steps;
    if (!writer.ledger) return steps;
    for (std::size_t i = 0; i < writer.requests.size(); ++i) {
      const Phase phase = writer.requests[i].phase;
      const bool is_open = phase == Phase::kClaiming || phase == Phase::kConfirmed;
      if (is_open && m_voids > 0) steps.push_back({StepKind::kVoid, w, i});
    }
    if (m_crashes > 0) steps.push_back({StepKind::kCrash, w});
    // A lost read is only repeated.
    if (writer.store.calls.empty() || !writer.store.calls.front().put) return steps;
    if (m_losses > 0) steps.push_back({StepKind::kLose, w});
    const bool is_applied = writer.store.calls.front().IsApplied();
    if (m_refusals > 0 && !is_applied) steps.push_back({StepKind::kRefuse, w});
    return steps;
  }

  bool MayClaim(const Writer& writer, std::size_t index) const {
    if (index == 0) return true;
    const Phase last = writer.requests[index - 1].phase;
    if (m_scenario.is_parallel) return last != Phase::kNew;
    return last == Phase::kVoided || last == Phase::kTaken;
  }

  void Claim(Writer& writer, Request& request) {
    request.phase = Phase::kClaiming;
    const auto done = [this, &request](ClaimOutcome outcome) {
      m_is_void_ignored |= request.phase == Phase::kVoided;
      const bool is_confirmed = std::holds_alternative<ClaimConfirmed>(outcome);
      request.phase = is_confirmed ? Phase::kConfirmed : Phase::kTaken;
    };
    writer.ledger->Claim({OrganisationId("o"), kKey}, RequestId(request.id), done);
    if (m_scenario.fault == Fault::kDispatchEarly) Dispatch(request);
  }

  void Dispatch(Request& request) {
    m_is_void_ignored |= request.phase == Phase::kVoided;
    request.phase = Phase::kDispatched;
    ++m_dispatched;
  }

  /// @return the request that holds the key in the store; empty when none does
  std::string StoredRequest() const {
    const auto found = m_objects.objects.find(kObject);
    if (found == m_objects.objects.end()) return "";
    const auto entries = ParseLedgerDocument(found->second.value);
    return entries->empty() ? "" : entries->begin()->second.request.Text();
  }

  const Scenario& m_scenario;
  int m_losses;
  int m_refusals;
  int m_crashes;
  int m_voids;
  int m_dispatched = 0;
  bool m_is_void_ignored = false;
  FakeObjects m_objects;
  std::vector<std::unique_ptr<Writer>> m_writers;
};

/// Depth-first search over the states of a scenario; ends at the first violation.
class Search {
 public:
  explicit Search(const Scenario& scenario) : m_scenario(scenario) {
    SetLogLevel(Severity::kError);
    Explore(std::make_unique<World>(m_scenario));
  }

  const std::string& Violation() const { return m_violation; }
  std::size_t States() const { return m_seen.size(); }
  std::size_t Ends() const { return m_ends; }

 private:
  void Explore(std::unique_ptr<World> world) {
    if (!m_violation.empty() || !m_seen.insert(world->Hash()).second) return;
    const bool is_at_rest = world->IsAtRest();
    m_ends += is_at_rest ? 1 : 0;
    m_violation = world->Violation(is_at_rest);
    if (m_path.size() > kMaxDepth) m_violation = "a schedule does not end";
    if (!m_violation.empty()) return;
    const auto steps = world->NextSteps();
    for (std::size_t i = 0; i < steps.size(); ++i) {
      auto next = i + 1 < steps.size() ? Rebuild() : std::move(world);
      next->Take(steps[i]);
      m_path.push_back(steps[i]);
      Explore(std::move(next));
      m_path.pop_back();
    }
  }

  std::unique_ptr<World> Rebuild() const {
    auto world = std::make_unique<World>(m_scenario);
    for (const Step& step : m_path) world->Take(step);
    return world;
  }

  const Scenario& m_scenario;
  std::vector<Step> m_path;
  std::unordered_set<std::uint64_t> m_seen;
  std::size_t m_ends = 0;
  std::string m_violation;
};

void Check(const char* name, const Scenario& scenario) {
  const Search search(scenario);
  std::cout << name << ": " << search.States() << " states, " << search.Ends() << " at rest\n";
  BOOST_TEST(search.Violation() == "");
  BOOST_TEST(search.Ends() > 0);
}

void CheckFinds(const char* name, const Scenario& scenario, const std::string& violation) {
  const Search search(scenario);
  std::cout << name << ": found after " << search.States() << " states\n";
  BOOST_TEST(search.Violation() == violation);
}

}  // namespace

// Guards against a double dispatch, a lost claim or a void that is undone when answers are lost and
// writes arrive late.
BOOST_AUTO_TEST_CASE(TwoWritersWithLosses) {
  Check("two writers, 2 losses, 1 void",
        {.requests = {{"a1", "a2"}, {"b1"}}, .losses = 2, .voids = 1});
}

// Guards against claims that are decided by what a dead or paused writer has left in the network.
BOOST_AUTO_TEST_CASE(TwoWritersWithCrash) {
  Check("two writers, 1 loss, 1 crash, 1 void",
        {.requests = {{"a1", "a2"}, {"b1"}}, .losses = 1, .crashes = 1, .voids = 1});
}

// Guards against taking a write that certainly failed for one that may arrive late, or the reverse.
BOOST_AUTO_TEST_CASE(TwoWritersWithRefusal) {
  Check("two writers, 1 loss, 1 refusal, 1 void",
        {.requests = {{"a1"}, {"b1"}}, .losses = 1, .refusals = 1, .voids = 1});
}

// Guards against mixing up requests of one writer in one batch.
BOOST_AUTO_TEST_CASE(TwoRequestsOfOneWriter) {
  Check("two requests in parallel, 1 loss, 1 void",
        {.requests = {{"a1", "a2"}, {"b1"}}, .is_parallel = true, .losses = 1, .voids = 1});
}

// Guards against faults that need three writers, such as a conflict with two others in turn.
BOOST_AUTO_TEST_CASE(ThreeWriters) {
  Check("three writers, 1 loss, 1 void",
        {.requests = {{"a1"}, {"b1"}, {"c1"}}, .losses = 1, .voids = 1});
}

// Guards against a check that cannot fail: each planted fault must be found.
BOOST_AUTO_TEST_CASE(PlantedFaultsAreFound) {
  const Scenario base{.requests = {{"a1", "a2"}, {"b1"}}, .losses = 1, .voids = 1};
  auto scenario = base;
  scenario.fault = Fault::kLostIsAbsent;
  CheckFinds("lost answer taken as absent", scenario, "the claim of a voided request is stored");
  scenario.fault = Fault::kNoCondition;
  CheckFinds("unconditional writes", scenario, "a confirmed claim is not stored");
  scenario.fault = Fault::kDispatchEarly;
  CheckFinds("dispatch before the claim", scenario, "a confirmed claim is not stored");
  scenario.is_store_checked = false;
  CheckFinds("dispatch before the claim, homes only", scenario, "a key was dispatched twice");
  scenario.fault = Fault::kNoCondition;
  CheckFinds("unconditional writes, homes only", scenario, "a key was dispatched twice");
}

}  // namespace bluebellpass
