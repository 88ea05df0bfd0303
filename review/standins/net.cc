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
#include <cstdlib>
#include <random>

namespace bluebellpass::review {
namespace {

constexpr Millis kConnectTimeout{1'000};
constexpr Millis kAcceptCheckPeriod{5};
constexpr Millis kIdleCheckPeriod{20};
constexpr int kBacklog = 256;
constexpr int kFirstPort = 21'000;
constexpr int kLastPort = 29'000;
constexpr std::size_t kBufferBytes = 16U << 10U;

sockaddr_in MakeAddress(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

void SetOption(int descriptor, int level, int name, int value) {
  setsockopt(descriptor, level, name, &value, sizeof(value));
}

Socket Listen(const std::string& ip, int port) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  SetOption(socket.Descriptor(), SOL_SOCKET, SO_REUSEADDR, 1);
  const sockaddr_in address = MakeAddress(ip, port);
  const auto* generic = reinterpret_cast<const sockaddr*>(&address);
  if (bind(socket.Descriptor(), generic, sizeof(address)) != 0 ||
      listen(socket.Descriptor(), kBacklog) != 0)
    return {};
  return socket;
}

bool WaitFor(int descriptor, short events, Millis timeout) {
  pollfd entry{descriptor, events, 0};
  return poll(&entry, 1, static_cast<int>(std::max(timeout, Millis{0}).count())) == 1;
}

std::string Trim(const std::string& text) {
  const std::size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string::npos) return "";
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::string Word(const std::string& line, int index) {
  std::size_t begin = 0;
  for (; index > 0 && begin != std::string::npos; --index) {
    begin = line.find(' ', begin);
    if (begin != std::string::npos) ++begin;
  }
  if (begin == std::string::npos) return "";
  return line.substr(begin, line.find(' ', begin) - begin);
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  Close();
  m_descriptor = std::exchange(other.m_descriptor, -1);
  return *this;
}

void Socket::Close() {
  if (m_descriptor >= 0) close(m_descriptor);
  m_descriptor = -1;
}

void Socket::Shutdown() const {
  if (m_descriptor >= 0) shutdown(m_descriptor, SHUT_RDWR);
}

bool Socket::SendAll(const std::string& bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count =
        send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

ssize_t Socket::Receive(char* buffer, std::size_t size, Millis timeout) const {
  if (!WaitFor(m_descriptor, POLLIN, timeout)) {
    errno = EAGAIN;
    return -1;
  }
  return recv(m_descriptor, buffer, size, 0);
}

Socket Connect(const std::string& ip, int port, const LinkOptions& link) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  SetOption(socket.Descriptor(), IPPROTO_TCP, TCP_NODELAY, 1);
  if (link.segment_bytes > 0)
    SetOption(socket.Descriptor(), IPPROTO_TCP, TCP_MAXSEG, link.segment_bytes);
  if (link.window_bytes > 0)
    SetOption(socket.Descriptor(), SOL_SOCKET, SO_RCVBUF, link.window_bytes);
  const sockaddr_in address = MakeAddress(ip, port);
  if (connect(socket.Descriptor(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) !=
      0) {
    if (errno != EINPROGRESS || !WaitFor(socket.Descriptor(), POLLOUT, kConnectTimeout)) return {};
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket.Descriptor(), SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) return {};
  }
  // Blocking from here on; reads wait in poll.
  Socket blocking(dup(socket.Descriptor()));
  const int flags = 0;
  if (fcntl(blocking.Descriptor(), F_SETFL, flags) != 0) return {};
  return blocking;
}

int FindFreePorts(const std::vector<std::string>& ips, int count) {
  std::random_device random;
  while (true) {
    const int first = kFirstPort + static_cast<int>(random() % (kLastPort - kFirstPort));
    bool is_free = true;
    for (const std::string& ip : ips)
      for (int port = first; port < first + count; ++port)
        is_free = is_free && Listen(ip, port).IsOpen();
    if (is_free) return first;
  }
}

std::string HttpMessage::Value(const std::string& name) const {
  for (const auto& [field, value] : fields)
    if (strcasecmp(field.c_str(), name.c_str()) == 0) return value;
  return "";
}

std::string HttpMessage::Method() const { return Word(first_line, 0); }
std::string HttpMessage::Target() const { return Word(first_line, 1); }
int HttpMessage::Status() const { return std::atoi(Word(first_line, 1).c_str()); }

ReadResult MessageReader::Fill(Clock::time_point deadline) {
  std::array<char, kBufferBytes> buffer{};
  const auto left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
  if (left <= Millis{0}) return ReadResult::kTimeout;
  const ssize_t count = m_socket.Receive(buffer.data(), buffer.size(), left);
  if (count == 0) return ReadResult::kClosed;
  if (count < 0) return errno == EAGAIN ? ReadResult::kTimeout : ReadResult::kReset;
  m_buffer.append(buffer.data(), static_cast<std::size_t>(count));
  if (m_bytes_per_s > 0)
    std::this_thread::sleep_for(
        std::chrono::duration<double>(static_cast<double>(count) / m_bytes_per_s));
  return ReadResult::kComplete;
}

ReadResult MessageReader::ReadLine(std::string& line, Clock::time_point deadline) {
  std::size_t end = 0;
  while ((end = m_buffer.find("\r\n")) == std::string::npos) {
    const ReadResult result = Fill(deadline);
    if (result != ReadResult::kComplete) return result;
  }
  line = m_buffer.substr(0, end);
  m_buffer.erase(0, end + 2);
  return ReadResult::kComplete;
}

ReadResult MessageReader::ReadHead(HttpMessage& message, Clock::time_point deadline) {
  ReadResult result = ReadLine(message.first_line, deadline);
  while (result == ReadResult::kComplete) {
    std::string line;
    result = ReadLine(line, deadline);
    if (result != ReadResult::kComplete || line.empty()) break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    message.fields.emplace_back(line.substr(0, colon), Trim(line.substr(colon + 1)));
  }
  return result;
}

ReadResult MessageReader::ReadBody(std::string& body, std::size_t size,
                                   Clock::time_point deadline) {
  const std::size_t end = body.size() + size;
  while (true) {
    const std::size_t count = std::min(end - body.size(), m_buffer.size());
    body.append(m_buffer, 0, count);
    m_buffer.erase(0, count);
    if (body.size() == end) return ReadResult::kComplete;
    const ReadResult result = Fill(deadline);
    if (result != ReadResult::kComplete) return result;
  }
}

ReadResult MessageReader::ReadChunks(std::string& body, Clock::time_point deadline) {
  while (true) {
    std::string line;
    ReadResult result = ReadLine(line, deadline);
    if (result != ReadResult::kComplete) return result;
    const std::size_t size = std::strtoull(line.c_str(), nullptr, 16);
    result = ReadBody(body, size, deadline);
    if (result == ReadResult::kComplete) result = ReadLine(line, deadline);
    if (result != ReadResult::kComplete || size == 0) return result;
  }
}

ReadResult MessageReader::Read(HttpMessage& message, bool is_response, Clock::time_point deadline) {
  message = {};
  const ReadResult result = ReadHead(message, deadline);
  if (result != ReadResult::kComplete) return result;
  if (message.Value("Transfer-Encoding") == "chunked") return ReadChunks(message.body, deadline);
  const std::string length = message.Value("Content-Length");
  if (!length.empty())
    return ReadBody(message.body, std::strtoull(length.c_str(), nullptr, 10), deadline);
  if (!is_response) return ReadResult::kComplete;
  ReadResult end = ReadResult::kComplete;
  while (end == ReadResult::kComplete) end = Fill(deadline);
  message.body.swap(m_buffer);
  return end == ReadResult::kClosed ? ReadResult::kComplete : end;
}

std::string SerializeHttp(const std::string& first_line,
                          const std::vector<std::pair<std::string, std::string>>& fields,
                          const std::string& body) {
  std::string text = first_line + "\r\n";
  for (const auto& [name, value] : fields) text += name + ": " + value + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

HttpServer::HttpServer(const std::string& ip, int port, Handler handler)
    : m_handler(std::move(handler)), m_listener(Listen(ip, port)) {
  if (m_listener.IsOpen()) m_acceptor = std::thread([this] { Accept(); });
}

HttpServer::~HttpServer() {
  m_is_stopping = true;
  if (m_acceptor.joinable()) m_acceptor.join();
  // The listener is closed first, so that nobody who loses a connection can open another one.
  m_listener.Close();
  {
    const std::scoped_lock lock(m_mutex);
    for (const Socket& connection : m_connections) connection.Shutdown();
  }
  for (std::thread& thread : m_threads) thread.join();
}

void HttpServer::Accept() {
  while (!m_is_stopping) {
    if (!WaitFor(m_listener.Descriptor(), POLLIN, kAcceptCheckPeriod)) continue;
    Socket accepted(accept4(m_listener.Descriptor(), nullptr, nullptr, SOCK_CLOEXEC));
    if (!accepted.IsOpen()) continue;
    SetOption(accepted.Descriptor(), IPPROTO_TCP, TCP_NODELAY, 1);
    const std::scoped_lock lock(m_mutex);
    const Socket& connection = m_connections.emplace_back(std::move(accepted));
    m_threads.emplace_back([this, &connection] { Serve(connection); });
  }
}

void HttpServer::Serve(const Socket& socket) {
  MessageReader reader(socket);
  while (!m_is_stopping) {
    char byte = 0;
    if (!WaitFor(socket.Descriptor(), POLLIN, kIdleCheckPeriod)) continue;
    if (recv(socket.Descriptor(), &byte, 1, MSG_PEEK) <= 0) break;
    HttpMessage request;
    if (reader.Read(request, false, Clock::now() + Millis{5'000}) != ReadResult::kComplete) break;
    if (!m_handler(request, socket)) break;
  }
  // The descriptor stays reserved until the server ends, so that no other thread reuses it.
  socket.Shutdown();
}

}  // namespace bluebellpass::review
