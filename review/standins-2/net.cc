#include "net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

constexpr int kBacklog = 512;
constexpr std::size_t kReadBytes = 16U << 10U;

sockaddr_in MakeName(const Address& address) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
  return name;
}

int MillisUntil(TimePoint until) {
  const auto left = std::chrono::ceil<Millis>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000));
}

bool WaitFor(int fd, short events, TimePoint until) {
  while (true) {
    pollfd entry{fd, events, 0};
    const int count = poll(&entry, 1, MillisUntil(until));
    if (count > 0) return true;
    if (count < 0 && errno == EINTR) continue;
    return false;
  }
}

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

std::string Word(const std::string& line, std::size_t index) {
  std::size_t begin = 0;
  for (; index > 0; --index) begin = std::min(line.find(' ', begin), line.size() - 1) + 1;
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

Descriptor& Descriptor::operator=(Descriptor&& other) noexcept {
  if (this != &other) {
    Close();
    m_fd = std::exchange(other.m_fd, -1);
  }
  return *this;
}

void Descriptor::Close() {
  if (m_fd >= 0) close(m_fd);
  m_fd = -1;
}

Descriptor Listen(Address& address) {
  Descriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = MakeName(address);
  socklen_t length = sizeof(name);
  if (bind(listener.Get(), reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 ||
      listen(listener.Get(), kBacklog) != 0 ||
      getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&name), &length) != 0) {
    std::perror("cannot listen");
    std::exit(2);
  }
  address.port = ntohs(name.sin_port);
  return listener;
}

Descriptor Connect(const Address& address, Millis timeout, const SocketOptions& options) {
  Descriptor connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int fd = connection.Get();
  if (options.receive_buffer_bytes > 0)
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &options.receive_buffer_bytes, sizeof(int));
  if (options.segment_bytes > 0)
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &options.segment_bytes, sizeof(int));
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(fd, F_SETFL, O_NONBLOCK);
  sockaddr_in name = MakeName(address);
  if (connect(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0 && errno != EINPROGRESS)
    return Descriptor();
  int error = 0;
  socklen_t length = sizeof(error);
  if (!WaitFor(fd, POLLOUT, Clock::now() + timeout) ||
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0)
    return Descriptor();
  fcntl(fd, F_SETFL, 0);
  return connection;
}

std::uint16_t FindFreePort(const std::string& ip) {
  Address address{ip, 0};
  const Descriptor listener = Listen(address);
  return address.port;
}

bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t count = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

std::string Message::Field(std::string_view name) const {
  for (const auto& [key, value] : fields)
    if (EqualsIgnoringCase(key, name)) return value;
  return {};
}

bool Message::Has(std::string_view name) const {
  return std::any_of(fields.begin(), fields.end(),
                     [&](const auto& field) { return EqualsIgnoringCase(field.first, name); });
}

int Message::Status() const { return std::atoi(Word(start_line, 1).c_str()); }
std::string Message::Method() const { return Word(start_line, 0); }
std::string Message::Target() const { return Word(start_line, 1); }

std::string ToText(const Message& message) {
  std::string text = message.start_line + "\r\n";
  for (const auto& [name, value] : message.fields) text.append(name + ": " + value + "\r\n");
  return text + "\r\n" + message.body;
}

Message MakeResponse(int status, std::string body) {
  Message response;
  response.start_line = "HTTP/1.1 " + std::to_string(status) + " Status";
  response.fields = {{"Content-Length", std::to_string(body.size())}};
  response.body = std::move(body);
  return response;
}

bool MessageReader::Fill(TimePoint until) {
  if (!WaitFor(m_fd, POLLIN, until)) {
    m_end = "time ran out";
    return false;
  }
  std::array<char, kReadBytes> bytes;
  const ssize_t count = recv(m_fd, bytes.data(), bytes.size(), 0);
  if (count <= 0) {
    m_end = count == 0 ? "closed" : "reset";
    return false;
  }
  m_has_received = true;
  m_buffer.append(bytes.data(), static_cast<std::size_t>(count));
  if (m_bytes_per_s > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(static_cast<double>(count) /
                                                              static_cast<double>(m_bytes_per_s)));
  return true;
}

bool MessageReader::ReadHead(Message& message, TimePoint until) {
  std::size_t end = std::string::npos;
  while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos)
    if (!Fill(until)) return false;
  std::size_t begin = 0;
  while (begin < end + 2) {
    const std::size_t line_end = m_buffer.find("\r\n", begin);
    const std::string line = m_buffer.substr(begin, line_end - begin);
    begin = line_end + 2;
    const std::size_t colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.fields.emplace_back(line.substr(0, colon),
                                  value == std::string::npos ? "" : line.substr(value));
    }
  }
  m_buffer.erase(0, end + 4);
  return true;
}

bool MessageReader::ReadExactly(std::string& body, std::size_t size, TimePoint until) {
  while (size > 0) {
    if (m_buffer.empty() && !Fill(until)) return false;
    const std::size_t count = std::min(size, m_buffer.size());
    body.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    size -= count;
    m_body_bytes = body.size();
  }
  return true;
}

bool MessageReader::ReadChunks(std::string& body, TimePoint until) {
  while (true) {
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n")) == std::string::npos)
      if (!Fill(until)) return false;
    const std::size_t size = std::strtoull(m_buffer.c_str(), nullptr, 16);
    m_buffer.erase(0, end + 2);
    std::string line_end;
    if (!ReadExactly(body, size, until) || !ReadExactly(line_end, 2, until)) return false;
    m_body_bytes = body.size();
    if (size == 0) return true;
  }
}

std::optional<Message> MessageReader::Read(TimePoint until) {
  Message message;
  m_body_bytes = 0;
  m_has_received = !m_buffer.empty();
  m_end = "complete";
  if (!ReadHead(message, until)) return std::nullopt;
  const bool is_complete =
      EqualsIgnoringCase(message.Field("Transfer-Encoding"), "chunked")
          ? ReadChunks(message.body, until)
          : ReadExactly(message.body,
                        std::strtoull(message.Field("Content-Length").c_str(), nullptr, 10), until);
  return is_complete ? std::optional(std::move(message)) : std::nullopt;
}

Record::Record(const std::string& path)
    : m_fd(open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644)) {}

Record::~Record() { close(m_fd); }

void Record::Add(const std::string& line) {
  const std::lock_guard lock(m_mutex);
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.3f ", Seconds(Clock::now()));
  const std::string text = time.data() + line + "\n";
  if (write(m_fd, text.data(), text.size()) < 0) std::perror("record");
}

}  // namespace review
