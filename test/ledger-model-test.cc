#include <boost/test/unit_test.hpp>
#include <iostream>
#include <memory>
#include <set>
#include <unordered_set>

#include "bluebellpass/event.h"
#include "fakes.h"
#include "ledger/document.h"
#include "ledger/store-ledger.h"

/// Explores all schedules of several ledgers that share one store. Calls are applied and answered
/// in separate steps. At any step responses can be lost, writes delayed and writers killed. A
/// schedule in which a writer takes no step for a while models a pause of its process. Timers fire
/// at once, since a delay is equivalent to a later step of the next call.

namespace bluebellpass {
namespace {

constexpr const char* kKey = "k";
constexpr const char* kObjectKey = "ledger/0";
// Longer than any schedule that makes progress.
constexpr std::size_t kMaxSteps = 150;
constexpr std::int64_t kNowMs = 1'700'000'000'000;

enum class Fault {
  kNone,
  kLostIsFailed,   ///< a write whose response was lost is reported as not written
  kUnconditional,  ///< the store ignores the expected version of writes
  kDispatchEarly,  ///< homes dispatch before the claim is confirmed
};

struct Scenario {
  std::vector<std::vector<std::string>> requests;  ///< by writer, all with the same key
  bool is_concurrent = false;  ///< writers claim without awaiting previous outcomes
  int losses = 0;              ///< writes that are delayed or whose responses are lost
  int refusals = 0;            ///< writes that fail without being applied
  int crashes = 0;
  int voids = 0;
  Fault fault = Fault::kNone;
  bool checks_store = true;  ///< false: checks only the dispatches
};

enum class Phase { kUnclaimed, kClaiming, kConfirmed, kTaken, kVoided, kDispatched };

struct Request {
  std::string id;
  Phase phase = Phase::kUnclaimed;
};

enum class StepKind {
  kClaim,
  kDispatch,
  kApply,
  kDeliver,
  kLoseResponse,
  kRefuseWrite,
  kVoid,
  kCrash,
  kApplyDelayedPut
};

struct Step {
  StepKind kind;
  std::size_t writer = 0;
  std::size_t index = 0;  ///< index of the request or of the delayed write
};

/// A process with a ledger and a home that dispatches confirmed claims.
struct Writer {
  Writer(FakeObjects& objects, std::size_t number) : store(objects) {
    ledger = std::make_unique<StoreLedger>(
        store, timers, "w" + std::to_string(number), [] { return kNowMs; }, random,
        StoreLedgerOptions{.shard_count = 1});
  }

  ManualTimers timers;
  std::mt19937_64 random{1};
  FakeStore store;
  std::vector<Request> requests;
  std::uint64_t history = StableHash("");  ///< hash of all inputs of the ledger
  std::unique_ptr<StoreLedger> ledger;     ///< null after a crash
};

/// State of the model. Not copyable; a state is reproduced by repeating its steps.
class Model {
 public:
  explicit Model(const Scenario& scenario)
      : m_scenario(scenario),
        m_losses_left(scenario.losses),
        m_refusals_left(scenario.refusals),
        m_crashes_left(scenario.crashes),
        m_voids_left(scenario.voids) {
    m_objects.is_condition_checked = scenario.fault != Fault::kUnconditional;
    for (std::size_t i = 0; i < scenario.requests.size(); ++i) {
      auto writer = std::make_unique<Writer>(m_objects, i);
      for (const auto& id : scenario.requests[i]) writer->requests.push_back({.id = id});
      if (scenario.fault == Fault::kLostIsFailed) {
        writer->store.failed_write_error = ErrorKind::kStoreUnavailable;
      }
      m_writers.push_back(std::move(writer));
    }
  }

  /// @return true when only faults and voids are possible
  bool IsQuiescent() const {
    for (std::size_t w = 0; w < m_writers.size(); ++w) {
      if (!FaultFreeSteps(w).empty()) return false;
    }
    return true;
  }

  /// @return the steps to explore from this state. The steps of a writer without an unapplied call
  /// affect only that writer and commute with the steps of all others. It is enough to explore the
  /// steps of such a writer, since each schedule is equivalent to one that starts with one of them.
  std::vector<Step> NextSteps() const {
    std::vector<Step> all;
    for (std::size_t w = 0; w < m_writers.size(); ++w) {
      auto steps = FaultFreeSteps(w);
      const bool has_fault_free_step = !steps.empty();
      const auto extra_steps = FaultAndVoidSteps(w);
      steps.insert(steps.end(), extra_steps.begin(), extra_steps.end());
      const auto& calls = m_writers[w]->store.calls;
      if (has_fault_free_step && (calls.empty() || calls.front().IsApplied())) return steps;
      all.insert(all.end(), steps.begin(), steps.end());
    }
    for (std::size_t i = 0; i < m_objects.delayed_puts.size(); ++i)
      all.push_back({StepKind::kApplyDelayedPut, 0, i});
    return all;
  }

