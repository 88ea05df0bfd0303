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
constexpr std::string_view kUnescapedCharacters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";

/// Percent-encodes all characters except unreserved ones and slashes, which separate the parts of a
/// key.
std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (kUnescapedCharacters.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += '%';
    encoded += kHexDigits[byte >> 4U];
    encoded += kHexDigits[byte & 15U];
  }
  return encoded;
}

std::string PathOf(const std::string& key) { return "/objects/" + PercentEncode(key); }

std::string FormatEtag(ObjectVersion version) {
  return "\"" + std::to_string(version.Value()) + "\"";
}

/// @return the version in the etag header; nullopt if the header is missing or malformed
std::optional<ObjectVersion> ParseEtag(const HttpResponse& response) {
  const auto header = response.headers.find("etag");
  if (header == response.headers.end()) return std::nullopt;
  const std::string_view text = header->second;
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') return std::nullopt;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size() - 1;
  const auto [parse_end, error_code] = std::from_chars(text.data() + 1, end, number);
  if (error_code != std::errc{} || parse_end != end || number == 0) return std::nullopt;
  return ObjectVersion{number};
}

bool IsServerFailure(int status) { return status >= 500 || status == 429; }

/// @return the error for a status code that is not a success
Error MakeStatusError(int status, CallKind kind) {
  const std::string message = "the object API responded with status " + std::to_string(status);
  if (status == 404) return {ErrorKind::kNotFound, message, ""};
  if (status == 412) return {ErrorKind::kConflict, message, ""};
  const bool is_uncertain = IsServerFailure(status) ? kind == CallKind::kWrite : status < 400;
  return {is_uncertain ? ErrorKind::kStoreUncertain : ErrorKind::kStoreUnavailable, message, ""};
}

Error MakeResponseError(const std::string& part) {
  return {ErrorKind::kStoreUncertain, "the response of the object API has no valid " + part, ""};
}

std::optional<std::vector<ObjectEntry>> ParseObjectList(const std::string& body) {
  const Json document = Json::parse(body, nullptr, false);
  if (!document.is_object() || !document.contains("objects")) return std::nullopt;
  const Json& items = document.at("objects");
  if (!items.is_array()) return std::nullopt;
  std::vector<ObjectEntry> entries;
  for (const Json& item : items) {
    if (!item.is_object() || !item.contains("key") || !item.contains("version"))
      return std::nullopt;
    if (!item.at("key").is_string() || !item.at("version").is_number_unsigned())
      return std::nullopt;
    entries.push_back({.key = item.at("key").get<std::string>(),
                       .version = ObjectVersion{item.at("version").get<std::uint64_t>()}});
  }
  return entries;
}

}  // namespace

struct HttpObjectStore::PendingCall {
  PendingCall(TimerService& timers, ResponseHandler handler)
      : timer(timers), done(std::move(handler)) {}

  HttpResponse response;
  Timer timer;
  std::unique_ptr<HttpCall> call;
  ResponseHandler done;
};

HttpObjectStore::HttpObjectStore(HttpClient& client, TimerService& timers, Address address,
                                 Millis timeout)
    : m_client(client), m_timers(timers), m_address(std::move(address)), m_timeout(timeout) {}

HttpObjectStore::~HttpObjectStore() = default;

void HttpObjectStore::SendRequest(HttpClientRequest request, Millis timeout, ResponseHandler done) {
  const std::uint64_t id = m_next_call_id++;
  auto pending = std::make_unique<PendingCall>(m_timers, std::move(done));
  PendingCall* call = pending.get();
  request.address = m_address;
  // Shorter than the timeout of the call, so that a failed connection is reported as "not sent"
  // before the call ends as uncertain.
  request.connect_timeout = m_timeout / 2;
  request.idle_timeout = timeout;
  HttpCallHandlers handlers;
  handlers.on_head = [call](int status, const HttpHeaders& headers) {
    call->response.status = status;
    call->response.headers = headers;
  };
  handlers.on_data = [call](std::string_view bytes) { call->response.body.append(bytes); };
  handlers.on_end = [this, id, call](HttpCallResult end, const std::string& message) {
    if (end == HttpCallResult::kComplete) return FinishCall(id, std::move(call->response));
    const auto kind =
        end == HttpCallResult::kConnectFailed || end == HttpCallResult::kConnectTimeout
            ? ErrorKind::kStoreUnavailable
            : ErrorKind::kStoreUncertain;
    FinishCall(id, Error{kind, message, ""});
  };
  m_calls[id] = std::move(pending);
  call->call = m_client.StartCall(std::move(request), std::move(handlers));
  call->timer.Start(timeout, [this, id] {
    FinishCall(id, Error{ErrorKind::kStoreUncertain, "the object API did not respond in time", ""});
  });
}

