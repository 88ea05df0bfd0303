#include "standin.h"

#include <atomic>
#include <charconv>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>

namespace bluebellpass::standin {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr Millis kSignalPollPeriod{50};

std::atomic<bool> g_is_signalled{false};

void OnSignal(int /*signal*/) { g_is_signalled = true; }

}  // namespace

Server::Server(EventLoop& loop, HttpHandler handler)
    : m_loop(loop),
      m_server(loop, HttpServerLimits{},
               [weak = std::weak_ptr(m_alive), handler = std::move(handler)](
                   HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                 if (weak.expired()) return responder->Abort();
                 try {
                   handler(std::move(request), responder);
                 } catch (const Json::exception& error) {
                   SendJson(*responder, 400, {{"error", error.what()}});
                 }
               }) {}

void Server::RunAfter(Millis delay, std::function<void()> function) {
  m_loop.RunAfter(delay, BindToLifetime(std::move(function)));
}

std::function<void()> Server::BindToLifetime(std::function<void()> function) const {
  return [weak = std::weak_ptr(m_alive), function = std::move(function)] {
    if (!weak.expired()) function();
  };
}

void SendJson(HttpResponder& responder, int status, const Json& document) {
  responder.Send(status, {{"content-type", "application/json"}},
                 document.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::int64_t WallMillis() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Millis>(now).count();
}

std::optional<Address> ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  Address address{text.substr(0, colon), 0};
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, address.port);
  if (error != std::errc() || stop != end) return std::nullopt;
  return address;
}

Address ParseAddressFlag(const std::string& text) {
  return ParseAddress(text).value_or(Address{"invalid address " + text, 0});
}

std::string ToHex(std::uint64_t number) {
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; number >>= 4U) text[i] = kHexDigits[number & 15U];
  return text;
}

int RunUntilSignal(EventLoop& loop, const Result<Address>& address) {
  if (!IsOk(address)) {
    std::cerr << ErrorOf(address).message << '\n';
    return 1;
  }
  std::signal(SIGTERM, OnSignal);
  std::signal(SIGINT, OnSignal);
  std::cout << "listening on " << std::get<Address>(address).Text() << std::endl;
  while (!g_is_signalled) loop.RunOnce(kSignalPollPeriod);
  return 0;
}

}  // namespace bluebellpass::standin
