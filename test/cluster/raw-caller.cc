#include "raw-caller.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace bluebellpass::test {
namespace {

constexpr std::size_t kReadBytes = 64U << 10U;
constexpr int kSendTimeoutMillis = 20'000;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

/// @return the body and its length with the chunk framing; nullopt while the last chunk is missing
std::optional<std::pair<std::string, std::size_t>> ParseChunkedBody(std::string_view input) {
  std::string body;
  std::size_t position = 0;
  while (true) {
    const std::size_t end = input.find("\r\n", position);
    if (end == std::string_view::npos) return std::nullopt;
    const std::size_t size =
        std::stoul(std::string(input.substr(position, end - position)), nullptr, 16);
    if (input.size() < end + 2 + size + 2) return std::nullopt;
    body.append(input.substr(end + 2, size));
    position = end + 2 + size + 2;
    if (size == 0) return std::pair{body, position};
  }
}

}  // namespace

RawCaller::RawCaller(const Address& address)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in remote{};
  remote.sin_family = AF_INET;
  remote.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
  if (connect(m_fd, reinterpret_cast<sockaddr*>(&remote), sizeof(remote)) != 0) {
    close(m_fd);
    throw std::runtime_error("cannot connect to " + address.Text());
  }
}

RawCaller::~RawCaller() {
  if (m_fd >= 0) close(m_fd);
}

RawCaller::RawCaller(RawCaller&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)),
      m_is_closed(other.m_is_closed),
      m_received(std::move(other.m_received)) {}

bool RawCaller::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN) return false;
    pollfd poll_entry{m_fd, POLLOUT, 0};
    if (poll(&poll_entry, 1, kSendTimeoutMillis) != 1) return false;
  }
  return true;
}

bool RawCaller::Receive(Millis timeout) {
  if (m_is_closed) return false;
  pollfd poll_entry{m_fd, POLLIN, 0};
  const auto millis = static_cast<int>(std::max<Millis::rep>(0, timeout.count()));
  if (poll(&poll_entry, 1, millis) != 1) return false;
  std::array<char, kReadBytes> buffer{};
  const ssize_t size = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    m_is_closed = true;
    return false;
  }
  m_received.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<RawReply> RawCaller::ParseReply() {
  const std::size_t end = m_received.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  RawReply reply;
  std::istringstream lines(m_received.substr(0, end));
  std::string line;
  lines >> line >> reply.status;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos) continue;
    if (line.back() == '\r') line.pop_back();
    reply.headers[LowerCase(line.substr(0, colon))] = line.substr(colon + 2);
  }
  const std::string_view after_head = std::string_view{m_received}.substr(end + 4);
  std::size_t body_size = 0;
  if (reply.headers.contains("content-length")) {
    body_size = std::stoul(reply.headers["content-length"]);
    if (after_head.size() < body_size) return std::nullopt;
    reply.body = after_head.substr(0, body_size);
  } else if (reply.headers["transfer-encoding"] == "chunked") {
    auto chunks = ParseChunkedBody(after_head);
    if (!chunks) return std::nullopt;
    reply.body = std::move(chunks->first);
    body_size = chunks->second;
  } else {
    if (!m_is_closed) return std::nullopt;
    reply.body = after_head;
    body_size = after_head.size();
  }
  m_received.erase(0, end + 4 + body_size);
  return reply;
}

std::optional<RawReply> RawCaller::Read(Millis timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (true) {
    if (auto reply = ParseReply()) return reply;
    const auto remaining =
        std::chrono::duration_cast<Millis>(deadline - std::chrono::steady_clock::now());
    if (!Receive(remaining)) return ParseReply();
  }
}

bool RawCaller::IsClosedWithin(Millis timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!m_is_closed) {
    const auto remaining =
        std::chrono::duration_cast<Millis>(deadline - std::chrono::steady_clock::now());
    if (!Receive(remaining)) break;
    m_received.clear();
  }
  return m_is_closed;
}

std::string RawRequest(const std::string& method, const std::string& path, const std::string& body,
                       const std::string& headers) {
  std::string text = method + " " + path + " HTTP/1.1\r\nhost: bluebellpass\r\n" + headers;
  if (!body.empty() || method == "POST") {
    text += "content-length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

}  // namespace bluebellpass::test
