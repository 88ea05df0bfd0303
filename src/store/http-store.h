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

/// Numbers of calls to the object API since start-up, for metrics.
struct StoreStats {
  std::uint64_t gets = 0;
  std::uint64_t puts = 0;
  std::uint64_t deletes = 0;
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t unavailable = 0;  ///< calls that ended with kStoreUnavailable
  std::uint64_t uncertain = 0;    ///< calls that ended with kStoreUncertain
};

/// Client of the object API over HTTP. Does not retry.
///
/// Errors: as documented for ObjectStore. A 5xx or 429 reply gives kStoreUncertain on a write,
/// since a proxy may send it after the write has been applied, and kStoreUnavailable on a read. Any
/// other unexpected 4xx gives kStoreUnavailable. A reply that cannot be understood counts as lost.
class HttpObjectStore : public ObjectStore {
 public:
  /// @param timeout bound of each whole call; a watch may last its waiting time longer
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

  /// @return numbers of calls so far
  const StoreStats& Stats() const { return m_stats; }

 private:
  using ReplyHandler = std::function<void(Result<HttpResponse>)>;
  struct PendingCall;

  /// Sends a request and bounds the whole call by a timer.
  void Send(HttpClientRequest request, Millis limit, ReplyHandler done);
  void Finish(std::uint64_t id, Result<HttpResponse> result);
  /// Logs a change between reachable and unreachable.
  void SetReachable(bool is_reachable, const std::string& reason);
  /// Counts an error by its kind and hands it on.
  Error Count(Error error);

  HttpClient& m_client;
  TimerService& m_timers;
  Address m_address;
  Millis m_timeout;
  StoreStats m_stats;
  bool m_is_reachable = true;
  std::uint64_t m_next_call = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<PendingCall>> m_calls;
};

}  // namespace bluebellpass
