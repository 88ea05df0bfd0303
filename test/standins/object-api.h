#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>

#include "standin.h"

namespace bluebellpass::standin {

/// How matching calls fail.
struct ObjectApiFault {
  enum class Mode {
    kUp,           ///< calls work
    kDown,         ///< the connection is aborted; the call has no effect
    kSlow,         ///< the call takes effect at once and is answered after the delay
    kLoseAnswers,  ///< writes take effect, then the connection is aborted
    kSilent,       ///< the call takes effect and is never answered
  };
  Mode mode = Mode::kUp;
  Millis delay{0};
  std::string method;    ///< only calls with this method; empty means all
  std::string prefix;    ///< only keys (of a list call, prefixes) that begin with this
  std::int64_t count{};  ///< the fault ends after so many matching calls; 0 means no end
};

/// Stand-in for the platform's object API: versions, conditional updates, watches and faults.
class ObjectApi {
 public:
  explicit ObjectApi(EventLoop& loop);

  /// @return the address in use, or kInternal
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Replaces the fault. Watches that are waiting and match are aborted by kDown, and never
  /// answered under kSilent.
  void SetFault(ObjectApiFault fault);

  /// Writes an object without a condition and without a call.
  /// @return the new version
  std::uint64_t Put(const std::string& key, std::string body);

  /// @return all writes as GET /control/log answers them
  Json Log() const;
  /// @return counts of calls as GET /control/stats answers them
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
    std::uint64_t n = 0;
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
  Reply ReplyWith(const std::string& key) const;
  Reply List(const std::string& prefix) const;
  ObjectApiFault TakeFault(const std::string& method, const std::string& key);
  bool IsMatch(const std::string& method, const std::string& key) const;
  void Answer(const ObjectApiFault& fault, Reply reply, const ResponderPtr& responder);
  void Record(const std::string& method, const std::string& key, std::uint64_t version,
              std::string body);
  void NotifyWatches(const std::string& key);

  std::map<std::string, Object> m_objects;
  std::uint64_t m_last_version = 0;
  std::uint64_t m_last_watch = 0;
  std::list<Watch> m_watches;
  ObjectApiFault m_fault;
  std::deque<Write> m_log;
  std::uint64_t m_log_next = 1;
  std::size_t m_log_bytes = 0;
  Json m_stats = {{"GET", 0}, {"PUT", 0}, {"DELETE", 0}, {"watches", 0}, {"lists", 0}};
  Server m_server;
};

}  // namespace bluebellpass::standin
