#include "codec.h"
#include "frame_generated.h"

namespace bluebellpass {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <class T>
using Vector = flatbuffers::Vector<Offset<T>>;

std::uint8_t Byte(auto value) { return static_cast<std::uint8_t>(value); }

/// Builds the body of a frame; each overload returns the union's type and value.
class Encoder {
 public:
  using Body = std::pair<wire::Body, Offset<void>>;

  explicit Encoder(FlatBufferBuilder& builder) : m_builder(builder) {}

  Body operator()(const PeerMessage& m) { return std::visit(*this, m); }
  Body operator()(const HelloFrame& m) {
    return {wire::Body_Hello, wire::CreateHello(m_builder, Put(m.info), Put(m.nonce)).Union()};
  }
  Body operator()(const AuthFrame& m) {
    return {wire::Body_Auth, wire::CreateAuth(m_builder, Put(m.proof)).Union()};
  }
  Body operator()(const PingFrame& m) {
    const Heartbeat& beat = m.heartbeat;
    return {wire::Body_Ping, wire::CreatePing(m_builder, beat.uptime_seconds, Put(beat.status),
                                              PutAll<wire::MemberT>(beat.gossip))
                                 .Union()};
  }
  Body operator()(const AckFrame& m) {
    const Heartbeat& beat = m.heartbeat;
    return {wire::Body_Ack, wire::CreateAck(m_builder, beat.uptime_seconds, Put(beat.status),
                                            PutAll<wire::MemberT>(beat.gossip))
                                .Union()};
  }
  Body operator()(const FleetFrame& m) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(m.payload.data());
    return {wire::Body_Fleet,
            wire::CreateFleet(m_builder, m_builder.CreateVector(bytes, m.payload.size())).Union()};
  }
  Body operator()(const ReserveMessage& m) {
    return {wire::Body_Reserve, wire::CreateReserve(m_builder, Put(m.reservation)).Union()};
  }
  Body operator()(const CancelMessage& m) {
    return {wire::Body_Cancel,
            wire::CreateCancel(m_builder, Put(m.cell.pool), Put(m.cell.region), Put(m.id)).Union()};
  }
  Body operator()(const SyncMessage& m) {
    return {wire::Body_Sync, wire::CreateSync(m_builder, Put(m.cell.pool), Put(m.cell.region),
                                              PutAll<wire::ReservationT>(m.waiting),
                                              PutAll<wire::RunningT>(m.running))
                                 .Union()};
  }
  Body operator()(const GrantMessage& m) {
    return {wire::Body_Grant, wire::CreateGrant(m_builder, Put(m.cell.pool), Put(m.cell.region),
                                                Put(m.id), m.grant, Put(m.backend))
                                  .Union()};
  }
  Body operator()(const RefuseMessage& m) {
    return {wire::Body_Refuse, wire::CreateRefuse(m_builder, Put(m.cell.pool), Put(m.cell.region),
                                                  Put(m.id), Byte(m.kind))
                                   .Union()};
  }
  Body operator()(const ReleaseMessage& m) {
    return {wire::Body_Release,
            wire::CreateRelease(m_builder, Put(m.cell.pool), Put(m.cell.region), Put(m.id), m.grant,
                                Put(m.backend), Byte(m.reason), m.prompt_tokens.Value(),
                                m.cached_tokens.Value(), m.output_tokens.Value(),
                                m.time_to_first_token.count(), m.total_time.count(),
                                m.content.Value(), m.prefix.Value())
                .Union()};
  }
  Body operator()(const FloorAskMessage& m) {
    return {wire::Body_FloorAsk,
            wire::CreateFloorAsk(m_builder, m.round, Put(m.pool), m.rank.Value(), m.hold.count())
                .Union()};
  }
  Body operator()(const FloorAckMessage& m) {
    return {wire::Body_FloorAck,
            wire::CreateFloorAck(m_builder, m.round, Put(m.pool), m.rank.Value()).Union()};
  }
  Body operator()(const ForwardMessage& m) {
    return {wire::Body_Forward,
            wire::CreateForward(m_builder, m.exchange, Put(m.id), m.offset, Put(m.body)).Union()};
  }
  Body operator()(const AnswerHeadMessage& m) {
    return {wire::Body_AnswerHead, wire::CreateAnswerHead(m_builder, m.exchange, m.status,
                                                          Put(m.backend), Put(m.resume_token))
                                       .Union()};
  }
  Body operator()(const AnswerDataMessage& m) {
    return {wire::Body_AnswerData,
            wire::CreateAnswerData(m_builder, m.exchange, m.offset, Put(m.bytes)).Union()};
  }
  Body operator()(const AnswerEndMessage& m) {
    return {wire::Body_AnswerEnd,
            wire::CreateAnswerEnd(m_builder, m.exchange, Byte(m.outcome), m.length, m.has_error,
                                  Byte(m.kind), Put(m.message), Put(m.field))
                .Union()};
  }
  Body operator()(const ForwardCancelMessage& m) {
    return {wire::Body_ForwardCancel, wire::CreateForwardCancel(m_builder, m.exchange).Union()};
  }
  Body operator()(const QueryMessage& m) {
    return {wire::Body_Query, wire::CreateQuery(m_builder, m.exchange, Put(m.command)).Union()};
  }
  Body operator()(const QueryReplyMessage& m) {
    return {wire::Body_QueryReply,
            wire::CreateQueryReply(m_builder, m.exchange, Put(m.json)).Union()};
  }
  Body operator()(const ConfigMessage& m) {
    return {wire::Body_Config,
            wire::CreateConfig(m_builder, m.version.Value(), Put(m.document)).Union()};
  }
  Body operator()(const QuarantineMessage& m) {
    return {wire::Body_Quarantine,
            wire::CreateQuarantine(m_builder, PutAll<wire::QuarantineEntryT>(m.entries)).Union()};
  }
  Body operator()(const ResyncMessage& m) {
    return {wire::Body_Resync,
            wire::CreateResync(m_builder, Put(m.cell.pool), Put(m.cell.region)).Union()};
  }

