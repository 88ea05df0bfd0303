#include "fault-matrix.h"

#include <algorithm>
#include <csignal>
#include <map>
#include <set>

#include "standins/engine.h"
#include "standins/service.h"

namespace bluebellpass::test {
namespace {

using nlohmann::json;

constexpr int kInstances = 3;
// Longer than the time after which its peers consider an unresponsive instance failed.
constexpr Millis kPauseTime{6'000};
constexpr Millis kOutageTime{2'500};
constexpr Millis kInjectionTime{300};
constexpr Millis kSettleTimeout{25'000};
constexpr int kSlowTokens = 60;  // 1.2 s of streaming at 50 tokens per second

ClusterOptions MatrixOptions() {
  ClusterOptions options;
  options.instances = kInstances;
  options.backends = {
      {"engine", "engine", "assistant", 2, 1, {"--prefill-rate", "4000", "--decode-rate", "50"}},
      {"desk", "service", "booking", 1, 1, {"--delay-ms", "300"}}};
  options.has_backend_proxies = true;
  options.has_store_proxy = true;
  options.has_peer_proxies = true;
  options.daemon_flags = {"--stop-timeout-s", "20"};
  return options;
}

void Submit(CellContext& context, int instance) {
  context.responses.push_back(context.cluster.Submit(instance, context.body, context.id));
}

/// Makes the request id and submits the request through the entry instance.
bool SubmitFirst(CellContext& context) {
  context.id = context.cluster.NewId(context.home);
  if (context.id.empty()) return false;
  Submit(context, context.entry);
  return true;
}

bool WaitForEvent(CellContext& context, const std::string& name) {
  return context.cluster.RunUntil([&] { return context.cluster.HasEvent(name, context.id); },
                                  Millis{8'000});
}

/// Occupies every slot of the request's pool with other requests.
void OccupyAllSlots(CellContext& context) {
  Cluster& cluster = context.cluster;
  const std::size_t count = context.is_booking ? 1 : 2;
  for (std::size_t i = 0; i < count; ++i) {
    json body = context.is_booking
                    ? BookingBody("filler-" + std::to_string(i))
                    : EngineBody("filler " + std::to_string(i), "urgent", 2 * kSlowTokens);
    context.background_responses.push_back(cluster.Submit(1, body, cluster.NewId(1)));
  }
  if (context.is_booking) cluster.ControlBackend("desk1", {{"slowdown", 8}});
  cluster.RunUntil([&] { return cluster.Executions().size() >= count; }, Millis{5'000});
}

/// Delays bytes to and from the engines by 600 ms.
void DelayEngineConnections(CellContext& context) {
  for (const std::string& name : context.cluster.BackendNames("assistant")) {
    context.cluster.ControlBackendProxy(name, {{"mode", "pass"}, {"delay_ms", 600}});
  }
}

Step EngineStep(const std::string& name, std::function<bool(CellContext&)> reach) {
  return {name, false, std::move(reach)};
}

Step BookingStep(const std::string& name, std::function<bool(CellContext&)> reach) {
  return {name, true, std::move(reach)};
}

std::vector<Step> MakeSteps() {
  return {
      EngineStep("address asked",
                 [](CellContext& context) {
                   context.id = context.cluster.NewId(context.home);
                   return !context.id.empty();
                 }),
      EngineStep("received through another instance",
                 [](CellContext& context) {
                   context.entry = 2;
                   return SubmitFirst(context) && WaitForEvent(context, "received");
                 }),
      EngineStep("waiting",
                 [](CellContext& context) {
                   OccupyAllSlots(context);
                   return SubmitFirst(context) && WaitForEvent(context, "received");
                 }),
      BookingStep("claim sent",
                  [](CellContext& context) {
                    context.cluster.ControlStore(
                        {{"mode", "slow"}, {"delay_ms", 800}, {"prefix", "ledger/"}, {"count", 4}});
                    return SubmitFirst(context) && WaitForEvent(context, "claim_sent");
                  }),
      BookingStep(
          "claim written, answer lost",
          [](CellContext& context) {
            context.cluster.ControlStore(
                {{"mode", "lose_answers"}, {"method", "PUT"}, {"prefix", "ledger/"}, {"count", 1}});
            return SubmitFirst(context) && WaitForEvent(context, "claim_uncertain");
          }),
      BookingStep("claim confirmed, waiting",
                  [](CellContext& context) {
                    OccupyAllSlots(context);
                    return SubmitFirst(context) && WaitForEvent(context, "claim_confirmed");
                  }),
      EngineStep("reservation granted",
                 [](CellContext& context) {
                   DelayEngineConnections(context);
                   return SubmitFirst(context) && WaitForEvent(context, "dispatched");
                 }),
      EngineStep("dispatched, confirmation on its way",
                 [](CellContext& context) {
                   DelayEngineConnections(context);
                   return SubmitFirst(context) && context.cluster.RunUntil([&] {
                     return !context.cluster.Executions().empty();
                   });
                 }),
      EngineStep("dispatched",
                 [](CellContext& context) {
                   // The prefill takes about one second before the first byte.
                   context.body =
                       EngineBody(std::string(16'000, 'x') + context.id, "urgent", kSlowTokens);
                   return SubmitFirst(context) && context.cluster.RunUntil([&] {
                     return !context.cluster.Executions().empty();
                   });
                 }),
      BookingStep("booking dispatched",
                  [](CellContext& context) {
                    context.cluster.ControlBackend("desk1", {{"slowdown", 4}});
                    return SubmitFirst(context) && context.cluster.RunUntil([&] {
                      return !context.cluster.Executions().empty();
                    });
                  }),
      EngineStep("first byte",
                 [](CellContext& context) {
                   return SubmitFirst(context) && WaitForEvent(context, "first_byte");
                 }),
      EngineStep("streaming",
                 [](CellContext& context) {
                   return SubmitFirst(context) && context.cluster.RunUntil([&] {
                     return context.responses.front()->answer.size() > 60;
                   });
                 }),
      EngineStep("finished, not delivered",
                 [](CellContext& context) {
                   if (!SubmitFirst(context) || !WaitForEvent(context, "first_byte")) return false;
                   context.cluster.Disconnect(context.responses.front());
                   return WaitForEvent(context, "completed");
                 }),
      EngineStep(
          "delivered and sent again",
          [](CellContext& context) {
            if (!SubmitFirst(context)) return false;
            if (!context.cluster.RunUntil([&] { return context.responses.front()->is_done; }))
              return false;
            Submit(context, 2);
            return true;
          }),
      BookingStep(
          "booking delivered and sent again",
          [](CellContext& context) {
            if (!SubmitFirst(context)) return false;
            if (!context.cluster.RunUntil([&] { return context.responses.front()->is_done; }))
              return false;
            Submit(context, 2);
            return true;
          }),
  };
}

void DoNothing(CellContext& /*context*/) {}

/// Pauses an instance until its peers consider it failed, then resumes it.
void PauseInstance(CellContext& context, int instance) {
  context.cluster.Daemon(instance).Signal(SIGSTOP);
  context.cluster.RunFor(kPauseTime);
  context.cluster.Daemon(instance).Signal(SIGCONT);
}

int OwnerInstance(CellContext& context) {
  const int owner = context.cluster.OwnerOf(context.is_booking ? "booking" : "assistant");
  return owner < 0 ? 1 : owner;
}

void ForEachBackend(CellContext& context, const std::function<void(const std::string&)>& action) {
  for (const std::string& name :
       context.cluster.BackendNames(context.is_booking ? "booking" : "assistant")) {
    action(name);
  }
}

std::vector<Fault> MakeFaults() {
  return {
      {"none", OutcomeGuarantee::kAll, DoNothing, DoNothing},
      {"home killed", OutcomeGuarantee::kNone,
       [](CellContext& context) { context.cluster.Daemon(context.home).Kill(); },
       [](CellContext& context) { context.cluster.Restart(context.home); }, true},
      // The peers close their links to the unresponsive home. Requests that they forward to it then
      // end with the outcome "unknown".
      {"home paused", OutcomeGuarantee::kFirst,
       [](CellContext& context) { PauseInstance(context, context.home); }, DoNothing},
      {"owner killed", OutcomeGuarantee::kFirst,
       [](CellContext& context) {
         const int owner = OwnerInstance(context);
         // The fault "home killed" covers an owner that is also the home.
         if (owner != context.home) context.cluster.Daemon(owner).Kill();
       },
       [](CellContext& context) {
         for (int i = 0; i < kInstances; ++i) {
           if (!context.cluster.Daemon(i).IsRunning()) context.cluster.Restart(i);
         }
       }},
      {"object API down", OutcomeGuarantee::kAll,
       [](CellContext& context) {
         context.cluster.ControlStore({{"mode", "down"}});
       },
       [](CellContext& context) {
         context.cluster.RunFor(kOutageTime);
         context.cluster.ControlStore({{"mode", "up"}});
       }},
      {"object API slow", OutcomeGuarantee::kAll,
       [](CellContext& context) {
         context.cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 700}});
       },
       [](CellContext& context) {
         context.cluster.RunFor(kOutageTime);
         context.cluster.ControlStore({{"mode", "up"}});
       }},
      {"object API loses answers", OutcomeGuarantee::kAll,
       [](CellContext& context) {
         context.cluster.ControlStore({{"mode", "lose_answers"}, {"method", "PUT"}});
       },
       [](CellContext& context) {
         context.cluster.RunFor(kOutageTime);
         context.cluster.ControlStore({{"mode", "up"}});
       }},
      {"connections to backend servers cut", OutcomeGuarantee::kNone,
       [](CellContext& context) {
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.ControlBackendProxy(name, {{"mode", "cut"}});
         });
       },
       [](CellContext& context) {
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.ControlBackendProxy(name, {{"mode", "pass"}, {"delay_ms", 0}});
         });
       }},
      {"connections to backend servers silent", OutcomeGuarantee::kStream,
       [](CellContext& context) {
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.ControlBackendProxy(name, {{"mode", "silent_existing"}});
         });
       },
       DoNothing},
      {"backend servers killed", OutcomeGuarantee::kNone,
       [](CellContext& context) {
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.Executions();
           context.cluster.Backend(name).Kill();
         });
       },
       [](CellContext& context) {
         ForEachBackend(context,
                        [&](const std::string& name) { context.cluster.RestartBackend(name); });
       }},
      {"backend servers slowed", OutcomeGuarantee::kAll,
       [](CellContext& context) {
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.ControlBackend(name, {{"slowdown", 5}});
         });
       },
       [](CellContext& context) {
         context.cluster.RunFor(kOutageTime);
         ForEachBackend(context, [&](const std::string& name) {
           context.cluster.ControlBackend(name, {{"slowdown", 1}});
         });
       }},
      {"links to home cut", OutcomeGuarantee::kFirst,
       [](CellContext& context) {
         context.cluster.ControlPeerProxy(context.home, {{"mode", "cut"}});
       },
       [](CellContext& context) {
         context.cluster.RunFor(kOutageTime);
         context.cluster.ControlPeerProxy(context.home, {{"mode", "pass"}});
       }},
      {"links to home silent", OutcomeGuarantee::kFirst,
       [](CellContext& context) {
         context.cluster.ControlPeerProxy(context.home, {{"mode", "silent_existing"}});
       },
       [](CellContext& context) { context.cluster.RunFor(kOutageTime); }},
      {"caller gone", OutcomeGuarantee::kAll,
       [](CellContext& context) {
         for (const auto& response : context.responses) context.cluster.Disconnect(response);
       },
       DoNothing},
      {"home stopped", OutcomeGuarantee::kFirst,
       [](CellContext& context) { context.cluster.Daemon(context.home).Signal(SIGTERM); },
       [](CellContext& context) {
         Cluster& cluster = context.cluster;
         cluster.RunUntil([&] { return cluster.Daemon(context.home).HasExited(nullptr); },
                          Millis{22'000});
         cluster.Restart(context.home);
       }},
  };
}

