#include <optional>

#include "codec.h"
#include "frame_generated.h"

namespace bluebellpass {
namespace {

// Bound on encoded durations, so that sums of a few cannot overflow.
constexpr std::int64_t kMaxDurationMs = 365LL * 24 * 3600 * 1000;

// Smallest size of a table in a frame: its offset in the vector and its header.
constexpr std::size_t kMinTableBytes = 8;

/// Copies the tables of a verified frame. The offsets of a hostile frame can refer to the same
/// bytes many times, so a budget limits the copies to the size of the frame.
class Decoder {
 public:
  explicit Decoder(std::size_t budget) : m_budget(budget) {}

  bool IsValid() const { return m_is_valid; }

  FrameBody DecodeBody(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Hello:
        return DecodeHello(*frame.body_as_Hello());
      case wire::Body_Auth:
        return AuthFrame{DecodeText(frame.body_as_Auth()->proof())};
      case wire::Body_Ping:
        return PingFrame{DecodeHeartbeat(*frame.body_as_Ping())};
      case wire::Body_Ack:
        return AckFrame{DecodeHeartbeat(*frame.body_as_Ack())};
      case wire::Body_Fleet:
        return DecodeFleet(*frame.body_as_Fleet());
      default:
        return DecodeMessage(frame);
    }
  }

 private:
  FrameBody DecodeHello(const wire::Hello& table) {
    return HelloFrame{DecodeInfo(table.info()), DecodeText(table.nonce())};
  }

  FrameBody DecodeFleet(const wire::Fleet& table) {
    const auto* payload = table.payload();
    if (payload == nullptr) return FleetFrame{};
    return FleetFrame{std::string(payload->begin(), payload->end())};
  }

  PeerMessage DecodeMessage(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Reserve:
        return ReserveMessage{Decode(frame.body_as_Reserve()->reservation())};
      case wire::Body_Cancel:
        return CancelMessage{DecodeCell(*frame.body_as_Cancel()),
                             DecodeId<RequestId>(frame.body_as_Cancel()->id())};
      case wire::Body_Sync:
        return DecodeSync(*frame.body_as_Sync());
      case wire::Body_Grant:
        return DecodeGrant(*frame.body_as_Grant());
      case wire::Body_Refuse:
        return DecodeRefuse(*frame.body_as_Refuse());
      case wire::Body_Release:
        return DecodeRelease(*frame.body_as_Release());
      case wire::Body_FloorAsk:
        return DecodeFloorAsk(*frame.body_as_FloorAsk());
      case wire::Body_FloorAck:
        return DecodeFloorAck(*frame.body_as_FloorAck());
      case wire::Body_Config:
        return ConfigMessage{ObjectVersion(frame.body_as_Config()->version()),
                             DecodeText(frame.body_as_Config()->document())};
      case wire::Body_Quarantine:
        return QuarantineMessage{DecodeAll<QuarantineEntry>(frame.body_as_Quarantine()->entries())};
      case wire::Body_Resync:
        return ResyncMessage{DecodeCell(*frame.body_as_Resync())};
      default:
        return DecodeExchange(frame);
    }
  }

