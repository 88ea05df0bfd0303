#include <optional>

#include "codec.h"
#include "frame_generated.h"

namespace bluebellpass {
namespace {

// Time spans on the wire are limited to a year, so that sums of a few cannot overflow.
constexpr std::int64_t kMaxMillis = 365LL * 24 * 3600 * 1000;

// A table takes at least this many bytes of a frame: its offset in the vector and its header.
constexpr std::size_t kMinTableBytes = 8;

/// Copies verified tables. Offsets of a hostile frame can refer to the same bytes many times; the
/// budget keeps the copies from growing beyond the frame itself.
class Reader {
 public:
  explicit Reader(std::size_t budget) : m_budget(budget) {}

  bool IsValid() const { return m_is_valid; }

  FrameBody Read(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Hello:
        return Hello(*frame.body_as_Hello());
      case wire::Body_Auth:
        return AuthFrame{Text(frame.body_as_Auth()->proof())};
      case wire::Body_Ping:
        return PingFrame{Beat(*frame.body_as_Ping())};
      case wire::Body_Ack:
        return AckFrame{Beat(*frame.body_as_Ack())};
      case wire::Body_Fleet:
        return Fleet(*frame.body_as_Fleet());
      default:
        return Message(frame);
    }
  }

 private:
  FrameBody Hello(const wire::Hello& t) { return HelloFrame{Info(t.info()), Text(t.nonce())}; }

  FrameBody Fleet(const wire::Fleet& t) {
    const auto* payload = t.payload();
    if (payload == nullptr) return FleetFrame{};
    return FleetFrame{std::string(payload->begin(), payload->end())};
  }

  PeerMessage Message(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Reserve:
        return ReserveMessage{Get(frame.body_as_Reserve()->reservation())};
      case wire::Body_Cancel:
        return CancelMessage{Cell(*frame.body_as_Cancel()),
                             Id<RequestId>(frame.body_as_Cancel()->id())};
      case wire::Body_Sync:
        return Sync(*frame.body_as_Sync());
      case wire::Body_Grant:
        return Grant(*frame.body_as_Grant());
      case wire::Body_Refuse:
        return Refuse(*frame.body_as_Refuse());
      case wire::Body_Release:
        return Release(*frame.body_as_Release());
      case wire::Body_FloorAsk:
        return FloorAsk(*frame.body_as_FloorAsk());
      case wire::Body_FloorAck:
        return FloorAck(*frame.body_as_FloorAck());
      case wire::Body_Config:
        return ConfigMessage{ObjectVersion(frame.body_as_Config()->version()),
                             Text(frame.body_as_Config()->document())};
      case wire::Body_Quarantine:
        return QuarantineMessage{All<QuarantineEntry>(frame.body_as_Quarantine()->entries())};
      case wire::Body_Resync:
        return ResyncMessage{Cell(*frame.body_as_Resync())};
      default:
        return Exchange(frame);
    }
  }

  PeerMessage Exchange(const wire::Frame& frame) {
    switch (frame.body_type()) {
      case wire::Body_Forward:
        return Forward(*frame.body_as_Forward());
      case wire::Body_AnswerHead:
        return AnswerHead(*frame.body_as_AnswerHead());
      case wire::Body_AnswerData:
        return AnswerData(*frame.body_as_AnswerData());
      case wire::Body_AnswerEnd:
        return AnswerEnd(*frame.body_as_AnswerEnd());
      case wire::Body_ForwardCancel:
        return ForwardCancelMessage{frame.body_as_ForwardCancel()->exchange()};
      case wire::Body_Query:
        return QueryMessage{frame.body_as_Query()->exchange(),
                            Text(frame.body_as_Query()->command())};
      case wire::Body_QueryReply:
        return QueryReplyMessage{frame.body_as_QueryReply()->exchange(),
                                 Text(frame.body_as_QueryReply()->json())};
      default:
        m_is_valid = false;
        return ForwardCancelMessage{};
    }
  }

  SyncMessage Sync(const wire::Sync& t) {
    return {Cell(t), All<Reservation>(t.waiting()), All<RunningGrant>(t.running())};
  }
  GrantMessage Grant(const wire::Grant& t) {
    return {Cell(t), Id<RequestId>(t.id()), t.grant(), Id<BackendId>(t.backend())};
  }
  RefuseMessage Refuse(const wire::Refuse& t) {
    return {Cell(t), Id<RequestId>(t.id()), Enum(t.kind(), ErrorKind::kInternal)};
  }
  ReleaseMessage Release(const wire::Release& t) {
    return {.cell = Cell(t),
            .id = Id<RequestId>(t.id()),
            .grant = t.grant(),
            .backend = Id<BackendId>(t.backend()),
            .reason = Enum(t.reason(), ReleaseReason::kUnreachable),
            .prompt_tokens = Tokens(t.prompt_tokens()),
            .cached_tokens = Tokens(t.cached_tokens()),
            .output_tokens = Tokens(t.output_tokens()),
            .time_to_first_token = Span(t.first_token_ms()),
            .total_time = Span(t.total_ms()),
            .content = Fingerprint(t.content()),
            .prefix = Fingerprint(t.prefix())};
  }
  FloorAskMessage FloorAsk(const wire::FloorAsk& t) {
    return {t.round(), Id<PoolName>(t.pool()), TierRank(t.rank()), Span(t.hold_ms())};
  }
  FloorAckMessage FloorAck(const wire::FloorAck& t) {
    return {t.round(), Id<PoolName>(t.pool()), TierRank(t.rank())};
  }
  ForwardMessage Forward(const wire::Forward& t) {
    return {t.exchange(), Id<RequestId>(t.id()), t.offset(), Text(t.body())};
  }
  AnswerHeadMessage AnswerHead(const wire::AnswerHead& t) {
    return {t.exchange(), t.status(), Text(t.backend()), Text(t.resume_token())};
  }
  AnswerDataMessage AnswerData(const wire::AnswerData& t) {
    return {t.exchange(), t.offset(), Text(t.bytes())};
  }
  AnswerEndMessage AnswerEnd(const wire::AnswerEnd& t) {
    return {t.exchange(),   Enum(t.outcome(), Outcome::kUnknown), t.length(),
            t.has_error(),  Enum(t.kind(), ErrorKind::kInternal), Text(t.message()),
            Text(t.field())};
  }

