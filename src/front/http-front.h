#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "config/config-service.h"
#include "home/forwarder.h"
#include "home/home-task.h"
#include "http-sink.h"
#include "kernel/http-server.h"
#include "kernel/loop.h"
#include "kernel/metrics.h"

namespace bluebellpass {

/// What the front works with; all of it outlives the front.
struct FrontContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  HomeTask& home;
  Forwarder& forwarder;
  ResumeTokenSigner& tokens;
  DriverContext drivers;
  Metrics& metrics;
};

/// Callers' and operators' HTTP interface.
class HttpFront {
 public:
  HttpFront(FrontContext context, HttpServerLimits limits);
  ~HttpFront();
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;

  /// @return the address in use, or the reason why it cannot be had
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Closes the listening socket and asks open connections to end.
  void StopAccepting() { m_server.StopAccepting(); }

  /// @return true when no response is open
  bool IsIdle() const { return m_server.OpenResponses() == 0; }

  /// Carries out operators' commands.
  using CommandHandler = std::function<void(const std::string& text,
                                            std::function<void(int status, std::string json)>)>;
  void SetCommandHandler(CommandHandler handler) { m_command = std::move(handler); }

  /// Called before the metrics are rendered, to set gauges.
  void SetMetricsHook(std::function<void()> hook) { m_metrics_hook = std::move(hook); }

 private:
  class ResumedAnswer;
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void Handle(HttpRequest request, const ResponderPtr& responder);
  void HandleSubmit(const HttpRequest& request, const ResponderPtr& responder);
  void HandleFetch(const HttpRequest& request, const ResponderPtr& responder);
  void HandleResume(const HttpRequest& request, const ResponderPtr& responder);
  void HandleInstances(const ResponderPtr& responder);
  void HandleHealth(const ResponderPtr& responder);
  void HandleCommand(const HttpRequest& request, const ResponderPtr& responder);
  std::shared_ptr<HttpSink> MakeSink(const ResponderPtr& responder, const RequestId& id);
  bool IsOwn(const Ticket& ticket) const;

  FrontContext m_context;
  std::minstd_rand m_jitter;
  std::uint64_t m_next_nonce = 1;
  CommandHandler m_command;
  std::function<void()> m_metrics_hook;
  std::unordered_map<const HttpResponder*, std::unique_ptr<ResumedAnswer>> m_resumed;
  HttpServer m_server;
};

}  // namespace bluebellpass