void HttpObjectStore::FinishCall(std::uint64_t id, Result<HttpResponse> result) {
  auto node = m_calls.extract(id);
  if (node.empty()) return;
  if (!IsOk(result)) {
    SetReachable(false, ErrorOf(result).message);
  } else if (const int status = std::get<HttpResponse>(result).status; status >= 500) {
    SetReachable(false, "status " + std::to_string(status));
  } else if (status != 429) {
    // A 429 response comes from a rate limiter and does not tell whether the store works.
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

Error HttpObjectStore::CountError(Error error) {
  if (error.kind == ErrorKind::kStoreUnavailable) ++m_stats.unavailable;
  if (error.kind == ErrorKind::kStoreUncertain) ++m_stats.uncertain;
  return error;
}

void HttpObjectStore::Get(const std::string& key,
                          std::function<void(Result<VersionedObject>)> done) {
  ++m_stats.gets;
  SendRequest({.path = PathOf(key)}, m_timeout,
              [this, done = std::move(done)](Result<HttpResponse> result) {
                if (!IsOk(result)) return done(CountError(ErrorOf(result)));
                auto& response = std::get<HttpResponse>(result);
                if (response.status != 200)
                  return done(CountError(MakeStatusError(response.status, CallKind::kRead)));
                const auto version = ParseEtag(response);
                if (!version) return done(CountError(MakeResponseError("etag")));
                done(VersionedObject{.value = std::move(response.body), .version = *version});
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
  SendRequest(std::move(request), m_timeout,
              [this, done = std::move(done)](Result<HttpResponse> result) {
                if (!IsOk(result)) return done(CountError(ErrorOf(result)));
                const auto& response = std::get<HttpResponse>(result);
                if (response.status != 200)
                  return done(CountError(MakeStatusError(response.status, CallKind::kWrite)));
                const auto version = ParseEtag(response);
                if (!version) return done(CountError(MakeResponseError("etag")));
                done(*version);
              });
}

void HttpObjectStore::Delete(const std::string& key, ObjectVersion expected,
                             std::function<void(Result<Ok>)> done) {
  ++m_stats.deletes;
  HttpClientRequest request{.method = "DELETE", .path = PathOf(key)};
  request.headers["if-match"] = FormatEtag(expected);
  SendRequest(std::move(request), m_timeout,
              [this, done = std::move(done)](Result<HttpResponse> result) {
                if (!IsOk(result)) return done(CountError(ErrorOf(result)));
                const int status = std::get<HttpResponse>(result).status;
                if (status != 204)
                  return done(CountError(MakeStatusError(status, CallKind::kWrite)));
                done(Ok{});
              });
}

void HttpObjectStore::List(const std::string& prefix,
                           std::function<void(Result<std::vector<ObjectEntry>>)> done) {
  ++m_stats.lists;
  SendRequest({.path = "/objects?prefix=" + PercentEncode(prefix)}, m_timeout,
              [this, done = std::move(done)](Result<HttpResponse> result) {
                if (!IsOk(result)) return done(CountError(ErrorOf(result)));
                const auto& response = std::get<HttpResponse>(result);
                if (response.status != 200)
                  return done(CountError(MakeStatusError(response.status, CallKind::kRead)));
                auto entries = ParseObjectList(response.body);
                if (!entries) return done(CountError(MakeResponseError("listing")));
                done(std::move(*entries));
              });
}

void HttpObjectStore::Watch(const std::string& key, ObjectVersion after, Millis wait,
                            std::function<void(Result<std::optional<VersionedObject>>)> done) {
  ++m_stats.watches;
  const std::string path = PathOf(key) + "?after=" + std::to_string(after.Value()) +
                           "&wait_ms=" + std::to_string(wait.count());
  SendRequest({.path = path}, wait + m_timeout,
              [this, done = std::move(done)](Result<HttpResponse> result) {
                if (!IsOk(result)) return done(CountError(ErrorOf(result)));
                auto& response = std::get<HttpResponse>(result);
                if (response.status == 304) return done(std::optional<VersionedObject>{});
                if (response.status != 200)
                  return done(CountError(MakeStatusError(response.status, CallKind::kRead)));
                const auto version = ParseEtag(response);
                if (!version) return done(CountError(MakeResponseError("etag")));
                done(std::optional(
                    VersionedObject{.value = std::move(response.body), .version = *version}));
              });
}

}  // namespace bluebellpass
