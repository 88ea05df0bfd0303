#include "front/instance-directory.h"

#include <boost/test/unit_test.hpp>

#include "fakes.h"

namespace bluebellpass {
namespace {

/// Answers at once from a list of entries.
struct ListedStore : ObjectStore {
  void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) override {
    if (key == "instances/self") return done(Error{ErrorKind::kNotFound, "", ""});
    ++gets;
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
  int gets = 0;
};

// Guards against calls on the object API that grow with the square of the fleet: an entry is read
// again only when its version has changed or a read has failed.
BOOST_AUTO_TEST_CASE(EntriesAreReadOncePerVersion) {
  ManualTimers timers;
  ListedStore store;
  store.entries = {{"instances/10", ObjectVersion(1)}, {"instances/11", ObjectVersion(2)}};
  int found = 0;
  InstanceInfo self;
  self.id = InstanceId("self");
  InstanceDirectory directory(store, timers, self, [&](const Address&) { ++found; });
  store.is_failing = true;
  directory.Start();
  BOOST_TEST(store.gets == 2);
  BOOST_TEST(found == 0);
  store.is_failing = false;
  timers.FireNext();
  BOOST_TEST(store.gets == 4);
  BOOST_TEST(found == 2);
  timers.FireNext();
  timers.FireNext();
  BOOST_TEST(store.gets == 4);
  store.entries["instances/11"] = ObjectVersion(3);
  timers.FireNext();
  BOOST_TEST(store.gets == 5);
  BOOST_TEST(found == 3);
}

}  // namespace
}  // namespace bluebellpass
