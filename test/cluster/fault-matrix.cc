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
// Longer than the time after which peers consider a silent instance dead.
constexpr Millis kPause{6'000};
constexpr Millis kOutage{2'500};
constexpr Millis kAfterInjection{300};
constexpr Millis kSettleLimit{25'000};
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

void Submit(Subject& subject, int instance) {
  subject.views.push_back(subject.cluster.Submit(instance, subject.body, subject.id));
}

/// Gives the subject an id and sends it through its entry.
bool Begin(Subject& subject) {
  subject.id = subject.cluster.NewId(subject.home);
  if (subject.id.empty()) return false;
  Submit(subject, subject.entry);
  return true;
}

bool WaitEvent(Subject& subject, const std::string& name) {
  return subject.cluster.RunUntil([&] { return subject.cluster.HasEvent(name, subject.id); },
                                  Millis{8'000});
}

/// Keeps every slot of the subject's pool busy for a while.
void Saturate(Subject& subject) {
  Cluster& cluster = subject.cluster;
  const std::size_t count = subject.is_booking ? 1 : 2;
  for (std::size_t i = 0; i < count; ++i) {
    json body = subject.is_booking
                    ? BookingBody("filler-" + std::to_string(i))
                    : EngineBody("filler " + std::to_string(i), "urgent", 2 * kSlowTokens);
    subject.fillers.push_back(cluster.Submit(1, body, cluster.NewId(1)));
  }
  if (subject.is_booking) cluster.ControlBackend("desk1", {{"slowdown", 8}});
  cluster.RunUntil([&] { return cluster.Executions().size() >= count; }, Millis{5'000});
}

/// Bytes to and from the engines take 600 ms.
void DelayEngines(Subject& subject) {
  for (const std::string& name : subject.cluster.BackendNames("assistant")) {
    subject.cluster.ControlBackendProxy(name, {{"mode", "pass"}, {"delay_ms", 600}});
  }
}

Step EngineStep(const std::string& name, std::function<bool(Subject&)> reach) {
  return {name, false, std::move(reach)};
}

Step BookingStep(const std::string& name, std::function<bool(Subject&)> reach) {
  return {name, true, std::move(reach)};
}

std::vector<Step> MakeSteps() {
  return {
      EngineStep("address asked",
                 [](Subject& s) {
                   s.id = s.cluster.NewId(s.home);
                   return !s.id.empty();
                 }),
      EngineStep("received through another instance",
                 [](Subject& s) {
                   s.entry = 2;
                   return Begin(s) && WaitEvent(s, "received");
                 }),
      EngineStep("waiting",
                 [](Subject& s) {
                   Saturate(s);
                   return Begin(s) && WaitEvent(s, "received");
                 }),
      BookingStep("claim sent",
                  [](Subject& s) {
                    s.cluster.ControlStore(
                        {{"mode", "slow"}, {"delay_ms", 800}, {"prefix", "ledger/"}, {"count", 4}});
                    return Begin(s) && WaitEvent(s, "claim_sent");
                  }),
      BookingStep(
          "claim written, answer lost",
          [](Subject& s) {
            s.cluster.ControlStore(
                {{"mode", "lose_answers"}, {"method", "PUT"}, {"prefix", "ledger/"}, {"count", 1}});
            return Begin(s) && WaitEvent(s, "claim_uncertain");
          }),
      BookingStep("claim confirmed, waiting",
                  [](Subject& s) {
                    Saturate(s);
                    return Begin(s) && WaitEvent(s, "claim_confirmed");
                  }),
      EngineStep("reservation granted",
                 [](Subject& s) {
                   DelayEngines(s);
                   return Begin(s) && WaitEvent(s, "dispatched");
                 }),
      EngineStep("dispatched, confirmation on its way",
                 [](Subject& s) {
                   DelayEngines(s);
                   return Begin(s) &&
                          s.cluster.RunUntil([&] { return !s.cluster.Executions().empty(); });
                 }),
      EngineStep("dispatched",
                 [](Subject& s) {
                   // A second of prefill passes before the first byte.
                   s.body = EngineBody(std::string(16'000, 'x') + s.id, "urgent", kSlowTokens);
                   return Begin(s) &&
                          s.cluster.RunUntil([&] { return !s.cluster.Executions().empty(); });
                 }),
      BookingStep("booking dispatched",
                  [](Subject& s) {
                    s.cluster.ControlBackend("desk1", {{"slowdown", 4}});
                    return Begin(s) &&
                           s.cluster.RunUntil([&] { return !s.cluster.Executions().empty(); });
                  }),
      EngineStep("first byte", [](Subject& s) { return Begin(s) && WaitEvent(s, "first_byte"); }),
      EngineStep("streaming",
                 [](Subject& s) {
                   return Begin(s) &&
                          s.cluster.RunUntil([&] { return s.views.front()->answer.size() > 60; });
                 }),
      EngineStep("finished, not delivered",
                 [](Subject& s) {
                   if (!Begin(s) || !WaitEvent(s, "first_byte")) return false;
                   s.cluster.HangUp(s.views.front());
                   return WaitEvent(s, "completed");
                 }),
      EngineStep("delivered and sent again",
                 [](Subject& s) {
                   if (!Begin(s)) return false;
                   if (!s.cluster.RunUntil([&] { return s.views.front()->is_done; })) return false;
                   Submit(s, 2);
                   return true;
                 }),
      BookingStep("booking delivered and sent again",
                  [](Subject& s) {
                    if (!Begin(s)) return false;
                    if (!s.cluster.RunUntil([&] { return s.views.front()->is_done; })) return false;
                    Submit(s, 2);
                    return true;
                  }),
  };
}

void Nothing(Subject& /*subject*/) {}

/// Stops a process for longer than peers wait for it, then continues it.
void PauseInstance(Subject& s, int instance) {
  s.cluster.Daemon(instance).Signal(SIGSTOP);
  s.cluster.RunFor(kPause);
  s.cluster.Daemon(instance).Signal(SIGCONT);
}

int OwnerOfSubject(Subject& s) {
  const int owner = s.cluster.OwnerOf(s.is_booking ? "booking" : "assistant");
  return owner < 0 ? 1 : owner;
}

void ForEachServer(Subject& s, const std::function<void(const std::string&)>& action) {
  for (const std::string& name : s.cluster.BackendNames(s.is_booking ? "booking" : "assistant")) {
    action(name);
  }
}

std::vector<Fault> MakeFaults() {
  return {
      {"none", OutcomeGuarantee::kAll, Nothing, Nothing},
      {"home killed", OutcomeGuarantee::kNone, [](Subject& s) { s.cluster.Daemon(s.home).Kill(); },
       [](Subject& s) { s.cluster.Restart(s.home); }, true},
      // Its peers close their links to a silent home, and what they relay for it is then unknown.
      {"home paused", OutcomeGuarantee::kFirst, [](Subject& s) { PauseInstance(s, s.home); },
       Nothing},
      {"owner killed", OutcomeGuarantee::kFirst,
       [](Subject& s) {
         const int owner = OwnerOfSubject(s);
         // Killing the home is another column.
         if (owner != s.home) s.cluster.Daemon(owner).Kill();
       },
       [](Subject& s) {
         for (int i = 0; i < kInstances; ++i) {
           if (!s.cluster.Daemon(i).IsRunning()) s.cluster.Restart(i);
         }
       }},
      {"object API down", OutcomeGuarantee::kAll,
       [](Subject& s) {
         s.cluster.ControlStore({{"mode", "down"}});
       },
       [](Subject& s) {
         s.cluster.RunFor(kOutage);
         s.cluster.ControlStore({{"mode", "up"}});
       }},
      {"object API slow", OutcomeGuarantee::kAll,
       [](Subject& s) {
         s.cluster.ControlStore({{"mode", "slow"}, {"delay_ms", 700}});
       },
       [](Subject& s) {
         s.cluster.RunFor(kOutage);
         s.cluster.ControlStore({{"mode", "up"}});
       }},
      {"object API loses answers", OutcomeGuarantee::kAll,
       [](Subject& s) {
         s.cluster.ControlStore({{"mode", "lose_answers"}, {"method", "PUT"}});
       },
       [](Subject& s) {
         s.cluster.RunFor(kOutage);
         s.cluster.ControlStore({{"mode", "up"}});
       }},
      {"connections to backend servers cut", OutcomeGuarantee::kNone,
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.ControlBackendProxy(name, {{"mode", "cut"}});
         });
       },
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.ControlBackendProxy(name, {{"mode", "pass"}, {"delay_ms", 0}});
         });
       }},
      {"connections to backend servers silent", OutcomeGuarantee::kStream,
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.ControlBackendProxy(name, {{"mode", "silent_existing"}});
         });
       },
       Nothing},
      {"backend servers killed", OutcomeGuarantee::kNone,
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.Executions();
           s.cluster.Backend(name).Kill();
         });
       },
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) { s.cluster.RestartBackend(name); });
       }},
      {"backend servers slowed", OutcomeGuarantee::kAll,
       [](Subject& s) {
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.ControlBackend(name, {{"slowdown", 5}});
         });
       },
       [](Subject& s) {
         s.cluster.RunFor(kOutage);
         ForEachServer(s, [&](const std::string& name) {
           s.cluster.ControlBackend(name, {{"slowdown", 1}});
         });
       }},
      {"links to home cut", OutcomeGuarantee::kFirst,
       [](Subject& s) {
         s.cluster.ControlPeerProxy(s.home, {{"mode", "cut"}});
       },
       [](Subject& s) {
         s.cluster.RunFor(kOutage);
         s.cluster.ControlPeerProxy(s.home, {{"mode", "pass"}});
       }},
      {"links to home silent", OutcomeGuarantee::kFirst,
       [](Subject& s) {
         s.cluster.ControlPeerProxy(s.home, {{"mode", "silent_existing"}});
       },
       [](Subject& s) { s.cluster.RunFor(kOutage); }},
      {"caller gone", OutcomeGuarantee::kAll,
       [](Subject& s) {
         for (const auto& view : s.views) s.cluster.HangUp(view);
       },
       Nothing},
      {"home stopped", OutcomeGuarantee::kFirst,
       [](Subject& s) { s.cluster.Daemon(s.home).Signal(SIGTERM); },
       [](Subject& s) {
         Cluster& cluster = s.cluster;
         cluster.RunUntil([&] { return cluster.Daemon(s.home).HasExited(nullptr); },
                          Millis{22'000});
         cluster.Restart(s.home);
       }},
  };
}

