#include "orders/engine-client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace bluebellpass {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

void HttpEngineClient::Send(const Address& engine, const EngineOrder& order,
                            std::function<void(Result<int>)> done) {
  const nlohmann::json body = {{"fencing", order.fencing_token.Value()},
                               {"order", "load_model"},
                               {"model", order.model},
                               {"version", order.version}};
  HttpClientRequest request{
      .address = engine,
      .method = "POST",
      .path = "/v1/orders",
      .headers = {{"content-type", "application/json"}},
      .body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
  m_http.Fetch(std::move(request), [done = std::move(done)](const Result<HttpResponse>& result) {
    if (!IsOk(result)) return done(ErrorOf(result));
    done(std::get<HttpResponse>(result).status);
  });
}

void HttpEngineClient::ReadLoaded(const Address& engine,
                                  std::function<void(Result<LoadedModels>)> done) {
  HttpClientRequest request{.address = engine, .path = "/v1/loaded"};
  m_http.Fetch(std::move(request), [done = std::move(done)](const Result<HttpResponse>& result) {
    if (!IsOk(result)) return done(ErrorOf(result));
    const auto& response = std::get<HttpResponse>(result);
    const auto loaded = ParseLoaded(response.body);
    if (response.status != kStatusOk || !loaded.has_value()) {
      return done(Error{ErrorKind::kInternal, "malformed report of loaded models", ""});
    }
    done(*loaded);
  });
}

}  // namespace bluebellpass
