#include "bluebellpass/event.h"
#include "call.h"
#include "kernel/loop.h"

/// Requests that are forwarded to another instance, because this one reaches no backend server.

namespace bluebellpass::gateway {
namespace {

// Responses with a longer body are passed on in parts.
constexpr std::size_t kMaxBufferedBytes = 64U << 10U;

}  // namespace

bool Call::ShouldForward() const {
  return m_context.path_monitor.IsStranded() && !m_request.is_forwarded && !m_may_have_run &&
         !HasResponseStarted() && m_send_count == 0;
}

std::string Call::SerializeWithBody(std::vector<HttpField> fields) const {
  const HttpHead& head = m_exchange->Head();
  const std::string& body = m_exchange->Body();
  if (!body.empty() || head.content_length || head.is_chunked)
    fields.push_back({"Content-Length", std::to_string(body.size())});
  return SerializeRequest(head.method, head.target, fields) + body;
}

bool Call::Forward() {
  const auto peer = m_context.peers.ChoosePeer(m_request.id, m_tried_peers);
  if (!peer) return false;
  m_tried_peers.insert(*peer);
  m_exchange->PinBody();
  m_state = State::kForwarded;
  m_was_sent = false;
  m_response_head = {};
  LogEvent(EventId::kRequestForwarded,
           {{"request", m_request.id.Text()},
            {"peer", peer->Text()},
            {"remaining_ms", static_cast<std::int64_t>(RemainingTime().count())}});
  const auto deadline =
      m_request.deadline ? std::optional(std::max(RemainingTime(), Millis{1})) : std::nullopt;
  PooledCallHandlers handlers;
  const auto self = shared_from_this();
  handlers.on_sent = [self] { self->m_was_sent = true; };
  handlers.on_head = [self](const HttpHead& head) {
    const ResponseFields response = self->m_context.protocol.DecodeResponse(head);
    if (response.has_id && response.id != self->m_request.id) return false;
    self->m_response_head = head;
    return true;
  };
  handlers.on_body = [self](std::string_view bytes) { self->OnForwardedBody(bytes); };
  handlers.on_end = [self](PooledCallResult result) { self->OnForwardedEnd(result); };
  m_pooled_call = m_context.peer_pool.StartCall(
      *peer,
      SerializeWithBody(m_context.protocol.EncodeForwardedRequest(m_exchange->Head(), deadline)),
      std::move(handlers));
  return true;
}

void Call::OnForwardedBody(std::string_view bytes) {
  if (m_state != State::kForwarded) return;
  if (!HasResponseStarted()) {
    m_response_body.append(bytes);
    m_held.Set(m_response_body.capacity());
    if (m_response_head.content_length && m_response_body.size() <= kMaxBufferedBytes) return;
    StartResponse();
    m_exchange->Write(std::exchange(m_response_body, std::string()));
    m_held.Release();
  } else {
    m_exchange->Write(bytes);
  }
  ApplyBackpressure();
}

void Call::OnForwardedEnd(PooledCallResult result) {
  if (m_state != State::kForwarded) return;
  DropPooledCall();
  if (result == PooledCallResult::kConnectFailed) {
    if (!Forward()) Enqueue();
    return;
  }
  m_may_have_run = m_was_sent;
  if (result != PooledCallResult::kComplete) return Fail("peer_lost");
  const int status = m_response_head.status;
  if (HasResponseStarted()) {
    m_exchange->End();
  } else {
    m_exchange->Send(status, m_context.protocol.EncodeResponse(m_response_head), m_response_body);
  }
  Finish("forwarded", status, "");
}

}  // namespace bluebellpass::gateway
