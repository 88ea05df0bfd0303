#include "tcp-stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "h2o.h"
#include "loop.h"

namespace bluebellpass {
namespace {

// Bytes of a connection that are handled in one iteration of the event loop.
constexpr std::size_t kReadBytes = 64U << 10U;
// A write buffer that has grown beyond this is freed once it is written.
constexpr std::size_t kMaxKeptWriteBytes = 16U << 10U;

void SetOption(int fd, int level, int name, int value) {
  setsockopt(fd, level, name, &value, sizeof(value));
}

void ConfigureSocket(int fd, const TcpKeepAlive& keep_alive) {
  SetOption(fd, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive.idle_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive.interval_s);
  SetOption(fd, IPPROTO_TCP, TCP_KEEPCNT, keep_alive.probes);
  SetOption(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, keep_alive.unacknowledged_ms);
}

}  // namespace

TcpStream::~TcpStream() { Close(); }

void TcpStream::Attach(h2o_socket_t* socket, const TcpKeepAlive& keep_alive) {
  m_socket = socket;
  m_socket->data = this;
  ConfigureSocket(h2o_socket_get_fd(socket), keep_alive);
}

std::shared_ptr<TcpStream> TcpStream::Accept(h2o_socket_t* socket, const TcpKeepAlive& keep_alive,
                                             MemoryAccount* account) {
  auto stream = std::make_shared<TcpStream>();
  stream->m_is_connected = true;
  if (account != nullptr)
    stream->m_pending_holder = std::make_unique<MemoryAccount::Holder>(
        account, [self = stream.get()] { self->End(StreamEndReason::kReset); },
        BufferKind::kPendingWrite);
  stream->Attach(socket, keep_alive);
  return stream;
}

std::shared_ptr<TcpStream> TcpStream::Connect(EventLoop& loop, const Address& address,
                                              const TcpKeepAlive& keep_alive,
                                              std::function<void()> on_connected,
                                              MemoryAccount* account) {
  auto stream = std::make_shared<TcpStream>();
  if (account != nullptr)
    stream->m_pending_holder =
        std::make_unique<MemoryAccount::Holder>(account, nullptr, BufferKind::kPendingWrite);
  stream->m_on_connected = std::move(on_connected);
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  h2o_socket_t* socket = nullptr;
  if (address.port != 0 && inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) == 1) {
    socket = h2o_socket_connect(loop.Native(), reinterpret_cast<sockaddr*>(&target), sizeof(target),
                                &TcpStream::HandleConnected);
  }
  if (socket == nullptr) {
    loop.Post([stream] { stream->End(StreamEndReason::kConnectFailed); });
    return stream;
  }
  stream->Attach(socket, keep_alive);
  return stream;
}

void TcpStream::HandleConnected(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<TcpStream*>(socket->data)->shared_from_this();
  if (error != nullptr) return self->End(StreamEndReason::kConnectFailed);
  self->m_is_connected = true;
  self->StartReading();
  self->Flush();
  if (const auto on_connected = std::move(self->m_on_connected)) on_connected();
}

void TcpStream::HandleRead(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<TcpStream*>(socket->data)->shared_from_this();
  if (error != nullptr) return self->End(StreamEndReason::kReset);
  std::array<char, kReadBytes> buffer;
  const auto received = ReadAvailable(socket, buffer);
  if (const auto* reason = std::get_if<StreamEndReason>(&received))
    return self->End(self->IsReset() ? StreamEndReason::kReset : *reason);
  const auto bytes = std::get<std::string_view>(received);
  if (bytes.empty()) return;
  // The handler may be replaced while it runs.
  ReadHandler handler = std::exchange(self->m_read_handler, nullptr);
  if (handler) handler(bytes);
  if (!self->m_read_handler && self->IsOpen() && !self->m_is_closing_after_writes)
    self->m_read_handler = std::move(handler);
}

void TcpStream::HandleWritable(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<TcpStream*>(socket->data)->shared_from_this();
  if (error != nullptr || self->m_write_error != 0) return self->End(StreamEndReason::kReset);
  self->m_is_waiting_to_write = false;
  self->Flush();
  self->CountPendingBytes();
  if (self->m_is_closing_after_writes && self->PendingBytes() == 0) self->Close();
}

void TcpStream::StartReading() {
  if (m_socket == nullptr || !m_is_connected || !m_read_handler || m_is_paused) return;
  StartBoundedReading(m_socket, &TcpStream::HandleRead);
}

void TcpStream::SetPaused(bool is_paused) {
  if (m_is_paused == is_paused) return;
  m_is_paused = is_paused;
  if (m_socket == nullptr || !m_is_connected) return;
  if (is_paused) {
    h2o_socket_read_stop(m_socket);
  } else {
    StartReading();
  }
}