  PeerMessage DecodeExchange(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Forward:
        return DecodeForward(*frame.body_as_Forward());
      case wire::Body_AnswerHead:
        return DecodeAnswerHead(*frame.body_as_AnswerHead());
      case wire::Body_AnswerData:
        return DecodeAnswerData(*frame.body_as_AnswerData());
      case wire::Body_AnswerEnd:
        return DecodeAnswerEnd(*frame.body_as_AnswerEnd());
      case wire::Body_ForwardCancel:
        return ForwardCancelMessage{frame.body_as_ForwardCancel()->exchange()};
      case wire::Body_Query:
        return QueryMessage{frame.body_as_Query()->exchange(),
                            DecodeText(frame.body_as_Query()->command())};
      case wire::Body_QueryReply:
        return QueryReplyMessage{frame.body_as_QueryReply()->exchange(),
                                 DecodeText(frame.body_as_QueryReply()->json())};
      default:
        m_is_valid = false;
        return ForwardCancelMessage{};
    }
  }

  SyncMessage DecodeSync(const wire::Sync& table) {
    return {DecodeCell(table), DecodeAll<Reservation>(table.waiting()),
            DecodeAll<RunningGrant>(table.running())};
  }
  GrantMessage DecodeGrant(const wire::Grant& table) {
    return {DecodeCell(table), DecodeId<RequestId>(table.id()), table.grant(),
            DecodeId<BackendId>(table.backend())};
  }
  RefuseMessage DecodeRefuse(const wire::Refuse& table) {
    return {DecodeCell(table), DecodeId<RequestId>(table.id()),
            DecodeEnum(table.kind(), ErrorKind::kInternal)};
  }
  ReleaseMessage DecodeRelease(const wire::Release& table) {
    return {.cell = DecodeCell(table),
            .id = DecodeId<RequestId>(table.id()),
            .grant = table.grant(),
            .backend = DecodeId<BackendId>(table.backend()),
            .reason = DecodeEnum(table.reason(), ReleaseReason::kUnreachable),
            .prompt_tokens = Tokens(table.prompt_tokens()),
            .cached_tokens = Tokens(table.cached_tokens()),
            .output_tokens = Tokens(table.output_tokens()),
            .time_to_first_token = DecodeMillis(table.first_token_ms()),
            .total_time = DecodeMillis(table.total_ms()),
            .content = Fingerprint(table.content()),
            .prefix = Fingerprint(table.prefix())};
  }
  FloorAskMessage DecodeFloorAsk(const wire::FloorAsk& table) {
    return {table.round(), DecodeId<PoolName>(table.pool()), TierRank(table.rank()),
            DecodeMillis(table.hold_ms())};
  }
  FloorAckMessage DecodeFloorAck(const wire::FloorAck& table) {
    return {table.round(), DecodeId<PoolName>(table.pool()), TierRank(table.rank())};
  }
  ForwardMessage DecodeForward(const wire::Forward& table) {
    return {table.exchange(), DecodeId<RequestId>(table.id()), table.offset(),
            DecodeText(table.body())};
  }
  AnswerHeadMessage DecodeAnswerHead(const wire::AnswerHead& table) {
    return {table.exchange(), table.status(), DecodeText(table.backend()),
            DecodeText(table.resume_token())};
  }
  AnswerDataMessage DecodeAnswerData(const wire::AnswerData& table) {
    return {table.exchange(), table.offset(), DecodeText(table.bytes())};
  }
  AnswerEndMessage DecodeAnswerEnd(const wire::AnswerEnd& table) {
    return {table.exchange(),
            DecodeEnum(table.outcome(), Outcome::kUnknown),
            table.length(),
            table.has_error(),
            DecodeEnum(table.kind(), ErrorKind::kInternal),
            DecodeText(table.message()),
            DecodeText(table.field())};
  }

  template <class Table>
  Heartbeat DecodeHeartbeat(const Table& table) {
    Heartbeat heartbeat;
    heartbeat.uptime_seconds = table.uptime_seconds();
    if (const wire::StatusT* status = table.status()) {
      heartbeat.status = {ObjectVersion(status->config_version()), status->has_store_contact(),
                          DecodeMillis(status->store_age_ms())};
    }
    heartbeat.gossip = DecodeAll<MemberUpdate>(table.gossip());
    if (heartbeat.gossip.size() > kMaxGossip) m_is_valid = false;
    return heartbeat;
  }

  Reservation Decode(const wire::ReservationT* table) {
    if (!RequireTable(table)) return {};
    return {.id = DecodeId<RequestId>(table->id()),
            .pool = DecodeId<PoolName>(table->pool()),
            .region = DecodeId<Region>(table->region()),
            .tier = DecodeId<TierName>(table->tier()),
            .organisation = DecodeId<OrganisationId>(table->organisation()),
            .prompt_tokens = Tokens(table->prompt_tokens()),
            .max_output_tokens = Tokens(table->max_output_tokens()),
            .prefix = Fingerprint(table->prefix()),
            .content = Fingerprint(table->content()),
            .bytes = table->bytes(),
            .remaining = DecodeMillis(table->remaining_ms())};
  }
  RunningGrant Decode(const wire::RunningT* table) {
    return {DecodeId<RequestId>(table->id()), table->grant(), DecodeId<BackendId>(table->backend()),
            Tokens(table->tokens()), Fingerprint(table->content())};
  }
  QuarantineEntry Decode(const wire::QuarantineEntryT* table) {
    return {Fingerprint(table->content()), table->deaths(), DecodeMillis(table->remaining_ms()),
            table->stamp()};
  }
  MemberUpdate Decode(const wire::MemberT* table) {
    return {{DecodeInfo(table->info()), DecodeEnum(table->state(), MemberState::kLeft),
             table->uptime_seconds()},
            table->sequence()};
  }

  InstanceInfo DecodeInfo(const wire::InstanceT* table) {
    if (!RequireTable(table)) return {};
    InstanceInfo info{.id = DecodeId<InstanceId>(table->id()),
                      .incarnation = Incarnation(table->incarnation()),
                      .data_centre = DecodeId<DataCentre>(table->data_centre()),
                      .region = DecodeId<Region>(table->region()),
                      .caller_address = DecodeAddress(table->caller_address()),
                      .peer_address = DecodeAddress(table->peer_address()),
                      .is_leaving = table->is_leaving()};
    if (info.id.IsEmpty()) m_is_valid = false;
    return info;
  }
  Address DecodeAddress(const wire::AddressT* table) {
    if (!RequireTable(table)) return {};
    return {DecodeText(table->ip()), table->port()};
  }

  template <class Item, class Table>
  std::vector<Item> DecodeAll(const flatbuffers::Vector<flatbuffers::Offset<Table>>* tables) {
    std::vector<Item> items;
    if (tables == nullptr) return items;
    for (const Table* table : *tables) {
      ConsumeBudget(kMinTableBytes);
      if (!m_is_valid) return items;
      items.push_back(Decode(table));
    }
    return items;
  }

  template <class Table>
  CellId DecodeCell(const Table& table) {
    return {DecodeId<PoolName>(table.pool()), DecodeId<Region>(table.region())};
  }
  template <class Strong>
  Strong DecodeId(const flatbuffers::String* text) {
    return Strong(DecodeText(text));
  }
  std::string DecodeText(const flatbuffers::String* text) {
    if (text == nullptr) return {};
    ConsumeBudget(text->size());
    return m_is_valid ? text->str() : std::string();
  }
  Millis DecodeMillis(std::int64_t millis) {
    if (millis > kMaxDurationMs || millis < -kMaxDurationMs) m_is_valid = false;
    return Millis(millis);
  }
  template <class Enum>
  Enum DecodeEnum(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) m_is_valid = false;
    return m_is_valid ? static_cast<Enum>(value) : last;
  }
  bool RequireTable(const void* table) {
    if (table == nullptr) m_is_valid = false;
    return table != nullptr;
  }
  void ConsumeBudget(std::size_t bytes) {
    if (bytes > m_budget) m_is_valid = false;
    m_budget -= std::min(bytes, m_budget);
  }

  std::size_t m_budget;
  bool m_is_valid = true;
};

Error Malformed(const char* reason) { return {ErrorKind::kBadRequest, reason, {}}; }

}  // namespace

Result<Frame> DecodeFrame(std::string_view bytes, FrameSet accepted) {
  if (bytes.size() > kMaxFrameBytes) return Error{ErrorKind::kTooLarge, "frame exceeds 2 MiB", {}};
  // FlatBuffers reads scalars in place. A heap allocation is aligned for all of them.
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!wire::VerifyFrameBuffer(verifier)) return Malformed("frame fails verification");
  const wire::Frame& frame = *wire::GetFrame(aligned.data());
  const wire::Body type = frame.body_type();
  if (frame.body() == nullptr || type == wire::Body_NONE || type > wire::Body_MAX)
    return Malformed("frame has no known body");
  if (accepted == FrameSet::kHandshake && type != wire::Body_Hello && type != wire::Body_Auth)
    return Malformed("frame before the end of the handshake");
  Decoder decoder(aligned.size());
  Frame decoded{frame.time(), decoder.DecodeBody(frame)};
  if (!decoder.IsValid()) return Malformed("frame has a field out of range");
  return decoded;
}

}  // namespace bluebellpass
