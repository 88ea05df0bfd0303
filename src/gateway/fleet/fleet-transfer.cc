#include <iterator>

#include "bluebellpass/event.h"
#include "fleet-frames.h"
#include "fleet.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {

void Fleet::RequestMissingState() {
  if (!m_options.has_state_transfer) return;
  if (!m_coordinator_peer || (m_coordinator_peer->features & kFeatureStateTransfer) == 0) return;
  for (StateRequestMessage& request : m_relay->TakeRequests())
    Enqueue(*m_coordinator_peer, std::move(request));
}

void Fleet::SendStatePieces() {
  auto pieces = m_transfers.NextPieces(
      [this](const StateRequestMessage& request) { return m_relay->MakeTransfer(request); });
  // The step after the last piece is waited for too, so that the next request keeps the pace.
  m_is_transferring = !pieces.empty();
  if (!m_is_transferring) return;
  for (auto& [follower, piece] : pieces) SendToFollower(follower, std::move(piece));
  m_transfer_timer.Start(kTransferStep, [this] { SendStatePieces(); });
}

void Fleet::OnSyncRequests(const InstanceId& follower, SyncRequestsMessage message) {
  SyncRequestsMessage& all = m_followers.at(follower).incomplete_sync;
  std::move(message.waiting.begin(), message.waiting.end(), std::back_inserter(all.waiting));
  std::move(message.running.begin(), message.running.end(), std::back_inserter(all.running));
  // The first part has the report of quotas.
  if (message.quota_report.remembered > Millis{0})
    all.quota_report = std::move(message.quota_report);
  if (message.has_more) return;
  SyncRequestsMessage sync = std::exchange(all, {});
  m_coordinator.AddQuotaReport(follower, sync.quota_report, m_loop.Now());
  m_coordinator.SyncRequests(follower, std::move(sync.waiting), sync.running, m_loop.Now(),
                             std::chrono::steady_clock::now());
}

void Fleet::FlushOutboxes() {
  m_is_flush_posted = false;
  const TimePoint now = m_loop.Now();
  // A failed send may close its link, which enqueues messages to others.
  auto outboxes = std::exchange(m_outboxes, {});
  for (auto& [key, outbox] : outboxes) {
    const FleetFrames frames = EncodeFleetFrames(std::move(outbox.messages), now);
    for (const OversizedMessage& message : frames.oversized)
      LogEvent(EventId::kMessageOversized, {{"peer", outbox.link->Peer().id.Text()},
                                            {"message", message.type},
                                            {"object", message.object},
                                            {"bytes", static_cast<std::int64_t>(message.bytes)}});
    for (const std::string& payload : frames.payloads) {
      if (outbox.link->Send(FleetFrame{payload}) || !outbox.link->IsReady()) continue;
      // Both sides report their state over the next link.
      outbox.link->Close("a frame was refused");
      break;
    }
  }
}

}  // namespace bluebellpass::gateway
