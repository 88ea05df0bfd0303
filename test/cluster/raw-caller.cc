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
constexpr int kSendLimitMillis = 20'000;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return text;
}

/// @return the body and the length of its framing, or nothing while the last chunk is missing
std::optional<std::pair<std::string, std::size_t>> TakeChunks(std::string_view input) {
  std::string body;
  std::size_t at = 0;
  while (true) {
    const std::size_t end = input.find("\r\n", at);
    if (end == std::string_view::npos) return std::nullopt;
    const std::size_t size = std::stoul(std::string(input.substr(at, end - at)), nullptr, 16);
    if (input.size() < end + 2 + size + 2) return std::nullopt;
    body.append(input.substr(end + 2, size));
    at = end + 2 + size + 2;
    if (size == 0) return std::pair{body, at};
  }
}

}  // namespace

RawCaller::RawCaller(const Address& address)
    : m_fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
  if (connect(m_fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) {
    close(m_fd);
    throw std::runtime_error("cannot connect to " + address.Text());
  }
}

RawCaller::~RawCaller() {
  if (m_fd >= 0) close(m_fd);
}

RawCaller::RawCaller(RawCaller&& other) noexcept
    : m_fd(std::exchange(other.m_fd, -1)),
      m_is_ended(other.m_is_ended),
      m_input(std::move(other.m_input)) {}

bool RawCaller::Send(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(m_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent > 0) {
      bytes.remove_prefix(static_cast<std::size_t>(sent));
      continue;
    }
    if (errno != EAGAIN) return false;
    pollfd entry{m_fd, POLLOUT, 0};
    if (poll(&entry, 1, kSendLimitMillis) != 1) return false;
  }
  return true;
}

bool RawCaller::Receive(Millis limit) {
  if (m_is_ended) return false;
  pollfd entry{m_fd, POLLIN, 0};
  const auto millis = static_cast<int>(std::max<Millis::rep>(0, limit.count()));
  if (poll(&entry, 1, millis) != 1) return false;
  std::array<char, kReadBytes> buffer{};
  const ssize_t size = recv(m_fd, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    m_is_ended = true;
    return false;
  }
  m_input.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<RawReply> RawCaller::TakeReply() {
  const std::size_t end = m_input.find("\r\n\r\n");
  if (end == std::string::npos) return std::nullopt;
  RawReply reply;
  std::istringstream lines(m_input.substr(0, end));
  std::string line;
  lines >> line >> reply.status;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const std::size_t colon = line.find(": ");
    if (colon == std::string::npos) continue;
    if (line.back() == '\r') line.pop_back();
    reply.headers[LowerCase(line.substr(0, colon))] = line.substr(colon + 2);
  }
  const std::string_view rest = std::string_view{m_input}.substr(end + 4);
  std::size_t used = 0;
  if (reply.headers.contains("content-length")) {
    used = std::stoul(reply.headers["content-length"]);
    if (rest.size() < used) return std::nullopt;
    reply.body = rest.substr(0, used);
  } else if (reply.headers["transfer-encoding"] == "chunked") {
    auto chunks = TakeChunks(rest);
    if (!chunks) return std::nullopt;
    reply.body = std::move(chunks->first);
    used = chunks->second;
  } else {
    if (!m_is_ended) return std::nullopt;
    reply.body = rest;
    used = rest.size();
  }
  m_input.erase(0, end + 4 + used);
  return reply;
}

std::optional<RawReply> RawCaller::Read(Millis limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (true) {
    if (auto reply = TakeReply()) return reply;
    const auto rest = std::chrono::duration_cast<Millis>(end - std::chrono::steady_clock::now());
    if (!Receive(rest)) return TakeReply();
  }
}

bool RawCaller::IsClosedWithin(Millis limit) {
  const auto end = std::chrono::steady_clock::now() + limit;
  while (!m_is_ended) {
    const auto rest = std::chrono::duration_cast<Millis>(end - std::chrono::steady_clock::now());
    if (!Receive(rest)) break;
    m_input.clear();
  }
  return m_is_ended;
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