 private:
  Offset<flatbuffers::String> Put(const std::string& text) { return m_builder.CreateString(text); }
  template <class Tag>
  Offset<flatbuffers::String> Put(const StrongId<Tag>& id) {
    return Put(id.Text());
  }
  Offset<wire::AddressT> Put(const Address& address) {
    return wire::CreateAddressT(m_builder, Put(address.ip), address.port);
  }
  Offset<wire::InstanceT> Put(const InstanceInfo& info) {
    return wire::CreateInstanceT(m_builder, Put(info.id), info.incarnation.Value(),
                                 Put(info.data_centre), Put(info.region), Put(info.caller_address),
                                 Put(info.peer_address), info.is_leaving);
  }
  Offset<wire::MemberT> Put(const MemberUpdate& update) {
    return wire::CreateMemberT(m_builder, Put(update.member.info), Byte(update.member.state),
                               update.member.uptime_seconds, update.sequence);
  }
  Offset<wire::StatusT> Put(const PeerStatus& status) {
    return wire::CreateStatusT(m_builder, status.config_version.Value(), status.has_store_contact,
                               status.store_age.count());
  }
  Offset<wire::ReservationT> Put(const Reservation& r) {
    return wire::CreateReservationT(m_builder, Put(r.id), Put(r.pool), Put(r.tier),
                                    Put(r.organisation), r.prompt_tokens.Value(),
                                    r.max_output_tokens.Value(), r.prefix.Value(),
                                    r.content.Value(), r.bytes, r.remaining.count(), Put(r.region));
  }
  Offset<wire::RunningT> Put(const RunningGrant& r) {
    return wire::CreateRunningT(m_builder, Put(r.id), r.grant, Put(r.backend), r.tokens.Value(),
                                r.content.Value());
  }
  Offset<wire::QuarantineEntryT> Put(const QuarantineEntry& e) {
    return wire::CreateQuarantineEntryT(m_builder, e.content.Value(), e.deaths, e.remaining.count(),
                                        e.stamp);
  }

  template <class Table, class Item>
  Offset<Vector<Table>> PutAll(const std::vector<Item>& items) {
    std::vector<Offset<Table>> offsets;
    offsets.reserve(items.size());
    for (const Item& item : items) offsets.push_back(Put(item));
    return m_builder.CreateVector(offsets);
  }

  FlatBufferBuilder& m_builder;
};

}  // namespace

Result<std::string> EncodeFrame(const Frame& frame) {
  FlatBufferBuilder builder;
  const auto [type, body] = std::visit(Encoder(builder), frame.body);
  builder.Finish(wire::CreateFrame(builder, frame.time, type, body));
  if (builder.GetSize() > kMaxFrameBytes)
    return Error{ErrorKind::kTooLarge, "frame exceeds 2 MiB", {}};
  const auto* bytes = reinterpret_cast<const char*>(builder.GetBufferPointer());
  return std::string(bytes, builder.GetSize());
}

}  // namespace bluebellpass
