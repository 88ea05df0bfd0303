#include <boost/test/unit_test.hpp>
#include <memory>

#include "fakes.h"
#include "kernel/loop.h"
#include "orders/order-task.h"
#include "standins/engine.h"

namespace bluebellpass {
namespace {

const CellId kCell{.pool = PoolName("p"), .region = Region("r")};

class FakeControl : public BackendControl {
 public:
  std::vector<OwnedBackend> OwnedBackends() const override { return owned; }
  void SetGrantsPaused(const BackendId& backend, bool is_paused) override {
    if (is_paused) {
      paused.insert(backend);
    } else {
      paused.erase(backend);
    }
  }
  void OnLoadReport(const BackendId& /*backend*/,
                    std::optional<std::int64_t> /*reported_runs*/) override {}

  std::vector<OwnedBackend> owned;
  std::set<BackendId> paused;
};

/// Makes real calls to the stand-ins and can delay orders.
class DelayingEngines : public EngineClient {
 public:
  explicit DelayingEngines(EventLoop& loop) : m_http(loop), m_engines(m_http) {}

  void Send(const Address& engine, const EngineOrder& order,
            std::function<void(Result<int>)> done) override {
    auto send = [this, engine, order, done = std::move(done)] {
      ++pending;
      ++sent;
      m_engines.Send(engine, order, [this, done](const Result<int>& result) {
        --pending;
        if (IsOk(result)) statuses.push_back(std::get<int>(result));
        done(result);
      });
    };
    if (!is_delaying) return send();
    delayed.emplace_back(std::move(send));
  }
  void ReadLoaded(const Address& engine, std::function<void(Result<LoadedModels>)> done) override {
    ++pending;
    m_engines.ReadLoaded(engine, [this, done](const Result<LoadedModels>& result) {
      --pending;
      done(result);
    });
  }

  bool is_delaying = false;
  std::vector<std::function<void()>> delayed;
  std::vector<int> statuses;
  int sent = 0;
  int pending = 0;

 private:
  HttpClient m_http;
  HttpEngineClient m_engines;
};

struct Instance {
  Instance(EventLoop& loop, ManualTimers& timers, FakeObjects& objects, const std::string& name)
      : store(objects),
        engines(loop),
        task({store, timers, engines, control, name, [&timers] {
                return std::chrono::duration_cast<Millis>(timers.Now().time_since_epoch()).count();
              }}) {}

