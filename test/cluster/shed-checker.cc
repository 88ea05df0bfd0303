#include "shed-checker.h"

#include <nlohmann/json.hpp>

namespace bluebellpass::test {
namespace {

using nlohmann::json;

/// When a request was received and dispatched by its home.
struct WaitingRequest {
  std::string instance;
  std::string pool;
  int rank = 0;
  HybridTime received = 0;
  HybridTime dispatched = 0;  ///< 0 if it has not been dispatched
};

struct Refusal {
  std::string request;
  std::string pool;
  int rank = 0;
  HybridTime time = 0;
};

/// Waiting and refused requests, collected from events.
class RequestHistory {
 public:
  explicit RequestHistory(const std::map<std::string, int>& ranks) : m_ranks(ranks) {}

  void AddEvent(const TimelineEvent& event) {
    if (event.name == "dispatched") {
      const auto found = m_waiting_requests.find(event.request);
      if (found != m_waiting_requests.end()) found->second.dispatched = event.time;
      return;
    }
    if (event.name != "received" && event.name != "not_run") return;
    const json fields = json::parse(event.json, nullptr, false);
    const auto rank = m_ranks.find(fields.value("tier", ""));
    if (rank == m_ranks.end()) return;
    const std::string pool = fields.value("pool", "");
    if (event.name == "received") {
      m_waiting_requests[event.request] = {event.instance, pool, rank->second, event.time, 0};
    } else if (fields.value("error", "") == "overloaded") {
      m_refusals.push_back({event.request, pool, rank->second, event.time});
    }
  }

  /// @return the id of a less urgent request that kept waiting and was dispatched after the
  /// refusal; null if there is none
  const std::string* FindKeptRequest(const Refusal& refusal) const {
    for (const auto& [id, waiting] : m_waiting_requests) {
      const bool is_lower = waiting.pool == refusal.pool && waiting.rank > refusal.rank;
      if (is_lower && waiting.received < refusal.time && waiting.dispatched > refusal.time) {
        return &id;
      }
    }
    return nullptr;
  }

  const std::vector<Refusal>& Refusals() const { return m_refusals; }
  const WaitingRequest& WaitingRequestOf(const std::string& id) const {
    return m_waiting_requests.at(id);
  }

 private:
  const std::map<std::string, int>& m_ranks;
  std::map<std::string, WaitingRequest> m_waiting_requests;
  std::vector<Refusal> m_refusals;
};

}  // namespace

std::vector<std::string> CheckSheds(const std::vector<TimelineEvent>& events,
                                    const std::map<std::string, int>& ranks) {
  RequestHistory history(ranks);
  for (const TimelineEvent& event : events) history.AddEvent(event);
  std::vector<std::string> violations;
  for (const Refusal& refusal : history.Refusals()) {
    const std::string* kept_id = history.FindKeptRequest(refusal);
    if (kept_id == nullptr) continue;
    const WaitingRequest& waiting = history.WaitingRequestOf(*kept_id);
    violations.push_back(refusal.request + " of rank " + std::to_string(refusal.rank) +
                         " was refused while " + waiting.instance + " kept " + *kept_id +
                         " of rank " + std::to_string(waiting.rank));
  }
  return violations;
}

}  // namespace bluebellpass::test
