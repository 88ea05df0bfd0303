#include "http-store.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass {
namespace {

using Json = nlohmann::json;

enum class CallKind { kRead, kWrite };

constexpr std::string_view kHexDigits = "0123456789ABCDEF";
constexpr std::string_view kPlain =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";

/// Percent-encodes all but unreserved characters and slashes, which separate the parts of a key.
std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char c : text) {
    if (kPlain.find(c) != std::string_view::npos) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kHexDigits[byte >> 4U];
    escaped += kHexDigits[byte & 15U];
  }
  return escaped;
}

std::string PathOf(const std::string& key) { return "/objects/" + Escape(key); }

std::string FormatEtag(ObjectVersion version) {
  return "\"" + std::to_string(version.Value()) + "\"";
}

/// @return the version in the reply's etag header; nullopt when it is missing or malformed
std::optional<ObjectVersion> EtagOf(const HttpResponse& reply) {
  const auto header = reply.headers.find("etag");
  if (header == reply.headers.end()) return std::nullopt;
  const std::string_view text = header->second;
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size() - 1;
  const auto [stop, fault] = std::from_chars(text.data() + 1, end, number);
  if (fault != std::errc{} || stop != end || number == 0) return std::nullopt;
  return ObjectVersion{number};
}

bool IsServerTrouble(int status) { return status >= 500 || status == 429; }

/// @return the error of a reply whose status is not a success
Error ErrorOfStatus(int status, CallKind kind) {
  const std::string message = "the object API answered " + std::to_string(status);
  if (status == 404) return {ErrorKind::kNotFound, message, ""};
  if (status == 412) return {ErrorKind::kConflict, message, ""};
  const bool is_uncertain = IsServerTrouble(status) ? kind == CallKind::kWrite : status < 400;
  return {is_uncertain ? ErrorKind::kStoreUncertain : ErrorKind::kStoreUnavailable, message, ""};
}

Error UnusableReply(const std::string& what) {
  return {ErrorKind::kStoreUncertain, "the reply of the object API has no usable " + what, ""};
}

std::optional<std::vector<ObjectEntry>> ParseListing(const std::string& body) {
  const Json document = Json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("objects")) return std::nullopt;
  const Json& rows = document.at("objects");
  if (!rows.is_array()) return std::nullopt;
  std::vector<ObjectEntry> entries;
  for (const Json& row : rows) {
    if (!row.is_object() || !row.contains("key") || !row.contains("version")) return std::nullopt;
    if (!row.at("key").is_string() || !row.at("version").is_number_unsigned()) return std::nullopt;
    entries.push_back({.key = row.at("key").get<std::string>(),
                       .version = ObjectVersion{row.at("version").get<std::uint64_t>()}});
  }
  return entries;
}

}  // namespace

struct HttpObjectStore::PendingCall {
  PendingCall(TimerService& timers, ReplyHandler handler)
      : timer(timers), done(std::move(handler)) {}

  HttpResponse reply;
  Timer timer;
  std::unique_ptr<HttpCall> call;
  ReplyHandler done;
};

HttpObjectStore::HttpObjectStore(HttpClient& client, TimerService& timers, Address address,
                                 Millis timeout)
    : m_client(client), m_timers(timers), m_address(std::move(address)), m_timeout(timeout) {}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::Send(HttpClientRequest request, Millis limit, ReplyHandler done) {
  const std::uint64_t id = m_next_call++;
  auto pending = std::make_unique<PendingCall>(m_timers, std::move(done));
  PendingCall* call = pending.get();
  request.address = m_address;
  // Below the bound of the call, so that a failed connection is reported as "not sent" before the
  // whole call is given up as lost.
  request.connect_timeout = m_timeout / 2;
  request.idle_timeout = limit;
  HttpCallHandlers events;
  events.on_head = [call](int status, const HttpHeaders& headers) {
    call->reply.status = status;
    call->reply.headers = headers;
  };
  events.on_data = [call](std::string_view bytes) { call->reply.body.append(bytes); };
  events.on_end = [this, id, call](HttpCallResult end, const std::string& message) {
    if (end == HttpCallResult::kComplete) return Finish(id, std::move(call->reply));
    const auto kind =
        end == HttpCallResult::kConnectFailed || end == HttpCallResult::kConnectTimeout
            ? ErrorKind::kStoreUnavailable
            : ErrorKind::kStoreUncertain;
    Finish(id, Error{kind, message, ""});
  };
  m_calls[id] = std::move(pending);
  call->call = m_client.StartCall(std::move(request), std::move(events));
  call->timer.Start(limit, [this, id] {
    Finish(id, Error{ErrorKind::kStoreUncertain, "the object API did not answer in time", ""});
  });
}

