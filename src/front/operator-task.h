#pragma once

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "bluebellpass/peer.h"
#include "cli/command.h"
#include "config/config-service.h"
#include "home/home-task.h"
#include "kernel/loop.h"
#include "owner/owner-task.h"

namespace bluebellpass {

/// Dependencies of the operator task. The referenced objects must outlive it.
struct OperatorContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  HomeTask& home;
  OwnerTask& owner;
};

/// Executes operators' commands: queries over all instances, configuration changes, releases from
/// quarantine and orders to load a model.
class OperatorTask : public PeerListener {
 public:
  /// @param status HTTP status of the reply
  using ReplyFunction = std::function<void(int status, std::string json)>;
  /// Accepts a `load` command, and passes on the version of the desired state once it is written.
  using LoadHandler = std::function<void(const LoadCommand& command,
                                         std::function<void(Result<ObjectVersion>)> done)>;
  /// @return state of the order for a backend server in a cell that this instance owns, as text
  using OrderStateSource = std::function<std::string(const BackendId& backend)>;

  explicit OperatorTask(OperatorContext context);
  OperatorTask(const OperatorTask&) = delete;
  OperatorTask& operator=(const OperatorTask&) = delete;

  /// Parses and executes a command.
  /// @param reply called with JSON: {"rows", "missing"} for a query, {"accepted"} for a change,
  /// {"error"} on failure
  void ExecuteCommand(const std::string& text, ReplyFunction reply);

  void SetLoadHandler(LoadHandler handler) { m_load_handler = std::move(handler); }
  void SetOrderStateSource(OrderStateSource source) { m_order_state_source = std::move(source); }

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override {}
  void OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) override {}

 private:
  /// A query that is waiting for replies of other instances.
  struct PendingQuery {
    explicit PendingQuery(TimerService& timers) : timer(timers) {}
    ShowCommand command;
    std::string text;
    ReplyFunction reply;
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    std::set<InstanceId> missing;  ///< instances that have not replied
    Timer timer;
  };

  void ExecuteShow(const ShowCommand& command, const std::string& text, ReplyFunction reply);
  void FinishQuery(std::uint64_t exchange);
  void AddReply(const InstanceId& from, std::uint64_t exchange, const std::string* json);
  void ChangeConfig(const Command& command, ReplyFunction reply);
  void ReleaseFingerprint(const ReleaseCommand& command, const ReplyFunction& reply);
  nlohmann::ordered_json CollectLocalRows(const ShowCommand& command) const;
  nlohmann::ordered_json MakeRequestRows(const std::vector<RequestRow>& rows) const;
  nlohmann::ordered_json MakeBackendRows() const;
  nlohmann::ordered_json MakeInstanceRows() const;
  nlohmann::ordered_json MakeConfigRows() const;
  nlohmann::ordered_json MakeQuarantineRows() const;

  OperatorContext m_context;
  LoadHandler m_load_handler;
  OrderStateSource m_order_state_source;
  /// Starts at the incarnation, so that a delayed reply to an earlier incarnation of this instance
  /// matches no current query.
  std::uint64_t m_next_exchange;
  std::map<std::uint64_t, std::unique_ptr<PendingQuery>> m_pending_queries;
};

}  // namespace bluebellpass
