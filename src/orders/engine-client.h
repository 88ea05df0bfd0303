#pragma once

#include <functional>
#include <string>

#include "bluebellpass/error.h"
#include "kernel/http-client.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// An order in the form that is sent to an engine.
struct EngineOrder {
  ObjectVersion fencing_token;
  std::string model;
  std::string version;
};

/// The interface of engines for orders.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Sends an order.
  /// @param done receives the HTTP status, or an error when there was no response. The engine may
  /// then have executed the order, or may do so later.
  virtual void Send(const Address& engine, const EngineOrder& order,
                    std::function<void(Result<int>)> done) = 0;

  /// Reads which models are loaded.
  /// @param done receives an error when there was no response or a malformed one
  virtual void ReadLoaded(const Address& engine,
                          std::function<void(Result<LoadedModels>)> done) = 0;
};

/// Engine interface over HTTP.
class HttpEngineClient : public EngineClient {
 public:
  explicit HttpEngineClient(HttpClient& http) : m_http(http) {}

  void Send(const Address& engine, const EngineOrder& order,
            std::function<void(Result<int>)> done) override;
  void ReadLoaded(const Address& engine, std::function<void(Result<LoadedModels>)> done) override;

 private:
  HttpClient& m_http;
};

}  // namespace bluebellpass
