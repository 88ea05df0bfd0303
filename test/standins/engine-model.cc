#include "engine-model.h"

#include <algorithm>

namespace bluebellpass::test {

void EngineModel::Admit(const std::string& id, std::int64_t prompt_tokens,
                        std::int64_t output_tokens, TimePoint now) {
  if (m_running.empty() && m_queue.empty()) m_step_started = std::max(m_step_started, now);
  m_queue.push_back({id, {prompt_tokens, std::max<std::int64_t>(output_tokens, 1), 0}});
  FillSlots();
}

void EngineModel::FillSlots() {
  while (static_cast<int>(m_running.size()) < m_options.slots && !m_queue.empty()) {
    m_running.push_back(std::move(m_queue.front()));
    m_queue.erase(m_queue.begin());
  }
}

void EngineModel::Cancel(const std::string& id) {
  const auto has_id = [&](const auto& item) { return item.first == id; };
  std::erase_if(m_running, has_id);
  std::erase_if(m_queue, has_id);
  FillSlots();
}

std::vector<EngineModel::Event> EngineModel::RunUntil(TimePoint now) {
  std::vector<Event> events;
  while (!m_running.empty()) {
    std::int64_t budget = m_options.chunk_tokens;
    std::int64_t prefilled = 0;
    for (const auto& [id, request] : m_running) {
      const std::int64_t chunk = std::min(budget - prefilled, request.unprefilled_tokens);
      prefilled += chunk;
    }
    const double ms =
        m_options.step_ms + static_cast<double>(prefilled) * m_options.prefill_ms_per_token;
    const TimePoint end = m_step_started + std::chrono::duration_cast<TimePoint::duration>(
                                               std::chrono::duration<double, std::milli>(ms));
    if (end > now) break;
    m_step_started = end;
    for (auto& [id, request] : m_running) {
      if (request.unprefilled_tokens > 0) {
        const std::int64_t chunk = std::min(budget, request.unprefilled_tokens);
        request.unprefilled_tokens -= chunk;
        budget -= chunk;
        if (request.unprefilled_tokens > 0) continue;
      }
      ++request.produced_tokens;
      const bool is_end = request.produced_tokens >= request.output_tokens;
      // The first token is sent at once, later ones in groups.
      if (is_end || request.produced_tokens == 1 ||
          request.produced_tokens % m_options.tokens_per_event == 0)
        events.push_back({id, end, is_end});
    }
    std::erase_if(m_running, [](const auto& item) {
      return item.second.unprefilled_tokens == 0 &&
             item.second.produced_tokens >= item.second.output_tokens;
    });
    FillSlots();
  }
  if (m_running.empty()) m_step_started = std::max(m_step_started, now);
  return events;
}

}  // namespace bluebellpass::test
