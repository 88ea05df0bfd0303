#include "link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <sys/socket.h>

#include <array>
#include <cstdlib>

#include "kernel/h2o.h"
#include "kernel/loop.h"
#include "kernel/tcp-stream.h"

namespace bluebellpass {
namespace {

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kLengthPrefixBytes = 4;
// Bytes of a link that are handled in one iteration of the event loop.
constexpr std::size_t kReadBytes = 64U << 10U;

// Domain separation: a signature made for another purpose is not valid here.
constexpr std::string_view kSignedPrefix = "bluebellpass link 1";

std::string MakeNonce() {
  std::array<unsigned char, kNonceBytes> nonce{};
  // Without random nonces no link can be authenticated.
  if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1) std::abort();
  return {nonce.begin(), nonce.end()};
}

std::string LengthPrefix(std::size_t length) {
  std::string prefix(kLengthPrefixBytes, '\0');
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i)
    prefix[i] = static_cast<char>((length >> (8 * i)) & 0xffU);
  return prefix;
}

std::size_t ReadLength(const char* bytes) {
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthPrefixBytes; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  return length;
}

void DisableNagle(h2o_socket_t* socket) {
  const int on = 1;
  setsockopt(h2o_socket_get_fd(socket), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}  // namespace

std::string SignHandshake(const std::string& key, LinkSide signer,
                          const std::string& initiator_hello, const std::string& acceptor_hello) {
  std::string text(kSignedPrefix);
  text += static_cast<char>(signer);
  text += LengthPrefix(initiator_hello.size()) + initiator_hello;
  text += LengthPrefix(acceptor_hello.size()) + acceptor_hello;
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(),
           &size) == nullptr)
    std::abort();
  return {digest.begin(), digest.begin() + size};
}

Link::Link(EventLoop& loop, const LinkContext& context, LinkHandler& handler, LinkSide side)
    : m_loop(loop),
      m_context(context),
      m_handler(handler),
      m_side(side),
      m_last_frame(loop.Now()),
      m_handshake_timer(loop) {}

Link::~Link() { CloseSocket(); }

void Link::CloseSocket() {
  h2o_socket_t* socket = std::exchange(m_socket, nullptr);
  if (socket == nullptr) return;
  socket->data = nullptr;
  h2o_socket_close(socket);
}

bool Link::Connect(const Address& address) {
  m_dialled_address = address;
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(address.port);
  if (address.port == 0 || inet_pton(AF_INET, address.ip.c_str(), &target.sin_addr) != 1)
    return false;
  m_socket = h2o_socket_connect(m_loop.Native(), reinterpret_cast<sockaddr*>(&target),
                                sizeof(target), &Link::OnConnect);
  if (m_socket == nullptr) return false;
  m_socket->data = this;
  m_handshake_timer.Start(kHandshakeTimeout, [this] { Close("handshake timeout"); });
  return true;
}

void Link::Accept(h2o_socket_t* socket) {
  m_socket = socket;
  m_socket->data = this;
  m_handshake_timer.Start(kHandshakeTimeout, [this] { Close("handshake timeout"); });
  StartReading();
}

void Link::OnConnect(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<Link*>(socket->data)->shared_from_this();
  if (error != nullptr) return self->Close(error);
  self->StartReading();
  self->SendHello();
}

void Link::StartReading() {
  m_state = State::kHello;
  DisableNagle(m_socket);
  StartBoundedReading(m_socket, &Link::OnRead);
}

const std::string& Link::InitiatorHello() const {
  return m_side == LinkSide::kInitiator ? m_own_hello : m_peer_hello;
}

const std::string& Link::AcceptorHello() const {
  return m_side == LinkSide::kInitiator ? m_peer_hello : m_own_hello;
}

void Link::SendHello() {
  if (!Write({0, HelloFrame{m_context.self, MakeNonce()}}, &m_own_hello)) Close("Hello too large");
}

void Link::SendAuth() {
  const std::string proof =
      SignHandshake(m_context.keys.front(), m_side, InitiatorHello(), AcceptorHello());
  Write({0, AuthFrame{proof}}, nullptr);
}

void Link::OnRead(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<Link*>(socket->data)->shared_from_this();
  if (error != nullptr) return self->Close(error);
  std::array<char, kReadBytes> buffer;
  const auto received = ReadAvailable(socket, buffer);
  if (const auto* reason = std::get_if<StreamEndReason>(&received))
    return self->Close(*reason == StreamEndReason::kClosed ? h2o_socket_error_closed
                                                           : h2o_socket_error_io);
  self->m_received.append(std::get<std::string_view>(received));
  self->ReadFrames();
}

void Link::ReadFrames() {
  std::size_t used = 0;
  while (m_state != State::kClosed && ReadFrame(used)) {
  }
  if (used == m_received.size()) {
    m_received = std::string();
  } else {
    m_received.erase(0, used);
  }
}

bool Link::ReadFrame(std::size_t& position) {
  const std::size_t available = m_received.size() - position;
  if (available < kLengthPrefixBytes) return false;
  const std::size_t length = ReadLength(m_received.data() + position);
  if (length > (IsReady() ? kMaxFrameBytes : kMaxHandshakeBytes)) {
    Close("frame too large");
    return false;
  }
  if (available < kLengthPrefixBytes + length) return false;
  std::string bytes = m_received.substr(position + kLengthPrefixBytes, length);
  position += kLengthPrefixBytes + length;
  HandleFrame(std::move(bytes));
  return true;
}

