#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fleet-codec.h"
#include "gateway/state/boot-clock.h"

namespace bluebellpass::gateway {

/// Most bytes of a piece. A grant that is sent after a piece waits 13 ms for it at 10 Mbit/s.
constexpr std::size_t kMaxPieceBytes = 16U << 10U;
/// Bytes of pieces are sent in steps of this length, at most kMaxPieceBytes in each, to all
/// followers together: 0.5 MB/s, two fifths of a link of 10 Mbit/s.
constexpr Millis kTransferStep{32};

/// Sends state to followers in pieces, a few transfers at a time.
class TransferSender {
 public:
  /// @return the encoded content for a request, or nullopt when there is none now
  using ContentSource =
      std::function<std::optional<std::string>(const StateRequestMessage& request)>;

  /// Adds a request. It replaces an earlier one of the same follower and kind.
  void Add(const InstanceId& follower, StateRequestMessage request);
  void RemoveFollower(const InstanceId& follower);
  void Clear();
  /// @return the pieces of one step, at most kMaxPieceBytes together; empty when all is sent
  std::vector<std::pair<InstanceId, StatePieceMessage>> NextPieces(const ContentSource& source);

 private:
  struct Transfer {
    InstanceId follower;
    StateRequestMessage request;
    std::string content;
    std::size_t sent_bytes = 0;
    std::uint32_t next_index = 0;
  };
  void StartTransfers(const ContentSource& source);

  std::deque<Transfer> m_waiting;  ///< without content
  std::list<Transfer> m_active;    ///< the first one sends the next piece
};

/// Asks for the state of one kind of objects and assembles the pieces of the answer.
class TransferReceiver {
 public:
  /// The content of a complete transfer.
  struct Completed {
    StateContent content;
    BootTime requested_at;
  };

  /// Discards the transfer in progress, whose sender no longer coordinates.
  void Reset();
  /// @param is_lacking changes are missing
  /// @return true when a request must be sent now
  bool IsRequestDue(bool is_lacking, BootTime now);
  /// Starts a transfer.
  /// @return the id and the scope of its request
  StateRequestMessage StartRequest(ObjectKind kind, BootTime now);
  /// @return the content when this piece completes the transfer
  std::optional<Completed> AddPiece(const StatePieceMessage& piece, BootTime now);
  /// Makes the next request ask for all objects in full, because a patch could not be applied.
  void RequireWhole() { m_needs_whole = true; }

 private:
  std::uint64_t m_id = 0;  ///< of the latest request; never repeated
  bool m_is_open = false;
  bool m_needs_whole = false;
  std::optional<BootTime> m_lacking_since;
  BootTime m_requested_at;
  BootTime m_progress_at;
  std::uint32_t m_next_index = 0;
  std::string m_bytes;
};

}  // namespace bluebellpass::gateway
