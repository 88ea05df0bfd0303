#include "fleet-codec.h"

#include <algorithm>

#include "fleet_generated.h"

namespace bluebellpass::gateway {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Spans on the wire are limited, so that sums of a few cannot overflow.
constexpr std::int64_t kMaxMillis = 24LL * 3600 * 1000;

std::int64_t ToMillis(TimePoint::duration span) {
  return std::chrono::duration_cast<Millis>(span).count();
}

class Encoder {
 public:
  using Item = std::pair<wire::Item, Offset<void>>;
  Encoder(FlatBufferBuilder& builder, TimePoint now) : m_builder(builder), m_now(now) {}

  Item operator()(const SubmitMessage& m) {
    return {wire::Item_Submit, wire::CreateSubmit(m_builder, Put(m.work)).Union()};
  }
  Item operator()(const WithdrawMessage& m) {
    return {wire::Item_Withdraw, wire::CreateWithdraw(m_builder, Put(m.id)).Union()};
  }
  Item operator()(const FirstEventMessage& m) {
    return {wire::Item_FirstEvent,
            wire::CreateFirstEvent(m_builder, Put(m.id), m.after.count()).Union()};
  }
  Item operator()(const ReleaseRunMessage& m) {
    const RunReport& report = m.report;
    return {wire::Item_Release,
            wire::CreateRelease(m_builder, Put(m.id), static_cast<std::uint8_t>(report.outcome),
                                report.first_event ? report.first_event->count() : -1,
                                report.event_gap_ms.value_or(-1))
                .Union()};
  }
  Item operator()(const AvoidMessage& m) {
    return {
        wire::Item_Avoid,
        wire::CreateAvoid(m_builder, Put(m.backend), m.duration.count(), m.is_unreachable).Union()};
  }
  Item operator()(const SyncWorkMessage& m) {
    std::vector<Offset<wire::WorkT>> waiting;
    for (const RequestInfo& work : m.waiting) waiting.push_back(Put(work));
    std::vector<Offset<wire::RunT>> running;
    for (const RunningRequest& run : m.running)
      running.push_back(
          wire::CreateRunT(m_builder, Put(run.request), Put(run.backend), run.is_prefilling));
    return {wire::Item_Sync, wire::CreateSync(m_builder, m_builder.CreateVector(waiting),
                                              m_builder.CreateVector(running))
                                 .Union()};
  }
  Item operator()(const GrantWorkMessage& m) {
    return {wire::Item_Grant, wire::CreateGrant(m_builder, Put(m.id), Put(m.backend)).Union()};
  }
  Item operator()(const RefuseWorkMessage& m) {
    return {wire::Item_Refuse,
            wire::CreateRefuse(m_builder, Put(m.id), static_cast<std::uint8_t>(m.reason),
                               m.retry_after.count())
                .Union()};
  }
  Item operator()(const ViewMessage& m) {
    std::vector<Offset<wire::RecordT>> records;
    for (const FleetMember& r : m.records)
      records.push_back(wire::CreateRecordT(
          m_builder, Put(r.id), Put(r.data_centre), Put(r.caller_address.ip), r.caller_address.port,
          Put(r.peer_address.ip), r.peer_address.port, r.registration_revision, r.is_alive,
          r.is_leaving, r.is_gone, r.is_detached));
    return {wire::Item_View, wire::CreateView(m_builder, m_builder.CreateVector(records)).Union()};
  }
  Item operator()(const ProbeMessage& m) {
    return {wire::Item_Probe, wire::CreateProbe(m_builder, m.sent_ns, m.has_store).Union()};
  }
  Item operator()(const ConfirmMessage& m) {
    return {wire::Item_Confirm,
            wire::CreateConfirm(m_builder, m.probe_sent_ns, m.config_revision, m.config_age.count(),
                                m.backends_revision, m.backends_age.count())
                .Union()};
  }
  Item operator()(const ObjectMessage& m) {
    return {wire::Item_Object,
            wire::CreateObject(m_builder, static_cast<std::uint8_t>(m.kind), Put(m.name),
                               m.revision, m.is_deleted, Put(m.spec), Put(m.patch), m.base_revision)
                .Union()};
  }