  template <class Table>
  Heartbeat Beat(const Table& t) {
    Heartbeat beat;
    beat.uptime_seconds = t.uptime_seconds();
    if (const wire::StatusT* status = t.status()) {
      beat.status = {ObjectVersion(status->config_version()), status->has_store_contact(),
                     Span(status->store_age_ms())};
    }
    beat.gossip = All<MemberUpdate>(t.gossip());
    if (beat.gossip.size() > kMaxGossip) m_is_valid = false;
    return beat;
  }

  Reservation Get(const wire::ReservationT* t) {
    if (!Require(t)) return {};
    return {.id = Id<RequestId>(t->id()),
            .pool = Id<PoolName>(t->pool()),
            .region = Id<Region>(t->region()),
            .tier = Id<TierName>(t->tier()),
            .organisation = Id<OrganisationId>(t->organisation()),
            .prompt_tokens = Tokens(t->prompt_tokens()),
            .max_output_tokens = Tokens(t->max_output_tokens()),
            .prefix = Fingerprint(t->prefix()),
            .content = Fingerprint(t->content()),
            .bytes = t->bytes(),
            .remaining = Span(t->remaining_ms())};
  }
  RunningGrant Get(const wire::RunningT* t) {
    return {Id<RequestId>(t->id()), t->grant(), Id<BackendId>(t->backend()), Tokens(t->tokens()),
            Fingerprint(t->content())};
  }
  QuarantineEntry Get(const wire::QuarantineEntryT* t) {
    return {Fingerprint(t->content()), t->deaths(), Span(t->remaining_ms()), t->stamp()};
  }
  MemberUpdate Get(const wire::MemberT* t) {
    return {{Info(t->info()), Enum(t->state(), MemberState::kLeft), t->uptime_seconds()},
            t->sequence()};
  }

  InstanceInfo Info(const wire::InstanceT* t) {
    if (!Require(t)) return {};
    InstanceInfo info{.id = Id<InstanceId>(t->id()),
                      .incarnation = Incarnation(t->incarnation()),
                      .data_centre = Id<DataCentre>(t->data_centre()),
                      .region = Id<Region>(t->region()),
                      .caller_address = Addr(t->caller_address()),
                      .peer_address = Addr(t->peer_address()),
                      .is_leaving = t->is_leaving()};
    if (info.id.IsEmpty()) m_is_valid = false;
    return info;
  }
  Address Addr(const wire::AddressT* t) {
    if (!Require(t)) return {};
    return {Text(t->ip()), t->port()};
  }

  template <class Item, class Table>
  std::vector<Item> All(const flatbuffers::Vector<flatbuffers::Offset<Table>>* tables) {
    std::vector<Item> items;
    if (tables == nullptr) return items;
    for (const Table* table : *tables) {
      Spend(kMinTableBytes);
      if (!m_is_valid) return items;
      items.push_back(Get(table));
    }
    return items;
  }

  template <class Table>
  CellId Cell(const Table& t) {
    return {Id<PoolName>(t.pool()), Id<Region>(t.region())};
  }
  template <class Strong>
  Strong Id(const flatbuffers::String* text) {
    return Strong(Text(text));
  }
  std::string Text(const flatbuffers::String* text) {
    if (text == nullptr) return {};
    Spend(text->size());
    return m_is_valid ? text->str() : std::string();
  }
  Millis Span(std::int64_t millis) {
    if (millis > kMaxMillis || millis < -kMaxMillis) m_is_valid = false;
    return Millis(millis);
  }
  template <class E>
  E Enum(std::uint8_t value, E last) {
    if (value > static_cast<std::uint8_t>(last)) m_is_valid = false;
    return m_is_valid ? static_cast<E>(value) : last;
  }
  bool Require(const void* table) {
    if (table == nullptr) m_is_valid = false;
    return table != nullptr;
  }
  void Spend(std::size_t bytes) {
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
  // FlatBuffers reads scalars in place; a copy on the heap is aligned for all of them.
  const std::vector<std::uint8_t> aligned(bytes.begin(), bytes.end());
  flatbuffers::Verifier verifier(aligned.data(), aligned.size());
  if (!wire::VerifyFrameBuffer(verifier)) return Malformed("frame fails verification");
  const wire::Frame& frame = *wire::GetFrame(aligned.data());
  const wire::Body type = frame.body_type();
  if (frame.body() == nullptr || type == wire::Body_NONE || type > wire::Body_MAX)
    return Malformed("frame has no known body");
  if (accepted == FrameSet::kHandshake && type != wire::Body_Hello && type != wire::Body_Auth)
    return Malformed("frame before the end of the handshake");
  Reader reader(aligned.size());
  Frame decoded{frame.time(), reader.Read(frame)};
  if (!reader.IsValid()) return Malformed("frame has a field out of range");
  return decoded;
}

}  // namespace bluebellpass
