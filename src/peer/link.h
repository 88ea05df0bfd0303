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

/// Timeout of connection setup and handshake together.
constexpr Millis kHandshakeTimeout{2000};
/// Largest frame accepted before the peer is authenticated.
constexpr std::size_t kMaxHandshakeBytes = 4096;
/// Limit on the bytes waiting to be sent; the link to a peer that reads more slowly is closed.
constexpr std::size_t kMaxSendBytes = 16U << 20U;
/// A link that receives no frame for this long is closed.
constexpr Millis kSilenceTimeout{2000};

/// Properties of this instance that its links share.
struct LinkContext {
  InstanceInfo self;
  std::vector<std::string> keys;   ///< the first one signs, all are accepted
  LinkTraffic* traffic = nullptr;  ///< counters of all links; may be null
};

/// The side of a link. It is part of the signed text, so that a proof is not valid when it is
/// reflected to its signer.
enum class LinkSide : std::uint8_t { kInitiator = 1, kAcceptor = 2 };

/// Signs the Hello frames of both sides, which contain their nonces, ids and incarnations.
/// @return HMAC-SHA256, 32 bytes
std::string SignHandshake(const std::string& key, LinkSide signer,
                          const std::string& initiator_hello, const std::string& acceptor_hello);

/// Receives the events of links.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  /// The peer is authenticated.
  virtual void OnLinkReady(Link& link) = 0;
  /// A frame has arrived from an authenticated peer; never Hello or Auth.
  virtual void OnLinkFrame(Link& link, Frame frame) = 0;
  /// The link was closed, for any reason. Called once.
  virtual void OnLinkClosed(Link& link) = 0;
};

/// An authenticated connection to another instance. Until the peer has proved that it holds one of
/// the keys, only Hello and Auth are decoded.
class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(EventLoop& loop, const LinkContext& context, LinkHandler& handler, LinkSide side);
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  /// Connects to a peer. The result is reported to the handler.
  /// @return false when the address is unusable; the handler is then not called
  bool Connect(const Address& address);
  /// Takes over an accepted socket.
  void Accept(st_h2o_socket_t* socket);

  /// Queues a frame.
  /// @return false when the link is not ready, the frame is too large, or the send buffer is full;
  /// a full send buffer also closes the link
  bool Send(FrameBody body);

  /// Closes the link and reports it. Does nothing on a closed link.
  void Close(const std::string& reason);
  /// Closes a ready link that has received no frame for kSilenceTimeout.
  void CloseIfSilent(TimePoint now);
  /// Restarts the silence timeout, after a pause of this process.
  void ResetSilence(TimePoint now) { m_last_frame = now; }

  bool IsReady() const { return m_state == State::kReady; }
  /// @return true once the peer has accepted the connection, also before the handshake is complete
  bool IsConnected() const { return m_state != State::kConnecting && m_state != State::kClosed; }
  bool IsClosed() const { return m_state == State::kClosed; }
  LinkSide Side() const { return m_side; }
  /// @return the peer as described by its Hello. The id is empty before the Hello arrives, and
  /// unverified until the link is ready.
  const InstanceInfo& Peer() const { return m_peer; }
  /// @return the address that was connected to; empty for accepted links
  const Address& DialledAddress() const { return m_dialled_address; }
  const std::string& CloseReason() const { return m_close_reason; }
  /// @return when the handshake completed; nullopt before
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
  /// Handles the frame at a position of the received bytes.
  /// @param position moved behind the frame
  /// @return false if it is incomplete
  bool ReadFrame(std::size_t& position);
  void HandleFrame(std::string bytes);
  void HandleHello(const HelloFrame& hello, std::string bytes);
  void HandleAuth(const AuthFrame& auth);
  void CompleteHandshake();
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
  Address m_dialled_address;
  InstanceInfo m_peer;
  std::string m_own_hello;
  std::string m_peer_hello;
  std::string m_received;  ///< part of a frame
  std::string m_pending;   ///< not yet passed to the socket
  std::string m_sending;   ///< passed to the socket, which is writing them
  bool m_is_send_buffer_full = false;
  TimePoint m_last_frame;
  std::optional<TimePoint> m_ready_since;
  std::string m_close_reason;
  Timer m_handshake_timer;
};

}  // namespace bluebellpass