void TcpStream::Write(std::string bytes) {
  if (m_socket == nullptr || bytes.empty()) return;
  if (m_pending.empty()) {
    m_pending = std::move(bytes);
  } else {
    m_pending += bytes;
  }
  Flush();
  CountPendingBytes();
}

void TcpStream::CountPendingBytes() {
  if (m_pending_holder) m_pending_holder->Set(m_pending.capacity() + m_sending.capacity());
}

void TcpStream::Flush() {
  if (m_socket == nullptr || !m_is_connected || m_is_waiting_to_write) return;
  if (m_sending.empty()) m_sending.swap(m_pending);
  if (m_sending.empty()) return;
  const std::string_view unsent = std::string_view{m_sending}.substr(m_sent_bytes);
  const ssize_t count =
      send(Descriptor(), unsent.data(), unsent.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
  if (count >= 0) {
    m_sent_bytes += static_cast<std::size_t>(count);
  } else if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
    m_write_error = errno;
  }
  if (m_sent_bytes == m_sending.size()) ClearSending();
  if (PendingBytes() == 0) return;
  m_is_waiting_to_write = true;
  h2o_socket_notify_write(m_socket, &TcpStream::HandleWritable);
}

void TcpStream::ClearSending() {
  m_sent_bytes = 0;
  if (m_sending.capacity() > kMaxKeptWriteBytes) {
    m_sending = std::string();
  } else {
    m_sending.clear();
  }
}

bool TcpStream::IsReset() const {
  // EPIPE: the peer had closed the connection in an orderly way before.
  return m_write_error != 0 && m_write_error != EPIPE;
}

bool TcpStream::HasUnreadInput() const {
  char byte = 0;
  const ssize_t count = recv(Descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

std::uint32_t TcpStream::PeerIp() const {
  sockaddr_in name{};
  socklen_t length = sizeof(name);
  if (getpeername(Descriptor(), reinterpret_cast<sockaddr*>(&name), &length) != 0) return 0;
  return name.sin_addr.s_addr;
}

int TcpStream::Descriptor() const { return m_socket == nullptr ? -1 : h2o_socket_get_fd(m_socket); }

void TcpStream::CloseAfterWrites() {
  if (m_socket == nullptr) return;
  if (PendingBytes() == 0) return Close();
  m_is_closing_after_writes = true;
  // The owner may be destroyed before the bytes have been sent.
  m_kept_until_closed = shared_from_this();
  m_on_end = nullptr;
  m_read_handler = nullptr;
  if (m_is_connected) h2o_socket_read_stop(m_socket);
}

void TcpStream::Close() {
  h2o_socket_t* socket = std::exchange(m_socket, nullptr);
  if (socket == nullptr) return;
  const auto kept = std::exchange(m_kept_until_closed, nullptr);
  socket->data = nullptr;
  m_read_handler = nullptr;
  m_on_end = nullptr;
  h2o_socket_close(socket);
  m_pending = std::string();
  m_sending = std::string();
  m_sent_bytes = 0;
  if (m_pending_holder) m_pending_holder->Release();
}

void TcpStream::End(StreamEndReason reason) {
  const auto self = shared_from_this();
  const auto handler = std::exchange(m_on_end, nullptr);
  Close();
  if (handler) handler(reason);
}

std::variant<std::string_view, StreamEndReason> ReadAvailable(h2o_socket_t* socket,
                                                              std::span<char> buffer) {
  const ssize_t count = recv(h2o_socket_get_fd(socket), buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count > 0) return std::string_view(buffer.data(), static_cast<std::size_t>(count));
  if (count == 0) return StreamEndReason::kClosed;
  if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR) return std::string_view();
  return StreamEndReason::kReset;
}

void StartBoundedReading(h2o_socket_t* socket,
                         void (*on_readable)(h2o_socket_t* socket, const char* error)) {
  h2o_socket_dont_read(socket, 1);
  h2o_socket_read_start(socket, on_readable);
}

ListeningSocket OpenListeningSocket(EventLoop& loop, const Address& address, int backlog) {
  ListeningSocket result;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(address.port);
  const auto fail = [&](const std::string& what) {
    result.error = what + " " + address.Text() + ": " + std::strerror(errno);
    if (fd >= 0) close(fd);
    return result;
  };
  if (fd < 0) return fail("cannot create a socket for");
  if (inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr) != 1)
    return fail("invalid IPv4 address in");
  SetOption(fd, SOL_SOCKET, SO_REUSEADDR, 1);
  if (bind(fd, reinterpret_cast<sockaddr*>(&name), sizeof(name)) != 0) return fail("cannot bind");
  if (listen(fd, backlog) != 0) return fail("cannot listen on");
  socklen_t length = sizeof(name);
  if (getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) != 0)
    return fail("cannot read the address of");
  result.address = {address.ip, ntohs(name.sin_port)};
  result.socket = h2o_evloop_socket_create(loop.Native(), fd, H2O_SOCKET_FLAG_DONT_READ);
  return result;
}

}  // namespace bluebellpass
