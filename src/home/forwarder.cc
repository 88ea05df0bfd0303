#include "forwarder.h"

#include <algorithm>

#include "bluebellpass/event.h"

namespace bluebellpass {
namespace {

// Time to wait for a link to the home before the home counts as unreachable.
constexpr Millis kLinkTimeout{1'500};
constexpr Millis kRetryPeriod{50};

Error MakeUnreachableError(const InstanceId& home) {
  return {ErrorKind::kHomeUnreachable,
          "the request's home " + home.Text() + " is unreachable; the request may have run", ""};
}

}  // namespace

/// Sends an answer of this home to the instance that forwarded the request.
class Forwarder::PeerSink : public AnswerSink {
 public:
  PeerSink(PeerNetwork& network, InstanceId recipient, std::uint64_t exchange)
      : m_network(network), m_recipient(std::move(recipient)), m_exchange(exchange) {}

  void OnHead(const AnswerHead& head) override {
    Send(AnswerHeadMessage{m_exchange, 200, head.backend.Text(), head.resume_token});
  }

  void OnData(std::uint64_t offset, std::string_view bytes) override {
    Send(AnswerDataMessage{m_exchange, offset, std::string(bytes)});
  }

  void OnEnd(const AnswerEnd& end) override {
    AnswerEndMessage message;
    message.exchange = m_exchange;
    message.outcome = end.outcome;
    message.length = end.length;
    message.has_error = end.error.has_value();
    if (end.error) {
      message.kind = end.error->kind;
      message.message = end.error->message;
      message.field = end.error->field;
    }
    Send(message);
    m_is_open = false;
  }

  bool IsOpen() const override { return m_is_open; }
  void Close() { m_is_open = false; }
  bool HasEnded() const { return !m_is_open; }

 private:
  void Send(const PeerMessage& message) {
    if (m_is_open && !m_network.Send(m_recipient, message)) m_is_open = false;
  }