  void Execute(const Step& step) {
    if (step.kind == StepKind::kApplyDelayedPut) return m_objects.ApplyDelayedPut(step.index);
    Writer& writer = *m_writers[step.writer];
    AppendHistory(writer,
                  std::to_string(static_cast<int>(step.kind)) + "," + std::to_string(step.index));
    switch (step.kind) {
      case StepKind::kClaim:
        Claim(writer, writer.requests[step.index]);
        break;
      case StepKind::kDispatch:
        Dispatch(writer.requests[step.index]);
        break;
      case StepKind::kApply:
        writer.store.ApplyCall();
        break;
      case StepKind::kDeliver:
        AppendHistory(writer, ResponseText(writer.store.calls.front()));
        writer.store.DeliverResponse();
        break;
      case StepKind::kLoseResponse:
        --m_losses_left;
        writer.store.FailCall(ErrorKind::kStoreUncertain);
        break;
      case StepKind::kRefuseWrite:
        --m_refusals_left;
        writer.store.FailCall(ErrorKind::kStoreUnavailable);
        break;
      case StepKind::kVoid:
        --m_voids_left;
        writer.requests[step.index].phase = Phase::kVoided;
        writer.ledger->Void({OrganisationId("o"), kKey}, RequestId(writer.requests[step.index].id));
        break;
      case StepKind::kCrash:
        --m_crashes_left;
        writer.ledger.reset();
        writer.store.AbandonCalls();
        break;
      case StepKind::kApplyDelayedPut:
        break;
    }
    while (writer.timers.AdvanceToNextTimer()) {
    }
  }

  /// @return the violated invariant; empty when all invariants hold
  std::string FindViolation(bool is_quiescent) const {
    if (m_dispatch_count > 1) return "a key was dispatched twice";
    if (m_is_void_violated) return "a voided request was reported or dispatched";
    const std::string stored = StoredRequest();
    for (const auto& writer : m_writers) {
      if (!writer->ledger) continue;
      const bool is_idle = writer->ledger->PendingCount() == 0;
      if (is_quiescent && !is_idle) return "a claim or void is never resolved";
      for (const Request& request : writer->requests) {
        const bool is_void_complete = request.phase == Phase::kVoided && is_idle;
        if (is_void_complete && stored == request.id)
          return "the claim of a voided request is stored";
        const bool is_claimed =
            request.phase == Phase::kConfirmed || request.phase == Phase::kDispatched;
        if (m_scenario.checks_store && is_claimed && stored != request.id)
          return "a confirmed claim is not stored";
        if (is_quiescent && request.phase == Phase::kClaiming) return "a claim has no outcome";
      }
    }
    return "";
  }

  /// @return a hash of everything that affects later steps
  std::uint64_t Hash() const {
    std::string text;
    for (const auto& [key, object] : m_objects.objects) text += ObjectText(object);
    std::multiset<std::string> delayed;
    for (const FakePut& put : m_objects.delayed_puts) {
      delayed.insert(put.value + "@" + std::to_string(put.expected.Value()));
    }
    for (const auto& put : delayed) text += "|late " + put;
    for (const auto& writer : m_writers) {
      text += "|" + std::to_string(writer->history);
      for (const auto& call : writer->store.calls) text += ResponseText(call);
    }
    text += "|" + std::to_string(m_dispatch_count) + "," + std::to_string(m_is_void_violated);
    for (const int left : {m_losses_left, m_refusals_left, m_crashes_left, m_voids_left}) {
      text += "," + std::to_string(left);
    }
    return StableHash(text);
  }

 private:
  static void AppendHistory(Writer& writer, const std::string& text) {
    writer.history = StableHash(";" + text, writer.history);
  }
  static std::string ObjectText(const VersionedObject& object) {
    return object.value + "@" + std::to_string(object.version.Value());
  }
  static std::string ResponseText(const FakeStore::Call& call) {
    if (call.write_result) {
      return IsOk(*call.write_result)
                 ? "written " + std::to_string(std::get<0>(*call.write_result).Value())
                 : "conflict";
    }
    if (!call.read_result) return "open";
    return IsOk(*call.read_result) ? ObjectText(std::get<0>(*call.read_result)) : "none";
  }

