#include "rollout-task.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "bluebellpass/event.h"

namespace bluebellpass::gateway {
namespace {

constexpr Millis kUpdatePeriod{100};

std::int64_t AsInt(std::uint64_t number) { return static_cast<std::int64_t>(number); }

}  // namespace

RolloutTask::RolloutTask(TimerService& timers, StoreClient& store, const Protocol& protocol,
                         RolloutController& controller, std::function<void()> on_change)
    : m_timers(timers),
      m_store(store),
      m_protocol(protocol),
      m_controller(controller),
      m_on_change(std::move(on_change)),
      m_timer(timers) {}

void RolloutTask::Reject(const std::string& name, const std::string& reason) {
  LogEvent(EventId::kRolloutRejected, {{"object", name}, {"reason", reason}});
}

void RolloutTask::OnObject(const StoredObject& object) {
  Result<RolloutEntry> entry = Error{ErrorKind::kNotFound, "deleted", ""};
  if (!object.is_deleted) {
    entry = m_protocol.DecodeRollout(object);
    if (!IsOk(entry)) Reject(object.name, ErrorOf(entry).message);
  }
  if (IsOk(entry)) {
    m_controller.SetEntry(std::get<RolloutEntry>(entry), m_timers.Now());
  } else {
    // An order that became unusable has ended too: its status could not be written any more, since
    // the object has another revision.
    m_controller.RemoveEntry(ServiceName(object.name), m_timers.Now());
  }
  m_on_change();
  Update();
}

void RolloutTask::Update() {
  LogChanges();
  for (const RolloutStatusWrite& write : m_controller.TakeStatusWrites(m_timers.Now()))
    Write(write);
  const bool is_needed = m_controller.HasUnfinishedOrders();
  if (is_needed == std::exchange(m_is_timer_running, is_needed)) return;
  if (!is_needed) return m_timer.Stop();
  m_timer.StartPeriodic(kUpdatePeriod, [this] {
    m_on_change();
    Update();
  });
}

void RolloutTask::Write(const RolloutStatusWrite& write) {
  m_store.PutStatus(ObjectKind::kRollouts, write.service.Text(), write.expected,
                    m_protocol.EncodeRolloutStatus(write.status),
                    [this, alive = m_alive, write](const Result<Revision>& result) {
                      if (!*alive) return;
                      LogEvent(EventId::kRolloutStatusWritten,
                               {{"service", write.service.Text()},
                                {"target", write.status.target.Text()},
                                {"state", std::string(NameOf(write.status.state))},
                                {"phase", std::string(NameOf(write.status.phase))},
                                {"exposure_limit", AsInt(write.status.exposure_limit)},
                                {"error", IsOk(result) ? "" : ErrorOf(result).message}});
                      m_controller.OnStatusWritten(write.service, result, m_timers.Now());
                      m_on_change();
                      Update();
                    });
}

void RolloutTask::LogChanges() {
  for (const RolloutSummary& change : m_controller.TakeChanges())
    LogEvent(EventId::kRolloutChanged, {{"service", change.order.service.Text()},
                                        {"target", change.order.target.Text()},
                                        {"state", std::string(NameOf(change.state))},
                                        {"phase", std::string(NameOf(change.phase))},
                                        {"elapsed_ms", change.elapsed.count()},
                                        {"deadline_ms", change.order.deadline.count()},
                                        {"target_results", AsInt(change.target.results)},
                                        {"target_failures", AsInt(change.target.failures)},
                                        {"old_results", AsInt(change.old.results)},
                                        {"old_failures", AsInt(change.old.failures)},
                                        {"exposure_limit", AsInt(change.exposure_limit)},
                                        {"reason", change.reason}});
}

}  // namespace bluebellpass::gateway
