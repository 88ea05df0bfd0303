#include "fleet.h"
#include "kernel/loop.h"

namespace bluebellpass::gateway {

void Fleet::RequestMissingState() {
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

}  // namespace bluebellpass::gateway
