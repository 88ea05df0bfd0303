#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "standin.h"

namespace bluebellpass::standin {

/// A fault that affects matching calls.
struct ObjectApiFault {
  enum class Mode {
    kUp,           ///< no fault
    kDown,         ///< the call has no effect and its connection is aborted
    kSlow,         ///< the call takes effect at once; the response is delayed
    kLoseAnswers,  ///< writes take effect, then their connections are aborted
    kSilent,       ///< the call takes effect and gets no response
  };
  Mode mode = Mode::kUp;
  Millis delay{0};
  std::string method;    ///< of the affected calls; empty means all
  std::string prefix;    ///< of the affected keys, or of the prefixes in list calls
  std::int64_t count{};  ///< matching calls after which the fault ends; 0 means never
};

/// Stand-in for the platform's object API, with versions, conditional updates, watches and injected
/// faults.
class ObjectApi {
 public:
  explicit ObjectApi(EventLoop& loop);

  /// @return the bound address, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Replaces the fault. Matching watches that are waiting are aborted by kDown and never get a
  /// response under kSilent.
  void SetFault(ObjectApiFault fault);

  /// Writes an object unconditionally, bypassing HTTP and faults.
  /// @return the new version
  std::uint64_t Put(const std::string& key, std::string body);

  /// @return all writes, in the format of GET /control/log
  Json Log() const;
  /// @return counts of calls, in the format of GET /control/stats
  Json Stats() const { return m_stats; }

 private:
  struct Object {
    std::uint64_t version = 0;
    std::string body;
  };
  struct Reply {
    int status = 0;
    HttpHeaders headers;
    std::string body;
  };
  struct Watch {
    std::uint64_t id = 0;
    std::string key;
    std::uint64_t after = 0;
    ObjectApiFault fault;
    ResponderPtr responder;
  };
  struct Write {
    std::uint64_t log_number = 0;
    std::string key;
    std::uint64_t version = 0;
    std::string method;
    std::string body;
  };

  void Handle(const HttpRequest& request, const ResponderPtr& responder);
  void HandleControl(const HttpRequest& request, HttpResponder& responder);
  void HandleObject(const HttpRequest& request, const ResponderPtr& responder);
  void HandleWatch(const HttpRequest& request, const std::string& key, const ObjectApiFault& fault,
                   const ResponderPtr& responder);
  Reply HandlePut(const HttpRequest& request, const std::string& key);
  Reply HandleDelete(const HttpRequest& request, const std::string& key);
  Reply ReadObject(const std::string& key) const;
  Reply ListObjects(const std::string& prefix) const;
  ObjectApiFault TakeFault(const std::string& method, const std::string& key);
  bool MatchesFault(const std::string& method, const std::string& key) const;
  void Respond(const ObjectApiFault& fault, Reply reply, const ResponderPtr& responder);
  void RecordWrite(const std::string& method, const std::string& key, std::uint64_t version,
                   std::string body);
  void NotifyWatches(const std::string& key);

  std::map<std::string, Object> m_objects;
  std::uint64_t m_last_version = 0;
  std::uint64_t m_last_watch_id = 0;
  std::list<Watch> m_watches;
  ObjectApiFault m_fault;
  std::deque<Write> m_log;
  std::uint64_t m_next_log_number = 1;
  std::size_t m_log_bytes = 0;
  Json m_stats = {{"GET", 0}, {"PUT", 0}, {"DELETE", 0}, {"watches", 0}, {"lists", 0}};
  Server m_server;
};

}  // namespace bluebellpass::standin