std::string ExpectedAnswerOf(const CellContext& context) {
  if (context.is_booking) {
    const std::string body = context.body["prompt"].dump();
    return standin::ExpectedConfirmation(body, context.body["idempotency_key"].get<std::string>());
  }
  return standin::ExpectedAnswer(context.body["prompt"].get<std::string>(), context.id,
                                 context.body["max_tokens"].get<std::int64_t>());
}

/// Submits the request again with the same id through every running instance.
void SubmitAgain(CellContext& context) {
  for (int instance = 0; instance < kInstances; ++instance) {
    if (context.cluster.Daemon(instance).IsRunning()) Submit(context, instance);
  }
}

/// Submits the booking as new requests with the same idempotency key through every running
/// instance, as a caller does after losing the request id.
void SubmitKeyAgain(CellContext& context, std::vector<std::shared_ptr<CallerResponse>>& responses) {
  for (int instance = 0; instance < kInstances; ++instance) {
    if (!context.cluster.Daemon(instance).IsRunning()) continue;
    responses.push_back(
        context.cluster.Submit(instance, context.body, context.cluster.NewId(instance)));
  }
}

bool AreAllDone(const std::vector<std::shared_ptr<CallerResponse>>& responses) {
  for (const auto& response : responses) {
    if (!response->is_done) return false;
  }
  return true;
}

