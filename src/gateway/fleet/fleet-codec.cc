#include "fleet-codec.h"

#include <algorithm>
#include <cmath>

#include "fleet_generated.h"

namespace bluebellpass::gateway {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

// Bound on encoded durations, so that sums of a few cannot overflow.
constexpr std::int64_t kMaxDurationMs = 24LL * 3600 * 1000;

std::int64_t ToMillis(TimePoint::duration duration) {
  return std::chrono::duration_cast<Millis>(duration).count();
}

class Encoder {
 public:
  using Item = std::pair<wire::Item, Offset<void>>;
  Encoder(FlatBufferBuilder& builder, TimePoint now) : m_builder(builder), m_now(now) {}

  Item operator()(const SubmitMessage& message) {
    return {wire::Item_Submit, wire::CreateSubmit(m_builder, Encode(message.request)).Union()};
  }
  Item operator()(const WithdrawMessage& message) {
    return {wire::Item_Withdraw, wire::CreateWithdraw(m_builder, Encode(message.id)).Union()};
  }
  Item operator()(const FirstEventMessage& message) {
    return {
        wire::Item_FirstEvent,
        wire::CreateFirstEvent(m_builder, Encode(message.id), message.time_to_first_event.count(),
                               message.version ? Encode(*message.version) : 0)
            .Union()};
  }
  Item operator()(const ReleaseRunMessage& message) {
    const RunReport& report = message.report;
    return {wire::Item_Release,
            wire::CreateRelease(
                m_builder, Encode(message.id), static_cast<std::uint8_t>(report.outcome),
                report.time_to_first_event ? report.time_to_first_event->count() : -1,
                report.event_gap_ms.value_or(-1))
                .Union()};
  }
  Item operator()(const AvoidBackendMessage& message) {
    const auto& rejections = message.rejections;
    return {wire::Item_Avoid,
            wire::CreateAvoid(m_builder, Encode(message.backend), message.duration.count(),
                              message.is_unreachable, rejections.has_value(),
                              rejections ? rejections->limit_per_s.value_or(-1) : -1,
                              rejections && rejections->was_rejected)
                .Union()};
  }
  Item operator()(const SyncRequestsMessage& message) {
    std::vector<Offset<wire::WorkT>> waiting;
    for (const RequestInfo& request : message.waiting) waiting.push_back(Encode(request));
    std::vector<Offset<wire::RunT>> running;
    for (const RunningRequest& run : message.running)
      running.push_back(
          wire::CreateRunT(m_builder, Encode(run.request), Encode(run.backend), run.is_prefilling));
    const QuotaReport& report = message.quota_report;
    std::vector<Offset<wire::GrantedT>> granted;
    for (const GrantedAmount& amount : report.granted)
      granted.push_back(
          wire::CreateGrantedT(m_builder, m_builder.CreateSharedString(amount.organisation.Text()),
                               ToMillis(m_now - amount.at), amount.cost));
    return {wire::Item_Sync,
            wire::CreateSync(m_builder, m_builder.CreateVector(waiting),
                             m_builder.CreateVector(running), m_builder.CreateVector(granted),
                             std::min(report.remembered.count(), kMaxDurationMs),
                             report.max_omitted_ratio, message.has_more)
                .Union()};
  }
  Item operator()(const GrantedMessage& message) {
    return {wire::Item_Grant,
            wire::CreateGrant(m_builder, Encode(message.id), Encode(message.backend),
                              message.version ? Encode(*message.version) : 0)
                .Union()};
  }
  Item operator()(const RefusedMessage& message) {
    return {wire::Item_Refuse, wire::CreateRefuse(m_builder, Encode(message.id),
                                                  static_cast<std::uint8_t>(message.reason),
                                                  message.retry_after.count())
                                   .Union()};
  }
  Item operator()(const MembersMessage& message) {
    std::vector<Offset<wire::RecordT>> members;
    for (const FleetMember& member : message.members)
      members.push_back(wire::CreateRecordT(
          m_builder, Encode(member.id), Encode(member.data_centre),
          Encode(member.caller_address.ip), member.caller_address.port,
          Encode(member.peer_address.ip), member.peer_address.port,
          NumberOf(Revision(member.registration_revision)), member.is_alive, member.is_leaving,
          member.is_removed, member.has_lost_store, member.processor_share,
          EraOf(Revision(member.registration_revision)).Value(), member.has_lost_backends));
    return {wire::Item_View, wire::CreateView(m_builder, m_builder.CreateVector(members)).Union()};
  }
  Item operator()(const ProbeMessage& message) {
    return {wire::Item_Probe, wire::CreateProbe(m_builder, message.sent_ns,
                                                message.has_store_contact, message.features)
                                  .Union()};
  }
  Item operator()(const ConfirmMessage& message) {
    return {wire::Item_Confirm,
            wire::CreateConfirm(m_builder, message.probe_sent_ns, message.config_revision,
                                message.config_age.count(), message.backends_revision,
                                message.backends_age.count(), message.features,
                                message.rollouts_revision, message.rollouts_age.count())
                .Union()};
  }
  Item operator()(const ObjectMessage& message) {
    return {wire::Item_Object,
            wire::CreateObject(m_builder, static_cast<std::uint8_t>(message.kind),
                               Encode(message.name), message.revision, message.is_deleted,
                               Encode(message.spec), Encode(message.patch), message.base_revision,
                               Encode(message.status), message.created)
                .Union()};
  }
  Item operator()(const CrashesMessage& message) {
    std::vector<Offset<wire::CrashT>> records;
    for (const CrashRecord& record : message.update.records) {
      std::vector<Offset<wire::FingerprintT>> suspects;
      for (const Fingerprint content : record.suspects)
        suspects.push_back(wire::CreateFingerprintT(m_builder, content.Value()));
      records.push_back(wire::CreateCrashT(m_builder, Encode(record.backend.id),
                                           record.backend.started_at, ToMillis(m_now - record.at),
                                           record.is_confirmed, m_builder.CreateVector(suspects)));
    }
    std::vector<Offset<wire::ClearedT>> cleared;
    for (const ClearedContent& content : message.update.cleared)
      cleared.push_back(
          wire::CreateClearedT(m_builder, content.content.Value(), ToMillis(m_now - content.at)));
    return {wire::Item_Crashes, wire::CreateCrashes(m_builder, m_builder.CreateVector(records),
                                                    m_builder.CreateVector(cleared))
                                    .Union()};
  }

