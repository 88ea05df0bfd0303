#include "codec.h"
#include "frame_generated.h"

namespace bluebellpass {
namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

template <class T>
using Vector = flatbuffers::Vector<Offset<T>>;

std::uint8_t ToByte(auto value) { return static_cast<std::uint8_t>(value); }

/// Builds the body of a frame. Each overload returns the type and value of the union.
class Encoder {
 public:
  using Body = std::pair<wire::Body, Offset<void>>;

  explicit Encoder(FlatBufferBuilder& builder) : m_builder(builder) {}

  Body operator()(const PeerMessage& message) { return std::visit(*this, message); }
  Body operator()(const HelloFrame& message) {
    return {wire::Body_Hello,
            wire::CreateHello(m_builder, Encode(message.info), Encode(message.nonce)).Union()};
  }
  Body operator()(const AuthFrame& message) {
    return {wire::Body_Auth, wire::CreateAuth(m_builder, Encode(message.proof)).Union()};
  }
  Body operator()(const PingFrame& message) {
    const Heartbeat& heartbeat = message.heartbeat;
    return {wire::Body_Ping,
            wire::CreatePing(m_builder, heartbeat.uptime_seconds, Encode(heartbeat.status),
                             EncodeAll<wire::MemberT>(heartbeat.gossip))
                .Union()};
  }
  Body operator()(const AckFrame& message) {
    const Heartbeat& heartbeat = message.heartbeat;
    return {wire::Body_Ack,
            wire::CreateAck(m_builder, heartbeat.uptime_seconds, Encode(heartbeat.status),
                            EncodeAll<wire::MemberT>(heartbeat.gossip))
                .Union()};
  }
  Body operator()(const FleetFrame& message) {
    const auto* bytes = reinterpret_cast<const std::uint8_t*>(message.payload.data());
    return {wire::Body_Fleet,
            wire::CreateFleet(m_builder, m_builder.CreateVector(bytes, message.payload.size()))
                .Union()};
  }
  Body operator()(const ReserveMessage& message) {
    return {wire::Body_Reserve,
            wire::CreateReserve(m_builder, Encode(message.reservation)).Union()};
  }
  Body operator()(const CancelMessage& message) {
    return {wire::Body_Cancel, wire::CreateCancel(m_builder, Encode(message.cell.pool),
                                                  Encode(message.cell.region), Encode(message.id))
                                   .Union()};
  }
  Body operator()(const SyncMessage& message) {
    return {wire::Body_Sync,
            wire::CreateSync(m_builder, Encode(message.cell.pool), Encode(message.cell.region),
                             EncodeAll<wire::ReservationT>(message.waiting),
                             EncodeAll<wire::RunningT>(message.running))
                .Union()};
  }
  Body operator()(const GrantMessage& message) {
    return {wire::Body_Grant,
            wire::CreateGrant(m_builder, Encode(message.cell.pool), Encode(message.cell.region),
                              Encode(message.id), message.grant, Encode(message.backend))
                .Union()};
  }
  Body operator()(const RefuseMessage& message) {
    return {wire::Body_Refuse,
            wire::CreateRefuse(m_builder, Encode(message.cell.pool), Encode(message.cell.region),
                               Encode(message.id), ToByte(message.kind))
                .Union()};
  }
  Body operator()(const ReleaseMessage& message) {
    return {wire::Body_Release,
            wire::CreateRelease(m_builder, Encode(message.cell.pool), Encode(message.cell.region),
                                Encode(message.id), message.grant, Encode(message.backend),
                                ToByte(message.reason), message.prompt_tokens.Value(),
                                message.cached_tokens.Value(), message.output_tokens.Value(),
                                message.time_to_first_token.count(), message.total_time.count(),
                                message.content.Value(), message.prefix.Value())
                .Union()};
  }
  Body operator()(const FloorAskMessage& message) {
    return {wire::Body_FloorAsk,
            wire::CreateFloorAsk(m_builder, message.round, Encode(message.pool),
                                 message.rank.Value(), message.hold.count())
                .Union()};
  }
  Body operator()(const FloorAckMessage& message) {
    return {wire::Body_FloorAck, wire::CreateFloorAck(m_builder, message.round,
                                                      Encode(message.pool), message.rank.Value())
                                     .Union()};
  }
  Body operator()(const ForwardMessage& message) {
    return {wire::Body_Forward, wire::CreateForward(m_builder, message.exchange, Encode(message.id),
                                                    message.offset, Encode(message.body))
                                    .Union()};
  }
  Body operator()(const AnswerHeadMessage& message) {
    return {wire::Body_AnswerHead,
            wire::CreateAnswerHead(m_builder, message.exchange, message.status,
                                   Encode(message.backend), Encode(message.resume_token))
                .Union()};
  }
  Body operator()(const AnswerDataMessage& message) {
    return {wire::Body_AnswerData, wire::CreateAnswerData(m_builder, message.exchange,
                                                          message.offset, Encode(message.bytes))
                                       .Union()};
  }
  Body operator()(const AnswerEndMessage& message) {
    return {wire::Body_AnswerEnd,
            wire::CreateAnswerEnd(m_builder, message.exchange, ToByte(message.outcome),
                                  message.length, message.has_error, ToByte(message.kind),
                                  Encode(message.message), Encode(message.field))
                .Union()};
  }
  Body operator()(const ForwardCancelMessage& message) {
    return {wire::Body_ForwardCancel,
            wire::CreateForwardCancel(m_builder, message.exchange).Union()};
  }
  Body operator()(const QueryMessage& message) {
    return {wire::Body_Query,
            wire::CreateQuery(m_builder, message.exchange, Encode(message.command)).Union()};
  }
  Body operator()(const QueryReplyMessage& message) {
    return {wire::Body_QueryReply,
            wire::CreateQueryReply(m_builder, message.exchange, Encode(message.json)).Union()};
  }
  Body operator()(const ConfigMessage& message) {
    return {
        wire::Body_Config,
        wire::CreateConfig(m_builder, message.version.Value(), Encode(message.document)).Union()};
  }
  Body operator()(const QuarantineMessage& message) {
    return {wire::Body_Quarantine,
            wire::CreateQuarantine(m_builder, EncodeAll<wire::QuarantineEntryT>(message.entries))
                .Union()};
  }
  Body operator()(const ResyncMessage& message) {
    return {wire::Body_Resync,
            wire::CreateResync(m_builder, Encode(message.cell.pool), Encode(message.cell.region))
                .Union()};
  }

