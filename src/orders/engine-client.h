#pragma once

#include <functional>
#include <string>

#include "bluebellpass/error.h"
#include "kernel/http-client.h"
#include "orders/order-document.h"

namespace bluebellpass {

/// An order as it is sent to an engine.
struct EngineOrder {
  ObjectVersion fencing;
  std::string model;
  std::string version;
};

/// The published interface of engines for orders.
class EngineClient {
 public:
  virtual ~EngineClient() = default;

  /// Sends an order.
  /// @param done HTTP status of the answer; an error when there was no answer, in which case the
  /// order may have been or may yet be carried out
  virtual void Send(const Address& engine, const EngineOrder& order,
                    std::function<void(Result<int>)> done) = 0;

  /// Reads back what is loaded.
  /// @param done an error when there was no answer or a malformed one
  virtual void ReadLoaded(const Address& engine,
                          std::function<void(Result<LoadedModels>)> done) = 0;
};

/// The interface over HTTP.
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