  PeerNetwork& m_network;
  InstanceId m_recipient;
  std::uint64_t m_exchange;
  bool m_is_open = true;
};

Forwarder::Forwarder(EventLoop& loop, PeerNetwork& network, HomeTask& home)
    : m_loop(loop),
      m_network(network),
      m_home(home),
      m_next_exchange(network.Self().incarnation.Value()),
      m_retry_timer(loop) {
  m_home.SetRemoteFetch(
      [this](const ParsedRequestId& id, std::uint64_t offset, std::shared_ptr<AnswerSink> sink) {
        Forward(id, "", offset, std::move(sink));
      });
}

Forwarder::~Forwarder() = default;

bool Forwarder::TrySend(const ParsedRequestId& id, const std::string& body, std::uint64_t offset,
                        const std::shared_ptr<AnswerSink>& sink) {
  const std::uint64_t exchange = m_next_exchange;
  const RequestId request(id.ticket.Text() + "." + id.nonce);
  if (!m_network.Send(id.ticket.instance, ForwardMessage{exchange, request, offset, body})) {
    return false;
  }
  ++m_next_exchange;
  m_active_forwards.emplace(exchange, ActiveForward{id.ticket.instance, request, sink});
  LogEvent(EventId::kForwarded, {{"request", request.Text()}, {"home", id.ticket.instance.Text()}});
  return true;
}

void Forwarder::Forward(const ParsedRequestId& id, std::string body, std::uint64_t offset,
                        std::shared_ptr<AnswerSink> sink) {
  if (TrySend(id, body, offset, sink)) return;
  m_pending_forwards.push_back(
      {id, std::move(body), offset, std::move(sink), m_loop.Now() + kLinkTimeout});
  m_retry_timer.Start(kRetryPeriod, [this] { RetryPending(); });
}

void Forwarder::RetryPending() {
  std::vector<PendingForward> pending = std::exchange(m_pending_forwards, {});
  for (PendingForward& item : pending) {
    if (!item.sink->IsOpen() || TrySend(item.id, item.body, item.offset, item.sink)) continue;
    if (item.expires_at <= m_loop.Now()) {
      item.sink->OnEnd(MakeErrorEnd(MakeUnreachableError(item.id.ticket.instance)));
    } else {
      m_pending_forwards.push_back(std::move(item));
    }
  }
  if (!m_pending_forwards.empty()) m_retry_timer.Start(kRetryPeriod, [this] { RetryPending(); });
}

void Forwarder::Cancel(const AnswerSink* sink) {
  std::erase_if(m_pending_forwards,
                [sink](const PendingForward& item) { return item.sink.get() == sink; });
  std::erase_if(m_active_forwards, [&](const auto& item) {
    if (item.second.sink.get() != sink) return false;
    m_network.Send(item.second.home, ForwardCancelMessage{item.first});
    return true;
  });
}

bool Forwarder::IsIdle() const {
  const bool has_open_sink = std::any_of(m_peer_sinks.begin(), m_peer_sinks.end(),
                                         [](const auto& item) { return item.second->IsOpen(); });
  return m_active_forwards.empty() && m_pending_forwards.empty() && !has_open_sink;
}

Forwarder::ActiveForward* Forwarder::FindActiveForward(const InstanceId& home,
                                                       std::uint64_t exchange) {
  const auto found = m_active_forwards.find(exchange);
  const bool is_known = found != m_active_forwards.end() && found->second.home == home;
  return is_known ? &found->second : nullptr;
}

void Forwarder::OnPeerMessage(const InstanceId& from, const PeerMessage& message) {
  if (const auto* forward = std::get_if<ForwardMessage>(&message)) {
    OnForward(from, *forward);
  } else if (const auto* cancel = std::get_if<ForwardCancelMessage>(&message)) {
    const auto found = m_peer_sinks.find({from, cancel->exchange});
    if (found == m_peer_sinks.end()) return;
    m_home.Detach(found->second.get());
    m_peer_sinks.erase(found);
  } else {
    RelayAnswer(from, message);
  }
}

void Forwarder::OnForward(const InstanceId& from, const ForwardMessage& message) {
  std::erase_if(m_peer_sinks, [](const auto& item) { return item.second->HasEnded(); });
  auto sink = std::make_shared<PeerSink>(m_network, from, message.exchange);
  const Result<ParsedRequestId> id = ParseRequestId(message.id.Text());
  if (!IsOk(id)) return sink->OnEnd(MakeErrorEnd(ErrorOf(id)));
  m_peer_sinks[{from, message.exchange}] = sink;
  if (message.body.empty()) {
    m_home.Fetch(std::get<ParsedRequestId>(id), message.offset, sink);
  } else {
    m_home.Submit(std::get<ParsedRequestId>(id), message.body, sink);
  }
}

void Forwarder::RelayAnswer(const InstanceId& from, const PeerMessage& message) {
  if (const auto* head = std::get_if<AnswerHeadMessage>(&message)) {
    if (ActiveForward* forward = FindActiveForward(from, head->exchange)) {
      forward->sink->OnHead({forward->id, BackendId(head->backend), head->resume_token});
    }
  } else if (const auto* data = std::get_if<AnswerDataMessage>(&message)) {
    if (ActiveForward* forward = FindActiveForward(from, data->exchange))
      forward->sink->OnData(data->offset, data->bytes);
  } else if (const auto* end = std::get_if<AnswerEndMessage>(&message)) {
    ActiveForward* forward = FindActiveForward(from, end->exchange);
    if (forward == nullptr) return;
    AnswerEnd answer{end->outcome, end->length, std::nullopt};
    if (end->has_error) answer.error = Error{end->kind, end->message, end->field};
    const auto sink = forward->sink;
    m_active_forwards.erase(end->exchange);
    sink->OnEnd(answer);
  }
}

void Forwarder::OnLinkUp(const InstanceId& /*peer*/, Incarnation /*incarnation*/) {
  RetryPending();
}

void Forwarder::OnLinkDown(const InstanceId& peer) {
  for (auto& [key, sink] : m_peer_sinks) {
    if (key.first != peer) continue;
    sink->Close();
    m_home.Detach(sink.get());
  }
  std::vector<std::shared_ptr<AnswerSink>> lost_sinks;
  std::erase_if(m_active_forwards, [&](const auto& item) {
    if (item.second.home != peer) return false;
    lost_sinks.push_back(item.second.sink);
    return true;
  });
  for (const auto& sink : lost_sinks) sink->OnEnd(MakeErrorEnd(MakeUnreachableError(peer)));
}

}  // namespace bluebellpass
