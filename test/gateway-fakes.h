#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "bluebellpass/gateway/store-client.h"
#include "gateway/state/boot-clock.h"

/// Fakes of the gateway's clock and store client that tests control.

namespace bluebellpass::gateway {

class ManualClock : public BootClock {
 public:
  BootTime Now() const override { return m_now; }
  void Advance(Millis span) { m_now = m_now + span; }

 private:
  BootTime m_now{std::chrono::hours(1)};
};

/// Records calls, which the test completes.
class FakeStoreClient : public StoreClient {
 public:
  struct Call {
    bool is_watch = false;
    std::string after;
    Revision revision;
    Millis wait{0};
    std::function<void(Result<ObjectPage>)> done;
  };
  void OnRestored(std::function<void()>) override {}
  void List(ObjectKind, const std::string& after, ReadConsistency,
            std::function<void(Result<ObjectPage>)> done) override {
    calls.push_back({false, after, {}, Millis{0}, std::move(done)});
  }
  void Watch(ObjectKind, Revision after, Millis wait,
             std::function<void(Result<ObjectPage>)> done) override {
    calls.push_back({true, "", after, wait, std::move(done)});
  }
  void Create(ObjectKind, const std::string&, const nlohmann::json&,
              std::function<void(Result<Revision>)>) override {}
  void Put(ObjectKind, const std::string&, const nlohmann::json&,
           std::function<void(Result<Revision>)>) override {}
  void PutStatus(ObjectKind, const std::string&, Revision, const nlohmann::json&,
                 std::function<void(Result<Revision>)>) override {}
  void Delete(ObjectKind, const std::string&, Revision, std::function<void(Result<Ok>)>) override {}

  void AnswerLastCall(Result<ObjectPage> result) {
    const auto done = std::move(calls.back().done);
    done(std::move(result));
  }
  std::vector<Call> calls;
};

}  // namespace bluebellpass::gateway
