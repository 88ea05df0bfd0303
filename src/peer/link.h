#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "bluebellpass/timer.h"
#include "codec.h"
#include "traffic.h"

struct st_h2o_socket_t;

namespace bluebellpass {

class EventLoop;
class Link;

/// Limit for connecting and for the handshake.
constexpr Millis kHandshakeTimeout{2000};
/// Most bytes of a frame before the peer is authenticated.
constexpr std::size_t kMaxHandshakeBytes = 4096;
/// Most bytes that wait to be sent; a peer that is slower than that loses its link.
constexpr std::size_t kMaxSendBytes = 16U << 20U;
/// A link without a frame for this long is closed.
constexpr Millis kSilenceTimeout{2000};

/// What a link needs to know of its own side.
struct LinkContext {
  InstanceInfo self;
  std::vector<std::string> keys;   ///< the first signs, all are accepted
  LinkTraffic* traffic = nullptr;  ///< counts of all links; may be null
};

/// The side that signs a proof. It is part of the signed text, so that a proof that is sent back to
/// its signer is not valid.
enum class LinkSide : std::uint8_t { kInitiator = 1, kAcceptor = 2 };

/// Signs the Hello frames of both sides, which hold their nonces, ids and incarnations.
/// @return HMAC-SHA256, 32 bytes
std::string SignHandshake(const std::string& key, LinkSide signer,
                          const std::string& initiator_hello, const std::string& acceptor_hello);

/// Receives what happens on links.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  /// The peer is authenticated.
  virtual void OnLinkReady(Link& link) = 0;
  /// A frame of an authenticated peer; never Hello or Auth.
  virtual void OnLinkFrame(Link& link, Frame frame) = 0;
  /// Called once, for any reason.
  virtual void OnLinkClosed(Link& link) = 0;
};

/// A connection to another instance. Nothing but Hello and Auth is decoded before the peer has
/// proved that it holds one of the keys.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(EventLoop& loop, const LinkContext& context, LinkHandler& handler, LinkSide side);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Connects to a peer; the result is reported to the handler.
  /// @return false when the address is unusable; the handler is not called then
  bool Connect(const Address& address);
  /// Takes over an accepted socket.
  void Accept(st_h2o_socket_t* socket);

  /// Queues a frame.
  /// @return false when the link is not ready, the frame is too large, or the send buffer is full;
  /// in the last case the link is closed
  bool Send(FrameBody body);

  /// Closes the link and reports it. Does nothing on a closed link.
  void Close(const std::string& reason);
  /// Closes the link when it has been silent for too long.
  void CheckSilence(TimePoint now);
  /// Restarts the time of silence, after a pause of this process.
  void ExcuseSilence(TimePoint now) { m_last_frame = now; }

  bool IsReady() const { return m_state == State::kReady; }
  bool IsClosed() const { return m_state == State::kClosed; }
  LinkSide Side() const { return m_side; }
  /// @return the peer as of its Hello; its id is empty before that, and it is not verified before
  /// the link is ready
  const InstanceInfo& Peer() const { return m_peer; }
  /// @return the address that was connected to; empty for accepted links
  const Address& Dialled() const { return m_dialled; }
  const std::string& CloseReason() const { return m_close_reason; }
  /// @return time at which the link became ready, or nullopt
  std::optional<TimePoint> ReadySince() const { return m_ready_since; }

 private:
  enum class State { kConnecting, kHello, kAuth, kReady, kClosed };

  static void OnConnect(st_h2o_socket_t* socket, const char* error);
  static void OnRead(st_h2o_socket_t* socket, const char* error);
  static void OnWritten(st_h2o_socket_t* socket, const char* error);

  void CloseSocket();
  void StartReading();
  void SendHello();
  void SendAuth();
  void ReadFrames();
  bool ReadFrame();
  void HandleFrame(std::string bytes);
  void HandleHello(const HelloFrame& hello, std::string bytes);
  void HandleAuth(const AuthFrame& auth);
  void BecomeReady();
  bool Write(const Frame& frame, std::string* encoded);
  void Flush();
  const std::string& InitiatorHello() const;
  const std::string& AcceptorHello() const;

  EventLoop& m_loop;
  const LinkContext& m_context;
  LinkHandler& m_handler;
  LinkSide m_side;
  State m_state = State::kConnecting;
  st_h2o_socket_t* m_socket = nullptr;
  Address m_dialled;
  InstanceInfo m_peer;
  std::string m_own_hello;
  std::string m_peer_hello;
  std::string m_pending;  ///< not passed to the socket yet
  /// The socket refers to it until the write ends, which can be after the end of the link.
  std::shared_ptr<std::string> m_sending = std::make_shared<std::string>();
  bool m_is_overflown = false;
  TimePoint m_last_frame;
  std::optional<TimePoint> m_ready_since;
  std::string m_close_reason;
  Timer m_handshake_timer;
};

}  // namespace bluebellpass