void CheckAtMostOnce(CellContext& context, std::vector<std::string>& violations) {
  std::map<std::string, int> runs_by_id;
  std::map<std::string, int> runs_by_key;
  for (const Execution& execution : context.cluster.Executions()) {
    ++runs_by_id[execution.request_id];
    if (!execution.key.empty()) ++runs_by_key[execution.key];
  }
  for (const auto& [id, count] : runs_by_id) {
    if (count > 1)
      violations.push_back("request " + id + " ran " + std::to_string(count) + " times");
  }
  for (const auto& [key, count] : runs_by_key) {
    if (count > 1) violations.push_back("key " + key + " ran " + std::to_string(count) + " times");
  }
}

/// @return true if the response with this index must not have the outcome "unknown"
bool RequiresKnownOutcome(const CellContext& context, OutcomeGuarantee guarantee,
                          std::size_t index) {
  // The guarantee does not cover a first caller connected to another instance, since its response
  // depends on that instance's link to the home. A request submitted only after the fault has no
  // first caller.
  const bool is_first_caller =
      index == 0 && context.entry == context.home && context.is_sent_before_fault;
  switch (guarantee) {
    case OutcomeGuarantee::kAll:
      return true;
    case OutcomeGuarantee::kFirst:
      return is_first_caller;
    case OutcomeGuarantee::kStream:
      return is_first_caller && !context.is_booking && !context.responses[index]->backend.empty();
    case OutcomeGuarantee::kNone:
      return false;
  }
  return true;
}

