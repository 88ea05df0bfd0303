#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "bluebellpass/store.h"
#include "bluebellpass/timer.h"
#include "kernel/http-client.h"

namespace bluebellpass {

/// Numbers of calls to the object API since startup, for metrics.
struct StoreStats {
  std::uint64_t gets = 0;
  std::uint64_t puts = 0;
  std::uint64_t deletes = 0;
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t unavailable = 0;  ///< calls that ended with kStoreUnavailable
  std::uint64_t uncertain = 0;    ///< calls that ended with kStoreUncertain
};

/// Client of the object API over HTTP. Does not retry calls.
///
/// Errors: those of ObjectStore. A 5xx or 429 response to a write gives kStoreUncertain, since a
/// proxy may send it after the write was applied; to a read it gives kStoreUnavailable. Any other
/// unexpected 4xx gives kStoreUnavailable. A malformed response counts as lost.
class HttpObjectStore : public ObjectStore {
 public:
  /// @param timeout longest duration of a call; for a watch, in addition to its waiting time
  HttpObjectStore(HttpClient& client, TimerService& timers, Address address,
                  Millis timeout = Millis{1'000});
  ~HttpObjectStore() override;
  HttpObjectStore(const HttpObjectStore&) = delete;
  HttpObjectStore& operator=(const HttpObjectStore&) = delete;

  void Get(const std::string& key, std::function<void(Result<VersionedObject>)> done) override;
  void Put(const std::string& key, std::string value, ObjectVersion expected,
           std::function<void(Result<ObjectVersion>)> done) override;
  void Delete(const std::string& key, ObjectVersion expected,
              std::function<void(Result<Ok>)> done) override;
  void List(const std::string& prefix,
            std::function<void(Result<std::vector<ObjectEntry>>)> done) override;
  void Watch(const std::string& key, ObjectVersion after, Millis wait,
             std::function<void(Result<std::optional<VersionedObject>>)> done) override;

  const StoreStats& Stats() const { return m_stats; }

 private:
  using ResponseHandler = std::function<void(Result<HttpResponse>)>;
  struct PendingCall;

  /// Sends a request. The call ends with kStoreUncertain if it is not complete within the timeout.
  void SendRequest(HttpClientRequest request, Millis timeout, ResponseHandler done);
  void FinishCall(std::uint64_t id, Result<HttpResponse> result);
  /// Updates the reachability of the store and logs a change of it.
  void SetReachable(bool is_reachable, const std::string& reason);
  /// Adds an error to the statistics and returns it.
  Error CountError(Error error);

  HttpClient& m_client;
  TimerService& m_timers;
  Address m_address;
  Millis m_timeout;
  StoreStats m_stats;
  bool m_is_reachable = true;
  std::uint64_t m_next_call_id = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<PendingCall>> m_calls;
};

}  // namespace bluebellpass
