#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <random>

#include "kernel/http1-server.h"
#include "kernel/loop.h"
#include "platform/protocol.h"
#include "platform/settings-file.h"
#include "platform/store.h"
#include "soak/store-standin.h"

namespace bluebellpass::platform {
namespace {

using nlohmann::json;

const PlatformProtocol kProtocol;
// Levels of an entry that another writer may leave within the store's limit on its size.
constexpr std::size_t kNestedDepth = 200'000;

HttpHead MakeCallerHead() {
  HttpHead head;
  head.method = "POST";
  head.target = "/a/b?c=1";
  head.fields = {{"Host", "h.example"},
                 {"Request-Id", "r1"},
                 {"Model", "m"},
                 {"Token-Count", "1460,80"},
                 {"Prefix-Hash", "5c1e07a2:800,91bd3f06:410"},
                 {"Length-Hint", "40"},
                 {"Deadline-Ms", "15000"},
                 {"Credential", "secret"},
                 {"Tenant", "forged"},
                 {"Expect-Instance", "forged"},
                 {"Hold", "x"},
                 {"Pin-Ms", "5"},
                 {"Kv-Backup", "1.2.3.4:5"},
                 {"Kv-From", "1.2.3.4:5/x"},
                 {"Connection", "keep-alive, X-Hop"},
                 {"X-Hop", "1"},
                 {"X-Own", "kept"}};
  return head;
}

std::string FieldValue(const std::vector<HttpField>& fields, const std::string& name) {
  std::string found;
  for (const HttpField& field : fields)
    if (EqualsIgnoringCase(field.name, name))
      found += found.empty() ? field.value : "|" + field.value;
  return found;
}

json MakeConfigDocument() {
  return json::parse(R"({"version":7,
    "routes":[{"name":"r","host":"h.example","path_prefix":"/a/","type":"stream","timeout_ms":15000,
      "goal_ms":300,"priority":1,"split":[{"service":"s","weight":90},{"service":"t","weight":10}],
      "attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}],
    "services":[{"name":"s","health_path":"/healthz","max_conns":310,
      "engine":{"slots":9,"kv_capacity":554244,"stride":5}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,
      "idle_timeout_ms":15000},
    "tenants":[{"name":"o","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,
      "rate_per_s":362081,"burst":362081}]})");
}

json MakeBackendDocument() {
  return json::parse(R"({"service":"s","addr":"10.1.2.3:8080","zone":"z","version":"v1","slots":9,
    "state":"ready","cold_left_ms":0,"seq":4,"born":1700000000000})");
}

/// Runs the event loop until a call to the store has ended.
template <class Value>
Result<Value> Await(EventLoop& loop,
                    const std::function<void(std::function<void(Result<Value>)>)>& call) {
  std::optional<Result<Value>> result;
  call([&](Result<Value> value) { result = std::move(value); });
  const TimePoint end = std::chrono::steady_clock::now() + Millis{5'000};
  while (!result && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
  BOOST_REQUIRE(result.has_value());
  return *result;
}

/// A store client and what it reads and writes.
struct EraFixture {
  EraFixture(EventLoop& event_loop, const Address& address)
      : loop(event_loop), store(event_loop, address) {
    store.OnRestored([this] { ++restored_count; });
  }
  Result<gateway::ObjectPage> List() {
    return Await<gateway::ObjectPage>(loop, [&](auto done) {
      store.List(gateway::ObjectKind::kRollouts, "", gateway::ReadConsistency::kCurrent, done);
    });
  }
  Result<gateway::ObjectPage> Watch(gateway::Revision after) {
    return Await<gateway::ObjectPage>(loop, [&](auto done) {
      store.Watch(gateway::ObjectKind::kRollouts, after, Millis{20}, done);
    });
  }
  Result<gateway::Revision> PutStatus(gateway::Revision expected) {
    return Await<gateway::Revision>(loop, [&](auto done) {
      store.PutStatus(gateway::ObjectKind::kRollouts, "r", expected, {{"state", "x"}}, done);
    });
  }
  Result<Ok> Delete(gateway::Revision expected) {
    return Await<Ok>(loop, [&](auto done) {
      store.Delete(gateway::ObjectKind::kRollouts, "r", expected, done);
    });
  }
  EventLoop& loop;
  PlatformStore store;
  int restored_count = 0;
};

}  // namespace

// Guards against a caller that sets the organisation or other fields reserved for the gateway, and
// against dropping fields that must be forwarded.
BOOST_AUTO_TEST_CASE(CallersCannotSetReservedFields) {
  gateway::DispatchFields dispatch_fields;
  dispatch_fields.expected_backend = BackendId("b1");
  dispatch_fields.deadline = Millis{1'200};
  dispatch_fields.organisation = OrganisationId("o");
  const auto fields =
      kProtocol.EncodeBackendRequest(MakeCallerHead(), {"10.0.0.1", 80}, dispatch_fields);
  BOOST_TEST(FieldValue(fields, "Tenant") == "o");
  BOOST_TEST(FieldValue(fields, "Expect-Instance") == "b1");
  BOOST_TEST(FieldValue(fields, "Deadline-Ms") == "1200");
  for (const char* name :
       {"Credential", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "X-Hop", "Connection"})
    BOOST_TEST(FieldValue(fields, name).empty(), name);
  BOOST_TEST(FieldValue(fields, "Token-Count") == "1460,80");
  BOOST_TEST(FieldValue(fields, "Request-Id") == "r1");
  BOOST_TEST(FieldValue(fields, "X-Own") == "kept");
  BOOST_TEST(FieldValue(fields, "Host") == "h.example");
}

// Guards against forwarding the caller's organisation field if the request has no valid API key.
BOOST_AUTO_TEST_CASE(ForgedOrganisationIsRemovedWithoutKey) {
  gateway::DispatchFields dispatch_fields;
  dispatch_fields.expected_backend = BackendId("b1");
  BOOST_TEST(FieldValue(kProtocol.EncodeBackendRequest(MakeCallerHead(), {"10.0.0.1", 80},
                                                       dispatch_fields),
                        "Tenant")
                 .empty());
}

// Guards against a resumed stream that starts after the wrong event.
BOOST_AUTO_TEST_CASE(ResumptionReplacesLastEventId) {
  HttpHead head = MakeCallerHead();
  head.fields.push_back({"Last-Event-Id", "5"});
  gateway::DispatchFields dispatch_fields;
  dispatch_fields.last_event_id = 20;
  BOOST_TEST(FieldValue(kProtocol.EncodeBackendRequest(head, {"10.0.0.1", 80}, dispatch_fields),
                        "Last-Event-Id") == "20");
  dispatch_fields.last_event_id.reset();
  BOOST_TEST(FieldValue(kProtocol.EncodeBackendRequest(head, {"10.0.0.1", 80}, dispatch_fields),
                        "Last-Event-Id") == "5");
}

// Guards against header fields that are decoded wrongly, and against accepting a negative deadline.
BOOST_AUTO_TEST_CASE(RequestIsDecoded) {
  const auto result = kProtocol.DecodeRequest(MakeCallerHead());
  BOOST_REQUIRE(IsOk(result));
  const auto& request = std::get<gateway::CallerRequest>(result);
  BOOST_TEST(request.id.Text() == "r1");
  BOOST_TEST(request.path == "/a/b");
  BOOST_TEST(request.api_key == "secret");
  BOOST_TEST(request.prompt_tokens.value() == 1460);
  BOOST_TEST(request.max_output_tokens == 80);
  BOOST_TEST(request.output_hint.value() == 40);
  BOOST_TEST((request.deadline == Millis{15'000}));
  BOOST_TEST(request.prompt_parts.at(1) == "91bd3f06");
  HttpHead bad = MakeCallerHead();
  for (HttpField& field : bad.fields)
    if (field.name == "Deadline-Ms") field.value = "-1";
  BOOST_TEST(!IsOk(kProtocol.DecodeRequest(bad)));
}

// Guards against callers that are sent to another data centre because theirs is not read.
BOOST_AUTO_TEST_CASE(CallerDataCentreIsDecoded) {
  const auto decode = [](const std::string& target) {
    HttpHead head;
    head.method = "GET";
    head.target = target;
    return kProtocol.DecodeCallerDataCentre(head).Text();
  };
  BOOST_TEST(decode("/api/resolve?name=h&region=r&zone=lx-a") == "lx-a");
  BOOST_TEST(decode("/api/resolve?zone=lx-a&name=h") == "lx-a");
  for (const char* target : {"/api/resolve", "/api/resolve?", "/api/resolve?timezone=lx-a",
                             "/api/resolve?zone=", "/api/resolve?&&zone"})
    BOOST_TEST(decode(target).empty(), target);
}

// Guards against configuration fields that are decoded to the wrong members.
BOOST_AUTO_TEST_CASE(ConfigurationIsDecoded) {
  const auto result = kProtocol.DecodeConfig(MakeConfigDocument());
  BOOST_REQUIRE(IsOk(result));
  const auto& config = std::get<gateway::Config>(result);
  BOOST_TEST(config.version.Value() == 7U);
  const gateway::Route& route = config.routes.at(0);
  BOOST_TEST(route.is_stream);
  BOOST_TEST(route.is_resumable);
  BOOST_TEST(!route.is_idempotent);
  BOOST_TEST(route.targets.size() == 2U);
  BOOST_TEST(route.targets[0].weight == 90);
  BOOST_TEST((route.max_event_gap == Millis{250}));
  BOOST_TEST(route.max_backends == 2);
  BOOST_TEST(config.services.at(0).engine->tokens_per_event == 5);
  BOOST_TEST(config.organisations.at(0).keys.size() == 2U);
  BOOST_TEST(config.organisations.at(0).is_quota_in_tokens);
  BOOST_TEST((config.limits.idle_timeout == Millis{15'000}));
}

// Guards against using a backend server whose document, which other programs write, is incomplete
// or malformed.
BOOST_AUTO_TEST_CASE(InvalidBackendDocumentsAreRejected) {
  BOOST_TEST(IsOk(kProtocol.DecodeBackend("b", MakeBackendDocument())));
  for (const char* field : {"service", "addr", "state"}) {
    json missing = MakeBackendDocument();
    missing.erase(field);
    BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", missing)), field);
    for (const json& wrong : {json(1), json(json::array()), json(json::object()), json(true)}) {
      json other = MakeBackendDocument();
      other[field] = wrong;
      BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", other)), field);
    }
  }
  json unknown = MakeBackendDocument();
  unknown["state"] = "resting";
  BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", unknown)));
  json address = MakeBackendDocument();
  address["addr"] = "nowhere";
  BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", address)));
  for (const char* port : {"0", "65536", "99999999999999999999", "-1"}) {
    address["addr"] = std::string("10.1.2.3:") + port;
    BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", address)), port);
  }
  for (const double slots : {-1.0, 1e7, 3e9, 1e300}) {
    json odd_slots = MakeBackendDocument();
    odd_slots["slots"] = slots;
    BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", odd_slots)), slots);
  }
  for (const json& document : {json("text"), json(nullptr), json(5), json(json::array())})
    BOOST_TEST(!IsOk(kProtocol.DecodeBackend("b", document)));
}

// Guards against crashes on documents with missing members or members of any type.
BOOST_AUTO_TEST_CASE(RandomDocumentsNeverCrash) {
  std::mt19937 random(4);
  const std::string samples[] = {MakeConfigDocument().dump(), MakeBackendDocument().dump()};
  const char* values[] = {"null", "-1", "1e300", "\"x\"", "[]", "{}", "true", "[1,\"a\",{}]"};
  for (int round = 0; round < 10'000; ++round) {
    json document = json::parse(samples[round % 2]);
    json flat = document.flatten();
    for (int i = 0; i < 2; ++i) {
      auto position = flat.begin();
      std::advance(position, random() % flat.size());
      const json::json_pointer pointer(position.key());
      try {
        document[pointer] = json::parse(values[random() % 8]);
      } catch (const json::exception&) {
        continue;  // An earlier change removed the member.
      }
    }
    const auto config = kProtocol.DecodeConfig(document);
    const auto backend = kProtocol.DecodeBackend("b", document);
    BOOST_TEST((config.index() <= 1 && backend.index() <= 1));
  }
}

// Guards against settings that are read wrongly, and against accepting a file that lacks a required
// field or is not valid YAML.
BOOST_AUTO_TEST_CASE(SettingsFileIsParsed) {
  const std::string text =
      "node: \"n1\"\nzone: \"z\"\nregion: \"r\"\nip: \"10.1.0.25\"\nlater: [1, 2]\n"
      "listen:\n  front: \"10.1.0.25:8221\"\n  ready: \"10.1.0.25:8224\"\n"
      "  directory: \"10.1.0.25:8220\"\nport_range:\n  - 7600\n  - 7615\n"
      "limits:\n  ram_mb: 160\n  max_fds: 4100\nbounds:\n  drain_ms: 2000\n  grace_s: 8\n"
      "  revoke_ms: 5000\n  retry_ratio: 0.2\n  quota_slack: 140000\n"
      "platform:\n  addr: \"10.200.1.7:8225\"\n  reads_per_s: 2000\n";
  const auto result = ParseSettings(text);
  BOOST_REQUIRE(IsOk(result));
  const auto& settings = std::get<gateway::Settings>(result);
  BOOST_TEST(settings.instance.Text() == "n1");
  BOOST_TEST(settings.caller_listen.Text() == "10.1.0.25:8221");
  BOOST_TEST(settings.peer_listen.Text() == "10.1.0.25:7600");
  BOOST_TEST(settings.metrics_listen.Text() == "10.1.0.25:7615");
  BOOST_TEST((settings.stop_grace == Millis{8'000}));
  BOOST_TEST(settings.max_descriptors == 4'100U);
  BOOST_TEST(settings.max_buffer_memory == 40U << 20U);
  BOOST_TEST((settings.max_revocation_delay == Millis{5'000}));
  BOOST_TEST(settings.quota_slack == 140'000);
  BOOST_TEST(!settings.has_state_transfer);
  const auto enabled = ParseSettings(text + "fleet:\n  state_transfer: true\n");
  BOOST_REQUIRE(IsOk(enabled));
  BOOST_TEST(std::get<gateway::Settings>(enabled).has_state_transfer);
  const auto invalid = ParseSettings(text + "fleet:\n  state_transfer: 7\n");
  BOOST_REQUIRE(!IsOk(invalid));
  BOOST_TEST(ErrorOf(invalid).field == "fleet.state_transfer");
  for (const char* line :
       {"node: \"n1\"\n", "  front: \"10.1.0.25:8221\"\n", "  addr: \"10.200.1.7:8225\"\n"}) {
    std::string missing = text;
    missing.erase(missing.find(line), std::string(line).size());
    const auto rejected = ParseSettings(missing);
    BOOST_REQUIRE(!IsOk(rejected));
    BOOST_TEST(!ErrorOf(rejected).field.empty());
  }
  BOOST_TEST(!IsOk(ParseSettings("node: [unclosed")));
  BOOST_TEST(!IsOk(ParseSettings("just text")));
}

// Guards against a timeout of a long list while its data is still arriving. The list would be
// requested again, which multiplies the load on a slow store.
BOOST_AUTO_TEST_CASE(ListThatArrivesSlowlyIsRead) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> exchange;
  Http1Server server(loop, {}, [&](std::shared_ptr<HttpExchange> call) {
    exchange = std::move(call);
    exchange->Start(200, {});
  });
  PlatformStore store(loop, std::get<Address>(server.Listen({"127.0.0.1", 0})));
  std::optional<Result<gateway::ObjectPage>> result;
  store.List(gateway::ObjectKind::kBackends, "", gateway::ReadConsistency::kCurrent,
             [&](Result<gateway::ObjectPage> page) { result = std::move(page); });
  const std::string body = R"({"items":[],"has_more":false,"current_rev":3})";
  // The total time exceeds the timeout, which bounds only the time without data.
  const Millis pause{400};
  const std::size_t parts = 4;
  const auto run = [&](Millis span) {
    const TimePoint end = std::chrono::steady_clock::now() + span;
    while (!result && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
  };
  while (!exchange) loop.RunOnce(Millis{5});
  const std::size_t part = body.size() / parts + 1;
  for (std::size_t position = 0; position < body.size(); position += part) {
    run(pause);
    exchange->Write(body.substr(position, part));
  }
  exchange->End();
  run(Millis{2'000});
  BOOST_REQUIRE(result.has_value());
  BOOST_REQUIRE(IsOk(*result));
  BOOST_TEST((std::get<gateway::ObjectPage>(*result).revision == gateway::Revision(3)));
}

// Guards against a response of the store without end that fills the memory, and against a watch
// that never gets past changes too long for one response.
BOOST_AUTO_TEST_CASE(EndlessResponseOfTheStoreEnds) {
  EventLoop loop;
  std::shared_ptr<HttpExchange> exchange;
  Http1Server server(loop, {}, [&](std::shared_ptr<HttpExchange> call) {
    exchange = std::move(call);
    exchange->Start(200, {});
  });
  MemoryAccount account(1U << 20U);
  PlatformStore store(loop, std::get<Address>(server.Listen({"127.0.0.1", 0})), &account);
  const std::size_t max_sent_bytes = 64U << 20U;
  const auto play = [&](const std::function<void()>& call, const auto& has_ended) {
    exchange = nullptr;
    call();
    std::size_t sent = 0;
    std::size_t most_held = 0;
    while (!has_ended() && sent < max_sent_bytes) {
      loop.RunOnce(Millis{1});
      most_held = std::max(most_held, account.Used());
      if (!exchange || exchange->PendingBytes() > 0) continue;
      exchange->Write(std::string(64U << 10U, 'x'));
      sent += 64U << 10U;
    }
    BOOST_TEST(has_ended());
    // The bytes of a call to the store are counted, though they are never released early.
    BOOST_TEST(most_held > 0U);
    BOOST_TEST(most_held < 16U << 20U);
    BOOST_TEST(account.Used() == 0U);
  };
  std::optional<Result<gateway::ObjectPage>> page;
  const auto on_page = [&](Result<gateway::ObjectPage> result) { page = std::move(result); };
  const auto has_page = [&] { return page.has_value(); };
  play(
      [&] {
        store.List(gateway::ObjectKind::kBackends, "", gateway::ReadConsistency::kCurrent, on_page);
      },
      has_page);
  BOOST_TEST(!IsOk(*page));
  page.reset();
  play(
      [&] {
        store.Watch(gateway::ObjectKind::kBackends, gateway::Revision(3), Millis{1'000}, on_page);
      },
      has_page);
  // The objects are listed, in pages.
  BOOST_TEST((ErrorOf(*page).kind == ErrorKind::kNotFound), ErrorOf(*page).message);
  std::optional<Result<gateway::Revision>> written;
  play(
      [&] {
        store.Put(gateway::ObjectKind::kInstances, "a", nlohmann::json::object(),
                  [&](Result<gateway::Revision> result) { written = std::move(result); });
      },
      [&] { return written.has_value(); });
  BOOST_TEST((ErrorOf(*written).kind == ErrorKind::kStoreUncertain));
}

// Guards against a list that is lost, or a process that ends, because of one unreadable entry of
// another writer.
BOOST_AUTO_TEST_CASE(UnreadableEntryDoesNotHideTheOthers) {
  const std::string nested = std::string(kNestedDepth, '[') + std::string(kNestedDepth, ']');
  const std::string values[] = {nested,         "1e999",      "-1e999",       "[1e400]",
                                "\"\xff\xfe\"", "\"a\x01b\"", "{\"a\":1e999}"};
  EventLoop loop;
  std::string body;
  Http1Server server(loop, {},
                     [&](const std::shared_ptr<HttpExchange>& call) { call->Send(200, {}, body); });
  PlatformStore store(loop, std::get<Address>(server.Listen({"127.0.0.1", 0})));
  for (const std::string& value : values) {
    BOOST_TEST_CONTEXT(value.substr(0, 20)) {
      const std::string sound = MakeBackendDocument().dump();
      body = R"({"items":[{"meta":{"name":"a","rev":2},"spec":)" + sound +
             R"(},{"meta":{"name":"odd","rev":3},"spec":{"service":"s","addr":"10.1.2.3:1",)" +
             R"("state":"ready","slots":)" + value + R"(}},{"meta":{"name":"b","rev":4},"spec":)" +
             sound + R"(}],"has_more":false,"current_rev":4})";
      std::optional<Result<gateway::ObjectPage>> result;
      store.List(gateway::ObjectKind::kBackends, "", gateway::ReadConsistency::kCurrent,
                 [&](Result<gateway::ObjectPage> page) { result = std::move(page); });
      const TimePoint end = std::chrono::steady_clock::now() + Millis{5'000};
      while (!result && std::chrono::steady_clock::now() < end) loop.RunOnce(Millis{5});
      BOOST_REQUIRE(result.has_value());
      BOOST_REQUIRE(IsOk(*result));
      std::vector<std::string> usable;
      for (const gateway::StoredObject& object : std::get<gateway::ObjectPage>(*result).objects) {
        // Instances relay entries to each other as text.
        BOOST_TEST(!object.spec->dump().empty());
        if (IsOk(kProtocol.DecodeBackend(object.name, *object.spec))) usable.push_back(object.name);
      }
      BOOST_TEST((usable == std::vector<std::string>{"a", "b"}));
    }
  }
}

// Guards against a stream that is taken up as another one, or as a new one.
BOOST_AUTO_TEST_CASE(ResumedAttemptIsDecoded) {
  HttpHead head = MakeCallerHead();
  const auto decode = [&] {
    return std::get<gateway::CallerRequest>(kProtocol.DecodeRequest(head));
  };
  head.fields.push_back({"Resumes", "r0"});
  // Without an event the caller has nothing to resume after.
  BOOST_TEST(!decode().is_resume);
  BOOST_TEST(decode().resumed_attempt.IsEmpty());
  head.fields.push_back({"Last-Event-Id", "0"});
  BOOST_TEST(decode().is_resume);
  BOOST_TEST(decode().resumed_attempt.Text() == "r0");
  BOOST_TEST(decode().id.Text() == "r1");
  std::erase_if(head.fields, [](const HttpField& field) { return field.name == "Resumes"; });
  BOOST_TEST(decode().is_resume);
  BOOST_TEST(decode().resumed_attempt.IsEmpty());
}

// Guards against a backend server that is rejected because its report has no readable number, and
// against a negative one that becomes the highest.
BOOST_AUTO_TEST_CASE(ReportNumberIsOptional) {
  json document = MakeBackendDocument();
  const auto number = [&] {
    const auto backend = kProtocol.DecodeBackend("b", document);
    BOOST_REQUIRE(IsOk(backend));
    return std::get<gateway::Backend>(backend).report_number;
  };
  BOOST_TEST(number() == 4U);
  for (const json& odd : {json(-1), json("7"), json(nullptr), json(json::array()), json(true)}) {
    document["seq"] = odd;
    BOOST_TEST(number() == 0U, odd.dump());
  }
  document.erase("seq");
  BOOST_TEST(number() == 0U);
}

// Guards against a watch that goes on, or a conditional write that is executed, with a revision
// that the restored store has given out again.
BOOST_AUTO_TEST_CASE(RevisionsOfAnEarlierEraAreNotUsed) {
  EventLoop loop;
  test::StoreStandin standin(loop, 1);
  EraFixture client(loop, standin.Listen());
  standin.Put("rollouts", "r", {{"target", "v1"}});
  standin.MakeCopy();
  standin.Put("rollouts", "r", {{"target", "v2"}});
  const auto before = std::get<gateway::ObjectPage>(client.List());
  BOOST_TEST((gateway::EraOf(before.revision) == gateway::StoreEra(1)));
  const gateway::Revision expected = before.objects.at(0).revision;
  BOOST_TEST(IsOk(client.Watch(before.revision)));
  standin.Restore();
  // The number is that of the object now.
  standin.Put("rollouts", "r", {{"target", "v3"}});
  BOOST_TEST((ErrorOf(client.Watch(before.revision)).kind == ErrorKind::kNotFound));
  const std::uint64_t calls = standin.CallCount();
  BOOST_TEST((ErrorOf(client.PutStatus(expected)).kind == ErrorKind::kConflict));
  BOOST_TEST((ErrorOf(client.Delete(expected)).kind == ErrorKind::kConflict));
  BOOST_TEST(standin.CallCount() == calls);
  const auto after = std::get<gateway::ObjectPage>(client.List());
  const gateway::Revision current = after.objects.at(0).revision;
  BOOST_TEST(gateway::NumberOf(current) == gateway::NumberOf(expected));
  BOOST_TEST((current > before.revision));
  BOOST_TEST(IsOk(client.Watch(after.revision)));
  const auto written = client.PutStatus(current);
  BOOST_REQUIRE(IsOk(written));
  BOOST_TEST(IsOk(client.Delete(std::get<gateway::Revision>(written))));
  BOOST_TEST(client.restored_count == 1);
}

// Guards against a late response of an earlier era that brings lost objects back, and against a
// restored store that goes unnoticed or is reported again by each response.
BOOST_AUTO_TEST_CASE(ResponsesOfAnEarlierEraAreDropped) {
  EventLoop loop;
  std::vector<HttpField> fields;
  Http1Server server(loop, {}, [&](const std::shared_ptr<HttpExchange>& call) {
    call->Send(200, fields, R"({"items":[],"events":[],"has_more":false,"current_rev":3})");
  });
  EraFixture client(loop, std::get<Address>(server.Listen({"127.0.0.1", 0})));
  struct Step {
    std::string era;
    std::uint64_t known;  ///< era of the page; 0 for a response that is dropped
    int restored_count;
  };
  for (const Step& step :
       {Step{"2", 2, 0}, Step{"2", 2, 0}, Step{"1", 0, 0}, Step{"4", 4, 1}, Step{"4", 4, 1},
        Step{"2", 0, 1}, Step{"", 4, 1}, Step{"x", 4, 1}, Step{"10", 10, 2}, Step{"9", 0, 2}}) {
    BOOST_TEST_CONTEXT("era " << step.era) {
      fields.clear();
      if (!step.era.empty()) fields.push_back({"Store-Era", step.era});
      const auto page = client.List();
      BOOST_REQUIRE(IsOk(page) == (step.known != 0));
      if (step.known == 0) {
        BOOST_TEST((ErrorOf(page).kind == ErrorKind::kStoreUncertain));
      } else {
        BOOST_TEST((std::get<gateway::ObjectPage>(page).revision ==
                    gateway::MakeRevision(gateway::StoreEra(step.known), 3)));
      }
      loop.RunOnce(Millis{0});
      BOOST_TEST(client.restored_count == step.restored_count);
    }
  }
}

}  // namespace bluebellpass::platform
