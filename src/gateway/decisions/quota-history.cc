#include "quota-history.h"

#include <algorithm>

namespace bluebellpass::gateway {

QuotaSteps::QuotaSteps(Millis window) : m_step(std::max(window / kStepsPerWindow, Millis{1})) {}

std::int64_t QuotaSteps::StepOf(TimePoint time) const {
  return std::chrono::floor<Millis>(time.time_since_epoch()) / m_step;
}

TimePoint QuotaSteps::EndOf(std::int64_t step) const { return TimePoint(m_step * (step + 1)); }

void QuotaSteps::Add(StepAmounts& amounts, TimePoint time, double cost) const {
  const std::int64_t step = StepOf(time);
  const auto place = std::lower_bound(amounts.begin(), amounts.end(), step,
                                      [](const auto& a, std::int64_t b) { return a.first < b; });
  if (place != amounts.end() && place->first == step) {
    place->second += cost;
  } else {
    amounts.emplace(place, step, cost);
  }
}

double GrantHistory::Entry::Ratio() const {
  double sum = 0;
  for (const auto& [step, cost] : amounts) sum += cost;
  return allowance > 0 ? sum / allowance : sum;
}

void GrantHistory::SetWindow(Millis window) {
  if (window == m_window) return;
  m_window = window;
  // The steps of the former window do not fit.
  m_granted.clear();
  m_started_at.reset();
}

void GrantHistory::Record(const Organisation& organisation, double cost, TimePoint now) {
  if (!m_started_at) m_started_at = now;
  const QuotaSteps steps(m_window);
  if (steps.StepOf(now) != steps.StepOf(m_expired_until)) RemoveExpired(now);
  if (m_granted.size() >= kMaxOrganisations && !m_granted.contains(organisation.id))
    DropSmallest(now);
  Entry& entry = m_granted[organisation.id];
  entry.allowance =
      organisation.rate_per_s * static_cast<double>(m_window.count()) / 1000 + organisation.burst;
  steps.Add(entry.amounts, now, cost);
}

void GrantHistory::RemoveExpired(TimePoint now) {
  m_expired_until = now;
  const QuotaSteps steps(m_window);
  for (auto& [id, entry] : m_granted)
    std::erase_if(entry.amounts,
                  [&](const auto& amount) { return steps.EndOf(amount.first) <= now - m_window; });
  std::erase_if(m_granted, [](const auto& granted) { return granted.second.amounts.empty(); });
  if (now - m_omitted_at > m_window) m_max_omitted_ratio = 0;
}

void GrantHistory::DropSmallest(TimePoint now) {
  const auto smallest = std::min_element(
      m_granted.begin(), m_granted.end(),
      [](const auto& a, const auto& b) { return a.second.Ratio() < b.second.Ratio(); });
  m_max_omitted_ratio = std::max(m_max_omitted_ratio, smallest->second.Ratio());
  m_omitted_at = now;
  m_granted.erase(smallest);
}

QuotaReport GrantHistory::Report(TimePoint now) {
  RemoveExpired(now);
  const QuotaSteps steps(m_window);
  QuotaReport report;
  if (m_started_at) report.remembered = std::chrono::duration_cast<Millis>(now - *m_started_at);
  report.max_omitted_ratio = m_max_omitted_ratio;
  for (const auto& [id, entry] : m_granted)
    for (const auto& [step, cost] : entry.amounts)
      report.granted.push_back({id, std::min(steps.EndOf(step), now), cost});
  return report;
}

}  // namespace bluebellpass::gateway
