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
  void SetGrantsPaused(const BackendId& backend, bool is_held) override {
    if (is_held) {
      held.insert(backend);
    } else {
      held.erase(backend);
    }
  }
  void OnLoadReport(const BackendId& /*backend*/, std::optional<std::int64_t> /*active*/) override {
  }

  std::vector<OwnedBackend> owned;
  std::set<BackendId> held;
};

/// Real calls to the stand-ins; orders can be delayed in the network.
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
  /// @return the server of a new engine, which is part of the configuration from now on
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
    instance.control.held.clear();
  }
  /// Lets all calls end that are in progress.
  void Settle() {
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
      timers.FireNext();
      Settle();
    }
  }
  /// Gives an order; its result is in `accepted` when the store has answered.
  void Load(Instance& instance, const std::string& backend, const std::string& version,
            const std::string& model = "m") {
    accepted.reset();
    instance.task.Load({.backend = BackendId(backend), .model = model, .version = version},
                       [this](const Result<ObjectVersion>& result) { accepted = result; });
  }
  /// @return the version of the model that the engine has loaded
  std::string Loaded(const BackendConfig& backend) {
    std::string version;
    a.engines.ReadLoaded(backend.address, [&](const Result<LoadedModels>& result) {
      version = std::get<LoadedModels>(result).models.at("m");
    });
    Settle();
    return version;
  }
  /// The order of one instance is delayed while another becomes owner and carries out a newer one.
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

// Guards against a load while the engine still runs work of the old model, and against grants to a
// server that drains.
BOOST_FIXTURE_TEST_CASE(ServerIsDrainedBeforeTheLoad, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(a, "e", "1");
  Run(Millis{20'000});
  BOOST_TEST(std::get<ObjectVersion>(*accepted) == ObjectVersion(1));
  BOOST_TEST(a.control.held.contains(engine.id));
  BOOST_TEST(a.engines.sent == 0);
  a.control.owned.at(0).running = 0;
  Run(Millis{2'000});
  BOOST_TEST(Loaded(engine) == "1");
  BOOST_TEST(a.control.held.empty());
  BOOST_TEST((a.task.State(engine.id) == OrderState::kDone));
}

// Guards against a server that gets no work for good because one of its runs never ends.
BOOST_FIXTURE_TEST_CASE(EndlessRunFailsTheOrder, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(a, "e", "1");
  Run(Millis{65'000});
  BOOST_TEST((a.task.State(engine.id) == OrderState::kFailed));
  BOOST_TEST(a.control.held.empty());
  BOOST_TEST(a.engines.sent == 0);
}

// Guards against a late order of a former owner that takes effect after a newer one.
BOOST_FIXTURE_TEST_CASE(CheckingEngineRefusesStaleIssuer, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  DelayOrderOfFormerOwner(engine);
  a.engines.delayed.at(0)();
  Settle();
  BOOST_TEST(a.engines.statuses == std::vector<int>{409}, boost::test_tools::per_element());
  BOOST_TEST(Loaded(engine) == "2");
}

// Guards against the same at an engine that ignores the number and carries out the late order.
BOOST_FIXTURE_TEST_CASE(IgnoringEngineIsCorrected, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kIgnores);
  DelayOrderOfFormerOwner(engine);
  a.engines.delayed.at(0)();
  BOOST_REQUIRE(Loaded(engine) == "1");
  Run(Millis{25'000});
  BOOST_TEST(Loaded(engine) == "2");
  BOOST_TEST((b.task.State(engine.id) == OrderState::kDone));
  BOOST_TEST(b.engines.sent == 2);
}

// Guards against a late order for another model that goes unnoticed because the ordered one is
// still listed.
BOOST_FIXTURE_TEST_CASE(LateOrderForAnotherModelIsCorrected, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kIgnores);
  DelayOrderOfFormerOwner(engine, "old");
  a.engines.delayed.at(0)();
  Run(Millis{25'000});
  BOOST_TEST((b.task.State(engine.id) == OrderState::kDone));
  BOOST_TEST(b.engines.sent == 2);
}

// Guards against an order that is reported as refused although it was written, is written twice,
// or is reported as written although another one has replaced it.
BOOST_FIXTURE_TEST_CASE(LostAnswerOfTheDesiredStateIsReadBack, Fixture) {
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
      .value = FormatDesired({.model = "m", .version = "3", .mark = "b/1"}),
      .version = ObjectVersion(9)};
  Run(Millis{1'000});
  BOOST_TEST((ErrorOf(*accepted).kind == ErrorKind::kStoreUncertain));
}

// Guards against two conflicting commands that are both reported as accepted.
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
  Settle();
  BOOST_TEST((ErrorOf(*accepted).kind == ErrorKind::kConflict));
}

// Guards against more loads in a minute than the weight store stands, over several owners.
BOOST_FIXTURE_TEST_CASE(LoadsKeepToTheRate, Fixture) {
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

// Guards against a token that is taken twice when the store's answer is lost, which would halve the
// rate, and against a load without a confirmed token.
BOOST_AUTO_TEST_CASE(LostAnswerOfTheRateIsReadBack) {
  FakeObjects objects;
  FakeStore store(objects);
  RateLimiter limiter(store, [] { return 1'000; });
  std::optional<std::optional<Millis>> wait;
  const auto take = [&](const std::string& id) {
    limiter.Take(id, 1, [&](std::optional<Millis> result) { wait = result; });
    store.ApplyCall();
    store.DeliverResponse();
  };
  take("first");
  store.ApplyCall();
  store.FailCall(ErrorKind::kStoreUncertain);
  BOOST_TEST(wait->has_value());
  take("first");
  BOOST_TEST(!wait->has_value());
  take("second");
  BOOST_TEST((wait == std::optional(Millis{60'000})));
}

// Guards against an order that is lost, or sent by two owners, when the owner changes while it
// drains the server, and against a new owner that takes a server for empty before the homes report.
BOOST_FIXTURE_TEST_CASE(NewOwnerContinuesTheOrder, Fixture) {
  const BackendConfig engine = AddEngine("e", FencingSupport::kChecks);
  Own(a, 1);
  Load(b, "e", "1");
  Run(Millis{20'000});
  BOOST_TEST(a.control.held.contains(engine.id));
  Disown(a);
  Own(b);
  Run(Millis{4'000});
  BOOST_TEST(b.engines.sent == 0);
  BOOST_TEST(b.control.held.contains(engine.id));
  Run(Millis{4'000});
  BOOST_TEST(Loaded(engine) == "1");
  BOOST_TEST(a.engines.sent == 0);
  BOOST_TEST(b.engines.sent == 1);
}

}  // namespace
}  // namespace bluebellpass
