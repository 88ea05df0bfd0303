#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "answer.h"
#include "bluebellpass/peer.h"
#include "home-task.h"
#include "kernel/loop.h"

namespace bluebellpass {

/// Forwards requests to their homes on other instances and relays the answers. Serves the requests
/// that other instances forward to this one.
class Forwarder : public PeerListener {
 public:
  Forwarder(EventLoop& loop, PeerNetwork& network, HomeTask& home);
  ~Forwarder() override;

  /// Sends a submission, or a fetch of its answer, to the home named in the id. The answer ends
  /// with kHomeUnreachable if the home cannot be reached or the link breaks.
  /// @param body JSON of the submission; empty for a fetch
  /// @param offset first byte of the answer to send
  void Forward(const ParsedRequestId& id, std::string body, std::uint64_t offset,
               std::shared_ptr<AnswerSink> sink);

  /// Stops relaying an answer whose reader has disconnected, and informs the home.
  void Cancel(const AnswerSink* sink);

  /// @return true if no answer is being relayed or awaited
  bool IsIdle() const;

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override {}
  void OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) override {}

 private:
  struct ActiveForward {
    InstanceId home;
    RequestId id;
    std::shared_ptr<AnswerSink> sink;
  };
  /// A request held back until the link to its home is up.
  struct PendingForward {
    ParsedRequestId id;
    std::string body;
    std::uint64_t offset;
    std::shared_ptr<AnswerSink> sink;
    TimePoint expires_at;
  };
  class PeerSink;

  bool TrySend(const ParsedRequestId& id, const std::string& body, std::uint64_t offset,
               const std::shared_ptr<AnswerSink>& sink);
  void RetryPending();
  void OnForward(const InstanceId& from, const ForwardMessage& message);
  void RelayAnswer(const InstanceId& from, const PeerMessage& message);
  ActiveForward* FindActiveForward(const InstanceId& home, std::uint64_t exchange);

  EventLoop& m_loop;
  PeerNetwork& m_network;
  HomeTask& m_home;
  /// Starts at the incarnation, so that a delayed answer to an earlier incarnation of this instance
  /// matches no current exchange.
  std::uint64_t m_next_exchange;
  std::unordered_map<std::uint64_t, ActiveForward> m_active_forwards;
  std::vector<PendingForward> m_pending_forwards;
  /// Answers being sent to other instances, by instance and exchange.
  std::map<std::pair<InstanceId, std::uint64_t>, std::shared_ptr<PeerSink>> m_peer_sinks;
  Timer m_retry_timer;
};

}  // namespace bluebellpass
