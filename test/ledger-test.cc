#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>

#include "bluebellpass/event.h"
#include "fakes.h"
#include "ledger/document.h"
#include "ledger/store-ledger.h"

namespace bluebellpass {
namespace {

constexpr std::int64_t kStartMs = 1'700'000'000'000;
constexpr std::int64_t kHourMs = 3'600'000;
constexpr int kMaxSteps = 200;

/// A process with a ledger.
struct Writer {
  Writer(FakeObjects& objects, std::int64_t& now_ms, const std::string& name,
         StoreLedgerOptions options)
      : store(objects),
        ledger(std::make_unique<StoreLedger>(
            store, timers, name, [&now_ms] { return now_ms; }, random, options)) {}

  void Claim(const std::string& key, const std::string& request) {
    ledger->Claim({OrganisationId("o"), key}, RequestId(request), [this, request](auto outcome) {
      const auto* taken = std::get_if<ClaimTaken>(&outcome);
      results.push_back(request + (taken == nullptr ? " ok" : " taken by " + taken->holder.Text()));
    });
  }
  void Void(const std::string& key, const std::string& request) {
    ledger->Void({OrganisationId("o"), key}, RequestId(request));
  }
  /// Applies the oldest call and delivers its response.
  void AnswerCall() {
    store.ApplyCall();
    store.DeliverResponse();
  }
  /// Answers calls and fires timers until none are left.
  void RunUntilIdle() {
    for (int i = 0; i < kMaxSteps; ++i) {
      if (!store.calls.empty()) {
        AnswerCall();
      } else if (!timers.AdvanceToNextTimer()) {
        return;
      }
    }
  }

  ManualTimers timers;
  std::mt19937_64 random{7};
  FakeStore store;
  std::vector<std::string> results;
  std::unique_ptr<StoreLedger> ledger;
};

using Results = std::vector<std::string>;

struct Fixture {
  Fixture() { SetLogLevel(Severity::kError); }

  FakeObjects objects;
  std::int64_t now_ms = kStartMs;
  Writer a{objects, now_ms, "a/1", {.shard_count = 1}};
  Writer b{objects, now_ms, "b/1", {.shard_count = 1}};