  Item operator()(const RolloutVerdictsMessage& message) {
    std::vector<Offset<wire::VerdictT>> verdicts;
    for (const RolloutVerdict& verdict : message.verdicts)
      verdicts.push_back(wire::CreateVerdictT(m_builder, Encode(verdict.service),
                                              Encode(verdict.target), verdict.created,
                                              static_cast<std::uint8_t>(verdict.state)));
    return {wire::Item_RolloutVerdicts,
            wire::CreateRolloutVerdicts(m_builder, m_builder.CreateVector(verdicts)).Union()};
  }
  Item operator()(const StateRequestMessage& message) {
    std::vector<Offset<wire::HeldT>> held;
    for (const HeldObject& object : message.held)
      held.push_back(wire::CreateHeldT(m_builder, Encode(object.name), object.revision));
    return {wire::Item_StateRequest,
            wire::CreateStateRequest(m_builder, static_cast<std::uint8_t>(message.kind), message.id,
                                     message.revision, m_builder.CreateVector(held),
                                     message.holds_all, message.is_whole)
                .Union()};
  }
  Item operator()(const StatePieceMessage& message) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(message.bytes.data());
    return {wire::Item_StatePiece,
            wire::CreateStatePiece(m_builder, static_cast<std::uint8_t>(message.kind), message.id,
                                   message.index, message.total_bytes,
                                   m_builder.CreateVector(bytes, message.bytes.size()))
                .Union()};
  }
  Item operator()(const StreamsMessage& message) {
    std::vector<Offset<wire::OriginT>> origins;
    for (const auto& [origin, records] : message.records) {
      std::vector<Offset<wire::StreamT>> streams;
      for (const StreamRecord& record : records) {
        const auto remaining = std::max<std::int64_t>(ToMillis(record.until - m_now), 0);
        streams.push_back(wire::CreateStreamT(m_builder, record.stream.Value(),
                                              static_cast<std::uint32_t>(remaining)));
      }
      origins.push_back(wire::CreateOriginT(m_builder, Encode(origin.service),
                                            Encode(origin.version),
                                            m_builder.CreateVector(streams)));
    }
    return {wire::Item_Streams,
            wire::CreateStreams(m_builder, m_builder.CreateVector(origins)).Union()};
  }
  Offset<wire::StateContent> Encode(const StateContent& content) {
    std::vector<Offset<wire::Object>> objects;
    for (const ObjectMessage& object : content.objects)
      objects.emplace_back((*this)(object).second.o);
    std::vector<Offset<flatbuffers::String>> names;
    for (const std::string& name : content.names) names.push_back(Encode(name));
    return wire::CreateStateContent(m_builder, content.revision, content.age.count(),
                                    m_builder.CreateVector(objects), content.has_names,
                                    m_builder.CreateVector(names));
  }