 private:
  Offset<flatbuffers::String> Put(const std::string& text) { return m_builder.CreateString(text); }
  template <class Tag>
  Offset<flatbuffers::String> Put(const StrongId<Tag>& id) {
    return Put(id.Text());
  }
  Offset<wire::WorkT> Put(const RequestInfo& work) {
    std::vector<Offset<flatbuffers::String>> excluded;
    for (const BackendId& id : work.excluded_backends) excluded.push_back(Put(id));
    return wire::CreateWorkT(
        m_builder, Put(work.id), Put(work.service), Put(work.organisation), work.rank,
        ToMillis(m_now - work.arrived), work.latency_objective.count(),
        ToMillis(work.deadline - m_now), work.prompt_tokens, work.output_tokens,
        work.max_event_gap.count(), work.patience.count(), m_builder.CreateVector(excluded),
        work.quota_cost, work.fingerprint, work.is_retry, work.is_retryable, Put(work.route));
  }

  FlatBufferBuilder& m_builder;
  TimePoint m_now;
};

class Reader {
 public:
  Reader(const InstanceId& home, TimePoint now) : m_home(home), m_now(now) {}
  bool IsValid() const { return m_is_valid; }

  FleetMessage Read(const wire::Message& message) {
    switch (message.item_type()) {
      case wire::Item_Submit:
        return SubmitMessage{Get(message.item_as_Submit()->work())};
      case wire::Item_Withdraw:
        return WithdrawMessage{Id<AttemptId>(message.item_as_Withdraw()->id())};
      case wire::Item_FirstEvent:
        return FirstEventMessage{Id<AttemptId>(message.item_as_FirstEvent()->id()),
                                 Span(message.item_as_FirstEvent()->after_ms())};
      case wire::Item_Release:
        return Get(*message.item_as_Release());
      case wire::Item_Avoid:
        return AvoidMessage{Id<BackendId>(message.item_as_Avoid()->backend()),
                            Span(message.item_as_Avoid()->duration_ms()),
                            message.item_as_Avoid()->is_unreachable()};
      case wire::Item_Sync:
        return Get(*message.item_as_Sync());
      case wire::Item_Grant:
        return GrantWorkMessage{Id<AttemptId>(message.item_as_Grant()->id()),
                                Id<BackendId>(message.item_as_Grant()->backend())};
      case wire::Item_Refuse:
        return Get(*message.item_as_Refuse());
      case wire::Item_View:
        return Get(*message.item_as_View());
      case wire::Item_Probe:
        return ProbeMessage{message.item_as_Probe()->sent_ns(),
                            message.item_as_Probe()->has_store()};
      case wire::Item_Confirm:
        return Get(*message.item_as_Confirm());
      case wire::Item_Object:
        return Get(*message.item_as_Object());
      default:
        m_is_valid = false;
        return WithdrawMessage{};
    }
  }

