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

/// Passes requests to their homes on other instances and relays the answers, in both directions.
class Forwarder : public PeerListener {
 public:
  Forwarder(EventLoop& loop, PeerNetwork& network, HomeTask& home);
  ~Forwarder() override;

  /// Sends a request, or a fetch, to the home that its id names.
  /// @param body JSON of the submission; empty for a fetch from the offset
  /// The sink ends with kHomeUnreachable when the home cannot be reached or the link breaks.
  void Forward(const ParsedRequestId& id, std::string body, std::uint64_t offset,
               std::shared_ptr<AnswerSink> sink);

  /// Tells the home that a reader has gone.
  void Cancel(const AnswerSink* sink);

  /// @return true when no answer is being relayed
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
  /// Waits for a link that is being opened.
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
  ActiveForward* FindActive(const InstanceId& home, std::uint64_t exchange);

  EventLoop& m_loop;
  PeerNetwork& m_network;
  HomeTask& m_home;
  /// Starts at the incarnation, so that an answer to an earlier run of this instance, which may
  /// still be on its way, fits no exchange of this one.
  std::uint64_t m_next_exchange;
  std::unordered_map<std::uint64_t, ActiveForward> m_active;
  std::vector<PendingForward> m_pending;
  /// Answers being sent to other instances, by reader and exchange.
  std::map<std::pair<InstanceId, std::uint64_t>, std::shared_ptr<PeerSink>> m_peer_sinks;
  Timer m_retry_timer;
};

}  // namespace bluebellpass