std::string ExpectedAnswerOf(const Subject& subject) {
  if (subject.is_booking) {
    const std::string body = subject.body["prompt"].dump();
    return standin::ExpectedConfirmation(body, subject.body["idempotency_key"].get<std::string>());
  }
  return standin::ExpectedAnswer(subject.body["prompt"].get<std::string>(), subject.id,
                                 subject.body["max_tokens"].get<std::int64_t>());
}

/// Sends the request again under the same id through every instance that answers.
void SendAgain(Subject& subject) {
  for (int instance = 0; instance < kInstances; ++instance) {
    if (subject.cluster.Daemon(instance).IsRunning()) Submit(subject, instance);
  }
}

/// Sends the same booking as a new request, as a caller does that has lost the id.
void SendKeyAgain(Subject& subject, std::vector<std::shared_ptr<CallerView>>& views) {
  for (int instance = 0; instance < kInstances; ++instance) {
    if (!subject.cluster.Daemon(instance).IsRunning()) continue;
    views.push_back(
        subject.cluster.Submit(instance, subject.body, subject.cluster.NewId(instance)));
  }
}

bool AllDone(const std::vector<std::shared_ptr<CallerView>>& views) {
  for (const auto& view : views) {
    if (!view->is_done) return false;
  }
  return true;
}