 private:
  ReleaseRunMessage Get(const wire::Release& t) {
    ReleaseRunMessage message;
    message.id = Id<AttemptId>(t.id());
    if (t.outcome() > static_cast<std::uint8_t>(RunOutcome::kCancelled)) m_is_valid = false;
    if (m_is_valid) message.report.outcome = static_cast<RunOutcome>(t.outcome());
    if (t.first_event_ms() >= 0) message.report.first_event = Span(t.first_event_ms());
    if (t.event_gap_ms() >= 0) message.report.event_gap_ms = t.event_gap_ms();
    return message;
  }
  RefuseWorkMessage Get(const wire::Refuse& t) {
    if (t.reason() > static_cast<std::uint8_t>(RefusalReason::kQuarantined)) m_is_valid = false;
    return {Id<AttemptId>(t.id()),
            m_is_valid ? static_cast<RefusalReason>(t.reason()) : RefusalReason::kOverloaded,
            Span(t.retry_after_ms())};
  }
  SyncWorkMessage Get(const wire::Sync& t) {
    SyncWorkMessage message;
    if (t.waiting() != nullptr)
      for (const wire::WorkT* work : *t.waiting()) message.waiting.push_back(Get(work));
    if (t.running() != nullptr)
      for (const wire::RunT* run : *t.running())
        message.running.push_back(
            {Get(run->work()), Id<BackendId>(run->backend()), run->is_reading()});
    return message;
  }
  ViewMessage Get(const wire::View& t) {
    ViewMessage message;
    if (t.records() == nullptr) return message;
    for (const wire::RecordT* r : *t.records()) {
      FleetMember record;
      record.id = Id<InstanceId>(r->id());
      record.data_centre = Id<DataCentre>(r->data_centre());
      record.caller_address = {Text(r->caller_ip()), r->caller_port()};
      record.peer_address = {Text(r->peer_ip()), r->peer_port()};
      record.registration_revision = r->registered();
      record.is_alive = r->is_alive();
      record.is_leaving = r->is_leaving();
      record.is_gone = r->is_gone();
      record.is_detached = r->is_detached();
      message.records.push_back(std::move(record));
    }
    return message;
  }
  ConfirmMessage Get(const wire::Confirm& t) {
    ConfirmMessage message;
    message.probe_sent_ns = t.probe_sent_ns();
    message.config_revision = t.config_revision();
    message.config_age = Span(t.config_age_ms());
    message.backends_revision = t.backends_revision();
    message.backends_age = Span(t.backends_age_ms());
    return message;
  }
  ObjectMessage Get(const wire::Object& t) {
    ObjectMessage message;
    if (t.kind() > static_cast<std::uint8_t>(ObjectKind::kFleet)) m_is_valid = false;
    if (m_is_valid) message.kind = static_cast<ObjectKind>(t.kind());
    message.name = Text(t.name());
    message.revision = t.revision();
    message.is_deleted = t.is_deleted();
    message.spec = Text(t.spec());
    message.patch = Text(t.patch());
    message.base_revision = t.base_revision();
    return message;
  }
  RequestInfo Get(const wire::WorkT* t) {
    if (t == nullptr) {
      m_is_valid = false;
      return {};
    }
    RequestInfo work;
    work.id = Id<AttemptId>(t->id());
    work.home = m_home;
    work.service = Id<ServiceName>(t->service());
    work.organisation = Id<OrganisationId>(t->organisation());
    work.rank = t->rank();
    work.arrived = m_now - Span(t->age_ms());
    work.latency_objective = Span(t->objective_ms());
    work.deadline = m_now + Span(t->remaining_ms());
    work.prompt_tokens = std::max<std::int64_t>(t->prompt_tokens(), 0);
    work.output_tokens = std::max<std::int64_t>(t->output_tokens(), 0);
    work.max_event_gap = Span(t->max_gap_ms());
    work.patience = Span(t->patience_ms());
    if (t->excluded() != nullptr)
      for (const auto* id : *t->excluded()) work.excluded_backends.insert(Id<BackendId>(id));
    work.quota_cost = t->quota_cost();
    work.fingerprint = t->fingerprint();
    work.is_retry = t->is_repeat();
    work.is_retryable = t->may_repeat();
    work.route = Text(t->route());
    return work;
  }
  static std::string Text(const flatbuffers::String* text) {
    return text == nullptr ? std::string() : text->str();
  }
  template <class Strong>
  static Strong Id(const flatbuffers::String* text) {
    return Strong(Text(text));
  }
  Millis Span(std::int64_t millis) {
    if (millis > kMaxMillis || millis < -kMaxMillis) m_is_valid = false;
    return Millis(std::clamp(millis, -kMaxMillis, kMaxMillis));
  }

  const InstanceId& m_home;
  TimePoint m_now;
  bool m_is_valid = true;
};

}  // namespace

std::string EncodeFleet(const std::vector<FleetMessage>& messages, TimePoint now) {
  FlatBufferBuilder builder;
  std::vector<Offset<wire::Message>> offsets;
  offsets.reserve(messages.size());
  for (const FleetMessage& message : messages) {
    const auto [type, item] = std::visit(Encoder(builder, now), message);
    offsets.push_back(wire::CreateMessage(builder, type, item));
  }
  builder.Finish(wire::CreatePayload(builder, builder.CreateVector(offsets)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<std::vector<FleetMessage>> DecodeFleet(std::string_view payload, const InstanceId& home,
                                              TimePoint now) {
  const Error malformed{ErrorKind::kBadRequest, "malformed fleet payload", ""};
  // FlatBuffers reads scalars in place; a copy on the heap is aligned for all of them.
  const std::vector<std::uint8_t> aligned(payload.begin(), payload.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!wire::VerifyPayloadBuffer(verifier)) return malformed;
  const wire::Payload& root = *wire::GetPayload(aligned.data());
  std::vector<FleetMessage> messages;
  if (root.messages() == nullptr) return messages;
  Reader reader(home, now);
  for (const wire::Message* message : *root.messages()) {
    if (message->item() == nullptr) return malformed;
    messages.push_back(reader.Read(*message));
    if (!reader.IsValid()) return malformed;
  }
  return messages;
}

}  // namespace bluebellpass::gateway