  /// @return a writer's possible steps other than faults and voids
  std::vector<Step> FaultFreeSteps(std::size_t w) const {
    const Writer& writer = *m_writers[w];
    std::vector<Step> steps;
    if (!writer.ledger) return steps;
    for (std::size_t i = 0; i < writer.requests.size(); ++i) {
      const Phase phase = writer.requests[i].phase;
      if (phase == Phase::kUnclaimed && CanClaim(writer, i))
        steps.push_back({StepKind::kClaim, w, i});
      if (phase == Phase::kConfirmed) steps.push_back({StepKind::kDispatch, w, i});
    }
    if (writer.store.calls.empty()) return steps;
    const bool is_applied = writer.store.calls.front().IsApplied();
    steps.push_back({is_applied ? StepKind::kDeliver : StepKind::kApply, w});
    return steps;
  }

  /// @return the faults and voids that are possible for a writer
  std::vector<Step> FaultAndVoidSteps(std::size_t w) const {
    const Writer& writer = *m_writers[w];
    std::vector<Step> steps;
    if (!writer.ledger) return steps;
    for (std::size_t i = 0; i < writer.requests.size(); ++i) {
      const Phase phase = writer.requests[i].phase;
      const bool is_voidable = phase == Phase::kClaiming || phase == Phase::kConfirmed;
      if (is_voidable && m_voids_left > 0) steps.push_back({StepKind::kVoid, w, i});
    }
    if (m_crashes_left > 0) steps.push_back({StepKind::kCrash, w});
    // Lost reads are not explored, since the ledger only repeats them.
    if (writer.store.calls.empty() || !writer.store.calls.front().put) return steps;
    if (m_losses_left > 0) steps.push_back({StepKind::kLoseResponse, w});
    const bool is_applied = writer.store.calls.front().IsApplied();
    if (m_refusals_left > 0 && !is_applied) steps.push_back({StepKind::kRefuseWrite, w});
    return steps;
  }

  bool CanClaim(const Writer& writer, std::size_t index) const {
    if (index == 0) return true;
    const Phase previous = writer.requests[index - 1].phase;
    if (m_scenario.is_concurrent) return previous != Phase::kUnclaimed;
    return previous == Phase::kVoided || previous == Phase::kTaken;
  }

  void Claim(Writer& writer, Request& request) {
    request.phase = Phase::kClaiming;
    const auto done = [this, &request](ClaimOutcome outcome) {
      m_is_void_violated |= request.phase == Phase::kVoided;
      const bool is_confirmed = std::holds_alternative<ClaimConfirmed>(outcome);
      request.phase = is_confirmed ? Phase::kConfirmed : Phase::kTaken;
    };
    writer.ledger->Claim({OrganisationId("o"), kKey}, RequestId(request.id), done);
    if (m_scenario.fault == Fault::kDispatchEarly) Dispatch(request);
  }

  void Dispatch(Request& request) {
    m_is_void_violated |= request.phase == Phase::kVoided;
    request.phase = Phase::kDispatched;
    ++m_dispatch_count;
  }

  /// @return the request whose claim of the key is stored; empty when there is none
  std::string StoredRequest() const {
    const auto found = m_objects.objects.find(kObjectKey);
    if (found == m_objects.objects.end()) return "";
    const auto entries = ParseLedgerDocument(found->second.value);
    return entries->empty() ? "" : entries->begin()->second.request.Text();
  }

  const Scenario& m_scenario;
  int m_losses_left;
  int m_refusals_left;
  int m_crashes_left;
  int m_voids_left;
  int m_dispatch_count = 0;
  bool m_is_void_violated = false;
  FakeObjects m_objects;
  std::vector<std::unique_ptr<Writer>> m_writers;
};

/// Depth-first search over the states of a scenario. Stops at the first violation.
class Search {
 public:
  explicit Search(const Scenario& scenario) : m_scenario(scenario) {
    SetLogLevel(Severity::kError);
    Explore(std::make_unique<Model>(m_scenario));
  }

  const std::string& Violation() const { return m_violation; }
  std::size_t StateCount() const { return m_seen.size(); }
  std::size_t QuiescentCount() const { return m_quiescent_count; }