 private:
  Offset<flatbuffers::String> Encode(const std::string& text) {
    return m_builder.CreateString(text);
  }
  template <class Tag>
  Offset<flatbuffers::String> Encode(const StrongId<Tag>& id) {
    return Encode(id.Text());
  }
  Offset<wire::WorkT> Encode(const RequestInfo& request) {
    std::vector<Offset<flatbuffers::String>> excluded;
    for (const BackendId& id : request.excluded_backends) excluded.push_back(Encode(id));
    std::vector<Offset<wire::FingerprintT>> shared_parts;
    for (const Fingerprint part : request.shared_parts)
      shared_parts.push_back(wire::CreateFingerprintT(m_builder, part.Value()));
    return wire::CreateWorkT(
        m_builder, Encode(request.id), Encode(request.service), Encode(request.organisation),
        request.rank, ToMillis(m_now - request.arrived), request.latency_objective.count(),
        ToMillis(request.deadline - m_now), request.prompt_tokens, request.output_tokens,
        request.max_event_gap.count(), request.patience.count(), m_builder.CreateVector(excluded),
        request.quota_cost, request.fingerprint, request.is_retry, request.is_retryable,
        Encode(request.route), m_builder.CreateVector(shared_parts), request.caller_age.count(),
        request.stream_lifetime.count(), request.stream == request.id ? 0 : Encode(request.stream),
        request.is_taken_up, request.version ? Encode(*request.version) : 0);
  }

  FlatBufferBuilder& m_builder;
  TimePoint m_now;
};

class Decoder {
 public:
  Decoder(const InstanceId& home, TimePoint now) : m_home(home), m_now(now) {}
  bool IsValid() const { return m_is_valid; }

  FleetMessage Decode(const wire::Message& message) {
    switch (message.item_type()) {
      case wire::Item_Submit:
        return SubmitMessage{Decode(message.item_as_Submit()->work())};
      case wire::Item_Withdraw:
        return WithdrawMessage{DecodeId<AttemptId>(message.item_as_Withdraw()->id())};
      case wire::Item_FirstEvent:
        return FirstEventMessage{DecodeId<AttemptId>(message.item_as_FirstEvent()->id()),
                                 DecodeVersion(message.item_as_FirstEvent()->version()),
                                 DecodeMillis(message.item_as_FirstEvent()->after_ms())};
      case wire::Item_Release:
        return Decode(*message.item_as_Release());
      case wire::Item_Avoid:
        return Decode(*message.item_as_Avoid());
      case wire::Item_Sync:
        return Decode(*message.item_as_Sync());
      case wire::Item_Grant:
        return GrantedMessage{DecodeId<AttemptId>(message.item_as_Grant()->id()),
                              DecodeId<BackendId>(message.item_as_Grant()->backend()),
                              DecodeVersion(message.item_as_Grant()->version())};
      case wire::Item_Refuse:
        return Decode(*message.item_as_Refuse());
      case wire::Item_View:
        return Decode(*message.item_as_View());
      case wire::Item_Probe:
        return ProbeMessage{message.item_as_Probe()->sent_ns(),
                            message.item_as_Probe()->has_store(),
                            message.item_as_Probe()->features()};
      case wire::Item_Confirm:
        return Decode(*message.item_as_Confirm());
      case wire::Item_Object:
        return Decode(*message.item_as_Object());
      case wire::Item_Crashes:
        return Decode(*message.item_as_Crashes());
      case wire::Item_RolloutVerdicts:
        return Decode(*message.item_as_RolloutVerdicts());
      case wire::Item_StateRequest:
        return Decode(*message.item_as_StateRequest());
      case wire::Item_StatePiece:
        return Decode(*message.item_as_StatePiece());
      case wire::Item_Streams:
        return Decode(*message.item_as_Streams());
      default:
        m_is_valid = false;
        return WithdrawMessage{};
    }
  }
  StateContent Decode(const wire::StateContent& table) {
    StateContent content;
    content.revision = table.revision();
    content.age = DecodeMillis(table.age_ms());
    if (table.objects() != nullptr)
      for (const wire::Object* object : *table.objects())
        content.objects.push_back(Decode(*object));
    content.has_names = table.has_names();
    if (table.names() != nullptr)
      for (const auto* name : *table.names()) content.names.push_back(DecodeText(name));
    return content;
  }