void HttpObjectStore::Finish(std::uint64_t id, Result<HttpResponse> result) {
  auto node = m_calls.extract(id);
  if (node.empty()) return;
  if (!IsOk(result)) {
    SetReachable(false, ErrorOf(result).message);
  } else if (const int status = std::get<HttpResponse>(result).status; status >= 500) {
    SetReachable(false, "status " + std::to_string(status));
  } else if (status != 429) {
    // A refusal by rate limit says nothing about whether the store works.
    SetReachable(true, "");
  }
  node.mapped()->done(std::move(result));
}

void HttpObjectStore::SetReachable(bool is_reachable, const std::string& reason) {
  if (is_reachable == m_is_reachable) return;
  m_is_reachable = is_reachable;
  if (is_reachable) {
    LogEvent(EventId::kStoreUp, {{"address", m_address.Text()}});
  } else {
    LogEvent(EventId::kStoreDown, {{"address", m_address.Text()}, {"reason", reason}});
  }
}

Error HttpObjectStore::Count(Error error) {
  if (error.kind == ErrorKind::kStoreUnavailable) ++m_stats.unavailable;
  if (error.kind == ErrorKind::kStoreUncertain) ++m_stats.uncertain;
  return error;
}

void HttpObjectStore::Get(const std::string& key,
                          std::function<void(Result<VersionedObject>)> done) {
  ++m_stats.gets;
  Send({.path = PathOf(key)}, m_timeout,
       [this, done = std::move(done)](Result<HttpResponse> result) {
         if (!IsOk(result)) return done(Count(ErrorOf(result)));
         auto& reply = std::get<HttpResponse>(result);
         if (reply.status != 200) return done(Count(ErrorOfStatus(reply.status, CallKind::kRead)));
         const auto version = EtagOf(reply);
         if (!version) return done(Count(UnusableReply("etag")));
         done(VersionedObject{.value = std::move(reply.body), .version = *version});
       });
}

void HttpObjectStore::Put(const std::string& key, std::string value, ObjectVersion expected,
                          std::function<void(Result<ObjectVersion>)> done) {
  ++m_stats.puts;
  HttpClientRequest request{.method = "PUT", .path = PathOf(key), .body = std::move(value)};
  if (expected == ObjectVersion{}) {
    request.headers["if-none-match"] = "*";
  } else {
    request.headers["if-match"] = FormatEtag(expected);
  }
  Send(std::move(request), m_timeout, [this, done = std::move(done)](Result<HttpResponse> result) {
    if (!IsOk(result)) return done(Count(ErrorOf(result)));
    const auto& reply = std::get<HttpResponse>(result);
    if (reply.status != 200) return done(Count(ErrorOfStatus(reply.status, CallKind::kWrite)));
    const auto version = EtagOf(reply);
    if (!version) return done(Count(UnusableReply("etag")));
    done(*version);
  });
}

void HttpObjectStore::Delete(const std::string& key, ObjectVersion expected,
                             std::function<void(Result<Ok>)> done) {
  ++m_stats.deletes;
  HttpClientRequest request{.method = "DELETE", .path = PathOf(key)};
  request.headers["if-match"] = FormatEtag(expected);
  Send(std::move(request), m_timeout, [this, done = std::move(done)](Result<HttpResponse> result) {
    if (!IsOk(result)) return done(Count(ErrorOf(result)));
    const int status = std::get<HttpResponse>(result).status;
    if (status != 204) return done(Count(ErrorOfStatus(status, CallKind::kWrite)));
    done(Ok{});
  });
}

void HttpObjectStore::List(const std::string& prefix,
                           std::function<void(Result<std::vector<ObjectEntry>>)> done) {
  ++m_stats.lists;
  Send({.path = "/objects?prefix=" + Escape(prefix)}, m_timeout,
       [this, done = std::move(done)](Result<HttpResponse> result) {
         if (!IsOk(result)) return done(Count(ErrorOf(result)));
         const auto& reply = std::get<HttpResponse>(result);
         if (reply.status != 200) return done(Count(ErrorOfStatus(reply.status, CallKind::kRead)));
         auto entries = ParseListing(reply.body);
         if (!entries) return done(Count(UnusableReply("listing")));
         done(std::move(*entries));
       });
}

void HttpObjectStore::Watch(const std::string& key, ObjectVersion after, Millis wait,
                            std::function<void(Result<std::optional<VersionedObject>>)> done) {
  ++m_stats.watches;
  const std::string path = PathOf(key) + "?after=" + std::to_string(after.Value()) +
                           "&wait_ms=" + std::to_string(wait.count());
  Send({.path = path}, wait + m_timeout,
       [this, done = std::move(done)](Result<HttpResponse> result) {
         if (!IsOk(result)) return done(Count(ErrorOf(result)));
         auto& reply = std::get<HttpResponse>(result);
         if (reply.status == 304) return done(std::optional<VersionedObject>{});
         if (reply.status != 200) return done(Count(ErrorOfStatus(reply.status, CallKind::kRead)));
         const auto version = EtagOf(reply);
         if (!version) return done(Count(UnusableReply("etag")));
         done(std::optional(VersionedObject{.value = std::move(reply.body), .version = *version}));
       });
}

}  // namespace bluebellpass