 private:
  void Explore(std::unique_ptr<Model> model) {
    if (!m_violation.empty() || !m_seen.insert(model->Hash()).second) return;
    const bool is_quiescent = model->IsQuiescent();
    m_quiescent_count += is_quiescent ? 1 : 0;
    m_violation = model->FindViolation(is_quiescent);
    if (m_path.size() > kMaxSteps) m_violation = "a schedule does not end";
    if (!m_violation.empty()) return;
    const auto steps = model->NextSteps();
    for (std::size_t i = 0; i < steps.size(); ++i) {
      auto next = i + 1 < steps.size() ? Rebuild() : std::move(model);
      next->Execute(steps[i]);
      m_path.push_back(steps[i]);
      Explore(std::move(next));
      m_path.pop_back();
    }
  }

  std::unique_ptr<Model> Rebuild() const {
    auto model = std::make_unique<Model>(m_scenario);
    for (const Step& step : m_path) model->Execute(step);
    return model;
  }

  const Scenario& m_scenario;
  std::vector<Step> m_path;
  std::unordered_set<std::uint64_t> m_seen;
  std::size_t m_quiescent_count = 0;
  std::string m_violation;
};

void ExpectNoViolation(const char* name, const Scenario& scenario) {
  const Search search(scenario);
  std::cout << name << ": " << search.StateCount() << " states, " << search.QuiescentCount()
            << " quiescent\n";
  BOOST_TEST(search.Violation() == "");
  BOOST_TEST(search.QuiescentCount() > 0);
}

void ExpectViolation(const char* name, const Scenario& scenario, const std::string& violation) {
  const Search search(scenario);
  std::cout << name << ": found after " << search.StateCount() << " states\n";
  BOOST_TEST(search.Violation() == violation);
}

}  // namespace

// Guards against a double dispatch, a lost claim or an undone void after responses are lost and
// writes are delayed.
BOOST_AUTO_TEST_CASE(TwoWritersWithLosses) {
  ExpectNoViolation("two writers, 2 losses, 1 void",
                    {.requests = {{"a1", "a2"}, {"b1"}}, .losses = 2, .voids = 1});
}

// Guards against wrong outcomes caused by delayed writes of a dead or paused writer.
BOOST_AUTO_TEST_CASE(TwoWritersWithCrash) {
  ExpectNoViolation("two writers, 1 loss, 1 crash, 1 void",
                    {.requests = {{"a1", "a2"}, {"b1"}}, .losses = 1, .crashes = 1, .voids = 1});
}

// Guards against confusing a write that failed for certain with one that may still be applied.
BOOST_AUTO_TEST_CASE(TwoWritersWithRefusal) {
  ExpectNoViolation("two writers, 1 loss, 1 refusal, 1 void",
                    {.requests = {{"a1"}, {"b1"}}, .losses = 1, .refusals = 1, .voids = 1});
}

// Guards against mixing up the requests in a batch of one writer.
BOOST_AUTO_TEST_CASE(TwoRequestsOfOneWriter) {
  ExpectNoViolation(
      "two requests in parallel, 1 loss, 1 void",
      {.requests = {{"a1", "a2"}, {"b1"}}, .is_concurrent = true, .losses = 1, .voids = 1});
}

// Guards against faults that need three writers, such as successive conflicts with two others.
BOOST_AUTO_TEST_CASE(ThreeWriters) {
  ExpectNoViolation("three writers, 1 loss, 1 void",
                    {.requests = {{"a1"}, {"b1"}, {"c1"}}, .losses = 1, .voids = 1});
}

// Guards against a model that cannot detect violations.
BOOST_AUTO_TEST_CASE(InjectedFaultsAreFound) {
  const Scenario base{.requests = {{"a1", "a2"}, {"b1"}}, .losses = 1, .voids = 1};
  auto scenario = base;
  scenario.fault = Fault::kLostIsFailed;
  ExpectViolation("lost write reported as failed", scenario,
                  "the claim of a voided request is stored");
  scenario.fault = Fault::kUnconditional;
  ExpectViolation("unconditional writes", scenario, "a confirmed claim is not stored");
  scenario.fault = Fault::kDispatchEarly;
  ExpectViolation("dispatch before the claim", scenario, "a confirmed claim is not stored");
  scenario.checks_store = false;
  ExpectViolation("dispatch before the claim, homes only", scenario, "a key was dispatched twice");
  scenario.fault = Fault::kUnconditional;
  ExpectViolation("unconditional writes, homes only", scenario, "a key was dispatched twice");
}

}  // namespace bluebellpass