 private:
  ObjectKind DecodeKind(std::uint8_t kind) {
    if (kind > static_cast<std::uint8_t>(ObjectKind::kRollouts)) m_is_valid = false;
    return m_is_valid ? static_cast<ObjectKind>(kind) : ObjectKind::kConfig;
  }
  StateRequestMessage Decode(const wire::StateRequest& table) {
    StateRequestMessage message;
    message.kind = DecodeKind(table.kind());
    message.id = table.id();
    message.revision = table.revision();
    if (table.held() != nullptr)
      for (const wire::HeldT* held : *table.held())
        message.held.push_back({DecodeText(held->name()), held->revision()});
    message.holds_all = table.holds_all();
    message.is_whole = table.is_whole();
    return message;
  }
  StatePieceMessage Decode(const wire::StatePiece& table) {
    StatePieceMessage message;
    message.kind = DecodeKind(table.kind());
    message.id = table.id();
    message.index = table.index();
    message.total_bytes = table.total_bytes();
    if (table.bytes() != nullptr)
      message.bytes.assign(table.bytes()->begin(), table.bytes()->end());
    return message;
  }
  AvoidBackendMessage Decode(const wire::Avoid& table) {
    AvoidBackendMessage message{DecodeId<BackendId>(table.backend()),
                                DecodeMillis(table.duration_ms()),
                                table.is_unreachable(),
                                {}};
    if (!table.has_rejections()) return message;
    message.rejections.emplace();
    if (table.rejection_limit_per_s() >= 0)
      message.rejections->limit_per_s = table.rejection_limit_per_s();
    message.rejections->was_rejected = table.was_rejected();
    return message;
  }
  ReleaseRunMessage Decode(const wire::Release& table) {
    ReleaseRunMessage message;
    message.id = DecodeId<AttemptId>(table.id());
    if (table.outcome() > static_cast<std::uint8_t>(RunOutcome::kCancelled)) m_is_valid = false;
    if (m_is_valid) message.report.outcome = static_cast<RunOutcome>(table.outcome());
    if (table.first_event_ms() >= 0)
      message.report.time_to_first_event = DecodeMillis(table.first_event_ms());
    if (table.event_gap_ms() >= 0) message.report.event_gap_ms = table.event_gap_ms();
    return message;
  }
  RefusedMessage Decode(const wire::Refuse& table) {
    if (table.reason() > static_cast<std::uint8_t>(RefusalReason::kNoSuchVersion))
      m_is_valid = false;
    return {DecodeId<AttemptId>(table.id()),
            m_is_valid ? static_cast<RefusalReason>(table.reason()) : RefusalReason::kOverloaded,
            DecodeMillis(table.retry_after_ms())};
  }
  SyncRequestsMessage Decode(const wire::Sync& table) {
    SyncRequestsMessage message;
    if (table.waiting() != nullptr)
      for (const wire::WorkT* request : *table.waiting())
        message.waiting.push_back(Decode(request));
    if (table.running() != nullptr)
      for (const wire::RunT* run : *table.running())
        message.running.push_back(
            {Decode(run->work()), DecodeId<BackendId>(run->backend()), run->is_reading()});
    QuotaReport& report = message.quota_report;
    report.remembered = DecodeMillis(table.remembered_ms());
    report.max_omitted_ratio = DecodeAmount(table.max_omitted_ratio());
    if (table.granted() != nullptr)
      for (const wire::GrantedT* amount : *table.granted())
        report.granted.push_back({DecodeId<OrganisationId>(amount->organisation()),
                                  m_now - std::max(DecodeMillis(amount->age_ms()), Millis{0}),
                                  DecodeAmount(amount->cost())});
    message.has_more = table.has_more();
    return message;
  }
  MembersMessage Decode(const wire::View& table) {
    MembersMessage message;
    if (table.records() == nullptr) return message;
    for (const wire::RecordT* record : *table.records()) {
      FleetMember member;
      member.id = DecodeId<InstanceId>(record->id());
      member.data_centre = DecodeId<DataCentre>(record->data_centre());
      member.caller_address = {DecodeText(record->caller_ip()), record->caller_port()};
      member.peer_address = {DecodeText(record->peer_ip()), record->peer_port()};
      member.registration_revision = DecodeRevision(record->registered_era(), record->registered());
      member.is_alive = record->is_alive();
      member.is_leaving = record->is_leaving();
      member.is_removed = record->is_gone();
      member.has_lost_store = record->is_detached();
      member.has_lost_backends = record->has_lost_backends();
      member.processor_share = record->processor_share();
      message.members.push_back(std::move(member));
    }
    return message;
  }
  ConfirmMessage Decode(const wire::Confirm& table) {
    ConfirmMessage message;
    message.probe_sent_ns = table.probe_sent_ns();
    message.config_revision = table.config_revision();
    message.config_age = DecodeMillis(table.config_age_ms());
    message.backends_revision = table.backends_revision();
    message.backends_age = DecodeMillis(table.backends_age_ms());
    message.features = table.features();
    message.rollouts_revision = table.rollouts_revision();
    message.rollouts_age = DecodeMillis(table.rollouts_age_ms());
    return message;
  }
  ObjectMessage Decode(const wire::Object& table) {
    ObjectMessage message;
    message.kind = DecodeKind(table.kind());
    message.name = DecodeText(table.name());
    message.revision = table.revision();
    message.is_deleted = table.is_deleted();
    message.spec = DecodeText(table.spec());
    message.patch = DecodeText(table.patch());
    message.base_revision = table.base_revision();
    message.status = DecodeText(table.status());
    message.created = table.created();
    return message;
  }
  RolloutVerdictsMessage Decode(const wire::RolloutVerdicts& table) {
    RolloutVerdictsMessage message;
    if (table.verdicts() == nullptr) return message;
    for (const wire::VerdictT* verdict : *table.verdicts()) {
      if (verdict->state() > static_cast<std::uint8_t>(RolloutState::kReverted)) m_is_valid = false;
      if (!m_is_valid) return message;
      message.verdicts.push_back({DecodeId<ServiceName>(verdict->service()),
                                  DecodeId<SoftwareVersion>(verdict->target()), verdict->created(),
                                  static_cast<RolloutState>(verdict->state())});
    }
    return message;
  }
  CrashesMessage Decode(const wire::Crashes& table) {
    CrashesMessage message;
    if (table.records() != nullptr) {
      for (const wire::CrashT* record : *table.records()) {
        CrashRecord decoded;
        decoded.backend = {DecodeId<BackendId>(record->backend()), record->started_at()};
        decoded.at = m_now - DecodeMillis(record->age_ms());
        decoded.is_confirmed = record->is_confirmed();
        if (record->suspects() != nullptr)
          for (const wire::FingerprintT* content : *record->suspects())
            decoded.suspects.insert(Fingerprint(content->value()));
        message.update.records.push_back(std::move(decoded));
      }
    }
    if (table.cleared() != nullptr)
      for (const wire::ClearedT* cleared : *table.cleared())
        message.update.cleared.push_back(
            {Fingerprint(cleared->content()), m_now - DecodeMillis(cleared->age_ms())});
    return message;
  }
  RequestInfo Decode(const wire::WorkT* table) {
    if (table == nullptr) {
      m_is_valid = false;
      return {};
    }
    RequestInfo request;
    request.id = DecodeId<AttemptId>(table->id());
    request.home = m_home;
    request.service = DecodeId<ServiceName>(table->service());
    request.organisation = DecodeId<OrganisationId>(table->organisation());
    request.rank = table->rank();
    request.arrived = m_now - DecodeMillis(table->age_ms());
    request.latency_objective = DecodeMillis(table->objective_ms());
    request.deadline = m_now + DecodeMillis(table->remaining_ms());
    request.prompt_tokens = std::max<std::int64_t>(table->prompt_tokens(), 0);
    request.output_tokens = std::max<std::int64_t>(table->output_tokens(), 0);
    request.max_event_gap = DecodeMillis(table->max_gap_ms());
    request.patience = DecodeMillis(table->patience_ms());
    if (table->excluded() != nullptr)
      for (const auto* id : *table->excluded())
        request.excluded_backends.insert(DecodeId<BackendId>(id));
    request.quota_cost = table->quota_cost();
    request.fingerprint = table->fingerprint();
    request.is_retry = table->is_repeat();
    request.is_retryable = table->may_repeat();
    request.route = DecodeText(table->route());
    request.caller_age = DecodeMillis(table->caller_age_ms());
    if (table->shared_parts() != nullptr)
      for (const wire::FingerprintT* part : *table->shared_parts())
        request.shared_parts.emplace_back(part->value());
    request.stream_lifetime = std::max(DecodeMillis(table->stream_lifetime_ms()), Millis{0});
    request.stream = table->stream() == nullptr ? request.id : DecodeId<AttemptId>(table->stream());
    request.is_taken_up = table->is_taken_up();
    request.version = DecodeVersion(table->version());
    return request;
  }
  static std::string DecodeText(const flatbuffers::String* text) {
    return text == nullptr ? std::string() : text->str();
  }
  template <class Strong>
  static Strong DecodeId(const flatbuffers::String* text) {
    return Strong(DecodeText(text));
  }
  static std::optional<SoftwareVersion> DecodeVersion(const flatbuffers::String* text) {
    return text == nullptr ? std::nullopt : std::optional(DecodeId<SoftwareVersion>(text));
  }
  StreamsMessage Decode(const wire::Streams& table) {
    StreamsMessage message;
    if (table.origins() == nullptr) return message;
    for (const wire::OriginT* origin : *table.origins()) {
      auto& streams = message.records[{DecodeId<ServiceName>(origin->service()),
                                       DecodeId<SoftwareVersion>(origin->version())}];
      if (origin->streams() == nullptr) continue;
      for (const wire::StreamT* stream : *origin->streams())
        streams.push_back({Fingerprint(stream->stream()),
                           m_now + std::min(Millis(stream->remaining_ms()), kMaxStreamLifetime)});
    }
    return message;
  }
  std::uint64_t DecodeRevision(std::uint64_t era, std::uint64_t number) {
    const Revision revision = MakeRevision(StoreEra(era), number);
    m_is_valid = m_is_valid && EraOf(revision) == StoreEra(era) && NumberOf(revision) == number;
    return revision.Value();
  }
  double DecodeAmount(double amount) {
    if (std::isfinite(amount) && amount >= 0) return amount;
    m_is_valid = false;
    return 0;
  }
  Millis DecodeMillis(std::int64_t millis) {
    if (millis > kMaxDurationMs || millis < -kMaxDurationMs) m_is_valid = false;
    return Millis(std::clamp(millis, -kMaxDurationMs, kMaxDurationMs));
  }

