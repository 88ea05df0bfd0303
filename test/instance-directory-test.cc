#include "front/instance-directory.h"

#include <boost/test/unit_test.hpp>

#include "fakes.h"

namespace bluebellpass {
namespace {

/// Lists fixed entries and completes each call immediately.
struct FakeEntryStore : ObjectStore {
  void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) override {
    if (key == "instances/self") return done(Error{ErrorKind::kNotFound, "", ""});
    ++reads;
    if (is_failing) return done(Error{ErrorKind::kStoreUnavailable, "", ""});
    done(VersionedObject{R"({"peer_address":"127.0.0.1:70)" + key.substr(key.size() - 2) + "\"}",
                         entries.at(key)});
  }
  void Put(const std::string&, std::string, ObjectVersion,
           std::function<void(Result<ObjectVersion>)> done) override {
    done(ObjectVersion(1));
  }
  void Delete(const std::string&, ObjectVersion, std::function<void(Result<Ok>)>) override {}
  void List(const std::string&,
            std::function<void(Result<std::vector<ObjectEntry>>)> done) override {
    std::vector<ObjectEntry> list;
    for (const auto& [key, version] : entries) list.push_back({key, version});
    done(list);
  }
  void Watch(const std::string&, ObjectVersion, Millis,
             std::function<void(Result<std::optional<VersionedObject>>)>) override {}

  std::map<std::string, ObjectVersion> entries;
  bool is_failing = false;
  int reads = 0;
};

// Guards against reading unchanged entries after each listing, so that the calls to the object API
// grow with the square of the number of instances. An entry is read again only if its version has
// changed or the last read has failed.
BOOST_AUTO_TEST_CASE(EntriesAreReadOncePerVersion) {
  ManualTimers timers;
  FakeEntryStore store;
  store.entries = {{"instances/10", ObjectVersion(1)}, {"instances/11", ObjectVersion(2)}};
  int address_count = 0;
  InstanceInfo self;
  self.id = InstanceId("self");
  InstanceDirectory directory(store, timers, self, [&](const Address&) { ++address_count; });
  store.is_failing = true;
  directory.Start();
  BOOST_TEST(store.reads == 2);
  BOOST_TEST(address_count == 0);
  store.is_failing = false;
  timers.AdvanceToNextTimer();
  BOOST_TEST(store.reads == 4);
  BOOST_TEST(address_count == 2);
  timers.AdvanceToNextTimer();
  timers.AdvanceToNextTimer();
  BOOST_TEST(store.reads == 4);
  store.entries["instances/11"] = ObjectVersion(3);
  timers.AdvanceToNextTimer();
  BOOST_TEST(store.reads == 5);
  BOOST_TEST(address_count == 3);
}

}  // namespace
}  // namespace bluebellpass
