#include "orders/desired-writer.h"

#include <utility>

namespace bluebellpass {
namespace {

// After about 4 s of failed reads the operator is told that the outcome is uncertain.
constexpr int kMaxReads = 9;
constexpr Millis kReadRetryDelay{500};

}  // namespace

void DesiredWriter::Start(ObjectStore& store, TimerService& timers, const BackendId& backend,
                          DesiredModel desired, Done done) {
  std::make_shared<DesiredWriter>(store, timers, backend, std::move(desired), std::move(done))
      ->Read();
}

DesiredWriter::DesiredWriter(ObjectStore& store, TimerService& timers, const BackendId& backend,
                             DesiredModel desired, Done done)
    : m_store(store),
      m_timers(timers),
      m_key(OrderKey(backend)),
      m_desired(std::move(desired)),
      m_done(std::move(done)),
      m_reads_left(kMaxReads) {}

void DesiredWriter::Read() {
  --m_reads_left;
  m_store.Get(m_key, [self = shared_from_this()](const Result<VersionedObject>& result) {
    self->OnRead(result);
  });
}

void DesiredWriter::OnRead(const Result<VersionedObject>& result) {
  const bool is_missing = !IsOk(result) && ErrorOf(result).kind == ErrorKind::kNotFound;
  if (!IsOk(result) && !is_missing) {
    if (m_is_uncertain) return RetryRead(ErrorOf(result));
    // No write has been sent yet, so the outcome is certain.
    return m_done(Error{ErrorKind::kStoreUnavailable, ErrorOf(result).message, ""});
  }
  if (is_missing) return Write(ObjectVersion());
  const auto& found = std::get<VersionedObject>(result);
  const auto desired = ParseDesired(found.value);
  if (!desired.has_value()) {
    return m_done(Error{ErrorKind::kInternal, "the stored order has an unknown format", m_key});
  }
  if (desired->write_id == m_desired.write_id) return m_done(found.version);
  Write(found.version);
}

void DesiredWriter::Write(ObjectVersion expected) {
  if (m_is_uncertain && expected != m_expected) {
    // The write may have failed, or it took effect and was then replaced by another order.
    return m_done(
        Error{ErrorKind::kStoreUncertain, "another order was written in the meantime", m_key});
  }
  m_expected = expected;
  m_store.Put(m_key, FormatDesired(m_desired), expected,
              [self = shared_from_this()](const Result<ObjectVersion>& result) {
                self->OnWritten(result);
              });
}

void DesiredWriter::OnWritten(const Result<ObjectVersion>& result) {
  if (IsOk(result)) return m_done(std::get<ObjectVersion>(result));
  const Error& error = ErrorOf(result);
  if (error.kind == ErrorKind::kStoreUncertain) m_is_uncertain = true;
  if (m_is_uncertain) return RetryRead(error);
  if (error.kind != ErrorKind::kConflict) return m_done(error);
  m_done(Error{ErrorKind::kConflict,
               "another order was written after version " + std::to_string(m_expected.Value()),
               m_key});
}

void DesiredWriter::RetryRead(const Error& error) {
  if (m_reads_left <= 0) return m_done(Error{ErrorKind::kStoreUncertain, error.message, m_key});
  m_timers.RunAfter(kReadRetryDelay, [self = shared_from_this()] { self->Read(); });
}

}  // namespace bluebellpass