  FakeStore store;
  FakeControl control;
  DelayingEngines engines;
  OrderTask task;
};

struct Fixture {
  /// Starts an engine and adds it to the configuration.
  /// @return its backend server
  BackendConfig AddEngine(const std::string& name, FencingSupport fencing) {
    const bool is_checking = fencing == FencingSupport::kChecks;
    engines.push_back(std::make_unique<standin::Engine>(
        loop, standin::EngineOptions{.is_checking_fencing = is_checking}));
    const auto address = engines.back()->Listen({.ip = "127.0.0.1", .port = 0});
    config.config.backends.push_back({.id = BackendId(name),
                                      .kind = "engine",
                                      .address = std::get<Address>(address),
                                      .pool = kCell.pool,
                                      .region = kCell.region,
                                      .fencing = fencing});
    for (Instance* instance : {&a, &b}) instance->task.OnConfigApplied(config);
    return config.config.backends.back();
  }
  void Own(Instance& instance, std::int64_t running = 0) const {
    for (const BackendConfig& backend : config.config.backends) {
      instance.control.owned.push_back(
          {.config = backend, .cell = kCell, .running = running, .owned_since = timers.Now()});
    }
  }
  static void Disown(Instance& instance) {
    instance.control.owned.clear();
    instance.control.paused.clear();
  }
  /// Runs until all calls in progress have ended.
  void FinishCalls() {
    for (bool is_quiet = false; !is_quiet;) {
      is_quiet = true;
      for (Instance* instance : {&a, &b}) {
        while (!instance->store.calls.empty()) {
          instance->store.ApplyCall();
          instance->store.DeliverResponse();
        }
        if (instance->engines.pending > 0) is_quiet = false;
      }
      if (!is_quiet) loop.RunOnce(Millis{1});
    }
  }
  void Run(Millis time) {
    const TimePoint end = timers.Now() + time;
    while (timers.Now() < end) {
      timers.AdvanceToNextTimer();
      FinishCalls();
    }
  }
  /// Submits an order. `accepted` is set when the store has responded.
  void Load(Instance& instance, const std::string& backend, const std::string& version,
            const std::string& model = "m") {
    accepted.reset();
    instance.task.AcceptOrder({.backend = BackendId(backend), .model = model, .version = version},
                              [this](const Result<ObjectVersion>& result) { accepted = result; });
  }
  /// @return the loaded version of model "m"
  std::string Loaded(const BackendConfig& backend) {
    std::string version;
    a.engines.ReadLoaded(backend.address, [&](const Result<LoadedModels>& result) {
      version = std::get<LoadedModels>(result).models.at("m");
    });
    FinishCalls();
    return version;
  }
  /// Delays an order of one instance until another one has become owner and executed a newer order.
  void DelayOrderOfFormerOwner(const BackendConfig& backend, const std::string& model = "m") {
    Own(a);
    a.engines.is_delaying = true;
    Load(a, "e", "1", model);
    Run(Millis{15'000});
    BOOST_REQUIRE(a.engines.delayed.size() == 1);
    Disown(a);
    Own(b);
    Load(b, "e", "2");
    Run(Millis{8'000});
    BOOST_REQUIRE(Loaded(backend) == "2");
  }

  EventLoop loop;
  ManualTimers timers;
  FakeObjects objects;
  std::vector<std::unique_ptr<standin::Engine>> engines;
  VersionedConfig config;
  Instance a{loop, timers, objects, "a"};
  Instance b{loop, timers, objects, "b"};
  std::optional<Result<ObjectVersion>> accepted;
};

// Guards against a load while the engine still has runs of the old model, and against grants to a
// draining server.
BOOST_FIXTURE_TEST_CASE(ServerIsDrainedBeforeTheLoad, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(a, "e", "1");
  Run(Millis{20'000});
  BOOST_TEST(std::get<ObjectVersion>(*accepted) == ObjectVersion(1));
  BOOST_TEST(a.control.paused.contains(engine.id));
  BOOST_TEST(a.engines.sent == 0);
  a.control.owned.at(0).running = 0;
  Run(Millis{2'000});
  BOOST_TEST(Loaded(engine) == "1");
  BOOST_TEST(a.control.paused.empty());
  BOOST_TEST((a.task.OrderStateOf(engine.id) == OrderState::kDone));
}

// Guards against a server that gets no grants any more because one of its runs never ends.
BOOST_FIXTURE_TEST_CASE(EndlessRunFailsTheOrder, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(a, "e", "1");
  Run(Millis{65'000});
  BOOST_TEST((a.task.OrderStateOf(engine.id) == OrderState::kFailed));
  BOOST_TEST(a.control.paused.empty());
  BOOST_TEST(a.engines.sent == 0);
}

// Guards against a delayed order of a former owner that takes effect after a newer order, although
// the engine checks fencing tokens.
BOOST_FIXTURE_TEST_CASE(FencingEngineRejectsFormerOwner, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  DelayOrderOfFormerOwner(engine);
  a.engines.delayed.at(0)();
  FinishCalls();
  BOOST_TEST(a.engines.statuses == std::vector<int>{409}, boost::test_tools::per_element());
  BOOST_TEST(Loaded(engine) == "2");
}

// Guards against the wrong model on an engine that ignores fencing tokens and executes a delayed
// order of a former owner.
BOOST_FIXTURE_TEST_CASE(EngineWithoutFencingIsCorrected, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kIgnores);
  DelayOrderOfFormerOwner(engine);
  a.engines.delayed.at(0)();
  BOOST_REQUIRE(Loaded(engine) == "1");
  Run(Millis{25'000});
  BOOST_TEST(Loaded(engine) == "2");
  BOOST_TEST((b.task.OrderStateOf(engine.id) == OrderState::kDone));
  BOOST_TEST(b.engines.sent == 2);
}

// Guards against a delayed order for another model that is not detected because the ordered model
// is still listed as loaded.
BOOST_FIXTURE_TEST_CASE(LateOrderForAnotherModelIsCorrected, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kIgnores);
  DelayOrderOfFormerOwner(engine, "old");
  a.engines.delayed.at(0)();
  Run(Millis{25'000});
  BOOST_TEST((b.task.OrderStateOf(engine.id) == OrderState::kDone));
  BOOST_TEST(b.engines.sent == 2);
}

// Guards against an order that is rejected although it was written, is written twice, or is
// reported as accepted although another one has replaced it. The store's response is lost.
BOOST_FIXTURE_TEST_CASE(LostResponseToAnOrderWriteIsReadBack, Fixture) {
  AddEngine("e", FencingSupport::kChecks);
  for (const bool is_applied : {true, false}) {
    Load(a, "e", "1");
    a.store.ApplyCall();
    a.store.DeliverResponse();
    if (is_applied) a.store.ApplyCall();
    a.store.FailCall(ErrorKind::kStoreUncertain);
    Run(Millis{1'000});
    const ObjectVersion version = std::get<ObjectVersion>(accepted.value());
    BOOST_TEST(version == objects.objects.at("orders/e").version);
    while (!objects.delayed_puts.empty()) objects.ApplyDelayedPut(0);
    BOOST_TEST(version == objects.objects.at("orders/e").version);
  }
  Load(a, "e", "2");
  a.store.ApplyCall();
  a.store.DeliverResponse();
  a.store.FailCall(ErrorKind::kStoreUncertain);
  objects.objects["orders/e"] = {
      .value = FormatDesired({.model = "m", .version = "3", .write_id = "b/1"}),
      .version = ObjectVersion(9)};
  Run(Millis{1'000});
  BOOST_TEST((ErrorOf(*accepted).kind == ErrorKind::kStoreUncertain));
}

// Guards against two concurrent orders for one server that are both reported as accepted.
BOOST_FIXTURE_TEST_CASE(OneOfTwoConcurrentOrdersIsAccepted, Fixture) {
  AddEngine("e", FencingSupport::kChecks);
  Load(a, "e", "1");
  a.store.ApplyCall();
  a.store.DeliverResponse();
  Load(b, "e", "2");
  while (!b.store.calls.empty()) {
    b.store.ApplyCall();
    b.store.DeliverResponse();
  }
  BOOST_TEST(IsOk(*accepted));
  FinishCalls();
  BOOST_TEST((ErrorOf(*accepted).kind == ErrorKind::kConflict));
}

// Guards against several owners that together start more loads in a minute than the weight store
// can serve.
BOOST_FIXTURE_TEST_CASE(LoadsAreRateLimited, Fixture) {
  config.config.weight_store_loads_per_minute = 2;
  for (const char* name : {"e", "f", "g"}) AddEngine(name, FencingSupport::kChecks);
  Own(a);
  b.control.owned = {a.control.owned.back()};
  a.control.owned.pop_back();
  for (const char* name : {"e", "f", "g"}) Load(a, name, "1");
  Run(Millis{40'000});
  BOOST_TEST(a.engines.sent + b.engines.sent == 2);
  Run(Millis{40'000});
  BOOST_TEST(a.engines.sent + b.engines.sent == 3);
}

// Guards against a permit that is acquired twice when the store's response is lost, which would
// halve the rate, and against a load without a confirmed permit.
BOOST_AUTO_TEST_CASE(LostResponseToAPermitWriteIsReadBack) {
  FakeObjects objects;
  FakeStore store(objects);
  RateLimiter limiter(store, [] { return 1'000; });
  std::optional<std::optional<Millis>> wait;
  const auto acquire = [&](const std::string& id) {
    limiter.Acquire(id, 1, [&](std::optional<Millis> result) { wait = result; });
    store.ApplyCall();
    store.DeliverResponse();
  };
  acquire("first");
  store.ApplyCall();
  store.FailCall(ErrorKind::kStoreUncertain);
  BOOST_TEST(wait->has_value());
  acquire("first");
  BOOST_TEST(!wait->has_value());
  acquire("second");
  BOOST_TEST((wait == std::optional(Millis{60'000})));
}

// Guards against an order that is lost or sent by two owners when the owner changes while the
// server drains, and against a new owner that considers the server drained before the homes have
// reported their runs.
BOOST_FIXTURE_TEST_CASE(NewOwnerContinuesTheOrder, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(b, "e", "1");
  Run(Millis{20'000});
  BOOST_TEST(a.control.paused.contains(engine.id));
  Disown(a);
  Own(b);
  Run(Millis{4'000});
  BOOST_TEST(b.engines.sent == 0);
  BOOST_TEST(b.control.paused.contains(engine.id));
  Run(Millis{4'000});
  BOOST_TEST(Loaded(engine) == "1");
  BOOST_TEST(a.engines.sent == 0);
  BOOST_TEST(b.engines.sent == 1);
}

}  // namespace
}  // namespace bluebellpass