void CheckResponse(const CellContext& context, const CallerResponse& response,
                   bool requires_known_outcome, bool has_run,
                   std::vector<std::string>& violations) {
  if (!response.is_done) violations.push_back("no complete response to " + response.id);
  if (response.has_gap)
    violations.push_back("missing or repeated bytes in the answer to " + response.id);
  const std::string expected = ExpectedAnswerOf(context);
  const bool is_correct = context.is_booking ? response.answer.find(expected) != std::string::npos
                                             : response.answer == expected;
  if (response.outcome == "completed" && !is_correct) {
    violations.push_back("wrong answer to " + response.id + ": " + response.answer);
  }
  if (response.outcome == "not_run" && has_run) {
    violations.push_back(response.id + " was answered as not run, but it ran: " + response.error);
  }
  if (response.outcome == "unknown" && requires_known_outcome) {
    violations.push_back("unknown outcome where the outcome must be known for " + response.id +
                         ": " + response.error);
  }
}

/// Checks the responses to a request and counts their outcomes.
void CheckResponses(CellContext& context,
                    const std::vector<std::shared_ptr<CallerResponse>>& responses,
                    OutcomeGuarantee guarantee, CellResult& result) {
  std::set<std::string> ran;
  for (const Execution& execution : context.cluster.Executions()) ran.insert(execution.request_id);
  for (std::size_t index = 0; index < responses.size(); ++index) {
    const CallerResponse& response = *responses[index];
    CheckResponse(context, response, RequiresKnownOutcome(context, guarantee, index),
                  ran.contains(response.id), result.violations);
    result.answers += response.outcome.empty() ? 0 : 1;
    result.unknown += response.outcome == "unknown" ? 1 : 0;
  }
}

