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

constexpr std::int64_t kStart = 1'700'000'000'000;
constexpr std::int64_t kHour = 3'600'000;
constexpr int kMaxSteps = 200;

/// A process with a ledger of one shard.
struct Writer {
  Writer(FakeObjects& objects, std::int64_t& now, const std::string& name,
         StoreLedgerOptions options)
      : store(objects),
        ledger(std::make_unique<StoreLedger>(
            store, timers, name, [&now] { return now; }, random, options)) {}

  void Claim(const std::string& key, const std::string& request) {
    ledger->Claim({OrganisationId("o"), key}, RequestId(request), [this, request](auto outcome) {
      const auto* taken = std::get_if<ClaimTaken>(&outcome);
      results.push_back(request + (taken == nullptr ? " ok" : " taken by " + taken->holder.Text()));
    });
  }
  void Void(const std::string& key, const std::string& request) {
    ledger->Void({OrganisationId("o"), key}, RequestId(request));
  }
  /// Carries out and answers the oldest call.
  void Answer() {
    store.Apply();
    store.Deliver();
  }
  /// Answers calls and fires timers until nothing is left to do.
  void Settle() {
    for (int i = 0; i < kMaxSteps; ++i) {
      if (!store.calls.empty()) {
        Answer();
      } else if (!timers.FireNext()) {
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

using Texts = std::vector<std::string>;

struct Fixture {
  Fixture() { SetLogLevel(Severity::kError); }

  FakeObjects objects;
  std::int64_t now = kStart;
  Writer a{objects, now, "a/1", {.shards = 1}};
  Writer b{objects, now, "b/1", {.shards = 1}};

  /// @return request ids in the shard
  std::set<std::string> Stored() const {
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

// Guards against one write per claim, which the object API's rate limits do not allow.
BOOST_FIXTURE_TEST_CASE(ClaimsJoinTheNextWrite, Fixture) {
  a.Claim("k1", "r1");
  a.Answer();  // the read; the write of r1 is now in flight
  a.Claim("k2", "r2");
  a.Claim("k3", "r3");
  BOOST_TEST(a.store.calls.size() == 1);
  a.Answer();
  BOOST_TEST(a.results == Texts({"r1 ok"}));
  a.Answer();
  BOOST_TEST(a.results == Texts({"r1 ok", "r2 ok", "r3 ok"}));
  BOOST_TEST(objects.objects.at("ledger/0").version == ObjectVersion{2});
  BOOST_TEST(a.ledger->PendingCount() == 0);
}

// Guards against two holders of one key, in one batch and over two instances, and against refusing
// a request its own key.
BOOST_FIXTURE_TEST_CASE(OneHolderForEachKey, Fixture) {
  a.Claim("k", "r1");
  a.Claim("k", "r2");
  b.Claim("k", "r3");
  b.store.Apply();  // b has read the empty shard before a writes
  a.Settle();
  b.store.Deliver();
  b.Settle();
  a.Claim("k", "r1");
  a.Settle();
  BOOST_TEST(a.results == Texts({"r1 ok", "r2 taken by r1", "r1 ok"}));
  BOOST_TEST(b.results == Texts({"r3 taken by r1"}));
}

// Guards against a claim that survives its void because the write was already in flight.
BOOST_FIXTURE_TEST_CASE(VoidDuringWrite, Fixture) {
  a.Claim("k", "r1");
  a.Answer();
  a.Void("k", "r1");
  a.Settle();
  BOOST_TEST(a.results.empty());
  BOOST_TEST(Stored().empty());
  BOOST_TEST(a.ledger->PendingCount() == 0);
  b.Claim("k", "r2");
  b.Settle();
  BOOST_TEST(b.results == Texts({"r2 ok"}));
}

// Guards against a void that removes the claim of another request.
BOOST_FIXTURE_TEST_CASE(VoidKeepsOtherClaims, Fixture) {
  b.Claim("k", "r2");
  b.Settle();
  a.Void("k", "r1");
  a.Void("k", "r2");  // same request id, but another writer's token
  a.Settle();
  BOOST_TEST(Stored() == Requests({"r2"}));
}

// Guards against guessing the fate of a write whose answer was lost after it took effect.
BOOST_FIXTURE_TEST_CASE(LostAnswerIsReadBack, Fixture) {
  a.Claim("k", "r1");
  a.Answer();
  a.store.Apply();
  a.store.Fail(ErrorKind::kStoreUncertain);
  BOOST_TEST(a.results.empty());
  a.Settle();
  BOOST_TEST(a.results == Texts({"r1 ok"}));
  BOOST_TEST(objects.objects.at("ledger/0").version == ObjectVersion{1});
}

// Guards against calling a void done while the delayed write of its claim can still take effect.
BOOST_FIXTURE_TEST_CASE(DelayedWriteCannotUndoVoid, Fixture) {
  a.Claim("k", "r1");
  a.Answer();
  a.store.Fail(ErrorKind::kStoreUncertain);  // delayed, not applied
  a.Void("k", "r1");
  a.Settle();
  BOOST_TEST(a.ledger->PendingCount() == 0);
  objects.ApplyLate(0);
  BOOST_TEST(Stored().empty());
}

// Guards against a delayed write that arrives between the read-back and the next write.
BOOST_FIXTURE_TEST_CASE(DelayedWriteAfterReadBack, Fixture) {
  a.Claim("k", "r1");
  a.Answer();
  a.store.Fail(ErrorKind::kStoreUncertain);
  a.Void("k", "r1");
  a.timers.FireNext();
  a.Answer();  // reads the shard without the entry
  objects.ApplyLate(0);
  BOOST_TEST(Stored() == Requests({"r1"}));
  a.Settle();
  BOOST_TEST(Stored().empty());
  BOOST_TEST(a.ledger->PendingCount() == 0);
}

// Guards against forgetting claims while the store is down, and against retrying without a pause.
BOOST_FIXTURE_TEST_CASE(OutageIsWaitedOut, Fixture) {
  a.Claim("k", "r1");
  Millis last{0};
  for (int i = 0; i < 10; ++i) {
    a.store.Fail(ErrorKind::kStoreUnavailable);
    last = a.timers.FireNext().value();
    BOOST_TEST((last >= Millis{25} && last <= Millis{2'000}));
  }
  BOOST_TEST((last >= Millis{1'000}));
  a.Settle();
  BOOST_TEST(a.results == Texts({"r1 ok"}));
}

// Guards against overwriting a document that a newer release or a fault has written.
BOOST_FIXTURE_TEST_CASE(UnreadableDocumentIsKept, Fixture) {
  for (const std::string text :
       {"not json", "{}", R"({"format":2,"entries":[]})", R"({"format":1,"entries":[{"k":1}]})"}) {
    Writer c{objects, now, "c/1", {.shards = 1}};
    objects.objects["ledger/0"] = {.value = text, .version = ObjectVersion{5}};
    c.Claim("k", "r1");
    c.Settle();
    BOOST_TEST(c.results.empty());
    BOOST_TEST(c.ledger->PendingCount() == 1);
    BOOST_TEST(objects.objects.at("ledger/0").value == text);
    objects.objects.clear();
    c.Settle();
    BOOST_TEST(c.results == Texts({"r1 ok"}));
  }
}

// Guards against dropping claims early, never, or because of a clock that is ahead.
BOOST_FIXTURE_TEST_CASE(OldEntriesAreDropped, Fixture) {
  a.Claim("old", "r1");
  a.Settle();
  now = kStart + (25 * kHour);
  a.Claim("k2", "r2");
  a.Settle();
  BOOST_TEST(Stored() == Requests({"r1", "r2"}));
  now += 1;
  a.Claim("k3", "r3");
  a.Settle();
  BOOST_TEST(Stored() == Requests({"r2", "r3"}));
  now = kStart;
  b.Claim("k4", "r4");
  b.Settle();
  BOOST_TEST(Stored() == Requests({"r2", "r3", "r4"}));
}

// Guards against values above the bound of the object API, and against forgetting claims that wait
// for room.
BOOST_FIXTURE_TEST_CASE(FullShardMakesClaimsWait, Fixture) {
  Writer c{objects, now, "c/1", {.shards = 1, .max_value_bytes = 720}};
  c.Claim("k1", "r1");
  c.Claim("k2", "r2");
  c.Claim("k3", "r3");
  c.Settle();
  BOOST_TEST(c.results == Texts({"r1 ok", "r2 ok"}));
  BOOST_TEST(c.ledger->PendingCount() == 1);
  BOOST_TEST(objects.objects.at("ledger/0").value.size() <= 720);
  c.Void("k1", "r1");
  c.Settle();
  BOOST_TEST(c.results == Texts({"r1 ok", "r2 ok", "r3 ok"}));
  BOOST_TEST(Stored() == Requests({"r2", "r3"}));
}

// Guards against a callback after Void, and against using the ledger after a callback has
// destroyed it.
BOOST_FIXTURE_TEST_CASE(CallbacksMayVoidAndDestroy, Fixture) {
  const ClaimKey k1{OrganisationId("o"), "k1"};
  const ClaimKey k2{OrganisationId("o"), "k2"};
  a.ledger->Claim(k1, RequestId("r1"), [&](auto) { a.Void("k2", "r2"); });
  a.Claim("k2", "r2");
  a.Settle();
  BOOST_TEST(a.results.empty());
  BOOST_TEST(Stored() == Requests({"r1"}));
  b.ledger->Claim(k2, RequestId("r3"), [&](auto) { b.ledger.reset(); });
  b.Claim("k3", "r4");
  b.Settle();
  BOOST_TEST(b.results.empty());
}

// Guards against two pairs of organisation and key that share an entry, and against hashes that
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