void CheckAtMostOnce(Subject& subject, std::vector<std::string>& faults) {
  std::map<std::string, int> by_id;
  std::map<std::string, int> by_key;
  for (const Execution& execution : subject.cluster.Executions()) {
    ++by_id[execution.request_id];
    if (!execution.key.empty()) ++by_key[execution.key];
  }
  for (const auto& [id, count] : by_id) {
    if (count > 1) faults.push_back("request " + id + " ran " + std::to_string(count) + " times");
  }
  for (const auto& [key, count] : by_key) {
    if (count > 1) faults.push_back("key " + key + " ran " + std::to_string(count) + " times");
  }
}

/// @return true when the caller of the view with this number must learn the outcome
bool MustKnow(const Subject& subject, OutcomeGuarantee guarantee, std::size_t number) {
  // The first caller's connection to another instance depends on that instance's link to the home,
  // and an id that was not used before the fault has no first caller.
  const bool is_first =
      number == 0 && subject.entry == subject.home && subject.is_sent_before_fault;
  switch (guarantee) {
    case OutcomeGuarantee::kAll:
      return true;
    case OutcomeGuarantee::kFirst:
      return is_first;
    case OutcomeGuarantee::kStream:
      return is_first && !subject.is_booking && !subject.views[number]->backend.empty();
    case OutcomeGuarantee::kNone:
      return false;
  }
  return true;
}