/// Resumes the interrupted answer of the killed home through another instance.
void CheckResume(CellContext& context, CellResult& result) {
  const auto first = context.responses.empty() ? nullptr : context.responses.front();
  if (!first || first->resume_token.empty() || !first->outcome.empty()) return;
  const auto resumed = context.cluster.Resume(2, first->resume_token, first->answer.size());
  context.cluster.RunUntil([&] { return resumed->is_done; }, kSettleTimeout);
  if (resumed->outcome != "completed" ||
      first->answer + resumed->answer != ExpectedAnswerOf(context)) {
    result.violations.push_back("the answer could not be resumed: " + resumed->error);
  }
}

}  // namespace

const std::vector<Step>& Steps() {
  static const std::vector<Step> steps = MakeSteps();
  return steps;
}

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = MakeFaults();
  return faults;
}

CellResult RunCell(const Step& step, const std::vector<const Fault*>& faults) {
  Cluster cluster(MatrixOptions());
  cluster.RunUntil([&] { return cluster.OwnerOf("assistant") >= 0; }, Millis{300});
  CellContext context{cluster, 0, 0, step.is_booking, {}, "", false, {}, {}};
  context.body =
      step.is_booking ? BookingBody("k1") : EngineBody("question", "urgent", kSlowTokens);
  if (!step.reach(context)) return {{"the step was not reached"}, 0, 0};

  context.is_sent_before_fault = !context.responses.empty();
  OutcomeGuarantee guarantee = OutcomeGuarantee::kAll;
  for (const Fault* fault : faults) {
    guarantee = std::max(guarantee, fault->guarantee);
    fault->inject(context);
    cluster.RunFor(kInjectionTime);
  }
  // One of two faults may destroy the information that determines the outcome under the other.
  if (faults.size() > 1 && guarantee != OutcomeGuarantee::kAll) guarantee = OutcomeGuarantee::kNone;
  SubmitAgain(context);
  cluster.RunFor(kInjectionTime);
  for (const Fault* fault : faults) fault->repair(context);
  for (int i = 0; i < kInstances; ++i) cluster.WaitUntilReady(i);
  SubmitAgain(context);
  std::vector<std::shared_ptr<CallerResponse>> key_responses;
  if (step.is_booking) SubmitKeyAgain(context, key_responses);
  cluster.RunUntil([&] { return AreAllDone(context.responses) && AreAllDone(key_responses); },
                   kSettleTimeout);

  CellResult result;
  if (faults.size() == 1 && faults.front()->is_resumable) CheckResume(context, result);
  CheckAtMostOnce(context, result.violations);
  CheckResponses(context, context.responses, guarantee, result);
  CheckResponses(context, key_responses,
                 guarantee == OutcomeGuarantee::kAll ? guarantee : OutcomeGuarantee::kNone, result);
  if (!result.violations.empty()) result.violations.push_back("logs in " + cluster.LogFolder());
  return result;
}

}  // namespace bluebellpass::test