  const InstanceId& m_home;
  TimePoint m_now;
  bool m_is_valid = true;
};

}  // namespace

std::string EncodeFleetMessages(const std::vector<FleetMessage>& messages, TimePoint now) {
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

Result<std::vector<FleetMessage>> DecodeFleetMessages(std::string_view payload,
                                                      const InstanceId& home, TimePoint now) {
  const Error malformed{ErrorKind::kBadRequest, "malformed fleet payload", ""};
  // FlatBuffers reads scalars in place; a heap copy is aligned for all of them.
  const std::vector<std::uint8_t> aligned(payload.begin(), payload.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!wire::VerifyPayloadBuffer(verifier)) return malformed;
  const wire::Payload& root = *wire::GetPayload(aligned.data());
  std::vector<FleetMessage> messages;
  if (root.messages() == nullptr) return messages;
  Decoder decoder(home, now);
  for (const wire::Message* message : *root.messages()) {
    if (message->item() == nullptr) return malformed;
    messages.push_back(decoder.Decode(*message));
    if (!decoder.IsValid()) return malformed;
  }
  return messages;
}

std::string EncodeStateContent(const StateContent& content) {
  FlatBufferBuilder builder;
  builder.Finish(Encoder(builder, TimePoint{}).Encode(content));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<StateContent> DecodeStateContent(std::string_view bytes) {
  const Error malformed{ErrorKind::kBadRequest, "malformed content of a state transfer", ""};
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!verifier.VerifyBuffer<wire::StateContent>(nullptr)) return malformed;
  const InstanceId no_home;
  Decoder decoder(no_home, TimePoint{});
  StateContent content = decoder.Decode(*flatbuffers::GetRoot<wire::StateContent>(aligned.data()));
  if (!decoder.IsValid()) return malformed;
  return content;
}

}  // namespace bluebellpass::gateway