void CheckView(const Subject& subject, const CallerView& view, bool must_know, bool has_run,
               std::vector<std::string>& violations) {
  if (!view.is_done) violations.push_back("a caller never got an answer for " + view.id);
  if (view.has_gap) violations.push_back("a gap in the answer to " + view.id);
  const std::string expected = ExpectedAnswerOf(subject);
  const bool is_right = subject.is_booking ? view.answer.find(expected) != std::string::npos
                                           : view.answer == expected;
  if (view.outcome == "completed" && !is_right) {
    violations.push_back("a wrong answer to " + view.id + ": " + view.answer);
  }
  if (view.outcome == "not_run" && has_run) {
    violations.push_back(view.id + " was said not to have run, but it ran: " + view.error);
  }
  if (view.outcome == "unknown" && must_know) {
    violations.push_back("needless unknown outcome for " + view.id + ": " + view.error);
  }
}

/// @param guarantee what callers must learn; for later callers of the same request as well
void CheckViews(Subject& subject, const std::vector<std::shared_ptr<CallerView>>& views,
                OutcomeGuarantee guarantee, CellResult& result) {
  std::set<std::string> ran;
  for (const Execution& execution : subject.cluster.Executions()) ran.insert(execution.request_id);
  for (std::size_t number = 0; number < views.size(); ++number) {
    const CallerView& view = *views[number];
    CheckView(subject, view, MustKnow(subject, guarantee, number), ran.contains(view.id),
              result.violations);
    result.answers += view.outcome.empty() ? 0 : 1;
    result.unknown += view.outcome == "unknown" ? 1 : 0;
  }
}

/// Fetches the rest of an answer whose home has died through another instance.
void CheckResume(Subject& subject, CellResult& result) {
  const auto first = subject.views.empty() ? nullptr : subject.views.front();
  if (!first || first->resume.empty() || !first->outcome.empty()) return;
  const auto rest = subject.cluster.Resume(2, first->resume, first->answer.size());
  subject.cluster.RunUntil([&] { return rest->is_done; }, kSettleLimit);
  if (rest->outcome != "completed" || first->answer + rest->answer != ExpectedAnswerOf(subject)) {
    result.violations.push_back("the answer could not be resumed: " + rest->error);
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
  Subject subject{cluster, 0, 0, step.is_booking, {}, "", false, {}, {}};
  subject.body =
      step.is_booking ? BookingBody("k1") : EngineBody("question", "urgent", kSlowTokens);
  if (!step.reach(subject)) return {{"the step was not reached"}, 0, 0};

  subject.is_sent_before_fault = !subject.views.empty();
  OutcomeGuarantee guarantee = OutcomeGuarantee::kAll;
  for (const Fault* fault : faults) {
    guarantee = std::max(guarantee, fault->guarantee);
    fault->inject(subject);
    cluster.RunFor(kAfterInjection);
  }
  // Two faults together may hide from each other's witnesses; a single one must not.
  if (faults.size() > 1 && guarantee != OutcomeGuarantee::kAll) guarantee = OutcomeGuarantee::kNone;
  SendAgain(subject);
  cluster.RunFor(kAfterInjection);
  for (const Fault* fault : faults) fault->heal(subject);
  for (int i = 0; i < kInstances; ++i) cluster.WaitUntilReady(i);
  SendAgain(subject);
  std::vector<std::shared_ptr<CallerView>> key_views;
  if (step.is_booking) SendKeyAgain(subject, key_views);
  cluster.RunUntil([&] { return AllDone(subject.views) && AllDone(key_views); }, kSettleLimit);

  CellResult result;
  if (faults.size() == 1 && faults.front()->is_resumable) CheckResume(subject, result);
  CheckAtMostOnce(subject, result.violations);
  CheckViews(subject, subject.views, guarantee, result);
  CheckViews(subject, key_views,
             guarantee == OutcomeGuarantee::kAll ? guarantee : OutcomeGuarantee::kNone, result);
  if (!result.violations.empty()) result.violations.push_back("logs in " + cluster.LogFolder());
  return result;
}

}  // namespace bluebellpass::test
