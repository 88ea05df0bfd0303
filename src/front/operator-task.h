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

/// What the operator task works with; all of it outlives the task.
struct OperatorContext {
  EventLoop& loop;
  PeerNetwork& network;
  ConfigService& config;
  HomeTask& home;
  OwnerTask& owner;
};

/// Carries out operators' commands: queries over the whole fleet and changes of the configuration.
class OperatorTask : public PeerListener {
 public:
  /// @param status HTTP status of the reply
  using Reply = std::function<void(int status, std::string json)>;
  /// Accepts a `load` command; gives the version of the desired state when it is written.
  using OrderHandler = std::function<void(const LoadCommand& command,
                                          std::function<void(Result<ObjectVersion>)> done)>;
  /// @return the state of the order of a backend server of a cell that is owned here, as text
  using OrderView = std::function<std::string(const BackendId& backend)>;

  explicit OperatorTask(OperatorContext context);
  OperatorTask(const OperatorTask&) = delete;
  OperatorTask& operator=(const OperatorTask&) = delete;

  /// Executes one command.
  /// @param reply gets {"rows", "missing"} for queries, {"accepted"} for changes, {"error"} else
  void Execute(const std::string& text, Reply reply);

  void SetOrderHandler(OrderHandler handler) { m_orders = std::move(handler); }
  void SetOrderView(OrderView view) { m_order_view = std::move(view); }

  void OnPeerMessage(const InstanceId& from, const PeerMessage& message) override;
  void OnLinkUp(const InstanceId& peer, Incarnation incarnation) override;
  void OnLinkDown(const InstanceId& peer) override;
  void OnMembersChanged() override {}
  void OnPeerStatus(const InstanceId& /*peer*/, const PeerStatus& /*status*/) override {}

 private:
  /// A query that waits for other instances.
  struct Query {
    explicit Query(TimerService& timers) : timer(timers) {}
    ShowCommand command;
    std::string text;
    Reply reply;
    nlohmann::ordered_json rows = nlohmann::ordered_json::array();
    std::set<InstanceId> missing;
    Timer timer;
  };

  void Show(const ShowCommand& command, const std::string& text, Reply reply);
  void FinishQuery(std::uint64_t exchange);
  void NoteReply(const InstanceId& from, std::uint64_t exchange, const std::string* json);
  void ChangeConfig(const Command& command, Reply reply);
  void Release(const ReleaseCommand& command, const Reply& reply);
  nlohmann::ordered_json LocalRows(const ShowCommand& command) const;
  nlohmann::ordered_json RequestRows(const std::vector<RequestRow>& rows) const;
  nlohmann::ordered_json BackendRows() const;
  nlohmann::ordered_json InstanceRows() const;
  nlohmann::ordered_json ConfigRows() const;
  nlohmann::ordered_json QuarantineRows() const;

  OperatorContext m_context;
  OrderHandler m_orders;
  OrderView m_order_view;
  std::uint64_t m_next_exchange;  ///< starts at the incarnation, as that of forwarded requests
  std::map<std::uint64_t, std::unique_ptr<Query>> m_queries;
};

}  // namespace bluebellpass
