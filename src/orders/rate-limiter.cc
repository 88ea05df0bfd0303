#include "orders/rate-limiter.h"

#include <utility>

namespace bluebellpass {
namespace {

// An instance makes one attempt at a time, so that its attempts do not conflict.
constexpr Millis kBusyDelay{200};
// Delay before the record is read again after a conflict or a lost response.
constexpr Millis kErrorDelay{500};

}  // namespace

void RateLimiter::Acquire(const std::string& id, double per_minute, Done done) {
  if (m_is_busy) return done(kBusyDelay);
  m_is_busy = true;
  m_store.Get(std::string(kLoadRecordKey),
              [this, id, per_minute, weak = std::weak_ptr(m_alive),
               done = std::move(done)](const Result<VersionedObject>& result) {
                if (!weak.expired()) OnRead(result, id, per_minute, done);
              });
}

void RateLimiter::OnRead(const Result<VersionedObject>& result, const std::string& id,
                         double per_minute, const Done& done) {
  const auto end = [this, &done](std::optional<Millis> wait) {
    m_is_busy = false;
    done(wait);
  };
  std::optional<LoadRecord> record;
  ObjectVersion version;
  if (IsOk(result)) {
    record = LoadRecord::Parse(std::get<VersionedObject>(result).value);
    version = std::get<VersionedObject>(result).version;
  } else if (ErrorOf(result).kind == ErrorKind::kNotFound) {
    record.emplace();
  }
  if (!record.has_value()) return end(kErrorDelay);
  if (record->HasLoad(id)) return end(std::nullopt);
  const auto wait = record->TryAdd(id, m_wall_clock(), per_minute);
  if (wait.has_value()) return end(wait);
  m_store.Put(std::string(kLoadRecordKey), record->Format(), version,
              [this, done, weak = std::weak_ptr(m_alive)](const Result<ObjectVersion>& written) {
                if (weak.expired()) return;
                m_is_busy = false;
                done(IsOk(written) ? std::nullopt : std::optional(kErrorDelay));
              });
}

}  // namespace bluebellpass