void Link::HandleFrame(std::string bytes) {
  auto decoded = DecodeFrame(bytes, IsReady() ? FrameSet::kAll : FrameSet::kHandshake);
  if (!IsOk(decoded)) return Close(ErrorOf(decoded).message);
  Frame& frame = std::get<Frame>(decoded);
  if (m_context.traffic != nullptr)
    CountFrame(m_context.traffic->received, frame.body, kLengthPrefixBytes + bytes.size());
  const auto* hello = std::get_if<HelloFrame>(&frame.body);
  const auto* auth = std::get_if<AuthFrame>(&frame.body);
  if (m_state == State::kHello && hello != nullptr) return HandleHello(*hello, std::move(bytes));
  if (m_state == State::kAuth && auth != nullptr) return HandleAuth(*auth);
  if (!IsReady() || hello != nullptr || auth != nullptr) return Close("frame out of order");
  m_last_frame = m_loop.Now();
  ObserveHybridTime(frame.time);
  m_handler.OnLinkFrame(*this, std::move(frame));
}

void Link::HandleHello(const HelloFrame& hello, std::string bytes) {
  m_peer = hello.info;
  m_peer_hello = std::move(bytes);
  if (hello.nonce.size() != kNonceBytes) return Close("nonce has the wrong length");
  if (m_peer.id == m_context.self.id) return Close("peer has the id of this instance");
  m_state = State::kAuth;
  // The initiator authenticates first, so that an unauthenticated client of the acceptor obtains no
  // signature for an offline attack on the key.
  if (m_side == LinkSide::kInitiator) {
    SendAuth();
  } else {
    SendHello();
  }
}

void Link::HandleAuth(const AuthFrame& auth) {
  const LinkSide signer =
      m_side == LinkSide::kInitiator ? LinkSide::kAcceptor : LinkSide::kInitiator;
  bool is_valid = false;
  for (const std::string& key : m_context.keys) {
    const std::string proof = SignHandshake(key, signer, InitiatorHello(), AcceptorHello());
    const bool is_equal = auth.proof.size() == proof.size() &&
                          CRYPTO_memcmp(auth.proof.data(), proof.data(), proof.size()) == 0;
    is_valid = is_valid || is_equal;
  }
  if (!is_valid) return Close("authentication failed");
  if (m_side == LinkSide::kAcceptor) SendAuth();
  CompleteHandshake();
}

void Link::CompleteHandshake() {
  m_handshake_timer.Stop();
  m_state = State::kReady;
  m_last_frame = m_loop.Now();
  m_ready_since = m_loop.Now();
  m_handler.OnLinkReady(*this);
}

bool Link::Send(FrameBody body) {
  if (!IsReady() || m_is_send_buffer_full) return false;
  return Write({TickHybridClock(), std::move(body)}, nullptr);
}

bool Link::Write(const Frame& frame, std::string* encoded) {
  auto result = EncodeFrame(frame);
  if (!IsOk(result)) return false;
  std::string& bytes = std::get<std::string>(result);
  if (m_pending.size() + m_sending.size() + bytes.size() > kMaxSendBytes) {
    // Closes the link in the next loop iteration, so that OnLinkClosed is not called from inside
    // Send.
    m_is_send_buffer_full = true;
    m_loop.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Close("send buffer full");
    });
    return false;
  }
  if (m_context.traffic != nullptr)
    CountFrame(m_context.traffic->sent, frame.body, kLengthPrefixBytes + bytes.size());
  m_pending += LengthPrefix(bytes.size());
  m_pending += bytes;
  if (encoded != nullptr) *encoded = std::move(bytes);
  Flush();
  return true;
}

void Link::Flush() {
  if (!m_sending.empty() || m_pending.empty()) return;
  m_sending.swap(m_pending);
  h2o_iovec_t buffer = h2o_iovec_init(m_sending.data(), m_sending.size());
  h2o_socket_write(m_socket, &buffer, 1, &Link::OnWritten);
}

void Link::OnWritten(h2o_socket_t* socket, const char* error) {
  if (socket->data == nullptr) return;
  const auto self = static_cast<Link*>(socket->data)->shared_from_this();
  if (error != nullptr) return self->Close(error);
  self->m_sending.clear();
  self->Flush();
}

void Link::CloseIfSilent(TimePoint now) {
  if (IsReady() && now - m_last_frame >= kSilenceTimeout) Close("silent");
}

void Link::Close(const std::string& reason) {
  if (m_state == State::kClosed) return;
  const auto self = shared_from_this();
  const State previous = m_state;
  m_state = State::kClosed;
  m_close_reason = reason;
  m_handshake_timer.Stop();
  CloseSocket();
  // A failed connection is normal while a peer restarts, so only failed handshakes are logged.
  if (previous == State::kHello || previous == State::kAuth) {
    LogEvent(EventId::kLinkRejected,
             {{"peer", m_peer.id.Text()},
              {"address", m_dialled_address.ip.empty() ? "" : m_dialled_address.Text()},
              {"reason", reason}});
  }
  m_handler.OnLinkClosed(*this);
}

}  // namespace bluebellpass