  /// @return ids of the requests with a stored claim
  std::set<std::string> StoredRequests() const {
    std::set<std::string> requests;
    const auto found = objects.objects.find("ledger/0");
    if (found == objects.objects.end()) return requests;
    const auto entries = ParseLedgerDocument(found->second.value);
    for (const auto& [hash, entry] : entries.value()) requests.insert(entry.request.Text());
    return requests;
  }
};

using Requests = std::set<std::string>;

}  // namespace

// One write per claim would exceed the rate limits of the object API.
BOOST_FIXTURE_TEST_CASE(ClaimsAreBatchedDuringWrite, Fixture) {
  a.Claim("k1", "r1");
  a.AnswerCall();  // the read, after which the write of r1 is in flight
  a.Claim("k2", "r2");
  a.Claim("k3", "r3");
  BOOST_TEST(a.store.calls.size() == 1);
  a.AnswerCall();
  BOOST_TEST(a.results == Results({"r1 ok"}));
  a.AnswerCall();
  BOOST_TEST(a.results == Results({"r1 ok", "r2 ok", "r3 ok"}));
  BOOST_TEST(objects.objects.at("ledger/0").version == ObjectVersion{2});
  BOOST_TEST(a.ledger->PendingCount() == 0);
}

// Guards against two requests that claim the same key, in one batch or on two instances, and
// against a repeated claim of the same request that is found taken.
BOOST_FIXTURE_TEST_CASE(KeyHasOneHolder, Fixture) {
  a.Claim("k", "r1");
  a.Claim("k", "r2");
  b.Claim("k", "r3");
  b.store.ApplyCall();  // b reads the empty shard before a writes it
  a.RunUntilIdle();
  b.store.DeliverResponse();
  b.RunUntilIdle();
  a.Claim("k", "r1");
  a.RunUntilIdle();
  BOOST_TEST(a.results == Results({"r1 ok", "r2 taken by r1", "r1 ok"}));
  BOOST_TEST(b.results == Results({"r3 taken by r1"}));
}

// Guards against a claim that stays stored because its write was in flight when it was voided.
BOOST_FIXTURE_TEST_CASE(VoidDuringWriteRemovesClaim, Fixture) {
  a.Claim("k", "r1");
  a.AnswerCall();
  a.Void("k", "r1");
  a.RunUntilIdle();
  BOOST_TEST(a.results.empty());
  BOOST_TEST(StoredRequests().empty());
  BOOST_TEST(a.ledger->PendingCount() == 0);
  b.Claim("k", "r2");
  b.RunUntilIdle();
  BOOST_TEST(b.results == Results({"r2 ok"}));
}

// Guards against a void that removes the claim of another request or of another writer.
BOOST_FIXTURE_TEST_CASE(VoidKeepsOtherClaims, Fixture) {
  b.Claim("k", "r2");
  b.RunUntilIdle();
  a.Void("k", "r1");
  a.Void("k", "r2");  // same request id, but claimed by another writer
  a.RunUntilIdle();
  BOOST_TEST(StoredRequests() == Requests({"r2"}));
}

// Guards against treating a write as failed when it was applied and only its response was lost.
BOOST_FIXTURE_TEST_CASE(LostResponseIsResolvedByRead, Fixture) {
  a.Claim("k", "r1");
  a.AnswerCall();
  a.store.ApplyCall();
  a.store.FailCall(ErrorKind::kStoreUncertain);
  BOOST_TEST(a.results.empty());
  a.RunUntilIdle();
  BOOST_TEST(a.results == Results({"r1 ok"}));
  BOOST_TEST(objects.objects.at("ledger/0").version == ObjectVersion{1});
}

// Guards against completing a void while the delayed write of its claim can still be applied.
BOOST_FIXTURE_TEST_CASE(DelayedWriteCannotUndoVoid, Fixture) {
  a.Claim("k", "r1");
  a.AnswerCall();
  a.store.FailCall(ErrorKind::kStoreUncertain);  // delayed, not applied
  a.Void("k", "r1");
  a.RunUntilIdle();
  BOOST_TEST(a.ledger->PendingCount() == 0);
  objects.ApplyDelayedPut(0);
  BOOST_TEST(StoredRequests().empty());
}

// Guards against completing a void from a read, after which the delayed write of its claim is
// applied.
BOOST_FIXTURE_TEST_CASE(DelayedWriteAfterReadIsVoided, Fixture) {
  a.Claim("k", "r1");
  a.AnswerCall();
  a.store.FailCall(ErrorKind::kStoreUncertain);
  a.Void("k", "r1");
  a.timers.AdvanceToNextTimer();
  a.AnswerCall();  // reads the shard without the entry
  objects.ApplyDelayedPut(0);
  BOOST_TEST(StoredRequests() == Requests({"r1"}));
  a.RunUntilIdle();
  BOOST_TEST(StoredRequests().empty());
  BOOST_TEST(a.ledger->PendingCount() == 0);
}

// Guards against losing claims while the store is unavailable, and against retries without backoff.
BOOST_FIXTURE_TEST_CASE(ClaimIsRetriedDuringOutage, Fixture) {
  a.Claim("k", "r1");
  Millis last_delay{0};
  for (int i = 0; i < 10; ++i) {
    a.store.FailCall(ErrorKind::kStoreUnavailable);
    last_delay = a.timers.AdvanceToNextTimer().value();
    BOOST_TEST((last_delay >= Millis{25} && last_delay <= Millis{2'000}));
  }
  BOOST_TEST((last_delay >= Millis{1'000}));
  a.RunUntilIdle();
  BOOST_TEST(a.results == Results({"r1 ok"}));
}

// Guards against overwriting a document that is corrupt or was written by a newer release.
BOOST_FIXTURE_TEST_CASE(MalformedDocumentIsNotOverwritten, Fixture) {
  for (const std::string text :
       {"not json", "{}", R"({"format":2,"entries":[]})", R"({"format":1,"entries":[{"k":1}]})"}) {
    Writer c{objects, now_ms, "c/1", {.shard_count = 1}};
    objects.objects["ledger/0"] = {.value = text, .version = ObjectVersion{5}};
    c.Claim("k", "r1");
    c.RunUntilIdle();
    BOOST_TEST(c.results.empty());
    BOOST_TEST(c.ledger->PendingCount() == 1);
    BOOST_TEST(objects.objects.at("ledger/0").value == text);
    objects.objects.clear();
    c.RunUntilIdle();
    BOOST_TEST(c.results == Results({"r1 ok"}));
  }
}

// Guards against claims that expire early, never expire, or are removed because the clock of their
// writer is ahead.
BOOST_FIXTURE_TEST_CASE(OldEntriesAreRemoved, Fixture) {
  a.Claim("old", "r1");
  a.RunUntilIdle();
  now_ms = kStartMs + (25 * kHourMs);
  a.Claim("k2", "r2");
  a.RunUntilIdle();
  BOOST_TEST(StoredRequests() == Requests({"r1", "r2"}));
  now_ms += 1;
  a.Claim("k3", "r3");
  a.RunUntilIdle();
  BOOST_TEST(StoredRequests() == Requests({"r2", "r3"}));
  now_ms = kStartMs;
  b.Claim("k4", "r4");
  b.RunUntilIdle();
  BOOST_TEST(StoredRequests() == Requests({"r2", "r3", "r4"}));
}

// Guards against values above the size limit of the object API, and against losing claims that do
// not fit.
BOOST_FIXTURE_TEST_CASE(ClaimWaitsWhileShardIsFull, Fixture) {
  Writer c{objects, now_ms, "c/1", {.shard_count = 1, .max_value_bytes = 720}};
  c.Claim("k1", "r1");
  c.Claim("k2", "r2");
  c.Claim("k3", "r3");
  c.RunUntilIdle();
  BOOST_TEST(c.results == Results({"r1 ok", "r2 ok"}));
  BOOST_TEST(c.ledger->PendingCount() == 1);
  BOOST_TEST(objects.objects.at("ledger/0").value.size() <= 720);
  c.Void("k1", "r1");
  c.RunUntilIdle();
  BOOST_TEST(c.results == Results({"r1 ok", "r2 ok", "r3 ok"}));
  BOOST_TEST(StoredRequests() == Requests({"r2", "r3"}));
}

// Guards against a callback after Void(), and against access to the ledger after a callback has
// destroyed it.
BOOST_FIXTURE_TEST_CASE(CallbackMayVoidOrDestroyLedger, Fixture) {
  const ClaimKey k1{OrganisationId("o"), "k1"};
  const ClaimKey k2{OrganisationId("o"), "k2"};
  a.ledger->Claim(k1, RequestId("r1"), [&](auto) { a.Void("k2", "r2"); });
  a.Claim("k2", "r2");
  a.RunUntilIdle();
  BOOST_TEST(a.results.empty());
  BOOST_TEST(StoredRequests() == Requests({"r1"}));
  b.ledger->Claim(k2, RequestId("r3"), [&](auto) { b.ledger.reset(); });
  b.Claim("k3", "r4");
  b.RunUntilIdle();
  BOOST_TEST(b.results.empty());
}

// Guards against an entry shared by two pairs of organisation and key, and against hashes that
// change between releases.
BOOST_AUTO_TEST_CASE(KeyHashesAreDistinctAndStable) {
  const auto hash = [](const char* organisation, const char* key) {
    return HashClaimKey({OrganisationId(organisation), key}, 64);
  };
  BOOST_TEST(hash("ab", "c").text != hash("a", "bc").text);
  BOOST_TEST(hash("a", "bc").text.size() == 34);
  std::set<std::size_t> shards;
  for (int i = 0; i < 2000; ++i) shards.insert(hash("o", std::to_string(i).c_str()).shard);
  BOOST_TEST(shards.size() == 64);
  BOOST_TEST(hash("org", "key").text == "fdf1a7ce3efa494c4bd1dfea11b4033a:3");
}

}  // namespace bluebellpass
