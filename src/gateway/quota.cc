#include "quota.h"

#include <algorithm>
#include <cmath>

namespace bluebellpass::gateway {
namespace {

// Requests reach backend servers some time after they were counted, so that a window at a backend
// server can hold a little more than was handed out in one.
constexpr double kToleranceUsed = 0.9;

}  // namespace

double QuotaLimiter::CostOf(const Organisation& organisation, const CallerRequest& request) {
  if (!organisation.is_quota_in_tokens) return 1;
  if (!request.prompt_tokens) return static_cast<double>(organisation.default_tokens);
  return static_cast<double>(*request.prompt_tokens + request.max_output_tokens);
}

void QuotaLimiter::Reset(TimePoint now) {
  m_buckets.clear();
  m_restarted = now;
}

double QuotaLimiter::CapacityOf(const Organisation& organisation) const {
  // What a window may hold beyond the steady rate.
  const double window_s = static_cast<double>(m_tolerance.window.count()) / 1000;
  const double steady = organisation.rate_per_s * window_s;
  const double largest =
      (steady + organisation.burst) * (1 + m_tolerance.excess_ratio) + m_tolerance.slack - steady;
  return std::max(organisation.burst, largest * kToleranceUsed) * m_share;
}

QuotaLimiter::Bucket& QuotaLimiter::Refill(const Organisation& organisation, TimePoint now) {
  const double capacity = CapacityOf(organisation);
  const double rate = organisation.rate_per_s * m_share;
  const auto [found, is_new] = m_buckets.try_emplace(organisation.id);
  Bucket& bucket = found->second;
  if (is_new && !m_restarted) {
    bucket.level = capacity;
  } else {
    const TimePoint since = is_new ? *m_restarted : bucket.at;
    const double seconds = std::chrono::duration<double>(now - since).count();
    bucket.level = std::min(capacity, bucket.level + seconds * rate);
  }
  bucket.at = now;
  bucket.capacity = capacity;
  bucket.rate = rate;
  return bucket;
}

bool QuotaLimiter::TryTake(const Organisation& organisation, double cost, TimePoint now) {
  if (organisation.rate_per_s <= 0) return true;
  Bucket& bucket = Refill(organisation, now);
  // A request larger than the whole bucket may empty it, or it could never run.
  if (bucket.level < std::min(cost, bucket.capacity)) return false;
  bucket.level -= cost;
  return true;
}

void QuotaLimiter::Reserve(const OrganisationId& organisation, double cost) {
  m_reserved[organisation] += cost;
}

void QuotaLimiter::ReleaseReservation(const OrganisationId& organisation, double cost) {
  const auto found = m_reserved.find(organisation);
  if (found == m_reserved.end()) return;
  found->second -= cost;
  if (found->second <= 0) m_reserved.erase(found);
}

Millis QuotaLimiter::TimeUntilAvailable(const Organisation& organisation, double cost,
                                        TimePoint now) {
  if (organisation.rate_per_s <= 0) return Millis{0};
  const Bucket& bucket = Refill(organisation, now);
  const auto reserved = m_reserved.find(organisation.id);
  const double held = reserved == m_reserved.end() ? 0 : reserved->second;
  const double missing = std::min(cost, bucket.capacity) + held - bucket.level;
  if (missing <= 0 || bucket.rate <= 0) return Millis{0};
  return Millis(static_cast<std::int64_t>(std::ceil(missing / bucket.rate * 1000)));
}

void RetryBudget::Expire(TimePoint now) {
  const TimePoint since = now - m_options.window;
  while (!m_requests.empty() && m_requests.front() < since) m_requests.pop_front();
  while (!m_repeats.empty() && m_repeats.front() < since) m_repeats.pop_front();
}

void RetryBudget::RecordRequest(TimePoint now) {
  Expire(now);
  m_requests.push_back(now);
}

bool RetryBudget::TryRetry(TimePoint now) {
  Expire(now);
  const double allowed =
      m_options.ratio * static_cast<double>(m_requests.size()) + m_options.min_retries;
  if (static_cast<double>(m_repeats.size()) + 1 > allowed) return false;
  m_repeats.push_back(now);
  return true;
}

void RetryBudgets::SetOptions(const RetryBudget::Options& options) {
  m_options = options;
  for (auto& [service, budget] : m_budgets) budget.SetOptions(options);
}

RetryBudget& RetryBudgets::For(const ServiceName& service) {
  return m_budgets.try_emplace(service, m_options).first->second;
}

}  // namespace bluebellpass::gateway
