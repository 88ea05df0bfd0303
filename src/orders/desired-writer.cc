#include "orders/desired-writer.h"

#include <utility>

namespace bluebellpass {
namespace {

// An operator is told that the outcome is uncertain after about 4 s of failed reads.
constexpr int kMaxReads = 9;
constexpr Millis kReadPause{500};

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
    if (m_is_uncertain) return ReadAgain(ErrorOf(result));
    // Nothing has been written yet, so nothing is uncertain.
    return m_done(Error{ErrorKind::kStoreUnavailable, ErrorOf(result).message, ""});
  }
  if (is_missing) return Write(ObjectVersion());
  const auto& found = std::get<VersionedObject>(result);
  const auto desired = ParseDesired(found.value);
  if (!desired.has_value()) {
    return m_done(Error{ErrorKind::kInternal, "the stored order is of an unknown form", m_key});
  }
  if (desired->mark == m_desired.mark) return m_done(found.version);
  Write(found.version);
}

void DesiredWriter::Write(ObjectVersion expected) {
  if (m_is_uncertain && expected != m_expected) {
    // The lost write may have taken effect and been replaced, or have failed.
    return m_done(Error{ErrorKind::kStoreUncertain, "another order has been written since", m_key});
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
  if (m_is_uncertain) return ReadAgain(error);
  if (error.kind != ErrorKind::kConflict) return m_done(error);
  m_done(Error{ErrorKind::kConflict,
               "another order was written after version " + std::to_string(m_expected.Value()),
               m_key});
}

void DesiredWriter::ReadAgain(const Error& error) {
  if (m_reads_left <= 0) return m_done(Error{ErrorKind::kStoreUncertain, error.message, m_key});
  m_timers.RunAfter(kReadPause, [self = shared_from_this()] { self->Read(); });
}

}  // namespace bluebellpass
