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

/// Dependencies of the front end. The referenced objects must outlive it.
struct FrontendContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  HomeTask& home;
  Forwarder& forwarder;
  ResumeTokenSigner& token_signer;
  DriverContext drivers;
  Metrics& metrics;
};

/// The HTTP interface for callers and operators.
class HttpFrontend {
 public:
  HttpFrontend(FrontendContext context, HttpServerLimits limits);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  /// @return the bound address, or kInternal with the system's error message
  Result<Address> Listen(const Address& address) { return m_server.Listen(address); }

  /// Closes the listening socket and starts the graceful shutdown of open connections.
  void StopAccepting() { m_server.StopAccepting(); }

  /// @return true if all responses have been sent completely
  bool IsIdle() const { return m_server.OpenResponses() == 0; }

  /// Executes the text of an operator's command, and passes the response to a function.
  using CommandHandler = std::function<void(const std::string& text,
                                            std::function<void(int status, std::string json)>)>;
  void SetCommandHandler(CommandHandler handler) { m_command_handler = std::move(handler); }

  /// Sets a function that updates gauges. It is called before the metrics are rendered.
  void SetMetricsHook(std::function<void()> hook) { m_metrics_hook = std::move(hook); }

 private:
  class ResumedAnswer;
  using ResponderPtr = std::shared_ptr<HttpResponder>;

  void OnClientRejected(ClientRejection rejection);
  void HandleRequest(HttpRequest request, const ResponderPtr& responder);
  void HandleSubmit(const HttpRequest& request, const ResponderPtr& responder);
  void HandleFetch(const HttpRequest& request, const ResponderPtr& responder);
  void HandleResume(const HttpRequest& request, const ResponderPtr& responder);
  void HandleInstances(const ResponderPtr& responder);
  void HandleHealth(const ResponderPtr& responder);
  void HandleCommand(const HttpRequest& request, const ResponderPtr& responder);
  std::shared_ptr<HttpSink> MakeSink(const ResponderPtr& responder, const RequestId& id);
  bool IsLocalTicket(const Ticket& ticket) const;

  FrontendContext m_context;
  const std::size_t m_max_request_memory_bytes;
  std::minstd_rand m_random;
  std::uint64_t m_next_nonce = 1;
  CommandHandler m_command_handler;
  std::function<void()> m_metrics_hook;
  std::unordered_map<const HttpResponder*, std::unique_ptr<ResumedAnswer>> m_resumed_answers;
  HttpServer m_server;
};

}  // namespace bluebellpass