 private:
  Offset<flatbuffers::String> Encode(const std::string& text) {
    return m_builder.CreateString(text);
  }
  template <class Tag>
  Offset<flatbuffers::String> Encode(const StrongId<Tag>& id) {
    return Encode(id.Text());
  }
  Offset<wire::AddressT> Encode(const Address& address) {
    return wire::CreateAddressT(m_builder, Encode(address.ip), address.port);
  }
  Offset<wire::InstanceT> Encode(const InstanceInfo& info) {
    return wire::CreateInstanceT(m_builder, Encode(info.id), info.incarnation.Value(),
                                 Encode(info.data_centre), Encode(info.region),
                                 Encode(info.caller_address), Encode(info.peer_address),
                                 info.is_leaving);
  }
  Offset<wire::MemberT> Encode(const MemberUpdate& update) {
    return wire::CreateMemberT(m_builder, Encode(update.member.info), ToByte(update.member.state),
                               update.member.uptime_seconds, update.sequence);
  }
  Offset<wire::StatusT> Encode(const PeerStatus& status) {
    return wire::CreateStatusT(m_builder, status.config_version.Value(), status.has_store_contact,
                               status.confirmation_age.count());
  }
  Offset<wire::ReservationT> Encode(const Reservation& reservation) {
    return wire::CreateReservationT(
        m_builder, Encode(reservation.id), Encode(reservation.pool), Encode(reservation.tier),
        Encode(reservation.organisation), reservation.prompt_tokens.Value(),
        reservation.max_output_tokens.Value(), reservation.prefix.Value(),
        reservation.content.Value(), reservation.bytes, reservation.remaining.count(),
        Encode(reservation.region));
  }
  Offset<wire::RunningT> Encode(const RunningGrant& running) {
    return wire::CreateRunningT(m_builder, Encode(running.id), running.grant,
                                Encode(running.backend), running.tokens.Value(),
                                running.content.Value());
  }
  Offset<wire::QuarantineEntryT> Encode(const QuarantineEntry& entry) {
    return wire::CreateQuarantineEntryT(m_builder, entry.content.Value(), entry.deaths,
                                        entry.remaining.count(), entry.stamp);
  }

  template <class Table, class Item>
  Offset<Vector<Table>> EncodeAll(const std::vector<Item>& items) {
    std::vector<Offset<Table>> offsets;
    offsets.reserve(items.size());
    for (const Item& item : items) offsets.push_back(Encode(item));
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
