#include "shed-checker.h"

#include <nlohmann/json.hpp>

namespace bluebellpass::test {
namespace {

using nlohmann::json;

/// The time that a request spent undispatched at its home.
struct Waiting {
  std::string instance;
  std::string pool;
  int rank = 0;
  HybridTime received = 0;
  HybridTime dispatched = 0;  ///< 0 while it is not
};

struct Refusal {
  std::string request;
  std::string pool;
  int rank = 0;
  HybridTime time = 0;
};

/// What the time line says about requests.
class Requests {
 public:
  explicit Requests(const std::map<std::string, int>& ranks) : m_ranks(ranks) {}

  void Take(const TimelineEvent& event) {
    if (event.name == "dispatched") {
      const auto found = m_waiting.find(event.request);
      if (found != m_waiting.end()) found->second.dispatched = event.time;
      return;
    }
    if (event.name != "received" && event.name != "not_run") return;
    const json fields = json::parse(event.json, nullptr, false);
    const auto rank = m_ranks.find(fields.value("tier", ""));
    if (rank == m_ranks.end()) return;
    const std::string pool = fields.value("pool", "");
    if (event.name == "received") {
      m_waiting[event.request] = {event.instance, pool, rank->second, event.time, 0};
    } else if (fields.value("error", "") == "overloaded") {
      m_refusals.push_back({event.request, pool, rank->second, event.time});
    }
  }

  /// @return a request that was kept although the refused one is more urgent
  const std::string* FindKept(const Refusal& refusal) const {
    for (const auto& [id, waiting] : m_waiting) {
      const bool is_lower = waiting.pool == refusal.pool && waiting.rank > refusal.rank;
      if (is_lower && waiting.received < refusal.time && waiting.dispatched > refusal.time) {
        return &id;
      }
    }
    return nullptr;
  }

  const std::vector<Refusal>& Refusals() const { return m_refusals; }
  const Waiting& At(const std::string& id) const { return m_waiting.at(id); }

 private:
  const std::map<std::string, int>& m_ranks;
  std::map<std::string, Waiting> m_waiting;
  std::vector<Refusal> m_refusals;
};

}  // namespace

std::vector<std::string> CheckSheds(const std::vector<TimelineEvent>& events,
                                    const std::map<std::string, int>& ranks) {
  Requests requests(ranks);
  for (const TimelineEvent& event : events) requests.Take(event);
  std::vector<std::string> violations;
  for (const Refusal& refusal : requests.Refusals()) {
    const std::string* kept = requests.FindKept(refusal);
    if (kept == nullptr) continue;
    const Waiting& waiting = requests.At(*kept);
    violations.push_back(refusal.request + " of rank " + std::to_string(refusal.rank) +
                         " was refused while " + waiting.instance + " kept " + *kept + " of rank " +
                         std::to_string(waiting.rank));
  }
  return violations;
}

}  // namespace bluebellpass::test
