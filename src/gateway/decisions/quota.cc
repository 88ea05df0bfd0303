#include "quota.h"

#include <algorithm>
#include <cmath>

namespace bluebellpass::gateway {
namespace {

// Fraction of the tolerated burst that is granted. Requests reach backend servers with varying
// delays, so a window there may hold a little more than was granted in one.
constexpr double kUsedBurstFraction = 0.9;

}  // namespace

double QuotaLimiter::CostOf(const Organisation& organisation, const CallerRequest& request) {
  if (!organisation.is_quota_in_tokens) return 1;
  if (!request.prompt_tokens) return static_cast<double>(organisation.default_tokens);
  return static_cast<double>(*request.prompt_tokens + request.max_output_tokens);
}

void QuotaLimiter::Reset(TimePoint now) {
  m_buckets.clear();
  m_reset_at = now;
}

double QuotaLimiter::CapacityOf(const Organisation& organisation) const {
  // The largest amount that a window may hold above the steady rate.
  const double window_s = static_cast<double>(m_tolerance.window.count()) / 1000;
  const double steady = organisation.rate_per_s * window_s;
  const double max_burst =
      (steady + organisation.burst) * (1 + m_tolerance.excess_ratio) + m_tolerance.slack - steady;
  return std::max(organisation.burst, max_burst * kUsedBurstFraction) * m_share;
}

QuotaLimiter::Bucket& QuotaLimiter::Refill(const Organisation& organisation, TimePoint now) {
  const double capacity = CapacityOf(organisation);
  const double rate_per_s = organisation.rate_per_s * m_share;
  const auto [found, is_new] = m_buckets.try_emplace(organisation.id);
  Bucket& bucket = found->second;
  if (is_new && !m_reset_at) {
    bucket.level = capacity;
  } else {
    const TimePoint since = is_new ? *m_reset_at : bucket.refilled_at;
    const double elapsed_s = std::chrono::duration<double>(now - since).count();
    bucket.level = std::min(capacity, bucket.level + elapsed_s * rate_per_s);
  }
  bucket.refilled_at = now;
  bucket.capacity = capacity;
  bucket.rate_per_s = rate_per_s;
  return bucket;
}

bool QuotaLimiter::TryTake(const Organisation& organisation, double cost, TimePoint now) {
  if (organisation.rate_per_s <= 0) return true;
  Bucket& bucket = Refill(organisation, now);
  // A request larger than the bucket needs only a full one; otherwise it could never run.
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
  const double reserved_cost = reserved == m_reserved.end() ? 0 : reserved->second;
  const double missing = std::min(cost, bucket.capacity) + reserved_cost - bucket.level;
  if (missing <= 0 || bucket.rate_per_s <= 0) return Millis{0};
  return Millis(static_cast<std::int64_t>(std::ceil(missing / bucket.rate_per_s * 1000)));
}

void RetryBudget::DropExpired(TimePoint now) {
  const TimePoint since = now - m_options.window;
  while (!m_requests.empty() && m_requests.front() < since) m_requests.pop_front();
  while (!m_retries.empty() && m_retries.front() < since) m_retries.pop_front();
}

void RetryBudget::RecordRequest(TimePoint now) {
  DropExpired(now);
  m_requests.push_back(now);
}

bool RetryBudget::TryRetry(TimePoint now) {
  DropExpired(now);
  const double max_retries =
      m_options.ratio * static_cast<double>(m_requests.size()) + m_options.min_retries;
  if (static_cast<double>(m_retries.size()) + 1 > max_retries) return false;
  m_retries.push_back(now);
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
