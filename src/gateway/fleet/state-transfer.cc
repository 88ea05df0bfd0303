#include "state-transfer.h"

#include <algorithm>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

// Transfers that are sent in turns. More would hold more encoded contents in memory and make each
// one slower.
constexpr std::size_t kMaxActiveTransfers = 4;
// Waiting requests: three kinds of each of 400 instances.
constexpr std::size_t kMaxWaitingTransfers = 1'200;
// Most bytes of a transfer: all kinds of the largest fleet take a tenth.
constexpr std::size_t kMaxTransferBytes = 32U << 20U;
// The store usually answers an instance that lacks a change within this time.
constexpr Millis kRequestDelay{100};
// An unfinished transfer without a new piece for this long is asked for again. Transfers in
// progress get a piece every 0.13 s.
constexpr Millis kTransferTimeout{1'000};

}  // namespace

void TransferSender::Add(const InstanceId& follower, StateRequestMessage request) {
  const auto is_same = [&](const Transfer& transfer) {
    return transfer.follower == follower && transfer.request.kind == request.kind;
  };
  std::erase_if(m_active, is_same);
  // A repeated request keeps its place, or it would never be answered in a crowd.
  const auto waiting = std::find_if(m_waiting.begin(), m_waiting.end(), is_same);
  if (waiting != m_waiting.end()) {
    waiting->request = std::move(request);
    return;
  }
  if (m_waiting.size() >= kMaxWaitingTransfers) return;
  // Without a confirmed configuration an instance refuses all requests with keys.
  const bool is_first = request.kind == ObjectKind::kConfig;
  const auto position = is_first
                            ? std::find_if(m_waiting.begin(), m_waiting.end(),
                                           [](const Transfer& transfer) {
                                             return transfer.request.kind != ObjectKind::kConfig;
                                           })
                            : m_waiting.end();
  m_waiting.insert(position, Transfer{follower, std::move(request), {}, 0, 0});
}

void TransferSender::RemoveFollower(const InstanceId& follower) {
  const auto is_same = [&](const Transfer& transfer) { return transfer.follower == follower; };
  std::erase_if(m_active, is_same);
  std::erase_if(m_waiting, is_same);
}

void TransferSender::Clear() {
  m_active.clear();
  m_waiting.clear();
}

void TransferSender::StartTransfers(const ContentSource& source) {
  while (m_active.size() < kMaxActiveTransfers && !m_waiting.empty()) {
    Transfer transfer = std::move(m_waiting.front());
    m_waiting.pop_front();
    std::optional<std::string> content = source(transfer.request);
    if (!content) continue;
    if (content->size() > kMaxTransferBytes) {
      LogEvent(EventId::kMessageOversized, {{"peer", transfer.follower.Text()},
                                            {"message", "state"},
                                            {"object", ""},
                                            {"bytes", static_cast<std::int64_t>(content->size())}});
      continue;
    }
    transfer.content = std::move(*content);
    m_active.push_back(std::move(transfer));
  }
}

std::vector<std::pair<InstanceId, StatePieceMessage>> TransferSender::NextPieces(
    const ContentSource& source) {
  std::vector<std::pair<InstanceId, StatePieceMessage>> pieces;
  std::size_t budget = kMaxPieceBytes;
  while (true) {
    StartTransfers(source);
    if (m_active.empty()) return pieces;
    Transfer& transfer = m_active.front();
    const std::size_t size =
        std::min(transfer.content.size() - transfer.sent_bytes, kMaxPieceBytes);
    if (size > budget) return pieces;
    budget -= size;
    StatePieceMessage piece;
    piece.kind = transfer.request.kind;
    piece.id = transfer.request.id;
    piece.index = transfer.next_index++;
    piece.total_bytes = transfer.content.size();
    piece.bytes = transfer.content.substr(transfer.sent_bytes, size);
    transfer.sent_bytes += size;
    pieces.emplace_back(transfer.follower, std::move(piece));
    if (transfer.sent_bytes == transfer.content.size()) {
      m_active.pop_front();
    } else {
      m_active.splice(m_active.end(), m_active, m_active.begin());
    }
  }
}

void TransferReceiver::Reset() {
  m_is_open = false;
  m_needs_whole = false;
  m_lacking_since.reset();
  m_bytes = std::string();
}

bool TransferReceiver::IsRequestDue(bool is_lacking, BootTime now) {
  if (!is_lacking) {
    Reset();
    return false;
  }
  if (!m_lacking_since) m_lacking_since = now;
  if (m_is_open) return now - m_progress_at >= kTransferTimeout;
  return now - *m_lacking_since >= kRequestDelay;
}

StateRequestMessage TransferReceiver::StartRequest(ObjectKind kind, BootTime now) {
  m_is_open = true;
  m_requested_at = now;
  m_progress_at = now;
  m_next_index = 0;
  m_bytes = std::string();
  StateRequestMessage request;
  request.kind = kind;
  request.id = ++m_id;
  request.is_whole = m_needs_whole;
  return request;
}

std::optional<TransferReceiver::Completed> TransferReceiver::AddPiece(
    const StatePieceMessage& piece, BootTime now) {
  // A piece after a lost one is dropped as well; the time-out then repeats the request.
  if (!m_is_open || piece.id != m_id || piece.index != m_next_index) return std::nullopt;
  if (piece.total_bytes > kMaxTransferBytes ||
      piece.bytes.size() >
          piece.total_bytes - std::min<std::size_t>(m_bytes.size(), piece.total_bytes))
    return std::nullopt;
  ++m_next_index;
  m_progress_at = now;
  m_bytes += piece.bytes;
  if (m_bytes.size() < piece.total_bytes) return std::nullopt;
  Result<StateContent> content = DecodeStateContent(m_bytes);
  m_bytes = std::string();
  if (!IsOk(content)) {
    // Stays open until the time-out, so that a malformed content is not asked for in a loop.
    m_needs_whole = true;
    return std::nullopt;
  }
  m_is_open = false;
  m_needs_whole = false;
  m_lacking_since.reset();
  return Completed{std::get<StateContent>(std::move(content)), m_requested_at};
}

}  // namespace bluebellpass::gateway
